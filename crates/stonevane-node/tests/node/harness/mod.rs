//! Test harness: emulated servers, discovery and clients, and the node process between them.

mod client;
mod discovery;
mod node_process;
mod servers;

use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::time::Duration;

pub use client::*;
pub use discovery::*;
pub use node_process::*;
pub use servers::*;

/// Upper limit of each wait; longer than any step takes on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn read_line(input: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    let count = input.read_line(&mut text).ok()?;
    (count > 0).then(|| text.trim_end().to_string())
}
