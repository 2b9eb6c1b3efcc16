//! Faults of the emulated servers themselves. The records of emulated servers are evidence for findings on
//! nodes, so the emulators' faults are reported apart from the findings.

use super::Auditor;
use super::evidence::{NumberedRecord, quote};
use crate::history::Event;
use crate::report::{EmulatorFault, Report};
use crate::rules::{ClassRule, Idempotency};

impl Auditor {
    /// Checks that a server that deduplicates repeats has not run one.
    pub(super) fn check_server_dedup(&mut self, class: &ClassRule, attempt: &NumberedRecord) {
        let before = self.server_of(attempt).record_execution(attempt);
        let Some(before) = before.filter(|_| class.kind == Idempotency::WithKey) else { return };
        if attempt.time.latest < before.time.earliest + class.window_us {
            let (key, window_us) = (&attempt.idempotency_key, class.window_us);
            let what = format!("ran the idempotency key {key} twice within {window_us} us");
            self.report_emulator_fault("ran-twice", what, vec![before, attempt.clone()]);
        }
    }

    /// Checks that a reply answers an attempt, and that it is the only reply to it.
    pub(super) fn check_reply(&mut self, reply: &NumberedRecord) {
        let Some(request) = self.requests.get(&reply.request) else { return };
        let attempt = request.attempts.iter().find(|attempt| attempt.is_same_attempt(reply));
        let earlier = request.replies.iter().find(|earlier| earlier.is_same_attempt(reply));
        let earlier = earlier.filter(|earlier| earlier.event == Event::Reply).cloned();
        // If the request has been tracked since its client sent it, all its attempts are known. Otherwise the
        // server's highest attempt number shows whether it received the attempt.
        let server = self.servers.get(reply.server_name());
        let never_received = server.is_none_or(|server| reply.number > server.highest_attempt_number);
        if attempt.is_none() && (never_received || !request.sends.is_empty()) {
            let what = format!("answered attempt {}, which it never received", reply.number);
            self.report_emulator_fault("reply-to-none", what, vec![reply.clone()]);
        } else if let Some(earlier) = earlier {
            let what = format!("answered attempt {} twice", reply.number);
            self.report_emulator_fault("replied-twice", what, vec![earlier, reply.clone()]);
        }
    }

    /// Reports a fault of the server that the last record of the evidence names.
    fn report_emulator_fault(
        &mut self,
        code: &'static str,
        description: String,
        evidence: Vec<NumberedRecord>,
    ) {
        self.report.fault_count += 1;
        if self.report.faults.len() >= Report::MAX_REPORTED {
            return;
        }
        let server = evidence.last().map_or("", |record| record.server_name()).to_owned();
        self.report.faults.push(EmulatorFault { server, code, description, evidence: quote(evidence) });
    }
}
