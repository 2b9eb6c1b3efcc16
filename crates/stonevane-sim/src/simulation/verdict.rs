//! Options and result of a run.

use std::fmt;

use serde::{Serialize, Serializer};
use stonevane_audit::Report;
use stonevane_core::Mutant;

/// Options of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// A deliberate bug of the core (mutation testing).
    pub mutant: Option<Mutant>,
    /// Whether [`Verdict::history`] keeps the text of the history.
    pub keeps_history: bool,
}

/// Counters over the whole fleet and run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetTotals {
    /// Connections that nodes opened to servers.
    pub connections_opened: u64,
    /// Requests that the origin read.
    pub origin_requests: u64,
    /// Requests rejected because their connection had no slot in the origin's connection table.
    pub origin_rejected: u64,
    /// Calls that reached discovery.
    pub discovery_calls: u64,
    /// Calls that discovery answered.
    pub discovery_answers: u64,
}

/// Invariants of a run, checked in addition to the auditor's rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// A run ends within the maximum number of events, so events don't schedule one another forever.
    Termination,
    /// A node holds no requests, attempts or memory at the end of the run.
    NoLeftovers,
    /// Clients are served again after the last fault: at least 90 % of their reads at the end of the load.
    Progress,
    /// A node logs no error.
    NoErrorLogged,
    /// A node's core tracks as many connections as the node has streams.
    Connections,
    /// A node stays within its limit of descriptors.
    Descriptors,
    /// Each unanswered request has exactly one pending client id, and an entry in the request table.
    Owners,
    /// The number of a node's timers is bounded by its open requests, attempts and connections.
    Timers,
    /// A node stays within its memory limit.
    Memory,
    /// Servers can parse what nodes send.
    ServerProtocol,
    /// A request is not forwarded long after its client left.
    NoForwardAfterLeave,
    /// Clients can parse what nodes send.
    ClientProtocol,
}

impl Invariant {
    /// Returns the invariant's name in reports.
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

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// Node or request that violates the invariant, and the measured values.
    pub detail: String,
    /// Simulated time at which the violation was detected, microseconds.
    pub at_us: u64,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}, at {} us", self.invariant.name(), self.detail, self.at_us)
    }
}

impl Serialize for Violation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// The auditor's report.
    pub report: Report,
    /// First violation of each violated invariant.
    pub violations: Vec<Violation>,
    /// Number of requests that clients generated.
    pub requests: usize,
    /// Number of requests that a node answered with a value or a receipt.
    pub served: usize,
    /// Counters of connections, origin requests and discovery calls over the whole fleet.
    pub totals: FleetTotals,
    /// Number of events that the run handled.
    pub steps: u64,
    /// Simulated time at the end of the run, microseconds.
    pub simulated_us: u64,
    /// Digest of the history; runs with the same plan and mutant have the same digest.
    pub digest: u64,
    /// Text of the history, one JSON record per line; empty unless [`Options::keeps_history`] is set.
    pub history: String,
}

impl Verdict {
    /// Whether the auditor found no violation and no server fault, and all invariants held.
    pub fn holds(&self) -> bool {
        self.report.holds() && self.report.fault_count == 0 && self.violations.is_empty()
    }

    /// Returns the failure's code: the auditor's code of the first finding or server fault, or the name of
    /// the first violated invariant; `None` if the run holds.
    pub fn code(&self) -> Option<String> {
        let finding = self.report.findings.first().map(|finding| finding.code.to_owned());
        let fault = self.report.faults.first().map(|fault| format!("stand-in:{}", fault.code));
        let violation = self.violations.first().map(|violation| violation.invariant.name().to_owned());
        finding.or(fault).or(violation)
    }
}
