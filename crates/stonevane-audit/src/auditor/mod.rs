//! The auditor: records in, findings out, in one pass.
//!
//! Each rule has a module of its own. Every accusation uses the bound of each interval that speaks for the accused: an
//! answer is late when the earliest moment at which it can have come is past the latest at which it was due.

mod attempt_integrity;
mod attempts;
mod discovery;
mod draining;
mod duplicate_effects;
mod emulator_faults;
mod evidence;
mod final_answer;
mod limits;
mod load_window;
mod members;
mod nodes;
mod requests;
mod servers;
mod slow_start;
mod values;

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use crate::history::{Event, HistoryRecord};
use crate::membership::Membership;
use crate::report::{Finding, Report};
use crate::rules::Rules;
use discovery::DiscoveryState;
use draining::DrainSuspicion;
use duplicate_effects::Executions;
use evidence::{Accusation, NumberedRecord, quote};
use nodes::Node;
use requests::Requests;
use servers::Server;
use values::{Commits, Values};

/// A request is tracked for this long past its deadline, for what may still come of it, microseconds.
const RETENTION_US: u64 = 5_000_000;
/// All that could clear a suspicion has been read this much later, microseconds.
const SETTLED_US: u64 = 1_000_000;

/// The auditor; see the crate's page.
pub struct Auditor {
    rules: Rc<Rules>,
    report: Report,
    now: u64,
    ended: bool,
    requests: Requests,
    values: Values,
    commits: Commits,
    executions: Executions,
    servers: HashMap<String, Server>,
    nodes: HashMap<String, Node>,
    discovery: DiscoveryState,
    drain_suspicions: VecDeque<DrainSuspicion>,
    membership: Membership,
    /// The judgement that is left out, to see that tests miss it.
    left_out: Option<&'static str>,
}

impl Auditor {
    /// Each judgement, by the code of what it accuses of or, after `excuse-`, what it excuses.
    pub const JUDGEMENTS: [&'static str; 37] = [
        "twice",
        "stray",
        "late",
        "lost",
        "lost-after-reading",
        "unanswered",
        "crashed",
        "crashed-after-term",
        "value",
        "store-value",
        "edit-twice",
        "stale",
        "sent-after-answer",
        "refused-after-run",
        "ran-after-refusal",
        "unsafe-again",
        "unsafe-blind",
        "group",
        "window",
        "drained",
        "drained-deemed",
        "cold-server",
        "origin",
        "unasked",
        "wrong-node",
        "too-early",
        "wrong-key",
        "wrong-class",
        "wrong-token",
        "wrong-body",
        "too-many",
        "second-copy",
        "lingers",
        "excuse-gone",
        "excuse-killed",
        "excuse-dead",
        "excuse-untold",
    ];

    /// An auditor that leaves one judgement of [`Auditor::JUDGEMENTS`] out, for mutation tests of tests.
    pub fn mutant(rules: Rules, without: &'static str) -> Self {
        Auditor { left_out: Some(without), ..Auditor::new(rules) }
    }

    fn judges(&self, judgement: &str) -> bool {
        self.left_out != Some(judgement)
    }

    /// An auditor of these rules.
    pub fn new(rules: Rules) -> Self {
        Auditor {
            membership: Membership::new(rules.membership.clone()),
            rules: Rc::new(rules),
            report: Report::default(),
            now: 0,
            ended: false,
            requests: Requests::default(),
            values: Values::default(),
            commits: Commits::default(),
            executions: Executions::default(),
            servers: HashMap::new(),
            nodes: HashMap::new(),
            discovery: DiscoveryState::default(),
            drain_suspicions: VecDeque::new(),
            left_out: None,
        }
    }

    /// Takes the next record; they come in the order of their `time.latest`.
    pub fn handle_record(&mut self, number: usize, record: HistoryRecord) {
        self.report.events += 1;
        self.now = self.now.max(record.time.latest);
        self.settle(self.now, false);
        self.dispatch(NumberedRecord { line: number, record: Rc::new(record) });
    }

    fn dispatch(&mut self, record: NumberedRecord) {
        match record.event {
            Event::Request => self.request_sent(record),
            Event::Answer => self.answer_received(record),
            Event::ClientLeft => self.client_left(record),
            Event::Closed => self.connection_closed(record),
            Event::UnsolicitedResponse => self.unsolicited_response(record),
            Event::Attempt => self.attempt_received(record),
            Event::Reply => self.attempt_answered(&record),
            Event::AttemptEnded => self.attempt_ended(record),
            Event::Start => self.server_started(record),
            Event::Down => self.server_down(&record),
            Event::Change => self.discovery.updated(record),
            Event::Notified => self.node_notified(record),
            Event::Node => {
                self.member_state(&record);
                self.node_state(record);
            }
            Event::Committed => self.version_committed(record),
            Event::View => self.membership_view(&record),
            Event::Partition => self.partition(&record),
            Event::NetworkConditions => self.network_conditions(&record),
            Event::End => self.ended = true,
            // Faults and calls to discovery break no rule.
            Event::Begin | Event::Fault | Event::Call => {}
        }
    }

    /// The verdict, once the last record was taken.
    pub fn finish(mut self) -> Report {
        self.settle(u64::MAX, true);
        self.report.peak_requests = self.requests.peak;
        self.report.membership = self.membership.figures().clone();
        self.report
    }

    /// A node was notified of a server, unless it has no process that could have read it.
    fn node_notified(&mut self, record: NumberedRecord) {
        let is_gone = self.nodes.get(&record.node).is_some_and(|node| node.is_gone);
        if !(is_gone && self.judges("excuse-untold")) {
            self.discovery.notified(record);
        }
    }

    /// Settles what is due by a time.
    fn settle(&mut self, now: u64, history_over: bool) {
        while self.drain_suspicions.front().is_some_and(|suspicion| suspicion.due <= now) {
            let Some(suspicion) = self.drain_suspicions.pop_front() else { break };
            self.judge_drain(suspicion);
        }
        while let Some((due, id)) = self.requests.pop_due(now) {
            self.settle_request(&id, due, history_over);
        }
        self.executions.expire(now);
    }

    /// Adds a finding, once for each request and code.
    fn accuse(&mut self, accusation: Accusation) {
        let Accusation { rule, code, judgement, request, what, evidence } = accusation;
        if !self.judges(judgement) {
            return;
        }
        let tracked = self.requests.get_mut(&request);
        let first_sent = tracked.as_ref().and_then(|tracked| tracked.sends.first()).cloned();
        if let Some(tracked) = tracked {
            if tracked.reported.contains(&code) {
                return;
            }
            tracked.reported.push(code);
        }
        self.report.broken += 1;
        if self.report.findings.len() >= Report::MAX_REPORTED {
            return;
        }
        // A request's own first record tells what it was.
        let evidence = quote(evidence.into_iter().chain(first_sent).collect());
        self.report.findings.push(Finding { rule, code, request, what, evidence });
    }
}
