//! The integrity rule for attempts: a node sends an attempt only if it has received the request, and with
//! that request's key, class, idempotency key and value.

use super::evidence::{NumberedRecord, Violation};
use super::{Auditor, REQUEST_RETENTION_US, SETTLING_DELAY_US};
use crate::report::Rule;

impl Auditor {
    /// Checks the attempts of a request, once no further record of the request can follow.
    pub(super) fn check_attempts(&mut self, id: &str, history_over: bool) {
        let Some(request) = self.requests.get(id) else { return };
        // The end of a truncated history may lack the record of the request.
        let is_settled = |attempt: &&NumberedRecord| {
            !history_over || self.ended || attempt.time.latest + SETTLING_DELAY_US < self.now
        };
        // An attempt proves nothing if its last byte arrived so late that its request may no longer be
        // tracked.
        let is_certain = |attempt: &&NumberedRecord| {
            attempt.time.latest.saturating_sub(attempt.first_byte_time().earliest) < REQUEST_RETENTION_US / 2
        };
        let attempts = request.attempts.iter().filter(is_settled).filter(is_certain);
        let attempts: Vec<NumberedRecord> = attempts.cloned().collect();
        let sends = request.sends.clone();
        let replies = request.replies.clone();
        let Some(sent) = sends.first() else {
            if let Some(attempt) = attempts.first() {
                self.report_attempt("unasked", "no client sent this request".to_owned(), attempt);
            }
            return;
        };
        for attempt in &attempts {
            self.check_sender(&sends, attempt);
            self.check_content(sent, attempt);
        }
        self.check_limits(id, &sends, &attempts, &replies);
    }

    fn report_attempt(&mut self, code: &'static str, what: String, attempt: &NumberedRecord) {
        let violation = Violation::new(Rule::AttemptIntegrity, code, what, vec![attempt.clone()]);
        self.report_violation(violation.about(&attempt.request));
    }

    fn check_sender(&mut self, sends: &[NumberedRecord], attempt: &NumberedRecord) {
        let to_node = sends.iter().filter(|sent| sent.node == attempt.node);
        match to_node.map(|sent| sent.time.earliest).min() {
            None => {
                let what = format!("sent by node {}, which did not receive the request", attempt.node);
                self.report_attempt("wrong-node", what, attempt);
            }
            Some(sent) if attempt.time.latest < sent => {
                let what = format!("sent {} us before its request", sent - attempt.time.latest);
                self.report_attempt("too-early", what, attempt);
            }
            Some(_) => {}
        }
    }

    fn check_content(&mut self, sent: &NumberedRecord, attempt: &NumberedRecord) {
        // The digest is compared only if the client recorded one.
        let digest = if sent.digest.is_empty() { "" } else { attempt.digest.as_str() };
        let parts = [
            ("wrong-key", "key", &sent.key, attempt.key.as_str()),
            ("wrong-class", "class", &sent.class, attempt.class.as_str()),
            ("wrong-token", "token", &sent.idempotency_key, attempt.idempotency_key.as_str()),
            ("wrong-body", "value's digest", &sent.digest, digest),
        ];
        for (code, part, requested, sent) in parts {
            if requested != sent {
                let what = format!("sent with the {part} `{sent}`; the request has `{requested}`");
                self.report_attempt(code, what, attempt);
            }
        }
    }
}
