//! Slow start: a server that has just started has a part of its capacity, and all nodes together must not
//! send it more. They share nothing, so that each keeps to its own part of one budget, however many nodes
//! there are.
//!
//! Inputs: a server's start time and the settings' warm-up (microseconds), the node's request rate, its part
//! of the server, the weights. Two limits make up a node's part. A token bucket limits its rate. Where that
//! rate earns less than one attempt in a window, a bucket alone would let every node send one all the same,
//! and the sum would be the number of nodes: there an attempt passes by chance, as likely as the rate has
//! earned one since its key was last requested here. A key that is popular among all nodes then gets no more
//! than the rate of all of them, however seldom one of them sees it, and a key that is rarely requested
//! passes nearly always.

use crate::hash::{self, unit_hash};
use crate::ids::{Key, Micros, RequestId};
use crate::server::Server;
use crate::settings::Settings;
use crate::token_bucket::SpentTokens;

/// A server in slow start gets at most this multiple of a warm server's equal part of the quotas, scaled by
/// its warmth.
const MAX_RATE_MULTIPLE: f64 = 1.5;
/// It gets no more than this part of the multiple under which it fails: a full bucket then leaves it a
/// quarter.
const OVERLOAD_PART: f64 = 0.5;
/// Where chance decides, requests for one key draw this multiple of the rate: few servers have a key that is
/// requested so often, and rare keys pass the sooner.
const KEY_RATE_MULTIPLE: f64 = 2.0;
/// A node's bucket holds what its rate earns in this part of the overload window.
const BUCKET_WINDOW: f64 = 0.5;
/// Attempts that all nodes together may send on top of their rates.
const SHARED_CREDIT: f64 = 1.0;
/// The least weight of all servers, as a divisor.
const MIN_TOTAL_WEIGHT: f64 = 0.01;

/// The rule with its inputs at one moment.
pub struct SlowStart<'a> {
    pub settings: &'a Settings,
    pub now: Micros,
    /// Requests a second that are this node's to serve.
    pub request_rate: f64,
    /// This process's part of the node's quota.
    pub process_share: f64,
    /// Weight of the cache servers that are ready, and the highest that it was.
    pub total_weight: f64,
    pub peak_weight: f64,
    /// Makes draws by a request's number differ between nodes.
    pub node_salt: u64,
}

/// A read that looks for a server.
pub struct SlowStartRead {
    pub request: RequestId,
    pub key: Key,
    /// Whether the key was requested among the latest requests here.
    pub popular: bool,
    /// For how long the key was not requested here.
    pub unseen_for: Micros,
}

/// What this node may send a server in slow start.
struct NodeBudget {
    /// Attempts per microsecond.
    rate: f64,
    /// Attempts that the bucket holds; below 1 the rate earns less than one attempt in its part of the
    /// window.
    capacity: f64,
    /// Attempts that are not earned back yet.
    spent: f64,
}

impl SlowStart<'_> {
    /// The least part of its capacity that a server has by its age.
    fn warmth(&self, server: &Server) -> f64 {
        let started = server.entry.started;
        let age = self.now.saturating_sub(started) as f64 / self.settings.slow_start_duration.max(1) as f64;
        let initial = self.settings.initial_capacity;
        if started == 0 { 1.0 } else { (initial + (1.0 - initial) * age).min(1.0) }
    }

    /// Whether a read may go to a server. In slow start it gets a part of its keys that grows as it warms up,
    /// the same keys from every node, none that is popular here, and no more than the node's budget.
    /// `probes_reinstated`: an operator has reinstated the server, and one read goes there whatever its key.
    pub fn allows_read(&self, read: &SlowStartRead, server: &Server, probes_reinstated: bool) -> bool {
        let warmth = self.warmth(server);
        if warmth >= 1.0 {
            return true;
        }
        if read.popular || !self.has_budget(server) {
            return false;
        }
        probes_reinstated
            || unit_hash(read.key, server.entry.id, hash::purpose::SLOW_START_KEYS) < warmth
                && self.wins_draw(read, server)
    }

    /// Whether the node's bucket has a token for one more attempt at a server, where that is in slow start.
    pub fn has_budget(&self, server: &Server) -> bool {
        if server.is_origin || self.warmth(server) >= 1.0 {
            return true;
        }
        let budget = self.node_budget(server);
        budget.spent + 1.0 <= budget.capacity.max(1.0)
    }

    /// The spent tokens of a server, with one more attempt.
    pub fn spend_one(&self, server: &Server) -> SpentTokens {
        SpentTokens::new(self.node_budget(server).spent + 1.0, self.now)
    }

    /// Where the budget is less than one attempt: whether this request draws one. What the rate has earned
    /// since the key was last requested here is the chance of one request for it, so that requests for one
    /// key at all nodes draw no more than a multiple of the rate of all. As other servers leave, their keys
    /// come here too, and fewer draw one.
    fn wins_draw(&self, read: &SlowStartRead, server: &Server) -> bool {
        let budget = self.node_budget(server);
        let credit = SHARED_CREDIT / f64::from(server.sharing_nodes(self.settings).max(1));
        let earned = credit + KEY_RATE_MULTIPLE * budget.rate * read.unseen_for as f64;
        let draw =
            || unit_hash(read.request ^ self.node_salt, server.entry.id, hash::purpose::SLOW_START_DRAW);
        budget.capacity >= 1.0 || draw() < earned.min(self.remaining_weight_part())
    }

    fn node_budget(&self, server: &Server) -> NodeBudget {
        let quota = self.request_rate * server.node_share(self.settings);
        // Not the weight of the servers that are left: as others leave, one can do no more.
        let fleet_weight = self.peak_weight.max(self.settings.total_cache_weight).max(MIN_TOTAL_WEIGHT);
        let multiple = MAX_RATE_MULTIPLE.min(OVERLOAD_PART * self.settings.overload_multiple).max(0.0);
        let weight = self.settings.cache_weight_of(server.entry.weight);
        let rate = self.process_share * multiple * self.warmth(server) * quota * weight / fleet_weight / 1e6;
        let capacity = rate * self.settings.overload_window as f64 * BUCKET_WINDOW;
        NodeBudget { rate, capacity, spent: server.slow_start_spent.remaining(self.now, rate) }
    }

    /// The weight of the servers that are ready, as a part of the highest that it was: keys of servers that
    /// have left come to the others, and one in slow start takes no more for that.
    fn remaining_weight_part(&self) -> f64 {
        (self.total_weight / self.peak_weight.max(MIN_TOTAL_WEIGHT)).min(1.0)
    }
}
