//! Builds of the daemon that an experiment compares.

use std::io;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use stonevane_server_model::value::digest;

use crate::results::Build;

/// An error in reading the program of a build.
#[derive(Debug, thiserror::Error)]
#[error("can't read the build {}: {error}", .path.display())]
pub struct BuildError {
    path: PathBuf,
    error: io::Error,
}

/// A build, as stored in `builds.json`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildFile {
    /// Path of the daemon program of the build.
    pub path: PathBuf,
    /// Digest of the contents of the program.
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
    /// The baseline of the comparison, or the only build.
    pub a: BuildFile,
    /// The build that is compared with `a`; `None` for an experiment with a single build.
    pub b: Option<BuildFile>,
}

impl Builds {
    /// Reads the programs of the builds.
    ///
    /// # Errors
    /// [`BuildError`] if a program can't be read.
    pub fn read(a: &Path, b: Option<&Path>) -> Result<Builds, BuildError> {
        Ok(Builds { a: BuildFile::read(a)?, b: b.map(BuildFile::read).transpose()? })
    }

    /// All builds of the experiment, A first.
    pub fn all(&self) -> Vec<(Build, &BuildFile)> {
        let first = [(Build::A, &self.a)];
        first.into_iter().chain(self.b.iter().map(|build| (Build::B, build))).collect()
    }

    /// Returns the path and digest of a build; `None` if the experiment does not have the build.
    pub fn get(&self, build: Build) -> Option<&BuildFile> {
        match build {
            Build::A => Some(&self.a),
            Build::B => self.b.as_ref(),
        }
    }
}
