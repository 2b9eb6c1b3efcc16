//! Repeats of requests that may have run, by the idempotency of their class.

use crate::builder::{History, MS};

#[test]
pub fn a_repeat_of_a_request_that_is_not_idempotent_is_a_finding() {
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
    // An attempt whose bytes arrived after its server was killed proves nothing.
    twice("void", "ran").has_findings(&[]);
    twice("ran", "void").has_findings(&[]);
    // The first attempt was rejected, but the request was sent again before the node could have read the
    // rejection.
    let blind = |replied_at| {
        let history = History::new().request(0, "a", "once").attempt(10, "a", "o", "busy");
        // Reply to the first attempt.
        let rest = r#""event":"reply","server":"o","request":"a","number":2"#;
        history.attempt(20, "a", "o", "ran").at(replied_at, rest).answered(90, "a", "failed")
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
    // The attempt arrives after the client got the rejection.
    let after_rejection = |effect| {
        History::new().request(0, "a", "once").answered(30, "a", "refused").attempt(40, "a", "o", effect)
    };
    after_rejection("ran").has_findings(&["refused-after-run"]);
    after_rejection("busy").has_findings(&[]);
    // A client's retry has a request id of its own.
    let retry =
        History::new().request(0, "a", "once").attempt(10, "a", "o", "ran").answered(30, "a", "failed");
    retry.request(40, "b", "once").attempt(50, "b", "o", "ran").answered(60, "b", "failed").has_findings(&[]);
}

#[test]
pub fn a_repeat_with_a_key_outside_its_window_or_scope_is_a_finding() {
    let again = |t| {
        let history = History::new().request(0, "a", "edit").attempt(10, "a", "o", "ran");
        history.attempt(t, "a", "o", "dropped").answered(900 * MS, "a", "failed")
    };
    again(10 + 250 * MS).has_findings(&[]);
    again(11 + 250 * MS).has_findings(&["window"]);
    let start = |server: &str, zone: &str| format!(r#""event":"start","server":"{server}","zone":"{zone}""#);
    let near = |other: &str| {
        let history =
            History::new().at(0, &start("s1", "a")).at(0, &start("s2", "a")).at(0, &start("s3", "b"));
        let history =
            history.request(1, "a", "near").attempt(10, "a", "s1", "ran").attempt(20, "a", other, "ran");
        history.answered(30, "a", "failed")
    };
    near("s2").has_findings(&[]);
    near("s3").has_findings(&["group"]);
    let rejected = |class| {
        History::new().request(0, "a", class).attempt(9, "a", "s1", "ran").answered(30, "a", "refused")
    };
    rejected("edit").has_findings(&[]);
    rejected("near").has_findings(&["refused-after-run"]);
}
