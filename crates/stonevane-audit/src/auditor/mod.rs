//! The auditor: takes the records of a history in one pass and collects findings.
//!
//! Each rule has a module of its own. A check uses the bound of each interval that favors the audited node:
//! an answer is late only if the earliest moment at which it can have arrived is past the latest moment at
//! which it was due.

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
use draining::PendingDrainCheck;
use duplicate_effects::Executions;
use evidence::{NumberedRecord, Violation, quote};
use nodes::Node;
use requests::Requests;
use servers::Server;
use values::{Commits, Values};

/// Time in microseconds for which a request is tracked past its deadline, because records of the request may
/// still follow.
const REQUEST_RETENTION_US: u64 = 5_000_000;
/// Delay in microseconds after which every record that could refute a suspected violation has been read.
const SETTLING_DELAY_US: u64 = 1_000_000;

/// Audits the records of a history in one pass; see the crate's documentation.
pub struct Auditor {
    rules: Rc<Rules>,
    report: Report,
    /// Latest time of the records so far, in microseconds.
    now: u64,
    /// Whether [`Event::End`] was read, which means that the history is complete.
    ended: bool,
    requests: Requests,
    values: Values,
    commits: Commits,
    executions: Executions,
    servers: HashMap<String, Server>,
    nodes: HashMap<String, Node>,
    discovery: DiscoveryState,
    pending_drain_checks: VecDeque<PendingDrainCheck>,
    membership: Membership,
    /// The check that a mutant skips; see [`Auditor::mutant`].
    disabled_check: Option<&'static str>,
}

impl Auditor {
    /// Names of all checks. A name is the code of the finding that the check reports, a more specific name if
    /// several checks share a code, or `excuse-` with the reason that excuses an unanswered request or an
    /// unread notification.
    pub const CHECKS: [&'static str; 37] = [
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

    /// Creates an auditor that skips one check of [`Auditor::CHECKS`], for mutation testing of the tests.
    pub fn mutant(rules: Rules, disabled_check: &'static str) -> Self {
        Auditor { disabled_check: Some(disabled_check), ..Auditor::new(rules) }
    }

    fn is_enabled(&self, check: &str) -> bool {
        self.disabled_check != Some(check)
    }

    /// Creates an auditor that has read no record and checks against `rules`.
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
            pending_drain_checks: VecDeque::new(),
            disabled_check: None,
        }
    }

    /// Checks the record on line `number` of the history. Records must arrive in the order of their
    /// `time.latest`.
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
            Event::View => self.view_read(&record),
            Event::Partition => self.partition(&record),
            Event::NetworkConditions => self.network_conditions(&record),
            Event::End => self.ended = true,
            // No rule concerns injected faults or calls to discovery.
            Event::Begin | Event::Fault | Event::Call => {}
        }
    }

    /// Settles all open requests after the last record and returns the report.
    pub fn finish(mut self) -> Report {
        self.settle(u64::MAX, true);
        self.report.peak_requests = self.requests.peak;
        self.report.membership = self.membership.measurements().clone();
        self.report
    }

    /// Records a notification, unless the node has no process that could have read it.
    fn node_notified(&mut self, record: NumberedRecord) {
        let is_gone = self.nodes.get(&record.node).is_some_and(|node| node.is_gone);
        if !(is_gone && self.is_enabled("excuse-untold")) {
            self.discovery.notified(record);
        }
    }

    /// Finishes the checks and settles the requests that are due by `now`.
    fn settle(&mut self, now: u64, history_over: bool) {
        while self.pending_drain_checks.front().is_some_and(|check| check.due <= now) {
            let Some(check) = self.pending_drain_checks.pop_front() else { break };
            self.finish_drain_check(check);
        }
        while let Some((due, id)) = self.requests.pop_due(now) {
            self.settle_request(&id, due, history_over);
        }
        self.executions.expire(now);
    }

    /// Adds a finding to the report, at most once per request and code.
    fn report_violation(&mut self, violation: Violation) {
        let Violation { rule, code, check, request, description, evidence } = violation;
        if !self.is_enabled(check) {
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
        self.report.finding_count += 1;
        if self.report.findings.len() >= Report::MAX_REPORTED {
            return;
        }
        // The first record of the request shows its class, key and deadline.
        let evidence = quote(evidence.into_iter().chain(first_sent).collect());
        self.report.findings.push(Finding { rule, code, request, description, evidence });
    }
}
