//! Reading histories: truncated, malformed, long.

use stonevane_audit::{HistoryError, audit};

use crate::builder::{BEGIN, History, MS};

#[test]
fn a_truncated_history_is_read_to_its_end_and_malformed_lines_are_named() {
    let whole = History::new().read(0, "a").read(100, "b").text();
    for cut in BEGIN.len() + 1..whole.len() {
        let report = audit(&whole.as_bytes()[..cut]).unwrap();
        assert!(report.holds(), "cut at {cut}: {report}");
    }
    let bad = |text: &str| audit(text.as_bytes()).unwrap_err();
    assert!(matches!(bad(""), HistoryError::Empty));
    assert!(matches!(bad("{\"event\":\"ask\"}\n"), HistoryError::NoRules));
    let middle = whole.replacen("\"ask\"", "\"aks\"", 1);
    assert!(bad(&middle).to_string().starts_with("line 2: column "), "{}", bad(&middle));
    let unknown = whole.replacen("\"class\"", "\"clas\"", 1);
    assert!(bad(&unknown).to_string().contains("clas"), "{}", bad(&unknown));
    let long = format!("{BEGIN}\n{}\n", " ".repeat(2 << 20));
    assert!(bad(&long).to_string().starts_with("line 2: longer"));
}

#[test]
fn memory_grows_with_requests_in_flight_and_not_with_the_history() {
    let day = (0..20_000u64).fold(History::new(), |day, i| day.read(i * 10 * MS, &format!("r{i}")));
    let report = day.report();
    assert!(report.holds() && report.requests == 20_000, "{report}");
    assert!(report.peak_requests < 1_000, "{} requests held", report.peak_requests);
}
