//! Time with its uncertainty: the bounds between which an event happened.

use serde::{Deserialize, Serialize};

/// The moments between which an event happened, both included, in microseconds of one monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct TimeInterval {
    /// It had not happened before this.
    pub earliest: u64,
    /// It had happened by this.
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
