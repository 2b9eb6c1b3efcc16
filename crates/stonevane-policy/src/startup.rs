//! Start-up limit: attempts at cache servers that a new process may have in flight.
//!
//! Inputs: the attempts that all nodes together may have in flight at their start (setting
//! `startup_attempts_per_server`), the cache servers, the age of the process (in longest latency objectives)
//! and the timely answers so far. Nodes that all start at once know nothing of the load: their windows add up
//! to what the servers can take, however many nodes there are. The window doubles in each latency objective,
//! so that a share below one attempt opens, and a node that was idle is soon unlimited.

use crate::hash::{self, unit_hash};
use crate::ids::Micros;
use crate::settings::Settings;

/// Attempts added to the window by each timely answer.
const WINDOW_PER_ANSWER: f64 = 0.25;
/// Part of the time left after which a rejected client retries at the latest; spread, since many are rejected
/// at once.
const MAX_RETRY_AFTER: f64 = 0.5;

/// The start-up limit of one process.
pub struct StartupLimit {
    /// When the process started; 0 until the first event.
    started_at: Micros,
    /// Between 0 and 1 attempt, fixed for the node: where shares are below one attempt, some nodes get a
    /// whole one.
    phase: f64,
    timely_answers: f64,
}

/// What the window is computed from, beside what the limit itself has learned.
pub struct StartupInputs<'a> {
    pub settings: &'a Settings,
    pub now: Micros,
    pub longest_objective: Micros,
    /// Cache servers, each counted by the part of its capacity that is this node's.
    pub cache_server_shares: f64,
    /// Attempts of this node at cache servers.
    pub in_flight: u32,
}

impl StartupLimit {
    /// The limit of a process that has not started yet.
    pub fn new(seed: u64, node_index: u32) -> Self {
        let phase = unit_hash(seed, node_index, hash::purpose::STARTUP_PHASE);
        StartupLimit { started_at: 0, phase, timely_answers: 0.0 }
    }

    /// Notes the time of an event; the first is the start.
    pub fn note_time(&mut self, now: Micros) {
        if self.started_at == 0 {
            self.started_at = now;
        }
    }

    /// When the process started.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// A cache server has answered in time.
    pub fn record_timely_answer(&mut self) {
        self.timely_answers += 1.0;
    }

    /// Whether one more attempt at a cache server is within the limit.
    pub fn allows(&self, inputs: &StartupInputs<'_>) -> bool {
        let per_server = inputs.settings.startup_attempts_per_server;
        let share = per_server * inputs.cache_server_shares / f64::from(inputs.settings.nodes.max(1));
        let age = inputs.now.saturating_sub(self.started_at) as f64 / inputs.longest_objective as f64;
        let window = (share + self.phase) * age.exp2() + self.timely_answers * WINDOW_PER_ANSWER;
        per_server <= 0.0 || f64::from(inputs.in_flight + 1) <= window
    }
}

/// The Retry-After of a request that the limit rejects, from a random number between 0 and 1.
pub fn retry_after(time_left: Micros, random_unit: f64) -> Micros {
    (time_left as f64 * MAX_RETRY_AFTER * random_unit) as Micros
}
