//! When servers started, in this process's clock. The list says it in Unix time, and a wall clock that was stepped, this
//! machine's or another's, may be wrong by seconds or by an hour: a server in slow start must neither be held for warm
//! nor be held for cold for an hour. In doubt a start is taken to be now, and from then on the clock that is never
//! stepped counts.

use stonevane_policy::Micros;

/// Discovery tells of a start by then, and a list that a process begins with names one that recent in a release. Where the
/// newest start is older, the wall clock may be ahead by all of it.
const TOLD_WITHIN: Micros = 5_000_000;

/// When a process started of which discovery has just told for the first time. It is told of starts as they happen: one
/// that seems long ago has been told late, or a clock is wrong.
pub fn of_news(now: Micros, start: Micros) -> Micros {
    let plausible = start <= now && now - start <= TOLD_WITHIN;
    if plausible { start } else { now }
}

/// Reads the start times in the list that a process begins with.
#[derive(Debug, Clone, Copy)]
pub struct FirstList {
    /// What the wall clock is taken to be ahead by.
    ahead: Micros,
}

impl FirstList {
    /// A list with these start times, of a fleet of so many servers. That the newest start is long ago is taken for an
    /// error of the wall clock, but where most of the fleet started together with it: that is a fleet that was started
    /// whole.
    pub fn new(now: Micros, warm_up: Micros, fleet: usize, starts: &[Micros]) -> FirstList {
        let newest = starts.iter().copied().max().unwrap_or(now);
        let with_newest = starts.iter().filter(|start| newest - **start < warm_up).count();
        let ahead = now.saturating_sub(newest);
        let error = ahead > TOLD_WITHIN && 2 * with_newest < fleet;
        FirstList { ahead: if error { ahead } else { 0 } }
    }

    /// When a process of this list started; nothing starts in the future.
    pub fn start(&self, now: Micros, start: Micros) -> Micros {
        start.saturating_add(self.ahead).min(now)
    }
}
