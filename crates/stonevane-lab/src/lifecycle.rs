//! State machine of a fleet's nodes under overlapping steps. No I/O, no clock.
//!
//! Overlapping steps on one node: a kill acts at once in every state; a termination acts on a node that is
//! starting or ready and has no effect on one that is already ending or dead. Both *hold* the node down from
//! their beginning to their end. A held node does not start; it starts again when the last hold ends. A node
//! that ended by itself stays dead until a step that holds it ends.
//!
//! Pauses: a process is paused while at least one step pauses it, and resumes when the last of these steps
//! ends. A kill ends a paused process at once. A termination signal takes effect when the process resumes, or
//! never if the process is killed first for exceeding its shutdown limit. An incarnation that starts while a
//! pause step runs is not paused, because the paused incarnation has ended. A step that slows a process
//! pauses and resumes it alternately, and leaves it paused while another step pauses it.

/// The state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum State {
    /// The node has no process.
    #[default]
    Dead,
    /// The process has started and is not ready yet.
    Starting,
    /// The process serves requests.
    Ready,
    /// The process has been signalled to terminate.
    Ending,
}

/// Number of a node's process, counted from 1 for each node; 0 before the first start.
pub type Incarnation = u64;

/// A process that a step has paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Paused {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether the process was running before, because no other step was pausing it.
    pub was_running: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct NodeState {
    state: State,
    incarnation: Incarnation,
    /// Number of steps that hold the node down.
    holds: usize,
    /// Number of steps that pause the current incarnation.
    pauses: usize,
}

/// States of all nodes, indexed by node number.
#[derive(Debug)]
pub struct NodeStates(Vec<NodeState>);

impl NodeStates {
    /// Creates the states of `nodes` nodes, all dead and not held.
    pub fn new(nodes: usize) -> NodeStates {
        NodeStates(vec![NodeState::default(); nodes])
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns a node's state and its current incarnation.
    pub fn get(&self, node: usize) -> (State, Incarnation) {
        self.0.get(node).map_or((State::Dead, 0), |node| (node.state, node.incarnation))
    }

    /// Returns whether `incarnation` is the node's current one and the node is in `state`.
    pub fn is(&self, node: usize, incarnation: Incarnation, state: State) -> bool {
        self.get(node) == (state, incarnation)
    }

    /// Begins a new incarnation of a node. Returns `None` if the node is not dead or is held down.
    pub fn start(&mut self, node: usize) -> Option<Incarnation> {
        let node = self.0.get_mut(node).filter(|node| node.state == State::Dead && node.holds == 0)?;
        node.state = State::Starting;
        node.incarnation += 1;
        node.pauses = 0;
        Some(node.incarnation)
    }

    /// Marks an incarnation as ready. Returns `false` if it is no longer the current one or is not starting.
    pub fn mark_ready(&mut self, node: usize, incarnation: Incarnation) -> bool {
        let starting = self.is(node, incarnation, State::Starting);
        if starting {
            self.0[node].state = State::Ready;
        }
        starting
    }

    /// Marks a node as killed and holds it down. Returns the incarnation to kill, if there is one.
    pub fn kill(&mut self, node: usize) -> Option<Incarnation> {
        let node = self.0.get_mut(node)?;
        node.holds += 1;
        let alive = node.state != State::Dead;
        node.state = State::Dead;
        alive.then_some(node.incarnation)
    }

    /// Marks a node as ending and holds it down. Returns the incarnation to signal, if there is one that has
    /// not been signalled.
    pub fn terminate(&mut self, node: usize) -> Option<Incarnation> {
        let node = self.0.get_mut(node)?;
        node.holds += 1;
        let alive = matches!(node.state, State::Starting | State::Ready);
        if alive {
            node.state = State::Ending;
        }
        alive.then_some(node.incarnation)
    }

    /// Marks an incarnation as ended, by itself or after a signal. Returns whether the incarnation was the
    /// current one and alive.
    pub fn mark_ended(&mut self, node: usize, incarnation: Incarnation) -> bool {
        let (state, present) = self.get(node);
        let ended = present == incarnation && state != State::Dead;
        if ended {
            self.0[node].state = State::Dead;
        }
        ended
    }

    /// Counts a step that pauses a node's process. Returns `None` if the node has no process.
    pub fn pause(&mut self, node: usize) -> Option<Paused> {
        let node = self.0.get_mut(node).filter(|node| node.state != State::Dead)?;
        node.pauses += 1;
        Some(Paused { incarnation: node.incarnation, was_running: node.pauses == 1 })
    }

    /// Ends one step's pause of an incarnation. Returns whether the process is to resume, because no other
    /// step pauses it.
    pub fn resume(&mut self, node: usize, incarnation: Incarnation) -> bool {
        let present = |node: &&mut NodeState| node.incarnation == incarnation && node.state != State::Dead;
        let Some(node) = self.0.get_mut(node).filter(present) else { return false };
        node.pauses = node.pauses.saturating_sub(1);
        node.pauses == 0
    }

    /// Returns whether any step pauses the node's process.
    pub fn is_paused(&self, node: usize) -> bool {
        self.0.get(node).is_some_and(|node| node.state != State::Dead && node.pauses > 0)
    }

    /// Ends one step's hold on a node. Returns whether the node is to start, because it is dead and no longer
    /// held.
    pub fn release(&mut self, node: usize) -> bool {
        let Some(node) = self.0.get_mut(node) else { return false };
        node.holds = node.holds.saturating_sub(1);
        node.holds == 0 && node.state == State::Dead
    }
}

#[cfg(test)]
mod tests;
