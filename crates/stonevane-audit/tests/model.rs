//! The streaming auditor against a slow and obvious one, on thousands of small random histories.
#![allow(missing_docs)]

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use stonevane_audit::*;

const MS: u64 = 1_000;
const SLACK: u64 = 50 * MS;

fn rules() -> Rules {
    let class = |name: &str, kind, scope| ClassRule { name: name.into(), kind, scope, window_us: 200 * MS };
    Rules {
        classes: vec![
            class("read", Idempotency::Idempotent, DedupScope::All),
            class("edit", Idempotency::WithKey, DedupScope::All),
            class("near", Idempotency::WithKey, DedupScope::Zone),
            class("once", Idempotency::NonIdempotent, DedupScope::All),
        ],
        assumed_notified_us: 0,
        max_attempts: 2,
        hedging: false,
        origin: OriginRule { capacity_us_per_s: 100_000.0, ..OriginRule::default() },
        ..Rules::default()
    }
}

/// Each event as its kind, place, request, moments and a free figure.
type Draw = (u8, u8, u8, u64, u64, u8);

const CLASSES: [&str; 4] = ["read", "edit", "near", "once"];

fn line((kind, place, request, begun, width, free): Draw, number: u64) -> HistoryRecord {
    let server = ["s0", "s1", "o"][usize::from(place % 3)];
    let (begun, ended) = (begun, begun + width);
    let base = HistoryRecord {
        time: TimeInterval::from((begun, ended)),
        recorder: "x".into(),
        request: format!("r{request}"),
        node: format!("n{}", place / 3 % 2),
        ..HistoryRecord::default()
    };
    let at = |base| HistoryRecord { server: server.into(), ..base };
    match kind {
        0..3 => {
            let class = CLASSES[usize::from(request) % 4].into();
            let (key, digest) = (format!("k{}", free / 20), "d".into());
            HistoryRecord { event: Event::Request, class, key, digest, deadline: ended + 400 * MS, ..base }
        }
        3..6 => {
            let outcome = [Outcome::Served, Outcome::Rejected, Outcome::Failed][usize::from(free % 3)];
            let value = if outcome == Outcome::Served { format!("v{}", free % 8) } else { String::new() };
            HistoryRecord { event: Event::Answer, outcome: Some(outcome), value, ..base }
        }
        6..10 => {
            let effect = [
                Effect::Ran,
                Effect::Busy,
                Effect::Miss,
                Effect::NotReceived,
                Effect::Deduplicated,
                Effect::Ran,
            ];
            let effect = Some(effect[usize::from(free % 6)]);
            let (origin, work_us) = (server == "o", 150 * MS);
            // Its class is known from its own line when it comes before what asked for it.
            let class = CLASSES[usize::from(request + u8::from(free == 19)) % 4].into();
            let token = if free == 18 { "t".into() } else { String::new() };
            let digest = if free == 17 { String::new() } else { "d".into() };
            let key = format!("k{}", free / 20);
            let sent = HistoryRecord { class, idempotency_key: token, digest, key, ..base };
            at(HistoryRecord { event: Event::Attempt, effect, number, origin, work_us, ..sent })
        }
        10 => {
            let (value, number) = (format!("v{}", free % 8), u64::from(free));
            at(HistoryRecord { event: Event::Reply, value, version: u64::from(free % 4), number, ..base })
        }
        11 => HistoryRecord { event: Event::ClientLeft, ..base },
        12 => HistoryRecord { event: Event::Closed, reused_connection: true, ..base },
        13 => {
            let status = ["active", "leaving", "left"][usize::from(free % 3)].into();
            at(HistoryRecord { event: Event::Notified, status, started_at: 1, ..base })
        }
        14 => HistoryRecord { event: Event::Node, node: "n1".into(), state: "killed".into(), ..base },
        15 => HistoryRecord { event: Event::Node, node: "n1".into(), state: "ready".into(), ..base },
        _ => at(HistoryRecord { event: Event::AttemptEnded, number: u64::from(free), ..base }),
    }
}

