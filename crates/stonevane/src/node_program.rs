//! Locates the daemon's program, and builds it if this program was started by cargo.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const NAME: &str = "stonevane-node";

/// Failure to locate the daemon's program.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The given path is not a file.
    #[error("--node-program: {} is not a file", .0.display())]
    NotAFile(PathBuf),
    /// The folder of this program has no daemon.
    #[error("{} does not exist; build it, or give a path with --node-program", .0.display())]
    Missing(PathBuf),
    /// The path of this program is unknown.
    #[error("the path of this program is unknown: {0}")]
    OwnPath(io::Error),
    /// Cargo could not be started.
    #[error("cargo can't be run: {0}")]
    Cargo(io::Error),
    /// Cargo's build of the daemon failed.
    #[error("{NAME} could not be built")]
    Build,
}

/// Returns the given path, or the program in the folder of this program. Under `cargo run`, builds that
/// program first.
pub fn find(path: Option<&Path>) -> Result<PathBuf, ProgramError> {
    if let Some(path) = path {
        return match path.is_file() {
            true => Ok(path.into()),
            false => Err(ProgramError::NotAFile(path.into())),
        };
    }
    let own = std::env::current_exe().map_err(ProgramError::OwnPath)?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let program = folder.join(NAME);
    // `cargo run` builds only this package; the daemon is in another package.
    if let Some(cargo) =
        std::env::var_os("CARGO").filter(|_| std::env::var_os("CARGO_MANIFEST_DIR").is_some())
    {
        build(cargo, folder)?;
    }
    match program.is_file() {
        true => Ok(program),
        false => Err(ProgramError::Missing(program)),
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
