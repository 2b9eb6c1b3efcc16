//! Overloads of servers that are warming up, and of the origin behind them.

use crate::builder::{History, MS};

/// Starts the server `s1` with 35% of its capacity of 1 s of work per second, and notifies the nodes `n0` and
/// `n1`.
fn cold_server() -> History {
    let start = r#""event":"start","server":"s1","capacity_us_per_s":1000000,"cold_share":0.35,"warm_us":7500000,"since":1"#;
    let notified_n0 = r#""event":"told","node":"n0","server":"s1","status":"active","since":1"#;
    let notified_n1 = r#""event":"told","node":"n1","server":"s1","status":"active","since":1"#;
    History::new().at(1, start).at(2, notified_n0).at(2, notified_n1)
}

/// Adds `count` attempts at `s1`, one per millisecond, from `nodes` in turn.
fn with_load(mut history: History, nodes: &[&str], each_ms: u64, count: u64) -> History {
    for i in 0..count {
        let node = nodes[i as usize % nodes.len()];
        let (r, t) = (format!("q{i}"), 10 * MS + i * 1_000);
        let until = t + 1_000 * MS;
        let request = format!(r#""event":"ask","request":"{r}","node":"{node}","key":"k","until":{until}"#);
        let rest = format!(r#""effect":"busy","work_us":{}"#, each_ms * MS);
        history = history.at(t, &request).sent((t, t), &r, node, "s1", &rest).answered(t + 1, &r, "failed");
    }
    history
}

#[test]
pub fn a_cold_server_overloaded_by_nodes_that_know_of_its_start_is_a_finding() {
    // In its first 2 s the server can do about 0.87 s of work; three times that, 2.6 s, plus 5% is the limit.
    with_load(cold_server(), &["n0"], 50, 60).has_findings(&["cold-server"]);
    with_load(cold_server(), &["n0", "n1"], 50, 60).has_findings(&["cold-server"]);
    with_load(cold_server(), &["n0"], 50, 30).has_findings(&[]);
    with_load(cold_server(), &["n1"], 50, 30).has_findings(&[]);
    // An overload is not attributed to nodes that were not notified of the start.
    with_load(cold_server(), &["n7"], 50, 60).has_findings(&[]);
    with_load(cold_server(), &["n0", "n7"], 50, 60).has_findings(&[]);
}

#[test]
pub fn an_origin_overloaded_through_misses_at_cold_servers_is_a_finding() {
    assert_origin_overload_is_found();
    let report = with_fetches(cold_server(), 10).report();
    assert!(
        report.holds() && report.origin_overruns == 1,
        "an overload that is not attributed to nodes: {report}"
    );
}

/// Adds 200 fetches from the origin of 50 ms of work each; the first `misses` of them follow a miss at `s1`.
fn with_fetches(mut history: History, misses: u64) -> History {
    for i in 0..200u64 {
        let t = 10 * MS + i * 2_000;
        let r = format!("q{i}");
        history = history.request(t, &r, "read");
        if i < misses {
            history = history.attempt(t, &r, "s1", "miss");
        }
        history = history.sent(
            (t + 100, t + 100),
            &r,
            "n0",
            "o",
            r#""origin":true,"effect":"ran","work_us":50000"#,
        );
        history = history.answered(t + 101, &r, "failed");
    }
    history
}

pub fn assert_origin_overload_is_found() {
    // The limit is 7.5 s of work in 3 s, 2.5 times the origin's capacity.
    with_fetches(cold_server(), 90).has_findings(&["origin"]);
}
