//! Detection of process pauses: a process that did not run for a while must notice before it acts on stale state.

use stonevane_policy::{Micros, Settings};

/// A timer is due at this part of the drain grace at the latest.
const CHECK_INTERVAL_DIVISOR: Micros = 2;
/// A timer that fires late by this part of the drain grace shows a pause.
const LATENESS_DIVISOR: Micros = 4;
const MIN_CHECK_INTERVAL: Micros = 50_000;
const MAX_CHECK_INTERVAL: Micros = 250_000;
/// A busy machine is often late by less.
const MIN_LATENESS: Micros = 20_000;
const MAX_LATENESS: Micros = 100_000;

/// How a process detects that it was paused. Both times together are within the shortest drain grace, so that a pause
/// that outlasts the grace is noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseDetection {
    /// The longest time without a timer; idle connections are swept as often.
    pub check_interval: Micros,
    /// A timer that fires late by this much shows a pause.
    pub lateness: Micros,
}

impl PauseDetection {
    /// The times for some settings.
    pub fn of(settings: &Settings) -> PauseDetection {
        let check_interval = settings.drain_grace / CHECK_INTERVAL_DIVISOR;
        let lateness = settings.drain_grace / LATENESS_DIVISOR;
        PauseDetection {
            check_interval: check_interval.clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL),
            lateness: lateness.clamp(MIN_LATENESS, MAX_LATENESS),
        }
    }
}

#[cfg(test)]
mod tests;
