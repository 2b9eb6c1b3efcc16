//! Placement: which server a read goes to. Each key has a consistent order of the servers, the same at every
//! balancer (rendezvous hashing), with a bound on the load of each.
//!
//! The hash of thousands of servers are made in one pass over a dense table; only the few that come first
//! are looked at more closely, and the whole order is sorted only where none of those will do.

use crate::brain::PRIOR;
use crate::hash::{KeyHasher, unit_hash};
use crate::state::{Held, Policy, Server};
use crate::{Key, Micros, RequestId, ServerId};

/// Load bound: a server is skipped from this multiple of its part of this balancer's attempts in flight: the
/// first where the origin has room for the fetch a skip costs, the second where it holds calls up; never
/// below this balancer's part of the third, else a quiet one would scatter its keys.
/// The origin is without room when the fourth, as a part of the calls, finds the gate shut.
const BOUND: (f64, f64, f64, f64) = (1.25, 3.0, 8.0, 0.05);
/// A server whose queue takes longer than this part of the time left is full.
const FULL: f64 = 0.5;
/// A server put back by hand that none of its keys has come by for so long gets the next read.
const BACK: Micros = 1_000_000;
/// Servers at the head of a key's order that are kept from the first pass over all.
const HEAD: usize = 16;

/// A cache server that may be sent reads, in the dense table of them.
#[derive(Clone, Copy)]
pub struct Candidate {
    pub id: ServerId,
    pub weight: f64,
}

/// A server's place in a key's order: the smaller, the earlier.
type Place = (f64, ServerId);

/// How good a choice is, apart from its place: not set aside, not full, and waited for since it was put back.
type Rank = (bool, bool, bool);
const BEST: Rank = (false, false, true);

/// The first servers of an order, sorted.
#[derive(Default)]
struct Head {
    places: [Place; HEAD],
    length: usize,
}

impl Head {
    fn places(&self) -> &[Place] {
        &self.places[..self.length]
    }

    /// What a place must not be behind to be among them.
    fn last(&self) -> f64 {
        if self.length < HEAD { f64::INFINITY } else { self.places[HEAD - 1].0 }
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

/// The order of all candidates for a key, worked out as far as it is asked for.
struct Order<'a> {
    candidates: &'a [Candidate],
    hash: KeyHasher,
    weighted: bool,
}

impl<'a> Order<'a> {
    fn new(key: Key, candidates: &'a [Candidate], weighted: bool) -> Order<'a> {
        Order { candidates, hash: KeyHasher::new(key), weighted }
    }

    /// Place of a server in the key's order (weighted rendezvous hashing): the same at every balancer, and
    /// little moves when a server comes or goes.
    fn place(&self, candidate: &Candidate, draw: f64) -> Place {
        // The same order without the logarithm where all weigh the same.
        let place = if self.weighted { -draw.ln() / candidate.weight } else { -draw };
        (place, candidate.id)
    }

    /// A bound on a server's place that costs no logarithm.
    fn at_least(&self, candidate: &Candidate, draw: f64) -> f64 {
        if self.weighted { (1.0 - draw) / candidate.weight } else { -draw }
    }

    /// The first servers of the order.
    fn head(&self) -> Head {
        let mut head = Head::default();
        for candidate in self.candidates {
            let draw = self.hash.of(candidate.id);
            if self.at_least(candidate, draw) <= head.last() {
                head.insert(self.place(candidate, draw));
            }
        }
        head
    }

    /// The servers behind the head.
    fn rest(&self) -> Vec<Place> {
        let place = |candidate: &Candidate| self.place(candidate, self.hash.of(candidate.id));
        let mut all: Vec<Place> = self.candidates.iter().map(place).collect();
        all.sort_unstable_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        all.split_off(HEAD.min(all.len()))
    }
}

impl Policy {
    /// The first server in the key's order within the load bound, else the first; none where that is full.
    pub(crate) fn pick(&self, id: RequestId) -> Option<ServerId> {
        let held = &self.held[&id];
        let key = if held.key == 0 { id } else { held.key };
        let left = self.useful_until(held).saturating_sub(self.now) as f64;
        let order = Order::new(key, &self.candidates, self.settings.weights_are_sizes);
        let mut best: Option<(Rank, ServerId)> = None;
        let settled = self.consider(id, held, key, order.head().places(), &mut best);
        if !settled && self.candidates.len() > HEAD {
            self.consider(id, held, key, &order.rest(), &mut best);
        }
        // Passing over a full server for one far down the order would scatter the keys and empty the caches.
        let backlog = |s: &Server| if self.shedding() { self.backlog(s) } else { 0.0 };
        let full = |s: &Server| self.queue(id, s).max(backlog(s)) > left * FULL;
        best.map(|(_, server)| server).filter(|server| !full(&self.servers[server]))
    }

