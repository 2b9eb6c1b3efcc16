//! How a run is made, and what it showed.

use std::fmt;

use serde::{Serialize, Serializer};
use stonevane_audit::Report;
use stonevane_core::Mutant;

/// How a run is made.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// What the core does wrong on purpose.
    pub mutant: Option<Mutant>,
    /// Whether the history is kept as text.
    pub history: bool,
}

/// Totals over the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetTotals {
    /// Connections opened to servers.
    pub connections_opened: u64,
    /// Requests to the origin.
    pub origin_requests: u64,
    /// Of these, those that found no slot in its connection table.
    pub origin_rejected: u64,
    /// Calls to discovery.
    pub discovery_calls: u64,
    /// Of these, those that were answered.
    pub discovery_answers: u64,
}

/// What must hold in each run, beside the auditor's rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// A run ends: events don't cause one another without an end.
    Termination,
    /// A node holds nothing when all is quiet.
    NoLeftovers,
    /// Clients are served again after the last fault.
    Progress,
    /// A node logs no error.
    NoErrorLogged,
    /// A node knows each of its connections.
    Connections,
    /// A node stays within its descriptors.
    Descriptors,
    /// Each unanswered request is owned by one client.
    Owners,
    /// Timers grow with what is open only.
    Timers,
    /// A node stays within its memory.
    Memory,
    /// Servers understand what nodes send.
    ServerProtocol,
    /// A request isn't forwarded long after its client left.
    NoForwardAfterLeave,
    /// Clients understand what nodes send.
    ClientProtocol,
}

impl Invariant {
    /// The word by which it is reported.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::Termination => "endless",
            Invariant::NoLeftovers => "left",
            Invariant::Progress => "progress",
            Invariant::NoErrorLogged => "fault",
            Invariant::Connections => "connections",
            Invariant::Descriptors => "descriptors",
            Invariant::Owners => "owners",
            Invariant::Timers => "timers",
            Invariant::Memory => "memory",
            Invariant::ServerProtocol => "request",
            Invariant::NoForwardAfterLeave => "left-sent",
            Invariant::ClientProtocol => "answer",
        }
    }
}

/// An invariant that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub invariant: Invariant,
    /// What happened.
    pub what: String,
    /// When, in simulated microseconds.
    pub at_us: u64,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}, at {} us", self.invariant.name(), self.what, self.at_us)
    }
}

impl Serialize for Violation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// What a run showed.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// The auditor's report.
    pub report: Report,
    /// Invariants that were broken, the first violation of each.
    pub violations: Vec<Violation>,
    /// Requests that clients had.
    pub requests: usize,
    /// Of these, those that were served.
    pub served: usize,
    /// Totals over the fleet.
    pub totals: FleetTotals,
    /// Events of the simulation.
    pub steps: u64,
    /// Simulated time, microseconds.
    pub simulated_us: u64,
    /// A digest of the history.
    pub digest: u64,
    /// The history, where it was to be kept.
    pub history: String,
}

impl Verdict {
    /// Whether all holds.
    pub fn holds(&self) -> bool {
        self.report.holds() && self.report.faulty == 0 && self.violations.is_empty()
    }

    /// What failed, in one word: a code of the auditor's or the name of an invariant.
    pub fn code(&self) -> Option<String> {
        let finding = self.report.findings.first().map(|finding| finding.code.to_owned());
        let fault = self.report.faults.first().map(|fault| format!("stand-in:{}", fault.code));
        let violation = self.violations.first().map(|violation| violation.invariant.name().to_owned());
        finding.or(fault).or(violation)
    }
}
