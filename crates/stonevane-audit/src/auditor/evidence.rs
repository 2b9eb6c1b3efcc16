//! Records with their line numbers, and their quotation as evidence.

use std::ops::Deref;
use std::rc::Rc;

use crate::history::HistoryRecord;
use crate::interval::TimeInterval;
use crate::report::{Evidence, Rule};

/// Maximum number of lines that one finding quotes.
const MAX_EVIDENCE_LINES: usize = 12;
/// Number of records quoted from each end of a long series.
const ABRIDGED_RECORDS_PER_END: usize = 3;

/// A record and the number of its line in the history.
#[derive(Clone)]
pub(super) struct NumberedRecord {
    pub line: usize,
    pub record: Rc<HistoryRecord>,
}

impl Deref for NumberedRecord {
    type Target = HistoryRecord;

    fn deref(&self) -> &HistoryRecord {
        &self.record
    }
}

impl NumberedRecord {
    /// Returns the bounds on the moment at which an attempt's first byte reached its server.
    pub fn first_byte_time(&self) -> TimeInterval {
        self.first_byte.unwrap_or(self.time)
    }

    /// Returns whether both records concern the same attempt: each server numbers its attempts.
    pub fn is_same_attempt(&self, other: &HistoryRecord) -> bool {
        self.server_name() == other.server_name() && self.number == other.number
    }
}

/// A violation, before it is added to the report as a finding.
pub(super) struct Violation {
    pub rule: Rule,
    pub code: &'static str,
    /// Name of the check that found the violation, one of [`super::Auditor::CHECKS`]; several checks may
    /// share a code.
    pub check: &'static str,
    /// Id of the request; empty if the violation concerns no single request.
    pub request: String,
    pub description: String,
    pub evidence: Vec<NumberedRecord>,
}

impl Violation {
    pub fn new(
        rule: Rule,
        code: &'static str,
        description: String,
        evidence: Vec<NumberedRecord>,
    ) -> Violation {
        Violation { rule, code, check: code, request: String::new(), description, evidence }
    }

    /// Sets the request that the violation concerns.
    pub fn about(self, request: &str) -> Violation {
        Violation { request: request.into(), ..self }
    }

    /// Sets the name of the check, if it differs from the code.
    pub fn with_check(self, check: &'static str) -> Violation {
        Violation { check, ..self }
    }
}

/// Quotes records in the order of the history, each once, up to [`MAX_EVIDENCE_LINES`].
pub(super) fn quote(mut records: Vec<NumberedRecord>) -> Vec<Evidence> {
    records.sort_by_key(|record| record.line);
    records.dedup_by_key(|record| record.line);
    let quoted = records.iter().take(MAX_EVIDENCE_LINES);
    quoted
        .map(|numbered| Evidence {
            line: numbered.line,
            text: numbered.record.to_json_line().trim_end().to_owned(),
        })
        .collect()
}

/// Keeps the first and the last [`ABRIDGED_RECORDS_PER_END`] records of a long series.
pub(super) fn abridge(mut records: Vec<NumberedRecord>) -> Vec<NumberedRecord> {
    if records.len() > 2 * ABRIDGED_RECORDS_PER_END {
        records.drain(ABRIDGED_RECORDS_PER_END..records.len() - ABRIDGED_RECORDS_PER_END);
    }
    records
}
