//! Attempts are what was asked, and keep the limits.

use stonevane_audit::audit;

use crate::builder::{History, MS, MUTANT, judged};

#[test]
pub fn an_attempt_that_differs_from_its_request_is_a_finding() {
    let asked = || History::new().request(100, "a", "read");
    let ended = |day: History| day.answered(900, "a", "failed");
    let read = |day: History, t, node, rest: &str| {
        let rest = format!(r#""effect":"ran"{rest}"#);
        ended(day.sent((t, t), "a", node, "s1", &rest))
    };
    read(asked(), 200, "n0", "").has_findings(&[]);
    read(asked(), 200, "n7", "").has_findings(&["wrong-node"]);
    read(asked(), 99, "n0", "").has_findings(&["too-early"]);
    read(asked(), 100, "n0", "").has_findings(&[]);
    History::new().attempt(5, "ghost", "s1", "ran").has_findings(&["unasked"]);
    History::new().attempt(5, "ghost", "s1", "void").has_findings(&["unasked"]);
    let wrong = |from: &str, to: &str| {
        let day = read(asked(), 200, "n0", "");
        let change = |(t, line): (u64, String)| {
            let line = if line.contains("attempt") { line.replace(from, to) } else { line };
            (t, line)
        };
        History { lines: day.lines.into_iter().map(change).collect(), ..day }
    };
    wrong(r#""key":"k""#, r#""key":"l""#).has_findings(&["wrong-key"]);
    wrong(r#""key":"k","#, "").has_findings(&["wrong-key"]);
    wrong(r#""class":"read""#, r#""class":"edit""#).has_findings(&["wrong-class"]);
    wrong(r#""effect""#, r#""token":"t","effect""#).has_findings(&["wrong-token"]);
    let edit = |asked: &str, sent: &str| {
        let mut day = History::new();
        day.classes.insert("e".into(), "edit".into());
        let rest =
            r#""event":"ask","request":"e","node":"n0","class":"edit","key":"k","until":1000000,"token":"t""#;
        let day = day.at(1, &format!("{rest}{asked}"));
        let sent = format!(r#""effect":"ran","token":"t"{sent}"#);
        day.sent((5, 5), "e", "n0", "o", &sent).answered(9, "e", "failed")
    };
    edit(r#","digest":"d1""#, r#","digest":"d1""#).has_findings(&[]);
    edit(r#","digest":"d1""#, r#","digest":"d2""#).has_findings(&["wrong-body"]);
    edit(r#","digest":"d1""#, "").has_findings(&["wrong-body"]);
    // An older history tells no digests of what was asked.
    edit("", r#","digest":"d2""#).has_findings(&[]);
    // Two requests mixed up: each is sent with the other's key.
    let other = r#""event":"ask","request":"b","node":"n0","class":"read","key":"l","until":1000000"#;
    let mixed = History::new().request(1, "a", "read").at(1, other).attempt(5, "b", "s1", "ran");
    mixed.answered(9, "a", "failed").answered(9, "b", "failed").has_findings(&["wrong-key", "wrong-class"]);
}

#[test]
pub fn an_attempt_after_a_resend_or_seen_before_its_request_was_noted_is_no_finding() {
    let closed = r#""event":"closed","request":"a","node":"n0","kept":true"#;
    let again =
        r#""event":"ask","request":"a","node":"n1","class":"read","key":"k","until":1000000,"again":true"#;
    let crossed = History::new().request(0, "a", "read").at(50, closed).at(60, again);
    let sent = |day: History, node| {
        day.sent((70, 70), "a", node, "s1", r#""effect":"ran""#).answered(90, "a", "failed")
    };
    sent(crossed.clone(), "n1").has_findings(&[]);
    sent(crossed.clone(), "n0").has_findings(&[]);
    sent(crossed, "n2").has_findings(&["wrong-node"]);
    // The client notes its ask when its write has returned: the server may have read it by then.
    let ask = r#""event":"ask","request":"a","node":"n0","class":"read","key":"k","until":1000000"#;
    let mut early = History::new().between((10, 90), ask);
    early.classes.insert("a".into(), "read".into());
    early.clone().attempt(10, "a", "s1", "ran").answered(95, "a", "failed").has_findings(&[]);
    early.attempt(9, "a", "s1", "ran").answered(95, "a", "failed").has_findings(&["too-early"]);
    // A history that breaks off just before the ask was written down.
    let day = History::new().read(0, "a").attempt(50, "b", "s1", "ran").text();
    let whole = day.lines().take(6).collect::<Vec<_>>().join("\n");
    let report = audit(whole.as_bytes()).unwrap();
    assert!(report.holds() && report.attempts == 2, "{report}");
}

#[test]
pub fn too_many_attempts_hedging_and_a_late_shutdown_are_findings() {
    let ruled = |rules: &str, day: &History| {
        let report = judged(&day.text().replacen("\"rules\":{", &format!("\"rules\":{{{rules},"), 1));
        report.findings.iter().map(|f| f.code).collect::<Vec<_>>()
    };
    let is = |rules: &str, day: &History, codes: &[&str]| {
        let found = ruled(rules, day);
        match MUTANT.get() {
            (Some(without), missed) => MUTANT.set((Some(without), missed || found != codes)),
            _ => assert_eq!(found, codes, "{rules}"),
        }
    };
    let tries = |effects: &[&str]| {
        let day = History::new().request(0, "a", "read");
        let tried =
            effects.iter().zip(1u64..).fold(day, |day, (effect, at)| day.attempt(10 * at, "a", "s1", effect));
        tried.answered(900, "a", "failed")
    };
    let four = r#""max_attempts":4"#;
    is(four, &tries(&["busy"; 4]), &[]);
    is(four, &tries(&["busy"; 5]), &["too-many"]);
    is(four, &tries(&["void", "busy", "busy", "busy", "busy"]), &[]);
    is(r#""max_attempts":0"#, &tries(&["busy"; 9]), &[]);
    // Asked once more, as it had crossed a close: as many again.
    let again =
        r#""event":"ask","request":"a","node":"n0","class":"read","key":"k","until":1000000,"again":true"#;
    is(four, &tries(&["busy"; 8]).at(35, again), &[]);

    let one = r#""second_copies":false"#;
    let copy = |event: &str, t: u64| {
        let day = History::new()
            .request(0, "a", "read")
            .attempt(10, "a", "s1", "ran")
            .then(t, "a", "s1", event, "");
        day.attempt(50, "a", "s2", "ran").answered(900, "a", "failed")
    };
    for ended in ["reply", "over"] {
        is(one, &copy(ended, 50), &[]);
        is(one, &copy(ended, 51), &["second-copy"]);
        is(r#""second_copies":true"#, &copy(ended, 51), &[]);
    }
    is(one, &tries(&["busy", "busy", "ran"]), &[]);
    is(one, &tries(&["ran", "ran"]), &["second-copy"]);

    let ends = |killed| History::new().node(100, "term").node(killed, "killed");
    let limit = r#""exit_us":3700000"#;
    is(limit, &ends(100 + 3_700 * MS), &[]);
    is(limit, &ends(101 + 3_700 * MS), &["lingers"]);
    is(r#""exit_us":0"#, &ends(9_000 * MS), &[]);
    // A kill that comes of itself, with no term before it in this life.
    is(
        limit,
        &History::new().node(1, "term").node(2, "exited").node(3, "ready").node(9_000 * MS, "killed"),
        &[],
    );
}
