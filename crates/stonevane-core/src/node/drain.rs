//! Graceful shutdown, and the handover to another process of the same node.
//!
//! After SIGTERM, connections are accepted for another 450 ms, or not at all if a newer process has taken
//! over. Then client connections are closed between requests. The process ends once every request is answered
//! and every client has disconnected, at the latest min(longest deadline, 3 s) + 550 ms after SIGTERM. Only while
//! clients still receive answers that have begun, it goes on for up to 10 s.

use stonevane_policy::{Event, Micros};

use super::Core;
use super::connections::ConnectionLimits;
use crate::clients::{MAX_SEND_TIME, Session};
use crate::faults::{Faults, Mutant};
use crate::handover::{Capacity, CapacityGrant, ProcessStage};
use crate::io::Output;
use crate::timers::TimerKind;
use crate::trace::CloseReason;

/// Time for which connections are accepted after SIGTERM: the platform sends new ones for up to 0.4 s.
const ACCEPT_AFTER_TERMINATE: Micros = 450_000;
/// Longest time that a drain lasts beyond the longest deadline.
const DRAIN_SLACK: Micros = 550_000;
/// Upper bound of the deadline that a drain waits for (protocol).
const MAX_DRAIN_DEADLINE: Micros = 3_000_000;
/// Time before the drain's end at which pending requests are ended with a final answer.
const ANSWER_BEFORE_END: Micros = 60_000;
/// Delay of the first check whether the drain is complete, counted from [`ACCEPT_AFTER_TERMINATE`] after
/// SIGTERM.
const FIRST_CHECK_DELAY: Micros = 20_000;
/// Interval between later checks whether the drain is complete.
const CHECK_INTERVAL: Micros = 10_000;

/// Lifecycle phase of a node.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Phase {
    /// No server is ready yet.
    Starting,
    /// Requests are served. This includes the time after SIGTERM in which connections are still accepted.
    Ready,
    /// Client connections are closed between requests.
    Draining,
}

/// State of the graceful shutdown.
pub(super) struct Drain {
    pub phase: Phase,
    /// Time at which the process ends even if the drain is not complete; `None` before SIGTERM.
    pub ends_at: Option<Micros>,
    /// Whether the clients that wait for no answer have been closed at the end of the drain.
    has_closed_waiting: bool,
}

impl Drain {
    pub fn new() -> Drain {
        Drain { phase: Phase::Starting, ends_at: None, has_closed_waiting: false }
    }
}

/// State of the handover between processes of this node.
pub(super) struct Handover {
    /// Capacity of all processes together.
    node_capacity: Capacity,
    /// Whether a newer process accepts clients.
    pub replaced: bool,
    /// Whether another process of the node accepts clients from this process's listener.
    pub listener_shared: bool,
}

impl Handover {
    pub fn new(node_capacity: Capacity) -> Handover {
        Handover { node_capacity, replaced: false, listener_shared: false }
    }
}

/// Status that a process reports to the other processes of its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverStatus {
    /// Capacity that the process uses.
    pub used: Capacity,
    /// Number of requests without a final answer.
    pub in_flight: usize,
    /// Stage of the process: starting, serving or draining.
    pub stage: ProcessStage,
    /// Capacity of all processes together.
    pub node_capacity: Capacity,
}

impl<F: Faults> Core<F> {
    /// Returns whether the node serves clients and is not shutting down.
    pub fn ready(&self) -> bool {
        self.drain.phase == Phase::Ready && self.drain.ends_at.is_none()
    }

    /// Returns the status for the other processes of this node.
    pub fn handover_status(&self) -> HandoverStatus {
        let stage = match (self.drain.ends_at, self.drain.phase) {
            (Some(_), _) => ProcessStage::Draining,
            (None, Phase::Starting) => ProcessStage::Starting,
            (None, Phase::Ready | Phase::Draining) => ProcessStage::Serving,
        };
        let connections = self.connections.len();
        HandoverStatus {
            used: Capacity { connections, memory: self.connections.memory.reserved() },
            in_flight: self.requests.unanswered,
            stage,
            node_capacity: self.handover.node_capacity,
        }
    }

