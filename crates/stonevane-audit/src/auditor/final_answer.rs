//! The final-answer rule: each request gets exactly one final answer, in time.

use super::evidence::{Accusation, NumberedRecord};
use super::requests::Request;
use super::{Auditor, RETENTION_US, SETTLED_US};
use crate::history::Outcome;
use crate::report::Rule;

impl Auditor {
    /// A client has sent a request, or sent it once more after a close that crossed it.
    pub(super) fn request_sent(&mut self, record: NumberedRecord) {
        let id = record.request.clone();
        let request = self.requests.track(&record);
        let is_first = request.sends.is_empty();
        request.sends.push(record.clone());
        let closed = request.closed.take();
        // An attempt before the second send proves that the node had read the request before it closed.
        let read = request.attempts.iter().find(|attempt| attempt.time.latest < record.time.earliest);
        let read = read.cloned();
        self.requests.settle_at(record.deadline + self.rules.answer_slack_us + RETENTION_US, &id);
        if is_first {
            self.report.requests += 1;
        } else if let (Some(closed), Some(read)) = (closed, read) {
            let what = format!("node {} had read it and ended its connection with no answer", closed.node);
            let accusation = Accusation::new(Rule::FinalAnswer, "lost", what, vec![read, closed, record]);
            self.accuse(accusation.about(&id).judged_by("lost-after-reading"));
        }
    }

    /// A client has read a request's final answer.
    pub(super) fn answer_received(&mut self, record: NumberedRecord) {
        let id = record.request.clone();
        let request = self.requests.track(&record);
        if let Some(first) = request.answer.clone() {
            let what = "a second final answer".to_owned();
            let accusation = Accusation::new(Rule::FinalAnswer, "twice", what, vec![first, record]);
            return self.accuse(accusation.about(&id));
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
            let what = format!("answered {late} us after its client had given up");
            let evidence = vec![sent, answer.clone()];
            self.accuse(Accusation::new(Rule::FinalAnswer, "late", what, evidence).about(id));
        }
    }

    /// A client has left before its answer.
    pub(super) fn client_left(&mut self, record: NumberedRecord) {
        let request = self.requests.track(&record);
        request.client_left = Some(record);
    }

    /// A node has closed a client's connection without an answer to its request.
    pub(super) fn connection_closed(&mut self, record: NumberedRecord) {
        let request = self.requests.track(&record);
        if request.answer.is_none() {
            request.closed = Some(record);
        }
    }

    /// A node has sent what answers nothing.
    pub(super) fn unsolicited_response(&mut self, record: NumberedRecord) {
        let what = format!("node {} sent bytes that answer nothing", record.node);
        let request = record.request.clone();
        let accusation = Accusation::new(Rule::FinalAnswer, "twice", what, vec![record]);
        self.accuse(accusation.about(&request).judged_by("stray"));
    }

    /// An attempt came to a server after its request's final answer.
    pub(super) fn check_sent_after_answer(
        &mut self,
        attempt: &NumberedRecord,
        answer: Option<NumberedRecord>,
    ) {
        let slack = self.rules.answer_slack_us;
        let sent = attempt.first_byte_time().earliest;
        if let Some(answer) = answer.filter(|answer| answer.time.latest + slack < sent) {
            let what = "sent to a server after its final answer".to_owned();
            let evidence = vec![answer, attempt.clone()];
            let accusation = Accusation::new(Rule::FinalAnswer, "sent-after-answer", what, evidence);
            self.accuse(accusation.about(&attempt.request));
        }
    }

    /// A request's time is over, and all that could come of it has been read.
    pub(super) fn settle_request(&mut self, id: &str, due: u64, history_over: bool) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(sent) = request.sends.last().cloned() else {
            // Not sent in this history: no answer is owed.
            if history_over || due <= self.now {
                self.check_attempts(id, history_over);
                self.forget_request(id);
            }
            return;
        };
        let answer_due = sent.deadline + self.rules.answer_slack_us;
        let sent_once_more = due < answer_due + RETENTION_US;
        if sent_once_more && !history_over {
            return;
        }
        if request.answer.is_none() {
            self.settle_unanswered(id, sent, answer_due);
        }
        self.check_attempts(id, history_over);
        self.forget_request(id);
    }

    fn settle_unanswered(&mut self, id: &str, sent: NumberedRecord, answer_due: u64) {
        let Some(request) = self.requests.get(id) else { return };
        // A history that breaks off says nothing of what was still in time.
        let settled_at = if self.ended { answer_due } else { answer_due + SETTLED_US };
        if self.is_excused(request, &sent, answer_due) {
            self.report.excused += 1;
        } else if let Some(closed) = request.closed.clone() {
            let what = format!("node {} ended its connection with no answer", closed.node);
            self.accuse(Accusation::new(Rule::FinalAnswer, "lost", what, vec![sent, closed]).about(id));
        } else if self.now > settled_at {
            let what = format!("node {} gave no answer", sent.node);
            let evidence = request.records();
            self.accuse(Accusation::new(Rule::FinalAnswer, "unanswered", what, evidence).about(id));
        } else {
            self.report.pending += 1;
        }
    }

    /// Whether no answer is owed: the client left, or the node was killed, paused or not there.
    fn is_excused(&self, request: &Request, sent: &NumberedRecord, answer_due: u64) -> bool {
        let node = self.nodes.get(&sent.node);
        let from = sent.time.earliest;
        let killed = node.is_some_and(|node| node.may_be_killed(from, answer_due));
        let down = node.is_some_and(|node| node.may_be_down(sent.time));
        let paused = node.is_some_and(|node| node.may_be_paused(from, answer_due));
        request.client_left.is_some() && self.judges("excuse-gone")
            || paused
            || killed && self.judges("excuse-killed")
            || down && self.judges("excuse-dead")
    }

    fn forget_request(&mut self, id: &str) {
        let Some(request) = self.requests.remove(id) else { return };
        for reply in &request.replies {
            self.values.forget(&reply.value);
        }
    }
}
