//! Start times of servers, in this process's clock.
//!
//! The list states them in Unix time. A wall clock that was stepped, here or elsewhere, may be wrong by an hour, and a
//! server must neither skip its slow start nor stay in it for that long. In doubt a server counts as just started, and
//! from then on the monotonic clock decides.

use stonevane_policy::Micros;

/// Discovery notifies of a start within this time, and the first list of a process names one that recent during a
/// release. Where the newest start is older, the wall clock may be ahead by its whole age.
const NOTIFIED_WITHIN: Micros = 5_000_000;

/// The start of a process that discovery has just notified of. A start that seems to lie further back was reported
/// late, or a clock is wrong.
pub fn of_new_process(now: Micros, start: Micros) -> Micros {
    let is_plausible = start <= now && now - start <= NOTIFIED_WITHIN;
    if is_plausible { start } else { now }
}

/// Start times in the first list of this process.
#[derive(Debug, Clone, Copy)]
pub struct FirstList {
    /// How far the wall clock is taken to be ahead.
    clock_error: Micros,
}

impl FirstList {
    /// A list with these start times, of so many servers. That the newest start is long ago counts as an error of the
    /// wall clock, unless most of the servers started together with it: then all were started at once.
    pub fn new(now: Micros, warm_up: Micros, servers: usize, starts: &[Micros]) -> FirstList {
        let newest = starts.iter().copied().max().unwrap_or(now);
        let started_with_newest = starts.iter().filter(|start| newest - **start < warm_up).count();
        let age = now.saturating_sub(newest);
        let is_error = age > NOTIFIED_WITHIN && 2 * started_with_newest < servers;
        FirstList { clock_error: if is_error { age } else { 0 } }
    }

    /// When a process of this list started; nothing starts in the future.
    pub fn start(self, now: Micros, start: Micros) -> Micros {
        start.saturating_add(self.clock_error).min(now)
    }
}
