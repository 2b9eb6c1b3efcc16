//! What may have run is repeated only where its class allows it.

use crate::builder::{History, MS};

#[test]
pub fn a_request_that_is_not_idempotent_runs_once() {
    let twice = |one, other| {
        History::new()
            .ask(0, "a", "once")
            .attempt(10, "a", "o", one)
            .attempt(20, "a", "o", other)
            .answered(30, "a", "failed")
    };
    twice("ran", "ran").is(&["unsafe-again"]);
    twice("ran", "busy").is(&["unsafe-again"]);
    twice("busy", "ran").is(&[]);
    // Bytes that came after their server was killed prove nothing.
    twice("void", "ran").is(&[]);
    twice("ran", "void").is(&[]);
    // Turned away, but sent again before anybody could know.
    let blind = |answered| {
        let day = History::new().ask(0, "a", "once").attempt(10, "a", "o", "busy");
        // The first one's answer.
        let rest = r#""event":"reply","server":"o","request":"a","number":2"#;
        day.attempt(20, "a", "o", "ran").at(answered, rest).answered(90, "a", "failed")
    };
    blind(40).is(&["unsafe-again"]);
    blind(15).is(&[]);
    History::new()
        .ask(0, "a", "once")
        .attempt(10, "a", "o", "ran")
        .answered(30, "a", "refused")
        .is(&["refused-after-run"]);
    History::new().ask(0, "a", "once").attempt(10, "a", "o", "busy").answered(30, "a", "refused").is(&[]);
    // It runs just behind the refusal.
    let behind = |effect| {
        History::new().ask(0, "a", "once").answered(30, "a", "refused").attempt(40, "a", "o", effect)
    };
    behind("ran").is(&["refused-after-run"]);
    behind("busy").is(&[]);
    // A retry of the client has an id of its own.
    let retry = History::new().ask(0, "a", "once").attempt(10, "a", "o", "ran").answered(30, "a", "failed");
    retry.ask(40, "b", "once").attempt(50, "b", "o", "ran").answered(60, "b", "failed").is(&[]);
}

#[test]
pub fn a_request_with_a_key_is_repeated_within_its_window_and_scope() {
    let again = |t| {
        let day = History::new().ask(0, "a", "edit").attempt(10, "a", "o", "ran");
        day.attempt(t, "a", "o", "dropped").answered(900 * MS, "a", "failed")
    };
    again(10 + 250 * MS).is(&[]);
    again(11 + 250 * MS).is(&["window"]);
    let start = |server: &str, zone: &str| format!(r#""event":"start","server":"{server}","zone":"{zone}""#);
    let near = |other: &str| {
        let day = History::new().at(0, &start("s1", "a")).at(0, &start("s2", "a")).at(0, &start("s3", "b"));
        let day = day.ask(1, "a", "near").attempt(10, "a", "s1", "ran").attempt(20, "a", other, "ran");
        day.answered(30, "a", "failed")
    };
    near("s2").is(&[]);
    near("s3").is(&["group"]);
    let refused =
        |class| History::new().ask(0, "a", class).attempt(9, "a", "s1", "ran").answered(30, "a", "refused");
    refused("edit").is(&[]);
    refused("near").is(&["refused-after-run"]);
}
