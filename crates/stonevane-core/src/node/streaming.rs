//! Streaming of values that are too long to be buffered: they are forwarded to the client as they arrive.

use bytes::Bytes;
use stonevane_policy::{AttemptStatus, Micros};

use super::Core;
use crate::clients::{StreamStart, StreamedAnswer};
use crate::faults::Faults;
use crate::io::Output;
use crate::reply::{ConnId, Reply};
use crate::servers::{ConnState, STREAM_CHUNK_BYTES, StreamPiece, StreamTarget};
use crate::trace::CloseReason;

/// A streamed value that makes no progress for this time, while the client's buffer has space, counts as
/// broken.
const STREAM_STALL_TIMEOUT: Micros = 4_000_000;

impl<F: Faults> Core<F> {
    /// Whether the client's buffer has space for more of the value that a server connection streams. `true`
    /// if the connection does not stream a value.
    pub(super) fn has_stream_space(&mut self, id: ConnId) -> bool {
        let target = self.connections.pool.get(id).and_then(|conn| conn.stream_target);
        let Some(StreamTarget { client, slot }) = target else { return true };
        let session = self.connections.clients.sessions.get_mut(&client);
        session.is_none_or(|session| session.has_stream_space(slot))
    }

    /// Resumes reading from a server connection if it has a read budget and the client's buffer has space.
    pub(super) fn resume_server_connection(&mut self, id: ConnId) {
        let has_stream_space = self.has_stream_space(id);
        let Some(conn) = self.connections.pool.get_mut(id) else { return };
        if !conn.reading_paused || conn.read_budget() == 0 || !has_stream_space {
            return;
        }
        conn.reading_paused = false;
        if conn.state == ConnState::Streaming {
            conn.deadline = Some(self.now + STREAM_STALL_TIMEOUT);
            conn.timer.arm(conn.deadline, id, &mut self.timers);
        }
        self.out.push_back(Output::Resume(id));
    }

    /// Begins to stream a value whose memory is reserved. From then on its request counts as served: no more
    /// attempts are made, and its deadline no longer applies.
    pub(super) fn begin_stream(&mut self, id: ConnId, length: usize) {
        let Some(key) = self.connections.pool.get(id).and_then(|conn| conn.attempt) else { return };
        let Some(entry) = self.requests.get_open(key.request) else {
            self.close_server_connection(id, CloseReason::GivenUp);
            return self.end_attempt(key, AttemptStatus::Cancelled);
        };
        let target = StreamTarget { client: entry.client, slot: entry.slot };
        let class_slot = entry.class_slot;
        let Some(start) = self.reserve_stream(id, target, length) else {
            return self.on_reply_without_memory(id);
        };
        self.record_server_response(key);
        let conn = self.connections.pool.get_mut(id);
        let reservation = conn.and_then(|conn| conn.begin_stream(target));
        let head = format!("${length}\r\n").into();
        let session = self.connections.clients.sessions.get_mut(&target.client);
        let has_begun = session.is_some_and(|session| {
            session.begin_stream(target.slot, id, class_slot, head, start, reservation)
        });
        if !has_begun {
            self.close_server_connection(id, CloseReason::ReplyEndsConnection);
        }
        self.end_attempt_with(key, Reply::of_status(AttemptStatus::Served, true));
        self.run_policy();
        if let Some(conn) = self.connections.pool.get_mut(id) {
            let piece = conn.next_piece();
            self.forward_piece(id, piece);
        }
    }

    /// Decides when the value is written. Requests behind it on the client's connection may have run, and
    /// their answers would be lost if the value broke off after a part of it was written: then the complete
    /// value is buffered first. Returns `None` if there is no memory for that.
    fn reserve_stream(&mut self, id: ConnId, target: StreamTarget, length: usize) -> Option<StreamStart> {
        let session = self.connections.clients.sessions.get(&target.client);
        if !session.is_some_and(|session| session.has_slots_behind(target.slot)) {
            return Some(StreamStart::Immediate);
        }
        let connections = &mut self.connections;
        let reservation = connections.pool.get_mut(id)?.reservation_mut()?;
        let missing = (length + STREAM_CHUNK_BYTES).saturating_sub(reservation.bytes());
        let is_reserved = missing == 0 || connections.memory.try_grow(reservation, missing);
        (is_reserved && length <= connections.max_reply_value).then_some(StreamStart::Complete(length))
    }