fn history(draws: Vec<Draw>) -> Vec<HistoryRecord> {
    let start = |server: &str, zone: &str, warm_us| HistoryRecord {
        event: Event::Start,
        server: server.into(),
        zone: zone.into(),
        started_at: 1,
        capacity_us_per_s: 200_000.0,
        cold_share: 0.35,
        warm_us,
        ..HistoryRecord::default()
    };
    let mut lines = vec![start("s0", "a", 7_500 * MS), start("s1", "b", 0)];
    let drawn: Vec<_> = draws.into_iter().enumerate().map(|(at, draw)| line(draw, at as u64 % 64)).collect();
    lines.extend(drawn);
    lines.sort_by_key(|line| line.time.latest);
    lines.push(HistoryRecord {
        event: Event::End,
        time: TimeInterval::from((60_000 * MS, 60_000 * MS)),
        ..HistoryRecord::default()
    });
    lines
}

type Found = BTreeSet<(String, String)>;

/// The whole history, searched anew for each question.
struct Model<'a> {
    rules: &'a Rules,
    lines: &'a [HistoryRecord],
}

impl<'a> Model<'a> {
    /// The lines of an event and a request that stand before a place.
    fn of(&self, event: Event, request: &str, before: usize) -> Vec<(usize, &'a HistoryRecord)> {
        let all = self.lines.iter().enumerate().take(before);
        all.filter(|(_, l)| l.event == event && l.request == request).collect()
    }

    fn all(&self, event: Event, request: &str) -> Vec<(usize, &'a HistoryRecord)> {
        self.of(event, request, usize::MAX)
    }

    fn class(&self, request: &str, before: usize) -> ClassRule {
        let ask = self.of(Event::Request, request, before).into_iter().next();
        let attempt = self.of(Event::Attempt, request, before).into_iter().next();
        self.rules.class(ask.or(attempt).map_or("", |(_, l)| &l.class))
    }

    /// The version that an answer showed, where a server made it for this request.
    fn shown(&self, answer: usize) -> Option<u64> {
        let l = &self.lines[answer];
        let replies = self.of(Event::Reply, &l.request, answer);
        replies.into_iter().find(|(_, r)| r.value == l.value).map(|(_, r)| r.version)
    }

    /// Whether it is its request's first answer, and served.
    fn served(&self, at: usize) -> bool {
        let l = &self.lines[at];
        l.event == Event::Answer
            && l.outcome == Some(Outcome::Served)
            && self.all(Event::Answer, &l.request)[0].0 == at
    }

    fn stale(&self, at: usize, version: u64) -> bool {
        let asks = |at: usize| self.of(Event::Request, &self.lines[at].request, at).into_iter().next();
        let Some((_, asked)) = asks(at) else { return false };
        (0..at).any(|e| {
            self.served(e)
                && self.class(&self.lines[e].request, e).kind != Idempotency::Idempotent
                && asks(e).is_some_and(|(_, ask)| ask.key == asked.key)
                && self.lines[e].time.latest < asked.time.earliest
                && self.shown(e).is_some_and(|new| new > version)
        })
    }

