//! Graceful shutdown, and the handover to another process of the same node.
//!
//! After SIGTERM connections are accepted for 450 ms more, or not at all if a newer process has taken over. Then client
//! connections are closed between requests. The process ends when every request is answered and every client is gone, at
//! the latest min(longest deadline, 3 s) + 550 ms after SIGTERM.

use stonevane_policy::{Event, Micros};

use super::Core;
use super::connections::ConnectionLimits;
use crate::faults::{Faults, Mutant};
use crate::handover::{Capacity, CapacityGrant, ProcessStage};
use crate::io::Output;
use crate::timers::TimerKind;
use crate::trace::CloseReason;

/// Connections are accepted for so long after SIGTERM: the platform sends new ones for up to 0.4 s.
const ACCEPT_AFTER_TERMINATE: Micros = 450_000;
/// A drain ends at the latest so long after the longest deadline.
const DRAIN_SLACK: Micros = 550_000;
/// No deadline counts for more in a drain (protocol).
const MAX_DRAIN_DEADLINE: Micros = 3_000_000;
/// Pending requests are answered as they stand so long before the drain's end.
const ANSWER_BEFORE_END: Micros = 60_000;
/// The first check for the drain's completion, after connections are no longer accepted.
const FIRST_CHECK_DELAY: Micros = 20_000;
/// The interval of further checks.
const CHECK_INTERVAL: Micros = 10_000;

/// The phase of a node's life.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Phase {
    /// It has no ready server yet.
    Starting,
    /// It serves, also for the moment after SIGTERM in which connections are still accepted.
    Ready,
    /// It closes connections between requests.
    Draining,
}

/// The state of the graceful shutdown.
pub(super) struct Drain {
    pub phase: Phase,
    /// When the process ends at the latest, once SIGTERM has come.
    pub ends_at: Option<Micros>,
}

impl Drain {
    pub fn new() -> Drain {
        Drain { phase: Phase::Starting, ends_at: None }
    }
}

/// What is known of other processes of this node.
pub(super) struct Handover {
    /// The capacity of all processes together.
    node_capacity: Capacity,
    /// A newer process accepts clients.
    pub replaced: bool,
    /// Another process accepts from the same listener.
    pub listener_shared: bool,
}

impl Handover {
    pub fn new(node_capacity: Capacity) -> Handover {
        Handover { node_capacity, replaced: false, listener_shared: false }
    }
}

/// What a process reports of itself to others of the same node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverStatus {
    /// The capacity that it uses.
    pub used: Capacity,
    /// Requests without an answer.
    pub in_flight: usize,
    /// Its stage.
    pub stage: ProcessStage,
    /// The capacity of all processes together.
    pub node_capacity: Capacity,
}

impl<F: Faults> Core<F> {
    /// Whether it serves clients.
    pub fn ready(&self) -> bool {
        self.drain.phase == Phase::Ready && self.drain.ends_at.is_none()
    }

    /// What it reports of itself to other processes of this node.
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

    /// Applies this process's part of the node's capacity.
    pub(super) fn apply_capacity_grant(&mut self, grant: CapacityGrant) {
        let places = grant.capacity.connections.min(self.handover.node_capacity.connections);
        self.connections.limits = ConnectionLimits::new(places);
        self.connections.memory.set_limit(grant.capacity.memory);
        self.handover.replaced = grant.replaced;
        self.handover.listener_shared = grant.listener_shared;
        self.notify_policy(Event::ProcessShare(grant.share));
    }

    pub(super) fn enter(&mut self, phase: Phase) {
        if self.drain.phase != phase {
            let previous = self.drain.phase;
            let unanswered = self.requests.unanswered;
            self.log(format!("state: {previous:?} -> {phase:?}, {unanswered} requests owed"));
        }
        self.drain.phase = phase;
    }

    /// SIGTERM has come.
    pub(super) fn begin_drain(&mut self) {
        if self.drain.ends_at.is_some() {
            return;
        }
        let deadlines = self.deployment.settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(0).min(MAX_DRAIN_DEADLINE);
        let ends_at = self.now + longest_deadline + DRAIN_SLACK;
        self.drain.ends_at = Some(ends_at);
        self.log(format!(
            "state: told to end, within {} ms; {} requests owed, {} clients connected",
            (ends_at - self.now) / 1_000,
            self.requests.unanswered,
            self.connections.clients.len()
        ));
        self.timers.push(ends_at - ANSWER_BEFORE_END, TimerKind::DrainEnding);
        if self.handover.replaced {
            // Clients go on using an open connection: it is closed right behind an answer, when no request can be on
            // its way. One without a request by the longest deadline is closed then.
            self.enter(Phase::Draining);
            self.out.push_back(Output::Replaced);
            self.timers.push(self.now + longest_deadline, TimerKind::DrainConnections);
        } else {
            self.timers.push(self.now + ACCEPT_AFTER_TERMINATE, TimerKind::DrainConnections);
        }
        let first_check = self.now + ACCEPT_AFTER_TERMINATE + FIRST_CHECK_DELAY;
        self.timers.push(first_check, TimerKind::DrainCheck);
    }

    /// Stops accepting, and closes client connections between requests from now on.
    pub(super) fn drain_connections(&mut self) {
        self.enter(Phase::Draining);
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

    /// The fault of [`Mutant::LoseAtTerm`].
    fn close_all_clients(&mut self) {
        let mut clients: Vec<_> = self.connections.clients.sessions.keys().copied().collect();
        clients.sort_unstable();
        for client in clients {
            self.close_connection(client, CloseReason::Drain);
            self.remove_client(client);
        }
    }

    /// Ends the process if all is answered or its time is up.
    pub(super) fn check_drain(&mut self) {
        let is_overdue = self.drain.ends_at.is_some_and(|ends_at| self.now >= ends_at);
        let has_clients = !self.connections.clients.sessions.is_empty();
        let is_complete = self.requests.all_closed() && !has_clients;
        if is_overdue || is_complete {
            self.out.push_back(Output::Done);
        } else {
            self.timers.push(self.now + CHECK_INTERVAL, TimerKind::DrainCheck);
        }
    }
}