    /// Forwards a piece of a streamed value to its client.
    pub(super) fn forward_piece(&mut self, id: ConnId, piece: StreamPiece) {
        match piece {
            StreamPiece::Part(bytes) => self.forward_part(id, bytes),
            StreamPiece::End { bytes, reusable } => self.forward_end(id, bytes, reusable),
            StreamPiece::Malformed => {
                let target = self.connections.pool.get(id).and_then(|conn| conn.stream_target);
                self.close_server_connection(id, CloseReason::Malformed);
                if let Some(target) = target {
                    self.on_stream_broken(target);
                }
            }
        }
    }

    fn forward_part(&mut self, id: ConnId, bytes: Bytes) {
        let target = self.connections.pool.get(id).and_then(|conn| conn.stream_target);
        let has_space = target.is_none_or(|target| self.push_piece(target, bytes, false));
        if let Some(conn) = self.connections.pool.get_mut(id) {
            conn.deadline = has_space.then_some(self.now + STREAM_STALL_TIMEOUT);
        }
        self.arm_connection(id);
        if let Some(target) = target {
            self.process_client(target.client);
        }
    }

    fn forward_end(&mut self, id: ConnId, bytes: Bytes, reusable: bool) {
        let Some(conn) = self.connections.pool.get_mut(id) else { return };
        let target = conn.stream_target.take();
        let server = conn.server;
        conn.deadline = None;
        if let Some(target) = target {
            self.push_piece(target, bytes, true);
        }
        self.connections.pool.on_reply(id, false);
        if reusable {
            self.release_connection(id, server);
        } else {
            self.close_server_connection(id, CloseReason::ReplyEndsConnection);
        }
        if let Some(target) = target {
            self.process_client(target.client);
        }
    }

    /// Adds a piece to a client's answer. Returns whether the answer has space for more.
    fn push_piece(&mut self, target: StreamTarget, bytes: Bytes, is_last: bool) -> bool {
        let session = self.connections.clients.sessions.get_mut(&target.client);
        session.is_none_or(|session| session.push_piece(target.slot, bytes, is_last))
    }

    /// Handles a streamed value that broke off. If the client may have received a part of it, its connection
    /// is closed, since no error can follow a partial value. Otherwise the client gets an error.
    pub(super) fn on_stream_broken(&mut self, target: StreamTarget) {
        let StreamTarget { client, slot } = target;
        let Some(session) = self.connections.clients.sessions.get_mut(&client) else { return };
        let error = Bytes::from_static(b"-ERR failed\r\n");
        if let Some(stream) = session.replace_unstarted_stream(slot, error) {
            self.connections.clients.pending_ids.remove(&stream.id);
            self.reporter.metrics.class_mut(stream.class_slot).failed += 1;
            self.requests.unanswered -= 1;
            self.process_client(client);
        } else {
            self.end_at_broken_stream(client, slot);
        }
    }

    /// Abandons a streamed answer whose client has disconnected.
    pub(super) fn abandon_stream(&mut self, stream: &StreamedAnswer) {
        self.connections.clients.pending_ids.remove(&stream.id);
        let counts = self.reporter.metrics.class_mut(stream.class_slot);
        if stream.broken {
            counts.failed += 1;
        } else {
            counts.disconnected += 1;
        }
        self.requests.unanswered -= 1;
        let conn = self.connections.pool.get(stream.conn);
        if conn.is_some_and(|conn| conn.stream_target.is_some()) {
            self.close_server_connection(stream.conn, CloseReason::GivenUp);
        }
    }
}
