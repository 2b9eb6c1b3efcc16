//! The draining rule: nothing new to a server that drains or is gone, past a grace period.

use super::evidence::{Accusation, NumberedRecord};
use super::{Auditor, SETTLED_US};
use crate::report::Rule;

/// An attempt that may break the rule, judged once all that could clear it has been read.
pub(super) struct DrainSuspicion {
    pub due: u64,
    attempt: NumberedRecord,
    announcement: NumberedRecord,
    /// Whether the node was notified of the drain, or only counts as notified.
    was_notified: bool,
}

impl Auditor {
    /// Suspects an attempt that came too late after its server's drain was announced.
    pub(super) fn check_drain(&mut self, attempt: &NumberedRecord) {
        let grace = self.rules.drain_grace_us + self.rules.answer_slack_us;
        let (node, server) = (attempt.node.as_str(), attempt.server_name());
        let sent = attempt.first_byte_time().earliest;
        let notified = self.discovery.drain_known_to(node, server);
        if let Some(notified) = notified.filter(|notified| sent > notified.time.latest + grace) {
            return self.suspect_drain(attempt, notified, true);
        }
        let assumed_after = self.rules.assumed_notified_us;
        let Some(update) = self.discovery.drain_of(server) else { return };
        // A node that has just started with an old list is given the same time.
        let ready = self.nodes.get(node).and_then(|node| node.ready).map_or(0, |ready| ready.latest);
        let known_at = update.time.latest.max(ready) + assumed_after;
        if assumed_after > 0 && sent > known_at + grace {
            self.suspect_drain(attempt, update, false);
        }
    }

    fn suspect_drain(&mut self, attempt: &NumberedRecord, announcement: NumberedRecord, was_notified: bool) {
        let due = attempt.time.latest + SETTLED_US;
        let attempt = attempt.clone();
        self.drain_suspicions.push_back(DrainSuspicion { due, attempt, announcement, was_notified });
    }

    /// Judges a suspicion, now that all that could clear it has been read.
    pub(super) fn judge_drain(&mut self, suspicion: DrainSuspicion) {
        let DrainSuspicion { attempt, announcement, was_notified, .. } = suspicion;
        let (node, server) = (attempt.node.as_str(), attempt.server_name());
        // It may have been announced as active before the attempt was sent.
        let (from, until) = (announcement.time.earliest, attempt.time.latest);
        let cleared = match was_notified {
            true => self.discovery.may_be_notified_active(node, server, from, until),
            false => self.discovery.may_be_active(server, from, until),
        };
        if cleared {
            return;
        }
        let late = attempt.first_byte_time().earliest - announcement.time.latest;
        let how = if was_notified { "was told" } else { "counts as told" };
        let status = &announcement.status;
        let what = format!("sent to {server} at least {late} us after node {node} {how} of its {status}");
        let judgement = if was_notified { "drained" } else { "drained-deemed" };
        let request = attempt.request.clone();
        let accusation = Accusation::new(Rule::Draining, "drained", what, vec![announcement, attempt]);
        self.accuse(accusation.about(&request).judged_by(judgement));
    }
}
