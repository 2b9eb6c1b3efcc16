//! What an audit found: breaches of the rules with their proof, and counts.
//!
//! The texts are read by people and tools; their words are those of the operators' pages.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::membership::MembershipFigures;

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request gets exactly one final answer, in time, with a value that was made for it.
    #[serde(rename = "answered")]
    FinalAnswer,
    /// What may have run is sent again only where its class allows it.
    #[serde(rename = "once")]
    DuplicateEffects,
    /// Nothing new goes to a server that drains, past its grace period.
    #[serde(rename = "drained")]
    Draining,
    /// No server that warms up is overloaded, nor the origin through misses at such servers.
    #[serde(rename = "cold")]
    SlowStart,
    /// Each attempt is what a client asked of that node, with its key, class, idempotency key and value.
    #[serde(rename = "tied")]
    AttemptIntegrity,
    /// The deployment's limits: attempts for a request, hedged requests, the time to end after SIGTERM.
    Limits,
    /// Members' views of one another.
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

/// A line that proves a finding.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Evidence {
    /// Its number in the history, from 1.
    pub line: usize,
    /// The line, as far as it matters.
    pub text: String,
}

/// A rule broken, and the proof.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// Which way of breaking it.
    pub code: &'static str,
    /// The request, where it is about one.
    pub request: String,
    /// What happened, in a sentence.
    pub what: String,
    /// The lines that prove it, in their order.
    pub evidence: Vec<Evidence>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} broken, {}", self.rule, self.code)?;
        if !self.request.is_empty() {
            write!(f, ", request {}", self.request)?;
        }
        write!(f, ": {}", self.what)?;
        write_lines(f, &self.evidence)
    }
}

/// A fault of an emulated server, which is a witness: it, and not a node, did what it must not.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EmulatorFault {
    /// The server.
    pub server: String,
    /// Which fault.
    pub code: &'static str,
    /// What happened, in a sentence.
    pub what: String,
    /// The lines that prove it, in their order.
    pub evidence: Vec<Evidence>,
}

impl fmt::Display for EmulatorFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stand-in {} is at fault, {}: {}", self.server, self.code, self.what)?;
        write_lines(f, &self.evidence)
    }
}

fn write_lines(f: &mut fmt::Formatter<'_>, evidence: &[Evidence]) -> fmt::Result {
    evidence.iter().try_for_each(|line| write!(f, "\n    line {}: {}", line.line, line.text))
}

/// The verdict on a history.
#[derive(Debug, Clone, PartialEq, Serialize, Default)]
pub struct Report {
    /// Rules broken, in the order in which they were proven; at most [`Report::MAX_REPORTED`] are kept.
    pub findings: Vec<Finding>,
    /// How many there were in all.
    pub broken: usize,
    /// Faults of emulated servers, in the order in which they were proven; at most [`Report::MAX_REPORTED`] are kept.
    pub faults: Vec<EmulatorFault>,
    /// How many there were in all. A verdict on nodes is worth little where there are any.
    pub faulty: usize,
    /// Events read.
    pub events: usize,
    /// Requests that clients sent.
    pub requests: usize,
    /// Attempts that servers received.
    pub attempts: usize,
    /// Requests without an answer when the history ended, their deadline not over yet.
    #[serde(rename = "unsettled")]
    pub pending: usize,
    /// Requests that need no answer: their client left, or their node was killed, paused or not running.
    pub excused: usize,
    /// Idempotency keys that ran more than once, whoever sent the repeat.
    #[serde(rename = "tokens_run_twice")]
    pub duplicate_effects: usize,
    /// Overloads of the origin that no node is to blame for.
    pub origin_overruns: usize,
    /// The most requests that were tracked at once.
    #[serde(rename = "held_at_most")]
    pub peak_requests: usize,
    /// What was measured of membership.
    pub membership: MembershipFigures,
    /// Answers by class and outcome.
    pub answers: BTreeMap<String, [usize; 3]>,
}

impl Report {
    /// Findings, and faults, that are kept with their proof, at most each.
    pub const MAX_REPORTED: usize = 100;

    /// Whether no rule is broken.
    pub fn holds(&self) -> bool {
        self.broken == 0
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
            self.broken, self.events, self.requests, self.attempts, self.excused, self.pending
        )?;
        if self.faulty > 0 { write!(f, "; {} faults of stand-ins", self.faulty) } else { Ok(()) }
    }
}
