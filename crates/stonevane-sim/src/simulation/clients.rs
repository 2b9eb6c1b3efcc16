//! Clients' ends of streams: requests are sent, answered, retried and given up.

use bytes::Bytes;
use stonevane_audit::{Event as RecordedEvent, HistoryRecord, Outcome};
use stonevane_codec::resp::{self, Value};

use super::event::Event;
use super::network::ClosedStream;
use super::recorder::record;
use super::{Invariant, Simulation, node};
use crate::client::{BACKOFF_US, ClientRequest, MAX_ATTEMPTS, MIN_RESEND_TIME_US};
use crate::plan::FaultKind;
use crate::stream::{Chunk, Peer, Stream, StreamId};

/// A client that had no answer closes its connection so long after the deadline, microseconds.
const ANSWER_GRACE_US: u64 = 300_000;
/// An impatient client leaves after this, microseconds, with this probability.
const IMPATIENT_TIMEOUT_US: u64 = 30_000;
const IMPATIENT_PROBABILITY: f64 = 0.5;
/// A connection that no node accepts is given up after this, microseconds.
const CONNECT_TIMEOUT_US: u64 = 250_000;
/// An answer in time may come this much later than the deadline, microseconds.
const ANSWER_SLACK_US: u64 = 60_000;
/// Requests on one connection, at most, where they are pipelined.
const MAX_PIPELINED: usize = 12;
/// The longest value that clients read, bytes.
const MAX_VALUE: usize = 1 << 24;
/// A node's word that no complete command came in time: it answers no request.
const INCOMPLETE_COMMAND: &[u8] = b"ERR no whole command";

/// An answer.
struct Answer {
    outcome: Outcome,
    value: String,
    retry_after_ms: u64,
}

impl Answer {
    fn of(reply: &Value) -> Answer {
        let empty = |outcome| Answer { outcome, value: String::new(), retry_after_ms: 0 };
        match reply {
            Value::Bulk(Some(value)) => {
                let text = String::from_utf8_lossy(value);
                let value = text.split(' ').next().unwrap_or_default().to_owned();
                Answer { value, ..empty(Outcome::Served) }
            }
            Value::Error(line) if line.starts_with(b"BUSY") => {
                let text = String::from_utf8_lossy(line);
                let retry_after_ms = text.split(' ').nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(0);
                Answer { retry_after_ms, ..empty(Outcome::Rejected) }
            }
            _ => empty(Outcome::Failed),
        }
    }
}

