//! The state machine of a node, without sockets, clock or tasks. [`Core::handle`] takes an [`Input`] and the
//! time at which it happened, and returns [`Output`]s. The driver does the I/O and keeps the clock.
//!
//! The core owns the policy (`stonevane_policy`), the client and server connections, the budgets of sockets
//! and memory, the endpoint list, and the graceful shutdown. It is deterministic: the same inputs at the same
//! times with the same seed give the same outputs.

mod clients;
pub mod discovery_timeouts;
mod faults;
pub mod handover;
mod io;
mod list;
pub mod management;
mod memory;
mod metrics;
mod node;
mod pause_detection;
mod reply;
mod request;
mod servers;
mod start_times;
mod subset;
mod timers;
mod trace;

pub use faults::{Faults, Mutant, MutantInfo, NoFaults};
pub use io::{DiscoveryCall, DiscoveryRequest, Input, LogLine, Output, Outputs, StoreCall};
pub use list::{DiscoveryEpoch, Endpoint, EndpointList};
pub use memory::{MemoryAccount, MemoryReservation};
pub use metrics::{ClassCounts, RegionMetrics, Report};
pub use node::{Core, CoreConfig, HandoverStatus, ResourceCounts};
pub use reply::{ConnId, Reply};
pub use request::Command;
pub use trace::CloseReason;
