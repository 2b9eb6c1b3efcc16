//! Counters of the calls to the store, for the log line at the end of the process.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Monotonic counter.
#[derive(Debug, Default)]
pub(super) struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl fmt::Display for Counter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.load(Ordering::Relaxed).fmt(f)
    }
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(super) struct Counters {
    /// Queries sent to the store.
    pub queries: Counter,
    /// Fetches that joined another fetch's query.
    pub joined: Counter,
    /// Fetches that were repeated because their value was older than an edit that the client knew of.
    pub refetched: Counter,
    /// Edits that were started.
    pub edits: Counter,
    /// Number of times that the breaker opened because the store did not answer.
    pub outages: Counter,
    /// Changes that the store has announced.
    pub changes: Counter,
    /// Own edits without an answer whose change the store has announced, so that caches could be invalidated.
    pub settled: Counter,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters { queries, joined, refetched, edits, outages, changes, settled } = self;
        write!(f, "store: {queries} queries, {joined} more fetches that shared one, ")?;
        write!(f, "{refetched} of them again after an edit, {edits} edits, stopped {outages} times, ")?;
        write!(f, "{changes} changes heard of, {settled} of them own edits that had no answer")
    }
}
