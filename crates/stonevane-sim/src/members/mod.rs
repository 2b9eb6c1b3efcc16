//! Simulated fleets of members: the machine of [`stonevane_membership`], a network that loses, duplicates, delays and
//! cuts datagrams, processes that are killed, restarted, paused and slowed, all drawn from one seed. Views are judged by
//! [`stonevane_audit::Membership`], which knows the processes and the network.

mod plan;
mod shrink;
mod simulation;

pub use plan::{Bounds, MemberFault, MemberFaultKind, MemberPlan, MemberPlanError};
pub use shrink::shrink_members;
pub use simulation::{MemberOptions, MemberVerdict, TimedBreach, play};
