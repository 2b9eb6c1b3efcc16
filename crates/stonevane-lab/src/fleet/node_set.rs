//! Nodes of a fleet together with their states.

use std::io;

use stonevane_audit::TimeInterval;
use stonevane_emulators::MonotonicClock;

use crate::lifecycle::{Incarnation, NodeStates, Paused, State};
use crate::node::{Ended, Node, NotReady, PauseRecord};

/// Nodes of a fleet with their states, both indexed by node number.
pub(super) struct NodeSet {
    states: NodeStates,
    nodes: Vec<Node>,
    /// Last incarnation of each node that became ready; 0 if the node was never ready.
    last_ready: Vec<Incarnation>,
}

impl NodeSet {
    pub(super) fn new(nodes: Vec<Node>) -> NodeSet {
        let count = nodes.len();
        NodeSet { states: NodeStates::new(count), nodes, last_ready: vec![0; count] }
    }

    pub(super) fn pids(&self) -> Vec<u32> {
        self.nodes.iter().filter_map(Node::pid).collect()
    }

    pub(super) fn state(&self, node: usize) -> State {
        self.states.get(node).0
    }

    pub(super) fn incarnation(&self, node: usize) -> Incarnation {
        self.states.get(node).1
    }

    /// Returns whether `incarnation` is the node's current one and the node is in `state`.
    pub(super) fn is(&self, node: usize, incarnation: Incarnation, state: State) -> bool {
        self.states.is(node, incarnation, state)
    }

    /// Starts a node. Returns `None` if it is not dead or is held down.
    pub(super) fn start(&mut self, node: usize, config: &str) -> io::Result<Option<Incarnation>> {
        let Some(incarnation) = self.states.start(node) else { return Ok(None) };
        match self.nodes[node].start(config) {
            Ok(()) => Ok(Some(incarnation)),
            Err(error) => {
                self.states.mark_ended(node, incarnation);
                Err(error)
            }
        }
    }

    /// Checks whether a node has ended, and records its end.
    pub(super) fn check(&mut self, node: usize) {
        let (state, incarnation) = self.states.get(node);
        if state == State::Dead {
            return;
        }
        let Some(Ended { time, status }) = self.nodes[node].poll_end() else { return };
        self.states.mark_ended(node, incarnation);
        // A process that was ready and signalled to terminate has crashed if its exit status is not 0.
        let failed = state == State::Ending && status.is_some_and(|status| !status.success());
        let was_ready = self.last_ready[node] == incarnation;
        self.nodes[node].record_end(time, failed && was_ready);
    }

    /// Checks all nodes.
    pub(super) fn check_all(&mut self) {
        for node in 0..self.states.len() {
            self.check(node);
        }
    }

    /// Returns whether a starting incarnation became ready, or `None` while it is still starting. `pinged_at`
    /// is the time in microseconds at which the lab sent the PING that the incarnation answered; `None`
    /// without an answer.
    pub(super) fn settle_start(
        &mut self,
        node: usize,
        incarnation: Incarnation,
        pinged_at: Option<u64>,
    ) -> Option<bool> {
        self.check(node);
        if !self.states.is(node, incarnation, State::Starting) {
            return Some(false);
        }
        let earliest = pinged_at?;
        self.states.mark_ready(node, incarnation);
        self.last_ready[node] = incarnation;
        self.nodes[node].record_ready(TimeInterval { earliest, latest: MonotonicClock::now() });
        Some(true)
    }

    pub(super) fn not_ready(&self, node: usize) -> NotReady {
        self.nodes[node].not_ready()
    }

    /// Kills a node and holds it down until [`NodeSet::release`].
    pub(super) fn kill(&mut self, node: usize) {
        if self.states.kill(node).is_some() {
            self.nodes[node].kill();
        }
    }

    /// Signals a node to terminate and holds it down until [`NodeSet::release`]. Returns the signalled
    /// incarnation.
    pub(super) fn terminate(&mut self, node: usize) -> Option<Incarnation> {
        self.check(node);
        let incarnation = self.states.terminate(node)?;
        self.nodes[node].terminate();
        Some(incarnation)
    }

    /// Marks an incarnation that exceeded its shutdown limit as ended, and kills its process.
    pub(super) fn kill_overdue(&mut self, node: usize, incarnation: Incarnation) {
        self.states.mark_ended(node, incarnation);
        self.nodes[node].kill();
    }

    /// Ends one hold on a node, and starts the node if no other step holds it.
    pub(super) fn release(&mut self, node: usize, config: &str) -> io::Result<Option<Incarnation>> {
        if self.states.release(node) { self.start(node, config) } else { Ok(None) }
    }

    /// Pauses a node's process. Returns its incarnation; `None` if the node has no process.
    pub(super) fn pause(&mut self, node: usize, record: PauseRecord) -> Option<Incarnation> {
        let Paused { incarnation, was_running } = self.states.pause(node)?;
        if was_running || record == PauseRecord::Recorded {
            self.nodes[node].pause(record);
        }
        Some(incarnation)
    }

    /// Ends one step's pause of an incarnation, and resumes the process unless another step pauses it.
    pub(super) fn resume(&mut self, node: usize, incarnation: Incarnation, record: PauseRecord) {
        let runs = self.states.resume(node, incarnation);
        if self.incarnation(node) != incarnation || self.state(node) == State::Dead {
            return;
        }
        if runs {
            self.nodes[node].resume(record);
        } else if record == PauseRecord::Recorded {
            self.nodes[node].record_resumed();
        }
    }

    /// Resumes a node's process if any step pauses it.
    pub(super) fn resume_paused(&mut self, node: usize) {
        if self.states.is_paused(node) {
            self.nodes[node].resume(PauseRecord::Silent);
        }
    }

    /// Records the beginning or the end of a node's slowdown.
    pub(super) fn record_slowed(&self, node: usize, slowed: bool) {
        self.nodes[node].record_slowed(slowed);
    }

    /// Makes a node reload its configuration; does nothing if it is not ready.
    pub(super) fn reload(&mut self, node: usize, config: &str) -> io::Result<()> {
        self.check(node);
        match self.state(node) {
            State::Ready => self.nodes[node].reload(config),
            _ => Ok(()),
        }
    }
}
