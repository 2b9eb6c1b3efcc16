//! Events of the simulation.

use stonevane_core::{DiscoveryRequest, EndpointList};

use crate::server::Work;
use crate::server::protocol::ServerRequest;
use crate::stream::{Chunk, StreamId};

/// A node's call to discovery.
#[derive(Clone)]
pub struct DiscoveryCall {
    pub node: usize,
    pub incarnation: u64,
    /// Number by which the node identifies the call.
    pub epoch: u64,
}

/// A scheduled event.
pub enum Event {
    /// A chunk arrives at the node's end of a stream, or at the peer's end.
    DeliverToNode(StreamId, Chunk),
    DeliverToPeer(StreamId, Chunk),
    /// A node's connection to a server is established or refused.
    Connected {
        stream: StreamId,
        is_accepted: bool,
    },
    /// A node's machine takes the last piece of a write.
    Flushed(StreamId),
    /// The time for which a node keeps a half-closed stream open is over.
    HalfCloseExpired(StreamId),
    /// A client's connection reaches a node's machine.
    Connect(StreamId),
    /// A node's timer is due.
    Wake {
        node: usize,
        incarnation: u64,
    },
    /// A node goes on with the turn in which it was held up.
    TurnContinues {
        node: usize,
        incarnation: u64,
    },
    /// A server's work on a request is done.
    WorkDone {
        stream: StreamId,
        incarnation: u64,
        request: Box<ServerRequest>,
        work: Work,
    },
    /// A server sends extra bytes after an answer.
    ExtraBytes(StreamId, Vec<u8>),
    /// The next client request is generated.
    RequestArrival,
    /// A client sends or retries a request.
    Attempt(usize),
    /// The time within which a node must accept a request's connection is over.
    ConnectTimeout {
        request: usize,
        attempt: u32,
    },
    /// The time for which a client waits for an answer is over.
    AnswerTimeout {
        request: usize,
        attempt: u32,
    },
    /// A fault of the plan begins or ends.
    Fault {
        fault: usize,
        begins: bool,
    },
    StartNode(usize),
    /// Discovery registers a change of a server.
    DiscoveryUpdate {
        server: String,
        status: &'static str,
        started_at: Option<u64>,
    },
    /// A server list or a watch event reaches a node; `None` reports that the node's call has failed.
    DiscoveryAnswer(DiscoveryCall, Option<EndpointList>),
    /// A node's call reaches discovery.
    DiscoveryCallArrived(DiscoveryCall, DiscoveryRequest),
    /// Discovery has finished its work on a node's call.
    DiscoveryCallDone(DiscoveryCall, DiscoveryRequest),
    /// A client of a crowd connects; it never sends a request.
    CrowdArrival {
        fault: usize,
    },
    /// A client connects that sends a command of many long arguments.
    LongCommandArrival {
        fault: usize,
    },
}
