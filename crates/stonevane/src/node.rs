//! Finds the daemon's program.

use std::path::{Path, PathBuf};
use std::process::Command;

const NAME: &str = "stonevane-node";

/// The program that was named; else the one beside this program; else, run by cargo, one that is built now.
///
/// # Errors
/// One line that says where it was looked for.
pub fn program(named: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(named) = named {
        return match named.is_file() {
            true => Ok(named.into()),
            false => Err(format!("there is no program {}", named.display())),
        };
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let beside = folder.join(NAME);
    // Run by cargo: the daemon is a package of its own, built anew where it is not fresh.
    if let Some(cargo) =
        std::env::var_os("CARGO").filter(|_| std::env::var_os("CARGO_MANIFEST_DIR").is_some())
    {
        let mut build = Command::new(cargo);
        build.args(["build", "--locked", "-p", "stonevane-node"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        let status = build.status().map_err(|e| format!("cargo can't be run: {e}"))?;
        if !status.success() {
            return Err(format!("{NAME} could not be built"));
        }
    }
    match beside.is_file() {
        true => Ok(beside),
        false => Err(format!("there is no {}; build it, or name one with --node-program", beside.display())),
    }
}
