//! Balancing: which cache server a read goes to.
//!
//! Each key has a consistent order of the servers, the same at every node (weighted rendezvous hashing), and
//! a read goes to the first one within the load bound (consistent hashing with bounded loads). Inputs: the
//! key, the available servers with their weights, this node's attempts in flight, the request's time left
//! (microseconds).
//!
//! The hashes of thousands of servers are computed in one pass over a dense table; only the few that come
//! first are examined further, and the whole order is sorted only where none of those will do.

use crate::hash::KeyHasher;
use crate::ids::{Micros, RequestId, ServerId};
use crate::server::Server;
use crate::server_pool::{Candidate, ServerPool};
use crate::settings::Settings;
use crate::slow_start::{SlowStart, SlowStartRead};

/// Load bound while the origin has capacity for the fetch that a skip costs: multiple of a server's part of
/// this node's attempts in flight from which it is skipped.
const LOAD_BOUND: f64 = 1.25;
/// Load bound while the limits of the origin are saturated.
const LOAD_BOUND_SATURATED: f64 = 3.0;
/// Part of the origin calls that find a limit reached from which the limits are saturated.
const SATURATED: f64 = 0.05;
/// A node's part of this many attempts at one server is within the bound: a quiet node would scatter its
/// keys.
const LOAD_BOUND_FLOOR: f64 = 8.0;
/// The floor is divided among this many nodes at least: one alone must not use all of it.
const MIN_SHARING_NODES: u32 = 2;
/// The floor of a server that is quicker than the others is at most this multiple.
const MAX_FLOOR_MULTIPLE: f64 = 2.0;
/// A server whose queue takes longer than this part of the time left is full.
const FULL_QUEUE: f64 = 0.5;
/// A reinstated server that none of its keys has come by for this long gets the next read.
const REINSTATED_WAIT: Micros = 1_000_000;
/// Servers at the head of a key's order that the first pass collects.
const HEAD: usize = 16;

/// A server's place in a key's order: the smaller, the earlier; ties by id.
#[derive(Clone, Copy, Default, PartialEq, PartialOrd)]
struct Place {
    score: f64,
    server: ServerId,
}

/// How good a choice is apart from its place, the smaller the better: compared field by field in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    ejected: bool,
    full: bool,
    /// It is not a reinstated server that waits for a read.
    not_awaited: bool,
}

/// What an ordinary server reaches at best.
const BEST_ORDINARY: Rank = Rank { ejected: false, full: false, not_awaited: true };

/// The first places of an order, sorted.
#[derive(Default)]
struct Head {
    places: [Place; HEAD],
    length: usize,
}

impl Head {
    fn places(&self) -> &[Place] {
        &self.places[..self.length]
    }

    /// The score that a place must not exceed to be among them.
    fn worst_score(&self) -> f64 {
        if self.length < HEAD { f64::INFINITY } else { self.places[HEAD - 1].score }
    }

    fn insert(&mut self, place: Place) {
        let at = self.places().partition_point(|before| *before < place);
        if at == HEAD {
            return;
        }
        self.length = (self.length + 1).min(HEAD);
        self.places[at..self.length].rotate_right(1);
        self.places[at] = place;
    }
}

/// The order of all candidates for a key, computed as far as it is needed.
struct ServerOrder<'a> {
    candidates: &'a [Candidate],
    hasher: KeyHasher,
    weighted: bool,
}

impl ServerOrder<'_> {
    fn place(&self, candidate: &Candidate, draw: f64) -> Place {
        // The same order without the logarithm where all have the same weight.
        let score = if self.weighted { -draw.ln() / candidate.weight } else { -draw };
        Place { score, server: candidate.id }
    }

    /// A lower bound of a server's score that costs no logarithm.
    fn min_score(&self, candidate: &Candidate, draw: f64) -> f64 {
        if self.weighted { (1.0 - draw) / candidate.weight } else { -draw }
    }

    fn head(&self) -> Head {
        let mut head = Head::default();
        for candidate in self.candidates {
            let draw = self.hasher.of(candidate.id);
            if self.min_score(candidate, draw) <= head.worst_score() {
                head.insert(self.place(candidate, draw));
            }
        }
        head
    }

    /// The places behind the head.
    fn rest(&self) -> Vec<Place> {
        let place = |candidate: &Candidate| self.place(candidate, self.hasher.of(candidate.id));
        let mut places: Vec<Place> = self.candidates.iter().map(place).collect();
        places.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        places.split_off(HEAD.min(places.len()))
    }
}

