//! Paces new connections to a server. While the server accepts connections, any number may be opened. Once
//! one was lost or refused, attempts are made one at a time with a random wait between them, so that clients
//! that lose all their connections at once do not reconnect in step (S. Floyd and V. Jacobson, "The
//! Synchronization of Periodic Routing Messages"; capped exponential backoff with jitter). No I/O, no clock.

/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// Bounds of the wait between attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Wait after the first failure, microseconds; doubles with each further failure. The actual wait is
    /// drawn at random between half and one and a half times this value.
    pub min_wait: Micros,
    /// The longest wait, before the random draw.
    pub max_wait: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { min_wait: 50_000, max_wait: 400_000 }
    }
}

/// Whether a connection may be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Open a connection, and report the outcome.
    Connect,
    /// No connection may be opened yet: decide again after this time.
    Wait(Micros),
}

/// The backoff state of connections to one server.
#[derive(Debug, Clone)]
pub struct Reconnect {
    limits: Limits,
    /// Failures in a row.
    failures: u32,
    /// No attempt begins before this time.
    not_before: Micros,
    /// Start of the only attempt that is in progress while the server is not known to accept connections.
    attempt: Option<Micros>,
}

impl Reconnect {
    /// A state without failures, in which any number of connections may be opened.
    pub fn new(limits: Limits) -> Self {
        Reconnect { limits, failures: 0, not_before: 0, attempt: None }
    }

    /// Decides whether a connection may be opened now. After a failure, [`Decision::Connect`] begins an
    /// attempt, and no other attempt may begin while it is in progress.
    pub fn decide(&mut self, now: Micros) -> Decision {
        if self.failures == 0 {
            return Decision::Connect;
        }
        if now < self.not_before {
            return Decision::Wait(self.not_before - now);
        }
        if self.attempt.is_some() {
            return Decision::Wait(self.limits.min_wait.max(1));
        }
        self.attempt = Some(now);
        Decision::Connect
    }

    /// Records that a connection was established, which ends the backoff.
    pub fn connected(&mut self) {
        (self.failures, self.attempt) = (0, None);
    }

    /// Records that an attempt that began at `started` failed, or that the connection opened by it was lost.
    /// `random` is a random number from 0 to 1. While the server is known to fail, only the failure of the
    /// present attempt counts: losing an older connection adds nothing.
    pub fn failed(&mut self, started: Micros, now: Micros, random: f64) {
        let is_attempt = self.attempt == Some(started);
        if !is_attempt && self.failures > 0 {
            return;
        }
        self.attempt = None;
        let doubled = self.limits.min_wait.saturating_mul(1 << self.failures.min(20));
        let wait = doubled.min(self.limits.max_wait) as f64 * (0.5 + random.clamp(0.0, 1.0));
        self.failures = self.failures.saturating_add(1);
        self.not_before = now.saturating_add(wait as Micros);
    }

    /// Records that the attempt that began at `started` was abandoned before its outcome was known, so that
    /// another attempt may begin.
    pub fn abandoned(&mut self, started: Micros) {
        if self.attempt == Some(started) {
            self.attempt = None;
        }
    }
}

#[cfg(test)]
mod tests;
