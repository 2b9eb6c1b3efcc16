//! Clock of a worker.

use std::time::{Duration, Instant};

use stonevane_emulators::MonotonicClock;

use crate::Micros;

/// Limit on a sleep, one day: a state machine without a timeout returns a time that an `Instant` cannot
/// represent.
const MAX_SLEEP: Micros = 86_400_000_000;

/// A clock that returns the machine's monotonic time, which all processes share.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Monotonic time at `started`.
    monotonic_start: Micros,
}

impl Clock {
    /// Returns a clock for this process.
    pub fn start() -> Clock {
        Clock { started: Instant::now(), monotonic_start: MonotonicClock::now() }
    }

    /// Current monotonic time.
    pub fn now(self) -> Micros {
        self.monotonic_start + self.started.elapsed().as_micros() as Micros
    }

    /// Converts a time to an instant of the runtime, at most a day from now.
    pub fn instant(self, at: Micros) -> tokio::time::Instant {
        let at = at.min(self.now() + MAX_SLEEP);
        (self.started + Duration::from_micros(at.saturating_sub(self.monotonic_start))).into()
    }
}
