//! From the workers' reports: whether every node has reached a state, and when the last one did.

use crate::Micros;

/// How many nodes of one worker have reached a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct Reached {
    /// Nodes.
    pub nodes: u32,
    /// When that number last changed.
    pub changed: Micros,
}

/// Waits for all nodes of all workers.
#[derive(Debug, Clone)]
pub struct Convergence {
    wanted: Vec<u32>,
    reached: Vec<Reached>,
}

impl Convergence {
    /// Waits for so many nodes of each worker.
    pub fn new(wanted: Vec<u32>) -> Convergence {
        let reached = vec![Reached::default(); wanted.len()];
        Convergence { wanted, reached }
    }

    /// Takes a worker's report in the place of its last one.
    pub fn observe(&mut self, worker: usize, reached: Reached) {
        if let Some(slot) = self.reached.get_mut(worker) {
            *slot = reached;
        }
    }

    /// When the last node reached the state; `None` while one has not, or has left it again.
    pub fn at(&self) -> Option<Micros> {
        let all = self.wanted.iter().zip(&self.reached).all(|(wanted, reached)| reached.nodes == *wanted);
        let taking_part = self.wanted.iter().zip(&self.reached).filter(|(wanted, _)| **wanted > 0);
        let last = taking_part.map(|(_, reached)| reached.changed).max();
        last.filter(|_| all)
    }

    /// Nodes that have reached the state, and all that are waited for.
    pub fn progress(&self) -> (u32, u32) {
        (self.reached.iter().map(|reached| reached.nodes).sum(), self.wanted.iter().sum())
    }
}
