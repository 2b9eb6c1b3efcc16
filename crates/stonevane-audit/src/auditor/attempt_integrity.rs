//! Attempts carry what was asked: sent by a node that has the request, with its key, class, idempotency key and value.

use super::evidence::{Accusation, NumberedRecord};
use super::{Auditor, RETENTION_US, SETTLED_US};
use crate::report::Rule;

impl Auditor {
    /// Judges a request's attempts, when nothing more can come of it.
    pub(super) fn check_attempts(&mut self, id: &str, history_over: bool) {
        let Some(request) = self.requests.get(id) else { return };
        // The last moments of a history that breaks off may lack what was asked.
        let is_settled = |attempt: &&NumberedRecord| {
            !history_over || self.ended || attempt.time.latest + SETTLED_US < self.now
        };
        // One that was seen so late that its request may be forgotten proves nothing.
        let is_certain = |attempt: &&NumberedRecord| {
            attempt.time.latest.saturating_sub(attempt.first_byte_time().earliest) < RETENTION_US / 2
        };
        let attempts = request.attempts.iter().filter(is_settled).filter(is_certain);
        let attempts: Vec<NumberedRecord> = attempts.cloned().collect();
        let sends = request.sends.clone();
        let replies = request.replies.clone();
        let Some(sent) = sends.first() else {
            if let Some(attempt) = attempts.first() {
                self.accuse_attempt("unasked", "no client asked for it".to_owned(), attempt);
            }
            return;
        };
        for attempt in &attempts {
            self.check_sender(&sends, attempt);
            self.check_content(sent, attempt);
        }
        self.check_limits(id, &sends, &attempts, &replies);
    }

    fn accuse_attempt(&mut self, code: &'static str, what: String, attempt: &NumberedRecord) {
        let accusation = Accusation::new(Rule::AttemptIntegrity, code, what, vec![attempt.clone()]);
        self.accuse(accusation.about(&attempt.request));
    }

    fn check_sender(&mut self, sends: &[NumberedRecord], attempt: &NumberedRecord) {
        let to_node = sends.iter().filter(|sent| sent.node == attempt.node);
        match to_node.map(|sent| sent.time.earliest).min() {
            None => {
                let what = format!("sent by node {}, which was not asked", attempt.node);
                self.accuse_attempt("wrong-node", what, attempt);
            }
            Some(sent) if attempt.time.latest < sent => {
                let what = format!("sent {} us before it was asked", sent - attempt.time.latest);
                self.accuse_attempt("too-early", what, attempt);
            }
            Some(_) => {}
        }
    }

    fn check_content(&mut self, sent: &NumberedRecord, attempt: &NumberedRecord) {
        // A value's digest is known only where its client writes one down.
        let digest = if sent.digest.is_empty() { "" } else { attempt.digest.as_str() };
        let parts = [
            ("wrong-key", "key", &sent.key, attempt.key.as_str()),
            ("wrong-class", "class", &sent.class, attempt.class.as_str()),
            ("wrong-token", "token", &sent.idempotency_key, attempt.idempotency_key.as_str()),
            ("wrong-body", "value's digest", &sent.digest, digest),
        ];
        for (code, part, asked, got) in parts {
            if asked != got {
                let what = format!("sent with the {part} `{got}`, asked with `{asked}`");
                self.accuse_attempt(code, what, attempt);
            }
        }
    }
}
