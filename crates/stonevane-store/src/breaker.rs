//! A circuit breaker before a store: closed, open, and half-open with one probe (M. Nygard, "Release It!").
//! No I/O, no clock: time is an argument.

/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// Failure threshold and durations of the open state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Failures in a row, with no answer between them, that open the breaker.
    pub failure_threshold: u32,
    /// Duration of the open state after the threshold is reached.
    pub min_open: Micros,
    /// The longest duration of the open state, which doubles with each failed probe.
    pub max_open: Micros,
    /// Largest random addition to the duration of the open state, as a fraction of that duration. It keeps
    /// nodes from probing the store at the same time.
    pub jitter: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { failure_threshold: 5, min_open: 250_000, max_open: 2_000_000, jitter: 0.5 }
    }
}

/// State of the breaker, which decides whether calls reach the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Calls pass.
    Closed {
        /// Failures in a row so far.
        failures: u32,
    },
    /// Calls are rejected.
    Open {
        /// Time from which a probe may pass.
        until: Micros,
        /// Duration of this open state, without the random part.
        wait: Micros,
    },
    /// One call, the probe, is in progress; others are rejected.
    HalfOpen {
        /// Duration of the preceding open state, without the random part.
        wait: Micros,
    },
}

/// The breaker's decision on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call may pass.
    Pass,
    /// The call may pass as the probe: its outcome closes the breaker or opens it again.
    Probe,
    /// The call is rejected.
    Reject {
        /// Time after which another call may be tried, microseconds.
        retry_after: Micros,
    },
}

/// A circuit breaker before one store. Its user reports the outcome of each call that passed with
/// [`Breaker::answered`], [`Breaker::failed`] or [`Breaker::abandoned`].
#[derive(Debug, Clone)]
pub struct Breaker {
    limits: Limits,
    state: State,
}

impl Breaker {
    /// A closed breaker without failures.
    pub fn new(limits: Limits) -> Self {
        Breaker { limits, state: State::Closed { failures: 0 } }
    }

    /// The present state. An open breaker becomes half-open only with the next [`Breaker::call`].
    pub fn state(&self) -> State {
        self.state
    }

    /// Decides whether a call may pass now.
    pub fn call(&mut self, now: Micros) -> Decision {
        match self.state {
            State::Closed { .. } => Decision::Pass,
            State::Open { until, wait } if now >= until => {
                self.state = State::HalfOpen { wait };
                Decision::Probe
            }
            State::Open { until, .. } => Decision::Reject { retry_after: until - now },
            // The outcome of the probe is expected within about the duration of the last open state.
            State::HalfOpen { wait } => Decision::Reject { retry_after: wait.max(1) },
        }
    }

    /// Closes the breaker and resets its failure count, because a call was answered, with a value or with an
    /// error.
    pub fn answered(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Counts a call that was not answered in time, or that lost its connection. Opens the breaker at the
    /// failure threshold, or if a probe is in progress. `random` is a random number from 0 to 1.
    pub fn failed(&mut self, now: Micros, random: f64) {
        match self.state {
            State::Closed { failures } if failures + 1 < self.limits.failure_threshold => {
                self.state = State::Closed { failures: failures + 1 };
            }
            State::Closed { .. } => self.open(now, self.limits.min_open, random),
            State::HalfOpen { wait } => {
                self.open(now, wait.saturating_mul(2).min(self.limits.max_open), random);
            }
            // The call began before the breaker opened, so its failure adds nothing.
            State::Open { .. } => {}
        }
    }

    /// Lets the next call be the probe, because the present probe was abandoned before its outcome was known.
    /// Has no effect if no probe is in progress.
    pub fn abandoned(&mut self, now: Micros) {
        if let State::HalfOpen { wait } = self.state {
            self.state = State::Open { until: now, wait };
        }
    }

    fn open(&mut self, now: Micros, wait: Micros, random: f64) {
        let jitter = (wait as f64 * self.limits.jitter * random.clamp(0.0, 1.0)) as Micros;
        self.state = State::Open { until: now.saturating_add(wait).saturating_add(jitter), wait };
    }
}