impl Simulation<'_> {
    /// The next request comes, and the one behind it is scheduled.
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

    /// Sends a request, on a connection that is there or a new one.
    pub(super) fn attempt(&mut self, number: usize) {
        let request = &self.requests[number];
        // One attempt at a time.
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

    /// A front layer: a client's own node, or another where that takes no connection.
    fn node_for(&self, preferred: usize) -> Option<usize> {
        let count = self.nodes.len();
        (0..count).map(|offset| (preferred + offset) % count).find(|node| {
            let node = &self.nodes[*node];
            node.is_listening && node.core.is_some() && !node.is_paused
        })
    }

    /// A new connection: its request is sent once the node has accepted it.
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

    /// A request is given up. One that a close had crossed is left, where it can't be sent once more in time.
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

    /// Sends a request on a stream that its node has accepted.
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
        let patient_us = deadline.saturating_sub(now) + ANSWER_GRACE_US;
        let timeout_us = if is_impatient { IMPATIENT_TIMEOUT_US } else { patient_us };
        self.schedule_in(timeout_us, Event::AnswerTimeout { request: number, attempt });
    }

    /// Sets an attempt's deadline; returns the command.
    fn begin_attempt(&mut self, number: usize, id: StreamId, node: usize) -> Bytes {
        let now = self.now();
        let request = &mut self.requests[number];
        // What is sent once more keeps its id and deadline.
        let left_us = match request.is_resent {
            true => request.attempt_deadline.saturating_sub(now),
            false => request.expires_at.saturating_sub(now),
        };
        if !request.is_resent {
            request.attempt_deadline = now + left_us / 1_000 * 1_000;
        }
        (request.stream, request.node) = (Some(id), node);
        let command = command(&self.requests[number], left_us, &self.value);
        // Answers come in order: a pipelined request waits at least for those before it.
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

    /// A connection to a node that may be used: one with requests in flight, where they are pipelined, or an idle one.
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

    /// A client reads the answers that have come on a stream.
    pub(super) fn client_reads(&mut self, id: StreamId) {
        loop {
            let Some(stream) = self.streams.get_mut(&id) else { return };
            let node = stream.node;
            if stream.peer_inbox.is_empty() {
                break;
            }
            let reply = match resp::take_value(&mut stream.peer_inbox, MAX_VALUE) {
                Ok(Some(reply)) => reply,
                Ok(None) => return,
                Err(error) => {
                    return self.violate(Invariant::ClientProtocol, format!("node {node} sent {error:?}"));
                }
            };
            let Some(number) = stream.in_flight.pop_front() else {
                return self.unsolicited_reply(id, &reply);
            };
            stream.last_answered = Some(number);
            self.answered(number, node, Answer::of(&reply));
        }
        let Some(stream) = self.streams.get(&id) else { return };
        let idle = &mut self.nodes[stream.node].idle_clients;
        if stream.in_flight.is_empty() && stream.is_peer_open && !idle.contains(&id) {
            idle.push(id);
        }
    }

    fn unsolicited_reply(&mut self, id: StreamId, reply: &Value) {
        if matches!(reply, Value::Error(line) if line.starts_with(INCOMPLETE_COMMAND)) {
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

    /// Schedules another attempt, while there are any.
    fn retry(&mut self, number: usize, backoff_us: u64) {
        let request = &mut self.requests[number];
        request.attempts += 1;
        if request.attempts >= MAX_ATTEMPTS {
            request.is_over = true;
        } else {
            self.schedule_in(backoff_us, Event::Attempt(number));
        }
    }

    /// A node has closed a client's stream.
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

    /// The connection of a request that was not sent yet is gone.
    fn attempt_later(&mut self, number: usize) {
        self.requests[number].stream = None;
        self.schedule_in(BACKOFF_US, Event::Attempt(number));
    }

    /// A node has closed a client's connection without an answer; the close may have crossed the request.
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
        if may_cross && !request.is_resent && request.attempt_deadline > now + MIN_RESEND_TIME_US {
            request.is_resent = true;
            return self.attempt(number);
        }
        request.is_resent = false;
        if request.kind().may_retry {
            self.retry(number, BACKOFF_US);
        } else {
            request.attempts += 1;
            request.is_over = true;
        }
    }

    /// The stream of a request's attempt, while that is under way.
    fn stream_of_attempt(&self, number: usize, attempt: u32) -> Option<StreamId> {
        let request = &self.requests[number];
        request.stream.filter(|_| request.attempts == attempt && !request.is_over)
    }

    /// A client waits for an answer no longer: it closes its connection, and leaves all that was sent on it.
    pub(super) fn answer_timeout(&mut self, number: usize, attempt: u32) {
        if let Some(stream) = self.stream_of_attempt(number, attempt) {
            self.leave(stream);
        }
    }

    /// A connection that no node has accepted is given up, and another node is tried.
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

    /// A client closes its connection; what it had sent is over.
    pub(super) fn leave(&mut self, id: StreamId) {
        let Some(stream) = self.streams.get_mut(&id) else { return };
        stream.is_peer_open = false;
        let in_flight = std::mem::take(&mut stream.in_flight);
        let (node, waiting_request) = (stream.node, stream.waiting_request.take());
        self.nodes[node].idle_clients.retain(|other| *other != id);
        if let Some(number) = waiting_request {
            self.attempt_later(number);
        }
        for number in in_flight {
            self.leave_request(number, node);
        }
        self.send_to_node(id, Chunk::End);
    }

    fn leave_request(&mut self, number: usize, node: usize) {
        let now = self.now();
        let request = &mut self.requests[number];
        request.is_over = true;
        request.stream = None;
        let id = request.id();
        // An answer in time may still be on its way.
        let is_early = now < request.attempt_deadline + ANSWER_SLACK_US;
        // A paused node can't see it.
        if !self.nodes[node].is_paused && !self.received.contains(&id) {
            self.abandoned.insert(id, now);
        }
        if is_early {
            self.record_client_left(number, node);
        }
    }

    /// A client of a crowd connects and says nothing.
    pub(super) fn crowd_arrival(&mut self, fault: usize) {
        let FaultKind::Crowd { per_s } = self.plan.faults[fault].kind else { return };
        if self.crowd_faults == 0 {
            return;
        }
        let node = self.rng.rand_range(0..self.nodes.len() as u64) as usize;
        if self.nodes[node].is_listening {
            let stream = Stream::new(node, self.nodes[node].incarnation, 0, Peer::Client);
            let id = self.open_stream(Stream { is_silent: true, ..stream });
            let at = self.now() + self.draw_delay();
            if let Some(stream) = self.streams.get_mut(&id) {
                stream.last_delivery_to_node = at;
            }
            self.schedule(at, Event::Connect(id));
        }
        self.schedule_in(1_000_000 / per_s.max(1), Event::CrowdArrival { fault });
    }

    /// The clients of a crowd leave: a crowd that stays would be a siege.
    pub(super) fn crowd_leaves(&mut self) {
        for id in self.streams_where(|stream| stream.is_open_client() && stream.is_silent) {
            self.leave(id);
        }
    }
}

/// A request's command, with what is left of its time.
fn command(request: &ClientRequest, left_us: u64, value: &str) -> Bytes {
    let kind = request.kind();
    let mut facts = format!("c={},t=all,d={}", kind.name, left_us / 1_000);
    if kind.has_idempotency_key {
        facts.push_str(",k=");
        facts.push_str(&request.idempotency_key());
    }
    if request.attempts > 0 {
        facts.push_str(",r=1");
    }
    let (key, id) = (request.key.as_bytes(), request.id());
    match kind.is_write {
        true => resp::command(&[b"OBJ.SET", key, id.as_bytes(), facts.as_bytes(), value.as_bytes()]),
        false => resp::command(&[b"OBJ.GET", key, id.as_bytes(), facts.as_bytes()]),
    }
}
