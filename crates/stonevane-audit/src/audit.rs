//! Audits the text of a history: restores the order of its records and passes them to the [`Auditor`].

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::BufRead;

use crate::auditor::Auditor;
use crate::history::{self, HistoryError, HistoryRecord};
use crate::report::Report;

/// Maximum distance by which records may be out of order, in microseconds.
const REORDER_WINDOW_US: u64 = 500_000;

/// A record in the reorder buffer. Records are ordered by the latest time of their interval, then by line
/// number.
struct Pending {
    latest: u64,
    line: usize,
    record: Box<HistoryRecord>,
}

impl Pending {
    fn key(&self) -> (u64, usize) {
        (self.latest, self.line)
    }
}

impl PartialEq for Pending {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Pending {}

impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Pending {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// Audits the text of a history. Memory use depends on the number of requests in flight, not on the length of
/// the history.
///
/// # Errors
/// [`HistoryError`] if the text can't be read or is not a valid history.
pub fn audit(text: impl BufRead) -> Result<Report, HistoryError> {
    let mut auditor: Option<Auditor> = None;
    let mut pending: BinaryHeap<Reverse<Pending>> = BinaryHeap::new();
    let mut newest = 0;
    history::read(text, |line, mut record| {
        let Some(auditor) = &mut auditor else {
            auditor = Some(Auditor::new(*record.rules.take().unwrap_or_default()));
            return;
        };
        let latest = record.time.latest;
        newest = newest.max(latest);
        pending.push(Reverse(Pending { latest, line, record: Box::new(record) }));
        while pending.peek().is_some_and(|Reverse(first)| first.latest + REORDER_WINDOW_US < newest) {
            let Some(Reverse(first)) = pending.pop() else { break };
            auditor.handle_record(first.line, *first.record);
        }
    })?;
    let mut auditor = auditor.ok_or(HistoryError::Empty)?;
    while let Some(Reverse(first)) = pending.pop() {
        auditor.handle_record(first.line, *first.record);
    }
    Ok(auditor.finish())
}
