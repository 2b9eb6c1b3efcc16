//! Events on server connections: opening, replies, time limits, loss, release.

use bytes::Bytes;
use stonevane_policy::{AttemptStatus, Micros, ServerId};

use super::Core;
use super::endpoints::ServerTarget;
use crate::faults::{Faults, Mutant};
use crate::io::Output;
use crate::memory::MemoryReservation;
use crate::reply::{AttemptKey, ConnId, Reply};
use crate::request::FinalAnswer;
use crate::servers::{ConnState, DecodeOptions, MemoryDemand, Protocol, ReadOutcome, ServerConn};
use crate::timers::TimerKind;
use crate::trace::CloseReason;

/// Longest wait of an attempt for a resting connection (one within its reuse delay) when the connection table
/// is full: about the time that opening a connection takes.
const MAX_REST_WAIT: Micros = 3_000;
/// Shortest connect timeout. There must be one, because an unreachable machine does not respond at all.
const MIN_CONNECT_TIMEOUT: Micros = 1_000;

/// A connection for an attempt.
pub(super) struct AcquiredConnection {
    pub id: ConnId,
    /// Whether the request can be written immediately.
    pub is_open: bool,
}

impl<F: Faults> Core<F> {
    /// Finds or opens a connection for an attempt. Returns `None` if none is idle and the connection limit
    /// allows no further one.
    pub(super) fn acquire_connection(
        &mut self,
        target: ServerTarget,
        key: AttemptKey,
    ) -> Option<AcquiredConnection> {
        let mut expired = Vec::new();
        let idle =
            self.connections.pool.take_idle(target.server, key, self.now, self.polled_at, &mut expired);
        for id in expired {
            self.close_connection(id, CloseReason::Idle);
        }
        if let Some(id) = idle {
            return Some(AcquiredConnection { id, is_open: true });
        }
        if let Some(id) = self.reserve_resting_connection(target.server, key) {
            return Some(AcquiredConnection { id, is_open: false });
        }
        let id = self.open_connection(target, key)?;
        Some(AcquiredConnection { id, is_open: target.protocol == Protocol::Store })
    }

    /// If the connection table is full, reserves a connection that is still within its reuse delay (resting).
    /// Without this reservation, under a load that keeps all idle connections resting, most requests would
    /// close one connection to open another.
    fn reserve_resting_connection(&mut self, server: ServerId, key: AttemptKey) -> Option<ConnId> {
        if !self.connections.is_full_for_servers() {
            return None;
        }
        let id = self.connections.pool.reserve_resting(server, key, self.now + MAX_REST_WAIT)?;
        self.arm_connection(id);
        Some(id)
    }

    /// Opens a connection for an attempt if the connection limit allows it.
    pub(super) fn open_connection(&mut self, target: ServerTarget, key: AttemptKey) -> Option<ConnId> {
        if self.connections.is_full_for_servers()
            && let Some(idle) = self.connections.pool.longest_idle()
        {
            self.close_server_connection(idle, CloseReason::CapacityNeeded);
        }
        if self.connections.is_full_for_servers() {
            return None;
        }
        let id = self.next_connection_id();
        let ServerTarget { server, address, protocol } = target;
        let deadline = self.now + self.deployment.connect_timeout.max(MIN_CONNECT_TIMEOUT);
        let mut conn = ServerConn::new(server, address, protocol, key, deadline);
        if protocol == Protocol::Store {
            conn.state = ConnState::Idle;
            conn.deadline = None;
        } else {
            self.out.push_back(Output::Open(id, address));
        }
        self.connections.pool.insert(id, conn);
        self.arm_connection(id);
        Some(id)
    }

    pub(super) fn on_opened(&mut self, id: ConnId) {
        let Some(conn) = self.connections.pool.get_mut(id) else { return };
        if conn.state != ConnState::Connecting {
            return;
        }
        conn.state = ConnState::Idle;
        conn.deadline = None;
        if let Some(key) = conn.attempt {
            self.write_attempt(key, id);
            self.run_policy();
        }
    }

    pub(super) fn on_request_written(&mut self, id: ConnId) {
        if let Some(conn) = self.connections.pool.get_mut(id)
            && conn.state == ConnState::Writing
        {
            conn.state = ConnState::Reading;
            self.reporter.metrics.attempts += 1;
            self.resume_server_connection(id);
        }
    }

