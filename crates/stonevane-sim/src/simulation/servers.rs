//! The servers' ends of streams: reads requests, schedules their work and sends answers, correct or faulty.

use stonevane_audit::{Effect, Event as RecordedEvent, HistoryRecord, TimeInterval};
use stonevane_server_model::value::padded;

use super::event::Event;
use super::recorder::record;
use super::{Invariant, Simulation, node};
use crate::server::protocol::{self, ServerRequest};
use crate::server::{COLD_SHARE, Server, WARM_UP_US, Work};
use crate::stream::{Chunk, Peer, StreamId};

/// Longest time after a client has left for which a node may still forward the client's request,
/// microseconds.
const FORWARD_AFTER_LEAVE_US: u64 = 300_000;
/// Upper bound of the delay between an answer and extra bytes after it, microseconds.
const MAX_EXTRA_BYTES_DELAY_US: u64 = 3_000;

impl Simulation<'_> {
    pub(super) fn record_server_start(&mut self, server: usize) {
        let started = &self.servers[server];
        let start = HistoryRecord {
            zone: "a".into(),
            capacity_us_per_s: Server::capacity_us_per_s(),
            cold_share: COLD_SHARE,
            warm_us: if started.started_at.is_some() { WARM_UP_US } else { 0 },
            started_at: started.started_at.unwrap_or(0),
            ..record(&started.name, RecordedEvent::Start)
        };
        self.record(start);
    }

    /// Reads the requests that have arrived on a server's stream, and schedules their answers.
    pub(super) fn server_reads(&mut self, id: StreamId, server: usize) {
        while self.servers[server].is_reading() {
            let now = self.now();
            let Some(stream) = self.streams.get_mut(&id) else { return };
            let (node, first_byte_at) = (stream.node, stream.peer_inbox_since);
            let has_slot = stream.has_server_slot;
            let request = protocol::take_request(&mut stream.peer_inbox, self.servers[server].is_origin);
            let request = match request {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(error) => {
                    return self
                        .record_violation(Invariant::ServerProtocol, format!("node {node} sent {error}"));
                }
            };
            stream.peer_inbox_since = now;
            self.check_forwarded(&request.id, first_byte_at);
            let work = self.begin_work(server, &request, has_slot);
            self.record_attempt(server, node, &request, &work, first_byte_at);
            let incarnation = self.servers[server].incarnation;
            let at = work.answered_at;
            let request = Box::new(request);
            self.schedule(at, Event::WorkDone { stream: id, incarnation, request, work });
        }
    }

    /// Checks that the client had not left more than [`FORWARD_AFTER_LEAVE_US`] before the attempt's first
    /// byte arrived.
    fn check_forwarded(&mut self, id: &str, first_byte_at: u64) {
        let left_at = self.abandoned.remove(id);
        if let Some(left_at) = left_at.filter(|left_at| first_byte_at > left_at + FORWARD_AFTER_LEAVE_US) {
            let late_us = first_byte_at - left_at;
            let detail = format!("{id} was forwarded {late_us} us after its client left");
            self.record_violation(Invariant::NoForwardAfterLeave, detail);
        }
        self.received.insert(id.to_owned());
    }

    fn begin_work(&mut self, server: usize, request: &ServerRequest, has_slot: bool) -> Work {
        let now = self.now();
        let target = &mut self.servers[server];
        let work = if has_slot { target.handle(now, request) } else { target.reject(now) };
        let is_origin = target.is_origin;
        self.totals.origin_requests += u64::from(is_origin);
        self.totals.origin_rejected += u64::from(!has_slot);
        if is_origin && request.is_write && work.effect == Effect::Ran {
            // Caches drop their copies of the edited key, so the next fetch returns the new version.
            for cache in self.servers.iter_mut().filter(|server| !server.is_origin) {
                cache.versions.remove(&request.key);
            }
        }
        work
    }

    fn record_attempt(
        &mut self,
        server: usize,
        from: usize,
        request: &ServerRequest,
        work: &Work,
        first_byte_at: u64,
    ) {
        let first_byte = TimeInterval { earliest: first_byte_at, latest: first_byte_at };
        let attempt = HistoryRecord {
            request: request.id.clone(),
            node: node::name(from),
            class: request.class.clone(),
            key: request.key.clone(),
            idempotency_key: request.idempotency_key.clone(),
            digest: request.digest.clone(),
            effect: Some(work.effect),
            first_byte: (first_byte_at != self.now()).then_some(first_byte),
            number: work.number,
            work_us: work.cost_us,
            origin: self.servers[server].is_origin,
            ..record(&self.servers[server].name, RecordedEvent::Attempt)
        };
        self.record(attempt);
    }

    /// Answers a request whose work is done, unless the server's process or the stream has ended since the
    /// work began.
    pub(super) fn work_done(&mut self, id: StreamId, incarnation: u64, request: &ServerRequest, work: &Work) {
        let Some(stream) = self.streams.get(&id) else { return };
        let Peer::Server(number) = stream.peer else { return };
        let is_open = stream.is_peer_open;
        let server = &mut self.servers[number];
        if server.incarnation != incarnation || !server.is_up || !is_open {
            return;
        }
        let is_truncated = server.truncates_next_answer();
        let version = match server.is_origin && !request.is_write {
            // The origin answers a read with the version that it holds when the work is done.
            true => server.versions.get(&request.key).copied().unwrap_or(0),
            false => work.version,
        };
        let has_value = matches!(work.effect, Effect::Ran | Effect::Deduplicated);
        let value = has_value.then(|| {
            let (key, request, server, attempt) = (&request.key, &request.id, &server.name, work.number);
            format!("{key}.{version}.{request}.{server}.{attempt}")
        });
        let is_silent = server.is_silent || server.is_unreachable;
        let is_endless = server.sends_endless_answers;
        let is_intact = !(is_truncated || is_silent || server.corrupts_answers || is_endless);
        self.record_reply(number, request, work, value.as_deref().filter(|_| is_intact), version, is_intact);
        if is_silent {
            return;
        }
        let is_fetch = self.servers[number].is_origin && !request.is_write;
        if is_fetch && has_value && is_intact {
            let caches = self.servers.iter_mut().filter(|server| !server.is_origin && server.is_up);
            caches.for_each(|cache| cache.fill(&request.id, &request.key, version));
        }
        if is_endless {
            let is_origin = self.servers[number].is_origin;
            return self.server_writes(id, &protocol::endless_answer(is_origin));
        }
        let value = value.map(|value| padded(&value, self.plan.value_bytes));
        let bytes = protocol::answer(request, work.effect, value.as_deref());
        self.send_answer(id, number, bytes, is_truncated);
    }

    fn record_reply(
        &mut self,
        server: usize,
        request: &ServerRequest,
        work: &Work,
        value: Option<&str>,
        version: u64,
        is_intact: bool,
    ) {
        let event = if is_intact { RecordedEvent::Reply } else { RecordedEvent::AttemptEnded };
        let reply = HistoryRecord {
            request: request.id.clone(),
            number: work.number,
            value: value.unwrap_or_default().to_owned(),
            version: if value.is_some() { version } else { 0 },
            ..record(&self.servers[server].name, event)
        };
        self.record(reply);
    }

    /// Sends an answer, with the server's faults applied.
    fn send_answer(&mut self, id: StreamId, server: usize, mut bytes: Vec<u8>, is_truncated: bool) {
        let (is_origin, sends_extra_bytes) =
            (self.servers[server].is_origin, self.servers[server].sends_extra_bytes);
        if self.servers[server].corrupts_answers {
            let position = self.rng.rand_range(0..bytes.len() as u64) as usize;
            bytes[position] = bytes[position].wrapping_add(1 + self.rng.rand_range(0..200) as u8);
            bytes.insert(0, b'?');
        }
        if is_truncated {
            bytes.truncate(if is_origin { 0 } else { bytes.len() / 2 });
            if !bytes.is_empty() {
                self.server_writes(id, &bytes);
            }
            return self.close_peer_end(id);
        }
        let node = self.streams.get(&id).map(|stream| stream.node);
        let node = node.filter(|node| self.nodes[*node].is_held_up_in_turns);
        if sends_extra_bytes || node.is_some() {
            let delay = self.rng.rand_range(0..MAX_EXTRA_BYTES_DELAY_US);
            self.schedule_in(delay, Event::ExtraBytes(id, bytes.clone()));
            if let Some(node) = node {
                let (_, longest_delivery) = self.plan.delay_us;
                self.nodes[node].copies_arrive_until = self.now() + delay + longest_delivery;
            }
        }
        self.server_writes(id, &bytes);
        if self.streams.get(&id).is_some_and(|stream| !stream.has_server_slot) {
            self.close_peer_end(id);
        }
    }

    pub(super) fn server_writes(&mut self, id: StreamId, bytes: &[u8]) {
        if self.streams.get(&id).is_none_or(|stream| !stream.is_peer_open) {
            return;
        }
        for piece in self.fragment(bytes) {
            self.send_to_node(id, Chunk::Bytes(piece));
        }
    }

    pub(super) fn close_peer_end(&mut self, id: StreamId) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.is_peer_open = false;
        }
        self.send_to_node(id, Chunk::End);
    }

    /// Closes the server's end of all its connections.
    pub(super) fn close_connections(&mut self, server: usize) {
        let peer = Peer::Server(server);
        for id in self.streams_where(|stream| stream.peer == peer && stream.is_peer_open) {
            self.close_peer_end(id);
        }
    }
}
