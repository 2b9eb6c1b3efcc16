//! Helpers shared by the tests of the command line.
#![allow(dead_code, missing_docs)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;

pub const STONEVANE: &str = env!("CARGO_BIN_EXE_stonevane");

pub fn stonevane(args: &[&str]) -> Output {
    Command::new(STONEVANE).args(args).env_remove("CARGO").output().unwrap()
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Returns the path of the daemon's program, which is built once per test binary.
pub fn node() -> &'static str {
    static NODE: OnceLock<String> = OnceLock::new();
    NODE.get_or_init(|| {
        let folder = Path::new(STONEVANE).parent().unwrap();
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-q", "-p", "stonevane-node"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success());
        folder.join("stonevane-node").display().to_string()
    })
}

/// Runs a scenario with the real node; returns its exit code, its outcome as JSON and its standard error.
pub fn run(name: &str, more: &[&str]) -> (Option<i32>, serde_json::Value, String) {
    let mut args = vec!["lab", "run", name, "--json", "-", "--node-program", node()];
    args.extend(more);
    let output = stonevane(&args);
    let json = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (output.status.code(), json, text(&output.stderr))
}

/// A temporary file, removed when dropped.
pub struct Temp(pub PathBuf);

impl Temp {
    pub fn new(name: &str, text: &str) -> Temp {
        let path = std::env::temp_dir().join(format!("stonevane-cli-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Temp(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
