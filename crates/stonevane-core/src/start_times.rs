//! Start times of servers, converted to this process's clock.
//!
//! The list states start times in Unix time. A wall clock that was stepped, on this or another machine, may
//! be wrong by an hour, and a server must neither skip its slow start nor stay in it for that long. In case
//! of doubt a server counts as just started, and from then on the monotonic clock is used.

use stonevane_policy::Micros;

/// Discovery reports the start of a server's process within this time. During a release, the first list that
/// a process receives contains a start within this time; if the newest start in the list is older, this
/// machine's wall clock may be ahead by the whole age of that start.
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
    /// Assumed time by which this machine's wall clock is ahead; 0 if it is assumed to be right.
    clock_error: Micros,
}

impl FirstList {
    /// Estimates the clock error from a list of `servers` servers with these start times. If even the newest
    /// start is old, this counts as an error of the wall clock, unless at least half of the servers started
    /// within `warm_up` before it: then the servers were started together a while ago.
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
