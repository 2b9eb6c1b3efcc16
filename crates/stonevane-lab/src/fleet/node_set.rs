//! The nodes of a fleet with their states.

use std::io;

use stonevane_audit::TimeInterval;
use stonevane_emulators::MonotonicClock;

use crate::lifecycle::{Incarnation, NodeStates, Paused, State};
use crate::node::{Ended, Node, NotReady, PauseRecord};

/// The nodes of a fleet, each at its number's place for good.
pub(super) struct NodeSet {
    states: NodeStates,
    nodes: Vec<Node>,
    /// The last incarnation of each that was ready.
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

    /// Whether an incarnation is a node's present one, in this state.
    pub(super) fn is(&self, node: usize, incarnation: Incarnation, state: State) -> bool {
        self.states.is(node, incarnation, state)
    }

    /// Starts a node that is dead and not held down; `None` for another.
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

    /// Notes that a node has ended, where it has.
    pub(super) fn check(&mut self, node: usize) {
        let (state, incarnation) = self.states.get(node);
        if state == State::Dead {
            return;
        }
        let Some(Ended { time, status }) = self.nodes[node].poll_end() else { return };
        self.states.mark_ended(node, incarnation);
        // A process that was ready and told to terminate has crashed where it does not exit with 0.
        let failed = state == State::Ending && status.is_some_and(|status| !status.success());
        let was_ready = self.last_ready[node] == incarnation;
        self.nodes[node].record_end(time, failed && was_ready);
    }

    /// The same for all nodes.
    pub(super) fn check_all(&mut self) {
        for node in 0..self.states.len() {
            self.check(node);
        }
    }

    /// What became of an incarnation that starts, and answered a ping sent at a moment: whether it is ready, or `None`
    /// while it still starts.
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

    /// Kills a node and holds it down.
    pub(super) fn kill(&mut self, node: usize) {
        if self.states.kill(node).is_some() {
            self.nodes[node].kill();
        }
    }

    /// Terminates a node and holds it down; returns the incarnation that was signalled.
    pub(super) fn terminate(&mut self, node: usize) -> Option<Incarnation> {
        self.check(node);
        let incarnation = self.states.terminate(node)?;
        self.nodes[node].terminate();
        Some(incarnation)
    }

    /// Kills an incarnation that did not terminate in time.
    pub(super) fn kill_overdue(&mut self, node: usize, incarnation: Incarnation) {
        self.states.mark_ended(node, incarnation);
        self.nodes[node].kill();
    }

    /// Ends a hold on a node, and starts it where that was the last.
    pub(super) fn release(&mut self, node: usize, config: &str) -> io::Result<Option<Incarnation>> {
        if self.states.release(node) { self.start(node, config) } else { Ok(None) }
    }

    /// Pauses a node's process; returns its incarnation.
    pub(super) fn pause(&mut self, node: usize, record: PauseRecord) -> Option<Incarnation> {
        let Paused { incarnation, was_running } = self.states.pause(node)?;
        if was_running || record == PauseRecord::Recorded {
            self.nodes[node].pause(record);
        }
        Some(incarnation)
    }

    /// Resumes an incarnation, unless another step pauses it.
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

    /// Resumes a process that any step pauses.
    pub(super) fn resume_paused(&mut self, node: usize) {
        if self.states.is_paused(node) {
            self.nodes[node].resume(PauseRecord::Silent);
        }
    }

    /// Records that a node is slowed, or no longer is.
    pub(super) fn record_slowed(&self, node: usize, slowed: bool) {
        self.nodes[node].record_slowed(slowed);
    }

    /// Has a ready node reload its configuration.
    pub(super) fn reload(&mut self, node: usize, config: &str) -> io::Result<()> {
        self.check(node);
        match self.state(node) {
            State::Ready => self.nodes[node].reload(config),
            _ => Ok(()),
        }
    }
}
