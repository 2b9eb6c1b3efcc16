//! The node's one clock, and its log.

use std::io::Write;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stonevane_policy::Micros;

/// Writes a line to the log; a log that can't be written to is no reason to stop.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "stonevane-node: {line}");
}

/// The node's one clock: Unix time in microseconds at the start, and steady from there on.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// The time.
    pub fn now(self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The instant of a time.
    pub fn instant(self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(self.unix))).into()
    }
}
