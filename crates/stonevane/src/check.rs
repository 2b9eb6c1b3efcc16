//! `stonevane config`: checks operator files.

use std::path::{Path, PathBuf};

use clap::Subcommand;
use stonevane_config::operator::Operator;

use crate::error::{CommandError, read_file};

/// Subcommands of `stonevane config`.
#[derive(Subcommand)]
pub enum Config {
    /// Check an operator file and list every error in it with its line and column.
    #[command(after_help = "Example: stonevane config check deploy/operator.toml")]
    Check {
        /// Operator file (TOML).
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
    outln!("{}: good", file.display());
    Ok(())
}
