//! `stonevane scale table`: the tables of `docs/CAPACITY.md` from kept measurements.

use std::path::{Path, PathBuf};

use clap::Args;
use stonevane_capacity::csv::{self, Line};
use stonevane_capacity::model;
use stonevane_capacity::roles::Role;

use crate::error::{CommandError, read_file};

/// Which measurements.
#[derive(Args)]
#[command(after_help = "Example: stonevane scale table --measurements docs/capacity")]
pub struct Table {
    /// The folder with the CSV files of `scale measure`.
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    measurements: PathBuf,
}

/// All lines of the files of a folder that measurements of roles are kept in.
fn read_lines(folder: &Path) -> Result<Vec<Line>, CommandError> {
    let mut lines = Vec::new();
    for role in Role::ALL {
        let file = folder.join(format!("{}.csv", role.name()));
        let text = read_file(&file)?;
        lines.extend(csv::read(&text).map_err(|error| CommandError::unusable_file(&file, error))?);
    }
    Ok(lines)
}

impl Table {
    pub fn run(self) -> Result<(), CommandError> {
        let figures = model::Measurements::new(read_lines(&self.measurements)?);
        let rows = model::rows(&figures).map_err(CommandError::unusable)?;
        say!("{}", model::tables(&rows));
        Ok(())
    }
}
