//! Faults of the emulated servers themselves, which are witnesses and not accused.

use super::Auditor;
use super::evidence::{NumberedRecord, quote};
use crate::history::Event;
use crate::report::{EmulatorFault, Report};
use crate::rules::{ClassRule, Idempotency};

impl Auditor {
    /// A server that drops repeats must not run one.
    pub(super) fn check_server_dedup(&mut self, class: &ClassRule, attempt: &NumberedRecord) {
        let before = self.server_of(attempt).note_execution(attempt);
        let Some(before) = before.filter(|_| class.kind == Idempotency::WithKey) else { return };
        if attempt.time.latest < before.time.earliest + class.window_us {
            let (key, window_us) = (&attempt.idempotency_key, class.window_us);
            let what = format!("ran the key {key} twice within {window_us} us");
            self.blame_server("ran-twice", what, vec![before, attempt.clone()]);
        }
    }

    /// Each reply is one to an attempt, and the only one.
    pub(super) fn check_reply(&mut self, reply: &NumberedRecord) {
        let Some(request) = self.requests.get(&reply.request) else { return };
        let attempt = request.attempts.iter().find(|attempt| attempt.is_same_attempt(reply));
        let earlier = request.replies.iter().find(|earlier| earlier.is_same_attempt(reply));
        let earlier = earlier.filter(|earlier| earlier.event == Event::Reply).cloned();
        // Of a request tracked since it was sent all attempts are known; for others the server's own count tells.
        let server = self.servers.get(reply.server_name());
        let never_came = server.is_none_or(|server| reply.number > server.highest_attempt);
        if attempt.is_none() && (never_came || !request.sends.is_empty()) {
            let what = format!("answered attempt {}, which never came", reply.number);
            self.blame_server("reply-to-none", what, vec![reply.clone()]);
        } else if let Some(earlier) = earlier {
            let what = format!("answered attempt {} twice", reply.number);
            self.blame_server("replied-twice", what, vec![earlier, reply.clone()]);
        }
    }

    /// Notes a fault of the server that the last record speaks of.
    fn blame_server(&mut self, code: &'static str, what: String, evidence: Vec<NumberedRecord>) {
        self.report.faulty += 1;
        if self.report.faults.len() >= Report::MAX_REPORTED {
            return;
        }
        let server = evidence.last().map_or("", |record| record.server_name()).to_owned();
        self.report.faults.push(EmulatorFault { server, code, what, evidence: quote(evidence) });
    }
}
