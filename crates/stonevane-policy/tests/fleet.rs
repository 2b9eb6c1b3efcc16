//! Many balancers that share nothing before what all of them share: sums over the fleet.
#![allow(missing_docs)]

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stonevane_policy::*;

/// Discovery as one service that works calls off in turn, those too that nobody waits for any more, and turns away only
/// what finds very many ahead of it: each of six nodes or more gets one call answered in [`Discovery::ALL`].
struct Discovery {
    takes: Micros,
    free_at: Micros,
}

impl Discovery {
    const ALL: Micros = 8 * SECOND;
    const TIMEOUT: Micros = 3 * SECOND;

    /// When a call has its turn; `None` where it is turned away.
    fn call(&mut self, now: Micros) -> Option<Micros> {
        if self.free_at > now + 4 * Self::TIMEOUT {
            return None;
        }
        self.free_at = self.free_at.max(now) + self.takes;
        Some(self.free_at)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer,
    TurnedAway,
    /// A call of this number is not answered in time.
    Unanswered(usize),
    Answered(usize),
}

/// When each of so many balancers has a list again, all of whose watches break at once, and how many calls they make. A
/// call that is not answered in time keeps its turn until another one has not been answered either.
fn lists_again(count: u64) -> (Vec<Micros>, usize) {
    let config = Settings { poll_discovery: true, nodes: count as u32, ..settings() };
    let mut discovery = Discovery { takes: Discovery::ALL / count.max(6), free_at: 0 };
    let mut nodes: Vec<Policy> = (0..count).map(|seed| Policy::new(config.clone(), seed + 1)).collect();
    let mut lists = vec![Micros::MAX; nodes.len()];
    let mut calls = vec![0; nodes.len()];
    let mut waits_from = calls.clone();
    let mut due = BinaryHeap::new();
    let told = |policy: &mut Policy, now, kind| {
        let mut out = Vec::new();
        policy.handle(now, Event::ServerList { kind, servers: vec![server(1), origin()] }, &mut out);
        out
    };
    let begin = 60 * SECOND;
    for (id, policy) in nodes.iter_mut().enumerate() {
        for action in told(policy, begin, ListUpdate::Full) {
            // The watch of the start stands already.
            if let Action::Timer { after, .. } = action {
                due.push(Reverse((begin + after, id, Due::Timer)));
            }
        }
        due.push(Reverse((begin + SECOND, id, Due::TurnedAway)));
    }
    while let Some(Reverse((now, id, what))) = due.pop() {
        if now > begin + 60 * SECOND || lists[id] != Micros::MAX {
            continue;
        }
        let mut out = Vec::new();
        match what {
            Due::Timer => nodes[id].handle(now, Event::Timer(0), &mut out),
            Due::TurnedAway => out = told(&mut nodes[id], now, ListUpdate::Failed),
            Due::Unanswered(call) => {
                waits_from[id] = call;
                let silent = ListUpdate::TimedOut { silent_for: Discovery::TIMEOUT, was_established: false };
                out = told(&mut nodes[id], now, silent);
            }
            Due::Answered(call) if call >= waits_from[id] => lists[id] = now - begin - SECOND,
            Due::Answered(_) => {}
        }
        for action in out {
            match action {
                Action::Timer { after, .. } => due.push(Reverse((now + after, id, Due::Timer))),
                Action::Subscribe(true) => {
                    calls[id] += 1;
                    let Some(turn) = discovery.call(now) else {
                        due.push(Reverse((now, id, Due::TurnedAway)));
                        continue;
                    };
                    due.push(Reverse((turn, id, Due::Answered(calls[id]))));
                    let given_up = now + Discovery::TIMEOUT;
                    if given_up < turn {
                        due.push(Reverse((given_up, id, Due::Unanswered(calls[id]))));
                    }
                }
                _ => {}
            }
        }
    }
    lists.sort_unstable();
    (lists, calls.iter().sum())
}

#[test]
fn watches_that_break_all_at_once_are_all_back_soon() {
    for count in [1, 6, 30, 100, 300] {
        let (lists, calls) = lists_again(count);
        let at = |part: f64| lists[(((count - 1) as f64) * part) as usize] as f64 / 1e6;
        println!(
            "{count} nodes: lists again after {:.1} s, {:.1} s, {:.1} s, with {calls} calls",
            at(0.5),
            at(0.9),
            at(1.0)
        );
        assert!(at(0.9) <= 12.0, "{count} nodes: nine in ten have a list again after {} s", at(0.9));
        assert!(calls as u64 <= count * 3 / 2, "{count} nodes: {calls} calls");
    }
}

/// Of so many reads, one in `every` gets an error from the first server that it goes to, the others their answer: how
/// many are served, and how many attempts it takes.
fn served_beside_errors(every: u64) -> (u64, u64) {
    let mut node = Node::new(settings(), 20);
    let (mut served, mut attempts) = (0, 0);
    for id in 1..=400u64 {
        node.pass(20 * MS);
        let mut actions = node.request(read(id, id));
        let mut attempt = 0;
        while let Some(server) = sent_to(&actions) {
            attempts += 1;
            node.pass(MS);
            let fails = id.is_multiple_of(every) && (every == 1 || attempt == 0);
            let status = if fails { AttemptStatus::Error } else { AttemptStatus::Served };
            served += u64::from(!fails);
            actions = node.outcome(id, attempt, server, status);
            attempt += 1;
        }
    }
    (served, attempts)
}

#[test]
fn reads_go_again_after_a_few_servers_errors_and_seldom_where_all_fail() {
    let (served, attempts) = served_beside_errors(8);
    assert!(served == 400, "{served} of 400 served, where one in eight first gets an error");
    assert!(attempts == 450, "{attempts} attempts");
    let (_, attempts) = served_beside_errors(1);
    assert!(attempts <= 400 * 5 / 4 + 40, "{attempts} attempts at servers that all fail");
}

/// A settings text with figures of any size, some of them absurd.
fn text() -> impl Strategy<Value = (String, bool)> {
    let figure = || prop::sample::select(vec![0.0, 1.0, 1e3, 1e6, 8.64e10, 1e12, 1e30]);
    let count = || prop::sample::select(vec![0u32, 1, 4, 100, u32::MAX]);
    (count(), count(), prop::collection::vec(figure(), 7)).prop_map(|(balancers, me, f)| {
        let text = format!(
            r#"{{"balancers":{balancers},"me":{me},"discovery":"ask","periodUs":{},"zones":["a"],
               "classes":[{{"name":"read","effect":"pure","goalTimeUs":{},"deadlineUs":{}}}],
               "realms":[{{"name":"all","quotaPerS":{}}}],"specifics":{{"mode":"aside","originKind":1}},
               "guarantees":{{"askWithinUs":{},"coldUs":{},"tipAfterUs":{}}}}}"#,
            f[0], f[1], f[2], f[3], f[4], f[5], f[6]
        );
        let times = [f[0], f[1], f[2], f[4], f[5], f[6]];
        let set = f[1] > 0.0 && f[2] > 0.0;
        let sane =
            set && balancers > me && f[4] > 0.0 && f[3] <= 1e9 && times.iter().all(|time| *time <= 8.64e10);
        (text, sane)
    })
}

