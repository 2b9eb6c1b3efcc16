//! Records with their line numbers, and how they are quoted as proof.

use std::ops::Deref;
use std::rc::Rc;

use crate::history::HistoryRecord;
use crate::interval::TimeInterval;
use crate::report::{Evidence, Rule};

/// Lines quoted in one finding, at most.
const MAX_EVIDENCE_LINES: usize = 12;
/// Of a long series, so many records are quoted from its beginning and as many from its end.
const ABRIDGED_END: usize = 3;

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
    /// When an attempt's first byte came to its server.
    pub fn first_byte_time(&self) -> TimeInterval {
        self.first_byte.unwrap_or(self.time)
    }

    /// Whether both speak of one attempt; a server numbers its attempts.
    pub fn is_same_attempt(&self, other: &HistoryRecord) -> bool {
        self.server_name() == other.server_name() && self.number == other.number
    }
}

/// A finding in the making.
pub(super) struct Accusation {
    pub rule: Rule,
    pub code: &'static str,
    /// One of [`super::Auditor::JUDGEMENTS`]; several may share a code.
    pub judgement: &'static str,
    /// Empty where it is about no request.
    pub request: String,
    pub what: String,
    pub evidence: Vec<NumberedRecord>,
}

impl Accusation {
    pub fn new(rule: Rule, code: &'static str, what: String, evidence: Vec<NumberedRecord>) -> Accusation {
        Accusation { rule, code, judgement: code, request: String::new(), what, evidence }
    }

    /// Names the request that it is about.
    pub fn about(self, request: &str) -> Accusation {
        Accusation { request: request.into(), ..self }
    }

    /// Names the judgement where it differs from the code.
    pub fn judged_by(self, judgement: &'static str) -> Accusation {
        Accusation { judgement, ..self }
    }
}

/// Quotes records in their order, each once, up to [`MAX_EVIDENCE_LINES`].
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

/// The beginning and the end of a long series.
pub(super) fn abridge(mut records: Vec<NumberedRecord>) -> Vec<NumberedRecord> {
    if records.len() > 2 * ABRIDGED_END {
        records.drain(ABRIDGED_END..records.len() - ABRIDGED_END);
    }
    records
}
