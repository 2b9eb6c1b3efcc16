//! The states of a fleet's nodes, and what overlapping steps make of them. No I/O, no clock.
//!
//! Order of steps on one node: a kill acts at once, in whatever state the node is; a termination acts on a node that
//! starts or is ready, and does nothing to one that is terminating or dead already. Each of them *holds* the node down
//! from its beginning to its end, and a node that any step holds does not start: it starts again when the last hold
//! ends. A node that died by itself stays dead until a step that holds it ends.
//!
//! Pauses: a process is paused while any step pauses it, and resumes when the last of these ends. A kill takes a
//! paused process at once; a termination reaches it when it resumes, or not at all where it is killed for taking too
//! long. An incarnation that starts while a pause is in force is not paused: what was paused has ended. A step that
//! slows a process pauses and resumes it in turn, and leaves it paused while another step pauses it.

/// The state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum State {
    /// There is no process.
    #[default]
    Dead,
    /// Its process was started, and is not ready yet.
    Starting,
    /// It serves.
    Ready,
    /// It was told to terminate.
    Ending,
}

/// The number of a node's process: the present one, or one that has ended.
pub type Incarnation = u64;

/// A process that a step pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Paused {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether no other step has paused it before.
    pub was_running: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct NodeState {
    state: State,
    incarnation: Incarnation,
    /// Steps that hold it down.
    holds: usize,
    /// Steps that pause this incarnation.
    pauses: usize,
}

/// The states of all nodes, by their numbers.
#[derive(Debug)]
pub struct NodeStates(Vec<NodeState>);

impl NodeStates {
    /// The states of so many nodes, all dead and held by no step.
    pub fn new(nodes: usize) -> NodeStates {
        NodeStates(vec![NodeState::default(); nodes])
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// A node's state and its incarnation.
    pub fn get(&self, node: usize) -> (State, Incarnation) {
        self.0.get(node).map_or((State::Dead, 0), |node| (node.state, node.incarnation))
    }

    /// Whether an incarnation is a node's present one, in this state.
    pub fn is(&self, node: usize, incarnation: Incarnation, state: State) -> bool {
        self.get(node) == (state, incarnation)
    }

    /// A node begins a new incarnation; `None` where it has one or is held down.
    pub fn start(&mut self, node: usize) -> Option<Incarnation> {
        let node = self.0.get_mut(node).filter(|node| node.state == State::Dead && node.holds == 0)?;
        node.state = State::Starting;
        node.incarnation += 1;
        node.pauses = 0;
        Some(node.incarnation)
    }

    /// An incarnation reports that it is ready; whether that still holds.
    pub fn mark_ready(&mut self, node: usize, incarnation: Incarnation) -> bool {
        let starting = self.is(node, incarnation, State::Starting);
        if starting {
            self.0[node].state = State::Ready;
        }
        starting
    }

    /// A step kills a node and holds it down; returns the incarnation to kill, where there is one.
    pub fn kill(&mut self, node: usize) -> Option<Incarnation> {
        let node = self.0.get_mut(node)?;
        node.holds += 1;
        let alive = node.state != State::Dead;
        node.state = State::Dead;
        alive.then_some(node.incarnation)
    }

    /// A step terminates a node and holds it down; returns the incarnation to signal, where there is one that was not
    /// signalled before.
    pub fn terminate(&mut self, node: usize) -> Option<Incarnation> {
        let node = self.0.get_mut(node)?;
        node.holds += 1;
        let alive = matches!(node.state, State::Starting | State::Ready);
        if alive {
            node.state = State::Ending;
        }
        alive.then_some(node.incarnation)
    }

    /// An incarnation has ended, by itself or as it was told to; whether it was the present one.
    pub fn mark_ended(&mut self, node: usize, incarnation: Incarnation) -> bool {
        let (state, present) = self.get(node);
        let ended = present == incarnation && state != State::Dead;
        if ended {
            self.0[node].state = State::Dead;
        }
        ended
    }

    /// A step pauses a node, where it has a process.
    pub fn pause(&mut self, node: usize) -> Option<Paused> {
        let node = self.0.get_mut(node).filter(|node| node.state != State::Dead)?;
        node.pauses += 1;
        Some(Paused { incarnation: node.incarnation, was_running: node.pauses == 1 })
    }

    /// A step that paused an incarnation lets it resume; whether no other step pauses it.
    pub fn resume(&mut self, node: usize, incarnation: Incarnation) -> bool {
        let present = |node: &&mut NodeState| node.incarnation == incarnation && node.state != State::Dead;
        let Some(node) = self.0.get_mut(node).filter(present) else { return false };
        node.pauses = node.pauses.saturating_sub(1);
        node.pauses == 0
    }

    /// Whether any step pauses a node's process.
    pub fn is_paused(&self, node: usize) -> bool {
        self.0.get(node).is_some_and(|node| node.state != State::Dead && node.pauses > 0)
    }

    /// A step ends its hold on a node; whether the node is to start now.
    pub fn release(&mut self, node: usize) -> bool {
        let Some(node) = self.0.get_mut(node) else { return false };
        node.holds = node.holds.saturating_sub(1);
        node.holds == 0 && node.state == State::Dead
    }
}

#[cfg(test)]
mod tests;
