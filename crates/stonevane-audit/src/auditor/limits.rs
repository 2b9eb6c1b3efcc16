//! The limits of the deployment: attempts per request, hedged requests, duration of a graceful shutdown.

use std::collections::BTreeSet;

use super::Auditor;
use super::evidence::{NumberedRecord, Violation};
use crate::history::Effect;
use crate::report::Rule;

impl Auditor {
    /// Checks the attempts that each node made for a request.
    pub(super) fn check_limits(
        &mut self,
        id: &str,
        sends: &[NumberedRecord],
        attempts: &[NumberedRecord],
        replies: &[NumberedRecord],
    ) {
        let nodes: BTreeSet<&str> = sends.iter().map(|sent| sent.node.as_str()).collect();
        for node in nodes {
            let received = |attempt: &&NumberedRecord| attempt.effect != Some(Effect::NotReceived);
            let own = attempts.iter().filter(received).filter(|attempt| attempt.node == node);
            let own: Vec<NumberedRecord> = own.cloned().collect();
            let times_sent = sends.iter().filter(|sent| sent.node == node).count();
            self.check_attempt_count(id, node, times_sent, &own);
            if !self.rules.hedging {
                self.check_hedging(id, &own, replies);
            }
        }
    }

    fn check_attempt_count(&mut self, id: &str, node: &str, times_sent: usize, attempts: &[NumberedRecord]) {
        let max_attempts = self.rules.max_attempts as usize;
        if max_attempts > 0 && attempts.len() > max_attempts * times_sent {
            let what = format!("{} attempts by node {node}; the limit is {max_attempts}", attempts.len());
            self.report_violation(
                Violation::new(Rule::Limits, "too-many", what, attempts.to_vec()).about(id),
            );
        }
    }

    fn check_hedging(&mut self, id: &str, attempts: &[NumberedRecord], replies: &[NumberedRecord]) {
        for (position, second) in attempts.iter().enumerate() {
            let earlier = attempts[..position].iter();
            let Some(first) = earlier.clone().find(|first| is_in_flight(first, second, replies)) else {
                continue;
            };
            let what = format!(
                "a hedged request was sent while the first attempt was in flight at {}",
                first.server_name()
            );
            let evidence = vec![first.clone(), second.clone()];
            return self
                .report_violation(Violation::new(Rule::Limits, "second-copy", what, evidence).about(id));
        }
    }

    /// Checks the time between SIGTERM and the kill of a node that had not exited.
    pub(super) fn check_shutdown_time(&mut self, term: NumberedRecord, kill: NumberedRecord, took_us: u64) {
        let limit = self.rules.shutdown_limit_us;
        if limit > 0 && took_us > limit {
            let what = format!(
                "node {} had not exited {took_us} us after SIGTERM; the limit is {limit} us",
                kill.node
            );
            self.report_violation(Violation::new(Rule::Limits, "lingers", what, vec![term, kill]));
        }
    }
}

/// Returns whether the first attempt was certainly in flight when the second one was sent: its server
/// received it earlier, and it ended later or never.
fn is_in_flight(first: &NumberedRecord, second: &NumberedRecord, replies: &[NumberedRecord]) -> bool {
    let mut ends = replies.iter().filter(|reply| reply.is_same_attempt(first));
    first.time.latest < second.first_byte_time().earliest
        && first.effect != Some(Effect::Busy)
        && !ends.any(|end| end.time.earliest <= second.time.latest)
}
