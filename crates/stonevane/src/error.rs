//! Why a command does not end with exit code 0.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use stonevane_config::ConfigError;

/// Exit code: a rule or an expectation is broken.
const BROKEN: u8 = 1;
/// Exit code: the input can't be used.
pub const UNUSABLE: u8 = 2;
/// Exit code: it could not be run to its end.
pub const NOT_RUN: u8 = 3;

/// Why a command does not end with exit code 0. The text is one line, printed behind the program's name.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A rule or an expectation is broken, as was printed already.
    #[error("a rule or an expectation is broken")]
    Broken,
    /// Something that was checked is broken.
    #[error("{0}")]
    Damaged(String),
    /// The input can't be used.
    #[error("{0}")]
    Unusable(String),
    /// The input can't be used; each error is a line.
    #[error("{file} can't be used")]
    Config {
        /// The file.
        file: String,
        /// What is wrong with it.
        errors: Vec<ConfigError>,
    },
    /// It could not be run to its end.
    #[error("{0}")]
    NotRun(String),
}

impl CommandError {
    /// The input can't be used.
    pub fn unusable(cause: impl Display) -> CommandError {
        CommandError::Unusable(cause.to_string())
    }

    /// It could not be run to its end.
    pub fn not_run(cause: impl Display) -> CommandError {
        CommandError::NotRun(cause.to_string())
    }

    /// A file that is input can't be used.
    pub fn unusable_file(file: &Path, cause: impl Display) -> CommandError {
        CommandError::Unusable(format!("{}: {cause}", file.display()))
    }

    /// A file could not be read or written in the course of a run.
    pub fn file_not_run(file: &Path, cause: impl Display) -> CommandError {
        CommandError::NotRun(format!("{}: {cause}", file.display()))
    }

    /// The same error about something by name.
    pub fn about(self, name: impl Display) -> CommandError {
        match self {
            CommandError::Damaged(cause) => CommandError::Damaged(format!("{name}: {cause}")),
            CommandError::Unusable(cause) => CommandError::Unusable(format!("{name}: {cause}")),
            CommandError::NotRun(cause) => CommandError::NotRun(format!("{name}: {cause}")),
            other => other,
        }
    }

    /// Prints it, and returns the exit code.
    pub fn report(&self) -> ExitCode {
        let code = match self {
            CommandError::Broken => return ExitCode::from(BROKEN),
            CommandError::Config { file, errors } => {
                for error in errors {
                    warn!("stonevane: {file}: {error}");
                }
                return ExitCode::from(UNUSABLE);
            }
            CommandError::Damaged(_) => BROKEN,
            CommandError::Unusable(_) => UNUSABLE,
            CommandError::NotRun(_) => NOT_RUN,
        };
        warn!("stonevane: {self}");
        ExitCode::from(code)
    }
}

/// An error where something that was judged does not hold.
pub fn require(holds: bool) -> Result<(), CommandError> {
    if holds { Ok(()) } else { Err(CommandError::Broken) }
}

/// Reads a file that is input.
pub fn read_file(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| CommandError::unusable_file(file, error))
}

/// Writes a file that is output.
pub fn write_file(file: &Path, text: impl AsRef<[u8]>) -> Result<(), CommandError> {
    std::fs::write(file, text).map_err(|error| CommandError::file_not_run(file, error))
}
