//! When connections to a server may be opened: as many as are wanted while it takes them, one at a time with a random
//! wait between tries once one was lost or refused, so that clients that lose all of theirs at once do not come back
//! in step (S. Floyd and V. Jacobson, "The Synchronization of Periodic Routing Messages"; capped exponential backoff
//! with jitter). No I/O, no clock.

/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// How long it waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// After the first failure; doubled with each, drawn between half of it and one and a half times it.
    pub shortest: Micros,
    /// At the most, before what is drawn.
    pub longest: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { shortest: 50_000, longest: 400_000 }
    }
}

/// What it says of a wish to connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// Connect, and tell how it ended.
    Go,
    /// Ask again after this time.
    Wait(Micros),
}

/// The state of reaching one server.
#[derive(Debug, Clone)]
pub struct Reconnect {
    limits: Limits,
    /// Failures in a row.
    failures: u32,
    /// No try before this.
    until: Micros,
    /// The one try that is out while the server is not known to take connections, by when it began.
    trying: Option<Micros>,
}

impl Reconnect {
    /// One that has not failed.
    pub fn new(limits: Limits) -> Self {
        Reconnect { limits, failures: 0, until: 0, trying: None }
    }

    /// Whether a connection may be opened now.
    pub fn may(&mut self, now: Micros) -> Word {
        if self.failures == 0 {
            return Word::Go;
        }
        if now < self.until {
            return Word::Wait(self.until - now);
        }
        if self.trying.is_some() {
            return Word::Wait(self.limits.shortest.max(1));
        }
        self.trying = Some(now);
        Word::Go
    }

    /// A connection came about: the server takes them.
    pub fn connected(&mut self) {
        (self.failures, self.trying) = (0, None);
    }

    /// A try that began at a moment failed, or a connection was lost that had stood since then. `drawn` is a random
    /// number from 0 to 1. What began before the last failure was known adds nothing to it.
    pub fn failed(&mut self, begun: Micros, now: Micros, drawn: f64) {
        let own = self.trying == Some(begun);
        if !own && self.failures > 0 {
            return;
        }
        self.trying = None;
        let doubled = self.limits.shortest.saturating_mul(1 << self.failures.min(20));
        let wait = doubled.min(self.limits.longest) as f64 * (0.5 + drawn.clamp(0.0, 1.0));
        self.failures = self.failures.saturating_add(1);
        self.until = now.saturating_add(wait as Micros);
    }

    /// A try that began at a moment was given up before it could tell.
    pub fn abandoned(&mut self, begun: Micros) {
        if self.trying == Some(begun) {
            self.trying = None;
        }
    }
}

#[cfg(test)]
mod tests;
