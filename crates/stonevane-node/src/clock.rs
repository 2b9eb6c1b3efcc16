//! The daemon's clock, and conversions between [`Duration`] and the microseconds of the core.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stonevane_policy::Micros;

/// A monotonic clock that reads Unix time at its start, so that steps of the wall clock change no deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Unix time of the start.
    unix_start: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_start: to_micros(unix) }
    }

    /// The time, in microseconds of Unix time.
    pub fn now(self) -> Micros {
        self.unix_start + to_micros(self.started.elapsed())
    }

    /// The runtime's instant of a time of this clock.
    pub fn instant(self, at: Micros) -> tokio::time::Instant {
        (self.started + Duration::from_micros(at.saturating_sub(self.unix_start))).into()
    }
}

/// A duration in microseconds.
pub fn to_micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}