#[test]
fn settings_of_any_size_are_told_of_in_one_line_or_give_finite_limits() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(Config { cases: 500, ..Config::default() }, rng);
    let borne = |(text, sane): (String, bool)| {
        let taken = stonevane_policy::settings::read(text.as_bytes());
        prop_assert_eq!(taken.is_ok(), sane, "{:?}", taken.err());
        let settings = match taken {
            Ok(deployment) => deployment.settings,
            Err(error) => {
                let line = error.to_string();
                prop_assert!(line.lines().count() == 1 && line.len() < 200, "{line}");
                return Ok(());
            }
        };
        let mut node = Node::just_started(settings, 3);
        for id in 1..=60 {
            node.list(ListUpdate::Failed, Vec::new());
            let mut actions = node.request(read(id, id));
            for attempt in 0..3 {
                let Some(server) = sent_to(&actions) else { break };
                actions = node.outcome(
                    id,
                    attempt,
                    server,
                    [AttemptStatus::Miss, AttemptStatus::Rejected][usize::from(attempt > 0)],
                );
            }
            node.pass(SECOND / 2);
        }
        let calls = node.actions.iter().filter(|action| **action == Action::Subscribe(true)).count();
        prop_assert!(calls <= 62, "{calls} calls in half a minute, all of which fail");
        let pauses = node.actions.iter().filter_map(|action| match action {
            Action::Timer { after, .. } => Some(*after),
            _ => None,
        });
        prop_assert!(pauses.clone().count() <= 10_000, "{} timers in half a minute", pauses.clone().count());
        prop_assert!(pauses.max().unwrap_or(0) <= 2 * 86_400 * SECOND);
        Ok(())
    };
    runner.run(&text(), borne).unwrap();
}

