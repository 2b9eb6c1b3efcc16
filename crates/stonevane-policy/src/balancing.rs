//! Balancing: decides which cache server a read goes to.
//!
//! Inputs: the key, the available servers with their weights, this node's attempts in flight, the learned
//! state of the servers, and the request's time left (microseconds).
//!
//! Weighted rendezvous hashing gives each key a consistent order of the servers that is the same at every
//! node. A read goes to the first server within the load bound (consistent hashing with bounded loads), so
//! that a key stays in few caches while no server gets too much of the load.
//!
//! The hashes of thousands of servers are computed in one pass over a dense table. Only the first
//! [`HEAD_LENGTH`] servers of the order are examined further; the full order is sorted only if none of them
//! is suitable.

use crate::hash::KeyHasher;
use crate::ids::{Micros, RequestId, ServerId};
use crate::server::Server;
use crate::server_pool::{Candidate, ServerPool};
use crate::settings::Settings;
use crate::slow_start::{SlowStart, SlowStartRead};

/// Load bound while the origin has capacity for the fetch that skipping a server costs. A server is skipped
/// if its attempts in flight reach this multiple of its share of the node's attempts in flight.
const LOAD_BOUND: f64 = 1.25;
/// Load bound while the origin limits are saturated, as a multiple of the server's share of the node's
/// attempts in flight.
const LOAD_BOUND_SATURATED: f64 = 3.0;
/// Fraction of the origin calls blocked by a limit from which the origin limits count as saturated.
const SATURATED_FRACTION: f64 = 0.05;
/// Floor of the load bound: number of attempts in flight at one server that are within the bound at any load,
/// summed over the nodes that share the server. Without this floor a node with few requests would scatter its
/// keys.
const MIN_SHARED_LOAD_BOUND: f64 = 8.0;
/// Smallest number of nodes among which the floor is divided, so that a single node does not use all of it.
const MIN_SHARING_NODES: u32 = 2;
/// Largest multiple of the floor for a server that responds faster than the others.
const MAX_FLOOR_MULTIPLE: f64 = 2.0;
/// Maximum wait at a server, as a fraction of the request's time left.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Time in microseconds after which a reinstated server without an attempt gets the next read, whatever its
/// key.
const REINSTATED_READ_DELAY: Micros = 1_000_000;
/// Number of servers at the head of a key's order that the first pass collects.
const HEAD_LENGTH: usize = 16;

/// A server with its score for one key. Lower scores come first in the key's order; ties are ordered by id.
#[derive(Clone, Copy, Default, PartialEq, PartialOrd)]
struct ScoredServer {
    score: f64,
    server: ServerId,
}

/// Suitability of a server apart from its position in the key's order, compared field by field. Lower is
/// better.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether outlier detection ranks the server last.
    ejected: bool,
    /// Whether the server exceeds the load bound or the wait there is too long.
    overloaded: bool,
    /// Whether the server is not due for a first read after its reinstatement.
    not_due_for_read: bool,
}

/// Best rank of a server that is not due for a first read after its reinstatement.
const BEST_REGULAR_RANK: Rank = Rank { ejected: false, overloaded: false, not_due_for_read: true };

/// The first [`HEAD_LENGTH`] servers of a key's order, sorted.
#[derive(Default)]
struct OrderHead {
    servers: [ScoredServer; HEAD_LENGTH],
    length: usize,
}

impl OrderHead {
    fn servers(&self) -> &[ScoredServer] {
        &self.servers[..self.length]
    }

    /// Returns the score that a server must not exceed to be inserted.
    fn worst_score(&self) -> f64 {
        if self.length < HEAD_LENGTH { f64::INFINITY } else { self.servers[HEAD_LENGTH - 1].score }
    }

    fn insert(&mut self, scored: ScoredServer) {
        let at = self.servers().partition_point(|before| *before < scored);
        if at == HEAD_LENGTH {
            return;
        }
        self.length = (self.length + 1).min(HEAD_LENGTH);
        self.servers[at..self.length].rotate_right(1);
        self.servers[at] = scored;
    }
}

/// The order of all candidates for a key, computed only as far as needed.
struct ServerOrder<'a> {
    candidates: &'a [Candidate],
    hasher: KeyHasher,
    weighted: bool,
}

impl ServerOrder<'_> {
    fn scored(&self, candidate: &Candidate, draw: f64) -> ScoredServer {
        // With equal weights the order is the same without the logarithm.
        let score = if self.weighted { -draw.ln() / candidate.weight } else { -draw };
        ScoredServer { score, server: candidate.id }
    }

    /// Returns a lower bound of a server's score that needs no logarithm.
    fn min_score(&self, candidate: &Candidate, draw: f64) -> f64 {
        if self.weighted { (1.0 - draw) / candidate.weight } else { -draw }
    }

    fn head(&self) -> OrderHead {
        let mut head = OrderHead::default();
        for candidate in self.candidates {
            let draw = self.hasher.unit_hash(candidate.id);
            if self.min_score(candidate, draw) <= head.worst_score() {
                head.insert(self.scored(candidate, draw));
            }
        }
        head
    }

    /// Returns the servers after the head, sorted.
    fn rest(&self) -> Vec<ScoredServer> {
        let scored = |candidate: &Candidate| self.scored(candidate, self.hasher.unit_hash(candidate.id));
        let mut servers: Vec<ScoredServer> = self.candidates.iter().map(scored).collect();
        servers.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        servers.split_off(HEAD_LENGTH.min(servers.len()))
    }
}

