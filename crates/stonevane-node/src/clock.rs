//! The daemon's clock, and conversions between [`Duration`] and the microseconds of the core.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stonevane_policy::Micros;

/// Monotonic clock whose origin is the Unix time at its start, so that steps of the wall clock do not move
/// deadlines.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Unix time at `started`.
    unix_start: Micros,
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_start: to_micros(unix) }
    }

    /// Returns the current time as Unix time in microseconds.
    pub fn now(self) -> Micros {
        self.unix_start + to_micros(self.started.elapsed())
    }

    /// Converts a time of this clock to the runtime's instant. A time before the start yields the start.
    pub fn instant(self, at: Micros) -> tokio::time::Instant {
        (self.started + Duration::from_micros(at.saturating_sub(self.unix_start))).into()
    }
}

/// Converts a duration to whole microseconds, rounding down.
pub fn to_micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}