/// Attempts in two seconds at a server that has just started, and at the others in the mean, from so many balancers
/// together: 600 reads a second, one in five of them of one hot key.
fn at_a_cold_server(count: u32) -> (f64, f64) {
    let tenants = vec![Tenant { quota_per_s: 600.0 }];
    let config = Settings { nodes: count, tenants, initial_capacity: 0.35, ..settings() };
    let mut now = 60 * SECOND;
    let mut nodes: Vec<_> = (0..count).map(|seed| Policy::new(config.clone(), u64::from(seed) + 1)).collect();
    for policy in &mut nodes {
        let mut servers: Vec<_> = (1..=12).map(server).collect();
        servers[0].started = now;
        servers.push(origin());
        policy.handle(now, Event::ServerList { kind: ListUpdate::Full, servers }, &mut Vec::new());
    }
    let mut at = [0u32; 13];
    // The hot key is one whose first server is the cold one, where it is warm.
    let warm = Node::new(settings(), 12).policy;
    let hot = first_at(warm, 1);
    for id in 1..=1_200u64 {
        now += 1_667;
        let policy = &mut nodes[(id * 7 % u64::from(count)) as usize];
        let mut out = Vec::new();
        let key = if id.is_multiple_of(5) { hot } else { id * 1_000_003 };
        policy.handle(now, Event::Request(read(id, key)), &mut out);
        let Some(server) = sent_to(&out) else { continue };
        at[server as usize] += 1;
        let (note, load, status) = (CacheStatus::None, LoadReport::default(), AttemptStatus::Served);
        let outcome = Outcome {
            request: id,
            attempt: 0,
            server,
            status,
            request_finished: true,
            cache_status: note,
            elapsed: MS,
            load,
            first_on_connection: false,
        };
        policy.handle(now, Event::Outcome(outcome), &mut Vec::new());
    }
    (f64::from(at[1]), f64::from(at[2..].iter().sum::<u32>()) / 11.0)
}

/// A key that goes to a server first.
fn first_at(mut policy: Policy, wanted: ServerId) -> Key {
    let goes = |key: &u64| {
        let mut out = Vec::new();
        policy.handle(80 * SECOND, Event::Request(read(*key, *key)), &mut out);
        sent_to(&out) == Some(wanted)
    };
    (1..200).find(goes).unwrap()
}

#[test]
fn a_cold_server_is_not_pushed_over_by_all_together_nor_by_a_hot_key() {
    for count in [1, 4, 100] {
        let (cold, others) = at_a_cold_server(count);
        println!("{count} nodes: {cold} attempts at the cold server, {others:.1} at each of the others");
        // It can do 0.35 to 0.5 of what a warm one can, and falls over at three times that.
        assert!(cold <= others, "{count} nodes: {cold} attempts at the cold server, {others} at the others");
    }
}

