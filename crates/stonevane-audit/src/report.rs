//! The report of an audit: findings with their evidence, and counts.
//!
//! The texts of findings are read by people and by tools; their wording matches the operators' documentation.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::membership::MembershipMeasurements;

/// A rule that a history is audited against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request gets exactly one final answer, in time, with a value that was produced for it.
    #[serde(rename = "answered")]
    FinalAnswer,
    /// A request that may have run is sent again only if its class allows it.
    #[serde(rename = "once")]
    DuplicateEffects,
    /// A draining server receives no new attempts after the grace period.
    #[serde(rename = "drained")]
    Draining,
    /// Nodes don't overload a server that is warming up, and don't overload the origin through misses at such
    /// servers.
    #[serde(rename = "cold")]
    SlowStart,
    /// Each attempt matches a request that a client sent to the attempt's node, in key, class, idempotency
    /// key and value.
    #[serde(rename = "tied")]
    AttemptIntegrity,
    /// The limits of the deployment: attempts per request, hedged requests, time to exit after SIGTERM.
    Limits,
    /// The rules for the members' views of each other; see [`crate::MembershipViolation::code`].
    #[serde(rename = "members")]
    Membership,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::FinalAnswer => "rule 1 (answered once, in time, with its own value)",
            Rule::DuplicateEffects => "rule 2 (no effect twice)",
            Rule::Draining => "rule 3 (drains kept)",
            Rule::SlowStart => "rule 4 (no cold server pushed over)",
            Rule::AttemptIntegrity => "the tie of attempts (each is what was asked)",
            Rule::Limits => "the deployment's limits",
            Rule::Membership => "membership",
        })
    }
}

/// A line of the history that proves a finding.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Evidence {
    /// Line number in the history, from 1.
    pub line: usize,
    /// Text of the record, without its newline.
    pub text: String,
}

/// A violation of a rule, with its evidence.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Finding {
    /// The violated rule.
    pub rule: Rule,
    /// Short name of the kind of violation, such as `late`.
    pub code: &'static str,
    /// Id of the request; empty if the finding concerns no single request.
    pub request: String,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
    /// Lines that prove the finding, in the order of the history.
    pub evidence: Vec<Evidence>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} broken, {}", self.rule, self.code)?;
        if !self.request.is_empty() {
            write!(f, ", request {}", self.request)?;
        }
        write!(f, ": {}", self.description)?;
        write_lines(f, &self.evidence)
    }
}

/// A fault of an emulated server. The auditor relies on the records of emulators, so such a fault is reported
/// apart from the findings on nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EmulatorFault {
    /// Name of the emulated server.
    pub server: String,
    /// Short name of the kind of fault.
    pub code: &'static str,
    /// Description of the fault.
    #[serde(rename = "what")]
    pub description: String,
    /// Lines that prove the fault, in the order of the history.
    pub evidence: Vec<Evidence>,
}

impl fmt::Display for EmulatorFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the emulator {} is at fault, {}: {}", self.server, self.code, self.description)?;
        write_lines(f, &self.evidence)
    }
}

fn write_lines(f: &mut fmt::Formatter<'_>, evidence: &[Evidence]) -> fmt::Result {
    evidence.iter().try_for_each(|line| write!(f, "\n    line {}: {}", line.line, line.text))
}

/// Result of an audit.
#[derive(Debug, Clone, PartialEq, Serialize, Default)]
pub struct Report {
    /// Findings in the order in which they were proven; at most [`Report::MAX_REPORTED`] are kept.
    pub findings: Vec<Finding>,
    /// Total number of findings, including those that were not kept.
    #[serde(rename = "broken")]
    pub finding_count: usize,
    /// Faults of emulated servers, in the order in which they were proven; at most [`Report::MAX_REPORTED`]
    /// are kept.
    pub faults: Vec<EmulatorFault>,
    /// Total number of faults of emulated servers, including those that were not kept. If it is not 0,
    /// neither the findings nor their absence is reliable.
    #[serde(rename = "faulty")]
    pub fault_count: usize,
    /// Records read, without the first one, which carries the rules.
    pub events: usize,
    /// Requests that clients sent; a resend of the same request does not count.
    pub requests: usize,
    /// Attempts that servers received.
    pub attempts: usize,
    /// Requests without an answer whose deadline had not passed when the history ended.
    #[serde(rename = "unsettled")]
    pub pending: usize,
    /// Requests that need no answer: the client left, or the node was killed, paused or not running.
    pub excused: usize,
    /// Idempotency keys that ran more than once, regardless of who sent the repeat.
    #[serde(rename = "tokens_run_twice")]
    pub duplicate_effects: usize,
    /// Overloads of the origin that are not attributed to nodes.
    pub origin_overruns: usize,
    /// Maximum number of requests that were tracked at once.
    #[serde(rename = "held_at_most")]
    pub peak_requests: usize,
    /// Measurements of the membership protocol.
    pub membership: MembershipMeasurements,
    /// Number of answers by class; the array is indexed by [`crate::Outcome`]: served, rejected, failed.
    pub answers: BTreeMap<String, [usize; 3]>,
}

impl Report {
    /// Maximum number of findings, and of faults, that a report keeps with their evidence.
    pub const MAX_REPORTED: usize = 100;

    /// Returns whether no rule is violated.
    pub fn holds(&self) -> bool {
        self.finding_count == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        for fault in &self.faults {
            writeln!(f, "{fault}")?;
        }
        let verdict = if self.holds() { "all four rules hold" } else { "rules are broken" };
        write!(
            f,
            "{verdict}: {} breaches in {} events, {} requests, {} attempts ({} excused, {} not settled at the end)",
            self.finding_count, self.events, self.requests, self.attempts, self.excused, self.pending
        )?;
        if self.fault_count > 0 { write!(f, "; {} faults of emulators", self.fault_count) } else { Ok(()) }
    }
}