    fn zone(line: &HistoryRecord) -> Option<&'static str> {
        match line.server_name() {
            "s0" => Some("a"),
            "s1" => Some("b"),
            _ => None,
        }
    }

    fn found(&self) -> Found {
        let mut found = Found::new();
        let mut add = |code: &str, request: &str| {
            found.insert((code.into(), request.into()));
        };
        for (i, l) in self.lines.iter().enumerate() {
            let r = l.request.as_str();
            let class = self.class(r, i + 1);
            let harmful = class.kind == Idempotency::NonIdempotent
                || class.kind == Idempotency::WithKey && class.scope != DedupScope::All;
            let attempts = self.of(Event::Attempt, r, i);
            let ran = |a: &&HistoryRecord| a.effect == Some(Effect::Ran);
            match l.event {
                Event::Request => {
                    // Sent once more after a close that had read it.
                    let closes = self.of(Event::Closed, r, i);
                    let asks = self.of(Event::Request, r, i);
                    let since = asks.last().map_or(0, |(at, _)| *at);
                    let answered = |at: usize| !self.of(Event::Answer, r, at).is_empty();
                    let closed = closes.iter().any(|(at, _)| *at > since && !answered(*at));
                    let read = attempts.iter().any(|(_, a)| a.time.latest < l.time.earliest);
                    if !asks.is_empty() && closed && read {
                        add("lost", r);
                    }
                }
                Event::Answer if self.all(Event::Answer, r)[0].0 != i => add("twice", r),
                Event::Answer => {
                    let ask = self.of(Event::Request, r, i);
                    if ask.last().is_some_and(|(_, ask)| l.time.earliest > ask.deadline + SLACK) {
                        add("late", r);
                    }
                    match (l.outcome, self.shown(i)) {
                        (Some(Outcome::Rejected), _) if harmful && attempts.iter().any(|(_, a)| ran(a)) => {
                            add("refused-after-run", r);
                        }
                        (Some(Outcome::Served), None) => add("value", r),
                        (Some(Outcome::Served), Some(version))
                            if class.kind == Idempotency::Idempotent && self.stale(i, version) =>
                        {
                            add("stale", r);
                        }
                        _ => {}
                    }
                }
                Event::Attempt if l.effect != Some(Effect::NotReceived) => {
                    let answers = self.of(Event::Answer, r, i);
                    if let Some((_, answer)) = answers.first() {
                        if answer.outcome == Some(Outcome::Rejected) && harmful && ran(&l) {
                            add("refused-after-run", r);
                        }
                        if answer.time.latest + SLACK < l.time.earliest {
                            add("sent-after-answer", r);
                        }
                    }
                    for (_, earlier) in attempts.iter().filter(|(_, a)| ran(a)) {
                        let after = l.time.earliest > earlier.time.latest;
                        let (one, other) = (Model::zone(earlier), Model::zone(l));
                        let apart = class.scope == DedupScope::Zone
                            && one.is_some()
                            && other.is_some()
                            && one != other;
                        if class.kind == Idempotency::NonIdempotent && (ran(&l) || after) {
                            add("unsafe-again", r);
                        }
                        if class.kind == Idempotency::WithKey && (ran(&l) || after) && apart {
                            add("group", r);
                        } else if class.kind == Idempotency::WithKey
                            && l.time.earliest > earlier.time.latest + class.window_us + SLACK
                        {
                            add("window", r);
                        }
                    }
                    self.drain(i, &mut add);
                }
                Event::Reply if class.kind == Idempotency::NonIdempotent => {
                    let own = attempts
                        .iter()
                        .find(|(_, a)| a.server_name() == l.server_name() && a.number == l.number);
                    let blind = |a: &HistoryRecord, own: &HistoryRecord| {
                        own.time.latest < a.time.earliest
                            && a.time.latest < l.time.earliest
                            && a.effect != Some(Effect::NotReceived)
                    };
                    if own.is_some_and(|(_, own)| attempts.iter().any(|(_, a)| blind(a, own))) {
                        add("unsafe-again", r);
                    }
                }
                _ => {}
            }
        }
        self.ends(&mut add);
        self.ties(&mut add);
        for server in ["s0", "o"] {
            self.budget(server, &mut add);
        }
        found
    }

    /// Whether what discovery wrote to a node came to a process that still lives at a later line.
    fn heard(&self, told: usize, until: usize) -> bool {
        let node = &self.lines[told].node;
        let of = |l: &&HistoryRecord| l.event == Event::Node && l.node == *node;
        let gone = self.lines[..told].iter().rfind(of).is_some_and(|l| l.state == "killed");
        !gone && !self.lines[told..until].iter().filter(of).any(|l| l.state == "killed")
    }

    fn drain(&self, i: usize, add: &mut impl FnMut(&str, &str)) {
        let l = &self.lines[i];
        let judged = self.lines.partition_point(|t| t.time.latest < l.time.latest + 1_000 * MS);
        let told = |j: &usize, until: usize| {
            let t = &self.lines[*j];
            t.event == Event::Notified
                && t.node == l.node
                && t.server_name() == l.server_name()
                && self.heard(*j, until)
        };
        let by_then = told;
        let told = |j: &usize| by_then(j, i);
        // The first word of its end since it last ran.
        let last_up = (0..i).filter(told).rfind(|j| self.lines[*j].status == "active").map_or(0, |j| j + 1);
        let Some(down) = (last_up..i).find(told).map(|j| &self.lines[j]) else { return };
        let cleared = (0..judged).filter(|j| by_then(j, judged)).map(|j| &self.lines[j]).any(|t| {
            t.status == "active" && t.time.earliest >= down.time.earliest && t.time.earliest <= l.time.latest
        });
        if l.time.earliest > down.time.latest + 550 * MS && !cleared {
            add("drained", &l.request);
        }
    }

    fn ends(&self, add: &mut impl FnMut(&str, &str)) {
        let names: BTreeSet<&str> = self.lines.iter().map(|l| l.request.as_str()).collect();
        for r in names {
            let Some((at, ask)) = self.all(Event::Request, r).last().copied() else { continue };
            let by = ask.deadline + SLACK;
            let of = |l: &&HistoryRecord, state: &str| {
                l.event == Event::Node && l.node == ask.node && l.state == state
            };
            let kills = self.lines.iter().filter(|l| of(l, "killed"));
            let killed = kills.clone().any(|k| k.time.latest >= ask.time.earliest && k.time.earliest <= by);
            // From its first kill since it was ready until it is ready again.
            let dead = (0..self.lines.len()).filter(|j| of(&&self.lines[*j], "killed")).any(|j| {
                let since = self.lines[..j].iter().rposition(|l| of(&l, "ready")).map_or(0, |r| r + 1);
                let first = self.lines[since..j].iter().all(|l| !of(&l, "killed"));
                let ready = self.lines[j..].iter().find(|l| of(l, "ready"));
                let until = ready.map_or(u64::MAX, |l| l.time.latest);
                first && self.lines[j].time.earliest <= ask.time.latest && until >= ask.time.earliest
            });
            let excused = killed || dead || !self.all(Event::ClientLeft, r).is_empty();
            if !self.all(Event::Answer, r).is_empty() || excused {
                continue;
            }
            let closed = self.all(Event::Closed, r).iter().any(|(j, _)| *j > at);
            add(if closed { "lost" } else { "unanswered" }, r);
        }
    }

    /// Each attempt held against all that was asked.
    fn ties(&self, add: &mut impl FnMut(&str, &str)) {
        for (i, l) in self.lines.iter().enumerate().filter(|(_, l)| l.event == Event::Attempt) {
            let r = l.request.as_str();
            let asks = self.all(Event::Request, r);
            let Some((_, ask)) = asks.first() else {
                add("unasked", r);
                continue;
            };
            let own: Vec<_> = asks.iter().filter(|(_, a)| a.node == l.node).collect();
            if own.is_empty() {
                add("wrong-node", r);
            } else if own.iter().all(|(_, a)| l.time.latest < a.time.earliest) {
                add("too-early", r);
            }
            let pairs = [
                ("wrong-key", &ask.key, &l.key),
                ("wrong-class", &ask.class, &l.class),
                ("wrong-token", &ask.idempotency_key, &l.idempotency_key),
                ("wrong-body", &ask.digest, &l.digest),
            ];
            pairs.into_iter().filter(|(_, asked, sent)| asked != sent).for_each(|(code, ..)| add(code, r));
            if l.effect == Some(Effect::NotReceived) || own.is_empty() {
                continue;
            }
            let mine = |a: &&HistoryRecord| a.node == l.node && a.effect != Some(Effect::NotReceived);
            let all = self.all(Event::Attempt, r).into_iter().map(|(_, a)| a).filter(mine).count();
            if all > 2 * own.len() {
                add("too-many", r);
            }
            for (_, earlier) in self.of(Event::Attempt, r, i).into_iter().filter(|(_, a)| mine(a)) {
                let ends = self.all(Event::Reply, r).into_iter().chain(self.all(Event::AttemptEnded, r));
                let mut ends = ends
                    .filter(|(_, o)| o.server_name() == earlier.server_name() && o.number == earlier.number);
                let out = earlier.time.latest < l.time.earliest && earlier.effect != Some(Effect::Busy);
                if out && !ends.any(|(_, o)| o.time.earliest <= l.time.latest) {
                    add("second-copy", r);
                }
            }
        }
    }

    /// Every window of a server, from each arrival on.
    fn budget(&self, server: &str, add: &mut impl FnMut(&str, &str)) {
        let came = self.lines.iter().enumerate().filter(|(_, l)| {
            l.event == Event::Attempt && l.server_name() == server && l.effect != Some(Effect::NotReceived)
        });
        let came: Vec<_> = came.collect();
        let origin = server == "o";
        let window =
            if origin { self.rules.origin.overload_window_us } else { self.rules.overload_window_us };
        for (last, (_, end)) in came.iter().enumerate() {
            for (_, from) in &came {
                if from.time.earliest + window < end.time.latest {
                    continue;
                }
                // In small steps: an integral for those who don't trust the other.
                let work_capacity: f64 = if origin == true {
                    window as f64 * 0.1 * 2.5
                } else {
                    let part = |at: u64| 0.35 + 0.65 * (at as f64 / 7_500_000.0).min(1.0);
                    let steps = (0..window / 10_000)
                        .map(|s| part(from.time.earliest + s * 10_000 + 5_000) * 0.2 * 10_000.0);
                    steps.sum::<f64>() * 3.0 * 1.05
                };
                let within = came[..=last].iter().filter(|(_, a)| a.time.earliest >= from.time.earliest);
                let (mut sum, mut counted) = (0.0, 0.0);
                for (j, a) in within {
                    sum += a.work_us as f64;
                    let cold = |(k, m): &(usize, &HistoryRecord)| {
                        *k <= *j
                            && m.server_name() == "s0"
                            && m.effect == Some(Effect::Miss)
                            && m.time.latest < 7_500_000
                    };
                    let told = self.lines.iter().enumerate().take(*j).any(|(at, t)| {
                        t.event == Event::Notified
                            && self.heard(at, *j)
                            && t.node == a.node
                            && t.server_name() == server
                            && t.status == "active"
                            && t.time.latest <= a.time.earliest
                    });
                    let counts = match origin {
                        true => self.all(Event::Attempt, &a.request).iter().any(cold),
                        false => told,
                    };
                    counted += if counts { a.work_us as f64 } else { 0.0 };
                }
                let part = if origin { 1.0 / 3.0 } else { 2.0 / 3.0 };
                if sum > work_capacity && counted >= part * sum {
                    add(if origin { "origin" } else { "cold-server" }, "");
                }
            }
        }
    }
}

