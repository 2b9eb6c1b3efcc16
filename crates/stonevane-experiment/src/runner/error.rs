//! Errors of running an experiment.

use std::io;
use std::path::{Path, PathBuf};

/// An error that ends an experiment before its last run.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The folder belongs to another experiment, is in use or holds a malformed file.
    #[error("{0}")]
    Unusable(String),
    /// A file can't be read or written.
    #[error("{}: {error}", .path.display())]
    Io {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The experiment was interrupted.
    #[error("interrupted after {done} of {total} runs; run the same command again to resume")]
    Interrupted {
        /// Number of runs with a result.
        done: usize,
        /// Number of all runs.
        total: usize,
    },
}

/// Adds the path of the file to an I/O error.
pub(super) fn with_path<T>(path: &Path, result: io::Result<T>) -> Result<T, ExperimentError> {
    result.map_err(|error| ExperimentError::Io { path: path.into(), error })
}
