//! `stonevane scale table`: prints the tables of `docs/CAPACITY.md` from recorded measurements.

use std::path::{Path, PathBuf};

use clap::Args;
use stonevane_capacity::csv::{self, Line};
use stonevane_capacity::model;
use stonevane_capacity::roles::Role;

use crate::error::{CommandError, read_file};

/// Arguments of `stonevane scale table`.
#[derive(Args)]
#[command(after_help = "Example: stonevane scale table --measurements docs/capacity")]
pub struct Table {
    /// Folder with the CSV files of `scale measure`, one for each role, named ROLE.csv.
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    measurements: PathBuf,
}

/// Reads the measurements of all roles from a folder.
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
        outln!("{}", model::tables(&rows));
        Ok(())
    }
}
