//! Requests, from the arrival of a command to the final answer.

use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use stonevane_policy::{Event, Micros, Request, RequestId, ServerId};

use super::Core;
use super::drain::Phase;
use crate::clients::{self, ClientCommand, Slot};
use crate::faults::{Faults, Mutant};
use crate::memory::MemoryReservation;
use crate::reply::{AttemptKey, ConnId};
use crate::request::{Command, FinalAnswer};
use crate::timers::TimerKind;

/// Upper bound of requests without an answer, even if the settings allow more.
const MAX_UNANSWERED: usize = 1024;
/// Memory reserved for a request besides its value, in bytes.
const REQUEST_BYTES: usize = 4096;
/// Number of copies of a value that a request may hold: the received one and the one that is written to a
/// server.
const VALUE_COPIES: usize = 2;

/// A request without an answer, or with attempts in flight.
pub(super) struct RequestEntry {
    pub command: Command,
    pub client: ConnId,
    /// Sequence number of the answer's slot in the client's session.
    pub slot: u64,
    /// Memory for the request's value; released once the request is closed.
    reservation: Option<MemoryReservation>,
    pub deadline: Micros,
    pub attempts_made: u16,
    pub attempts_in_flight: u16,
    /// Whether the request is answered or its client has disconnected.
    pub is_closed: bool,
    /// Index of the request's class in the counters.
    pub class_slot: usize,
    /// Caches that did not have the key.
    pub missed_caches: Vec<ServerId>,
    /// Newest version of the key that any of the caches in `missed_caches` was notified of; 0 if unknown.
    pub min_version: u64,
}

/// All requests without an answer or with attempts in flight.
pub(super) struct RequestTable {
    entries: HashMap<RequestId, RequestEntry>,
    next_id: RequestId,
    /// Number of requests whose client waits for an answer.
    pub unanswered: usize,
}

impl RequestTable {
    pub fn new() -> RequestTable {
        RequestTable { entries: HashMap::new(), next_id: 1, unanswered: 0 }
    }

    pub fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    /// Returns a request if its client still waits for an answer.
    pub fn get_open(&self, id: RequestId) -> Option<&RequestEntry> {
        self.get(id).filter(|entry| !entry.is_closed)
    }

    pub fn contains(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether every request is answered or abandoned.
    pub fn all_closed(&self) -> bool {
        self.entries.values().all(|entry| entry.is_closed)
    }

    fn allocate_id(&mut self) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}

/// Reason for answering a command without passing it to the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ArrivalError {
    /// Only the connections reserved for rejections are left: the request is rejected, and its connection
    /// closed once every command that arrived with it is answered.
    ConnectionTableFull,
    /// A request with the same client-chosen id is pending.
    DuplicateId,
    /// Too many requests are pending, or no memory is left for another request.
    TooManyPending,
}

impl ArrivalError {
    /// The reason's name in the decision counters and in the trace.
    fn name(self) -> &'static str {
        match self {
            ArrivalError::ConnectionTableFull => "table-full",
            ArrivalError::DuplicateId => "id-open",
            ArrivalError::TooManyPending => "too-much-open",
        }
    }

    fn answer(self) -> &'static str {
        match self {
            ArrivalError::ConnectionTableFull | ArrivalError::TooManyPending => "-BUSY\r\n",
            ArrivalError::DuplicateId => "-ERR a request with this id is open\r\n",
        }
    }
}

impl<F: Faults> Core<F> {
    /// Handles a complete command of a client.
    pub(super) fn on_command(&mut self, client: ConnId, arguments: &[Bytes]) {
        let decoded = clients::decode(arguments, &self.deployment);
        let Some(session) = self.connections.clients.sessions.get_mut(&client) else { return };
        let memory_wait = session.take_memory_wait();
        match decoded {
            Ok(ClientCommand::Ping) => session.push_answer(match self.drain.phase {
                Phase::Starting => "-LOADING no list of servers yet\r\n",
                Phase::Ready | Phase::Draining => "+PONG\r\n",
            }),
            Ok(ClientCommand::Request(command)) => self.on_request(client, command, memory_wait),
            // Invalid commands are not passed to the policy.
            Err(error) => session.push_answer(format!("-ERR {error}\r\n")),
        }
    }

    /// Handles a request that was not read for `memory_wait` because its memory was not free.
    fn on_request(&mut self, client: ConnId, mut command: Command, memory_wait: Micros) {
        let class_slot = self.reporter.class_slots[command.class];
        self.reporter.metrics.class_mut(class_slot).accepted += 1;
        if memory_wait > 0 && memory_wait >= command.time_left {
            return self.reject_arrival(client, &command, class_slot, ArrivalError::TooManyPending);
        }
        command.time_left -= memory_wait;
        match self.check_arrival(client, &command) {
            Ok(reservation) => self.open_request(client, command, class_slot, reservation),
            Err(error) => self.reject_arrival(client, &command, class_slot, error),
        }
    }

    /// Checks a new request against the limits that are not part of the policy (connections, unique ids,
    /// pending requests), and reserves memory for it.
    fn check_arrival(
        &mut self,
        client: ConnId,
        command: &Command,
    ) -> Result<MemoryReservation, ArrivalError> {
        let only_reserved_left = self.connections.only_reserved_left();
        if let Some(session) = self.connections.clients.sessions.get_mut(&client) {
            if session.over_capacity && only_reserved_left {
                return Err(ArrivalError::ConnectionTableFull);
            }
            session.on_within_capacity();
        }
        if self.connections.clients.pending_ids.contains(&command.id) {
            return Err(ArrivalError::DuplicateId);
        }
        let value = command.value.as_ref().map_or(0, Bytes::len);
        let max_unanswered = self.deployment.max_open.min(MAX_UNANSWERED);
        if self.requests.unanswered >= max_unanswered {
            return Err(ArrivalError::TooManyPending);
        }
        let reservation = self.connections.memory.try_reserve(REQUEST_BYTES + VALUE_COPIES * value);
        reservation.ok_or(ArrivalError::TooManyPending)
    }

