//! Start times of servers, converted to this process's clock.
//!
//! The list states start times in Unix time. A wall clock that was stepped, on this or another machine, may
//! be wrong by an hour, and a server must neither skip its slow start nor stay in it for that long. In case
//! of doubt a server counts as just started, and from then on the monotonic clock is used.

use stonevane_policy::Micros;

/// Discovery reports a start within this time. During a release, the first list of a process contains a start
/// that recent; if the newest start is older, the wall clock may be ahead by that start's whole age.
const NOTIFIED_WITHIN: Micros = 5_000_000;

/// Returns the start time of a process that discovery has just reported. If the stated start is older, it was
/// reported late or a clock is wrong, and the process counts as started now.
pub fn of_new_process(now: Micros, start: Micros) -> Micros {
    let is_plausible = start <= now && now - start <= NOTIFIED_WITHIN;
    if is_plausible { start } else { now }
}

/// Converts the start times in the first list that this process receives.
#[derive(Debug, Clone, Copy)]
pub struct FirstList {
    /// Assumed error of the wall clock: how far it is ahead.
    clock_error: Micros,
}

impl FirstList {
    /// Estimates the clock error from a list of `servers` servers with these start times. An old newest start
    /// counts as an error of the wall clock, unless most of the servers started together with it: then all
    /// were started at once.
    pub fn new(now: Micros, warm_up: Micros, servers: usize, starts: &[Micros]) -> FirstList {
        let newest = starts.iter().copied().max().unwrap_or(now);
        let started_with_newest = starts.iter().filter(|start| newest - **start < warm_up).count();
        let age = now.saturating_sub(newest);
        let is_error = age > NOTIFIED_WITHIN && 2 * started_with_newest < servers;
        FirstList { clock_error: if is_error { age } else { 0 } }
    }

    /// Returns the corrected start time of a process in this list, at most `now`.
    pub fn start(self, now: Micros, start: Micros) -> Micros {
        start.saturating_add(self.clock_error).min(now)
    }
}
