//! A breaker before a store that has stopped answering: closed, open, half-open with one probe (M. Nygard,
//! "Release It!", the circuit breaker). It has no clock: time is an argument.

/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// When it trips, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Failures in a row, with no answer between them, from which on it is open.
    pub failures: u32,
    /// How long it stays open the first time.
    pub shortest: Micros,
    /// It stays open for twice as long each time a probe fails, up to this.
    pub longest: Micros,
    /// Part of a wait that is drawn at random on top, so that nodes do not probe in step.
    pub jitter: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { failures: 5, shortest: 250_000, longest: 2_000_000, jitter: 0.5 }
    }
}

/// How it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Calls pass.
    Closed {
        /// Failures in a row so far.
        failures: u32,
    },
    /// No call passes before this moment.
    Open {
        /// The moment.
        until: Micros,
        /// How long it stays open this time, without the part drawn at random.
        wait: Micros,
    },
    /// One call is out, and decides.
    HalfOpen {
        /// How long it was open before.
        wait: Micros,
    },
}

/// What it says of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// It may pass.
    Pass,
    /// It may pass, and decides for those after it.
    Probe,
    /// It may not, and not before this time has passed.
    Refuse {
        /// The time, microseconds.
        retry_after: Micros,
    },
}

/// A breaker.
#[derive(Debug, Clone)]
pub struct Breaker {
    limits: Limits,
    state: State,
}

impl Breaker {
    /// A closed one.
    pub fn new(limits: Limits) -> Self {
        Breaker { limits, state: State::Closed { failures: 0 } }
    }

    /// How it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a call may pass now.
    pub fn call(&mut self, now: Micros) -> Word {
        match self.state {
            State::Closed { .. } => Word::Pass,
            State::Open { until, wait } if now >= until => {
                self.state = State::HalfOpen { wait };
                Word::Probe
            }
            State::Open { until, .. } => Word::Refuse { retry_after: until - now },
            // The probe is out; what it will say is known in about the time that was waited for.
            State::HalfOpen { wait } => Word::Refuse { retry_after: wait.max(1) },
        }
    }

    /// A call was answered, whatever the answer.
    pub fn answered(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// A call was not answered in time, or its connection was lost. `drawn` is a random number from 0 to 1.
    pub fn failed(&mut self, now: Micros, drawn: f64) {
        match self.state {
            State::Closed { failures } if failures + 1 < self.limits.failures => {
                self.state = State::Closed { failures: failures + 1 };
            }
            State::Closed { .. } => self.open(now, self.limits.shortest, drawn),
            State::HalfOpen { wait } => {
                self.open(now, wait.saturating_mul(2).min(self.limits.longest), drawn);
            }
            // A call that had passed before it opened: nothing new.
            State::Open { .. } => {}
        }
    }

    /// The probe was given up before it could tell: the next call probes anew.
    pub fn abandoned(&mut self, now: Micros) {
        if let State::HalfOpen { wait } = self.state {
            self.state = State::Open { until: now, wait };
        }
    }

    fn open(&mut self, now: Micros, wait: Micros, drawn: f64) {
        let drawn = (wait as f64 * self.limits.jitter * drawn.clamp(0.0, 1.0)) as Micros;
        self.state = State::Open { until: now.saturating_add(wait).saturating_add(drawn), wait };
    }
}