    /// Applies this process's share of the node's capacity.
    pub(super) fn apply_capacity_grant(&mut self, grant: CapacityGrant) {
        let connections = grant.capacity.connections.min(self.handover.node_capacity.connections);
        self.connections.limits = ConnectionLimits::new(connections);
        self.connections.memory.set_limit(grant.capacity.memory);
        self.handover.replaced = grant.replaced;
        self.handover.listener_shared = grant.listener_shared;
        self.notify_policy(Event::ProcessShare(grant.share));
    }

    pub(super) fn enter_phase(&mut self, phase: Phase) {
        if self.drain.phase != phase {
            let previous = self.drain.phase;
            let unanswered = self.requests.unanswered;
            self.log(format!("state: {previous:?} -> {phase:?}, {unanswered} requests pending"));
        }
        self.drain.phase = phase;
    }

    /// Starts the graceful shutdown, on SIGTERM.
    pub(super) fn begin_drain(&mut self) {
        if self.drain.ends_at.is_some() {
            return;
        }
        let deadlines = self.deployment.settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(0).min(MAX_DRAIN_DEADLINE);
        let ends_at = self.now + longest_deadline + DRAIN_SLACK;
        self.drain.ends_at = Some(ends_at);
        self.log(format!(
            "state: termination requested, ending within {} ms; {} requests pending, {} clients connected",
            (ends_at - self.now) / 1_000,
            self.requests.unanswered,
            self.connections.clients.len()
        ));
        self.timers.push(ends_at - ANSWER_BEFORE_END, TimerKind::DrainEnding);
        if self.handover.replaced {
            // Clients keep using open connections. Each is closed together with an answer, while the client
            // cannot have sent another request. A connection without a request until the longest deadline is
            // closed at that time.
            self.enter_phase(Phase::Draining);
            self.out.push_back(Output::Replaced);
            self.timers.push(self.now + longest_deadline, TimerKind::DrainConnections);
        } else {
            self.timers.push(self.now + ACCEPT_AFTER_TERMINATE, TimerKind::DrainConnections);
        }
        let first_check_at = self.now + ACCEPT_AFTER_TERMINATE + FIRST_CHECK_DELAY;
        self.timers.push(first_check_at, TimerKind::DrainCheck);
    }

    /// Stops accepting connections, and from now on closes client connections between requests.
    pub(super) fn drain_connections(&mut self) {
        self.enter_phase(Phase::Draining);
        if !self.handover.replaced {
            self.out.push_back(Output::Draining);
        }
        for client in self.connections.clients.between_requests() {
            self.close_if_idle(client, CloseReason::Drain);
        }
        if self.faults.injects(Mutant::LoseAtTerm) {
            self.close_all_clients();
        }
    }

    /// Injects the fault [`Mutant::LoseAtTerm`].
    fn close_all_clients(&mut self) {
        let mut clients: Vec<_> = self.connections.clients.sessions.keys().copied().collect();
        clients.sort_unstable();
        for client in clients {
            self.close_connection(client, CloseReason::Drain);
            self.remove_client(client);
        }
    }

    /// Ends the process if the drain is complete or overdue; otherwise schedules the next check.
    pub(super) fn check_drain(&mut self) {
        let has_clients = !self.connections.clients.sessions.is_empty();
        let is_complete = self.requests.all_closed() && !has_clients;
        if is_complete || self.is_drain_over() {
            self.out.push_back(Output::Done);
        } else {
            self.timers.push(self.now + CHECK_INTERVAL, TimerKind::DrainCheck);
        }
    }

    /// Returns whether the drain's time is over and no answer would be cut off by the end of the process.
    fn is_drain_over(&mut self) -> bool {
        let Some(ends_at) = self.drain.ends_at.filter(|ends_at| self.now >= *ends_at) else { return false };
        // The driver answers whether it could close these clients, which the next check takes into account.
        if !std::mem::replace(&mut self.drain.has_closed_waiting, true) {
            self.close_waiting_clients();
            return false;
        }
        let is_sending = self.connections.clients.sessions.values().any(Session::is_sending);
        !is_sending || self.now >= ends_at + MAX_SEND_TIME
    }

    /// Closes the clients that wait for no answer: those that have sent the beginning of a command, and those
    /// whose last answer was not sent completely when their close was tried before.
    fn close_waiting_clients(&mut self) {
        let waiting = self.connections.clients.without_pending_answers();
        for client in waiting {
            if let Some(session) = self.connections.clients.sessions.get_mut(&client) {
                session.end_input();
            }
            self.process_client(client);
        }
    }
}
