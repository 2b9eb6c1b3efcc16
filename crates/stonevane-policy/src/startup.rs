//! Start-up limit: decides whether a process that has just started may have one more attempt at cache servers
//! in flight.
//!
//! Inputs: the attempts per server that all nodes together may have in flight at their start (setting
//! `startup_attempts_per_server`), the cache servers, the age of the process (in longest latency objectives),
//! and the timely responses so far. Each node limits its attempts in flight to a window. Nodes that all start
//! at once know nothing of the load, so their windows add up to what the servers can take, whatever the
//! number of nodes. The window doubles in each latency objective: a share below one attempt grows to a whole
//! one, and a node without requests is soon unlimited.

use crate::hash::{self, unit_hash};
use crate::ids::Micros;
use crate::settings::Settings;

/// Attempts that each timely response adds to the window.
const ATTEMPTS_PER_TIMELY_RESPONSE: f64 = 0.25;
/// Upper bound of a rejected client's Retry-After hint, as a fraction of the request's time left. The hint is
/// random below this bound, since many clients are rejected at once.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.5;

/// State of the start-up limit of one process.
pub struct StartupLimit {
    /// Time of the first event, which counts as the start of the process; 0 before the first event.
    started_at: Micros,
    /// Offset of the window between 0 and 1 attempt, fixed for the node. If shares are below one attempt, the
    /// offset gives some of the nodes a whole attempt.
    phase: f64,
    timely_responses: f64,
}

/// Inputs of the start-up limit, apart from its own state.
pub struct StartupInputs<'a> {
    pub settings: &'a Settings,
    pub now: Micros,
    pub longest_objective: Micros,
    /// Number of cache servers, each counted by this node's share of the server's capacity.
    pub cache_server_shares: f64,
    /// Attempts of this node in flight at cache servers.
    pub in_flight: u32,
}

impl StartupLimit {
    /// Creates the limit of a process that has had no event.
    pub fn new(seed: u64, node_index: u32) -> Self {
        let phase = unit_hash(seed, node_index, hash::purpose::STARTUP_PHASE);
        StartupLimit { started_at: 0, phase, timely_responses: 0.0 }
    }

    /// Records the time of an event. The first one is the start of the process.
    pub fn record_event_time(&mut self, now: Micros) {
        if self.started_at == 0 {
            self.started_at = now;
        }
    }

    /// Returns the time at which the process started.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Counts a timely response of a cache server.
    pub fn record_timely_response(&mut self) {
        self.timely_responses += 1.0;
    }

    /// Returns whether one more attempt at a cache server is within the limit.
    pub fn allows(&self, inputs: &StartupInputs<'_>) -> bool {
        let per_server = inputs.settings.startup_attempts_per_server;
        let share = per_server * inputs.cache_server_shares / f64::from(inputs.settings.nodes.max(1));
        let age = inputs.now.saturating_sub(self.started_at) as f64 / inputs.longest_objective as f64;
        let window = (share + self.phase) * age.exp2() + self.timely_responses * ATTEMPTS_PER_TIMELY_RESPONSE;
        per_server <= 0.0 || f64::from(inputs.in_flight + 1) <= window
    }
}

/// Returns the Retry-After hint of a request that the limit rejects, in microseconds. `random_unit` is a
/// random number from 0 to 1.
pub fn retry_after(time_left: Micros, random_unit: f64) -> Micros {
    (time_left as f64 * MAX_RETRY_AFTER_FRACTION * random_unit) as Micros
}
