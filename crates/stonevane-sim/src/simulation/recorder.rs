//! The history of a run. Each record goes to the auditor, into the digest and, if it is kept, into the text.

use stonevane_audit::{Auditor, Event, HistoryRecord, Outcome, Report, Rules, TimeInterval};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Creates a record with only its recorder and event set.
pub fn record(recorder: &str, event: Event) -> HistoryRecord {
    HistoryRecord { recorder: recorder.into(), event, ..HistoryRecord::default() }
}

/// Recorder of a run's history.
pub struct Recorder {
    auditor: Auditor,
    lines: usize,
    digest: u64,
    keeps_text: bool,
    text: String,
}

/// The result of a recording.
pub struct Recording {
    pub report: Report,
    pub digest: u64,
    pub text: String,
}

impl Recorder {
    /// Begins a history, which is audited by `rules`. `keeps_text` states whether the text of the history is
    /// kept.
    pub fn new(rules: &Rules, keeps_text: bool) -> Recorder {
        let auditor = Auditor::new(rules.clone());
        let mut recorder = Recorder { auditor, lines: 1, digest: 0, keeps_text, text: String::new() };
        if keeps_text {
            let rules = Some(Box::new(rules.clone()));
            let begin = HistoryRecord { rules, ..record("lab", Event::Begin) };
            recorder.text.push_str(&begin.to_json_line());
        }
        recorder
    }

    /// Records an event at the time `now`, in simulated microseconds.
    pub fn add(&mut self, now: u64, record: HistoryRecord) {
        let record = HistoryRecord { time: TimeInterval { earliest: now, latest: now }, ..record };
        self.lines += 1;
        self.digest = xxh3_64_with_seed(digested(now, &record).as_bytes(), self.digest);
        if self.keeps_text {
            self.text.push_str(&record.to_json_line());
        }
        self.auditor.handle_record(self.lines, record);
    }

    /// Ends the history and returns its audit, digest and text.
    pub fn finish(self) -> Recording {
        Recording { report: self.auditor.finish(), digest: self.digest, text: self.text }
    }
}

/// Returns the text of a record that enters the digest. A change to this text makes digests incomparable with
/// those of earlier versions.
fn digested(now: u64, record: &HistoryRecord) -> String {
    let event = record.event as u8;
    let fields = (now, event, &record.request, &record.node, &record.value, record.number);
    let outcome = match record.outcome {
        None => "None",
        Some(Outcome::Served) => "Some(Served)",
        Some(Outcome::Rejected) => "Some(Refused)",
        Some(Outcome::Failed) => "Some(Failed)",
    };
    format!("{fields:?}{}{}{outcome}", record.recorder, record.state)
}
