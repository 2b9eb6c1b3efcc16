//! Streams between a node and a client or server: bytes arrive in order, in one piece or several, and then the end.

use std::collections::VecDeque;

use bytes::BytesMut;
use stonevane_core::ConnId;

/// Names a stream.
pub type StreamId = u64;

/// Who is at the other end of a node's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// A client.
    Client,
    /// A server, by its number; the origin is the last.
    Server(usize),
}

/// A stream, with its node's end and its peer's, and what has arrived at each and was not read yet.
pub struct Stream {
    pub node: usize,
    /// Which incarnation of the node it is to.
    pub incarnation: u64,
    /// The node's own id for it; 0 until the node has accepted it.
    pub connection: ConnId,
    pub peer: Peer,
    pub is_node_open: bool,
    pub is_peer_open: bool,
    /// Whether the server's connection table had a slot for it.
    pub has_server_slot: bool,
    /// The node has closed its writing side, and reads on for a moment.
    pub is_half_closed: bool,
    /// What the node wrote and its machine has not taken yet; lost where the node closes before.
    pub unflushed: Option<Vec<u8>>,
    /// The last moment at which anything is delivered to each end: a stream keeps its order.
    pub last_delivery_to_node: u64,
    pub last_delivery_to_peer: u64,
    /// What has arrived at the node and is not read, and whether the end has.
    pub node_inbox: Vec<u8>,
    pub is_end_received: bool,
    /// What has arrived at the peer and is not a complete message, and when its first byte came.
    pub peer_inbox: BytesMut,
    pub peer_inbox_since: u64,
    /// A client's requests that await their answers, in their order.
    pub in_flight: VecDeque<usize>,
    /// The last request that was answered on it.
    pub last_answered: Option<usize>,
    /// Its client says nothing.
    pub is_silent: bool,
    /// A client's request that is sent as soon as the node has accepted the stream.
    pub waiting_request: Option<usize>,
}

impl Stream {
    /// One that is open at both ends.
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
    /// Whether it is a client's that the client has not closed.
    pub fn is_open_client(&self) -> bool {
        self.peer == Peer::Client && self.is_peer_open
    }
}

/// What is delivered.
#[derive(Debug, Clone)]
pub enum Chunk {
    /// Bytes.
    Bytes(Vec<u8>),
    /// The end of the stream.
    End,
    /// The end, as the process was killed.
    Reset,
}
