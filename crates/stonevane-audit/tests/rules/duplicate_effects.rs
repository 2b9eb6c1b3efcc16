//! What may have run is repeated only where its class allows it.

use crate::builder::{History, MS};

#[test]
pub fn a_request_that_is_not_idempotent_runs_once() {
    let twice = |one, other| {
        History::new()
            .request(0, "a", "once")
            .attempt(10, "a", "o", one)
            .attempt(20, "a", "o", other)
            .answered(30, "a", "failed")
    };
    twice("ran", "ran").has_findings(&["unsafe-again"]);
    twice("ran", "busy").has_findings(&["unsafe-again"]);
    twice("busy", "ran").has_findings(&[]);
    // Bytes that came after their server was killed prove nothing.
    twice("void", "ran").has_findings(&[]);
    twice("ran", "void").has_findings(&[]);
    // Turned away, but sent again before anybody could know.
    let blind = |answered| {
        let day = History::new().request(0, "a", "once").attempt(10, "a", "o", "busy");
        // The first one's answer.
        let rest = r#""event":"reply","server":"o","request":"a","number":2"#;
        day.attempt(20, "a", "o", "ran").at(answered, rest).answered(90, "a", "failed")
    };
    blind(40).has_findings(&["unsafe-again"]);
    blind(15).has_findings(&[]);
    History::new()
        .request(0, "a", "once")
        .attempt(10, "a", "o", "ran")
        .answered(30, "a", "refused")
        .has_findings(&["refused-after-run"]);
    History::new()
        .request(0, "a", "once")
        .attempt(10, "a", "o", "busy")
        .answered(30, "a", "refused")
        .has_findings(&[]);
    // It runs just behind the refusal.
    let behind = |effect| {
        History::new().request(0, "a", "once").answered(30, "a", "refused").attempt(40, "a", "o", effect)
    };
    behind("ran").has_findings(&["refused-after-run"]);
    behind("busy").has_findings(&[]);
    // A retry of the client has an id of its own.
    let retry =
        History::new().request(0, "a", "once").attempt(10, "a", "o", "ran").answered(30, "a", "failed");
    retry.request(40, "b", "once").attempt(50, "b", "o", "ran").answered(60, "b", "failed").has_findings(&[]);
}

#[test]
pub fn a_request_with_a_key_is_repeated_within_its_window_and_scope() {
    let again = |t| {
        let day = History::new().request(0, "a", "edit").attempt(10, "a", "o", "ran");
        day.attempt(t, "a", "o", "dropped").answered(900 * MS, "a", "failed")
    };
    again(10 + 250 * MS).has_findings(&[]);
    again(11 + 250 * MS).has_findings(&["window"]);
    let start = |server: &str, zone: &str| format!(r#""event":"start","server":"{server}","zone":"{zone}""#);
    let near = |other: &str| {
        let day = History::new().at(0, &start("s1", "a")).at(0, &start("s2", "a")).at(0, &start("s3", "b"));
        let day = day.request(1, "a", "near").attempt(10, "a", "s1", "ran").attempt(20, "a", other, "ran");
        day.answered(30, "a", "failed")
    };
    near("s2").has_findings(&[]);
    near("s3").has_findings(&["group"]);
    let refused = |class| {
        History::new().request(0, "a", class).attempt(9, "a", "s1", "ran").answered(30, "a", "refused")
    };
    refused("edit").has_findings(&[]);
    refused("near").has_findings(&["refused-after-run"]);
}
