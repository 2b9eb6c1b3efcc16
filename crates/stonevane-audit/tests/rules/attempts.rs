//! Attempts that do not match their request, and the limits of the deployment.

use stonevane_audit::audit;

use crate::builder::{History, MS, MUTATION, audit_text};

#[test]
pub fn an_attempt_that_differs_from_its_request_is_a_finding() {
    let requested = || History::new().request(100, "a", "read");
    let failed = |history: History| history.answered(900, "a", "failed");
    let read = |history: History, t, node, rest: &str| {
        let rest = format!(r#""effect":"ran"{rest}"#);
        failed(history.sent((t, t), "a", node, "s1", &rest))
    };
    read(requested(), 200, "n0", "").has_findings(&[]);
    read(requested(), 200, "n7", "").has_findings(&["wrong-node"]);
    read(requested(), 99, "n0", "").has_findings(&["too-early"]);
    read(requested(), 100, "n0", "").has_findings(&[]);
    History::new().attempt(5, "ghost", "s1", "ran").has_findings(&["unasked"]);
    History::new().attempt(5, "ghost", "s1", "void").has_findings(&["unasked"]);
    let with_changed_attempt = |from: &str, to: &str| {
        let history = read(requested(), 200, "n0", "");
        let change = |(t, line): (u64, String)| {
            let line = if line.contains("attempt") { line.replace(from, to) } else { line };
            (t, line)
        };
        History { lines: history.lines.into_iter().map(change).collect(), ..history }
    };
    with_changed_attempt(r#""key":"k""#, r#""key":"l""#).has_findings(&["wrong-key"]);
    with_changed_attempt(r#""key":"k","#, "").has_findings(&["wrong-key"]);
    with_changed_attempt(r#""class":"read""#, r#""class":"edit""#).has_findings(&["wrong-class"]);
    with_changed_attempt(r#""effect""#, r#""token":"t","effect""#).has_findings(&["wrong-token"]);
    let edit = |in_request: &str, in_attempt: &str| {
        let mut history = History::new();
        history.classes.insert("e".into(), "edit".into());
        let rest =
            r#""event":"ask","request":"e","node":"n0","class":"edit","key":"k","until":1000000,"token":"t""#;
        let history = history.at(1, &format!("{rest}{in_request}"));
        let sent = format!(r#""effect":"ran","token":"t"{in_attempt}"#);
        history.sent((5, 5), "e", "n0", "o", &sent).answered(9, "e", "failed")
    };
    edit(r#","digest":"d1""#, r#","digest":"d1""#).has_findings(&[]);
    edit(r#","digest":"d1""#, r#","digest":"d2""#).has_findings(&["wrong-body"]);
    edit(r#","digest":"d1""#, "").has_findings(&["wrong-body"]);
    // Histories of earlier versions have no digests in the records of requests.
    edit("", r#","digest":"d2""#).has_findings(&[]);
    // The key and class of the attempt differ from those of its request.
    let other = r#""event":"ask","request":"b","node":"n0","class":"read","key":"l","until":1000000"#;
    let mixed = History::new().request(1, "a", "read").at(1, other).attempt(5, "b", "s1", "ran");
    mixed.answered(9, "a", "failed").answered(9, "b", "failed").has_findings(&["wrong-key", "wrong-class"]);
}

#[test]
pub fn an_attempt_after_a_resend_or_received_before_its_request_was_recorded_is_no_finding() {
    let closed = r#""event":"closed","request":"a","node":"n0","kept":true"#;
    let again =
        r#""event":"ask","request":"a","node":"n1","class":"read","key":"k","until":1000000,"again":true"#;
    let resent = History::new().request(0, "a", "read").at(50, closed).at(60, again);
    let sent = |history: History, node| {
        history.sent((70, 70), "a", node, "s1", r#""effect":"ran""#).answered(90, "a", "failed")
    };
    sent(resent.clone(), "n1").has_findings(&[]);
    sent(resent.clone(), "n0").has_findings(&[]);
    sent(resent, "n2").has_findings(&["wrong-node"]);
    // The client records a request once its write has returned; the server may have received an attempt
    // before that.
    let ask = r#""event":"ask","request":"a","node":"n0","class":"read","key":"k","until":1000000"#;
    let mut early = History::new().between((10, 90), ask);
    early.classes.insert("a".into(), "read".into());
    early.clone().attempt(10, "a", "s1", "ran").answered(95, "a", "failed").has_findings(&[]);
    early.attempt(9, "a", "s1", "ran").answered(95, "a", "failed").has_findings(&["too-early"]);
    // The history is truncated just before the record of the request, which follows that of the attempt.
    let history = History::new().read(0, "a").attempt(50, "b", "s1", "ran").text();
    let truncated = history.lines().take(6).collect::<Vec<_>>().join("\n");
    let report = audit(truncated.as_bytes()).unwrap();
    assert!(report.holds() && report.attempts == 2, "{report}");
}

#[test]
pub fn too_many_attempts_hedging_and_a_late_shutdown_are_findings() {
    let codes_with_rules = |rules: &str, history: &History| {
        let report = audit_text(&history.text().replacen("\"rules\":{", &format!("\"rules\":{{{rules},"), 1));
        report.findings.iter().map(|f| f.code).collect::<Vec<_>>()
    };
    let has_findings = |rules: &str, history: &History, codes: &[&str]| {
        let found = codes_with_rules(rules, history);
        match MUTATION.get() {
            (Some(disabled_check), differed) => {
                MUTATION.set((Some(disabled_check), differed || found != codes));
            }
            _ => assert_eq!(found, codes, "{rules}"),
        }
    };
    let attempts = |effects: &[&str]| {
        let history = History::new().request(0, "a", "read");
        let attempted = effects
            .iter()
            .zip(1u64..)
            .fold(history, |history, (effect, at)| history.attempt(10 * at, "a", "s1", effect));
        attempted.answered(900, "a", "failed")
    };
    let max_four = r#""max_attempts":4"#;
    has_findings(max_four, &attempts(&["busy"; 4]), &[]);
    has_findings(max_four, &attempts(&["busy"; 5]), &["too-many"]);
    has_findings(max_four, &attempts(&["void", "busy", "busy", "busy", "busy"]), &[]);
    has_findings(r#""max_attempts":0"#, &attempts(&["busy"; 9]), &[]);
    // The client sends the request again, as it does after a connection closed while the request was on its
    // way. The node may then make the maximum number of attempts once more.
    let again =
        r#""event":"ask","request":"a","node":"n0","class":"read","key":"k","until":1000000,"again":true"#;
    has_findings(max_four, &attempts(&["busy"; 8]).at(35, again), &[]);

    let no_hedging = r#""second_copies":false"#;
    let hedged = |event: &str, t: u64| {
        let history = History::new()
            .request(0, "a", "read")
            .attempt(10, "a", "s1", "ran")
            .then(t, "a", "s1", event, "");
        history.attempt(50, "a", "s2", "ran").answered(900, "a", "failed")
    };
    for ended in ["reply", "over"] {
        has_findings(no_hedging, &hedged(ended, 50), &[]);
        has_findings(no_hedging, &hedged(ended, 51), &["second-copy"]);
        has_findings(r#""second_copies":true"#, &hedged(ended, 51), &[]);
    }
    has_findings(no_hedging, &attempts(&["busy", "busy", "ran"]), &[]);
    has_findings(no_hedging, &attempts(&["ran", "ran"]), &["second-copy"]);

    let killed_at = |killed| History::new().node(100, "term").node(killed, "killed");
    let limit = r#""exit_us":3700000"#;
    has_findings(limit, &killed_at(100 + 3_700 * MS), &[]);
    has_findings(limit, &killed_at(101 + 3_700 * MS), &["lingers"]);
    has_findings(r#""exit_us":0"#, &killed_at(9_000 * MS), &[]);
    // A kill without a SIGTERM since the process last became ready.
    has_findings(
        limit,
        &History::new().node(1, "term").node(2, "exited").node(3, "ready").node(9_000 * MS, "killed"),
        &[],
    );
}
