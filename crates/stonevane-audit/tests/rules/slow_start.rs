//! Servers that warm up, and the origin behind them, are not overloaded.

use crate::builder::{History, MS};

/// A cold server: 2 s of work a second when warm, 35% at first; three times 1.1 to 1.8 s of work in 2 s.
fn cold() -> History {
    let start = r#""event":"start","server":"s1","capacity_us_per_s":1000000,"cold_share":0.35,"warm_us":7500000,"since":1"#;
    let told = r#""event":"told","node":"n0","server":"s1","status":"active","since":1"#;
    let other = r#""event":"told","node":"n1","server":"s1","status":"active","since":1"#;
    History::new().at(1, start).at(2, told).at(2, other)
}

fn pushed(mut day: History, nodes: &[&str], each_ms: u64, count: u64) -> History {
    for i in 0..count {
        let node = nodes[i as usize % nodes.len()];
        let (r, t) = (format!("q{i}"), 10 * MS + i * 1_000);
        let until = t + 1_000 * MS;
        let asked = format!(r#""event":"ask","request":"{r}","node":"{node}","key":"k","until":{until}"#);
        let rest = format!(r#""effect":"busy","work_us":{}"#, each_ms * MS);
        day = day.at(t, &asked).sent((t, t), &r, node, "s1", &rest).answered(t + 1, &r, "failed");
    }
    day
}

#[test]
pub fn a_cold_server_overloaded_by_nodes_that_know_of_its_start_is_a_finding() {
    // In 2 s it can do about 0.87 s of work, so 2.6 s, and a little, is the most it may be sent.
    pushed(cold(), &["n0"], 50, 60).has_findings(&["cold-server"]);
    pushed(cold(), &["n0", "n1"], 50, 60).has_findings(&["cold-server"]);
    pushed(cold(), &["n0"], 50, 30).has_findings(&[]);
    pushed(cold(), &["n1"], 50, 30).has_findings(&[]);
    // Nodes that can't know of the start are not to blame, though the server may fall.
    pushed(cold(), &["n7"], 50, 60).has_findings(&[]);
    pushed(cold(), &["n0", "n7"], 50, 60).has_findings(&[]);
}

#[test]
pub fn an_origin_overloaded_through_misses_at_cold_servers_is_a_finding() {
    an_origin_overloaded_through_misses_at_cold_servers_is_found();
    let report = fetches(cold(), 10).report();
    assert!(report.holds() && report.origin_overruns == 1, "held against nobody: {report}");
}

fn fetches(mut day: History, misses: u64) -> History {
    for i in 0..200u64 {
        let t = 10 * MS + i * 2_000;
        let r = format!("q{i}");
        day = day.request(t, &r, "read");
        if i < misses {
            day = day.attempt(t, &r, "s1", "miss");
        }
        day = day.sent((t + 100, t + 100), &r, "n0", "o", r#""origin":true,"effect":"ran","work_us":50000"#);
        day = day.answered(t + 101, &r, "failed");
    }
    day
}

pub fn an_origin_overloaded_through_misses_at_cold_servers_is_found() {
    // 7.5 s of work in 3 s is the most.
    fetches(cold(), 90).has_findings(&["origin"]);
}