/// A read for which balancing chooses a server.
pub struct PendingRead<'a> {
    pub request: RequestId,
    /// Key and recency, which the slow-start rule uses as well.
    pub slow_start: SlowStartRead,
    /// Servers that must not be tried again.
    pub tried: &'a [ServerId],
    pub time_left: Micros,
}

/// The balancing rule with its inputs at one moment.
pub struct Balancing<'a> {
    pub settings: &'a Settings,
    pub pool: &'a ServerPool,
    pub slow_start: SlowStart<'a>,
    pub now: Micros,
    pub longest_objective: Micros,
    /// Fraction of the origin calls blocked by a limit.
    pub origin_saturation: f64,
    /// Whether the node sheds load.
    pub shedding: bool,
}

impl Balancing<'_> {
    /// Returns the server with the best rank, the first one in the key's order among equals. Usually this is
    /// the first server within the load bound; if none is within it, the first server that is not ejected.
    /// Returns `None` if no server is allowed or the wait at the chosen one is too long.
    pub fn choose(&self, read: &PendingRead<'_>) -> Option<ServerId> {
        let order = ServerOrder {
            candidates: self.pool.candidates(),
            hasher: KeyHasher::new(read.slow_start.key),
            weighted: self.settings.weights_are_sizes,
        };
        let mut best = None;
        let decided = self.evaluate(read, order.head().servers(), &mut best);
        if !decided && order.candidates.len() > HEAD_LENGTH {
            self.evaluate(read, &order.rest(), &mut best);
        }
        // If the wait at the best server is too long, no other server is chosen: the next suitable one may be
        // far down the order, which would scatter the keys and lower the hit ratio of the caches.
        best.map(|(_, server)| server).filter(|server| !self.wait_is_too_long(read, *server))
    }

    /// Examines a part of the order and keeps the first server of the best rank in `best`. Returns whether no
    /// later server can be better.
    fn evaluate(
        &self,
        read: &PendingRead<'_>,
        servers: &[ScoredServer],
        best: &mut Option<(Rank, ServerId)>,
    ) -> bool {
        let load_bound = self.load_bound();
        for scored in servers {
            let Some(server) = self.pool.get(scored.server) else { continue };
            // A reinstated server whose keys are rarely requested would otherwise get no read for a long
            // time.
            let due_for_read =
                server.reinstated_at != 0 && self.now >= server.reinstated_at + REINSTATED_READ_DELAY;
            if read.tried.contains(&scored.server)
                || !self.slow_start.allows_read(&read.slow_start, server, due_for_read)
            {
                continue;
            }
            let rank = Rank {
                // Ejected servers rank last and are not left out: if most servers are ejected the cause is
                // shared, and no better server exists.
                ejected: server.outlier.ranks_last(self.now, server.in_flight),
                overloaded: self.exceeds_bound(server, load_bound)
                    || self.pool.queue_wait_estimate(read.request, server)
                        > read.time_left as f64 * MAX_WAIT_FRACTION,
                not_due_for_read: !due_for_read,
            };
            if best.is_none_or(|(before, _)| rank < before) {
                *best = Some((rank, scored.server));
            }
            if rank <= BEST_REGULAR_RANK && !self.pool.has_untried_reinstated() {
                return true;
            }
        }
        false
    }

    /// Returns whether the wait at a server exceeds its fraction of the request's time left. Under load
    /// shedding the wait includes this node's own backlog there.
    fn wait_is_too_long(&self, read: &PendingRead<'_>, server: ServerId) -> bool {
        self.pool.get(server).is_some_and(|server| {
            let backlog_time =
                if self.shedding { server.backlog_time(self.now, self.longest_objective) } else { 0.0 };
            let wait = self.pool.queue_wait_estimate(read.request, server).max(backlog_time);
            wait > read.time_left as f64 * MAX_WAIT_FRACTION
        })
    }

    /// Returns the number of attempts in flight per unit of weight from which a server is skipped. It rises
    /// from `LOAD_BOUND` to `LOAD_BOUND_SATURATED` with the saturation of the origin limits, because skipping
    /// a server costs a fetch.
    fn load_bound(&self) -> f64 {
        let saturation = (self.origin_saturation / SATURATED_FRACTION).min(1.0);
        let multiple = LOAD_BOUND + (LOAD_BOUND_SATURATED - LOAD_BOUND) * saturation;
        multiple * f64::from(self.pool.cache_attempts_in_flight() + 1) / self.pool.total_weight()
    }

    fn exceeds_bound(&self, server: &Server, load_bound: f64) -> bool {
        let sharing_nodes = server.sharing_nodes(self.settings).max(MIN_SHARING_NODES);
        let floor = MIN_SHARED_LOAD_BOUND / f64::from(sharing_nodes);
        // Weights may not show how slow a server is, so the floor is lower for a slow server and higher for a
        // fast one.
        let floor = match server.response_time.recorded() {
            Some(time) => floor * (self.pool.cache_response_time() / time).min(MAX_FLOOR_MULTIPLE),
            None => floor,
        };
        let weight = self.settings.cache_weight_of(server.entry.weight);
        f64::from(server.in_flight) >= (load_bound * weight).max(floor)
    }
}
