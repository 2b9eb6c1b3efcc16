//! State of each node's process. Its kills, outages and pauses excuse unanswered requests.

use std::collections::VecDeque;

use super::Auditor;
use super::evidence::{NumberedRecord, Violation};
use crate::interval::TimeInterval;
use crate::report::Rule;

/// Maximum number of entries that are kept per node for each of kills, outages and pauses.
const MAX_ENTRIES_PER_KIND: usize = 8;
/// Time in microseconds after a pause during which a process may still answer late, because it works off its
/// backlog.
const CATCH_UP_US: u64 = 500_000;

/// A period of time in microseconds; `until` is `u64::MAX` if the period has not ended.
struct Period {
    from: u64,
    until: u64,
}

impl Period {
    fn overlaps(&self, from: u64, until: u64) -> bool {
        self.from <= until && self.until >= from
    }
}

fn push_open_period(periods: &mut VecDeque<Period>, from: u64) {
    periods.push_back(Period { from, until: u64::MAX });
    if periods.len() > MAX_ENTRIES_PER_KIND {
        periods.pop_front();
    }
}

/// State of a node's process.
#[derive(Default)]
pub(super) struct Node {
    pub ready: Option<TimeInterval>,
    term: Option<NumberedRecord>,
    /// Kills that excuse unanswered requests: those without SIGTERM before them, or within the kill grace
    /// after it.
    excusing_kills: Vec<NumberedRecord>,
    /// Whether there is no process, so that no notification from discovery is read.
    pub is_gone: bool,
    /// Periods without a ready process.
    outages: VecDeque<Period>,
    /// Periods in which the process was stopped or limited to a small share of CPU time.
    pauses: VecDeque<Period>,
    /// Number of pauses in force; pauses may overlap.
    active_pauses: usize,
}

impl Node {
    /// Returns whether bytes that a client wrote within an interval may have reached no process.
    pub fn may_be_down(&self, written: TimeInterval) -> bool {
        self.outages.iter().any(|outage| outage.overlaps(written.earliest, written.latest))
    }

    /// Returns whether the process may have been paused at some moment between `from` and `until`, which
    /// excuses a missing or late answer.
    pub fn may_be_paused(&self, from: u64, until: u64) -> bool {
        self.pauses.iter().any(|pause| pause.overlaps(from, until))
    }

    /// Returns whether the process may have been killed between `from` and `until`.
    pub fn may_be_killed(&self, from: u64, until: u64) -> bool {
        self.excusing_kills.iter().any(|kill| kill.time.latest >= from && kill.time.earliest <= until)
    }

    fn pause(&mut self, time: TimeInterval) {
        self.active_pauses += 1;
        if self.active_pauses == 1 {
            push_open_period(&mut self.pauses, time.earliest);
        }
    }

    fn resume(&mut self, time: TimeInterval) {
        self.active_pauses = self.active_pauses.saturating_sub(1);
        if self.active_pauses == 0
            && let Some(pause) = self.pauses.back_mut()
        {
            pause.until = pause.until.min(time.latest + CATCH_UP_US);
        }
    }

    fn became_ready(&mut self, time: TimeInterval) {
        self.is_gone = false;
        self.ready = Some(time);
        self.term = None;
        if let Some(outage) = self.outages.back_mut().filter(|outage| outage.until == u64::MAX) {
            outage.until = time.latest;
        }
    }

    fn ended(&mut self, time: TimeInterval) {
        if self.active_pauses > 0 {
            self.active_pauses = 1;
            self.resume(time);
        }
        self.is_gone = true;
        // A history may record the end of one process twice; the second record begins no new outage.
        if self.outages.back().is_none_or(|outage| outage.until < u64::MAX) {
            push_open_period(&mut self.outages, time.earliest);
        }
    }

    fn add_excusing_kill(&mut self, kill: NumberedRecord) {
        self.excusing_kills.push(kill);
        let excess = self.excusing_kills.len().saturating_sub(MAX_ENTRIES_PER_KIND);
        self.excusing_kills.drain(..excess);
    }
}

impl Auditor {
    /// Handles a change of the state of a node's process.
    pub(super) fn node_state(&mut self, record: NumberedRecord) {
        let node = self.nodes.entry(record.node.clone()).or_default();
        match record.state.as_str() {
            "starting" => node.is_gone = false,
            "ready" => node.became_ready(record.time),
            "term" => node.term = Some(record),
            "paused" | "slowed" => node.pause(record.time),
            "resumed" | "steady" => node.resume(record.time),
            "killed" => self.node_killed(record),
            "exited" => self.node_exited(record),
            "crashed" => {
                let what = format!("node {} exited with a code other than 0 after SIGTERM", record.node);
                let violation = Violation::new(Rule::FinalAnswer, "crashed", what, vec![record]);
                self.report_violation(violation.with_check("crashed-after-term"));
            }
            _ => {}
        }
    }

    fn node_killed(&mut self, kill: NumberedRecord) {
        let kill_grace = self.rules.kill_grace_us;
        let node = self.nodes.entry(kill.node.clone()).or_default();
        node.ended(kill.time);
        let term = node.term.clone();
        let since_term = term.as_ref().map(|term| kill.time.earliest.saturating_sub(term.time.latest));
        if since_term.is_none_or(|since_term| since_term <= kill_grace) {
            node.add_excusing_kill(kill.clone());
        }
        self.discovery.forget_node(&kill.node);
        if let Some((term, since_term)) = term.zip(since_term) {
            self.check_shutdown_time(term, kill, since_term);
        }
    }

    fn node_exited(&mut self, exit: NumberedRecord) {
        let node = self.nodes.entry(exit.node.clone()).or_default();
        node.ended(exit.time);
        let had_sigterm = node.term.is_some();
        self.discovery.forget_node(&exit.node);
        if !had_sigterm {
            let what = format!("node {} exited without SIGTERM", exit.node);
            self.report_violation(Violation::new(Rule::FinalAnswer, "crashed", what, vec![exit]));
        }
    }
}
