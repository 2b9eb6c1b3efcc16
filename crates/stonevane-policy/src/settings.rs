//! Typed settings of one node. [`read`] parses the settings text of a deployment.

mod wire;

pub use wire::{Deployment, SettingsError, read};

use crate::ids::Micros;

/// The settings of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the servers.
    pub nodes: u32,
    /// Index of this node among them, from 0.
    pub node_index: u32,
    /// The zone of this node.
    pub zone: u8,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants; empty where a deployment has none.
    pub tenants: Vec<Tenant>,
    /// Whether the endpoint list must be requested (subscription or whole list) or comes by itself.
    pub poll_discovery: bool,
    /// Without a subscription, the node counts as notified of changes this long after they happened.
    pub list_staleness_limit: Micros,
    /// Machine kind of the origin in the endpoint list; `None` where cache servers fetch for themselves.
    pub origin_kind: Option<u16>,
    /// Whether weights in the list are the sizes of the servers.
    pub weights_are_sizes: bool,
    /// Whether weights in the list are size / (1 + requests per core).
    pub weights_are_live: bool,
    /// Attempts that one request may make.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub may_duplicate: bool,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether health checks may be sent to servers.
    pub may_health_check: bool,
    /// Whether nodes may send each other messages.
    pub may_message_peers: bool,
    /// Whether concurrent fetches of a key share one call to the origin.
    pub coalesce_fetches: bool,
    /// Attempts per cache server that all nodes together may have in flight when they start, before answers
    /// allow more; 0: no limit.
    pub startup_attempts_per_server: f64,
    /// Weight of all cache servers, where this node is notified of a subset only; 0: it is notified of all.
    pub total_cache_weight: f64,
    /// Price of one node's open connections to all servers in a fleet of 100 nodes, as in the settings'
    /// `prices`.
    pub connection_price: f64,
    /// Price of opening a connection for each request; as the settings' `prices`.
    pub handshake_price: f64,
    /// The longest Retry-After that clients honour; 0 where they honour none.
    pub max_retry_after: Micros,
    /// Shortest time between two calls of the policy.
    pub tick: Micros,
    /// Part of its capacity that a server has at the least when it starts.
    pub initial_capacity: f64,
    /// Time after its start by which a server has warmed up.
    pub slow_start_duration: Micros,
    /// A server in slow start fails under more than this multiple of its present capacity for
    /// `overload_window`.
    pub overload_multiple: f64,
    /// How long a server in slow start bears more than `overload_multiple` of its capacity.
    pub overload_window: Micros,
    /// Sends to a draining or gone server must stop within this time.
    pub drain_grace: Micros,
}

/// The least weight of a server: a weight of 0 would divide by zero.
const MIN_WEIGHT: f64 = 0.01;

impl Settings {
    /// The balancing weight of a cache server with a weight in the list.
    pub fn cache_weight_of(&self, weight: f32) -> f64 {
        if self.weights_are_sizes { f64::from(weight).max(MIN_WEIGHT) } else { 1.0 }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            nodes: 1,
            node_index: 0,
            zone: 0,
            classes: vec![RequestClass::default()],
            tenants: Vec::new(),
            poll_discovery: false,
            list_staleness_limit: 10_000_000,
            origin_kind: None,
            weights_are_sizes: false,
            weights_are_live: false,
            max_attempts: 3,
            may_duplicate: true,
            may_cancel: false,
            may_health_check: false,
            may_message_peers: false,
            coalesce_fetches: false,
            startup_attempts_per_server: 8.0,
            total_cache_weight: 0.0,
            connection_price: 0.0,
            handshake_price: 0.0,
            max_retry_after: 0,
            tick: 1_000,
            initial_capacity: 0.25,
            slow_start_duration: 10_000_000,
            overload_multiple: 3.0,
            overload_window: 2_000_000,
            drain_grace: 500_000,
        }
    }
}

/// A class of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestClass {
    /// Latency objective: an answer within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// A client waits this long in all.
    pub deadline: Micros,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Part of the priority weight that an answer after the latency objective still earns.
    pub late_weight: f64,
    /// What resending such a request does.
    pub idempotency: Idempotency,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            latency_objective: 250_000,
            deadline: 1_000_000,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::Idempotent,
        }
    }
}

impl RequestClass {
    /// This class, limited to what another allows as well: the stricter idempotency, the shorter deadline.
    pub fn stricter(&self, other: &RequestClass) -> RequestClass {
        RequestClass {
            idempotency: self.idempotency.stricter(other.idempotency),
            deadline: self.deadline.min(other.deadline),
            ..*self
        }
    }
}

/// What resending a request does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// Nothing: it may be sent any number of times.
    Idempotent,
    /// Servers of one group drop a duplicate for a while after the first attempt.
    WithKey {
        /// Which servers drop a duplicate.
        scope: DedupScope,
        /// For how long, from the sending of the earliest attempt that may have run.
        window: Micros,
    },
    /// The effect happens again.
    NonIdempotent,
}

impl Idempotency {
    fn stricter(self, other: Idempotency) -> Idempotency {
        match (self, other) {
            (Idempotency::NonIdempotent, _) | (_, Idempotency::NonIdempotent) => Idempotency::NonIdempotent,
            (Idempotency::Idempotent, keyed) | (keyed, Idempotency::Idempotent) => keyed,
            (
                Idempotency::WithKey { scope, window },
                Idempotency::WithKey { scope: other_scope, window: other_window },
            ) => {
                Idempotency::WithKey { scope: scope.narrower(other_scope), window: window.min(other_window) }
            }
        }
    }
}

/// A group of cache servers that share which requests with an idempotency key they have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every cache server.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

impl DedupScope {
    /// The narrower of two groups: a cell lies in a zone, and a zone among all.
    fn narrower(self, other: DedupScope) -> DedupScope {
        match (self, other) {
            (DedupScope::Cell, _) | (_, DedupScope::Cell) => DedupScope::Cell,
            (DedupScope::Zone, _) | (_, DedupScope::Zone) => DedupScope::Zone,
            (DedupScope::All, DedupScope::All) => DedupScope::All,
        }
    }
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its quota, over all nodes together.
    pub quota_per_s: f64,
}
