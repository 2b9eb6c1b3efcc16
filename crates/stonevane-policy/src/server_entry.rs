//! Entries of the endpoint list, and the relation of a list to the one in force.

use crate::ids::{Micros, ServerId};

/// Entry of one server in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// Identifier of the server.
    pub id: ServerId,
    /// Zone of the server, as a position in [`Deployment::zones`](crate::settings::Deployment::zones).
    pub zone: u8,
    /// Cell of the server: a small group of servers that share which requests with an idempotency key they
    /// have seen.
    pub cell: u16,
    /// Machine kind of the server, as a position in
    /// [`Deployment::machine_types`](crate::settings::Deployment::machine_types).
    pub kind: u16,
    /// Weight of the server; its meaning depends on
    /// [`Settings::weights_are_sizes`](crate::Settings::weights_are_sizes) and
    /// [`Settings::weights_are_live`](crate::Settings::weights_are_live).
    pub weight: f32,
    /// Time at which the server's process last started; 0 for long ago.
    pub started: Micros,
    /// Whether the server is ready, draining or gone.
    pub condition: Condition,
    /// Number of nodes among which the server's capacity is divided, for slow start, the start-up limit and
    /// the floor of the load bound; 0 for all nodes.
    pub sharing_nodes: u32,
}

impl Default for ServerEntry {
    fn default() -> Self {
        ServerEntry {
            id: 0,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0,
            started: 0,
            condition: Condition::Ready,
            sharing_nodes: 0,
        }
    }
}

/// Condition of a server according to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The server serves requests.
    Ready,
    /// The server completes its requests; no new one may be sent to it.
    Draining,
    /// The server has left the fleet.
    Gone,
}

/// Relation of an endpoint list to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// The full list; a server without an entry is gone.
    Full,
    /// The full list as cached before a restart; it may be stale.
    Cached,
    /// Only the entries that changed.
    Delta,
    /// A call to discovery failed or the subscription was lost; the list in force stays.
    Failed,
    /// As `Failed`, after a silence of discovery. The node will soon count as notified of changes, whether or
    /// not they arrive.
    TimedOut {
        /// Duration of the silence, in microseconds.
        silent_for: Micros,
        /// Whether the silence alone ended a subscription on which a message (possibly an empty one) had
        /// arrived before, so that discovery had processed the call.
        was_established: bool,
    },
}
