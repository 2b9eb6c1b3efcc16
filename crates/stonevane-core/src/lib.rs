//! The node without sockets, clock or tasks. [`Core::handle`] takes what has happened and the time at which it did,
//! and says what is to be done; whoever drives it opens, reads, writes, sleeps, and nothing else.
//!
//! It owns the decision module (`stonevane_policy`), the connections of clients ([`clients`]) and to servers ([`servers`]), the
//! budgets of descriptors and memory, discovery's list and the drain at SIGTERM. It reads no clock, does no I/O, and
//! has no randomness but the seed: the same inputs at the same times give the same outputs.

mod clients;
pub mod discovery_timeouts;
mod faults;
mod figures;
pub mod handover;
mod io;
mod list;
pub mod management;
mod memory;
mod node;
mod reply;
mod request;
mod scope;
mod servers;
mod start_times;
mod timers;
mod trace;

pub use faults::{Faults, Mutant, NoFaults};
pub use figures::{Counts, RegionFigures, Report};
pub use io::{DiscoveryCall, DiscoveryRequest, Input, LogLine, Output, Outputs, StoreCall};
pub use list::{DiscoveryEpoch, Endpoint, EndpointList};
pub use node::{Core, ResourceCounts, Setup};
pub use reply::{ConnId, Reply};
pub use request::Command;
pub use servers::cache;
pub use trace::CloseReason;
