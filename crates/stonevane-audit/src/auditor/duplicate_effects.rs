//! The rule against duplicate effects: a request that may have run is sent again only if its class allows it.

use std::collections::{HashMap, HashSet, VecDeque};

use super::Auditor;
use super::evidence::{NumberedRecord, Violation};
use crate::history::{Effect, HistoryRecord, Outcome};
use crate::report::Rule;
use crate::rules::{ClassRule, DedupScope, Idempotency};

/// Time in microseconds for which the auditor keeps an idempotency key after the key's last execution.
const KEY_RETENTION_US: u64 = 60_000_000;

/// Executions of an idempotency key.
#[derive(Default)]
struct Execution {
    expires_at: u64,
    /// Attempts that ran with the key, each as server name and attempt number.
    attempts: HashSet<String>,
}

/// Idempotency keys that ran within [`KEY_RETENTION_US`].
#[derive(Default)]
pub(super) struct Executions {
    by_key: HashMap<String, Execution>,
    /// Keys with the times at which they expire, in the order of execution.
    expiry: VecDeque<(u64, String)>,
}

impl Executions {
    /// Adds an execution of a key; returns whether it is the key's second execution.
    fn add(&mut self, attempt: &NumberedRecord) -> bool {
        let expires_at = attempt.time.latest + KEY_RETENTION_US;
        let execution = self.by_key.entry(attempt.idempotency_key.clone()).or_default();
        execution.expires_at = expires_at;
        execution.attempts.insert(format!("{}#{}", attempt.server_name(), attempt.number));
        self.expiry.push_back((expires_at, attempt.idempotency_key.clone()));
        execution.attempts.len() == 2
    }

    /// Removes the keys that expire by `now`.
    pub fn expire(&mut self, now: u64) {
        while self.expiry.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            let Some((_, key)) = self.expiry.pop_front() else { break };
            if self.by_key.get(&key).is_some_and(|execution| execution.expires_at <= now) {
                self.by_key.remove(&key);
            }
        }
    }
}

impl Auditor {
    /// Counts the idempotency keys that ran more than once, regardless of who sent the repeat.
    pub(super) fn count_execution(&mut self, attempt: &NumberedRecord) {
        if self.executions.add(attempt) {
            self.report.duplicate_effects += 1;
        }
    }

    /// Checks that a rejected request has not run if its class is not idempotent, because a rejection states
    /// that a retry is safe.
    pub(super) fn check_rejection(&mut self, id: &str, class: &ClassRule, answer: NumberedRecord) {
        let attempts = self.requests.get(id).map_or(&[][..], |request| &request.attempts);
        let ran = attempts.iter().find(|attempt| attempt.effect == Some(Effect::Ran));
        if let Some(ran) = ran.filter(|_| class.forbids_rejection_after_run()).cloned() {
            let what = "rejected, which states that a retry is safe, after it had run".to_owned();
            let evidence = vec![ran, answer];
            let violation = Violation::new(Rule::DuplicateEffects, "refused-after-run", what, evidence);
            self.report_violation(violation.about(id));
        }
    }

    /// Checks that an attempt of a class that is not idempotent does not run after its request was rejected.
    pub(super) fn check_run_after_rejection(
        &mut self,
        class: &ClassRule,
        attempt: &NumberedRecord,
        answer: Option<NumberedRecord>,
    ) {
        let rejection = answer.filter(|answer| answer.outcome == Some(Outcome::Rejected));
        let ran_unsafely =
            class.forbids_rejection_after_run() && attempt.effect.unwrap_or(Effect::Ran) == Effect::Ran;
        if let Some(rejection) = rejection.filter(|_| ran_unsafely) {
            let what = "rejected, which states that a retry is safe, and ran afterwards".to_owned();
            let evidence = vec![rejection, attempt.clone()];
            let violation = Violation::new(Rule::DuplicateEffects, "refused-after-run", what, evidence);
            self.report_violation(violation.about(&attempt.request).with_check("ran-after-refusal"));
        }
    }

    /// Checks an attempt against the earlier attempts of its request that ran.
    pub(super) fn check_repeats(
        &mut self,
        class: &ClassRule,
        earlier: &[NumberedRecord],
        attempt: &NumberedRecord,
    ) {
        for ran in earlier.iter().filter(|earlier| earlier.effect == Some(Effect::Ran)) {
            if let Some(violation) = self.repeat_violation(class, ran, attempt) {
                self.report_violation(violation.about(&attempt.request));
            }
        }
    }

    fn repeat_violation(
        &self,
        class: &ClassRule,
        ran: &NumberedRecord,
        attempt: &NumberedRecord,
    ) -> Option<Violation> {
        let sent = attempt.first_byte_time().earliest;
        let is_repeat = attempt.effect.unwrap_or(Effect::Ran) == Effect::Ran || sent > ran.time.latest;
        let violation = |code, what| {
            let evidence = vec![ran.clone(), attempt.clone()];
            Some(Violation::new(Rule::DuplicateEffects, code, what, evidence))
        };
        match class.kind {
            Idempotency::NonIdempotent if is_repeat => {
                let what = "a request that is not idempotent was sent again after it had run";
                violation("unsafe-again", what.to_owned())
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
            Idempotency::WithKey if is_repeat && !self.dedups_together(class.scope, ran, attempt) => {
                let what = format!(
                    "sent again to {}, which does not share idempotency keys with the server where it ran",
                    attempt.server_name()
                );
                violation("group", what)
            }
            Idempotency::WithKey => {
                let (late, window_us) = (sent.saturating_sub(ran.time.latest), class.window_us);
                if late <= window_us + self.rules.answer_slack_us {
                    return None;
                }
                violation(
                    "window",
                    format!("sent again {late} us after it ran; repeats are dropped for {window_us} us"),
                )
            }
        }
    }

    /// Returns whether two servers deduplicate each other's repeats. Returns `true` if the zone and cell of
    /// either server are unknown, because then nothing is proven.
    fn dedups_together(&self, scope: DedupScope, one: &HistoryRecord, other: &HistoryRecord) -> bool {
        let known = |record: &HistoryRecord| {
            self.servers.get(record.server_name()).filter(|server| server.start.is_some())
        };
        let (Some(one), Some(other)) = (known(one), known(other)) else { return true };
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => one.zone == other.zone,
            DedupScope::Cell => one.cell == other.cell,
        }
    }

    /// Checks that a request that is not idempotent was not sent again while an earlier attempt was in
    /// flight. The reply to the earlier attempt proves that the node could not know whether that attempt had
    /// run.
    pub(super) fn check_blind_repeat(&mut self, reply: &NumberedRecord) {
        let Some(request) = self.requests.get(&reply.request) else { return };
        if request.class(&self.rules).kind != Idempotency::NonIdempotent {
            return;
        }
        let Some(first) = request.attempts.iter().find(|attempt| attempt.is_same_attempt(reply)) else {
            return;
        };
        let is_blind = |attempt: &&NumberedRecord| {
            first.time.latest < attempt.first_byte_time().earliest
                && attempt.time.latest < reply.time.earliest
                && attempt.effect != Some(Effect::NotReceived)
        };
        let Some(blind) = request.attempts.iter().find(is_blind) else { return };
        let what = "a request that is not idempotent was sent again while its first attempt was in flight"
            .to_owned();
        let evidence = vec![first.clone(), blind.clone(), reply.clone()];
        let violation = Violation::new(Rule::DuplicateEffects, "unsafe-again", what, evidence);
        self.report_violation(violation.about(&reply.request).with_check("unsafe-blind"));
    }
}
