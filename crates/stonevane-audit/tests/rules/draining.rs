//! Nothing new to a server that drains.

use crate::builder::{History, MS};

#[test]
pub fn an_attempt_after_the_grace_of_a_drain_is_a_finding() {
    let sent = |t| History::new().notified(100, "leaving", "s1").read(t - 10, "a");
    sent(100 + 550 * MS).has_findings(&[]);
    sent(101 + 550 * MS).has_findings(&["drained"]);
    History::new()
        .notified(100, "leaving", "s1")
        .notified(600 * MS, "active", "s1")
        .read(700 * MS, "a")
        .has_findings(&[]);
    // It may have been told that the server runs again just before it sent, though that was noted later.
    let active = r#""event":"told","node":"n0","server":"s1","status":"active""#;
    let crossed = History::new().notified(100, "leaving", "s1").between((600 * MS, 720 * MS), active);
    crossed.read(700 * MS, "a").has_findings(&[]);
    // Another server's drain, or another node's.
    History::new().notified(100, "leaving", "s2").read(700 * MS, "a").has_findings(&[]);
    // Written to a connection of a life that is over: the next one was told nothing.
    let told = |day: History| day.notified(100, "leaving", "s1").node(200, "starting").node(300, "ready");
    told(History::new().node(50, "killed")).read(700 * MS, "a").has_findings(&[]);
    told(History::new().node(40, "term").node(50, "exited")).read(700 * MS, "a").has_findings(&[]);
    told(History::new()).read(700 * MS, "a").has_findings(&["drained"]);
    let starts = History::new().node(50, "killed").node(60, "starting").notified(100, "leaving", "s1");
    starts.node(200, "ready").read(700 * MS, "a").has_findings(&["drained"]);
    // The first byte counts, not the last.
    let day = History::new().notified(100, "leaving", "s1").request(1, "a", "read");
    let slow = day.sent((500 * MS, 900 * MS), "a", "n0", "s1", r#""effect":"ran""#);
    slow.answered(950 * MS, "a", "failed").has_findings(&[]);
    // What was never told counts as told after a while.
    let change = |t| {
        let day = History::new().at(0, r#""event":"change","server":"s1","status":"left""#);
        day.read(t - 10, "a")
    };
    change(6_550 * MS).has_findings(&[]);
    change(6_550 * MS + 1).has_findings(&["drained"]);
    // A node that has just come back with an old list is given that time anew.
    let ready = r#""event":"node","node":"n0","state":"ready""#;
    let day = History::new().at(0, r#""event":"change","server":"s1","status":"left""#);
    day.at(6_000 * MS, ready).read(7_000 * MS, "a").has_findings(&[]);
}
