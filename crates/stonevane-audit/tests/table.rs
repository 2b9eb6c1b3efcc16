//! Crooked histories are accused of what they show, honest ones at the very edges are not.
#![allow(missing_docs)]

use std::cell::Cell;
use std::collections::HashMap;

use stonevane_audit::{Auditor, HistoryError, Report, audit, history};

const MS: u64 = 1_000;

/// The rules: three classes, 500 ms of grace, servers that fall over at three times their capacity.
const BEGIN: &str = r#"{"t":[0,0],"who":"lab","event":"begin","rules":{"classes":[{"name":"read"},{"name":"edit","kind":"keyed","scope":"all","window_us":200000},{"name":"near","kind":"keyed","scope":"zone","window_us":200000},{"name":"once","kind":"unsafe"}],"origin":{"capacity_us_per_s":1000000}}}"#;

/// Lines with their moments; the class of each request; the number of the last attempt of each at each server.
#[derive(Default, Clone)]
struct History(Vec<(u64, String)>, HashMap<String, String>, HashMap<String, usize>);

thread_local! {
    /// The judgement that is left out, and whether a test has missed it.
    static MUTANT: Cell<(Option<&'static str>, bool)> = const { Cell::new((None, false)) };
}

/// The verdict on a text, by the auditor or by the mutant that is being tried.
fn judged(text: &str) -> Report {
    let Some(without) = MUTANT.get().0 else { return audit(text.as_bytes()).unwrap() };
    let mut auditor = None;
    let read = history::read(text.as_bytes(), |number, mut line| match &mut auditor {
        None => auditor = line.rules.take().map(|rules| Auditor::mutant(*rules, without)),
        Some(auditor) => auditor.line(number, line),
    });
    read.unwrap();
    auditor.unwrap().finish()
}

impl History {
    fn new() -> Self {
        History::default()
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

    fn ask(mut self, t: u64, r: &str, class: &str) -> Self {
        self.1.insert(r.into(), class.into());
        let until = t + 1_000 * MS;
        let rest = format!(
            r#""event":"ask","request":"{r}","node":"n0","class":"{class}","key":"k","until":{until}"#
        );
        self.at(t, &rest)
    }

    fn attempt(self, t: u64, r: &str, server: &str, effect: &str) -> Self {
        self.sent((t, t), r, "n0", server, &format!(r#""effect":"{effect}","work_us":10000"#))
    }

    /// An attempt from its first byte on, as it must be for what was asked; `rest` comes on top.
    fn sent(mut self, t: (u64, u64), r: &str, node: &str, server: &str, rest: &str) -> Self {
        let number = self.0.len() + 1;
        self.2.insert(format!("{r} {server}"), number);
        let class = self.1.get(r).cloned().unwrap_or_default();
        let rest = format!(
            r#""event":"attempt","server":"{server}","request":"{r}","node":"{node}","class":"{class}","key":"k","number":{number},"first":[{0},{0}],{rest}"#,
            t.0
        );
        self.at(t.1, &rest)
    }

    /// What becomes of the last attempt of a request at a server.
    fn then(self, t: u64, r: &str, server: &str, event: &str, rest: &str) -> Self {
        let number = self.2.get(&format!("{r} {server}")).copied().unwrap_or(999);
        let rest =
            format!(r#""event":"{event}","server":"{server}","request":"{r}","number":{number}{rest}"#);
        self.at(t, &rest)
    }

    fn reply(self, t: u64, r: &str, server: &str, value: &str, version: u64) -> Self {
        self.then(t, r, server, "reply", &format!(r#","value":"{value}","version":{version}"#))
    }

    fn node(self, t: u64, state: &str) -> Self {
        self.at(t, &format!(r#""event":"node","node":"n0","state":"{state}""#))
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
        judged(&self.text())
    }

    #[track_caller]
    fn is(self, codes: &[&str]) {
        self.at_fault(codes, &[]);
    }

    /// The codes of all findings, and of all faults of stand-ins.
    #[track_caller]
    fn at_fault(self, codes: &[&str], faults: &[&str]) {
        let report = self.report();
        let found: Vec<_> = report.findings.iter().map(|f| f.code).collect();
        let faulty: Vec<_> = report.faults.iter().map(|f| f.code).collect();
        if let (Some(without), missed) = MUTANT.get() {
            return MUTANT.set((Some(without), missed || found != codes));
        }
        assert_eq!((found, faulty), (codes.to_vec(), faults.to_vec()), "{report}");
        assert!(report.findings.iter().all(|f| !f.evidence.is_empty()), "each is proven by lines: {report}");
        assert!(report.faults.iter().all(|f| !f.evidence.is_empty()), "each is proven by lines: {report}");
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
    // Killed before it was asked, and ready again: another life owes the answer.
    History::new().at(1, killed).node(2, "ready").ask(3, "a", "read").is(&["unanswered"]);
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
fn what_a_store_of_record_has_committed_may_be_served_and_nothing_else_and_no_edit_is_carried_out_twice() {
    let rules = |day: &History, more: &str| {
        let text = day.text().replacen(r#""rules":{"#, &format!(r#""rules":{{"store":true,{more}"#), 1);
        judged(&text)
    };
    let codes = |day: &History, more: &str, wanted: &[&str]| {
        let report = rules(day, more);
        let found: Vec<_> = report.findings.iter().map(|finding| finding.code).collect();
        if MUTANT.get().0.is_none() {
            assert_eq!(found, wanted, "{report}");
        } else if found != wanted {
            MUTANT.set((MUTANT.get().0, true));
        }
    };
    let stored = |day: History, t: u64, version: u64, value: &str, token: &str| {
        day.at(
            t,
            &format!(r#""event":"stored","key":"k","version":{version},"value":"{value}","token":"{token}""#),
        )
    };
    let edit = |day: History, t: u64, receipt: &str| {
        let until = t + 1_000 * MS;
        let ask = format!(
            r#""event":"ask","request":"e","node":"n0","class":"edit","key":"k","until":{until},"token":"t""#
        );
        day.at(t, &ask).served(t + 100, "e", receipt)
    };
    let read = |day: History, t: u64, value: &str| day.ask(t, "r", "read").served(t + 100, "r", value);
    let two = || stored(stored(History::new(), 10, 1, "one", ""), 50, 2, "two", "t");
    // Both versions are right while the edit is under way, and for two who ask at once.
    codes(&read(edit(two(), 20, "2"), 30, "one"), "", &[]);
    codes(&read(edit(two(), 20, "2"), 30, "two"), "", &[]);
    // After its receipt only the newer one is, or later than the rule says.
    codes(&read(edit(two(), 20, "2"), 121, "one"), "", &["stale"]);
    codes(&read(edit(two(), 20, "2"), 121, "two"), "", &[]);
    codes(&read(edit(two(), 20, "2"), 121, "one"), r#""visible_us":5,"#, &[]);
    codes(&read(edit(two(), 20, "2"), 126, "one"), r#""visible_us":5,"#, &["stale"]);
    // What was never committed, what is committed only later, and a receipt of nobody's.
    codes(&read(two(), 60, "other"), "", &["value"]);
    codes(&read(stored(History::new(), 500, 1, "one", ""), 60, "one"), "", &["value"]);
    codes(&edit(two(), 20, "1"), "", &["value"]);
    codes(&edit(History::new(), 20, "2"), "", &["value"]);
    // An area that was never edited is empty.
    codes(&read(History::new(), 60, ""), "", &[]);
    codes(&read(edit(two(), 20, "2"), 121, ""), "", &["stale"]);
    codes(&stored(two(), 70, 3, "two", "t"), "", &["edit-twice"]);
    codes(&stored(two(), 70, 3, "two", "u"), "", &[]);
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
    // Written to a connection of a life that is over: the next one was told nothing.
    let told = |day: History| day.told(100, "leaving", "s1").node(200, "starting").node(300, "ready");
    told(History::new().node(50, "killed")).read(700 * MS, "a").is(&[]);
    told(History::new().node(40, "term").node(50, "exited")).read(700 * MS, "a").is(&[]);
    told(History::new()).read(700 * MS, "a").is(&["drained"]);
    let starts = History::new().node(50, "killed").node(60, "starting").told(100, "leaving", "s1");
    starts.node(200, "ready").read(700 * MS, "a").is(&["drained"]);
    // The first byte counts, not the last.
    let day = History::new().told(100, "leaving", "s1").ask(1, "a", "read");
    let slow = day.sent((500 * MS, 900 * MS), "a", "n0", "s1", r#""effect":"ran""#);
    slow.answered(950 * MS, "a", "failed").is(&[]);
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
        let (r, t) = (format!("q{i}"), 10 * MS + i * 1_000);
        let until = t + 1_000 * MS;
        let asked = format!(r#""event":"ask","request":"{r}","node":"{node}","key":"k","until":{until}"#);
        let rest = format!(r#""effect":"busy","work_us":{}"#, each_ms * MS);
        day = day.at(t, &asked).sent((t, t), &r, node, "s1", &rest).answered(t + 1, &r, "failed");
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
    rule_4_an_origin_pushed_over_through_misses_at_cold_servers_is_accused_of();
    let report = fetches(cold(), 10).report();
    assert!(report.holds() && report.origin_overruns == 1, "held against nobody: {report}");
}

fn fetches(mut day: History, misses: u64) -> History {
    for i in 0..200u64 {
        let t = 10 * MS + i * 2_000;
        let r = format!("q{i}");
        day = day.ask(t, &r, "read");
        if i < misses {
            day = day.attempt(t, &r, "s1", "miss");
        }
        day = day.sent((t + 100, t + 100), &r, "n0", "o", r#""origin":true,"effect":"ran","work_us":50000"#);
        day = day.answered(t + 101, &r, "failed");
    }
    day
}

fn rule_4_an_origin_pushed_over_through_misses_at_cold_servers_is_accused_of() {
    // 7.5 s of work in 3 s is the most.
    fetches(cold(), 90).is(&["origin"]);
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
    assert!(report.peak_requests < 1_000, "{} requests held", report.peak_requests);
}

#[test]
fn what_is_written_to_a_process_that_is_no_more_or_not_ready_yet_is_lost_by_nobody() {
    // On a connection kept from before, which the client has not seen to be closed.
    let closed = r#""event":"closed","request":"a","node":"n0","kept":true"#;
    let dead = |state| History::new().node(1, "ready").node(10, state).ask(810, "a", "read").at(820, closed);
    dead("killed").is(&[]);
    let term = History::new().node(1, "ready").node(2, "term").node(10, "exited");
    term.clone().ask(810, "a", "read").at(820, closed).is(&[]);
    // While it starts it need not answer; once it is ready it must.
    let starting = History::new().node(1, "killed").node(2, "starting");
    starting.clone().ask(810, "a", "read").node(900, "ready").is(&[]);
    starting.clone().node(800, "ready").ask(810, "a", "read").is(&["unanswered"]);
    // It never came back: nothing is owed.
    starting.ask(810, "a", "read").at(820, closed).is(&[]);
    // It may have been dead already when it was written, and had certainly not been.
    let ended = r#""event":"node","node":"n0","state":"exited""#;
    let noticed = |ask| History::new().node(1, "term").ask(ask, "a", "read").between((500, 900), ended);
    noticed(500).is(&[]);
    noticed(499).is(&["unanswered"]);
    // Another node's end excuses nothing.
    let other = r#""event":"node","node":"n1","state":"killed""#;
    History::new().at(10, other).ask(810, "a", "read").at(820, closed).is(&["lost"]);
    // A kill while it starts, and another start: the first end counts until it is ready.
    let twice = History::new().node(1, "killed").node(5, "starting").node(9, "killed").node(11, "starting");
    twice.ask(20, "a", "read").node(30, "ready").is(&[]);
}

#[test]
fn an_attempt_that_is_not_what_was_asked_is_accused() {
    let asked = || History::new().ask(100, "a", "read");
    let ended = |day: History| day.answered(900, "a", "failed");
    let read = |day: History, t, node, rest: &str| {
        let rest = format!(r#""effect":"ran"{rest}"#);
        ended(day.sent((t, t), "a", node, "s1", &rest))
    };
    read(asked(), 200, "n0", "").is(&[]);
    read(asked(), 200, "n7", "").is(&["wrong-node"]);
    read(asked(), 99, "n0", "").is(&["too-early"]);
    read(asked(), 100, "n0", "").is(&[]);
    History::new().attempt(5, "ghost", "s1", "ran").is(&["unasked"]);
    History::new().attempt(5, "ghost", "s1", "void").is(&["unasked"]);
    let wrong = |from: &str, to: &str| {
        let day = read(asked(), 200, "n0", "");
        let change = |(t, line): (u64, String)| {
            let line = if line.contains("attempt") { line.replace(from, to) } else { line };
            (t, line)
        };
        History(day.0.into_iter().map(change).collect(), day.1, day.2)
    };
    wrong(r#""key":"k""#, r#""key":"l""#).is(&["wrong-key"]);
    wrong(r#""key":"k","#, "").is(&["wrong-key"]);
    wrong(r#""class":"read""#, r#""class":"edit""#).is(&["wrong-class"]);
    wrong(r#""effect""#, r#""token":"t","effect""#).is(&["wrong-token"]);
    let edit = |asked: &str, sent: &str| {
        let mut day = History::new();
        day.1.insert("e".into(), "edit".into());
        let rest =
            r#""event":"ask","request":"e","node":"n0","class":"edit","key":"k","until":1000000,"token":"t""#;
        let day = day.at(1, &format!("{rest}{asked}"));
        let sent = format!(r#""effect":"ran","token":"t"{sent}"#);
        day.sent((5, 5), "e", "n0", "o", &sent).answered(9, "e", "failed")
    };
    edit(r#","digest":"d1""#, r#","digest":"d1""#).is(&[]);
    edit(r#","digest":"d1""#, r#","digest":"d2""#).is(&["wrong-body"]);
    edit(r#","digest":"d1""#, "").is(&["wrong-body"]);
    // An older history tells no digests of what was asked.
    edit("", r#","digest":"d2""#).is(&[]);
    // Two requests mixed up: each is sent with the other's key.
    let other = r#""event":"ask","request":"b","node":"n0","class":"read","key":"l","until":1000000"#;
    let mixed = History::new().ask(1, "a", "read").at(1, other).attempt(5, "b", "s1", "ran");
    mixed.answered(9, "a", "failed").answered(9, "b", "failed").is(&["wrong-key", "wrong-class"]);
}

#[test]
fn an_attempt_of_a_node_that_was_asked_second_or_seen_before_its_ask_was_noted_is_honest() {
    let closed = r#""event":"closed","request":"a","node":"n0","kept":true"#;
    let again =
        r#""event":"ask","request":"a","node":"n1","class":"read","key":"k","until":1000000,"again":true"#;
    let crossed = History::new().ask(0, "a", "read").at(50, closed).at(60, again);
    let sent = |day: History, node| {
        day.sent((70, 70), "a", node, "s1", r#""effect":"ran""#).answered(90, "a", "failed")
    };
    sent(crossed.clone(), "n1").is(&[]);
    sent(crossed.clone(), "n0").is(&[]);
    sent(crossed, "n2").is(&["wrong-node"]);
    // The client notes its ask when its write has returned: the server may have read it by then.
    let ask = r#""event":"ask","request":"a","node":"n0","class":"read","key":"k","until":1000000"#;
    let mut early = History::new().between((10, 90), ask);
    early.1.insert("a".into(), "read".into());
    early.clone().attempt(10, "a", "s1", "ran").answered(95, "a", "failed").is(&[]);
    early.attempt(9, "a", "s1", "ran").answered(95, "a", "failed").is(&["too-early"]);
    // A history that breaks off just before the ask was written down.
    let day = History::new().read(0, "a").attempt(50, "b", "s1", "ran").text();
    let whole = day.lines().take(6).collect::<Vec<_>>().join("\n");
    let report = audit(whole.as_bytes()).unwrap();
    assert!(report.holds() && report.attempts == 2, "{report}");
}

#[test]
fn more_attempts_than_allowed_second_copies_and_a_node_that_does_not_end_are_accused() {
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
        let day = History::new().ask(0, "a", "read");
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
        let day =
            History::new().ask(0, "a", "read").attempt(10, "a", "s1", "ran").then(t, "a", "s1", event, "");
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

#[test]
fn servers_are_witnesses_and_their_own_faults_are_named_apart() {
    let keyed = |server: &str, t: u64| {
        let ask =
            r#""event":"ask","request":"a","node":"n0","class":"edit","key":"k","until":1000000,"token":"t""#;
        let mut day = History::new().at(1, ask);
        day.1.insert("a".into(), "edit".into());
        let ran = r#""effect":"ran","token":"t""#;
        let day = day.sent((10, 10), "a", "n0", "o", ran).sent((t, t), "a", "n0", server, ran);
        day.answered(900 * MS, "a", "failed")
    };
    keyed("o", 20).at_fault(&[], &["ran-twice"]);
    keyed("o", 10 + 200 * MS - 1).at_fault(&[], &["ran-twice"]);
    keyed("o", 10 + 200 * MS).at_fault(&[], &[]);
    keyed("s1", 20).at_fault(&[], &[]);
    // It has started anew in between and knows nothing.
    keyed("o", 20).at(15, r#""event":"start","server":"o""#).at_fault(&[], &[]);
    let read = History::new().read(0, "a");
    read.clone().reply(25, "a", "s1", "v-a", 0).at_fault(&[], &["replied-twice"]);
    let number = r#""event":"reply","server":"s1","request":"a","number":77,"value":"w""#;
    read.clone().at(25, number).at_fault(&[], &["reply-to-none"]);
    // An answer that comes when its request is long forgotten.
    let late = History::new().ask(0, "a", "read").attempt(9, "a", "s1", "ran").answered(10, "a", "failed");
    late.reply(9_000 * MS, "a", "s1", "v", 0).at_fault(&[], &[]);
    let report = read.reply(25, "a", "s1", "v-a", 0).report();
    assert!(
        report.holds() && report.to_string().contains("the stand-in s1 is at fault, replied-twice"),
        "{report}"
    );
    let json = serde_json::to_value(&report).unwrap();
    assert_eq!(
        (&json["faults"][0]["code"], json["faults"][0]["evidence"][0]["line"].as_u64()),
        (&"replied-twice".into(), Some(4))
    );
}

#[test]
fn a_judgement_that_is_left_out_is_missed_by_these_tests() {
    let tests: [fn(); 15] = [
        rule_1_an_answer_twice_late_or_never_is_accused,
        rule_1_one_microsecond_inside_each_bound_and_clients_that_left_are_honest,
        rule_1_a_close_that_crosses_a_request_is_honest_and_one_after_reading_it_is_not,
        rule_1_a_value_of_another_request_or_none_or_an_old_one_is_accused,
        rule_1_nothing_goes_out_after_the_final_answer,
        what_a_store_of_record_has_committed_may_be_served_and_nothing_else_and_no_edit_is_carried_out_twice,
        rule_2_an_unsafe_request_runs_once,
        rule_2_a_keyed_request_goes_again_within_its_window_and_its_group,
        rule_3_nothing_new_after_the_grace_of_a_drain,
        rule_4_a_cold_server_pushed_over_by_one_node_or_only_by_all_together_is_accused,
        rule_4_an_origin_pushed_over_through_misses_at_cold_servers_is_accused_of,
        what_is_written_to_a_process_that_is_no_more_or_not_ready_yet_is_lost_by_nobody,
        an_attempt_that_is_not_what_was_asked_is_accused,
        an_attempt_of_a_node_that_was_asked_second_or_seen_before_its_ask_was_noted_is_honest,
        more_attempts_than_allowed_second_copies_and_a_node_that_does_not_end_are_accused,
    ];
    for without in Auditor::JUDGEMENTS {
        MUTANT.set((Some(without), false));
        tests.iter().for_each(|test| test());
        assert!(MUTANT.replace((None, false)).1, "no test misses the judgement `{without}`");
    }
}
