//! Connections of both sides: the limits that they share, the memory budget, and eviction from a full table.

use std::collections::VecDeque;

use stonevane_policy::Micros;

use super::Core;
use super::config::CoreConfig;
use crate::clients::{ClientTable, ClientTimeouts};
use crate::faults::{Faults, Mutant};
use crate::handover::Capacity;
use crate::io::Output;
use crate::memory::MemoryBudget;
use crate::reply::ConnId;
use crate::servers::Pool;
use crate::timers::TimerKind;
use crate::trace::CloseReason;

/// Sockets of the listener, discovery and the runtime, and those that are just being closed.
const RESERVED_SOCKETS: usize = 16;
/// Besides, this part of all sockets is reserved for those that are just being closed.
const CLOSING_SOCKETS_DIVISOR: usize = 32;
/// Memory of a second process of the node, in megabytes.
const SECOND_PROCESS_MB: usize = 6;
/// A second process gets at most this part of the memory.
const SECOND_PROCESS_MEMORY_DIVISOR: usize = 4;
/// Of the places for clients, this part is reserved for connections whose first request is rejected.
const REJECTION_PLACES_DIVISOR: usize = 8;
/// The longest value in a server's reply that is buffered, in bytes.
const MAX_REPLY_VALUE: usize = 4 * 1024 * 1024;
/// A buffered value takes at most this part of the memory budget.
const REPLY_VALUE_MEMORY_DIVISOR: usize = 4;
/// A reply that has begun and brings nothing more for this part of the longest latency objective is malformed.
const STALL_DIVISOR: Micros = 8;
const MIN_STALL_TIMEOUT: Micros = 10_000;
const MAX_STALL_TIMEOUT: Micros = 250_000;

/// How many connections there may be. Clients and servers share the table of sockets; neither side can take more than
/// two thirds of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionLimits {
    /// Both sides together.
    pub total: usize,
    /// Either side.
    pub per_side: usize,
    /// Places for clients that are reserved for rejections.
    pub reserved_for_rejections: usize,
}

impl ConnectionLimits {
    pub fn new(total: usize) -> ConnectionLimits {
        let per_side = total * 2 / 3;
        ConnectionLimits {
            total,
            per_side,
            reserved_for_rejections: (per_side / REJECTION_PLACES_DIVISOR).max(1),
        }
    }

    fn of_config(config: &CoreConfig) -> ConnectionLimits {
        let processes = if config.can_be_replaced { 2 } else { 1 };
        let reserved = (RESERVED_SOCKETS + config.other_sockets) * processes;
        let closing = config.max_sockets / CLOSING_SOCKETS_DIVISOR;
        let unavailable = (reserved + closing).min(config.max_sockets / 2);
        ConnectionLimits::new(config.max_sockets - unavailable)
    }
}

/// Eviction for clients that have not been accepted yet.
#[derive(Debug, Default)]
pub(super) struct Eviction {
    /// The connection that is being closed for them.
    closing: Option<ConnId>,
    /// When one may be closed.
    pub timer_at: Option<Micros>,
}

/// All connections, and what limits them.
pub(super) struct Connections {
    next_id: ConnId,
    pub limits: ConnectionLimits,
    pub eviction: Eviction,
    pub clients: ClientTable,
    pub pool: Pool,
    pub memory: MemoryBudget,
    /// Clients with answers that are not written yet.
    pub answered_clients: VecDeque<ConnId>,
    /// The longest value in a server's reply that is buffered, in bytes. Values may be longer than what clients send
    /// through this node, so that only memory bounds it.
    pub max_reply_value: usize,
    /// A reply that has begun and brings nothing more for so long is malformed.
    pub stall_timeout: Micros,
}

impl Connections {
    pub fn new(config: &CoreConfig) -> Connections {
        let second_process_mb = SECOND_PROCESS_MB.min(config.memory_mb / SECOND_PROCESS_MEMORY_DIVISOR);
        let reserved_mb = if config.can_be_replaced { second_process_mb } else { 0 };
        let memory = MemoryBudget::new(config.memory_mb - reserved_mb);
        let rest = config.servers.rest.as_micros() as Micros;
        let mut connections = Connections {
            next_id: 1,
            limits: ConnectionLimits::of_config(config),
            eviction: Eviction::default(),
            clients: ClientTable::new(ClientTimeouts::from(&config.clients)),
            pool: Pool::new(config.deployment.idle_close, rest),
            max_reply_value: (memory.capacity() / REPLY_VALUE_MEMORY_DIVISOR).min(MAX_REPLY_VALUE),
            memory,
            answered_clients: VecDeque::new(),
            stall_timeout: 0,
        };
        let objectives = config.deployment.settings.classes.iter().map(|class| class.latency_objective);
        connections.set_stall_timeout(objectives.max().unwrap_or(0));
        connections
    }

