//! What an audit found.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::membership::MembershipFigures;

/// One of the four rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request taken gets exactly one final answer in time, and no value but one made for it.
    #[serde(rename = "answered")]
    FinalAnswer,
    /// Nothing that may have run goes out again unless its class allows it.
    #[serde(rename = "once")]
    DuplicateEffects,
    /// Nothing new to a server past its drain's grace.
    #[serde(rename = "drained")]
    Draining,
    /// No cold server, and no origin through cold servers' misses, pushed over.
    #[serde(rename = "cold")]
    SlowStart,
    /// Each attempt is what was asked: of a request that a client asked of that node, with its key, class, token
    /// and value.
    #[serde(rename = "tied")]
    AttemptIntegrity,
    /// The deployment's limits: attempts for a request, second copies, the time to end after SIGTERM.
    Limits,
    /// What nodes hold of one another.
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
        lines(f, &self.evidence)
    }
}

/// A fault of a server that served as a witness: the lab's stand-in, and not the node, did what it must not.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fault {
    /// The server.
    pub server: String,
    /// Which fault.
    pub code: &'static str,
    /// What happened, in a sentence.
    pub what: String,
    /// The lines that prove it, in their order.
    pub evidence: Vec<Evidence>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stand-in {} is at fault, {}: {}", self.server, self.code, self.what)?;
        lines(f, &self.evidence)
    }
}

fn lines(f: &mut fmt::Formatter<'_>, evidence: &[Evidence]) -> fmt::Result {
    evidence.iter().try_for_each(|line| write!(f, "\n    line {}: {}", line.line, line.text))
}

/// The whole verdict.
#[derive(Debug, Clone, PartialEq, Serialize, Default)]
pub struct Report {
    /// Rules broken, in the order in which they were proven; at most [`Report::MOST`] are kept.
    pub findings: Vec<Finding>,
    /// How many there were in all.
    pub broken: usize,
    /// Faults of stand-ins, in the order in which they were proven; at most [`Report::MOST`] are kept.
    pub faults: Vec<Fault>,
    /// How many there were in all. A verdict on nodes is worth little where there are any.
    pub faulty: usize,
    /// Events read.
    pub events: usize,
    /// Requests asked.
    pub requests: usize,
    /// Attempts that came to servers.
    pub attempts: usize,
    /// Requests that stood unanswered when the history ended, their time not over yet.
    #[serde(rename = "unsettled")]
    pub pending: usize,
    /// Requests that a client left or whose node was killed.
    pub excused: usize,
    /// Idempotency keys whose effect happened more than once, whoever sent the repeat.
    #[serde(rename = "tokens_run_twice")]
    pub duplicate_effects: usize,
    /// Times that the origin got more than its budget without its being held against the nodes.
    pub origin_overruns: usize,
    /// The most requests and recent ones that were held at once.
    #[serde(rename = "held_at_most")]
    pub peak_requests: usize,
    /// What was measured of membership.
    pub membership: MembershipFigures,
    /// Answers by class and outcome.
    pub answers: BTreeMap<String, [usize; 3]>,
}

impl Report {
    /// Findings kept with their proof.
    pub const MOST: usize = 100;

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