    /// Goes through a part of an order and keeps the first of the best rank; whether no later one can be
    /// better.
    fn consider(
        &self,
        id: RequestId,
        held: &Held,
        key: Key,
        order: &[Place],
        best: &mut Option<(Rank, ServerId)>,
    ) -> bool {
        let left = self.useful_until(held).saturating_sub(self.now) as f64;
        let bound = self.load_bound();
        for &(_, server) in order {
            let Some(s) = self.servers.get(&server) else { continue };
            // Against a server put back that no key of its own comes by for long: nothing could be learned of
            // it.
            let due = s.back != 0 && self.now >= s.back + BACK;
            if held.tried.contains(&server) || !self.slow_start_allows(id, held, key, s, due) {
                continue;
            }
            // Last, not left out: when most look bad the cause is shared, and there is no better place.
            let aside = s.aside.0 != 0 && (self.now < s.aside.0 || s.in_flight > 0);
            let full = self.over_bound(s, bound) || self.queue(id, s) > left * FULL;
            let rank = (aside, full, !due);
            if best.is_none_or(|(before, _)| rank < before) {
                *best = Some((rank, server));
            }
            if rank <= BEST && !self.any_put_back {
                return true;
            }
        }
        false
    }

    /// Attempts in flight for each weight from which a server is skipped.
    fn load_bound(&self) -> f64 {
        let multiple = BOUND.0 + (BOUND.1 - BOUND.0) * (self.gate.pressed.value() / BOUND.3).min(1.0);
        multiple * f64::from(self.cache_out + 1) / self.total
    }

    fn over_bound(&self, s: &Server, bound: f64) -> bool {
        // Against servers whose weights hide how slow they are: the floor is one in time, and so fewer in
        // flight at a slow one and, up to twice as many, more at a quick one.
        // All of it from one is a crowd.
        let floor = BOUND.2 / f64::from(self.sharers(s).max(2));
        let floor = if s.takes > 0.0 { floor * (self.pace / s.takes).min(2.0) } else { floor };
        f64::from(s.in_flight) >= (bound * self.weight(s)).max(floor)
    }

    /// Wait at a server by what the list tells of the requests that all balancers together have there. Each
    /// request takes it for more or less, else all balancers would turn away, and come back, in step.
    fn queue(&self, id: RequestId, s: &Server) -> f64 {
        let wait = self.service * s.held_per_core();
        if wait > 0.0 { wait * (0.5 + unit_hash(id, s.line.id, 2)) } else { 0.0 }
    }

    /// Time until a server has answered what this balancer has in flight there, at the pace of its latest
    /// answers (Little's law), with a credit for a server that has had little to answer.
    fn backlog(&self, s: &Server) -> f64 {
        f64::from(s.in_flight) * self.aim as f64 / (s.answered_lately(self.now, self.aim) + PRIOR)
    }

    pub(crate) fn weight(&self, s: &Server) -> f64 {
        self.settings.cache_weight_of(s.line.weight)
    }

    /// Balancers among which what a server bears is divided.
    pub(crate) fn sharers(&self, s: &Server) -> u32 {
        if s.line.sharing_nodes == 0 { self.settings.nodes } else { s.line.sharing_nodes }
    }

    /// How many equal parts of all balancers are this one's at a server.
    pub(crate) fn portion(&self, s: &Server) -> f64 {
        f64::from(self.settings.nodes.max(1)) / f64::from(self.sharers(s).max(1))
    }

    /// Works out anew what depends on which servers may be sent something.
    pub(crate) fn weigh(&mut self) {
        let open = self.servers.values().filter(|s| s.open());
        self.origin = open.clone().find(|s| s.origin).map(|s| s.line.id);
        let candidate = |s: &Server| Candidate { id: s.line.id, weight: self.weight(s) };
        self.candidates = open.clone().filter(|s| !s.origin).map(candidate).collect();
        self.caches = open.filter(|s| !s.origin).map(|s| self.portion(s)).sum();
        self.any_put_back = self.servers.values().any(|s| s.back != 0);
        self.total = self.candidates.iter().map(|candidate| candidate.weight).sum::<f64>().max(0.01);
        self.note_peak_weight();
    }
}
