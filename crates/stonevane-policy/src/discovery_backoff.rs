//! Backoff of calls to discovery: decides when a node calls discovery again after a failed call.
//!
//! Inputs: the number of failed calls since the last list, the staleness limit and the time since discovery's
//! last message (both in microseconds). Discovery has little capacity. Nodes whose calls fail at the same
//! time must spread their next calls over about the time that discovery needs to serve all of them, and still
//! call early enough to learn of changes in time.

use crate::ids::Micros;
use crate::random::Random;

/// A range of delays, as fractions of the staleness limit.
struct DelayRange {
    from: f64,
    to: f64,
}

/// Delays after the first, the second and any later failure in a row. The first two calls come early, because
/// a node soon counts as notified of changes whether or not they arrive.
const DELAYS: [DelayRange; 3] = [
    DelayRange { from: 0.03, to: 0.5 },
    DelayRange { from: 0.2, to: 0.4 },
    DelayRange { from: 0.25, to: 0.5 },
];
/// Longest time from discovery's last message to the next call, in microseconds. A change counts as known 6 s
/// after it happened, and the call must be served before then.
const MAX_SILENCE: Micros = 4_500_000;
/// Smallest staleness limit from which delays are computed, in microseconds, so that calls pause even with a
/// short limit.
const MIN_STALENESS_LIMIT: Micros = 1_000_000;

/// Backoff state of a node's calls to discovery.
#[derive(Default)]
pub struct DiscoveryBackoff {
    /// Number of failures since the last list, up to the index of the last delay range.
    failures: usize,
}

impl DiscoveryBackoff {
    /// Resets the backoff after a response of discovery.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the delay until the next call, in microseconds. `silent_for` is the time
    /// since discovery's last message.
    pub fn next_delay(&mut self, silent_for: Micros, staleness_limit: Micros, random: &mut Random) -> Micros {
        let max_delay = MAX_SILENCE.saturating_sub(silent_for) as f64;
        let DelayRange { from, to } = DELAYS[self.failures];
        let base = (staleness_limit.max(MIN_STALENESS_LIMIT) as f64).min(max_delay / to);
        let delay = base * (from + (to - from) * random.unit());
        self.failures = (self.failures + 1).min(DELAYS.len() - 1);
        delay as Micros
    }
}