    fn reject_arrival(&mut self, client: ConnId, command: &Command, class_slot: usize, error: ArrivalError) {
        let counts = self.reporter.metrics.class_mut(class_slot);
        match error {
            ArrivalError::ConnectionTableFull | ArrivalError::TooManyPending => counts.rejected += 1,
            ArrivalError::DuplicateId => counts.failed += 1,
        }
        if let Some(session) = self.connections.clients.sessions.get_mut(&client) {
            if error == ArrivalError::ConnectionTableFull {
                session.on_table_full();
            }
            session.push_answer(error.answer());
        }
        self.reporter.count_decision(error.name());
        let id = String::from_utf8_lossy(&command.id);
        self.trace(format_args!("request {id} rejected: {}", error.name()));
    }

    fn open_request(
        &mut self,
        client: ConnId,
        command: Command,
        class_slot: usize,
        reservation: MemoryReservation,
    ) {
        let clients = &mut self.connections.clients;
        let Some(session) = clients.sessions.get_mut(&client) else { return };
        let id = self.requests.allocate_id();
        self.requests.unanswered += 1;
        clients.pending_ids.insert(command.id.clone());
        let slot = session.next_slot();
        session.slots.push_back(Slot::Pending { request: id, id: command.id.clone() });
        let deadline = self.now + command.time_left;
        let request = Request {
            id,
            class: command.class,
            tenant: command.tenant,
            key: command.hashed_key(),
            write: command.write,
            is_retry: command.is_retry,
            time_left: command.time_left,
            cost: command.cost,
            size: command.size,
        };
        let entry = RequestEntry {
            command,
            client,
            slot,
            reservation: Some(reservation),
            deadline,
            attempts_made: 0,
            attempts_in_flight: 0,
            is_closed: false,
            class_slot,
            missed_caches: Vec::new(),
            min_version: 0,
        };
        self.requests.entries.insert(id, entry);
        self.timers.push(deadline, TimerKind::RequestDeadline(id));
        self.notify_policy(Event::Request(request));
    }

    /// Answers a request that the policy failed to end before its deadline.
    pub(super) fn on_request_deadline(&mut self, id: RequestId) {
        if self.requests.get_open(id).is_some() && !self.faults.injects(Mutant::ForgetRefusal) {
            self.answer(id, FinalAnswer::Failed);
            self.notify_policy(Event::ClientDisconnected(id));
        }
    }

    /// Gives a request its final answer. Any later answer is ignored.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(entry) = self.requests.get_open(id) else { return };
        let client = entry.client;
        let class_slot = entry.class_slot;
        let mut slot = entry.slot;
        // Without memory the value cannot be forwarded, and the request fails.
        let reservation = self.connections.memory.reserve_ahead(answer.size());
        let answer = if reservation.is_some() { answer } else { FinalAnswer::Failed };
        self.trace_request(id, format_args!("answered: {}", answer.name()));
        let counts = self.reporter.metrics.class_mut(class_slot);
        match answer {
            FinalAnswer::Served(_) => counts.served += 1,
            FinalAnswer::Rejected { .. } => counts.rejected += 1,
            FinalAnswer::Failed => counts.failed += 1,
        }
        self.close_request(id);
        let Some(session) = self.connections.clients.sessions.get_mut(&client) else { return };
        if self.faults.injects(Mutant::SwapAnswers) {
            let pending = session.slots.iter().position(|slot| matches!(slot, Slot::Pending { .. }));
            slot = session.first_slot + pending.unwrap_or(0) as u64;
        }
        if let Some(client_id) = session.answer(slot, clients::encode(&answer), reservation) {
            self.connections.clients.pending_ids.remove(&client_id);
            self.requests.unanswered -= 1;
            // Written after the policy has finished, because processing the client may pass its next request
            // to the policy.
            self.connections.answered_clients.push_back(client);
        }
    }

    /// Marks a request as answered or abandoned. Its entry remains until no attempt is in flight.
    pub(super) fn close_request(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.is_closed = true;
        if self.faults.injects(Mutant::LeakMemory) {
            std::mem::forget(entry.reservation.take());
        }
        entry.command.value = None;
        entry.reservation = None;
        if entry.attempts_in_flight == 0 {
            self.requests.entries.remove(&id);
        }
    }

    /// Abandons a pending request whose client has disconnected.
    pub(super) fn abandon_request(&mut self, id: RequestId, client_id: &Bytes) {
        if !self.faults.injects(Mutant::LeakId) {
            self.connections.clients.pending_ids.remove(client_id);
        }
        self.requests.unanswered -= 1;
        let entry = self.requests.get(id);
        let attempts_made = entry.map_or(0, |entry| entry.attempts_made);
        if let Some(class_slot) = entry.map(|entry| entry.class_slot) {
            self.reporter.metrics.class_mut(class_slot).disconnected += 1;
        }
        if self.faults.injects(Mutant::ContinueAfterDisconnect) {
            return;
        }
        self.close_request(id);
        self.notify_policy(Event::ClientDisconnected(id));
        for number in 0..attempts_made {
            self.withdraw_attempt(AttemptKey { request: id, number });
        }
        self.run_policy();
    }
}
