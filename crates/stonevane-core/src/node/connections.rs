//! Client and server connections: their common limits, the memory budget, and eviction when the table is
//! full.

use std::collections::VecDeque;

use stonevane_policy::Micros;

use super::Core;
use super::config::CoreConfig;
use crate::clients::{ClientTable, ClientTimeouts, Session};
use crate::faults::{Faults, Mutant};
use crate::handover::Capacity;
use crate::io::Output;
use crate::memory::{MemoryAccount, MemoryBudget};
use crate::reply::ConnId;
use crate::servers::Pool;
use crate::timers::TimerKind;
use crate::trace::CloseReason;

/// Sockets reserved for the listener, discovery, the runtime and connections that are being closed.
const RESERVED_SOCKETS: usize = 16;
/// Divisor of the number of sockets: the quotient is additionally reserved for connections that are being
/// closed.
const CLOSING_SOCKETS_DIVISOR: usize = 32;
/// Memory reserved for a second process of the node, in megabytes.
const SECOND_PROCESS_MB: usize = 6;
/// Divisor of the node's memory: at most the quotient is reserved for a second process.
const SECOND_PROCESS_MEMORY_DIVISOR: usize = 4;
/// Divisor of the client connections: the quotient is reserved for connections whose first request is
/// rejected.
const REJECTION_CAPACITY_DIVISOR: usize = 8;
/// Upper bound of [`Connections::max_reply_value`], in bytes, for any memory budget.
const MAX_REPLY_VALUE: usize = 4 * 1024 * 1024;
/// Divisor of the memory budget: one buffered value is at most as long as the quotient.
const REPLY_VALUE_MEMORY_DIVISOR: usize = 4;
/// Divisor of the longest latency objective: the quotient, clamped to the bounds below, is the stall timeout.
const STALL_TIMEOUT_DIVISOR: Micros = 8;
const MIN_STALL_TIMEOUT: Micros = 10_000;
const MAX_STALL_TIMEOUT: Micros = 250_000;

/// Limits on connections. Clients and servers share the sockets of the process, and neither side can take
/// more than two thirds of them.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConnectionLimits {
    /// Maximum number of client and server connections together.
    pub total: usize,
    /// Maximum number of client connections, and also of server connections.
    pub per_side: usize,
    /// Number of client connections reserved for clients whose first request is rejected.
    pub reserved_for_rejections: usize,
}

