//! `stonevane bench record` and `stonevane bench audit`: throughput of the history writer and of the auditor
//! on a generated history.

use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::time::{Duration, Instant};

use stonevane_audit::{Effect, Event, HistoryRecord, Outcome, Rules, TimeInterval, audit};
use stonevane_emulators::Recorder;

use super::BenchResult;

/// Events recorded for each request.
const EVENTS_PER_REQUEST: u64 = 4;
/// Time between two requests.
const REQUEST_INTERVAL_US: u64 = 500;
/// Time between two events of a request.
const EVENT_INTERVAL_US: u64 = 50;
/// Width of the time interval recorded for an event, which happened at an unknown time within it.
const UNCERTAINTY_US: u64 = 40;
/// Number of distinct keys that are read.
const KEYS: u64 = 5_000;
/// Time from the start of a request to its deadline.
const DEADLINE_US: u64 = 1_500_000;
/// Buffer for reading a history.
const READ_BUFFER_BYTES: usize = 1 << 20;

/// Generates a correct history of about `events` events: cache hits at 2,000 requests per second.
fn generate_history(events: u64, mut each: impl FnMut(HistoryRecord)) {
    each(HistoryRecord {
        event: Event::Begin,
        rules: Some(Box::new(Rules::default())),
        ..HistoryRecord::default()
    });
    for number in 0..events / EVENTS_PER_REQUEST {
        for record in request(number) {
            each(record);
        }
    }
}

/// Returns the records of one request in the order of their times.
fn request(number: u64) -> [HistoryRecord; EVENTS_PER_REQUEST as usize] {
    let start = 1_000 + number * REQUEST_INTERVAL_US;
    let value = format!("v-{number:x}");
    let record = |place: u64, event, recorder: &str| {
        let latest = start + place * EVENT_INTERVAL_US;
        HistoryRecord {
            time: TimeInterval { earliest: latest.saturating_sub(UNCERTAINTY_US), latest },
            event,
            recorder: recorder.into(),
            request: format!("r{number:x}"),
            ..HistoryRecord::default()
        }
    };
    let with_request = |record| HistoryRecord {
        node: "n0".into(),
        class: "read".into(),
        key: format!("{:016x}", number % KEYS),
        ..record
    };
    let request = with_request(record(0, Event::Request, "client"));
    let attempt = with_request(record(1, Event::Attempt, "s-1"));
    [
        HistoryRecord { deadline: start + DEADLINE_US, ..request },
        HistoryRecord { effect: Some(Effect::Ran), number, work_us: 4_000, ..attempt },
        HistoryRecord { number, value: value.clone(), ..record(2, Event::Reply, "s-1") },
        HistoryRecord {
            node: "n0".into(),
            outcome: Some(Outcome::Served),
            value,
            ..record(3, Event::Answer, "client")
        },
    ]
}

/// Measures how fast a caller records events and how fast the writer thread writes them.
pub(super) fn record(events: u64) -> BenchResult {
    let path = std::env::temp_dir().join(format!("stonevane-record-{}.jsonl", std::process::id()));
    let (recorder, writer) = Recorder::to(File::create(&path)?);
    let mut records = Vec::new();
    generate_history(events, |record| records.push(record));
    let begun = Instant::now();
    for record in records {
        recorder.record(record);
    }
    let recorded_s = begun.elapsed().as_secs_f64().max(1e-9);
    drop(recorder);
    let written = writer.finish();
    let written_s = begun.elapsed().as_secs_f64().max(1e-9);
    let bytes = std::fs::metadata(&path).map_or(0, |metadata| metadata.len());
    let _ = std::fs::remove_file(&path);
    let written = written?;
    outln!(
        "{written} events, {:.0} MB: {:.0} a second recorded (on the lab's own thread), {:.0} a second written",
        bytes as f64 / 1e6,
        written as f64 / recorded_s,
        written as f64 / written_s
    );
    Ok(())
}

/// Measures how fast the auditor reads and checks a generated history.
pub(super) fn audit_history(events: u64) -> BenchResult {
    let path = std::env::temp_dir().join(format!("stonevane-audit-{}.jsonl", std::process::id()));
    let mut out = BufWriter::new(File::create(&path)?);
    let mut written = Ok(());
    generate_history(events, |record| {
        if written.is_ok() {
            written = out.write_all(record.to_json_line().as_bytes());
        }
    });
    written?;
    out.flush()?;
    drop(out);
    let bytes = std::fs::metadata(&path)?.len();
    let begun = Instant::now();
    let report = audit(BufReader::with_capacity(READ_BUFFER_BYTES, File::open(&path)?));
    let took_s = begun.elapsed().max(Duration::from_micros(1)).as_secs_f64();
    let _ = std::fs::remove_file(&path);
    let report = report?;
    outln!(
        "{} events, {:.0} MB: {took_s:.2} s, {:.0} events/s; at most {} requests tracked at once; {} violations",
        report.events,
        bytes as f64 / 1e6,
        report.events as f64 / took_s,
        report.peak_requests,
        report.finding_count
    );
    Ok(())
}
