//! Detection of process pauses: after a pause, a process must detect it before it acts on stale state.

use stonevane_policy::{Micros, Settings};

/// The check interval is the drain grace divided by this, within the bounds below.
const CHECK_INTERVAL_DIVISOR: Micros = 2;
/// The lateness that indicates a pause is the drain grace divided by this, within the bounds below.
const LATENESS_DIVISOR: Micros = 4;
const MIN_CHECK_INTERVAL: Micros = 50_000;
const MAX_CHECK_INTERVAL: Micros = 250_000;
/// Timers on a busy machine are often late by less than this.
const MIN_LATENESS: Micros = 20_000;
const MAX_LATENESS: Micros = 100_000;

/// Thresholds by which a process detects that it was paused. Their sum is within the drain grace, so that a
/// pause that outlasts the grace is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseDetection {
    /// The longest interval between two timers. Idle connections are swept at the same interval.
    pub check_interval: Micros,
    /// A timer that fires at least this late indicates a pause.
    pub lateness: Micros,
}

impl PauseDetection {
    /// Derives the thresholds from the drain grace of the settings.
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
