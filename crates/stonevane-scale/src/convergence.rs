//! Whether all nodes of the fleet have reached a state, and when the last one did, from the workers' reports.

use crate::Micros;

/// Number of nodes of one worker that have reached a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Reached {
    /// Number of nodes.
    pub nodes: u32,
    /// Time at which that number last changed.
    pub changed: Micros,
}

/// Tracks, per worker, the nodes that have reached a state against the nodes that are expected to.
#[derive(Debug, Clone)]
pub struct Convergence {
    expected: Vec<u32>,
    reached: Vec<Reached>,
}

impl Convergence {
    /// Expects `expected[worker]` nodes of each worker to reach the state.
    pub fn new(expected: Vec<u32>) -> Convergence {
        let reached = vec![Reached::default(); expected.len()];
        Convergence { expected, reached }
    }

    /// Replaces the last report of a worker. A worker out of range is ignored.
    pub fn observe(&mut self, worker: usize, reached: Reached) {
        if let Some(slot) = self.reached.get_mut(worker) {
            *slot = reached;
        }
    }

    /// Time at which the last node reached the state; `None` while an expected node has not reached it or has
    /// left it again. Workers with no expected node don't count.
    pub fn at(&self) -> Option<Micros> {
        let all =
            self.expected.iter().zip(&self.reached).all(|(expected, reached)| reached.nodes == *expected);
        let participants = self.expected.iter().zip(&self.reached).filter(|(expected, _)| **expected > 0);
        let last = participants.map(|(_, reached)| reached.changed).max();
        last.filter(|_| all)
    }

    /// Number of nodes that have reached the state, and number of nodes that are expected to.
    pub fn progress(&self) -> (u32, u32) {
        (self.reached.iter().map(|reached| reached.nodes).sum(), self.expected.iter().sum())
    }
}
