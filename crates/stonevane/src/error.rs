//! Errors of commands and their exit codes.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use stonevane_config::ConfigError;

/// Exit code if a rule or an expectation is broken, and of [`CommandError::Damaged`].
const BROKEN: u8 = 1;
/// Exit code if the input is invalid, for example an argument, a file or a scenario.
pub const UNUSABLE: u8 = 2;
/// Exit code if the command could not be completed.
pub const NOT_RUN: u8 = 3;

/// Failure of a command. Its text is one line, printed after the program's name.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A rule or an expectation is broken; the details were printed already.
    #[error("a rule or an expectation is broken")]
    Broken,
    /// A store is damaged, or did not do what the command requires of it; the text gives the reason.
    #[error("{0}")]
    Damaged(String),
    /// The input is invalid.
    #[error("{0}")]
    Unusable(String),
    /// A configuration or scenario file is invalid; each error is printed on its own line.
    #[error("{file} can't be used")]
    Config {
        /// Name of the file.
        file: String,
        /// All errors in the file, each with its line and column.
        errors: Vec<ConfigError>,
    },
    /// The command could not be completed.
    #[error("{0}")]
    NotRun(String),
}

impl CommandError {
    /// Returns the error for invalid input.
    pub fn unusable(cause: impl Display) -> CommandError {
        CommandError::Unusable(cause.to_string())
    }

    /// Returns the error for a command that could not be completed.
    pub fn not_run(cause: impl Display) -> CommandError {
        CommandError::NotRun(cause.to_string())
    }

    /// Returns the error for an input file that can't be used.
    pub fn unusable_file(file: &Path, cause: impl Display) -> CommandError {
        CommandError::Unusable(format!("{}: {cause}", file.display()))
    }

    /// Returns the error for a file that could not be read or written during a run.
    pub fn file_not_run(file: &Path, cause: impl Display) -> CommandError {
        CommandError::NotRun(format!("{}: {cause}", file.display()))
    }

    /// Puts the name of the affected file or store before the cause.
    pub fn about(self, name: impl Display) -> CommandError {
        match self {
            CommandError::Damaged(cause) => CommandError::Damaged(format!("{name}: {cause}")),
            CommandError::Unusable(cause) => CommandError::Unusable(format!("{name}: {cause}")),
            CommandError::NotRun(cause) => CommandError::NotRun(format!("{name}: {cause}")),
            other => other,
        }
    }

    /// Prints the error on standard error and returns the exit code.
    pub fn report(&self) -> ExitCode {
        let code = match self {
            CommandError::Broken => return ExitCode::from(BROKEN),
            CommandError::Config { file, errors } => {
                for error in errors {
                    errln!("stonevane: {file}: {error}");
                }
                return ExitCode::from(UNUSABLE);
            }
            CommandError::Damaged(_) => BROKEN,
            CommandError::Unusable(_) => UNUSABLE,
            CommandError::NotRun(_) => NOT_RUN,
        };
        errln!("stonevane: {self}");
        ExitCode::from(code)
    }
}

/// Returns [`CommandError::Broken`] unless `holds`.
pub fn require(holds: bool) -> Result<(), CommandError> {
    if holds { Ok(()) } else { Err(CommandError::Broken) }
}

/// Reads an input file.
pub fn read_file(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| CommandError::unusable_file(file, error))
}

/// Writes an output file.
pub fn write_file(file: &Path, text: impl AsRef<[u8]>) -> Result<(), CommandError> {
    std::fs::write(file, text).map_err(|error| CommandError::file_not_run(file, error))
}
