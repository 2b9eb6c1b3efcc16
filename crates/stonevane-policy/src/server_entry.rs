//! Lines of the endpoint list and how a list relates to the one before it.

use crate::ids::{Micros, ServerId};

/// One line of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its cell, a small group that shares which requests with an idempotency key it has seen.
    pub cell: u16,
    /// Its machine kind.
    pub kind: u16,
    /// Its weight.
    pub weight: f32,
    /// When its process last started; 0 for long ago.
    pub started: Micros,
    /// Whether it is ready, draining or gone.
    pub condition: Condition,
    /// Number of nodes among which the capacity of this server is divided: for its slow start, for their
    /// start-up limit and for the least load bound; 0: all nodes.
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

/// What the list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It serves requests.
    Ready,
    /// It completes what it has; nothing new may be sent to it.
    Draining,
    /// It is gone.
    Gone,
}

/// How a endpoint list relates to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list; a server not in it is gone.
    Full,
    /// The list cached from before a restart, whole but perhaps stale.
    Cached,
    /// Only lines that changed.
    Delta,
    /// A call to discovery failed or the subscription broke; the list in force stays.
    Failed,
    /// The same after a silence: the node counts as notified of changes before long, whether or not they
    /// come.
    TimedOut {
        /// How long it had lasted.
        silent_for: Micros,
        /// Whether the silence alone ended the subscription, which had brought a line before, be it an empty
        /// one: discovery had processed the call.
        was_established: bool,
    },
}
