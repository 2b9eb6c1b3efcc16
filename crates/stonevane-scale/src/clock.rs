//! The clock of a worker.

use std::time::{Duration, Instant};

use stonevane_emulators::MonotonicClock;

use crate::Micros;

/// The farthest time that is slept for, a day: a machine may want nothing for ever, which no instant stands for.
const MAX_SLEEP: Micros = 86_400_000_000;

/// A clock that reads the machine's monotonic time, which all processes share.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Monotonic time of the start.
    monotonic_start: Micros,
}

impl Clock {
    /// A clock of this process.
    pub fn start() -> Clock {
        Clock { started: Instant::now(), monotonic_start: MonotonicClock::now() }
    }

    /// The time.
    pub fn now(self) -> Micros {
        self.monotonic_start + self.started.elapsed().as_micros() as Micros
    }

    /// The runtime's instant of a time, at most a day away.
    pub fn instant(self, at: Micros) -> tokio::time::Instant {
        let at = at.min(self.now() + MAX_SLEEP);
        (self.started + Duration::from_micros(at.saturating_sub(self.monotonic_start))).into()
    }
}