/// What a history is mostly about.
#[derive(Clone, Copy, PartialEq)]
enum About {
    Everything,
    Load,
    Values,
}

fn draws(about: About) -> impl Strategy<Value = Vec<Draw>> {
    // Moments on a coarse grid and its neighbours, so that bounds are met to the microsecond.
    let moment = (0u64..80, 0u64..3).prop_map(|(slot, off)| 10_000 + slot * 50 * MS + off);
    let width = prop_oneof![Just(0u64), Just(1), Just(30 * MS), Just(200 * MS)];
    let kind = match about {
        About::Everything => (0u8..17).boxed(),
        About::Load => prop_oneof![8 => 6u8..10, 1 => Just(13u8)].boxed(),
        About::Values => prop_oneof![Just(0u8), Just(3), Just(10)].boxed(),
    };
    let place = match about {
        About::Load => prop_oneof![Just(0u8), Just(2), Just(3)].boxed(),
        _ => (0u8..6).boxed(),
    };
    let requests = match about {
        About::Everything => 0u8..4,
        About::Load => 0u8..40,
        About::Values => 0u8..2,
    };
    let free = match about {
        About::Values => prop_oneof![Just(0u8), Just(6), Just(18)].boxed(),
        _ => (0u8..24).boxed(),
    };
    let event = (kind, place, requests, moment, width, free);
    if about == About::Values {
        // An edit and then a read, each asked, made and answered, in nearly this order.
        let steps = [(0u8, 1u8), (10, 1), (3, 1), (0, 0), (10, 0), (3, 0)];
        let drawn =
            proptest::collection::vec((0u64..5, 0u64..3, prop_oneof![Just(0u8), Just(18)]), steps.len());
        let skeleton = drawn.prop_map(move |drawn| {
            let moments = steps.into_iter().zip(drawn).enumerate();
            let event = |(at, ((kind, request), (late, off, free)))| {
                (kind, 0, request, 10_000 + (2 * at as u64 + late) * 50 * MS + off, 0, free)
            };
            moments.map(event).collect::<Vec<Draw>>()
        });
        let noise = proptest::collection::vec(event, 0..3);
        return (skeleton, noise)
            .prop_map(|(mut all, noise)| {
                all.extend(noise);
                all
            })
            .boxed();
    }
    proptest::collection::vec(event, 1..40).boxed()
}