impl ConnectionLimits {
    pub fn new(total: usize) -> ConnectionLimits {
        let per_side = total * 2 / 3;
        ConnectionLimits {
            total,
            per_side,
            reserved_for_rejections: (per_side / REJECTION_CAPACITY_DIVISOR).max(1),
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

/// State of the eviction that makes capacity for clients that have connected but are not accepted yet.
#[derive(Debug, Default)]
pub(super) struct Eviction {
    /// The client connection that is being evicted.
    closing: Option<ConnId>,
    /// Time of the eviction timer, if it is set.
    pub timer_at: Option<Micros>,
}

/// All connections and their limits.
pub(super) struct Connections {
    next_id: ConnId,
    pub limits: ConnectionLimits,
    pub eviction: Eviction,
    pub clients: ClientTable,
    pub pool: Pool,
    pub memory: MemoryBudget,
    /// Clients with answers that have not been written yet.
    pub answered_clients: VecDeque<ConnId>,
    /// Longest value in a server's reply that is buffered, in bytes. The memory budget determines this limit,
    /// not the longest value that clients may write through this node: stored values may be longer than that.
    pub max_reply_value: usize,
    /// A reply that has begun and makes no progress for this time counts as malformed.
    pub stall_timeout: Micros,
}

impl Connections {
    pub fn new(config: &CoreConfig) -> Connections {
        let second_process_mb = SECOND_PROCESS_MB.min(config.memory_mb / SECOND_PROCESS_MEMORY_DIVISOR);
        let reserved_mb = if config.can_be_replaced { second_process_mb } else { 0 };
        let memory = MemoryBudget::new(config.memory_mb - reserved_mb, config.max_sockets);
        let rest = config.servers.rest.as_micros() as Micros;
        let mut connections = Connections {
            next_id: 1,
            limits: ConnectionLimits::of_config(config),
            eviction: Eviction::default(),
            clients: ClientTable::new(ClientTimeouts::from(&config.clients)),
            pool: Pool::new(config.deployment.idle_timeout, rest),
            max_reply_value: (memory.capacity() / REPLY_VALUE_MEMORY_DIVISOR).min(MAX_REPLY_VALUE),
            memory,
            answered_clients: VecDeque::new(),
            stall_timeout: 0,
        };
        let objectives = config.deployment.settings.classes.iter().map(|class| class.latency_objective);
        connections.set_stall_timeout(objectives.max().unwrap_or(0));
        connections
    }

    /// Derives the timeout of stalled replies from the longest latency objective.
    pub fn set_stall_timeout(&mut self, longest_objective: Micros) {
        let timeout = longest_objective / STALL_TIMEOUT_DIVISOR;
        self.stall_timeout = timeout.clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT);
    }

    /// Returns the capacity of all processes of the node together. Only valid before a capacity grant lowers
    /// the connection limit of this process.
    pub fn capacity(&self) -> Capacity {
        Capacity { connections: self.limits.total, memory: self.memory.capacity() }
    }

    /// Number of client and server connections.
    pub fn len(&self) -> usize {
        self.clients.len() + self.pool.len()
    }

    /// Received bytes that are buffered until they are decoded.
    pub fn buffered_bytes(&self) -> usize {
        let clients: usize = self.clients.sessions.values().map(Session::buffered_bytes).sum();
        clients + self.pool.buffered_bytes()
    }

    pub fn contains(&self, id: ConnId) -> bool {
        self.pool.get(id).is_some() || self.clients.sessions.contains_key(&id)
    }

    /// Number of further connections that the limits allow.
    pub fn free(&self) -> usize {
        self.limits.total.saturating_sub(self.len())
    }

    /// Number of further client connections that the limits allow.
    pub fn free_for_clients(&self) -> usize {
        self.limits.per_side.saturating_sub(self.clients.len()).min(self.free())
    }

    /// Whether only the client connections reserved for rejections are left.
    pub fn only_reserved_left(&self) -> bool {
        self.free_for_clients() < self.limits.reserved_for_rejections
    }

    /// Whether no further server connection may be opened. One connection is kept free for the next client.
    pub fn is_full_for_servers(&self) -> bool {
        self.pool.len() >= self.limits.per_side || self.free() <= 1
    }

    /// Returns an idle server connection to close in favor of connecting clients. Clients cannot take one
    /// third of the connections. If servers hold more than that third, idle server connections are closed
    /// once fewer connections are free than are reserved for rejections; otherwise only once no connection is
    /// free.
    fn surplus_idle(&self) -> Option<ConnId> {
        let free = self.free();
        let server_share = self.limits.total - self.limits.per_side;
        let is_short = free < self.limits.reserved_for_rejections && self.pool.len() > server_share;
        if free == 0 || is_short { self.pool.longest_idle() } else { None }
    }

    fn allocate_id(&mut self) -> ConnId {
        self.next_id += 1;
        self.next_id
    }
}

impl<F: Faults> Core<F> {
    /// Allocates an id for a connection.
    pub fn next_connection_id(&mut self) -> ConnId {
        self.connections.allocate_id()
    }

    /// Returns a handle to the memory budget for data that the driver buffers itself.
    pub fn memory_account(&self) -> MemoryAccount {
        self.connections.memory.account()
    }

    /// Returns whether a client connection may be accepted now.
    pub fn accepts(&self) -> bool {
        let connections = &self.connections;
        let limits = &connections.limits;
        let clients = connections.clients.len();
        // If this process is short of connections, the other process on the same listener accepts instead.
        let is_short = clients >= limits.total / 4 || connections.free() < limits.total / 2;
        if self.handover.listener_shared && is_short {
            return false;
        }
        let has_capacity = clients < limits.per_side && connections.free() > 0;
        has_capacity || self.faults.injects(Mutant::ExceedConnectionLimit)
    }

    /// Returns how many bytes may be read from a connection now. After a result of 0, nothing may be read
    /// until [`Output::Resume`].
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

    /// Returns whether a client connection is still to be closed: input that arrives before the driver
    /// executes an [`Output::CloseIfIdle`] cancels it.
    pub fn is_closing(&self, id: ConnId) -> bool {
        self.connections.clients.sessions.get(&id).is_some_and(|session| session.closing)
    }

    pub(super) fn close_surplus_idle(&mut self) {
        while let Some(idle) = self.connections.surplus_idle() {
            self.close_server_connection(idle, CloseReason::CapacityNeeded);
        }
    }

    /// Evicts clients in favor of one that was just accepted, since the new client's request may already be
    /// in flight. Eviction begins when clients hold more than half of the connections that they may take, so
    /// that idle connections to this node do not fill the connection table of a load balancer in front of it,
    /// or when only the connections reserved for rejections are left.
    pub(super) fn evict_for_accepted(&mut self, accepted: ConnId) {
        let is_half_full = self.connections.clients.len() > self.connections.limits.per_side / 2;
        if !self.connections.only_reserved_left() && !is_half_full {
            return;
        }
        let connect_timeout = self.deployment.connect_timeout;
        if let Some(client) = self.connections.clients.evictable_now(self.now, connect_timeout) {
            self.evict(client);
        }
        // The connections reserved for rejections must be free too, or this client could only be rejected.
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

    /// Evicts one client while the table is full, as soon as one is evictable. [`Core::evict_for_accepted`]
    /// does not apply then, because a full table accepts no client.
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

    /// Counts and traces the reason for closing a connection, and instructs the driver to close it.
    pub(super) fn close_connection(&mut self, id: ConnId, reason: CloseReason) {
        self.note_close(id, reason);
        self.out.push_back(Output::Close(id));
    }
}
