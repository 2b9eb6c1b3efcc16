//! The clients' ends of streams: sends requests, reads answers, retries and gives up.

use bytes::Bytes;
use stonevane_audit::{Event as RecordedEvent, HistoryRecord, Outcome};
use stonevane_codec::resp::{self, Reply};

use super::event::Event;
use super::network::ClosedStream;
use super::recorder::record;
use super::{Invariant, Simulation, node};
use crate::client::{BACKOFF_US, ClientRequest, MAX_ATTEMPTS, MIN_RESEND_TIME_US};
use crate::stream::{Chunk, Peer, Stream, StreamId};

/// Time after an attempt's deadline at which a client without an answer closes its connection, microseconds.
const ANSWER_GRACE_US: u64 = 300_000;
/// Time after which an impatient client closes its connection, microseconds, and the probability that a
/// client is impatient while [`FaultKind::Impatient`] is in force.
const IMPATIENT_TIMEOUT_US: u64 = 30_000;
const IMPATIENT_PROBABILITY: f64 = 0.5;
/// Time after which a client gives up a connection that the node has not accepted, microseconds.
const CONNECT_TIMEOUT_US: u64 = 250_000;
/// Time after an attempt's deadline within which an answer that the node sent in time may still arrive,
/// microseconds.
const ANSWER_SLACK_US: u64 = 60_000;
/// Maximum number of pipelined requests on a connection.
const MAX_PIPELINED: usize = 12;
/// Longest value that clients accept, bytes.
const MAX_VALUE_BYTES: usize = 1 << 24;
/// Error that a node sends if no complete command arrived in time; it is not the answer to a request.
const INCOMPLETE_COMMAND: &[u8] = b"ERR no whole command";

/// A node's answer to a request.
struct Answer {
    outcome: Outcome,
    value: String,
    retry_after_ms: u64,
}

impl Answer {
    fn from_reply(reply: &Reply) -> Answer {
        let empty = |outcome| Answer { outcome, value: String::new(), retry_after_ms: 0 };
        match reply {
            Reply::Bulk(Some(value)) => {
                let text = String::from_utf8_lossy(value);
                let value = text.split(' ').next().unwrap_or_default().to_owned();
                Answer { value, ..empty(Outcome::Served) }
            }
            Reply::Error(line) if line.starts_with(b"BUSY") => {
                let text = String::from_utf8_lossy(line);
                let retry_after_ms = text.split(' ').nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(0);
                Answer { retry_after_ms, ..empty(Outcome::Rejected) }
            }
            _ => empty(Outcome::Failed),
        }
    }
}

