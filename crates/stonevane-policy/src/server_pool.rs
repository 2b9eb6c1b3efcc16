//! All servers known to this node, with aggregates over them.

use std::collections::{BTreeMap, BTreeSet};

use crate::hash::{self, unit_hash};
use crate::ids::{Micros, RequestId, ServerId};
use crate::outlier::OutlierRecord;
use crate::server::Server;
use crate::server_entry::{Condition, ServerEntry};
use crate::settings::Settings;
use crate::statistics::{DecayingMax, MovingAverage};

/// Smallest total weight, used if no server is ready.
const MIN_TOTAL_WEIGHT: f64 = 0.01;
/// Half-life of the total weight's decaying maximum, in microseconds.
const PEAK_WEIGHT_HALF_LIFE_US: f64 = 300e6;
/// Weight of one sample in a server's response time and in the service time.
const SERVER_SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of one sample in the response time of all cache servers.
const FLEET_SAMPLE_WEIGHT: f64 = 0.02;
/// Smallest random factor on the queue wait estimate of a request; the largest is this plus 1.
const MIN_QUEUE_WAIT_FACTOR: f64 = 0.5;

/// A cache server that may get reads: an entry of the dense table that balancing scans.
#[derive(Clone, Copy)]
pub struct Candidate {
    pub id: ServerId,
    pub weight: f64,
}

/// All known servers, with aggregates over them.
#[derive(Default)]
pub struct ServerPool {
    servers: BTreeMap<ServerId, Server>,
    /// Servers that an operator has excluded, whether or not the list contains them.
    excluded: BTreeSet<ServerId>,
    candidates: Vec<Candidate>,
    origin: Option<ServerId>,
    cache_server_shares: f64,
    total_weight: f64,
    peak_weight: DecayingMax,
    has_untried_reinstated: bool,
    cache_attempts_in_flight: u32,
    cache_response_time: MovingAverage,
    service_time: MovingAverage,
}

impl ServerPool {
    /// Returns a server, if it is known.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Returns a server for updates of its state, if it is known.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Returns the cache servers that may get reads.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Returns the origin, if the list has one that is ready.
    pub fn origin(&self) -> Option<ServerId> {
        self.origin
    }

    /// Returns the number of ready cache servers, each counted by this node's share of the server's capacity.
    pub fn cache_server_shares(&self) -> f64 {
        self.cache_server_shares
    }

    /// Returns the weight of all ready cache servers.
    pub fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// Returns the exponentially decaying maximum of the total weight.
    pub fn peak_weight(&self) -> f64 {
        self.peak_weight.value()
    }

    /// Returns whether a reinstated server has had no attempt since its reinstatement.
    pub fn has_untried_reinstated(&self) -> bool {
        self.has_untried_reinstated
    }

    /// Returns the number of this node's attempts in flight at cache servers.
    pub fn cache_attempts_in_flight(&self) -> u32 {
        self.cache_attempts_in_flight
    }

    /// Counts an attempt at a cache server that is being sent.
    pub fn count_cache_attempt(&mut self) {
        self.cache_attempts_in_flight += 1;
    }

    /// Counts the end of an attempt at a cache server.
    pub fn end_cache_attempt(&mut self) {
        self.cache_attempts_in_flight -= 1;
    }

    /// Returns the average response time of the cache servers, in microseconds.
    pub fn cache_response_time(&self) -> f64 {
        self.cache_response_time.value()
    }

    /// Records the response time of an attempt that was served.
    pub fn record_response_time(&mut self, id: ServerId, sent_at: Micros, now: Micros, from_cache: bool) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let elapsed = (now - sent_at) as f64;
        server.response_time.record(elapsed, SERVER_SAMPLE_WEIGHT);
        server.latest_served_sent_at = server.latest_served_sent_at.max(sent_at);
        if from_cache {
            self.cache_response_time.record(elapsed, FLEET_SAMPLE_WEIGHT);
        }
    }

    /// Records the time in microseconds that a cache server took for one request, without the queue.
    pub fn record_service_time(&mut self, sample: f64) {
        self.service_time.record(sample, SERVER_SAMPLE_WEIGHT);
    }

    /// Returns the estimated wait at a server in microseconds, from the number of requests that all nodes
    /// have there. The estimate has a random factor for each request: without the factor all nodes would
    /// reject at the same moment, and their clients would retry at the same moment.
    pub fn queue_wait_estimate(&self, request: RequestId, server: &Server) -> f64 {
        let wait = self.service_time.value() * server.requests_per_core();
        if wait > 0.0 {
            wait * (MIN_QUEUE_WAIT_FACTOR
                + unit_hash(request, server.entry.id, hash::purpose::QUEUE_WAIT_ESTIMATE))
        } else {
            0.0
        }
    }

    /// Applies entries of the endpoint list. With `full_list` they are the full list, and a server without an
    /// entry is gone.
    pub fn apply_entries(
        &mut self,
        full_list: bool,
        entries: Vec<ServerEntry>,
        settings: &Settings,
        now: Micros,
    ) {
        if full_list {
            for server in self.servers.values_mut() {
                server.entry.condition = Condition::Gone;
            }
        }
        for entry in entries {
            let server = self.servers.entry(entry.id).or_default();
            server.is_origin = settings.origin_kind == Some(entry.kind);
            server.excluded = self.excluded.contains(&entry.id);
            server.apply_entry(&entry, settings, now);
        }
        // Servers are removed here and not at each review, because a pass over all servers is expensive.
        self.servers.retain(|_, server| server.entry.condition != Condition::Gone || server.in_flight > 0);
        self.recompute_weights(settings, now);
    }

    /// Applies new settings, which may change which servers are the origin and whether weights count.
    pub fn apply_settings(&mut self, settings: &Settings, now: Micros) {
        for server in self.servers.values_mut() {
            server.is_origin = settings.origin_kind == Some(server.entry.kind);
        }
        self.recompute_weights(settings, now);
    }

    /// Excludes a server or reinstates it, on behalf of an operator and regardless of the endpoint list.
    /// Returns whether a known server has changed.
    pub fn set_excluded(&mut self, id: ServerId, excluded: bool, settings: &Settings, now: Micros) -> bool {
        let changed = if excluded { self.excluded.insert(id) } else { self.excluded.remove(&id) };
        let Some(server) = self.servers.get_mut(&id).filter(|_| changed) else { return false };
        server.excluded = excluded;
        if !excluded {
            // The server was excluded for a restart, so its outlier state belongs to the earlier process.
            server.outlier = OutlierRecord::default();
            server.reinstated_at = now.max(1);
            server.presume_restarted(now);
        }
        self.recompute_weights(settings, now);
        true
    }

    /// Returns the number of listed cache servers that are excluded by an operator or ejected.
    pub fn excluded_or_ejected_count(&self) -> usize {
        let listed_caches = self
            .servers
            .values()
            .filter(|server| !server.is_origin && server.entry.condition != Condition::Gone);
        listed_caches.filter(|server| server.excluded || server.outlier.is_ejected()).count()
    }

    /// Recomputes the aggregates that depend on which servers are available.
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
        self.has_untried_reinstated = self.servers.values().any(|server| server.reinstated_at != 0);
        let weights = self.candidates.iter().map(|candidate| candidate.weight);
        self.total_weight = weights.sum::<f64>().max(MIN_TOTAL_WEIGHT);
        self.peak_weight.update(now, self.total_weight, PEAK_WEIGHT_HALF_LIFE_US);
    }
}
