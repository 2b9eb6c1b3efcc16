//! Membership among the nodes of a scenario.

use std::time::Duration;

use stonevane_membership::Mutant;

use super::NodeSelector;

/// Nodes for each further period that convergence may take.
const NODES_PER_CONVERGENCE_PERIOD: u64 = 12;

/// Membership among the nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipSpec {
    /// The protocol period.
    pub period: Duration,
    /// Whether nodes share a key.
    pub authenticated: bool,
    /// Whether nodes heed their own health.
    pub heeds_health: bool,
    /// Nodes that send messages of version 1, as before an upgrade.
    pub version_1_nodes: NodeSelector,
    /// The bounds that it is held to, before the number of nodes is added.
    pub bounds: MembershipBounds,
    /// Members, the last ones, that never start: no node may hold them alive.
    pub absent_members: usize,
    /// A faulty member in a node's place.
    pub faulty_member: Option<FaultyMemberSpec>,
}

/// A faulty member in a node's place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultyMemberSpec {
    /// The node's number.
    pub node: usize,
    /// Its fault.
    pub mutant: Mutant,
}

/// Bounds on membership, in protocol periods.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipBounds {
    /// Until a death is detected.
    pub detection: u64,
    /// For which a live member may be held dead.
    pub accuracy: u64,
    /// Until a false suspicion is refuted.
    pub refutation: u64,
    /// Until all views agree.
    pub convergence: u64,
}

impl MembershipSpec {
    /// The bounds for a number of members: news spreads in a number of periods that grows with its logarithm.
    pub fn bounds_for(&self, members: usize) -> MembershipBounds {
        let spread = (members.max(2) as f64).log2().ceil() as u64;
        let base = self.bounds;
        MembershipBounds {
            detection: base.detection + spread,
            accuracy: base.accuracy + spread,
            refutation: base.refutation + spread,
            convergence: base.convergence + spread + members as u64 / NODES_PER_CONVERGENCE_PERIOD,
        }
    }
}