/// A read that looks for a server.
pub struct ReadCandidate<'a> {
    pub request: RequestId,
    /// Key and recency, for slow start as well.
    pub slow_start: SlowStartRead,
    /// Servers not to be tried again.
    pub tried: &'a [ServerId],
    pub time_left: Micros,
}

/// The rule with its inputs at one moment.
pub struct Balancing<'a> {
    pub settings: &'a Settings,
    pub pool: &'a ServerPool,
    pub slow_start: SlowStart<'a>,
    pub now: Micros,
    pub longest_objective: Micros,
    /// Part of the calls to the origin that find a limit reached.
    pub origin_saturation: f64,
    /// Whether load is shed.
    pub shedding: bool,
}

impl Balancing<'_> {
    /// The first server in the key's order within the load bound, else the first; none where that is full.
    pub fn choose(&self, read: &ReadCandidate<'_>) -> Option<ServerId> {
        let order = ServerOrder {
            candidates: self.pool.candidates(),
            hasher: KeyHasher::new(read.slow_start.key),
            weighted: self.settings.weights_are_sizes,
        };
        let mut best = None;
        let settled = self.examine(read, order.head().places(), &mut best);
        if !settled && order.candidates.len() > HEAD {
            self.examine(read, &order.rest(), &mut best);
        }
        // Passing over a full server for one far down the order would scatter the keys and empty the caches.
        best.map(|(_, server)| server).filter(|server| !self.is_full(read, *server))
    }

    /// Examines a part of an order and keeps the first of the best rank; returns whether no later one can be
    /// better.
    fn examine(
        &self,
        read: &ReadCandidate<'_>,
        places: &[Place],
        best: &mut Option<(Rank, ServerId)>,
    ) -> bool {
        let load_bound = self.load_bound();
        for place in places {
            let Some(server) = self.pool.get(place.server) else { continue };
            // Guards against a reinstated server that gets no read because its keys are rarely requested.
            let awaited = server.reinstated_at != 0 && self.now >= server.reinstated_at + REINSTATED_WAIT;
            if read.tried.contains(&place.server)
                || !self.slow_start.allows_read(&read.slow_start, server, awaited)
            {
                continue;
            }
            let rank = Rank {
                // Last, not left out: when most are ejected the cause is shared, and there is no better
                // place.
                ejected: server.outlier.ranks_last(self.now, server.in_flight),
                full: self.exceeds_bound(server, load_bound)
                    || self.pool.queue_estimate(read.request, server) > read.time_left as f64 * FULL_QUEUE,
                not_awaited: !awaited,
            };
            if best.is_none_or(|(before, _)| rank < before) {
                *best = Some((rank, place.server));
            }
            if rank <= BEST_ORDINARY && !self.pool.awaits_reinstated() {
                return true;
            }
        }
        false
    }

    /// Whether the wait at a server takes too much of the time left.
    fn is_full(&self, read: &ReadCandidate<'_>, server: ServerId) -> bool {
        self.pool.get(server).is_some_and(|server| {
            let backlog = if self.shedding { server.backlog(self.now, self.longest_objective) } else { 0.0 };
            let wait = self.pool.queue_estimate(read.request, server).max(backlog);
            wait > read.time_left as f64 * FULL_QUEUE
        })
    }

    /// Attempts in flight per weight from which a server is skipped.
    fn load_bound(&self) -> f64 {
        let saturation = (self.origin_saturation / SATURATED).min(1.0);
        let multiple = LOAD_BOUND + (LOAD_BOUND_SATURATED - LOAD_BOUND) * saturation;
        multiple * f64::from(self.pool.cache_attempts() + 1) / self.pool.total_weight()
    }

    fn exceeds_bound(&self, server: &Server, load_bound: f64) -> bool {
        let sharing_nodes = server.sharing_nodes(self.settings).max(MIN_SHARING_NODES);
        let floor = LOAD_BOUND_FLOOR / f64::from(sharing_nodes);
        // Weights may hide how slow a server is: the floor is lower at a slow server, higher at a quick one.
        let floor = match server.response_time.known() {
            Some(time) => floor * (self.pool.cache_response_time() / time).min(MAX_FLOOR_MULTIPLE),
            None => floor,
        };
        let weight = self.settings.cache_weight_of(server.entry.weight);
        f64::from(server.in_flight) >= (load_bound * weight).max(floor)
    }
}
