//! Runs real node processes between emulators on loopback, applies a scripted load and faults, and audits the
//! history.
//!
//! A [`Scenario`] is read from a file; [`run()`] plays it once with a seed. All figures are computed from the
//! history that the emulators write, so a saved history yields the same figures again.

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

/// A scenario bundled with the lab.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BuiltInScenario {
    /// The name, which is also the name of its file without `.toml`.
    pub name: &'static str,
    /// The TOML text of the scenario.
    pub text: &'static str,
}

impl BuiltInScenario {
    /// Returns the bundled scenario with this name.
    pub fn find(name: &str) -> Option<BuiltInScenario> {
        SCENARIOS.iter().find(|scenario| scenario.name == name).copied()
    }

    /// Returns the names of all bundled scenarios.
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

/// All bundled scenarios.
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
