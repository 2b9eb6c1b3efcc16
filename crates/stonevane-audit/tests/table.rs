//! Crooked histories are accused of what they show, honest ones at the very edges are not.
#![allow(missing_docs)]

use stonevane_audit::{HistoryError, Report, audit};

const MS: u64 = 1_000;

/// The rules: three classes, 500 ms of grace, servers that fall over at three times their capacity.
const BEGIN: &str = r#"{"t":[0,0],"who":"lab","event":"begin","rules":{"classes":[{"name":"read"},{"name":"edit","kind":"keyed","scope":"all","window_us":200000},{"name":"near","kind":"keyed","scope":"zone","window_us":200000},{"name":"once","kind":"unsafe"}],"origin":{"capacity_us_per_s":1000000}}}"#;

struct History(Vec<(u64, String)>);

impl History {
    fn new() -> Self {
        History(Vec::new())
    }

    /// Adds an event at an exact moment.
    fn at(mut self, t: u64, rest: &str) -> Self {
        self.0.push((t, format!(r#"{{"t":[{t},{t}],"who":"x",{rest}}}"#)));
        self
    }

    /// Adds an event that happened at some moment between two.
    fn between(mut self, (b, e): (u64, u64), rest: &str) -> Self {
        self.0.push((e, format!(r#"{{"t":[{b},{e}],"who":"x",{rest}}}"#)));
        self
    }

    fn ask(self, t: u64, r: &str, class: &str) -> Self {
        let until = t + 1_000 * MS;
        let rest = format!(
            r#""event":"ask","request":"{r}","node":"n0","class":"{class}","key":"k","until":{until}"#
        );
        self.at(t, &rest)
    }

    fn attempt(self, t: u64, r: &str, server: &str, effect: &str) -> Self {
        let number = self.0.len();
        let rest = format!(
            r#""event":"attempt","server":"{server}","request":"{r}","node":"n0","effect":"{effect}","number":{number},"work_us":10000"#
        );
        self.at(t, &rest)
    }

    fn reply(self, t: u64, r: &str, server: &str, value: &str, version: u64) -> Self {
        let number = self.0.len() - 1;
        let rest = format!(
            r#""event":"reply","server":"{server}","request":"{r}","value":"{value}","version":{version},"number":{number}"#
        );
        self.at(t, &rest)
    }

    fn served(self, t: u64, r: &str, value: &str) -> Self {
        self.at(t, &format!(r#""event":"answer","request":"{r}","outcome":"served","value":"{value}""#))
    }

    fn answered(self, t: u64, r: &str, outcome: &str) -> Self {
        self.at(t, &format!(r#""event":"answer","request":"{r}","outcome":"{outcome}""#))
    }

    fn told(self, t: u64, status: &str, server: &str) -> Self {
        self.at(t, &format!(r#""event":"told","node":"n0","server":"{server}","status":"{status}""#))
    }

    /// An honest read: asked, hit, served.
    fn read(self, t: u64, r: &str) -> Self {
        let value = format!("v-{r}");
        self.ask(t, r, "read").attempt(t + 10, r, "s1", "ran").reply(t + 20, r, "s1", &value, 0).served(
            t + 30,
            r,
            &value,
        )
    }

    fn text(&self) -> String {
        let mut lines = self.0.clone();
        lines.sort_by_key(|(t, _)| *t);
        let last = lines.last().map_or(0, |(t, _)| *t) + 20_000 * MS;
        let lines: Vec<_> = lines.into_iter().map(|(_, line)| line).collect();
        format!(
            "{BEGIN}\n{}\n{{\"t\":[{last},{last}],\"who\":\"lab\",\"event\":\"end\"}}\n",
            lines.join("\n")
        )
    }

    fn report(&self) -> Report {
        audit(self.text().as_bytes()).unwrap()
    }

    #[track_caller]
    fn is(self, codes: &[&str]) {
        let report = self.report();
        let found: Vec<_> = report.findings.iter().map(|f| f.code).collect();
        assert_eq!(found, codes, "{report}");
        assert!(report.findings.iter().all(|f| !f.evidence.is_empty()), "each is proven by lines: {report}");
    }
}

#[test]
fn an_honest_day_is_not_accused() {
    let day = (0..50).fold(History::new(), |day, i| day.read(i * 10 * MS, &format!("r{i}")));
    day.ask(9, "b", "read")
        .answered(90, "b", "refused")
        .ask(9, "f", "once")
        .answered(99, "f", "failed")
        .is(&[]);
}

#[test]
fn rule_1_an_answer_twice_late_or_never_is_accused() {
    History::new().read(0, "a").answered(50, "a", "failed").is(&["twice"]);
    History::new().read(0, "a").at(60, r#""event":"stray","request":"a","node":"n0""#).is(&["twice"]);
    History::new().ask(0, "a", "read").answered(1_050 * MS + 1, "a", "failed").is(&["late"]);
    History::new().ask(0, "a", "read").is(&["unanswered"]);
    History::new().ask(0, "a", "read").at(9, r#""event":"closed","request":"a","node":"n0""#).is(&["lost"]);
    History::new().at(5, r#""event":"node","node":"n0","state":"exited""#).is(&["crashed"]);
    let term = History::new().at(5, r#""event":"node","node":"n0","state":"term""#);
    term.at(6, r#""event":"node","node":"n0","state":"crashed""#).is(&["crashed"]);
}

#[test]
fn rule_1_one_microsecond_inside_each_bound_and_clients_that_left_are_honest() {
    History::new().ask(0, "a", "read").answered(1_050 * MS, "a", "failed").is(&[]);
    // It may have come in time: nothing is proven.
    let rest = r#""event":"answer","request":"a","outcome":"failed""#;
    History::new().ask(0, "a", "read").between((1_050 * MS, 1_400 * MS), rest).is(&[]);
    History::new().ask(0, "a", "read").at(500, r#""event":"gone","request":"a""#).is(&[]);
    // A client gone before its answer, which came all the same.
    let gone = History::new().ask(0, "a", "read").at(500, r#""event":"gone","request":"a""#);
    gone.answered(600, "a", "failed").is(&[]);
    let term = r#""event":"node","node":"n0","state":"term""#;
    let killed = r#""event":"node","node":"n0","state":"killed""#;
    History::new().ask(0, "a", "read").at(900 * MS, killed).is(&[]);
    History::new().ask(0, "a", "read").at(100 * MS, term).at(800 * MS, killed).is(&[]);
    History::new().ask(0, "a", "read").at(100 * MS, term).at(800 * MS + 1, killed).is(&["unanswered"]);
    // Killed before it was asked: another life owes the answer.
    History::new().at(1, killed).ask(2, "a", "read").is(&["unanswered"]);
    let exited = r#""event":"node","node":"n0","state":"exited""#;
    History::new().ask(0, "a", "read").at(1, term).at(700 * MS, exited).is(&["unanswered"]);
}

#[test]
fn rule_1_a_close_that_crosses_a_request_is_honest_and_one_after_reading_it_is_not() {
    let closed = r#""event":"closed","request":"a","node":"n0","kept":true"#;
    let again =
        r#""event":"ask","request":"a","node":"n0","class":"read","key":"k","until":1000000,"again":true"#;
    let honest = History::new().ask(0, "a", "read").at(50, closed).at(60, again);
    honest.attempt(70, "a", "s1", "ran").reply(80, "a", "s1", "v", 0).served(90, "a", "v").is(&[]);
    let read = History::new().ask(0, "a", "read").attempt(20, "a", "s1", "ran").at(50, closed).at(60, again);
    read.reply(80, "a", "s1", "v", 0).served(90, "a", "v").is(&["lost"]);
    // It may have been the second sending that brought the attempt about.
    let either = History::new().ask(0, "a", "read").at(50, closed).between((58, 70), again);
    let either = either.attempt(62, "a", "s1", "ran").reply(80, "a", "s1", "v", 0);
    either.served(90, "a", "v").is(&[]);
}

#[test]
fn rule_1_a_value_of_another_request_or_none_or_an_old_one_is_accused() {
    History::new().read(0, "a").ask(40, "b", "read").served(50, "b", "v-a").is(&["value"]);
    History::new().ask(40, "b", "read").served(50, "b", "made-up").is(&["value"]);
    // A server made one for it, and it was given another's.
    let other = History::new().read(0, "a").ask(40, "b", "read").attempt(41, "b", "s1", "ran");
    other.reply(42, "b", "s1", "v-b", 0).served(50, "b", "v-a").is(&["value"]);
    let edit = |t: u64| {
        let day = History::new().ask(t, "e", "edit").attempt(t + 1, "e", "o", "ran");
        day.reply(t + 2, "e", "o", "receipt", 7).served(t + 3, "e", "receipt")
    };
    let read = |day: History, asked: u64| {
        let day = day.ask(asked, "r", "read").attempt(asked + 5, "r", "s1", "ran");
        day.reply(asked + 6, "r", "s1", "old", 6).served(asked + 7, "r", "old")
    };
    read(edit(0), 4).is(&["stale"]);
    // Asked before the receipt was there, or with it: either value is right.
    read(edit(0), 3).is(&[]);
    read(edit(0), 0).is(&[]);
}

#[test]
fn rule_1_nothing_goes_out_after_the_final_answer() {
    let late =
        |t| History::new().ask(0, "a", "read").answered(10, "a", "failed").attempt(t, "a", "s1", "ran");
    late(10 + 50 * MS).is(&[]);
    late(11 + 50 * MS).is(&["sent-after-answer"]);
}

#[test]
fn rule_2_an_unsafe_request_runs_once() {
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
        let rest = format!(r#""event":"reply","server":"o","request":"a","number":{}"#, 1);
        day.attempt(20, "a", "o", "ran").at(answered, &rest).answered(90, "a", "failed")
    };
    blind(40).is(&["unsafe-again"]);
    blind(15).is(&[]);
    History::new()
        .ask(0, "a", "once")
        .attempt(10, "a", "o", "ran")
        .answered(30, "a", "refused")
        .is(&["refused-after-run"]);
    History::new().ask(0, "a", "once").attempt(10, "a", "o", "busy").answered(30, "a", "refused").is(&[]);
    // A retry of the client has an id of its own.
    let retry = History::new().ask(0, "a", "once").attempt(10, "a", "o", "ran").answered(30, "a", "failed");
    retry.ask(40, "b", "once").attempt(50, "b", "o", "ran").answered(60, "b", "failed").is(&[]);
}

#[test]
fn rule_2_a_keyed_request_goes_again_within_its_window_and_its_group() {
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

#[test]
fn rule_3_nothing_new_after_the_grace_of_a_drain() {
    let sent = |t| History::new().told(100, "leaving", "s1").read(t - 10, "a");
    sent(100 + 550 * MS).is(&[]);
    sent(101 + 550 * MS).is(&["drained"]);
    History::new().told(100, "leaving", "s1").told(600 * MS, "active", "s1").read(700 * MS, "a").is(&[]);
    // It may have been told that the server runs again just before it sent, though that was noted later.
    let active = r#""event":"told","node":"n0","server":"s1","status":"active""#;
    let crossed = History::new().told(100, "leaving", "s1").between((600 * MS, 720 * MS), active);
    crossed.read(700 * MS, "a").is(&[]);
    // Another server's drain, or another node's.
    History::new().told(100, "leaving", "s2").read(700 * MS, "a").is(&[]);
    // The first byte counts, not the last.
    let day = History::new().told(100, "leaving", "s1").ask(1, "a", "read");
    let slow = format!(
        r#""event":"attempt","server":"s1","request":"a","node":"n0","effect":"ran","first":[{0},{0}]"#,
        500 * MS
    );
    day.at(900 * MS, &slow).answered(950 * MS, "a", "failed").is(&[]);
    // What was never told counts as told after a while.
    let change = |t| {
        let day = History::new().at(0, r#""event":"change","server":"s1","status":"left""#);
        day.read(t - 10, "a")
    };
    change(6_550 * MS).is(&[]);
    change(6_550 * MS + 1).is(&["drained"]);
    // A node that has just come back with an old list is given that time anew.
    let ready = r#""event":"node","node":"n0","state":"ready""#;
    let day = History::new().at(0, r#""event":"change","server":"s1","status":"left""#);
    day.at(6_000 * MS, ready).read(7_000 * MS, "a").is(&[]);
}

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
        let rest = format!(
            r#""event":"attempt","server":"s1","request":"q{i}","node":"{node}","effect":"busy","number":{i},"work_us":{}"#,
            each_ms * MS
        );
        day = day.at(10 * MS + i * 1_000, &rest);
    }
    day
}

#[test]
fn rule_4_a_cold_server_pushed_over_by_one_node_or_only_by_all_together_is_accused() {
    // In 2 s it can do about 0.87 s of work, so 2.6 s, and a little, is the most it may be sent.
    pushed(cold(), &["n0"], 50, 60).is(&["cold-server"]);
    pushed(cold(), &["n0", "n1"], 50, 60).is(&["cold-server"]);
    pushed(cold(), &["n0"], 50, 30).is(&[]);
    pushed(cold(), &["n1"], 50, 30).is(&[]);
    // Nodes that can't know of the start are not to blame, though the server may fall.
    pushed(cold(), &["n7"], 50, 60).is(&[]);
    pushed(cold(), &["n0", "n7"], 50, 60).is(&[]);
}

#[test]
fn rule_4_an_origin_pushed_over_through_misses_at_cold_servers_is_accused() {
    let fetches = |mut day: History, misses: u64| {
        for i in 0..200u64 {
            let t = 10 * MS + i * 2_000;
            if i < misses {
                day = day.attempt(t, &format!("q{i}"), "s1", "miss");
            }
            let rest = format!(
                r#""event":"attempt","server":"o","origin":true,"request":"q{i}","node":"n0","effect":"ran","number":{i},"work_us":50000"#
            );
            day = day.at(t + 100, &rest);
        }
        day
    };
    // 7.5 s of work in 3 s is the most.
    fetches(cold(), 90).is(&["origin"]);
    let report = fetches(cold(), 10).report();
    assert!(report.holds() && report.origin_overruns == 1, "held against nobody: {report}");
}

#[test]
fn a_history_that_breaks_off_is_read_to_where_it_breaks_and_bad_lines_are_named() {
    let whole = History::new().read(0, "a").read(100, "b").text();
    for cut in BEGIN.len() + 1..whole.len() {
        let report = audit(&whole.as_bytes()[..cut]).unwrap();
        assert!(report.holds(), "cut at {cut}: {report}");
    }
    let bad = |text: &str| audit(text.as_bytes()).unwrap_err();
    assert!(matches!(bad(""), HistoryError::Empty));
    assert!(matches!(bad("{\"event\":\"ask\"}\n"), HistoryError::NoRules));
    let middle = whole.replacen("\"ask\"", "\"aks\"", 1);
    assert!(bad(&middle).to_string().starts_with("line 2: column "), "{}", bad(&middle));
    let unknown = whole.replacen("\"class\"", "\"clas\"", 1);
    assert!(bad(&unknown).to_string().contains("clas"), "{}", bad(&unknown));
    let long = format!("{BEGIN}\n{}\n", " ".repeat(2 << 20));
    assert!(bad(&long).to_string().starts_with("line 2: longer"));
}

#[test]
fn memory_follows_what_is_open_and_not_the_history() {
    let day = (0..20_000u64).fold(History::new(), |day, i| day.read(i * 10 * MS, &format!("r{i}")));
    let report = day.report();
    assert!(report.holds() && report.requests == 20_000, "{report}");
    assert!(report.held_at_most < 1_000, "{} requests held", report.held_at_most);
}
