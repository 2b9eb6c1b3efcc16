//! One server: its line in the endpoint list and what this node has learned of it.

use crate::hash::{self, unit_hash};
use crate::ids::Micros;
use crate::outlier::OutlierRecord;
use crate::server_entry::{Condition, ServerEntry};
use crate::settings::{DedupScope, Settings};
use crate::statistics::MovingAverage;
use crate::token_bucket::SpentTokens;

/// Answers that a server is credited with before any were seen: an idle server may get a few attempts.
pub const ANSWER_CREDIT: f64 = 2.0;
/// The least weight that the number of requests per core is computed from.
const MIN_LIVE_WEIGHT: f32 = 1e-3;

/// A server of the list, and what this node has learned of it.
#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    pub is_origin: bool,
    /// An operator has excluded it.
    pub excluded: bool,
    /// When an operator reinstated it, until an attempt is sent there; 0 otherwise.
    pub reinstated_at: Micros,
    /// The highest weight seen; where weights fall with load, that of the idle server.
    pub idle_weight: f32,
    pub in_flight: u32,
    pub last_answer_at: Micros,
    /// When the latest of the attempts that it has answered was sent.
    pub latest_answered_sent_at: Micros,
    pub response_time: MovingAverage,
    /// Its answers, fading with the time since the last one.
    pub answers: f64,
    pub outlier: OutlierRecord,
    /// Attempts of its slow-start budget that are spent and not yet earned back.
    pub slow_start_spent: SpentTokens,
}

impl Server {
    /// Whether the list and the operators allow attempts there.
    pub fn is_available(&self) -> bool {
        self.entry.condition == Condition::Ready && !self.excluded
    }

    /// Counts an attempt that is sent there. `slow_start_spent`: what it leaves spent of the slow-start
    /// budget.
    pub fn record_attempt(&mut self, slow_start_spent: SpentTokens) {
        self.in_flight += 1;
        self.slow_start_spent = slow_start_spent;
        self.reinstated_at = 0;
    }

    /// Its recent answers: they fade over a time span.
    pub fn recent_answers(&self, now: Micros, span: Micros) -> f64 {
        self.answers * (-((now - self.last_answer_at) as f64) / span as f64).exp()
    }

    /// Counts an answer.
    pub fn count_answer(&mut self, now: Micros, span: Micros) {
        self.answers = 1.0 + self.recent_answers(now, span);
        self.last_answer_at = now;
    }

    /// Requests per core that all nodes have there, as far as its live weight shows.
    pub fn requests_per_core(&self) -> f64 {
        f64::from(self.idle_weight / self.entry.weight.max(MIN_LIVE_WEIGHT) - 1.0).max(0.0)
    }

    /// Time until it has answered what this node has in flight there, at the rate of its recent answers
    /// (Little's law).
    pub fn backlog(&self, now: Micros, longest_objective: Micros) -> f64 {
        let answers = self.recent_answers(now, longest_objective) + ANSWER_CREDIT;
        f64::from(self.in_flight) * longest_objective as f64 / answers
    }

    /// Nodes among which its capacity is divided.
    pub fn sharing_nodes(&self, settings: &Settings) -> u32 {
        if self.entry.sharing_nodes == 0 { settings.nodes } else { self.entry.sharing_nodes }
    }

    /// This node's part of its capacity, as a multiple of an equal part of all nodes.
    pub fn node_share(&self, settings: &Settings) -> f64 {
        f64::from(settings.nodes.max(1)) / f64::from(self.sharing_nodes(settings).max(1))
    }

    /// Whether the two servers drop duplicates of each other's requests. The origin is a group of its own:
    /// cache servers do not know what it has seen.
    pub fn shares_dedup_group(&self, other: &Server, scope: DedupScope) -> bool {
        match scope {
            _ if self.is_origin || other.is_origin => self.entry.id == other.entry.id,
            DedupScope::All => true,
            DedupScope::Zone => self.entry.zone == other.entry.zone,
            DedupScope::Cell => self.entry.cell == other.entry.cell,
        }
    }

    /// Takes a new line of the list. A new process starts with a clean record.
    pub fn update(&mut self, entry: &ServerEntry, settings: &Settings, now: Micros) {
        let restarted = entry.started > self.entry.started;
        // Where the parts of a server are unequal, the sum of first attempts would overload a cold one: each
        // node waits for its first until its own part is earned.
        if entry.sharing_nodes != 0 && (restarted || entry.sharing_nodes != self.entry.sharing_nodes) {
            let spent = unit_hash(u64::from(settings.node_index), entry.id, hash::purpose::SLOW_START_PHASE);
            self.slow_start_spent = SpentTokens::new(spent, now);
        }
        if restarted {
            self.outlier.clear_failures();
        }
        self.idle_weight =
            if settings.weights_are_live { self.idle_weight.max(entry.weight) } else { entry.weight };
        // A server presumed restarted stays so until the list knows.
        let started = if entry.started == 0 { 0 } else { entry.started.max(self.entry.started) };
        self.entry = ServerEntry { started, ..*entry };
    }

    /// It is known to run a new process, which the list may show late: it starts cold.
    pub fn presume_restarted(&mut self, now: Micros) {
        self.entry.started = self.entry.started.max(now);
    }
}
