//! The draining rule: once a grace period is over, nodes send no new attempts to a server that drains or is
//! gone.

use super::evidence::{NumberedRecord, Violation};
use super::{Auditor, SETTLING_DELAY_US};
use crate::report::Rule;

/// An attempt that may violate the rule. The check finishes once every record that could refute the violation
/// has been read.
pub(super) struct PendingDrainCheck {
    pub due: u64,
    attempt: NumberedRecord,
    announcement: NumberedRecord,
    /// `true` if the node received a notification of the drain; `false` if it only counts as notified,
    /// because discovery registered the drain long enough ago.
    was_notified: bool,
}

impl Auditor {
    /// Schedules a check of an attempt that arrived too late after its server's drain was announced.
    pub(super) fn check_drain(&mut self, attempt: &NumberedRecord) {
        let grace = self.rules.drain_grace_us + self.rules.answer_slack_us;
        let (node, server) = (attempt.node.as_str(), attempt.server_name());
        let sent = attempt.first_byte_time().earliest;
        let notified = self.discovery.drain_known_to(node, server);
        if let Some(notified) = notified.filter(|notified| sent > notified.time.latest + grace) {
            return self.schedule_drain_check(attempt, notified, true);
        }
        let assumed_after = self.rules.assumed_notified_us;
        let Some(update) = self.discovery.drain_of(server) else { return };
        // A node that has just started may have an old server list, so the time until it counts as notified
        // begins at its start.
        let ready = self.nodes.get(node).and_then(|node| node.ready).map_or(0, |ready| ready.latest);
        let known_at = update.time.latest.max(ready) + assumed_after;
        if assumed_after > 0 && sent > known_at + grace {
            self.schedule_drain_check(attempt, update, false);
        }
    }

    fn schedule_drain_check(
        &mut self,
        attempt: &NumberedRecord,
        announcement: NumberedRecord,
        was_notified: bool,
    ) {
        let due = attempt.time.latest + SETTLING_DELAY_US;
        let attempt = attempt.clone();
        self.pending_drain_checks.push_back(PendingDrainCheck { due, attempt, announcement, was_notified });
    }

    /// Finishes a check, once every record that could refute the violation has been read.
    pub(super) fn finish_drain_check(&mut self, check: PendingDrainCheck) {
        let PendingDrainCheck { attempt, announcement, was_notified, .. } = check;
        let (node, server) = (attempt.node.as_str(), attempt.server_name());
        // The server may have been announced as active again before the attempt was sent.
        let (from, until) = (announcement.time.earliest, attempt.time.latest);
        let may_be_active = match was_notified {
            true => self.discovery.may_be_notified_active(node, server, from, until),
            false => self.discovery.may_be_active(server, from, until),
        };
        if may_be_active {
            return;
        }
        let late = attempt.first_byte_time().earliest - announcement.time.latest;
        let how = if was_notified { "was notified" } else { "counts as told" };
        let status = &announcement.status;
        let what = format!("sent to {server} at least {late} us after node {node} {how} of its {status}");
        let check = if was_notified { "drained" } else { "drained-deemed" };
        let request = attempt.request.clone();
        let violation = Violation::new(Rule::Draining, "drained", what, vec![announcement, attempt]);
        self.report_violation(violation.about(&request).with_check(check));
    }
}
