//! `stonevane config`.

use std::path::{Path, PathBuf};

use clap::Subcommand;
use stonevane_config::operator::Operator;

use crate::error::{CommandError, read_file};

/// The commands on configuration.
#[derive(Subcommand)]
pub enum Config {
    /// Checks an operator file, and lists all that is wrong with it.
    #[command(after_help = "Example: stonevane config check deploy/operator.toml")]
    Check {
        /// The file.
        file: PathBuf,
    },
}

impl Config {
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Config::Check { file } => check(&file),
        }
    }
}

fn check(file: &Path) -> Result<(), CommandError> {
    let text = read_file(file)?;
    Operator::parse(&text)
        .map_err(|errors| CommandError::Config { file: file.display().to_string(), errors })?;
    say!("{}: good", file.display());
    Ok(())
}
