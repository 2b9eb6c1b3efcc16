//! The daemon's log: lines on standard error.

use std::io::Write;

/// Writes a line to the log. A log that cannot be written to is no reason to stop.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "stonevane-node: {line}");
}
