//! The lab: real nodes between emulators on loopback, a load and faults by script, and the auditor's verdict.
//!
//! A [`Scenario`] is read from a file; [`run`] plays it once with a seed. All figures come from the history that the
//! emulators write, so that a history on file gives the same figures again.

mod active_faults;
pub mod chart;
mod faulty_member;
mod fleet;
mod lifecycle;
mod node;
pub mod plot;
mod run;
pub mod scenario;
mod stub;
pub mod summary;

pub use fleet::{Fleet, lab_ip};
pub use node::{NodeKind, Program};
pub use run::{Options, Outcome, RunError, interrupted, run};
pub use scenario::Scenario;
pub use stub::NodeFault;
pub use summary::{Summary, summarise};

/// A scenario that comes with the lab.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BuiltInScenario {
    /// Its name.
    pub name: &'static str,
    /// Its text.
    pub text: &'static str,
}

impl BuiltInScenario {
    /// The scenario of a name.
    pub fn find(name: &str) -> Option<BuiltInScenario> {
        SCENARIOS.iter().find(|scenario| scenario.name == name).copied()
    }

    /// The names of all scenarios.
    pub fn names() -> Vec<&'static str> {
        SCENARIOS.iter().map(|scenario| scenario.name).collect()
    }
}

macro_rules! built_in_scenarios {
    ($($name:literal),* $(,)?) => {
        &[$(BuiltInScenario {
            name: $name,
            text: include_str!(concat!("../scenarios/", $name, ".toml")),
        }),*]
    };
}

/// The scenarios that come with the lab.
pub const SCENARIOS: &[BuiltInScenario] = built_in_scenarios![
    "calm",
    "kill-cache",
    "vanish",
    "refuse-reset",
    "half-told",
    "spoilt",
    "drain",
    "discovery",
    "node-kill",
    "node-term",
    "partition",
    "full-table",
    "busy-rolling",
    "busy-together",
    "busy-origin-stop",
    "busy-sixteen",
    "busy-crowd",
    "busy-all",
    "store-stampede",
    "store-stall",
    "store-kill",
    "cold-start-all",
    "cold-start-list-down",
    "cold-start-replaced",
    "cold-start-twice",
    "cold-start-cut",
    "fleet-crash",
    "fleet-paused",
    "fleet-one-sided",
    "fleet-loss",
    "fleet-partition",
    "fleet-slow",
    "fleet-old-peers",
    "fleet-hundreds",
];
