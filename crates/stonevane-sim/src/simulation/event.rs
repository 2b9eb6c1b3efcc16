//! What happens in a simulation.

use stonevane_core::{DiscoveryRequest, EndpointList};

use crate::server::Work;
use crate::server::protocol::ServerRequest;
use crate::stream::{Chunk, StreamId};

/// A node's call to discovery.
#[derive(Clone)]
pub struct DiscoveryCall {
    pub node: usize,
    pub incarnation: u64,
    /// The node's own number of the call.
    pub epoch: u64,
}

/// An event.
pub enum Event {
    /// Something arrives at a stream's node, or at its peer.
    DeliverToNode(StreamId, Chunk),
    DeliverToPeer(StreamId, Chunk),
    /// A connection to a server is established, or refused.
    Connected {
        stream: StreamId,
        is_accepted: bool,
    },
    /// A node's machine takes the rest of what it wrote.
    Flushed(StreamId),
    /// A half-closed stream is read no longer.
    HalfCloseExpired(StreamId),
    /// A client's connection reaches a node's machine.
    Connect(StreamId),
    /// A node's timer is due.
    Wake {
        node: usize,
        incarnation: u64,
    },
    /// A server's work is done.
    WorkDone {
        stream: StreamId,
        incarnation: u64,
        request: Box<ServerRequest>,
        work: Work,
    },
    /// A server sends bytes behind an answer.
    ExtraBytes(StreamId, Vec<u8>),
    /// A client's next request.
    RequestArrival,
    /// A client sends a request, or retries it.
    Attempt(usize),
    /// A connection for a request was not accepted in time.
    ConnectTimeout {
        request: usize,
        attempt: u32,
    },
    /// A client waits for an answer no longer.
    AnswerTimeout {
        request: usize,
        attempt: u32,
    },
    /// A fault of the plan begins, or ends.
    Fault {
        fault: usize,
        begins: bool,
    },
    StartNode(usize),
    /// Discovery learns of a change.
    DiscoveryUpdate {
        server: String,
        status: &'static str,
        started_at: Option<u64>,
    },
    /// A list or a watch event reaches a node; `None`: its call has failed.
    DiscoveryAnswer(DiscoveryCall, Option<EndpointList>),
    /// A call reaches discovery.
    DiscoveryCallArrived(DiscoveryCall, DiscoveryRequest),
    /// Discovery has worked on a call.
    DiscoveryCallDone(DiscoveryCall, DiscoveryRequest),
    /// A client of a crowd connects and says nothing.
    CrowdArrival {
        fault: usize,
    },
}
