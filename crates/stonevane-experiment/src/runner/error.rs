//! Why an experiment was not played to its end.

use std::io;
use std::path::{Path, PathBuf};

/// Why an experiment was not played to its end.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The folder holds something else.
    #[error("{0}")]
    Unusable(String),
    /// A file can't be read or written.
    #[error("{}: {error}", .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error.
        error: io::Error,
    },
    /// It was interrupted.
    #[error("interrupted after {done} of {total} runs; the same command goes on")]
    Interrupted {
        /// Runs that have a result.
        done: usize,
        /// All runs.
        total: usize,
    },
}

/// Names the file of an I/O error.
pub(super) fn at<T>(path: &Path, result: io::Result<T>) -> Result<T, ExperimentError> {
    result.map_err(|error| ExperimentError::Io { path: path.into(), error })
}
