//! Attempts: single calls to a server on behalf of a request.

use crate::ids::{Key, Micros, RequestId, ServerId};

/// Names an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub number: u16,
}

/// What an attempt calls for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read from a cache server.
    CacheRead,
    /// A fetch from the origin after a cache miss.
    Fetch,
    /// A write at the origin.
    Write,
    /// A fetch that shares the origin call of another.
    JoinedFetch,
}

/// An attempt without outcome yet; it may outlive its request.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub server: ServerId,
    pub kind: CallKind,
    pub key: Key,
    pub sent_at: Micros,
    /// Latency objective of its request's class.
    pub latency_objective: Micros,
    /// It is slow once it has been in flight for this long.
    pub slow_after: Micros,
}

impl Attempt {
    /// How long it has been in flight.
    pub fn age(&self, now: Micros) -> Micros {
        now - self.sent_at
    }

    /// Whether it has been in flight for so short that it is not slow yet.
    pub fn is_timely(&self, now: Micros) -> bool {
        self.age(now) < self.slow_after
    }
}
