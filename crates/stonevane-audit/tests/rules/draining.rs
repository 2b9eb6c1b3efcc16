//! Attempts at a draining server after the grace period.

use crate::builder::{History, MS};

#[test]
pub fn an_attempt_at_a_draining_server_after_the_grace_period_is_a_finding() {
    let sent = |t| History::new().notified(100, "leaving", "s1").read(t - 10, "a");
    sent(100 + 550 * MS).has_findings(&[]);
    sent(101 + 550 * MS).has_findings(&["drained"]);
    History::new()
        .notified(100, "leaving", "s1")
        .notified(600 * MS, "active", "s1")
        .read(700 * MS, "a")
        .has_findings(&[]);
    // The node may have been notified that the server is active again before it sent, though the record's
    // upper bound is later.
    let active = r#""event":"told","node":"n0","server":"s1","status":"active""#;
    let overlapping = History::new().notified(100, "leaving", "s1").between((600 * MS, 720 * MS), active);
    overlapping.read(700 * MS, "a").has_findings(&[]);
    // The drain of another server.
    History::new().notified(100, "leaving", "s2").read(700 * MS, "a").has_findings(&[]);
    // Discovery notified a process that had ended; the next process has not been notified.
    let notified_then_started =
        |history: History| history.notified(100, "leaving", "s1").node(200, "starting").node(300, "ready");
    notified_then_started(History::new().node(50, "killed")).read(700 * MS, "a").has_findings(&[]);
    notified_then_started(History::new().node(40, "term").node(50, "exited"))
        .read(700 * MS, "a")
        .has_findings(&[]);
    notified_then_started(History::new()).read(700 * MS, "a").has_findings(&["drained"]);
    let starts = History::new().node(50, "killed").node(60, "starting").notified(100, "leaving", "s1");
    starts.node(200, "ready").read(700 * MS, "a").has_findings(&["drained"]);
    // The first byte counts, not the last.
    let history = History::new().notified(100, "leaving", "s1").request(1, "a", "read");
    let slow = history.sent((500 * MS, 900 * MS), "a", "n0", "s1", r#""effect":"ran""#);
    slow.answered(950 * MS, "a", "failed").has_findings(&[]);
    // A node without a notification counts as notified once the assumed delay has passed.
    let change = |t| {
        let history = History::new().at(0, r#""event":"change","server":"s1","status":"left""#);
        history.read(t - 10, "a")
    };
    change(6_550 * MS).has_findings(&[]);
    change(6_550 * MS + 1).has_findings(&["drained"]);
    // The delay restarts for a node that has just restarted with an old list.
    let ready = r#""event":"node","node":"n0","state":"ready""#;
    let history = History::new().at(0, r#""event":"change","server":"s1","status":"left""#);
    history.at(6_000 * MS, ready).read(7_000 * MS, "a").has_findings(&[]);
}
