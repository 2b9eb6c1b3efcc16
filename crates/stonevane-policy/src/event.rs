//! Events: what happens at a node.

use crate::ids::{Key, Micros, RequestId, ServerId};
use crate::outcome::{LoadReport, Outcome};
use crate::server_entry::{ListUpdate, ServerEntry};
use crate::settings::Settings;

/// Something that happened at this node.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it.
    ServerList {
        /// How it relates to the list in force.
        kind: ListUpdate,
        /// Its lines.
        servers: Vec<ServerEntry>,
    },
    /// A client's request arrived; one final answer is due from now on.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A streamed response began; the attempt belongs to the client now.
    ResponseStarted {
        /// Its request.
        request: RequestId,
        /// The attempt whose response began.
        attempt: u16,
    },
    /// The client disconnected, or the request ended otherwise; no answer is due any more.
    ClientDisconnected(RequestId),
    /// A timer set by [`Action::Timer`](crate::Action::Timer) is due.
    Timer(u32),
    /// New settings apply from now on. A pending request keeps the class that it arrived with; what was
    /// learned of servers, and what is in flight, stays.
    Settings {
        /// All of them.
        settings: Box<Settings>,
        /// For each tenant of these, its position in the previous ones, if it had one.
        tenants: Vec<Option<usize>>,
    },
    /// This process's part of the node's quota of the origin and of servers in slow start: 1, except while
    /// another process of the same node has the rest.
    ProcessShare(f64),
    /// The node is shutting down: pending requests are to be answered now.
    ShuttingDown,
    /// An operator excludes a cache server, or reinstates it. Repeats are not counted: excluded twice and
    /// reinstated once is reinstated.
    Exclude {
        /// The server, listed or not.
        server: ServerId,
        /// Whether it is excluded from now on.
        excluded: bool,
    },
    /// The origin has stopped answering: no call to it is of use for a time.
    OriginUnavailable {
        /// The time from now; 0: it answers again.
        duration: Micros,
    },
    /// The end of a health check.
    HealthCheckFinished {
        /// The server checked.
        server: ServerId,
        /// Whether it succeeded.
        ok: bool,
        /// Time from sending to this end.
        took: Micros,
        /// Load report of the server, if the response carried one.
        load: LoadReport,
    },
    /// A message of another node.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}

/// A client's request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position of its class in [`Settings::classes`].
    pub class: usize,
    /// Position of its tenant in [`Settings::tenants`]; 0 where there are none.
    pub tenant: usize,
    /// Its key, 0 for none.
    pub key: Key,
    /// Whether it writes (and so goes to the origin).
    pub write: bool,
    /// Whether the client said that it retries an earlier request.
    pub is_retry: bool,
    /// Time until the client gives up.
    pub time_left: Micros,
    /// Expected work, where known.
    pub cost: Option<Micros>,
    /// Size of the value in bytes, 0 where unknown.
    pub size: f32,
}
