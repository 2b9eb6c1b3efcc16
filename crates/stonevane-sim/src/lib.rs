//! A fleet in one process and one seed: nodes that run the daemon's own core ([`stonevane_core`]), models of caches, the
//! origin, discovery and clients, and a network of streams, with faults that are drawn from the seed.
//!
//! The same [`Plan`] gives the same history to the byte. Each run is checked twice: its history by the auditor
//! ([`stonevane_audit`]), and each step by the simulation's [`Invariant`]s.

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
pub use stonevane_core::Mutant;
