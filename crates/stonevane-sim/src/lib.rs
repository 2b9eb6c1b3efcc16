//! A fleet in one process and one seed: nodes that are the very core of the daemon ([`stonevane_core`]), models of
//! caches, the origin, discovery and clients, and a network of streams, with faults that are drawn from the seed.
//!
//! The same [`Plan`] gives the same history to the byte. Two judges look at each run: the auditor of the four rules
//! ([`stonevane_audit`]) at its history, and the invariants of [`world`] at each step.

mod clients;
mod discovery;
pub mod members;
mod plan;
mod servers;
mod shrink;
mod wire;
mod world;

pub use plan::{Fault, FaultKind, Plan};
pub use shrink::{Shrunk, shrink};
pub use stonevane_core::Mutant;
pub use world::{FleetTotals, Options, Verdict, run};
