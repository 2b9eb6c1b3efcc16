//! Membership settings of a scenario and the bounds that the audit applies.

use std::time::Duration;

use stonevane_membership::Mutant;

use super::NodeSelector;

/// Number of members for each additional protocol period of the convergence bound.
const NODES_PER_CONVERGENCE_PERIOD: u64 = 12;

/// Membership settings of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipSpec {
    /// Protocol period.
    pub period: Duration,
    /// Whether nodes authenticate datagrams with a shared key.
    pub authenticated: bool,
    /// Whether nodes lengthen timeouts: by their own local health, and for suspicions that few members have
    /// confirmed.
    pub uses_local_health: bool,
    /// Nodes that send messages of version 1, as before an upgrade.
    pub version_1_nodes: NodeSelector,
    /// Bounds without the part that grows with the number of members; [`MembershipSpec::bounds_for`] adds
    /// it.
    pub bounds: MembershipBounds,
    /// Number of members, counted from the last, that never start. No node may consider them alive.
    pub absent_members: usize,
    /// Faulty member that takes part in membership instead of a correct one; `None` if all members are
    /// correct.
    pub faulty_member: Option<FaultyMemberSpec>,
}

/// A faulty member that takes part in membership instead of a correct one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultyMemberSpec {
    /// Number of the node.
    pub node: usize,
    /// Fault of the membership state machine.
    pub mutant: Mutant,
}

/// Bounds on membership, in protocol periods.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipBounds {
    /// Longest time until a death is detected.
    pub detection: u64,
    /// Longest time for which a live member may be considered dead.
    pub accuracy: u64,
    /// Longest time until a false suspicion is refuted.
    pub refutation: u64,
    /// Longest time until all views agree.
    pub convergence: u64,
}

impl MembershipSpec {
    /// Returns the bounds for a number of members. Gossip needs a number of periods that grows with the
    /// logarithm of the number of members.
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
