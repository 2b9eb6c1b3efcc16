//! Streams between a node and a client or server: bytes arrive in order, whole or in pieces, and then the end.

use bytes::BytesMut;
use stonevane_core::ConnId;

/// Names a stream.
pub type WireId = u64;

/// Who is at the other end of a node's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// A client.
    Client,
    /// A server, by its number; the origin is the last.
    Server(usize),
}

/// A stream.
pub struct Wire {
    /// The node, and which life of it.
    pub node: usize,
    pub life: u64,
    /// The node's name for it.
    pub id: ConnId,
    pub peer: Peer,
    /// Whether the node's end is open, and the peer's.
    pub node_open: bool,
    pub peer_open: bool,
    /// Whether the server's table had a place for it.
    pub placed: bool,
    /// The node writes no more, and reads on for a moment.
    pub lingers: bool,
    /// What the machine has not taken yet of what the node writes; gone where the node closes it before.
    pub rest: Option<Vec<u8>>,
    /// The last moment at which anything arrives at the node, and at the peer.
    pub to_node: u64,
    pub to_peer: u64,
    /// What has arrived at the node and is not read, and whether the end has.
    pub inbox: Vec<u8>,
    pub ended: bool,
    /// What has arrived at the peer and is not a whole message.
    pub input: BytesMut,
    /// When the first byte of that came.
    pub first: u64,
    /// A client's requests that await their answers, in their order.
    pub asked: std::collections::VecDeque<usize>,
    /// The last request that was answered on it.
    pub last: Option<usize>,
    /// A client that says nothing.
    pub crowd: bool,
    /// A client's request that is asked as soon as the node has taken it.
    pub wants: Option<usize>,
}

/// What arrives.
#[derive(Debug, Clone)]
pub enum Chunk {
    /// Bytes.
    Bytes(Vec<u8>),
    /// The end.
    End,
    /// The end of a process that was killed.
    Reset,
}
