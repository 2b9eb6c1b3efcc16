//! Passes the attempts at servers to the checks that concern them.

use super::Auditor;
use super::evidence::NumberedRecord;
use crate::history::Effect;

impl Auditor {
    /// Handles the arrival of an attempt at a server.
    pub(super) fn attempt_received(&mut self, attempt: NumberedRecord) {
        self.report.attempts += 1;
        let effect = attempt.effect.unwrap_or(Effect::Ran);
        let server = self.servers.get(attempt.server_name());
        let is_cold = server.is_some_and(|server| server.is_cold_at(attempt.time.latest));
        let request = self.requests.track(&attempt);
        request.cold_miss |= is_cold && effect == Effect::Miss;
        let cold_miss = request.cold_miss;
        let mut class = request.class(&self.rules);
        if class.name.is_empty() {
            class = self.rules.class(&attempt.class);
        }
        let answer = request.answer.clone();
        let earlier = std::mem::take(&mut request.attempts);
        if effect != Effect::NotReceived {
            self.check_run_after_rejection(&class, &attempt, answer.clone());
            self.check_repeats(&class, &earlier, &attempt);
            self.check_sent_after_answer(&attempt, answer);
            self.check_drain(&attempt);
            self.check_overload(&attempt, cold_miss);
        }
        if effect == Effect::Ran && !attempt.idempotency_key.is_empty() {
            self.count_execution(&attempt);
            self.check_server_dedup(&class, &attempt);
        }
        let server = self.server_of(&attempt);
        server.highest_attempt_number = server.highest_attempt_number.max(attempt.number);
        let request = self.requests.track(&attempt);
        request.attempts = earlier;
        request.attempts.push(attempt);
    }

    /// Handles a server's answer to an attempt.
    pub(super) fn attempt_answered(&mut self, reply: &NumberedRecord) {
        self.check_reply(reply);
        self.requests.track(reply).replies.push(reply.clone());
        self.values.add(&reply.value, &reply.request);
        self.check_blind_repeat(reply);
    }

    /// Handles the end of an attempt without a complete answer, for example by the close of its connection.
    pub(super) fn attempt_ended(&mut self, end: NumberedRecord) {
        self.requests.track(&end).replies.push(end);
    }
}
