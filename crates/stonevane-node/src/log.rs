//! The daemon's log: lines on standard error, prefixed with the program's name.

use std::io::Write;

/// Writes a line to the log. A write error is ignored: a node without a working log still serves requests.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "stonevane-node: {line}");
}
