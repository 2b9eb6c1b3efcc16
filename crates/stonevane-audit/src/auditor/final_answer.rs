//! The final-answer rule: each request gets exactly one final answer, in time.
//!
//! A request without an answer is excused if its client left or its node was killed, paused or not running.

use super::evidence::{NumberedRecord, Violation};
use super::requests::Request;
use super::{Auditor, REQUEST_RETENTION_US, SETTLING_DELAY_US};
use crate::history::Outcome;
use crate::report::Rule;

impl Auditor {
    /// Handles the send of a request, or its resend after the node closed the connection while the request
    /// was on its way.
    pub(super) fn request_sent(&mut self, record: NumberedRecord) {
        let id = record.request.clone();
        let request = self.requests.track(&record);
        let is_first = request.sends.is_empty();
        request.sends.push(record.clone());
        let closed = request.closed.take();
        // An attempt before the resend proves that the node had read the request before it closed the
        // connection, so the close did not cross the request.
        let read = request.attempts.iter().find(|attempt| attempt.time.latest < record.time.earliest);
        let read = read.cloned();
        self.requests.settle_at(record.deadline + self.rules.answer_slack_us + REQUEST_RETENTION_US, &id);
        if is_first {
            self.report.requests += 1;
        } else if let (Some(closed), Some(read)) = (closed, read) {
            let what = format!(
                "node {} had read the request and closed its connection without an answer",
                closed.node
            );
            let violation = Violation::new(Rule::FinalAnswer, "lost", what, vec![read, closed, record]);
            self.report_violation(violation.about(&id).with_check("lost-after-reading"));
        }
    }

    /// Handles the final answer to a request.
    pub(super) fn answer_received(&mut self, record: NumberedRecord) {
        let id = record.request.clone();
        let request = self.requests.track(&record);
        if let Some(first) = request.answer.clone() {
            let what = "a second final answer".to_owned();
            let violation = Violation::new(Rule::FinalAnswer, "twice", what, vec![first, record]);
            return self.report_violation(violation.about(&id));
        }
        request.answer = Some(record.clone());
        let sent = request.sends.last().cloned();
        let class = request.class(&self.rules);
        let outcome = record.outcome.unwrap_or(Outcome::Failed);
        let class_name = sent.as_ref().map_or("", |sent| sent.class.as_str()).to_owned();
        self.report.answers.entry(class_name).or_default()[outcome as usize] += 1;
        if let Some(sent) = sent {
            self.check_deadline(&id, sent, &record);
        }
        match outcome {
            Outcome::Served => self.check_value(&id, &class, record),
            Outcome::Rejected => self.check_rejection(&id, &class, record),
            Outcome::Failed => {}
        }
    }

    fn check_deadline(&mut self, id: &str, sent: NumberedRecord, answer: &NumberedRecord) {
        let due = sent.deadline + self.rules.answer_slack_us;
        let node = self.nodes.get(&sent.node);
        let paused = node.is_some_and(|node| node.may_be_paused(sent.time.earliest, due));
        if answer.time.earliest > due && !paused {
            let late = answer.time.earliest - due;
            let what = format!("answered {late} us after the client's deadline plus the tolerance");
            let evidence = vec![sent, answer.clone()];
            self.report_violation(Violation::new(Rule::FinalAnswer, "late", what, evidence).about(id));
        }
    }

    /// Handles the leaving of a client that did not wait for its answer.
    pub(super) fn client_left(&mut self, record: NumberedRecord) {
        let request = self.requests.track(&record);
        request.client_left = Some(record);
    }

    /// Handles a node's close of a client's connection without an answer.
    pub(super) fn connection_closed(&mut self, record: NumberedRecord) {
        let request = self.requests.track(&record);
        if request.answer.is_none() {
            request.closed = Some(record);
        }
    }

    /// Handles a response that belongs to no request.
    pub(super) fn unsolicited_response(&mut self, record: NumberedRecord) {
        let what = format!("node {} sent a response that belongs to no request", record.node);
        let request = record.request.clone();
        let violation = Violation::new(Rule::FinalAnswer, "twice", what, vec![record]);
        self.report_violation(violation.about(&request).with_check("stray"));
    }

    /// Checks that an attempt was not sent after its request's final answer.
    pub(super) fn check_sent_after_answer(
        &mut self,
        attempt: &NumberedRecord,
        answer: Option<NumberedRecord>,
    ) {
        let slack = self.rules.answer_slack_us;
        let sent = attempt.first_byte_time().earliest;
        if let Some(answer) = answer.filter(|answer| answer.time.latest + slack < sent) {
            let what = "sent to a server after the final answer to its request".to_owned();
            let evidence = vec![answer, attempt.clone()];
            let violation = Violation::new(Rule::FinalAnswer, "sent-after-answer", what, evidence);
            self.report_violation(violation.about(&attempt.request));
        }
    }

    /// Settles a request whose tracking time has ended: checks its attempts, and that it was answered or
    /// needs no answer.
    pub(super) fn settle_request(&mut self, id: &str, due: u64, history_over: bool) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(sent) = request.sends.last().cloned() else {
            // No client sent the request in this history, so the request needs no answer.
            if history_over || due <= self.now {
                self.check_attempts(id, history_over);
                self.remove_request(id);
            }
            return;
        };
        let answer_due = sent.deadline + self.rules.answer_slack_us;
        // A later settling is scheduled: the time of this one was provisional, or a resend has extended the
        // deadline.
        let is_rescheduled = due < answer_due + REQUEST_RETENTION_US;
        if is_rescheduled && !history_over {
            return;
        }
        if request.answer.is_none() {
            self.settle_unanswered(id, sent, answer_due);
        }
        self.check_attempts(id, history_over);
        self.remove_request(id);
    }

    fn settle_unanswered(&mut self, id: &str, sent: NumberedRecord, answer_due: u64) {
        let Some(request) = self.requests.get(id) else { return };
        // A truncated history may lack its last records, so an answer may still have come in time.
        let settled_at = if self.ended { answer_due } else { answer_due + SETTLING_DELAY_US };
        if self.is_excused(request, &sent, answer_due) {
            self.report.excused += 1;
        } else if let Some(closed) = request.closed.clone() {
            let what = format!("node {} closed its connection without an answer", closed.node);
            self.report_violation(
                Violation::new(Rule::FinalAnswer, "lost", what, vec![sent, closed]).about(id),
            );
        } else if self.now > settled_at {
            let what = format!("node {} gave no answer", sent.node);
            let evidence = request.records();
            self.report_violation(Violation::new(Rule::FinalAnswer, "unanswered", what, evidence).about(id));
        } else {
            self.report.pending += 1;
        }
    }

    /// Returns whether the request needs no answer: the client left, or the node was killed, paused or not
    /// running.
    fn is_excused(&self, request: &Request, sent: &NumberedRecord, answer_due: u64) -> bool {
        let node = self.nodes.get(&sent.node);
        let from = sent.time.earliest;
        let killed = node.is_some_and(|node| node.may_be_killed(from, answer_due));
        let down = node.is_some_and(|node| node.may_be_down(sent.time));
        let paused = node.is_some_and(|node| node.may_be_paused(from, answer_due));
        request.client_left.is_some() && self.is_enabled("excuse-gone")
            || paused
            || killed && self.is_enabled("excuse-killed")
            || down && self.is_enabled("excuse-dead")
    }

    fn remove_request(&mut self, id: &str) {
        let Some(request) = self.requests.remove(id) else { return };
        for reply in &request.replies {
            self.values.remove(&reply.value);
        }
    }
}
