//! The builds of an experiment.

use std::io;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use stonevane_server_model::value::digest;

use crate::results::Build;

/// A build that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("the build {}: {error}", .path.display())]
pub struct BuildError {
    path: PathBuf,
    error: io::Error,
}

/// A build, as the folder remembers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildFile {
    /// Where it was.
    pub path: PathBuf,
    /// A digest of its program.
    pub digest: String,
}

impl BuildFile {
    fn read(path: &Path) -> Result<BuildFile, BuildError> {
        match std::fs::read(path) {
            Ok(bytes) => Ok(BuildFile { path: path.into(), digest: digest(&bytes) }),
            Err(error) => Err(BuildError { path: path.into(), error }),
        }
    }
}

/// The builds of an experiment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Builds {
    /// The first.
    pub a: BuildFile,
    /// The one that it is compared with.
    pub b: Option<BuildFile>,
}

impl Builds {
    /// Reads the programs.
    ///
    /// # Errors
    /// [`BuildError`] for one that can't be read.
    pub fn of(a: &Path, b: Option<&Path>) -> Result<Builds, BuildError> {
        Ok(Builds { a: BuildFile::read(a)?, b: b.map(BuildFile::read).transpose()? })
    }

    /// Those that there are.
    pub fn all(&self) -> Vec<(Build, &BuildFile)> {
        let first = [(Build::A, &self.a)];
        first.into_iter().chain(self.b.iter().map(|build| (Build::B, build))).collect()
    }

    /// The file of a build.
    pub fn get(&self, build: Build) -> Option<&BuildFile> {
        match build {
            Build::A => Some(&self.a),
            Build::B => self.b.as_ref(),
        }
    }
}
