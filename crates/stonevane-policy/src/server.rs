//! State of one server: its entry in the endpoint list and what this node has learned from its attempts
//! there.

use crate::hash::{self, unit_hash};
use crate::ids::Micros;
use crate::outlier::OutlierRecord;
use crate::server_entry::{Condition, ServerEntry};
use crate::settings::{DedupScope, Settings};
use crate::statistics::MovingAverage;
use crate::token_bucket::SpentTokens;

/// Responses credited to a server in addition to the recent ones, so that an idle server may get a few
/// attempts.
pub const RESPONSE_CREDIT: f64 = 2.0;
/// Smallest live weight used as a divisor.
const MIN_LIVE_WEIGHT: f32 = 1e-3;

/// A server of the list and its learned state.
#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    pub is_origin: bool,
    /// Whether an operator has excluded the server.
    pub excluded: bool,
    /// Time at which an operator reinstated the server, until the next attempt is sent there; 0 otherwise.
    pub reinstated_at: Micros,
    /// With live weights, which fall with load, the highest weight seen: that of the idle server. Otherwise
    /// the current weight.
    pub idle_weight: f32,
    pub in_flight: u32,
    pub last_response_at: Micros,
    /// Send time of the latest attempt that the server has served.
    pub latest_served_sent_at: Micros,
    pub response_time: MovingAverage,
    /// Number of responses, decayed exponentially as of `last_response_at`.
    pub responses: f64,
    pub outlier: OutlierRecord,
    /// Attempts of the slow-start budget that are spent and not yet earned back.
    pub slow_start_spent: SpentTokens,
}

impl Server {
    /// Returns whether the endpoint list and the operators allow attempts at the server.
    pub fn is_available(&self) -> bool {
        self.entry.condition == Condition::Ready && !self.excluded
    }

    /// Counts an attempt that is being sent. `slow_start_spent` is the spent slow-start budget after this
    /// attempt.
    pub fn record_attempt(&mut self, slow_start_spent: SpentTokens) {
        self.in_flight += 1;
        self.slow_start_spent = slow_start_spent;
        self.reinstated_at = 0;
    }

    /// Returns the number of recent responses, decayed exponentially with the time constant `span`
    /// (microseconds).
    pub fn recent_responses(&self, now: Micros, span: Micros) -> f64 {
        self.responses * (-((now - self.last_response_at) as f64) / span as f64).exp()
    }

    /// Counts a response.
    pub fn record_response(&mut self, now: Micros, span: Micros) {
        self.responses = 1.0 + self.recent_responses(now, span);
        self.last_response_at = now;
    }

    /// Returns the requests per core that all nodes together have at the server, derived from its live
    /// weight.
    pub fn requests_per_core(&self) -> f64 {
        f64::from(self.idle_weight / self.entry.weight.max(MIN_LIVE_WEIGHT) - 1.0).max(0.0)
    }

    /// Returns the time in microseconds until the server has answered this node's attempts in flight there,
    /// at the rate of its recent responses (Little's law).
    pub fn backlog_time(&self, now: Micros, longest_objective: Micros) -> f64 {
        let responses = self.recent_responses(now, longest_objective) + RESPONSE_CREDIT;
        f64::from(self.in_flight) * longest_objective as f64 / responses
    }

    /// Returns the number of nodes among which the server's capacity is divided.
    pub fn sharing_nodes(&self, settings: &Settings) -> u32 {
        if self.entry.sharing_nodes == 0 { settings.nodes } else { self.entry.sharing_nodes }
    }

    /// Returns this node's share of the server's capacity, as a multiple of an equal share among all nodes.
    pub fn node_share(&self, settings: &Settings) -> f64 {
        f64::from(settings.nodes.max(1)) / f64::from(self.sharing_nodes(settings).max(1))
    }

    /// Returns whether the two servers drop duplicates of each other's requests. The origin forms a group of
    /// its own, because cache servers do not know which requests it has seen.
    pub fn shares_dedup_group(&self, other: &Server, scope: DedupScope) -> bool {
        match scope {
            _ if self.is_origin || other.is_origin => self.entry.id == other.entry.id,
            DedupScope::All => true,
            DedupScope::Zone => self.entry.zone == other.entry.zone,
            DedupScope::Cell => self.entry.cell == other.entry.cell,
        }
    }

    /// Applies a new entry of the endpoint list. If the entry shows a restart, the failures are cleared.
    pub fn apply_entry(&mut self, entry: &ServerEntry, settings: &Settings, now: Micros) {
        let restarted = entry.started > self.entry.started;
        // With unequal shares, the first attempts of all nodes together would overload a server in slow
        // start. Each node therefore starts at a random phase and waits until its own share has earned an
        // attempt.
        if entry.sharing_nodes != 0 && (restarted || entry.sharing_nodes != self.entry.sharing_nodes) {
            let spent = unit_hash(u64::from(settings.node_index), entry.id, hash::purpose::SLOW_START_PHASE);
            self.slow_start_spent = SpentTokens::new(spent, now);
        }
        if restarted {
            self.outlier.clear_failures();
        }
        self.idle_weight =
            if settings.weights_are_live { self.idle_weight.max(entry.weight) } else { entry.weight };
        // A server presumed restarted keeps the presumed start time until the list shows a later one, or 0.
        let started = if entry.started == 0 { 0 } else { entry.started.max(self.entry.started) };
        self.entry = ServerEntry { started, ..*entry };
    }

    /// Records that the server runs a new process, which the list may show late. The server is in slow start
    /// from now on.
    pub fn presume_restarted(&mut self, now: Micros) {
        self.entry.started = self.entry.started.max(now);
    }
}
