//! Streams between a node and a client or server. Bytes arrive in order, in one piece or several, before the
//! end of the stream.

use std::collections::VecDeque;

use bytes::BytesMut;
use stonevane_core::ConnId;

/// Identifier of a stream, unique within a run.
pub type StreamId = u64;

/// Peer at the other end of a node's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// A client of the node.
    Client,
    /// A server, by its index; the origin has the highest index.
    Server(usize),
}

/// A stream: the state of the node's end and of the peer's end, with the unread bytes at each.
pub struct Stream {
    pub node: usize,
    /// Incarnation of the node at the time when the stream was opened.
    pub incarnation: u64,
    /// Connection id in the node's core; 0 until the node has accepted the stream.
    pub connection: ConnId,
    pub peer: Peer,
    pub is_node_open: bool,
    pub is_peer_open: bool,
    /// Whether the stream has a slot in the server's connection table; the server rejects requests on a
    /// stream without a slot.
    pub has_server_slot: bool,
    /// Whether the node has closed its writing side and discards what still arrives.
    pub is_half_closed: bool,
    /// Bytes that the node has written and its machine has not taken yet; they are lost if the node closes
    /// the stream first.
    pub unflushed: Option<Vec<u8>>,
    /// Simulated times of the latest delivery scheduled to each end; later chunks are delivered no earlier,
    /// which keeps their order.
    pub last_delivery_to_node: u64,
    pub last_delivery_to_peer: u64,
    /// Bytes that arrived at the node and are unread, and whether the end of the stream has arrived.
    pub node_inbox: Vec<u8>,
    pub is_end_received: bool,
    /// Bytes of an incomplete message at the peer, and the time when its first byte came.
    pub peer_inbox: BytesMut,
    pub peer_inbox_since: u64,
    /// A client's requests without an answer, in the order in which they were sent.
    pub in_flight: VecDeque<usize>,
    /// The last request that was answered on the stream.
    pub last_answered: Option<usize>,
    /// Whether the client never sends a request.
    pub is_silent: bool,
    /// Request that the client sends as soon as the node accepts the stream.
    pub waiting_request: Option<usize>,
}

impl Stream {
    /// Creates a stream that is open at both ends.
    pub fn new(node: usize, incarnation: u64, connection: ConnId, peer: Peer) -> Stream {
        Stream {
            node,
            incarnation,
            connection,
            peer,
            is_node_open: true,
            is_peer_open: true,
            has_server_slot: true,
            is_half_closed: false,
            unflushed: None,
            last_delivery_to_node: 0,
            last_delivery_to_peer: 0,
            node_inbox: Vec::new(),
            is_end_received: false,
            peer_inbox: BytesMut::new(),
            peer_inbox_since: 0,
            in_flight: VecDeque::new(),
            last_answered: None,
            is_silent: false,
            waiting_request: None,
        }
    }
}

impl Stream {
    /// Whether the peer is a client that has not closed its end.
    pub fn is_open_client(&self) -> bool {
        self.peer == Peer::Client && self.is_peer_open
    }
}

/// A delivery on a stream.
#[derive(Debug, Clone)]
pub enum Chunk {
    /// Bytes in the order of their writing.
    Bytes(Vec<u8>),
    /// The end of the stream, because the sender closed it.
    End,
    /// The end of the stream, because the sender's process was killed.
    Reset,
}
