//! Backoff of calls to discovery.
//!
//! Inputs: failed calls since the last list, the staleness limit and the length of the silence
//! (microseconds). Discovery has little capacity: nodes whose calls fail at the same time must spread their
//! next ones over about the time in which discovery can serve all of them, and still call early enough to be
//! notified of changes in time.

use crate::ids::Micros;
use crate::random::Random;

/// A range of delays, as parts of the staleness limit.
struct DelayRange {
    from: f64,
    to: f64,
}

/// Delays after the first, the second and any later failure in a row. Two come soon, since changes count as
/// known soon.
const DELAYS: [DelayRange; 3] = [
    DelayRange { from: 0.03, to: 0.5 },
    DelayRange { from: 0.2, to: 0.4 },
    DelayRange { from: 0.25, to: 0.5 },
];
/// The next call is made within this time of the last word of discovery: a change counts as known 6 s after
/// it, and the call must get its turn before.
const MAX_SILENCE: Micros = 4_500_000;
/// The least staleness limit that delays are taken from, so that there is a pause however short the limit is.
const MIN_STALENESS_LIMIT: Micros = 1_000_000;

/// The backoff of a node's calls to discovery.
#[derive(Default)]
pub struct DiscoveryBackoff {
    /// Failures since the last list, counted up to the last delay range.
    failures: usize,
}

impl DiscoveryBackoff {
    /// Discovery has answered.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure behind a silence, and returns the delay of the next call.
    pub fn next_delay(&mut self, silent_for: Micros, staleness_limit: Micros, random: &mut Random) -> Micros {
        let longest = MAX_SILENCE.saturating_sub(silent_for) as f64;
        let DelayRange { from, to } = DELAYS[self.failures];
        let base = (staleness_limit.max(MIN_STALENESS_LIMIT) as f64).min(longest / to);
        let delay = base * (from + (to - from) * random.unit());
        self.failures = (self.failures + 1).min(DELAYS.len() - 1);
        delay as Micros
    }
}
