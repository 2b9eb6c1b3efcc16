//! Slow start: decides whether a server that has just started may get a read, so that the attempts of all
//! nodes together stay within its reduced capacity.
//!
//! Inputs: the server's start time and the slow-start duration (microseconds), the node's request rate (per
//! second), the node's share of the server, the weights, and the key's recency. Nodes do not communicate, so
//! each one keeps to its own share of a common budget, whatever the number of nodes.
//!
//! A node's share has two limits. A token bucket limits its rate. If that rate earns less than one attempt in
//! the bucket's window, the bucket alone would still let every node send one attempt, and the sum would grow
//! with the number of nodes. In this case an attempt passes at random, with the probability that the rate has
//! earned one attempt since the key was last requested at this node. A key that is popular across nodes then
//! gets no more attempts than the combined rate allows, even if each node sees it rarely, and a rarely
//! requested key passes nearly always.

use crate::hash::{self, unit_hash};
use crate::ids::{Key, Micros, RequestId};
use crate::server::Server;
use crate::settings::Settings;
use crate::token_bucket::SpentTokens;

/// Maximum rate of attempts at a server in slow start, as a multiple of the server's weighted share of the
/// quotas. The result is scaled by the server's capacity fraction.
const MAX_RATE_MULTIPLE: f64 = 1.5;
/// Fraction of `overload_multiple` that the rate multiple may reach. With a full bucket the server then gets
/// three quarters of `overload_multiple`, which leaves a margin of a quarter.
const OVERLOAD_MULTIPLE_FRACTION: f64 = 0.5;
/// Maximum rate at which requests for one key pass at random, as a multiple of the slow-start rate. Few
/// servers have a key that is requested often enough to reach this rate, and rarely requested keys pass
/// sooner.
const KEY_RATE_MULTIPLE: f64 = 2.0;
/// Capacity of a node's bucket: the attempts that its rate earns in this fraction of the overload window.
const BUCKET_WINDOW_FRACTION: f64 = 0.5;
/// Credit of all nodes together, in attempts, that is added to the attempts earned by their rates.
const SHARED_CREDIT_ATTEMPTS: f64 = 1.0;
/// Smallest total weight used as a divisor.
const MIN_TOTAL_WEIGHT: f64 = 0.01;

/// The slow-start rule with its inputs at one moment.
pub struct SlowStart<'a> {
    pub settings: &'a Settings,
    pub now: Micros,
    /// Requests per second that this node has to serve.
    pub request_rate: f64,
    /// Fraction of the node's quota that belongs to this process.
    pub process_share: f64,
    /// Weight of the ready cache servers.
    pub total_weight: f64,
    /// Exponentially decaying maximum of `total_weight`.
    pub peak_weight: f64,
    /// Salt that makes random draws differ between nodes even for the same request identifier.
    pub node_salt: u64,
}

/// Properties of a read that the slow-start rule uses.
pub struct SlowStartRead {
    pub request: RequestId,
    pub key: Key,
    /// Whether the key was popular at this node before this request.
    pub popular: bool,
    /// Time since the key was last requested at this node, in microseconds.
    pub unseen_for: Micros,
}

/// Attempts that this node may send to a server in slow start.
struct NodeBudget {
    /// Attempts per microsecond.
    rate: f64,
    /// Attempts that the bucket holds. Below 1 the rate earns less than one attempt in the bucket's window.
    capacity: f64,
    /// Attempts that are spent and not yet earned back.
    spent: f64,
}

impl SlowStart<'_> {
    /// Returns the guaranteed fraction of a server's full capacity at its age: from `initial_capacity` at the
    /// start it grows linearly to 1 over `slow_start_duration`.
    fn capacity_fraction(&self, server: &Server) -> f64 {
        let started = server.entry.started;
        let age = self.now.saturating_sub(started) as f64 / self.settings.slow_start_duration.max(1) as f64;
        let initial = self.settings.initial_capacity;
        if started == 0 { 1.0 } else { (initial + (1.0 - initial) * age).min(1.0) }
    }

    /// Returns whether a read may go to a server. A server in slow start gets a subset of its keys that grows
    /// with its capacity fraction and is the same at every node. It gets no key that is popular at this node,
    /// and no more reads than the node's budget allows. `due_for_read` means that an operator has reinstated
    /// the server: one read goes there even if its key is not in the subset.
    pub fn allows_read(&self, read: &SlowStartRead, server: &Server, due_for_read: bool) -> bool {
        let capacity_fraction = self.capacity_fraction(server);
        if capacity_fraction >= 1.0 {
            return true;
        }
        if read.popular || !self.has_budget(server) {
            return false;
        }
        due_for_read
            || unit_hash(read.key, server.entry.id, hash::purpose::SLOW_START_KEYS) < capacity_fraction
                && self.passes_at_random(read, server)
    }

    /// Returns whether the node's bucket has a token for one more attempt at a server in slow start. The
    /// origin and warmed-up servers need none.
    pub fn has_budget(&self, server: &Server) -> bool {
        if server.is_origin || self.capacity_fraction(server) >= 1.0 {
            return true;
        }
        let budget = self.node_budget(server);
        budget.spent + 1.0 <= budget.capacity.max(1.0)
    }

    /// Returns the spent tokens of a server after one more attempt.
    pub fn spend_one(&self, server: &Server) -> SpentTokens {
        SpentTokens::new(self.node_budget(server).spent + 1.0, self.now)
    }

    /// Returns whether a read passes the random draw, which applies if the node's budget is less than one
    /// attempt. The read passes with a probability equal to the attempts that the rate has earned since the
    /// key was last requested at this node. The attempts of all nodes for one key then stay within a multiple
    /// of their combined rate. If other servers leave, the remaining servers also get their keys, and fewer
    /// reads pass.
    fn passes_at_random(&self, read: &SlowStartRead, server: &Server) -> bool {
        let budget = self.node_budget(server);
        let credit = SHARED_CREDIT_ATTEMPTS / f64::from(server.sharing_nodes(self.settings).max(1));
        let earned = credit + KEY_RATE_MULTIPLE * budget.rate * read.unseen_for as f64;
        let draw =
            || unit_hash(read.request ^ self.node_salt, server.entry.id, hash::purpose::SLOW_START_DRAW);
        budget.capacity >= 1.0 || draw() < earned.min(self.remaining_weight_fraction())
    }

    fn node_budget(&self, server: &Server) -> NodeBudget {
        let quota = self.request_rate * server.node_share(self.settings);
        // The divisor is the weight of the whole fleet and not that of the remaining servers, because the
        // capacity of a server does not grow when others leave.
        let fleet_weight = self.peak_weight.max(self.settings.total_cache_weight).max(MIN_TOTAL_WEIGHT);
        let multiple =
            MAX_RATE_MULTIPLE.min(OVERLOAD_MULTIPLE_FRACTION * self.settings.overload_multiple).max(0.0);
        let weight = self.settings.cache_weight_of(server.entry.weight);
        let rate = self.process_share * multiple * self.capacity_fraction(server) * quota * weight
            / fleet_weight
            / 1e6;
        let capacity = rate * self.settings.overload_window as f64 * BUCKET_WINDOW_FRACTION;
        NodeBudget { rate, capacity, spent: server.slow_start_spent.remaining(self.now, rate) }
    }

    /// Returns the weight of the ready servers as a fraction of its decaying maximum. The remaining servers
    /// get the keys of those that have left, but a server in slow start must not get more attempts as a
    /// result.
    fn remaining_weight_fraction(&self) -> f64 {
        (self.total_weight / self.peak_weight.max(MIN_TOTAL_WEIGHT)).min(1.0)
    }
}