impl Simulation<'_> {
    /// Generates a request, makes its first attempt and schedules the next request.
    pub(super) fn request_arrival(&mut self) {
        if self.now() >= self.plan.load_duration_us {
            return;
        }
        let (number, now) = (self.requests.len(), self.now());
        let request = ClientRequest::generate(number as u64, now, self.plan, &mut self.rng);
        self.requests.push(request);
        self.attempt(number);
        let mean_us = 1e6 / self.plan.requests_per_s;
        let wait_us = (-(1.0 - self.rng.rand_float()).ln() * mean_us) as u64 + 1;
        self.schedule_in(wait_us, Event::RequestArrival);
    }

    /// Sends a request on an open connection or a new one.
    pub(super) fn attempt(&mut self, number: usize) {
        let request = &self.requests[number];
        // A request has one attempt at a time.
        if request.is_over || request.stream.is_some() {
            return;
        }
        if request.is_too_late(self.now()) {
            return self.give_up(number);
        }
        let Some(node) = self.node_for(request.node) else {
            return self.schedule_in(BACKOFF_US, Event::Attempt(number));
        };
        let reused = if self.requests[number].is_resent { None } else { self.reusable_stream(node) };
        match reused {
            Some(stream) => self.send_request(number, stream),
            None => self.connect(number, node),
        }
    }

    /// Chooses a node as a load balancer in front of the nodes does: the preferred node, or else the next one
    /// that accepts connections.
    fn node_for(&self, preferred: usize) -> Option<usize> {
        let count = self.nodes.len();
        (0..count).map(|offset| (preferred + offset) % count).find(|node| {
            let node = &self.nodes[*node];
            node.is_listening && node.core.is_some() && !node.is_paused
        })
    }

    /// Opens a connection; the request is sent once the node has accepted it.
    fn connect(&mut self, number: usize, node: usize) {
        let stream = Stream::new(node, self.nodes[node].incarnation, 0, Peer::Client);
        let id = self.open_stream(Stream { waiting_request: Some(number), ..stream });
        let delay = self.draw_delay();
        self.schedule_in(delay, Event::Connect(id));
        let request = &mut self.requests[number];
        (request.stream, request.node) = (Some(id), node);
        let attempt = request.attempts;
        self.schedule_in(CONNECT_TIMEOUT_US, Event::ConnectTimeout { request: number, attempt });
    }

    /// Gives up a request. If the request was to be resent because a close crossed it, the history records
    /// that its client left.
    fn give_up(&mut self, number: usize) {
        self.requests[number].is_over = true;
        if self.requests[number].is_resent {
            self.record_client_left(number, self.requests[number].node);
        }
    }

    fn record_client_left(&mut self, number: usize, from: usize) {
        let request = self.requests[number].id();
        let left = record("client", RecordedEvent::ClientLeft);
        self.record(HistoryRecord { request, node: node::name(from), ..left });
    }

    /// Sends a request on a stream that the node has accepted.
    pub(super) fn send_request(&mut self, number: usize, id: StreamId) {
        let Some(stream) = self.streams.get(&id).filter(|stream| stream.is_peer_open) else { return };
        let node = stream.node;
        if self.requests[number].is_too_late(self.now()) {
            return self.give_up(number);
        }
        let bytes = self.begin_attempt(number, id, node);
        self.record_request(number, id, node);
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.in_flight.push_back(number);
        }
        for piece in self.fragment(&bytes) {
            self.send_to_node(id, Chunk::Bytes(piece));
        }
        let now = self.now();
        let request = &self.requests[number];
        let (attempt, deadline) = (request.attempts, request.attempt_deadline);
        let is_impatient = self.impatience_faults > 0 && self.rng.rand_float() < IMPATIENT_PROBABILITY;
        let full_timeout_us = deadline.saturating_sub(now) + ANSWER_GRACE_US;
        let timeout_us = if is_impatient { IMPATIENT_TIMEOUT_US } else { full_timeout_us };
        self.schedule_in(timeout_us, Event::AnswerTimeout { request: number, attempt });
    }

    /// Sets an attempt's deadline and returns its command.
    fn begin_attempt(&mut self, number: usize, id: StreamId, node: usize) -> Bytes {
        let now = self.now();
        let request = &mut self.requests[number];
        // A resent attempt keeps its id and deadline.
        let left_us = match request.is_resent {
            true => request.attempt_deadline.saturating_sub(now),
            false => request.expires_at.saturating_sub(now),
        };
        if !request.is_resent {
            request.attempt_deadline = now + left_us / 1_000 * 1_000;
        }
        (request.stream, request.node) = (Some(id), node);
        let command = command(&self.requests[number], left_us, &self.value);
        // Answers come in the order of the requests, so a pipelined request waits at least until the
        // deadlines of the requests before it.
        let before = self.streams.get(&id).into_iter().flat_map(|stream| &stream.in_flight);
        let latest = before.map(|before| self.requests[*before].attempt_deadline).max();
        let request = &mut self.requests[number];
        request.attempt_deadline = request.attempt_deadline.max(latest.unwrap_or(0));
        command
    }

    fn record_request(&mut self, number: usize, id: StreamId, node: usize) {
        let is_used = self.streams.get(&id).is_some_and(|stream| stream.last_answered.is_some());
        let request = &self.requests[number];
        let kind = request.kind();
        let sent = HistoryRecord {
            request: request.id(),
            node: node::name(node),
            class: kind.name.into(),
            tenant: "all".into(),
            key: request.key.clone(),
            idempotency_key: request.idempotency_key(),
            digest: if kind.is_write { self.value_digest.clone() } else { String::new() },
            deadline: request.attempt_deadline,
            resent: request.is_resent,
            reused_connection: is_used || self.nodes[node].is_terminating,
            retry: request.attempts > 0,
            ..record("client", RecordedEvent::Request)
        };
        self.record(sent);
    }

    /// Returns an open connection to a node. If the request is drawn to be pipelined, the connection has
    /// requests in flight; otherwise it is idle.
    fn reusable_stream(&mut self, node: usize) -> Option<StreamId> {
        if self.draw_chance(self.plan.pipelined_share) {
            let incarnation = self.nodes[node].incarnation;
            let busy = self.streams_where(|stream| {
                stream.node == node
                    && stream.incarnation == incarnation
                    && stream.is_open_client()
                    && stream.last_answered.is_some()
                    && (1..MAX_PIPELINED).contains(&stream.in_flight.len())
            });
            if !busy.is_empty() {
                return Some(busy[self.rng.rand_range(0..busy.len() as u64) as usize]);
            }
        }
        while let Some(id) = self.nodes[node].idle_clients.pop() {
            let is_idle = |stream: &Stream| stream.is_peer_open && stream.in_flight.is_empty();
            if self.streams.get(&id).is_some_and(is_idle) {
                return Some(id);
            }
        }
        None
    }

    /// Reads the answers that have arrived on a client's stream.
    pub(super) fn client_reads(&mut self, id: StreamId) {
        loop {
            let Some(stream) = self.streams.get_mut(&id) else { return };
            let node = stream.node;
            if stream.peer_inbox.is_empty() {
                break;
            }
            let reply = match resp::take_reply(&mut stream.peer_inbox, MAX_VALUE_BYTES) {
                Ok(Some(reply)) => reply,
                Ok(None) => return,
                Err(error) => {
                    return self
                        .record_violation(Invariant::ClientProtocol, format!("node {node} sent {error:?}"));
                }
            };
            if stream.is_silent {
                // The client sends no request that could be answered.
                continue;
            }
            let Some(number) = stream.in_flight.pop_front() else {
                return self.unsolicited_reply(id, &reply);
            };
            stream.last_answered = Some(number);
            self.answered(number, node, Answer::from_reply(&reply));
        }
        let Some(stream) = self.streams.get(&id) else { return };
        let idle = &mut self.nodes[stream.node].idle_clients;
        let is_idle = stream.in_flight.is_empty() && stream.is_peer_open && !stream.is_silent;
        if is_idle && !idle.contains(&id) {
            idle.push(id);
        }
    }

    fn unsolicited_reply(&mut self, id: StreamId, reply: &Reply) {
        if matches!(reply, Reply::Error(line) if line.starts_with(INCOMPLETE_COMMAND)) {
            return;
        }
        let Some(stream) = self.streams.get(&id) else { return };
        let request = stream.last_answered.map(|number| self.requests[number].id()).unwrap_or_default();
        let node = node::name(stream.node);
        self.record(HistoryRecord { node, request, ..record("client", RecordedEvent::UnsolicitedResponse) });
    }

    fn answered(&mut self, number: usize, from: usize, answer: Answer) {
        let Answer { outcome, value, retry_after_ms } = answer;
        let request = self.requests[number].id();
        self.record(HistoryRecord {
            request,
            node: node::name(from),
            outcome: Some(outcome),
            value,
            retry_after_ms,
            ..record("client", RecordedEvent::Answer)
        });
        let request = &mut self.requests[number];
        request.stream = None;
        let may_retry = match outcome {
            Outcome::Served => {
                request.is_served = true;
                false
            }
            Outcome::Rejected => true,
            Outcome::Failed => request.kind().may_retry,
        };
        if !may_retry {
            request.is_over = true;
            return;
        }
        request.is_resent = false;
        let backoff_us = if retry_after_ms > 0 { retry_after_ms * 1_000 } else { BACKOFF_US };
        self.retry(number, backoff_us);
    }

    /// Schedules another attempt after a backoff, unless the request has had [`MAX_ATTEMPTS`].
    fn retry(&mut self, number: usize, backoff_us: u64) {
        let request = &mut self.requests[number];
        request.attempts += 1;
        if request.attempts >= MAX_ATTEMPTS {
            request.is_over = true;
        } else {
            self.schedule_in(backoff_us, Event::Attempt(number));
        }
    }

    /// Handles the close of a client's stream by the node.
    pub(super) fn client_stream_closed(&mut self, closed: ClosedStream) {
        if let Some(number) = closed.waiting_request {
            self.attempt_later(number);
        }
        let node = &mut self.nodes[closed.node];
        node.idle_clients.retain(|other| *other != closed.id);
        let may_cross = (closed.was_used || node.is_terminating) && !closed.is_reset;
        for number in closed.in_flight {
            self.closed_without_answer(number, closed.node, may_cross);
        }
    }

    /// Schedules another attempt for a request whose connection closed before it was sent.
    fn attempt_later(&mut self, number: usize) {
        self.requests[number].stream = None;
        self.schedule_in(BACKOFF_US, Event::Attempt(number));
    }

    /// Handles a node's close without an answer. If the close may have crossed the attempt on the network,
    /// the attempt is resent, at most once.
    fn closed_without_answer(&mut self, number: usize, from: usize, may_cross: bool) {
        let request = self.requests[number].id();
        self.record(HistoryRecord {
            request,
            node: node::name(from),
            reused_connection: may_cross,
            ..record("client", RecordedEvent::Closed)
        });
        let now = self.now();
        let request = &mut self.requests[number];
        request.stream = None;
        if request.is_over {
            return;
        }
        if may_cross && !request.is_resent {
            if request.attempt_deadline > now + MIN_RESEND_TIME_US {
                request.is_resent = true;
                return self.attempt(number);
            }
            // No time is left to resend the attempt, so its client gives it up.
            self.record_client_left(number, from);
        }
        let request = &mut self.requests[number];
        request.is_resent = false;
        if request.kind().may_retry {
            self.retry(number, BACKOFF_US);
        } else {
            request.attempts += 1;
            request.is_over = true;
        }
    }

    /// Returns the stream of a request's attempt while the attempt is in flight.
    fn stream_of_attempt(&self, number: usize, attempt: u32) -> Option<StreamId> {
        let request = &self.requests[number];
        request.stream.filter(|_| request.attempts == attempt && !request.is_over)
    }

    /// Closes a client's connection when an answer is overdue, which abandons all requests in flight on it.
    pub(super) fn answer_timeout(&mut self, number: usize, attempt: u32) {
        if let Some(stream) = self.stream_of_attempt(number, attempt) {
            self.disconnect_client(stream);
        }
    }

    /// Gives up a connection that the node has not accepted, and tries the next node.
    pub(super) fn connect_timeout(&mut self, number: usize, attempt: u32) {
        let Some(id) = self.stream_of_attempt(number, attempt) else { return };
        let is_pending = |stream: &Stream| stream.waiting_request.is_some() || !stream.is_peer_open;
        if !self.streams.get(&id).is_none_or(is_pending) {
            return;
        }
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.waiting_request = None;
        }
        self.close_peer_end(id);
        let nodes = self.nodes.len();
        let request = &mut self.requests[number];
        request.stream = None;
        request.node = (request.node + 1) % nodes;
        self.attempt(number);
    }

    /// Closes a client's connection and abandons its requests in flight.
    pub(super) fn disconnect_client(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.is_peer_open = false;
        let in_flight = std::mem::take(&mut stream.in_flight);
        let (node, waiting_request) = (stream.node, stream.waiting_request.take());
        self.nodes[node].idle_clients.retain(|other| *other != id);
        if let Some(number) = waiting_request {
            self.attempt_later(number);
        }
        for number in in_flight {
            self.abandon_request(number, node);
        }
        self.send_to_node(id, Chunk::End);
    }

    fn abandon_request(&mut self, number: usize, node: usize) {
        let now = self.now();
        let request = &mut self.requests[number];
        request.is_over = true;
        request.stream = None;
        let id = request.id();
        // An answer that the node sent in time may still be in flight.
        let may_be_answered = now < request.attempt_deadline + ANSWER_SLACK_US;
        // A paused node can't see that the client has left.
        if !self.nodes[node].is_paused && !self.received.contains(&id) {
            self.abandoned.insert(id, now);
        }
        if may_be_answered {
            self.record_client_left(number, node);
        }
    }
}

/// Encodes a request's command, which states the time left until the deadline, `left_us`.
fn command(request: &ClientRequest, left_us: u64, value: &str) -> Bytes {
    let kind = request.kind();
    let mut metadata = format!("c={},t=all,d={}", kind.name, left_us / 1_000);
    if kind.has_idempotency_key {
        metadata.push_str(",k=");
        metadata.push_str(&request.idempotency_key());
    }
    if request.attempts > 0 {
        metadata.push_str(",r=1");
    }
    let (key, id) = (request.key.as_bytes(), request.id());
    match kind.is_write {
        true => {
            resp::encode_command(&[b"OBJ.SET", key, id.as_bytes(), metadata.as_bytes(), value.as_bytes()])
        }
        false => resp::encode_command(&[b"OBJ.GET", key, id.as_bytes(), metadata.as_bytes()]),
    }
}