    pub(super) fn on_server_bytes(&mut self, id: ConnId, bytes: &[u8]) {
        let Some(conn) = self.connections.pool.get_mut(id) else { return };
        let keeps_surplus = self.faults.injects(Mutant::KeepSurplus);
        if keeps_surplus && conn.state == ConnState::Idle {
            return conn.keep_surplus(bytes);
        }
        let max_value = self.connections.max_reply_value;
        let options = DecodeOptions {
            load_names: &self.deployment.load_metric_names,
            max_value,
            stall_timeout: self.connections.stall_timeout,
            keeps_surplus,
        };
        match conn.on_bytes(self.now, bytes, &options) {
            ReadOutcome::Incomplete => self.on_incomplete_reply(id),
            ReadOutcome::Reply(reply) => self.on_reply(id, reply),
            ReadOutcome::Malformed => self.on_malformed_reply(id),
            ReadOutcome::Unsolicited => self.on_server_connection_lost(id),
            ReadOutcome::StreamBegins(length) => self.begin_stream(id, length),
            ReadOutcome::Piece(piece) => self.forward_piece(id, piece),
        }
    }

    /// Reserves the memory that the next bytes of an incomplete reply need.
    fn on_incomplete_reply(&mut self, id: ConnId) {
        let connections = &mut self.connections;
        let Some(conn) = connections.pool.get_mut(id) else { return };
        match conn.memory_demand(connections.max_reply_value) {
            MemoryDemand::Satisfied => {}
            MemoryDemand::Queue(bytes) => connections.memory.enqueue(id, bytes),
            MemoryDemand::Grow(bytes) => {
                let memory = &connections.memory;
                let has_grown = conn.reservation_mut().is_some_and(|held| memory.try_grow(held, bytes));
                if !has_grown {
                    return self.on_reply_without_memory(id);
                }
            }
        }
        self.arm_connection(id);
    }

    /// Fails the request of a reply whose value does not fit into the memory that is free. The server has run
    /// the request.
    pub(super) fn on_reply_without_memory(&mut self, id: ConnId) {
        let key = self.connections.pool.get(id).and_then(|conn| conn.attempt);
        self.close_server_connection(id, CloseReason::ReplyEndsConnection);
        if let Some(key) = key {
            self.record_server_response(key);
            self.answer(key.request, FinalAnswer::Failed);
            self.end_attempt(key, AttemptStatus::Served);
            self.run_policy();
        }
    }

    pub(super) fn on_reply_memory_granted(&mut self, id: ConnId, reservation: MemoryReservation) {
        let deadline = self.now + self.connections.stall_timeout;
        let Some(conn) = self.connections.pool.get_mut(id) else { return };
        conn.on_memory_granted(reservation, deadline);
        self.arm_connection(id);
        self.resume_server_connection(id);
        // The bytes received so far may be enough to begin a stream.
        let state = self.connections.pool.get(id).map(|conn| conn.state);
        if state == Some(ConnState::Reading) {
            self.on_bytes(id, &[]);
        }
    }

    pub(super) fn on_server_connection_limit(&mut self, id: ConnId) {
        let Some(conn) = self.connections.pool.get_mut(id) else { return };
        if !conn.timer.fire(conn.deadline, self.now, id, &mut self.timers) {
            return;
        }
        match (conn.state, conn.attempt) {
            (ConnState::Reading, _) => self.on_malformed_reply(id),
            (ConnState::Streaming, _) => {
                self.close_connection(id, CloseReason::StreamBroken);
                self.on_server_connection_lost(id);
            }
            (ConnState::Idle, None) => self.close_server_connection(id, CloseReason::Idle),
            (ConnState::Resting, Some(key)) => {
                conn.state = ConnState::Idle;
                conn.deadline = None;
                self.write_attempt(key, id);
                self.run_policy();
            }
            _ => {
                self.close_connection(id, CloseReason::TimeLimit);
                self.on_server_connection_lost(id);
            }
        }
    }

    /// Sets the timer of a server connection to its deadline.
    pub(super) fn arm_connection(&mut self, id: ConnId) {
        if let Some(conn) = self.connections.pool.get_mut(id) {
            conn.timer.arm(conn.deadline, id, &mut self.timers);
        }
    }

