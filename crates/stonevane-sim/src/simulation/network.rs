//! The network: opens, accepts and closes streams at the node's end, and delivers chunks at both ends.

use std::net::SocketAddr;

use stonevane_core::{ConnId, Input, Outputs};

use super::Simulation;
use super::event::Event;
use crate::stream::{Chunk, Peer, Stream, StreamId};

/// Maximum number of pieces that are split off before the last piece of a write.
const MAX_PIECES: usize = 6;
/// Upper bound of the time that the last piece of a write stays in the process before the machine takes it,
/// microseconds.
const MAX_FLUSH_DELAY_US: u64 = 20_000;
/// Maximum number of unread bytes that a node reads before it writes a request to the same connection.
const READ_BEFORE_WRITE_BYTES: usize = 4_096;

impl Simulation<'_> {
    pub(super) fn open_stream(&mut self, stream: Stream) -> StreamId {
        let id = self.next_stream;
        self.next_stream += 1;
        self.streams.insert(id, stream);
        id
    }

    pub(super) fn send_to_node(&mut self, id: StreamId, chunk: Chunk) {
        let at = self.queue.now() + self.draw_delay();
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.last_delivery_to_node = at.max(stream.last_delivery_to_node);
        let at = stream.last_delivery_to_node;
        self.schedule(at, Event::DeliverToNode(id, chunk));
    }

    pub(super) fn send_to_peer(&mut self, id: StreamId, chunk: Chunk) {
        let at = self.queue.now() + self.draw_delay();
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.last_delivery_to_peer = at.max(stream.last_delivery_to_peer);
        let at = stream.last_delivery_to_peer;
        self.schedule(at, Event::DeliverToPeer(id, chunk));
    }

    /// Splits bytes into the one or several pieces in which they arrive.
    pub(super) fn fragment(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        if bytes.len() < 2 || !self.draw_chance(self.plan.fragmented_share) {
            return vec![bytes.to_vec()];
        }
        let mut rest = bytes;
        let mut pieces = Vec::new();
        while rest.len() > 1 && pieces.len() < MAX_PIECES {
            let length = 1 + self.rng.rand_range(0..rest.len() as u64) as usize;
            let (piece, more) = rest.split_at(length);
            pieces.push(piece.to_vec());
            rest = more;
        }
        if !rest.is_empty() {
            pieces.push(rest.to_vec());
        }
        pieces
    }

    /// Opens a node's connection to a server.
    pub(super) fn open_server_connection(&mut self, node: usize, connection: ConnId, address: SocketAddr) {
        let number = self.servers.iter().position(|server| server.address == address).unwrap_or(0);
        let incarnation = self.nodes[node].incarnation;
        let peer = Peer::Server(number);
        let id = self.open_stream(Stream::new(node, incarnation, connection, peer));
        self.totals.connections_opened += 1;
        if let Some(slots) = self.plan.origin_connections.filter(|_| self.servers[number].is_origin) {
            let is_counted = |stream: &&Stream| {
                stream.peer == peer && stream.has_server_slot && stream.is_node_open && stream.is_peer_open
            };
            // The count includes the new stream, which is already in `streams`.
            let has_server_slot = self.streams.values().filter(is_counted).count() <= slots;
            self.streams.entry(id).and_modify(|stream| stream.has_server_slot = has_server_slot);
        }
        self.nodes[node].streams.insert(connection, id);
        let delay = self.draw_delay();
        let server = &self.servers[number];
        if !server.is_unreachable {
            let is_accepted = server.is_up;
            self.schedule_in(delay, Event::Connected { stream: id, is_accepted });
        }
    }

    /// Reports to a node that its connection to a server is established or refused.
    pub(super) fn server_connected(&mut self, id: StreamId, is_accepted: bool) {
        let Some(stream) = self.streams.get(&id).filter(|stream| stream.is_node_open) else { return };
        let (node, connection) = (stream.node, stream.connection);
        if self.nodes[node].is_stopped() {
            return self.nodes[node].deferred.push(Event::Connected { stream: id, is_accepted });
        }
        if is_accepted {
            return self.feed(node, Input::Opened(connection));
        }
        self.nodes[node].streams.remove(&connection);
        self.streams.remove(&id);
        self.feed(node, Input::Closed(connection));
    }

    /// Adds a client's connection to a node's backlog, or closes it if the node's process no longer listens.
    pub(super) fn client_connects(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get(&id).filter(|stream| stream.is_node_open) else { return };
        let (node, incarnation) = (stream.node, stream.incarnation);
        let target = &mut self.nodes[node];
        if target.incarnation != incarnation || !target.is_listening {
            return self.close_node_end(id);
        }
        target.backlog.push_back(id);
        if !target.is_stopped() {
            let mut outputs = Outputs::new();
            self.accept_backlog(node, &mut outputs);
            self.perform(node, outputs);
        }
    }

    /// Writes a node's bytes to a connection. Their last piece may stay in the process for a while before the
    /// machine takes it.
    pub(super) fn node_writes(
        &mut self,
        node: usize,
        connection: ConnId,
        bytes: &[u8],
        outputs: &mut Outputs,
    ) {
        let Some(id) = self.nodes[node].streams.get(&connection).copied() else { return };
        if self.streams.get(&id).is_none_or(|stream| !stream.is_peer_open) {
            // The write fails because the peer has closed its end.
            return self.node_end_closed(node, connection, id, outputs);
        }
        let mut pieces = self.fragment(bytes);
        let rest = if self.draw_chance(self.plan.late_flush_share) { pieces.pop() } else { None };
        for piece in pieces {
            self.send_to_peer(id, Chunk::Bytes(piece));
        }
        if rest.is_some() {
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.unflushed = rest;
            }
            let delay = self.rng.rand_range(1..MAX_FLUSH_DELAY_US);
            return self.schedule_in(delay, Event::Flushed(id));
        }
        self.feed_into(node, Input::Flushed(connection), outputs);
    }

    /// Sends the last piece of a write once the node's machine has taken it.
    pub(super) fn flushed(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get_mut(&id).filter(|stream| stream.is_node_open) else { return };
        let (node, connection) = (stream.node, stream.connection);
        if self.nodes[node].is_stopped() {
            return self.nodes[node].deferred.push(Event::Flushed(id));
        }
        if let Some(rest) = stream.unflushed.take() {
            self.send_to_peer(id, Chunk::Bytes(rest));
        }
        self.feed(node, Input::Flushed(connection));
    }

    /// Delivers a chunk to a node.
    pub(super) fn deliver_to_node(&mut self, id: StreamId, chunk: Chunk) {
        let Some(stream) = self.streams.get_mut(&id).filter(|stream| stream.is_node_open) else { return };
        match chunk {
            Chunk::End | Chunk::Reset if stream.is_half_closed => return self.half_close_expired(id),
            Chunk::Bytes(_) if stream.is_half_closed => return,
            Chunk::Bytes(bytes) => stream.node_inbox.extend_from_slice(&bytes),
            Chunk::End | Chunk::Reset => stream.is_end_received = true,
        }
        let (node, connection) = (stream.node, stream.connection);
        // The machine buffers the chunk until the process has accepted the stream and isn't paused.
        if connection == 0 || self.nodes[node].is_stopped() {
            return;
        }
        if self.is_held_up(node, id) {
            return;
        }
        let mut outputs = Outputs::new();
        self.read(node, id, &mut outputs);
        self.perform(node, outputs);
    }

    /// Feeds a node the unread bytes of a stream, up to its read budget, and then the end of the stream.
    pub(super) fn read(&mut self, node: usize, id: StreamId, outputs: &mut Outputs) {
        loop {
            let Some(stream) = self.streams.get_mut(&id).filter(|stream| stream.is_node_open) else { return };
            let connection = stream.connection;
            if stream.node_inbox.is_empty() && !stream.is_end_received {
                return;
            }
            let Some(core) = &mut self.nodes[node].core else { return };
            let budget = core.read_budget(connection);
            if budget == 0 {
                return;
            }
            if stream.node_inbox.is_empty() {
                return self.node_end_closed(node, connection, id, outputs);
            }
            let length = budget.min(stream.node_inbox.len());
            let bytes: Vec<u8> = stream.node_inbox.drain(..length).collect();
            self.feed_into(node, Input::Bytes(connection, &bytes), outputs);
            // The node's outputs are performed before it reads more.
            if !outputs.is_empty() {
                let pending = std::mem::take(outputs);
                self.perform(node, pending);
            }
        }
    }

    /// Returns whether a connection is open with no unread bytes and no unread end. Otherwise feeds the node
    /// the first unread bytes, at most [`READ_BEFORE_WRITE_BYTES`], or else the end of the connection.
    pub(super) fn check_nothing_unread(
        &mut self,
        node: usize,
        connection: ConnId,
        outputs: &mut Outputs,
    ) -> bool {
        let Some(id) = self.nodes[node].streams.get(&connection).copied() else { return false };
        let Some(stream) = self.streams.get_mut(&id) else { return false };
        if !stream.node_inbox.is_empty() {
            let length = stream.node_inbox.len().min(READ_BEFORE_WRITE_BYTES);
            let bytes: Vec<u8> = stream.node_inbox.drain(..length).collect();
            self.feed_into(node, Input::Bytes(connection, &bytes), outputs);
            return false;
        }
        if stream.is_end_received {
            self.node_end_closed(node, connection, id, outputs);
            return false;
        }
        true
    }

    /// Closes the node's end of a stream, and reports the end of the connection to the node.
    fn node_end_closed(&mut self, node: usize, connection: ConnId, id: StreamId, outputs: &mut Outputs) {
        self.nodes[node].streams.remove(&connection);
        self.close_node_end(id);
        self.feed_into(node, Input::Closed(connection), outputs);
    }

    /// Closes the node's end of a stream, and removes the stream if both ends are closed.
    pub(super) fn close_node_end(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        if std::mem::replace(&mut stream.is_node_open, false) && stream.is_peer_open {
            self.send_to_peer(id, Chunk::End);
        } else {
            self.streams.remove(&id);
        }
    }

    /// Closes a half-closed stream after its peer has closed its end too, or once the stream has been
    /// half-closed for the longest time allowed.
    pub(super) fn half_close_expired(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get(&id).filter(|stream| stream.is_node_open) else { return };
        let (node, connection) = (stream.node, stream.connection);
        self.nodes[node].streams.remove(&connection);
        self.close_node_end(id);
        self.feed(node, Input::Closed(connection));
    }

    /// Delivers a chunk to the peer's end.
    pub(super) fn deliver_to_peer(&mut self, id: StreamId, chunk: Chunk) {
        let now = self.now();
        let Some(stream) = self.streams.get_mut(&id).filter(|stream| stream.is_peer_open) else { return };
        match chunk {
            Chunk::Bytes(bytes) => {
                if stream.peer_inbox.is_empty() {
                    stream.peer_inbox_since = now;
                }
                stream.peer_inbox.extend_from_slice(&bytes);
                match stream.peer {
                    Peer::Client => self.client_reads(id),
                    Peer::Server(server) => self.server_reads(id, server),
                }
            }
            Chunk::End => self.peer_end_closed(id, false),
            Chunk::Reset => self.peer_end_closed(id, true),
        }
    }

    /// Closes the peer's end of a stream after the node has closed its own end.
    fn peer_end_closed(&mut self, id: StreamId, is_reset: bool) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.is_peer_open = false;
        let closed = ClosedStream {
            id,
            node: stream.node,
            in_flight: std::mem::take(&mut stream.in_flight).into(),
            waiting_request: stream.waiting_request.take(),
            was_used: stream.last_answered.is_some(),
            is_reset,
        };
        let peer = stream.peer;
        if stream.is_node_open {
            // The node has closed only its writing side, and waits until the peer has closed its end.
            self.send_to_node(id, Chunk::End);
        } else {
            self.streams.remove(&id);
        }
        if peer == Peer::Client {
            self.client_stream_closed(closed);
        }
    }
}

/// A client's stream that the node has closed.
pub struct ClosedStream {
    pub id: StreamId,
    pub node: usize,
    /// Requests that were sent on the stream and have no answer.
    pub in_flight: Vec<usize>,
    /// A request that waited for the node to accept the stream, and so was not sent.
    pub waiting_request: Option<usize>,
    /// Whether the node had answered a request on the stream.
    pub was_used: bool,
    pub is_reset: bool,
}
