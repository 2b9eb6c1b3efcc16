//! Reading of truncated, malformed and long histories.

use stonevane_audit::{HistoryError, audit};

use crate::builder::{BEGIN, History, MS};

#[test]
fn a_truncated_last_line_is_skipped_and_a_malformed_line_is_an_error() {
    let whole = History::new().read(0, "a").read(100, "b").text();
    for cut in BEGIN.len() + 1..whole.len() {
        let report = audit(&whole.as_bytes()[..cut]).unwrap();
        assert!(report.holds(), "cut at {cut}: {report}");
    }
    let error = |text: &str| audit(text.as_bytes()).unwrap_err();
    assert!(matches!(error(""), HistoryError::Empty));
    assert!(matches!(error("{\"event\":\"ask\"}\n"), HistoryError::NoRules));
    let middle = whole.replacen("\"ask\"", "\"aks\"", 1);
    assert!(error(&middle).to_string().starts_with("line 2: column "), "{}", error(&middle));
    let unknown = whole.replacen("\"class\"", "\"clas\"", 1);
    assert!(error(&unknown).to_string().contains("clas"), "{}", error(&unknown));
    let long = format!("{BEGIN}\n{}\n", " ".repeat(2 << 20));
    assert!(error(&long).to_string().starts_with("line 2: longer"));
}

#[test]
fn memory_grows_with_requests_in_flight_and_not_with_the_history() {
    let history =
        (0..20_000u64).fold(History::new(), |history, i| history.read(i * 10 * MS, &format!("r{i}")));
    let report = history.report();
    assert!(report.holds() && report.requests == 20_000, "{report}");
    assert!(report.peak_requests < 1_000, "{} requests tracked at once", report.peak_requests);
}
