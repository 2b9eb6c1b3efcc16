//! Events that a node reports to its policy.

use crate::ids::{Key, Micros, RequestId, ServerId};
use crate::outcome::{LoadReport, Outcome};
use crate::server_entry::{ListUpdate, ServerEntry};
use crate::settings::Settings;

/// One occurrence at this node, reported to [`Policy::handle`](crate::Policy::handle).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list or a change of it arrived, or a call to discovery failed.
    ServerList {
        /// Relation of these entries to the list in force.
        kind: ListUpdate,
        /// Entries of the list; ignored after a failed call.
        servers: Vec<ServerEntry>,
    },
    /// A client's request arrived. The policy owes it exactly one final answer.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A streamed response began. From here on the node owns the attempt, and the policy owes no answer.
    ResponseStarted {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt whose response began, from 0.
        attempt: u16,
    },
    /// The client disconnected, or the request ended otherwise. The policy no longer owes an answer.
    ClientDisconnected(RequestId),
    /// A timer set by [`Action::Timer`](crate::Action::Timer) is due; holds its token.
    Timer(u32),
    /// New settings apply from now on. A pending request keeps the class with which it arrived; learned
    /// server state and attempts in flight are kept.
    Settings {
        /// Complete new settings.
        settings: Box<Settings>,
        /// For each tenant of the new settings, its position in the previous ones; `None` for a new tenant.
        previous_positions: Vec<Option<usize>>,
    },
    /// Share of this process, from 0 to 1, in the node's quotas for calls to the origin and for attempts at
    /// servers in slow start. It is 1 unless another process of the same node has the rest.
    ProcessShare(f64),
    /// The node is shutting down: the policy answers all pending requests at once.
    ShuttingDown,
    /// An operator excludes a cache server or reinstates it. Exclusions are not counted: a server excluded
    /// twice and reinstated once is reinstated.
    Exclude {
        /// Server to exclude or reinstate, whether or not the list contains it.
        server: ServerId,
        /// `true` to exclude the server, `false` to reinstate it.
        excluded: bool,
    },
    /// The origin has stopped answering, so that calls to it would fail for some time.
    OriginUnavailable {
        /// Expected time until the origin answers again, in microseconds from now; 0 if it already does.
        duration: Micros,
    },
    /// A health check ended.
    HealthCheckFinished {
        /// Server that was checked.
        server: ServerId,
        /// Whether the check succeeded.
        ok: bool,
        /// Time from sending the check to its end, in microseconds.
        elapsed: Micros,
        /// Load report of the server; empty if the response carried none.
        load: LoadReport,
    },
    /// A message from another node arrived.
    PeerMessage {
        /// Index of the sending node.
        from: u32,
        /// Message body.
        bytes: Vec<u8>,
    },
}

/// A client's request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Identifier, unique at this node.
    pub id: RequestId,
    /// Position of the request's class in [`Settings::classes`].
    pub class: usize,
    /// Position of the request's tenant in [`Settings::tenants`]; 0 if there are no tenants.
    pub tenant: usize,
    /// Key that the request reads or writes; 0 for none.
    pub key: Key,
    /// Whether the request writes. Writes go to the origin.
    pub write: bool,
    /// Whether the client marked the request as a retry of an earlier one.
    pub is_retry: bool,
    /// Time until the client gives up, in microseconds.
    pub time_left: Micros,
    /// Expected work of the request in microseconds, if known.
    pub cost: Option<Micros>,
    /// Size of the value in bytes; 0 if unknown.
    pub size: f32,
}
