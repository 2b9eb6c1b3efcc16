//! Deterministic simulation of a fleet in one process. Nodes run the daemon's own core ([`stonevane_core`]);
//! caches, the origin, discovery and clients are models, connected by a simulated network of streams. Faults
//! are drawn from a seed.
//!
//! The same [`Plan`] gives the same history to the byte. Each run is checked twice: the auditor
//! ([`stonevane_audit`]) checks its history, and the simulation checks its [`Invariant`]s after each step.

mod client;
mod discovery;
mod event_queue;
pub mod members;
mod plan;
mod server;
mod shrink;
mod simulation;
mod stream;

pub use plan::{Fault, FaultKind, Plan, PlanError};
pub use shrink::{Shrunk, shrink};
pub use simulation::{FleetTotals, Invariant, Options, Verdict, Violation, run};
pub use stonevane_core::{Mutant, MutantInfo};
