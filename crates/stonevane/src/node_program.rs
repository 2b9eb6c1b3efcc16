//! Finds the daemon's program.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const NAME: &str = "stonevane-node";

/// Why there is no program.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The one that was named is not there.
    #[error("there is no program {}", .0.display())]
    NotThere(PathBuf),
    /// None is beside this program.
    #[error("there is no {}; build it, or name one with --node-program", .0.display())]
    NotBeside(PathBuf),
    /// This program's own path is not known.
    #[error("{0}")]
    OwnPath(io::Error),
    /// Cargo could not be started.
    #[error("cargo can't be run: {0}")]
    Cargo(io::Error),
    /// The build has failed.
    #[error("{NAME} could not be built")]
    Build,
}

/// The program that was named; else the one beside this program; else, run by cargo, one that is built now.
pub fn find(named: Option<&Path>) -> Result<PathBuf, ProgramError> {
    if let Some(named) = named {
        return match named.is_file() {
            true => Ok(named.into()),
            false => Err(ProgramError::NotThere(named.into())),
        };
    }
    let own = std::env::current_exe().map_err(ProgramError::OwnPath)?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let beside = folder.join(NAME);
    // Cargo builds only this package: the daemon is another one.
    if let Some(cargo) =
        std::env::var_os("CARGO").filter(|_| std::env::var_os("CARGO_MANIFEST_DIR").is_some())
    {
        build(cargo, folder)?;
    }
    match beside.is_file() {
        true => Ok(beside),
        false => Err(ProgramError::NotBeside(beside)),
    }
}

fn build(cargo: OsString, folder: &Path) -> Result<(), ProgramError> {
    let mut build = Command::new(cargo);
    build.args(["build", "--locked", "-p", "stonevane-node"]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    let status = build.status().map_err(ProgramError::Cargo)?;
    if status.success() { Ok(()) } else { Err(ProgramError::Build) }
}
