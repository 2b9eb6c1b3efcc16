//! Time intervals: bounds on the moment at which an event happened.

use serde::{Deserialize, Serialize};

/// Bounds on the moment of an event, both included, in microseconds of one monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct TimeInterval {
    /// Lower bound: the event did not happen before this moment.
    pub earliest: u64,
    /// Upper bound: the event had happened by this moment.
    pub latest: u64,
}

impl From<(u64, u64)> for TimeInterval {
    fn from((earliest, latest): (u64, u64)) -> TimeInterval {
        TimeInterval { earliest: earliest.min(latest), latest }
    }
}

impl From<TimeInterval> for (u64, u64) {
    fn from(interval: TimeInterval) -> (u64, u64) {
        (interval.earliest, interval.latest)
    }
}
