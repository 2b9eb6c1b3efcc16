//! Attempts: single calls to a cache server or the origin on behalf of a request.

use crate::ids::{Key, Micros, RequestId, ServerId};

/// Identifies an attempt at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub number: u16,
}

/// Operation that an attempt performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read from a cache server.
    CacheRead,
    /// A fetch from the origin after a cache miss.
    Fetch,
    /// A write at the origin.
    Write,
    /// A fetch that waits for the origin call of another fetch of the same key.
    CoalescedFetch,
}

/// An attempt without an outcome. It may outlive its request.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub server: ServerId,
    pub kind: CallKind,
    pub key: Key,
    pub sent_at: Micros,
    /// Latency objective of the request's class.
    pub latency_objective: Micros,
    /// Time since sending, in microseconds, from which the attempt is slow.
    pub slow_after: Micros,
}

impl Attempt {
    /// Returns the time that the attempt has been in flight.
    pub fn age(&self, now: Micros) -> Micros {
        now - self.sent_at
    }

    /// Returns whether the attempt has not yet been in flight for `slow_after`.
    pub fn is_timely(&self, now: Micros) -> bool {
        self.age(now) < self.slow_after
    }
}
