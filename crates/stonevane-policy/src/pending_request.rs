//! Requests that wait for their final answer.

use crate::ids::{Key, Micros, ServerId};
use crate::settings::{RequestClass, Settings};

/// A request that waits for its final answer.
#[derive(Default)]
pub struct PendingRequest {
    /// Its class as it was when it arrived.
    pub class: RequestClass,
    /// The attempts it may make, as the settings were when it arrived.
    pub max_attempts: u32,
    pub key: Key,
    /// Whether its key was requested among the latest requests here.
    pub popular: bool,
    /// For how long its key was not requested here.
    pub unseen_for: Micros,
    pub write: bool,
    /// Whether a cache server has answered with a miss.
    pub missed: bool,
    /// The tenant whose quota it was charged to.
    pub charged_tenant: Option<usize>,
    /// The least Retry-After of its rejection.
    pub min_retry_after: Micros,
    /// When its latency objective is over.
    pub objective_at: Micros,
    /// When its client gives up, less a margin.
    pub deadline: Micros,
    /// Attempts sent so far.
    pub attempts: u16,
    /// Attempts without outcome.
    pub in_flight: u16,
    /// Attempts that run or may have run, oldest first.
    pub may_have_run: Vec<PossibleRun>,
    /// Cache servers not to be tried again.
    pub tried: Vec<ServerId>,
    /// Number of its present backoff; a retry timer of an older one is stale.
    pub backoff: u32,
}

/// An attempt that may have run.
pub struct PossibleRun {
    pub attempt: u16,
    pub sent_at: Micros,
    pub server: ServerId,
}

impl PendingRequest {
    /// Until when an answer still earns something.
    pub fn useful_until(&self) -> Micros {
        if self.class.late_weight > 0.0 { self.deadline } else { self.objective_at.min(self.deadline) }
    }

    /// Counts an attempt that is sent, and returns its number.
    pub fn record_attempt(&mut self, server: ServerId, now: Micros) -> u16 {
        let attempt = self.attempts;
        self.attempts += 1;
        self.in_flight += 1;
        self.may_have_run.push(PossibleRun { attempt, sent_at: now, server });
        attempt
    }

    /// Counts the end of an attempt.
    pub fn record_end(&mut self, attempt: u16, proves_not_run: bool) {
        self.in_flight -= 1;
        if proves_not_run {
            self.may_have_run.retain(|run| run.attempt != attempt);
        }
    }

    /// Whether it has made all attempts that it may: no more than when it arrived, nor than now.
    pub fn attempts_exhausted(&self, settings: &Settings) -> bool {
        u32::from(self.attempts) >= self.max_attempts.min(settings.max_attempts)
    }
}
