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
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn connections_lost_together_come_back_one_first_after_a_wait() {
        let mut reconnect = Reconnect::new(Limits { shortest: 100, longest: 400 });
        for _ in 0..8 {
            assert_eq!(reconnect.may(0), Word::Go, "a server that takes connections");
        }
        (0..8).for_each(|_| reconnect.failed(0, 10, 0.5));
        assert_eq!(reconnect.may(10), Word::Wait(100), "all of them are one failure");
        assert_eq!((reconnect.may(110), reconnect.may(110)), (Word::Go, Word::Wait(100)), "one try");
        reconnect.failed(110, 120, 0.5);
        assert_eq!(reconnect.may(120), Word::Wait(200), "doubled");
        assert_eq!(reconnect.may(320), Word::Go);
        reconnect.abandoned(320);
        assert_eq!(reconnect.may(320), Word::Go, "a try that was given up holds up no other");
        reconnect.connected();
        assert_eq!((reconnect.may(321), reconnect.may(321)), (Word::Go, Word::Go));
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

        /// Whatever happens, tries before the first success are never two at once, waits are bounded, and a
        /// success opens the way.
        #[test]
        fn one_try_at_a_time_until_one_succeeds(steps in prop::collection::vec((0u8..4, 0u64..300, 0.0f64..1.0), 1..80)) {
            let mut reconnect = Reconnect::new(Limits { shortest: 100, longest: 400 });
            reconnect.failed(0, 0, 0.0);
            let (mut now, mut out) = (0, None);
            for (what, after, drawn) in steps {
                now += after;
                match (what, out) {
                    (0, _) => match reconnect.may(now) {
                        Word::Go => {
                            prop_assert!(out.is_none(), "two at once");
                            out = Some(now);
                        }
                        Word::Wait(wait) => prop_assert!(wait <= 600, "{}", wait),
                    },
                    (1, Some(begun)) => {
                        reconnect.failed(begun, now, drawn);
                        prop_assert!(matches!(reconnect.may(now), Word::Wait(1..=600)));
                        out = None;
                    }
                    (2, Some(begun)) => {
                        reconnect.abandoned(begun);
                        out = None;
                    }
                    // A connection of before is found lost: nothing new.
                    (3, _) => reconnect.failed(u64::MAX, now, drawn),
                    _ => {}
                }
            }
            reconnect.connected();
            prop_assert_eq!(reconnect.may(now), Word::Go);
        }
    }
}