    /// Sets the time-out of stalled replies by the longest latency objective.
    pub fn set_stall_timeout(&mut self, longest_objective: Micros) {
        let timeout = longest_objective / STALL_DIVISOR;
        self.stall_timeout = timeout.clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT);
    }

    /// The capacity of the whole node.
    pub fn capacity(&self) -> Capacity {
        Capacity { connections: self.limits.total, memory: self.memory.capacity() }
    }

    /// Connections of both sides.
    pub fn len(&self) -> usize {
        self.clients.len() + self.pool.len()
    }

    pub fn contains(&self, id: ConnId) -> bool {
        self.pool.get(id).is_some() || self.clients.sessions.contains_key(&id)
    }

    /// How many more connections there may be.
    pub fn free(&self) -> usize {
        self.limits.total.saturating_sub(self.len())
    }

    /// How many more clients may connect.
    pub fn free_for_clients(&self) -> usize {
        self.limits.per_side.saturating_sub(self.clients.len()).min(self.free())
    }

    /// Whether only the places for rejections are left to clients.
    pub fn only_reserved_left(&self) -> bool {
        self.free_for_clients() < self.limits.reserved_for_rejections
    }

    /// Whether no more server connection may be opened. One place is for the next client.
    pub fn is_full_for_servers(&self) -> bool {
        self.pool.len() >= self.limits.per_side || self.free() <= 1
    }

    /// An idle server connection that must be closed for clients that connect: beyond the servers' own third as soon
    /// as few places are left, else when none is.
    fn surplus_idle(&self) -> Option<ConnId> {
        let free = self.free();
        let servers_own = self.limits.total - self.limits.per_side;
        let is_short = free < self.limits.reserved_for_rejections && self.pool.len() > servers_own;
        if free == 0 || is_short { self.pool.longest_idle() } else { None }
    }

    fn allocate_id(&mut self) -> ConnId {
        self.next_id += 1;
        self.next_id
    }
}

impl<F: Faults> Core<F> {
    /// A new id for a connection.
    pub fn next_connection_id(&mut self) -> ConnId {
        self.connections.allocate_id()
    }

    /// Whether a client connection may be accepted now.
    pub fn accepts(&self) -> bool {
        let connections = &self.connections;
        let limits = &connections.limits;
        let clients = connections.clients.len();
        // When it runs short, the other process with the same listener accepts instead.
        let is_short = clients >= limits.total / 4 || connections.free() < limits.total / 2;
        if self.handover.listener_shared && is_short {
            return false;
        }
        let has_place = clients < limits.per_side && connections.free() > 0;
        has_place || self.faults.injects(Mutant::OverPlaces)
    }

    /// How many bytes may be read from a connection now; 0: none until [`Output::Resume`].
    pub fn read_budget(&mut self, id: ConnId) -> usize {
        let memory = self.connections.memory.capacity();
        if let Some(session) = self.connections.clients.sessions.get_mut(&id) {
            let budget = session.read_budget(memory);
            session.reading_paused = budget == 0;
            return budget;
        }
        let has_stream_space = self.has_stream_space(id);
        let Some(conn) = self.connections.pool.get_mut(id) else { return 0 };
        let budget = if has_stream_space { conn.read_budget() } else { 0 };
        conn.reading_paused = budget == 0;
        budget
    }

    /// Whether a client connection is still to be closed between requests: an [`Output::CloseIfIdle`] may have been
    /// overtaken by input in the same turn.
    pub fn is_closing(&self, id: ConnId) -> bool {
        self.connections.clients.sessions.get(&id).is_some_and(|session| session.closing)
    }

    pub(super) fn close_surplus_idle(&mut self) {
        while let Some(idle) = self.connections.surplus_idle() {
            self.close_server_connection(idle, CloseReason::CapacityNeeded);
        }
    }

    /// Evicts clients for one that was accepted: in a nearly full table its request may be on its way already. From
    /// half of the table on, so that a load balancer whose table fills with the same idle connections keeps some free.
    pub(super) fn evict_for_accepted(&mut self, accepted: ConnId) {
        let is_half_full = self.connections.clients.len() > self.connections.limits.per_side / 2;
        if !self.connections.only_reserved_left() && !is_half_full {
            return;
        }
        let connect_timeout = self.deployment.connect_timeout;
        if let Some(client) = self.connections.clients.evictable_now(self.now, connect_timeout) {
            self.evict(client);
        }
        // The places for rejections must be free too, or this client could only be rejected.
        let missing = self
            .connections
            .limits
            .reserved_for_rejections
            .saturating_sub(self.connections.free_for_clients());
        for _ in 1..missing {
            let candidate = self.connections.clients.next_eviction_candidate(connect_timeout);
            let Some(candidate) = candidate.filter(|candidate| candidate.at <= self.now) else { break };
            self.evict(candidate.client);
        }
        let over_capacity = self.connections.only_reserved_left();
        if let Some(session) = self.connections.clients.sessions.get_mut(&accepted) {
            session.over_capacity = over_capacity;
        }
    }

    /// Evicts one client while the table is full, as soon as one may be: a full table accepts nobody that others could
    /// be evicted for.
    pub(super) fn evict_for_waiting_clients(&mut self) {
        let is_handed_over = self.handover.listener_shared || self.handover.replaced;
        if is_handed_over || self.accepts() {
            return;
        }
        if self.connections.eviction.closing.is_some_and(|id| self.is_closing(id)) {
            return;
        }
        self.connections.eviction.closing = None;
        let connect_timeout = self.deployment.connect_timeout;
        let candidate = self.connections.clients.next_eviction_candidate(connect_timeout);
        let Some(candidate) = candidate else { return };
        let eviction = &mut self.connections.eviction;
        if candidate.at <= self.now {
            eviction.closing = Some(candidate.client);
            self.evict(candidate.client);
        } else if eviction.timer_at.is_none_or(|timer_at| candidate.at < timer_at) {
            eviction.timer_at = Some(candidate.at);
            self.timers.push(candidate.at, TimerKind::Eviction);
        }
    }

    fn evict(&mut self, client: ConnId) {
        let session = self.connections.clients.sessions.get(&client);
        if session.is_some_and(|session| session.half_closed) {
            self.close_connection(client, CloseReason::Evicted);
            self.remove_client(client);
        } else {
            self.close_if_idle(client, CloseReason::Evicted);
        }
    }

    /// Has the driver close a connection.
    pub(super) fn close_connection(&mut self, id: ConnId, reason: CloseReason) {
        self.note_close(id, reason);
        self.out.push_back(Output::Close(id));
    }
}
