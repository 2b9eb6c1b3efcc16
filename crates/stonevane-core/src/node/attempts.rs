//! Attempts, from sending to outcome.

use bytes::Bytes;
use stonevane_policy::{AttemptStatus, Event, Idempotency, Micros, Outcome, RequestId, ServerId};

use super::Core;
use crate::faults::{Faults, Mutant};
use crate::io::{Output, StoreCall};
use crate::reply::{AttemptKey, ConnId, Reply};
use crate::request::FinalAnswer;
use crate::servers::{ConnState, Protocol};
use crate::timers::TimerKind;
use crate::trace::CloseReason;

/// Smallest remaining time that is sent to a server, in milliseconds: 0 would mean that no remaining time is
/// stated.
const MIN_TIME_LEFT_MS: u64 = 1;
/// Connection id of an attempt without a connection.
const NO_CONNECTION: ConnId = 0;

/// An attempt in flight.
pub(super) struct Attempt {
    pub server: ServerId,
    pub sent_at: Micros,
    pub conn: ConnId,
    /// Whether this is the first request on the connection.
    pub first_on_connection: bool,
}

impl<F: Faults> Core<F> {
    /// Starts an attempt. A `timeout` of 0 means the request's deadline.
    pub(super) fn send_attempt(&mut self, id: RequestId, server: ServerId, timeout: Micros) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let number = entry.attempts_made;
        let key = AttemptKey { request: id, number };
        entry.attempts_made += 1;
        entry.attempts_in_flight += 1;
        let is_allowed =
            !entry.is_closed && u32::from(number) < entry.command.max_attempts && self.now < entry.deadline;
        let timeout_at = match timeout {
            0 => entry.deadline,
            timeout => entry.deadline.min(self.now + timeout),
        };
        let target = self.endpoints.target(server).filter(|_| is_allowed);
        let acquired = target.and_then(|target| self.acquire_connection(target, key));
        let conn = acquired.as_ref().map_or(NO_CONNECTION, |acquired| acquired.id);
        if self.reporter.trace.is_on() {
            let name = self.endpoints.name(server).to_owned();
            self.trace_request(id, format_args!("attempt {number} to {name} on connection {conn}"));
        }
        let attempt = Attempt { server, sent_at: self.now, conn, first_on_connection: false };
        self.attempts.insert(key, attempt);
        // The limit on sockets leaves no connection for the attempt.
        let Some(acquired) = acquired else {
            return self.end_attempt(key, AttemptStatus::NotSent);
        };
        self.timers.push(timeout_at, TimerKind::AttemptTimeout(key));
        if acquired.is_open {
            self.write_attempt(key, conn);
        }
    }

    /// Writes an attempt's request to its open connection.
    pub(super) fn write_attempt(&mut self, key: AttemptKey, id: ConnId) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let server = attempt.server;
        // While the attempt waited for its connection, the server may have drained or moved, or the client
        // disconnected.
        let address = self.connections.pool.get(id).map(|conn| conn.address);
        let accepts_requests = self.endpoints.accepts_requests(server, address);
        let entry =
            self.requests.get_open(key.request).filter(|entry| accepts_requests && self.now < entry.deadline);
        let Some(entry) = entry else {
            self.release_connection(id, server);
            return self.end_attempt(key, AttemptStatus::NotSent);
        };
        let reuse_delay = self.connections.pool.reuse_delay();
        let Some(conn) = self.connections.pool.get_mut(id) else { return };
        let rested_at = conn.idle_since + reuse_delay;
        // A list that drains the server may have arrived during the process pause without having been read
        // yet.
        if let Some(until) = self.catching_up_until {
            conn.state = ConnState::Resting;
            conn.deadline = Some(until);
            return self.arm_connection(id);
        }
        conn.requests_carried += 1;
        let is_first = conn.requests_carried == 1;
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.first_on_connection = is_first;
        }
        let time_left_ms = ((entry.deadline - self.now) / 1_000).max(MIN_TIME_LEFT_MS);
        if let Some(bytes) = conn.protocol.encode(&entry.command, time_left_ms, conn.address) {
            conn.state = ConnState::Writing;
            let repeatable = entry.command.rules.idempotency == Idempotency::Idempotent;
            let was_seen_rested = !is_first && rested_at <= self.polled_at;
            let check_socket = !repeatable || !was_seen_rested;
            self.out.push_back(Output::WriteRequest { id, bytes, check_socket });
        } else {
            conn.state = ConnState::Reading;
            let missed_caches = entry.missed_caches.iter().filter_map(|id| self.endpoints.address(*id));
            let call = StoreCall {
                command: entry.command.clone(),
                time_left_ms,
                missed_caches: missed_caches.collect(),
                min_version: entry.min_version,
            };
            self.out.push_back(Output::CallStore(id, Box::new(call)));
        }
    }

    /// Withdraws an attempt if its request is still being written: the server cannot have run an incomplete
    /// request.
    pub(super) fn withdraw_attempt(&mut self, key: AttemptKey) {
        let Some(conn) = self.attempts.get(&key).map(|attempt| attempt.conn) else { return };
        let state = self.connections.pool.get(conn).map(|conn| conn.state);
        if state == Some(ConnState::Writing) {
            self.close_server_connection(conn, CloseReason::GivenUp);
            self.end_attempt(key, AttemptStatus::NotSent);
        }
    }

    /// Withdraws attempts at servers that no longer accept new requests.
    pub(super) fn withdraw_attempts_at_unavailable_servers(&mut self) {
        let is_unavailable = |attempt: &Attempt| {
            let address = self.connections.pool.get(attempt.conn).map(|conn| conn.address);
            !self.endpoints.accepts_requests(attempt.server, address)
        };
        let unavailable = self.attempts.iter().filter(|(_, attempt)| is_unavailable(attempt));
        let mut keys: Vec<AttemptKey> = unavailable.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        for key in keys {
            self.withdraw_attempt(key);
        }
        self.run_policy();
    }

    /// Gives up an attempt by closing its connection.
    pub(super) fn give_up_attempt(&mut self, key: AttemptKey, status: AttemptStatus) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let server = attempt.server;
        let sent_at = attempt.sent_at;
        self.close_server_connection(attempt.conn, CloseReason::GivenUp);
        // Idle connections to an unreachable machine stay open, and each would cost another request its
        // timeout. A new connection fails sooner.
        if self.endpoints.last_response_at(server).is_some_and(|replied_at| replied_at < sent_at) {
            self.close_idle_connections(server);
        }
        self.end_attempt(key, status);
    }

    /// Records the time of a response from an attempt's server, as evidence that the server is up.
    pub(super) fn record_server_response(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(&key) {
            self.endpoints.set_last_response_at(attempt.server, self.now);
        }
    }

    pub(super) fn end_attempt(&mut self, key: AttemptKey, status: AttemptStatus) {
        self.end_attempt_with(key, Reply::of_status(status, false));
    }

    /// Ends an attempt and reports its outcome to the policy. The first attempt that is served answers the
    /// client.
    pub(super) fn end_attempt_with(&mut self, key: AttemptKey, mut reply: Reply) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        self.trace_outcome(key, &attempt, reply.status);
        self.inject_reply_faults(&mut reply);
        let AttemptKey { request, number } = key;
        let Some(entry) = self.requests.get_mut(request) else { return };
        entry.attempts_in_flight -= 1;
        if reply.status == AttemptStatus::Miss && self.endpoints.origin_protocol() == Protocol::Store {
            entry.missed_caches.push(attempt.server);
            entry.min_version = entry.min_version.max(reply.min_version);
        }
        let request_finished = entry.is_closed || reply.status == AttemptStatus::Served;
        if let Some(value) = reply.value {
            self.answer(request, FinalAnswer::Served(value));
        }
        if request_finished {
            self.close_request(request);
        }
        self.policy.events.push_back(Event::Outcome(Outcome {
            request,
            attempt: number,
            server: attempt.server,
            status: reply.status,
            request_finished,
            cache_status: reply.cache_status,
            elapsed: self.now - attempt.sent_at,
            load: reply.load,
            first_on_connection: attempt.first_on_connection,
        }));
    }

    fn inject_reply_faults(&self, reply: &mut Reply) {
        if reply.status == AttemptStatus::Reset && self.faults.injects(Mutant::ResetNotRun) {
            reply.status = AttemptStatus::ConnectFailed;
        }
        if reply.status == AttemptStatus::Miss && self.faults.injects(Mutant::ServeMiss) {
            reply.status = AttemptStatus::Served;
            reply.value = Some(Bytes::new());
        }
    }

    fn trace_outcome(&mut self, key: AttemptKey, attempt: &Attempt, status: AttemptStatus) {
        if !self.reporter.trace.is_on() {
            return;
        }
        let name = self.endpoints.name(attempt.server).to_owned();
        let elapsed = self.now - attempt.sent_at;
        let status = status.name();
        let AttemptKey { request, number } = key;
        self.trace_request(
            request,
            format_args!("attempt {number} at {name} ended: {status} after {elapsed} us"),
        );
    }

    /// Opens a new connection, once, for an attempt whose connection was lost before its request was written.
    /// Applies only if the lost connection had carried an earlier request, because the server may have closed
    /// it while it was idle. If a new connection is lost, the attempt fails.
    pub(super) fn retry_on_new_connection(&mut self, key: AttemptKey, was_used: bool) {
        let server = self.attempts.get(&key).map(|attempt| attempt.server).filter(|_| was_used);
        let target = server.and_then(|server| self.endpoints.target(server));
        let conn = target.and_then(|target| self.open_connection(target, key));
        if let (Some(conn), Some(attempt)) = (conn, self.attempts.get_mut(&key)) {
            attempt.conn = conn;
        } else {
            self.end_attempt(key, AttemptStatus::ConnectFailed);
            self.run_policy();
        }
    }
}
