//! The rule against duplicate effects: what may have run goes out again only where its class allows it.

use std::collections::{HashMap, HashSet, VecDeque};

use super::Auditor;
use super::evidence::{Accusation, NumberedRecord};
use crate::history::{Effect, HistoryRecord, Outcome};
use crate::report::Rule;
use crate::rules::{ClassRule, DedupScope, Idempotency};

/// An idempotency key is remembered for this long after it last ran, microseconds.
const KEY_RETENTION_US: u64 = 60_000_000;

/// Where an idempotency key has run.
#[derive(Default)]
struct Execution {
    forget_at: u64,
    /// Server and attempt number.
    attempts: HashSet<String>,
}

/// Idempotency keys that ran a short time ago.
#[derive(Default)]
pub(super) struct Executions {
    by_key: HashMap<String, Execution>,
    expiry: VecDeque<(u64, String)>,
}

impl Executions {
    /// Notes that a key ran; returns whether this is the second time.
    fn add(&mut self, attempt: &NumberedRecord) -> bool {
        let forget_at = attempt.time.latest + KEY_RETENTION_US;
        let execution = self.by_key.entry(attempt.idempotency_key.clone()).or_default();
        execution.forget_at = forget_at;
        execution.attempts.insert(format!("{}#{}", attempt.server_name(), attempt.number));
        self.expiry.push_back((forget_at, attempt.idempotency_key.clone()));
        execution.attempts.len() == 2
    }

    /// Forgets what expires by a time.
    pub fn expire(&mut self, now: u64) {
        while self.expiry.front().is_some_and(|(forget_at, _)| *forget_at <= now) {
            let Some((_, key)) = self.expiry.pop_front() else { break };
            if self.by_key.get(&key).is_some_and(|execution| execution.forget_at <= now) {
                self.by_key.remove(&key);
            }
        }
    }
}

impl Auditor {
    /// Counts effects that happened more than once, whoever is to blame.
    pub(super) fn count_execution(&mut self, attempt: &NumberedRecord) {
        if self.executions.add(attempt) {
            self.report.duplicate_effects += 1;
        }
    }

    /// A rejection promises that a retry does no harm.
    pub(super) fn check_rejection(&mut self, id: &str, class: &ClassRule, answer: NumberedRecord) {
        let attempts = self.requests.get(id).map_or(&[][..], |request| &request.attempts);
        let ran = attempts.iter().find(|attempt| attempt.effect == Some(Effect::Ran));
        if let Some(ran) = ran.filter(|_| class.refusal_harms()).cloned() {
            let what = "refused, as if a retry did no harm, though it has run".to_owned();
            let evidence = vec![ran, answer];
            let accusation = Accusation::new(Rule::DuplicateEffects, "refused-after-run", what, evidence);
            self.accuse(accusation.about(id));
        }
    }

    /// An attempt that runs after its request was rejected.
    pub(super) fn check_run_after_rejection(
        &mut self,
        class: &ClassRule,
        attempt: &NumberedRecord,
        answer: Option<NumberedRecord>,
    ) {
        let rejection = answer.filter(|answer| answer.outcome == Some(Outcome::Rejected));
        let harms = class.refusal_harms() && attempt.effect.unwrap_or(Effect::Ran) == Effect::Ran;
        if let Some(rejection) = rejection.filter(|_| harms) {
            let what = "refused, as if a retry did no harm, though it ran".to_owned();
            let evidence = vec![rejection, attempt.clone()];
            let accusation = Accusation::new(Rule::DuplicateEffects, "refused-after-run", what, evidence);
            self.accuse(accusation.about(&attempt.request).judged_by("ran-after-refusal"));
        }
    }

    /// An attempt after earlier ones that ran.
    pub(super) fn check_repeats(
        &mut self,
        class: &ClassRule,
        earlier: &[NumberedRecord],
        attempt: &NumberedRecord,
    ) {
        for ran in earlier.iter().filter(|earlier| earlier.effect == Some(Effect::Ran)) {
            if let Some(accusation) = self.repeat_violation(class, ran, attempt) {
                self.accuse(accusation.about(&attempt.request));
            }
        }
    }

    fn repeat_violation(
        &self,
        class: &ClassRule,
        ran: &NumberedRecord,
        attempt: &NumberedRecord,
    ) -> Option<Accusation> {
        let sent = attempt.first_byte_time().earliest;
        let is_repeat = attempt.effect.unwrap_or(Effect::Ran) == Effect::Ran || sent > ran.time.latest;
        let accusation = |code, what| {
            let evidence = vec![ran.clone(), attempt.clone()];
            Some(Accusation::new(Rule::DuplicateEffects, code, what, evidence))
        };
        match class.kind {
            Idempotency::NonIdempotent if is_repeat => {
                let what = "an unsafe request was sent again after it had run";
                accusation("unsafe-again", what.to_owned())
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
            Idempotency::WithKey if is_repeat && !self.dedups_together(class.scope, ran, attempt) => {
                let what = format!("sent again to {}, which can't know it", attempt.server_name());
                accusation("group", what)
            }
            Idempotency::WithKey => {
                let (late, window_us) = (sent.saturating_sub(ran.time.latest), class.window_us);
                if late <= window_us + self.rules.answer_slack_us {
                    return None;
                }
                accusation("window", format!("sent again {late} us after it ran, past the {window_us} us"))
            }
        }
    }

    /// Whether two servers drop each other's repeats; nothing is proven of servers whose place is not known.
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

    /// A reply shows that an attempt was in flight while its request was sent again, though nobody could know that it
    /// had not run.
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
        let what = "an unsafe request was sent again while its first attempt was out".to_owned();
        let evidence = vec![first.clone(), blind.clone(), reply.clone()];
        let accusation = Accusation::new(Rule::DuplicateEffects, "unsafe-again", what, evidence);
        self.accuse(accusation.about(&reply.request).judged_by("unsafe-blind"));
    }
}