/// What so many lives that begin at one moment have out, of 2,400 reads that come at once, before any is answered; and,
/// answered after 110 ms each by 12 servers of 5 cores, how long the longest waited there and how many were sent in the first
/// second.
fn at_once(count: u64, start_each: f64) -> (usize, Micros, usize) {
    let tenants = vec![Tenant { quota_per_s: 840.0 }];
    let config = Settings {
        nodes: count as u32,
        tenants,
        startup_attempts_per_server: start_each,
        may_duplicate: false,
        ..settings()
    };
    let begin = 60 * SECOND;
    let mut nodes: Vec<_> = (0..count).map(|seed| Policy::new(config.clone(), seed + 1)).collect();
    for policy in &mut nodes {
        let mut servers: Vec<_> = (1..=12).map(server).collect();
        servers.push(origin());
        policy.handle(begin, Event::ServerList { kind: ListUpdate::Cached, servers }, &mut Vec::new());
    }
    // When each core of each server is free.
    let mut cores = vec![[begin; 5]; 13];
    type Queue = BinaryHeap<Reverse<(Micros, usize, RequestId, ServerId)>>;
    let mut due = Queue::new();
    let (mut first, mut longest, mut sent) = (0, 0, 0);
    let mut take = |now: Micros, node: usize, out: Vec<Action>, due: &mut Queue| {
        for action in out {
            match action {
                Action::Send { request, server, .. } if server <= 12 => {
                    first += usize::from(now == begin);
                    sent += usize::from(now < begin + SECOND);
                    let core = cores[server as usize].iter_mut().min().unwrap();
                    longest = longest.max(core.saturating_sub(now));
                    *core = (*core).max(now) + 110 * MS;
                    due.push(Reverse((*core, node, request, server)));
                }
                Action::Timer { after, .. } => due.push(Reverse((now + after.max(1), node, 0, 0))),
                _ => {}
            }
        }
    };
    // 2,400 wait for the fleet to be there; then 420 a second come.
    for id in 1..=2_820u64 {
        let now = begin + id.saturating_sub(2_400) * 2_381;
        while let Some(Reverse((at, node, request, server))) =
            due.peek().copied().filter(|Reverse((at, ..))| *at <= now)
        {
            due.pop();
            let mut out = Vec::new();
            let event = if server == 0 {
                Event::Timer(0)
            } else {
                let (note, load, status) = (CacheStatus::None, LoadReport::default(), AttemptStatus::Served);
                // The attempt's number does not matter where no copy goes out.
                Event::Outcome(Outcome {
                    request,
                    attempt: 0,
                    server,
                    status,
                    request_finished: true,
                    cache_status: note,
                    elapsed: MS,
                    load,
                    first_on_connection: false,
                })
            };
            nodes[node].handle(at, event, &mut out);
            take(at, node, out, &mut due);
        }
        let node = (id * 7 % count) as usize;
        let mut out = Vec::new();
        nodes[node].handle(now, Event::Request(read(id, id * 1_000_003)), &mut out);
        take(now, node, out, &mut due);
    }
    (first, longest, sent)
}

#[test]
fn lives_that_begin_together_send_no_more_at_once_however_many_they_are() {
    for count in [1, 4, 64, 300] {
        let (first, longest, sent) = at_once(count, 8.0);
        let (unheld, waited, _) = at_once(count, 0.0);
        println!(
            "{count} lives: {first} out at once, {longest} us at most in a queue, {sent} sent in a second"
        );
        println!("    not held back: {unheld}, {waited}");
        // 8 at each of 12, and the part of one that chance gives each life.
        assert!(first as u64 <= 96 + count, "{count} lives: {first} at once");
        assert!(longest < 400 * MS, "{count} lives: {longest} us in a queue");
        // 545 a second is what they can do; one alone knows by itself what it has at each.
        assert!(sent >= 250, "{count} lives: {sent} sent in the first second");
        if count >= 64 {
            assert!(
                unheld > 600 && waited > SECOND,
                "without it there is nothing to show: {unheld}, {waited}"
            );
        }
    }
}

