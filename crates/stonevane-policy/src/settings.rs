//! Typed settings of one node. [`read`] parses them from the settings text of a deployment.

mod wire;

pub use wire::{Deployment, SettingsError, read};

use crate::ids::Micros;

/// Settings of one node. Durations are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the servers; at least 1.
    pub nodes: u32,
    /// Index of this node among the nodes that share the servers, from 0.
    pub node_index: u32,
    /// Zone of this node, as a position in [`Deployment::zones`].
    pub zone: u8,
    /// Request classes, in the order to which [`Request::class`](crate::Request::class) refers.
    pub classes: Vec<RequestClass>,
    /// Tenants, in the order to which [`Request::tenant`](crate::Request::tenant) refers; empty if the
    /// deployment has none.
    pub tenants: Vec<Tenant>,
    /// Whether the node must request the endpoint list (by subscription or as a full list); otherwise the
    /// list arrives unrequested.
    pub poll_discovery: bool,
    /// Time after a change of the endpoint list at which a node without a subscription counts as notified of
    /// the change.
    pub list_staleness_limit: Micros,
    /// Machine kind of the origin in the endpoint list; `None` if cache servers fetch for themselves.
    pub origin_kind: Option<u16>,
    /// Whether weights in the list are the sizes of the servers; otherwise balancing weights are equal.
    pub weights_are_sizes: bool,
    /// Whether weights in the list are live: size / (1 + requests per core).
    pub weights_are_live: bool,
    /// Maximum number of attempts of one request; at least 1.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once, as hedging requires.
    pub may_duplicate: bool,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Whether health checks may be sent to servers.
    pub may_health_check: bool,
    /// Whether nodes may send messages to each other.
    pub may_message_peers: bool,
    /// Whether concurrent fetches of a key share one call to the origin.
    pub coalesce_fetches: bool,
    /// Attempts per cache server that all nodes together may have in flight when they start, until timely
    /// responses allow more; 0 for no limit.
    pub startup_attempts_per_server: f64,
    /// Weight of all cache servers if this node is notified of only a subset of them; 0 if it is notified of
    /// all.
    pub total_cache_weight: f64,
    /// Price of one node's open connections to all servers in a fleet of 100 nodes, in the unit of the
    /// settings text's `prices`.
    pub connection_price: f64,
    /// Price of opening a connection for each request, in the unit of the settings text's `prices`.
    pub handshake_price: f64,
    /// Longest Retry-After that clients honor; 0 if they honor none.
    pub max_retry_after: Micros,
    /// Shortest time between two calls of the policy.
    pub tick: Micros,
    /// Minimum capacity of a server when it starts, as a fraction of its full capacity, from 0 to 1.
    pub initial_capacity: f64,
    /// Time after its start at which a server has warmed up.
    pub slow_start_duration: Micros,
    /// Multiple of its current capacity above which a server in slow start fails, if the load lasts for
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Time for which a server in slow start withstands more than `overload_multiple` of its capacity.
    pub overload_window: Micros,
    /// Time after the notification that a server is draining or gone, after which the node must send no
    /// attempt to this server.
    pub drain_grace: Micros,
}

/// Smallest weight of a server: a weight of 0 would cause a division by zero.
const MIN_WEIGHT: f64 = 0.01;

impl Settings {
    /// Returns the balancing weight of a cache server with this weight in the list: the weight itself if
    /// weights are sizes, else 1.
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

/// Class of requests: times, value and idempotency. Durations are in microseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestClass {
    /// Latency objective: an answer within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// Time for which a client waits for the final answer.
    pub deadline: Micros,
    /// Value of one request that is answered within the latency objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective still earns.
    pub late_weight: f64,
    /// Effect of sending a request of this class again.
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
    /// Returns this class, limited to what another class also allows: the stricter idempotency and the
    /// shorter deadline.
    pub fn stricter(&self, other: &RequestClass) -> RequestClass {
        RequestClass {
            idempotency: self.idempotency.stricter(other.idempotency),
            deadline: self.deadline.min(other.deadline),
            ..*self
        }
    }
}

/// Effect of sending a request again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// No further effect: the request may be sent any number of times.
    Idempotent,
    /// Requests have an idempotency key, by which a group of servers drops duplicates for a limited time
    /// after the first attempt.
    WithKey {
        /// Servers that drop each other's duplicates.
        scope: DedupScope,
        /// Time in microseconds for which duplicates are dropped, from sending the earliest attempt that may
        /// have run.
        window: Micros,
    },
    /// The effect is repeated: a request that may have run must not be sent again.
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

/// Group of cache servers that share which requests with an idempotency key they have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All cache servers.
    All,
    /// The cache servers of one zone.
    Zone,
    /// The cache servers of one cell.
    Cell,
}

impl DedupScope {
    /// Returns the narrower of two groups. A cell is part of a zone, and a zone is part of the fleet.
    fn narrower(self, other: DedupScope) -> DedupScope {
        match (self, other) {
            (DedupScope::Cell, _) | (_, DedupScope::Cell) => DedupScope::Cell,
            (DedupScope::Zone, _) | (_, DedupScope::Zone) => DedupScope::Zone,
            (DedupScope::All, DedupScope::All) => DedupScope::All,
        }
    }
}

/// A tenant's quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second, over all nodes together.
    pub quota_per_s: f64,
}