fn compare(about: About, cases: u32) -> BTreeSet<String> {
    let config = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let seen = std::cell::RefCell::new(BTreeSet::new());
    let rules = rules();
    let ran = runner.run(&draws(about), |draws| {
        let lines = history(draws);
        let mut auditor = Auditor::new(rules.clone());
        lines.iter().enumerate().for_each(|(at, line)| auditor.line(at + 2, line.clone()));
        let report = auditor.finish();
        let fast: Found = report.findings.iter().map(|f| (f.code.to_owned(), f.request.clone())).collect();
        let slow = Model { rules: &rules, lines: &lines }.found();
        seen.borrow_mut().extend(slow.iter().map(|(code, _)| code.clone()));
        let text: Vec<_> = lines.iter().map(stonevane_audit::HistoryRecord::to_json_line).collect();
        prop_assert_eq!(fast, slow, "\n{}", text.concat());
        Ok(())
    });
    if let Err(e) = ran {
        panic!("{e}");
    }
    seen.into_inner()
}

#[test]
fn the_auditor_says_what_the_slow_model_says() {
    let mut seen = compare(About::Everything, 3_000);
    seen.extend(compare(About::Load, 400));
    seen.extend(compare(About::Values, 3_000));
    let all = [
        "twice",
        "late",
        "value",
        "stale",
        "lost",
        "unanswered",
        "refused-after-run",
        "unsafe-again",
        "window",
        "group",
        "sent-after-answer",
        "drained",
        "cold-server",
        "origin",
        "unasked",
        "wrong-node",
        "too-early",
        "wrong-key",
        "wrong-class",
        "wrong-token",
        "wrong-body",
        "too-many",
        "second-copy",
    ];
    let missing: Vec<_> = all.into_iter().filter(|code| !seen.contains(*code)).collect();
    assert!(missing.is_empty(), "never drawn, so never compared: {missing:?}");
}