/// Of edits, 20 a second for ten seconds, those that have their answer in time, while so many lives together miss 140 reads a
/// second and one origin of 6 places answers 100; and the reads that it answered. What it was sent it works off in turn, also
/// when nobody waits any more.
fn beside_misses(count: u64) -> (f64, usize) {
    type Queue = BinaryHeap<Reverse<(Micros, usize, RequestId, u16, ServerId)>>;
    let tenants = vec![Tenant { quota_per_s: 840.0 }];
    let config = Settings { nodes: count as u32, tenants, may_duplicate: false, ..settings() };
    let begin = 60 * SECOND;
    let mut nodes: Vec<_> = (0..count).map(|seed| Policy::new(config.clone(), seed + 1)).collect();
    for policy in &mut nodes {
        let mut servers: Vec<_> = (1..=12).map(server).collect();
        servers.push(origin());
        policy.handle(
            begin - 20 * SECOND,
            Event::ServerList { kind: ListUpdate::Full, servers },
            &mut Vec::new(),
        );
    }
    let mut places = [begin; 6];
    let mut attempts = std::collections::HashMap::new();
    let mut asked = std::collections::HashMap::new();
    let (mut due, mut reads, mut edits, mut in_time) = (Queue::new(), 0, 0, 0);
    for turn in 0..1_600u64 {
        let now = begin + turn * 6_250;
        loop {
            let event = due.peek().copied().filter(|Reverse((at, ..))| *at <= now);
            let (at, node, event) = match event {
                None => break,
                Some(Reverse((at, node, _, _, 0))) => (at, node, Event::Timer(0)),
                Some(Reverse((at, node, request, attempt, server))) => {
                    let (note, load) = (CacheStatus::None, LoadReport::default());
                    let status = if server == ORIGIN { AttemptStatus::Served } else { AttemptStatus::Miss };
                    let over = status == AttemptStatus::Served;
                    if let Some(asked) = asked.get(&request).filter(|_| over) {
                        in_time += usize::from(at <= asked + 300 * MS);
                    } else if over {
                        reads += 1;
                    }
                    let took = MS;
                    (
                        at,
                        node,
                        Event::Outcome(Outcome {
                            request,
                            attempt,
                            server,
                            status,
                            request_finished: over,
                            cache_status: note,
                            elapsed: took,
                            load,
                            first_on_connection: false,
                        }),
                    )
                }
            };
            due.pop();
            let mut out = Vec::new();
            nodes[node].handle(at, event, &mut out);
            sent(at, node, out, &mut places, &mut attempts, &mut due);
        }
        let node = (turn * 7 % count) as usize;
        let id = turn + 1;
        let request = match turn % 8 {
            0 => {
                asked.insert(id, now);
                edits += 1;
                Request { key: id, ..write(id, 1) }
            }
            _ => read(id, id * 1_000_003),
        };
        let mut out = Vec::new();
        nodes[node].handle(now, Event::Request(request), &mut out);
        sent(now, node, out, &mut places, &mut attempts, &mut due);
    }
    return (in_time as f64 / f64::from(edits), reads);

    fn sent(
        now: Micros,
        node: usize,
        out: Vec<Action>,
        places: &mut [Micros; 6],
        attempts: &mut std::collections::HashMap<RequestId, u16>,
        due: &mut Queue,
    ) {
        for action in out {
            match action {
                Action::Send { request, server, .. } => {
                    let attempt = attempts.entry(request).or_default();
                    let at = match server {
                        ORIGIN => {
                            let place = places.iter_mut().min().unwrap();
                            *place = (*place).max(now) + 60 * MS;
                            *place
                        }
                        _ => now + 10 * MS,
                    };
                    due.push(Reverse((at, node, request, *attempt, server)));
                    *attempt += 1;
                }
                Action::Timer { after, .. } => due.push(Reverse((now + after.max(1), node, 0, 0, 0))),
                _ => {}
            }
        }
    }
}

#[test]
fn edits_are_in_time_beside_more_misses_than_the_origin_answers_however_many_lives_there_are() {
    // Of 300 lives each has to see a slow answer first, at one in two seconds.
    for (count, least) in [(4, 0.9), (64, 0.9), (300, 0.6)] {
        let (in_time, reads) = beside_misses(count);
        println!("{count} lives: {in_time:.3} of the edits in time, {reads} misses fetched in ten seconds");
        assert!(in_time >= least, "{count} lives: {in_time:.3} of the edits in time");
        assert!(reads >= 550, "{count} lives: {reads} misses fetched, of 1,000 that the origin can answer");
    }
}
