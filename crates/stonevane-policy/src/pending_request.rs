//! Pending requests: requests without a final answer, and the state of their attempts.

use crate::ids::{Key, Micros, ServerId};
use crate::settings::{RequestClass, Settings};

/// A request without a final answer.
#[derive(Default)]
pub struct PendingRequest {
    /// Class of the request, as the settings defined it on arrival.
    pub class: RequestClass,
    /// Maximum number of attempts, as the settings defined it on arrival.
    pub max_attempts: u32,
    pub key: Key,
    /// Whether the key was popular at this node before this request.
    pub popular: bool,
    /// Time since the key was last requested at this node, in microseconds; a lower bound if the history does
    /// not reach back to that request.
    pub unseen_for: Micros,
    pub write: bool,
    /// Whether a cache server has answered with a miss.
    pub missed: bool,
    /// Position in the settings of the tenant that the request was charged to; `None` if no tenant was
    /// charged.
    pub charged_tenant: Option<usize>,
    /// Lower bound of the Retry-After hint if the request is rejected, in microseconds.
    pub min_retry_after: Micros,
    /// Time at which the latency objective ends, less a margin for late calls of the policy.
    pub objective_at: Micros,
    /// Time at which the client gives up, less a margin for late calls of the policy.
    pub deadline: Micros,
    /// Number of attempts sent.
    pub attempts: u16,
    /// Number of attempts without an outcome.
    pub in_flight: u16,
    /// Attempts that are running or may have run, oldest first.
    pub may_have_run: Vec<PossibleRun>,
    /// Cache servers that must not be tried again for this request.
    pub tried: Vec<ServerId>,
    /// Number of the current backoff; retry timers with a lower number are stale.
    pub backoff: u32,
}

/// An attempt that may have run.
pub struct PossibleRun {
    pub attempt: u16,
    pub sent_at: Micros,
    pub server: ServerId,
}

impl PendingRequest {
    /// Returns the time until which an answer still earns something: the deadline if the class has a
    /// `late_weight` above 0, else the end of the latency objective.
    pub fn useful_until(&self) -> Micros {
        if self.class.late_weight > 0.0 { self.deadline } else { self.objective_at.min(self.deadline) }
    }

    /// Counts an attempt that is being sent and returns its number.
    pub fn record_attempt(&mut self, server: ServerId, now: Micros) -> u16 {
        let attempt = self.attempts;
        self.attempts += 1;
        self.in_flight += 1;
        self.may_have_run.push(PossibleRun { attempt, sent_at: now, server });
        attempt
    }

    /// Counts the end of an attempt. An attempt that is proven not to have run no longer restricts retries.
    pub fn record_end(&mut self, attempt: u16, proves_not_run: bool) {
        self.in_flight -= 1;
        if proves_not_run {
            self.may_have_run.retain(|run| run.attempt != attempt);
        }
    }

    /// Returns whether the request has made all its allowed attempts. The limit is the lower of the maximum
    /// on arrival and the maximum in the current settings.
    pub fn attempts_exhausted(&self, settings: &Settings) -> bool {
        u32::from(self.attempts) >= self.max_attempts.min(settings.max_attempts)
    }
}
