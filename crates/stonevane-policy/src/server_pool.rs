//! All servers that this node knows, and what is computed over them.

use std::collections::{BTreeMap, BTreeSet};

use crate::hash::{self, unit_hash};
use crate::ids::{Micros, RequestId, ServerId};
use crate::outlier::OutlierRecord;
use crate::server::Server;
use crate::server_entry::{Condition, ServerEntry};
use crate::settings::Settings;
use crate::statistics::{FadingPeak, MovingAverage};

/// The least total weight, where no server is ready.
const MIN_TOTAL_WEIGHT: f64 = 0.01;
/// In this time the weight that the ready servers once had loses half of its excess, microseconds.
const PEAK_WEIGHT_HALF_LIFE: f64 = 300e6;
/// Weight of one sample in a server's response time and in the service time.
const SERVER_SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of one sample in the response time of all cache servers.
const FLEET_SAMPLE_WEIGHT: f64 = 0.02;
/// The queue estimate of a request is this part of the listed queue at the least, this part and one at the
/// most.
const MIN_QUEUE_ESTIMATE: f64 = 0.5;

/// A cache server that may be sent reads, in the dense table that balancing scans.
#[derive(Clone, Copy)]
pub struct Candidate {
    pub id: ServerId,
    pub weight: f64,
}

/// All servers known, and what is computed over them.
#[derive(Default)]
pub struct ServerPool {
    servers: BTreeMap<ServerId, Server>,
    /// Servers that an operator has excluded, listed or not.
    excluded: BTreeSet<ServerId>,
    candidates: Vec<Candidate>,
    origin: Option<ServerId>,
    cache_server_shares: f64,
    total_weight: f64,
    peak_weight: FadingPeak,
    awaits_reinstated: bool,
    cache_attempts: u32,
    cache_response_time: MovingAverage,
    service_time: MovingAverage,
}

impl ServerPool {
    /// A server, if it is known.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// The same, to change what is learned of it.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// The cache servers that may be sent reads.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// The origin, where the list has one that is ready.
    pub fn origin(&self) -> Option<ServerId> {
        self.origin
    }

    /// The cache servers that are ready, each counted by this node's part of it.
    pub fn cache_server_shares(&self) -> f64 {
        self.cache_server_shares
    }

    /// Weight of all cache servers that are ready.
    pub fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// The highest that it was, fading.
    pub fn peak_weight(&self) -> f64 {
        self.peak_weight.value()
    }

    /// Whether a server was reinstated that nothing has been sent to since.
    pub fn awaits_reinstated(&self) -> bool {
        self.awaits_reinstated
    }

    /// Attempts of this node at cache servers.
    pub fn cache_attempts(&self) -> u32 {
        self.cache_attempts
    }

    /// An attempt at a cache server has been sent.
    pub fn count_cache_attempt(&mut self) {
        self.cache_attempts += 1;
    }

    /// An attempt at a cache server has ended.
    pub fn end_cache_attempt(&mut self) {
        self.cache_attempts -= 1;
    }

    /// Response time of the cache servers.
    pub fn cache_response_time(&self) -> f64 {
        self.cache_response_time.value()
    }

    /// Takes in the response time of an attempt that was served.
    pub fn record_response_time(&mut self, id: ServerId, sent_at: Micros, now: Micros, from_cache: bool) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let took = (now - sent_at) as f64;
        server.response_time.record(took, SERVER_SAMPLE_WEIGHT);
        server.latest_answered_sent_at = server.latest_answered_sent_at.max(sent_at);
        if from_cache {
            self.cache_response_time.record(took, FLEET_SAMPLE_WEIGHT);
        }
    }

    /// Takes in the time that a cache server took for one request, its queue taken out.
    pub fn record_service_time(&mut self, sample: f64) {
        self.service_time.record(sample, SERVER_SAMPLE_WEIGHT);
    }

    /// Wait at a server by the number of requests that all nodes have there. Each request draws its own
    /// estimate: otherwise all nodes would reject, and be retried, in step.
    pub fn queue_estimate(&self, request: RequestId, server: &Server) -> f64 {
        let wait = self.service_time.value() * server.requests_per_core();
        if wait > 0.0 {
            wait * (MIN_QUEUE_ESTIMATE + unit_hash(request, server.entry.id, hash::purpose::QUEUE_ESTIMATE))
        } else {
            0.0
        }
    }

    /// Takes lines of the endpoint list; in a whole list, a server that is not in it is gone.
    pub fn update(&mut self, whole: bool, entries: Vec<ServerEntry>, settings: &Settings, now: Micros) {
        if whole {
            for server in self.servers.values_mut() {
                server.entry.condition = Condition::Gone;
            }
        }
        for entry in entries {
            let server = self.servers.entry(entry.id).or_default();
            server.is_origin = settings.origin_kind == Some(entry.kind);
            server.excluded = self.excluded.contains(&entry.id);
            server.update(&entry, settings, now);
        }
        // Here, not at each review: a walk over all servers is expensive.
        self.servers.retain(|_, server| server.entry.condition != Condition::Gone || server.in_flight > 0);
        self.recompute_weights(settings, now);
    }

    /// New settings may say which servers are the origin, and how much a weight counts.
    pub fn apply_settings(&mut self, settings: &Settings, now: Micros) {
        for server in self.servers.values_mut() {
            server.is_origin = settings.origin_kind == Some(server.entry.kind);
        }
        self.recompute_weights(settings, now);
    }

    /// An operator excludes a server or reinstates it, whatever lists say. Returns whether a known server has
    /// changed.
    pub fn set_excluded(&mut self, id: ServerId, excluded: bool, settings: &Settings, now: Micros) -> bool {
        let changed = if excluded { self.excluded.insert(id) } else { self.excluded.remove(&id) };
        let Some(server) = self.servers.get_mut(&id).filter(|_| changed) else { return false };
        server.excluded = excluded;
        if !excluded {
            // It was excluded to be restarted: what was learned before is of another process.
            server.outlier = OutlierRecord::default();
            server.reinstated_at = now.max(1);
            server.presume_restarted(now);
        }
        self.recompute_weights(settings, now);
        true
    }

    /// How many of the cache servers that are listed are excluded by an operator or ejected.
    pub fn avoided_count(&self) -> usize {
        let listed_caches = self
            .servers
            .values()
            .filter(|server| !server.is_origin && server.entry.condition != Condition::Gone);
        listed_caches.filter(|server| server.excluded || server.outlier.is_ejected()).count()
    }

    /// Computes anew what depends on which servers are available.
    fn recompute_weights(&mut self, settings: &Settings, now: Micros) {
        let available = self.servers.values().filter(|server| server.is_available());
        self.origin = available.clone().find(|server| server.is_origin).map(|server| server.entry.id);
        let caches = available.filter(|server| !server.is_origin);
        let candidate = |server: &Server| Candidate {
            id: server.entry.id,
            weight: settings.cache_weight_of(server.entry.weight),
        };
        self.candidates = caches.clone().map(candidate).collect();
        self.cache_server_shares = caches.map(|server| server.node_share(settings)).sum();
        self.awaits_reinstated = self.servers.values().any(|server| server.reinstated_at != 0);
        let weights = self.candidates.iter().map(|candidate| candidate.weight);
        self.total_weight = weights.sum::<f64>().max(MIN_TOTAL_WEIGHT);
        self.peak_weight.update(now, self.total_weight, PEAK_WEIGHT_HALF_LIFE);
    }
}