    /// Handles a complete reply. A reply on a connection that has been closed is ignored.
    pub(super) fn on_reply(&mut self, id: ConnId, reply: Reply) {
        let Some(key) = self.connections.pool.get(id).and_then(|conn| conn.attempt) else { return };
        self.record_server_response(key);
        self.connections.pool.on_reply(id, reply.status == AttemptStatus::Rejected);
        let server = self.attempts.get(&key).map(|attempt| attempt.server);
        match server.filter(|_| reply.reusable) {
            Some(server) => self.release_connection(id, server),
            None => self.close_server_connection(id, CloseReason::ReplyEndsConnection),
        }
        self.end_attempt_with(key, reply);
        self.run_policy();
    }

    fn on_malformed_reply(&mut self, id: ConnId) {
        let key = self.connections.pool.get(id).and_then(|conn| conn.attempt);
        self.close_server_connection(id, CloseReason::Malformed);
        if let Some(key) = key {
            self.record_server_response(key);
            self.end_attempt(key, AttemptStatus::Malformed);
            self.run_policy();
        }
    }

    /// Handles the loss of a connection, or unsolicited bytes on it.
    pub(super) fn on_server_connection_lost(&mut self, id: ConnId) {
        let Some(conn) = self.connections.pool.get(id) else { return };
        let was_written = conn.state == ConnState::Reading;
        let attempt = conn.attempt;
        // `requests_carried` does not include the request that waits for a resting connection.
        let was_used = conn.requests_carried + u64::from(conn.state == ConnState::Resting) > 1;
        let stream_target = conn.stream_target;
        let partial_value =
            if self.faults.injects(Mutant::ServePartial) { conn.partial_value() } else { None };
        self.close_server_connection(id, CloseReason::Lost);
        if let Some(target) = stream_target {
            self.on_stream_broken(target);
        } else if let Some(key) = attempt {
            if was_written {
                self.on_attempt_reset(key, partial_value);
            } else {
                self.retry_on_new_connection(key, was_used);
            }
        }
    }

    /// Ends an attempt whose connection was lost after its request was written: the server may have run it.
    fn on_attempt_reset(&mut self, key: AttemptKey, partial_value: Option<Bytes>) {
        if self.faults.injects(Mutant::AnswerTwice) {
            self.answer_twice(key);
        }
        match partial_value {
            Some(value) => {
                let reply = Reply::of_status(AttemptStatus::Served, false);
                self.end_attempt_with(key, Reply { value: Some(value), ..reply });
            }
            None => self.end_attempt(key, AttemptStatus::Reset),
        }
        self.run_policy();
    }

    /// Injects the fault [`Mutant::AnswerTwice`].
    fn answer_twice(&mut self, key: AttemptKey) {
        let Some(client) = self.requests.get(key.request).map(|entry| entry.client) else { return };
        if let Some(session) = self.connections.clients.sessions.get_mut(&client) {
            session.push_answer("-ERR failed\r\n");
            self.connections.answered_clients.push_back(client);
        }
    }

    /// Returns a connection to the pool, or closes it if its server is no longer used or has moved.
    pub(super) fn release_connection(&mut self, id: ConnId, server: ServerId) {
        let address = self.endpoints.reusable_address(server);
        if !self.connections.pool.release(id, address, self.now) {
            self.close_server_connection(id, CloseReason::ServerUnavailable);
        }
        self.arm_connection(id);
    }

    pub(super) fn close_server_connection(&mut self, id: ConnId, reason: CloseReason) {
        if self.connections.pool.remove(id).is_none() {
            return;
        }
        self.connections.memory.cancel(id);
        if !self.faults.injects(Mutant::LeakConnection) {
            self.close_connection(id, reason);
        }
    }

    pub(super) fn close_idle_connections(&mut self, server: ServerId) {
        for id in self.connections.pool.remove_idle(server) {
            self.close_connection(id, CloseReason::ServerUnavailable);
        }
    }

    pub(super) fn sweep_idle_connections(&mut self) {
        for id in self.connections.pool.remove_expired(self.now) {
            self.close_connection(id, CloseReason::Idle);
        }
        let next_sweep = self.now + self.pause_detection().check_interval;
        self.timers.push(next_sweep, TimerKind::IdleSweep);
    }
}
