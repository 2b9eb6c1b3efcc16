//! Simulated fleets of members: the very machine of [`stonevane_membership`], a network that loses, doubles, delays and cuts
//! datagrams, processes that are killed, restarted, paused and slowed, all drawn from one seed. The judge is the lab's
//! ([`stonevane_audit::Membership`]): it knows the processes and the network, and reads views.

mod plan;
mod world;

pub use plan::{MemberFault, MemberPlan, Wrong};
pub use world::{MemberOptions, MemberVerdict, play, shrink_members};
