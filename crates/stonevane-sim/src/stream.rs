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
    /// A client.
    Client,
    /// A server, by its index; the origin has the last one.
    Server(usize),
}

/// A stream: the state of the node's end and of the peer's end, with the unread bytes at each.
pub struct Stream {
    pub node: usize,
    /// The node's incarnation that the stream belongs to.
    pub incarnation: u64,
    /// The node's id of the connection; 0 until the node has accepted it.
    pub connection: ConnId,
    pub peer: Peer,
    pub is_node_open: bool,
    pub is_peer_open: bool,
    /// Whether the stream has a slot in the server's connection table; requests on a stream without one are
    /// rejected.
    pub has_server_slot: bool,
    /// Whether the node has closed its writing side and discards what still arrives.
    pub is_half_closed: bool,
    /// Written bytes that the node's machine has not taken yet; lost if the node closes first.
    pub unflushed: Option<Vec<u8>>,
    /// Time of the latest delivery scheduled to each end; later chunks are not delivered before it, which
    /// keeps the order.
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
    /// A client's request to be sent as soon as the node accepts the stream.
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
    /// Bytes.
    Bytes(Vec<u8>),
    /// The end of the stream.
    End,
    /// The end of the stream, because the process was killed.
    Reset,
}
