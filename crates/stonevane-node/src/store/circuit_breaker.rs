//! The circuit breaker in front of the store: while the store does not answer, calls fail at once, and the
//! policy is notified how long that lasts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use oorandom::Rand64;
use stonevane_policy::Micros;
use stonevane_store::StoreError;
use stonevane_store::breaker::{Breaker, Decision, Limits, State};

use super::Inner;
use crate::clock::to_micros;
use crate::log::log;

const MICROS_PER_MS: Micros = 1_000;

/// Circuit breaker with the clock and the random numbers that determine for how long it stays open.
pub(super) struct CircuitBreaker(Mutex<BreakerState>);

struct BreakerState {
    breaker: Breaker,
    epoch: Instant,
    random: Rand64,
}

impl BreakerState {
    fn now(&self) -> Micros {
        to_micros(self.epoch.elapsed())
    }
}

/// Change of the breaker's state by the end of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Transition {
    /// The breaker opened, or opened again: no calls for this time, in microseconds.
    Opened(Micros),
    /// The breaker has left the open state.
    Closed,
}

impl CircuitBreaker {
    /// Returns a closed breaker.
    pub fn new(limits: Limits, seed: u64) -> CircuitBreaker {
        let breaker = Breaker::new(limits);
        let random = Rand64::new(seed.into());
        CircuitBreaker(Mutex::new(BreakerState { breaker, epoch: Instant::now(), random }))
    }

    fn lock(&self) -> MutexGuard<'_, BreakerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self) -> Decision {
        let mut state = self.lock();
        let now = state.now();
        state.breaker.call(now)
    }

    fn abandon_probe(&self) {
        let mut state = self.lock();
        let now = state.now();
        state.breaker.abandoned(now);
    }

    /// Records the end of a call. Returns the change of state, if any.
    fn record(&self, answered: bool) -> Option<Transition> {
        let mut state = self.lock();
        let now = state.now();
        let random_fraction = state.random.rand_float();
        let before = state.breaker.state();
        if answered {
            state.breaker.answered();
        } else {
            state.breaker.failed(now, random_fraction);
        }
        match (before, state.breaker.state()) {
            (State::Open { .. }, State::Open { .. }) | (State::Closed { .. }, State::Closed { .. }) => None,
            (_, State::Open { until, .. }) => Some(Transition::Opened(until.saturating_sub(now))),
            _ => Some(Transition::Closed),
        }
    }
}

/// Permission for one call to the store. Dropping it without [`Permit::complete`] marks the call as
/// abandoned; if the call is the breaker's probe, the probe ends without a result.
pub(super) struct Permit {
    inner: Arc<Inner>,
    is_probe: bool,
    /// Number of calls that the store had answered when this one was admitted.
    answered_before: u64,
}

impl Permit {
    /// Admits a call, unless the breaker is open.
    pub fn acquire(inner: &Arc<Inner>) -> Result<Permit, StoreError> {
        let admission = inner.breaker.admit();
        if matches!(admission, Decision::Reject { .. }) {
            return Err(StoreError::Stopped);
        }
        Ok(Permit {
            inner: inner.clone(),
            is_probe: admission == Decision::Probe,
            answered_before: inner.store.answered(),
        })
    }

    /// Records the outcome of the call, and notifies the policy when the store becomes available or
    /// unavailable.
    pub fn complete<T>(mut self, result: &Result<T, StoreError>) {
        self.is_probe = false;
        let outage = result.as_ref().err().filter(|error| self.is_outage(error));
        let Some(transition) = self.inner.breaker.record(outage.is_none()) else { return };
        let unavailable_for = match transition {
            Transition::Opened(duration) => duration,
            Transition::Closed => 0,
        };
        match outage {
            Some(error) => {
                self.inner.counters.outages.increment();
                log(&format!("store: {error}; no call for {} ms", unavailable_for / MICROS_PER_MS));
            }
            None => log("store: it answers again"),
        }
        if let Some(on_unavailable) = self.inner.on_unavailable.get() {
            on_unavailable(unavailable_for);
        }
    }

    /// Returns whether an error shows that the store does not answer. A call that timed out waiting for a row
    /// lock or a pooled connection is no sign of an outage if the store has answered other calls meanwhile.
    fn is_outage(&self, error: &StoreError) -> bool {
        let none_answered = self.inner.store.answered() == self.answered_before;
        error.is_unresponsive() && (none_answered || *error == StoreError::Behind)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_probe {
            self.inner.breaker.abandon_probe();
        }
    }
}
