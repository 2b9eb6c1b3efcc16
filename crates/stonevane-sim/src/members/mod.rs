//! Deterministic simulation of a fleet of members, each of which runs the state machine of
//! [`stonevane_membership`]. The network loses, duplicates, delays and partitions datagrams; processes are
//! killed, restarted, paused and slowed. All faults are drawn from one seed. [`stonevane_audit::Membership`]
//! checks the members' views against the true state of the processes and the network.

mod plan;
mod shrink;
mod simulation;

pub use plan::{Bounds, MemberFault, MemberFaultKind, MemberPlan, MemberPlanError};
pub use shrink::shrink_members;
pub use simulation::{MemberOptions, MemberVerdict, TimedViolation, run};
