//! What became of each node's process.

use std::collections::VecDeque;

use super::Auditor;
use super::evidence::{Accusation, NumberedRecord};
use crate::interval::TimeInterval;
use crate::report::Rule;

/// Kills, outages and pauses of a node that are remembered, at most each.
const MAX_REMEMBERED: usize = 8;
/// After a pause a process has to catch up first: what it does may be this late, microseconds.
const CATCH_UP_US: u64 = 500_000;

/// A stretch of time, `until` being `u64::MAX` while it lasts.
struct Stretch {
    from: u64,
    until: u64,
}

impl Stretch {
    fn overlaps(&self, from: u64, until: u64) -> bool {
        self.from <= until && self.until >= from
    }
}

fn remember(stretches: &mut VecDeque<Stretch>, from: u64) {
    stretches.push_back(Stretch { from, until: u64::MAX });
    if stretches.len() > MAX_REMEMBERED {
        stretches.pop_front();
    }
}

/// A node's process.
#[derive(Default)]
pub(super) struct Node {
    pub ready: Option<TimeInterval>,
    term: Option<NumberedRecord>,
    /// Kills that excuse what they find unanswered.
    kills: Vec<NumberedRecord>,
    /// There is no process: what discovery writes to it is read by nobody.
    pub is_gone: bool,
    outages: VecDeque<Stretch>,
    /// Times in which it was stopped, or had a small part of its time only.
    pauses: VecDeque<Stretch>,
    active_pauses: usize,
}

impl Node {
    /// Whether what a client wrote within an interval may have come to no process.
    pub fn may_be_down(&self, written: TimeInterval) -> bool {
        self.outages.iter().any(|outage| outage.overlaps(written.earliest, written.latest))
    }

    /// Whether it may have been paused in some of a time: what it owed then could not be answered.
    pub fn may_be_paused(&self, from: u64, until: u64) -> bool {
        self.pauses.iter().any(|pause| pause.overlaps(from, until))
    }

    /// Whether it may have been killed between a moment and a deadline.
    pub fn may_be_killed(&self, from: u64, until: u64) -> bool {
        self.kills.iter().any(|kill| kill.time.latest >= from && kill.time.earliest <= until)
    }

    fn pause(&mut self, time: TimeInterval) {
        self.active_pauses += 1;
        if self.active_pauses == 1 {
            remember(&mut self.pauses, time.earliest);
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
        // An end that is noted twice is one.
        if self.outages.back().is_none_or(|outage| outage.until < u64::MAX) {
            remember(&mut self.outages, time.earliest);
        }
    }

    fn excuse_by_kill(&mut self, kill: NumberedRecord) {
        self.kills.push(kill);
        let excess = self.kills.len().saturating_sub(MAX_REMEMBERED);
        self.kills.drain(..excess);
    }
}

impl Auditor {
    /// The state of a node's process has changed.
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
                let what = format!("node {} did not exit with 0 after SIGTERM", record.node);
                let accusation = Accusation::new(Rule::FinalAnswer, "crashed", what, vec![record]);
                self.accuse(accusation.judged_by("crashed-after-term"));
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
            node.excuse_by_kill(kill.clone());
        }
        self.discovery.forget_node(&kill.node);
        if let Some((term, since_term)) = term.zip(since_term) {
            self.check_shutdown_time(term, kill, since_term);
        }
    }

    fn node_exited(&mut self, exit: NumberedRecord) {
        let node = self.nodes.entry(exit.node.clone()).or_default();
        node.ended(exit.time);
        let was_asked_to = node.term.is_some();
        self.discovery.forget_node(&exit.node);
        if !was_asked_to {
            let what = format!("node {} ended by itself", exit.node);
            self.accuse(Accusation::new(Rule::FinalAnswer, "crashed", what, vec![exit]));
        }
    }
}
