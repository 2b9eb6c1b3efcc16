//! Random legal event sequences (a fixed seed), and the rules that events and actions alone can show.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeMap;

use common::{ORIGIN_KIND, take_due};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stonevane_policy::*;

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Ask { class: usize, tenant: usize, key: Key, write: bool, budget: u64 },
    End { which: usize, status: usize },
    Begin { which: usize },
    Leave { which: usize },
    List { which: usize, condition: u8, restarted: bool },
    Whole { mask: u32 },
    Lost,
    Peer { from: u32, bytes: Vec<u8> },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let ask = (0..3usize, 0..3usize, 0..12u64, any::<bool>(), 0..900_000u64);
    prop_oneof![
        6 => (0..60_000u64).prop_map(Step::Wait),
        1 => (0..3_000_000u64).prop_map(Step::Wait),
        10 => ask.prop_map(|(class, tenant, key, write, budget)| Step::Ask { class, tenant, key, write, budget }),
        10 => (any::<usize>(), 0..9usize).prop_map(|(which, status)| Step::End { which, status }),
        1 => any::<usize>().prop_map(|which| Step::Begin { which }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        2 => (any::<usize>(), 0..3u8, any::<bool>())
            .prop_map(|(which, condition, restarted)| Step::List { which, condition, restarted }),
        1 => any::<u32>().prop_map(|mask| Step::Whole { mask }),
        1 => Just(Step::Lost),
        1 => (0..4u32, proptest::collection::vec(any::<u8>(), 0..40)).prop_map(|(from, bytes)| Step::Peer { from, bytes }),
        1 => Just(Step::Restart),
    ]
}

fn config() -> impl Strategy<Value = Settings> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (flags, 1..5u32, 1..5u32, 0..4usize, 0..3u8, 0.0..1.0f64).prop_map(
        |((aside, duplicate, ask, peers, sizes), max_attempts, balancers, tenants, group, cold_share)| {
            let group = [DedupScope::All, DedupScope::Zone, DedupScope::Cell][usize::from(group)];
            let class = |effect| RequestClass {
                latency_objective: 200_000,
                deadline: 900_000,
                idempotency: effect,
                ..RequestClass::default()
            };
            Settings {
                nodes: balancers,
                classes: vec![
                    class(Idempotency::Idempotent),
                    class(Idempotency::WithKey { scope: group, window: 300_000 }),
                    class(Idempotency::NonIdempotent),
                ],
                tenants: vec![Tenant { quota_per_s: 5.0 }; tenants],
                poll_discovery: ask,
                origin_kind: aside.then_some(ORIGIN_KIND),
                weights_are_sizes: sizes,
                max_attempts,
                may_duplicate: duplicate,
                may_message_peers: peers,
                coalesce_fetches: ask != sizes,
                initial_capacity: cold_share,
                slow_start_duration: 2_000_000,
                ..Settings::default()
            }
        },
    )
}

struct Owed {
    class: usize,
    ends: u64,
    sent: Vec<Attempt>,
}

#[derive(Clone)]
struct Attempt {
    server: ServerId,
    at: u64,
    out: bool,
    may_have_run: bool,
}

/// The world around one balancer: it knows what was promised and checks every action against it.
struct World {
    settings: Settings,
    policy: Policy,
    now: u64,
    next: RequestId,
    lines: BTreeMap<ServerId, ServerEntry>,
    owed: BTreeMap<RequestId, Owed>,
    /// Attempts out: request, number, server.
    out: Vec<(RequestId, u16, ServerId)>,
    timers: Vec<u64>,
    log: Vec<Action>,
}

impl World {
    fn new(settings: Settings) -> Self {
        let policy = Policy::new(settings.clone(), 3);
        let line = |id: ServerId| ServerEntry {
            id,
            zone: (id % 2) as u8,
            cell: (id % 3) as u16,
            kind: if id >= 6 { ORIGIN_KIND } else { 0 },
            weight: id as f32,
            ..ServerEntry::default()
        };
        let mut world = World {
            settings,
            policy,
            now: 50_000_000,
            next: 0,
            lines: (0..8).map(|id| (id, line(id))).collect(),
            owed: BTreeMap::new(),
            out: Vec::new(),
            timers: Vec::new(),
            log: Vec::new(),
        };
        world.hear(ListUpdate::Cached);
        world
    }

    fn hear(&mut self, kind: ListUpdate) {
        let servers = self.lines.values().filter(|l| l.condition != Condition::Gone).cloned().collect();
        self.event(Event::ServerList { kind, servers });
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, server, .. } => {
                let owed = self.owed.get(request).expect("a send for a request that has ended");
                let line = &self.lines[server];
                assert_eq!(line.condition, Condition::Ready, "a send to a draining or gone server");
                assert!(owed.sent.len() < self.settings.max_attempts as usize, "too many attempts");
                assert!(self.now < owed.ends, "a send after the request's time");
                assert!(self.settings.may_duplicate || owed.sent.iter().all(|a| !a.out), "two copies out");
                let running: Vec<_> = owed.sent.iter().filter(|a| a.may_have_run).collect();
                match self.settings.classes[owed.class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::NonIdempotent => assert!(running.is_empty(), "an unsafe request sent twice"),
                    Idempotency::WithKey { scope: group, window } => {
                        for a in running {
                            let first = &self.lines[&a.server];
                            let same = match group {
                                DedupScope::All => true,
                                DedupScope::Zone => first.zone == line.zone,
                                DedupScope::Cell => first.cell == line.cell,
                            };
                            assert!(same && self.now < a.at + window, "a keyed request outside its group");
                        }
                    }
                }
                let attempt = Attempt { server: *server, at: self.now, out: true, may_have_run: true };
                let owed = self.owed.get_mut(request).unwrap();
                self.out.push((*request, owed.sent.len() as u16, *server));
                owed.sent.push(attempt);
            }
            Action::Reject { request, .. } => {
                let owed = self.owed.remove(request).expect("a second final answer");
                let safe = self.settings.classes[owed.class].idempotency == Idempotency::Idempotent;
                assert!(safe || owed.sent.iter().all(|a| !a.may_have_run), "a refusal of what may have run");
            }
            Action::Fail(request) => {
                self.owed.remove(request).expect("a second final answer");
            }
            Action::Timer { after, .. } => self.timers.push(self.now + (*after).max(1)),
            Action::SendToPeer { bytes, .. } => {
                assert!(self.settings.may_message_peers && bytes.len() <= 256);
            }
            Action::HealthCheck(_) | Action::Cancel { .. } => panic!("not allowed here"),
            _ => {}
        }
    }

    fn pass(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(due) = take_due(&mut self.timers, end) {
            self.now = due;
            self.event(Event::Timer(0));
            let now = self.now;
            assert!(self.owed.values().all(|o| now < o.ends), "a request without an answer at its end");
        }
        self.now = end;
        let now = self.now;
        assert!(self.owed.values().all(|o| now <= o.ends), "a request without an answer at its end");
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.pass(*time),
            Step::Ask { class, tenant, key, write, budget } => {
                let tenant = tenant % self.settings.tenants.len().max(1);
                let request = Request {
                    id: self.next,
                    class: *class,
                    tenant,
                    key: *key,
                    write: *write,
                    time_left: *budget,
                    ..Request::default()
                };
                let owed = Owed { class: *class, ends: self.now + budget, sent: Vec::new() };
                self.owed.insert(self.next, owed);
                self.next += 1;
                self.event(Event::Request(request));
            }
            Step::End { which, status } if !self.out.is_empty() => {
                let (request, attempt, server) = self.out.swap_remove(which % self.out.len());
                let status = [
                    AttemptStatus::Served,
                    AttemptStatus::Miss,
                    AttemptStatus::Error,
                    AttemptStatus::Rejected,
                    AttemptStatus::TimedOut,
                    AttemptStatus::ConnectFailed,
                    AttemptStatus::Reset,
                    AttemptStatus::Served,
                    AttemptStatus::Miss,
                ][*status];
                if let Some(owed) = self.owed.get_mut(&request) {
                    let a = &mut owed.sent[usize::from(attempt)];
                    a.out = false;
                    a.may_have_run &= !status.proves_not_run();
                }
                if status == AttemptStatus::Served {
                    self.owed.remove(&request);
                }
                let over = !self.owed.contains_key(&request);
                let (note, load) = (CacheStatus::None, LoadReport::default());
                self.event(Event::Outcome(Outcome {
                    request,
                    attempt,
                    server,
                    status,
                    request_finished: over,
                    cache_status: note,
                    elapsed: 1,
                    load,
                    first_on_connection: false,
                }));
            }
            Step::Begin { which } if !self.out.is_empty() => {
                let (request, attempt, _) = self.out[which % self.out.len()];
                self.owed.remove(&request);
                self.event(Event::ResponseStarted { request, attempt });
            }
            Step::Leave { which } if !self.owed.is_empty() => {
                let id = *self.owed.keys().nth(which % self.owed.len()).unwrap();
                self.owed.remove(&id);
                self.event(Event::ClientDisconnected(id));
            }
            Step::List { which, condition, restarted } => {
                let id = (which % self.lines.len()) as ServerId;
                let line = self.lines.get_mut(&id).unwrap();
                line.condition =
                    [Condition::Ready, Condition::Draining, Condition::Gone][usize::from(*condition)];
                line.started = if *restarted { self.now } else { line.started };
                let servers = vec![line.clone()];
                self.event(Event::ServerList { kind: ListUpdate::Delta, servers });
            }
            Step::Whole { mask } => {
                for (id, line) in &mut self.lines {
                    let there = mask >> id & 1 == 1;
                    line.condition = if there { Condition::Ready } else { Condition::Gone };
                }
                self.hear(ListUpdate::Full);
            }
            Step::Lost => self.event(Event::ServerList { kind: ListUpdate::Failed, servers: Vec::new() }),
            Step::Peer { from, bytes } => {
                self.event(Event::PeerMessage { from: *from, bytes: bytes.clone() });
            }
            Step::Restart => {
                self.policy = Policy::new(self.settings.clone(), 4);
                self.owed.clear();
                self.out.clear();
                self.timers.clear();
                self.hear(ListUpdate::Cached);
            }
            _ => {}
        }
    }
}

#[test]
fn the_rules_hold_over_random_events_and_the_same_events_give_the_same_actions() {
    let config_of_runs = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config_of_runs, rng);
    let strategy = (config(), proptest::collection::vec(step(), 1..150));
    let result = runner.run(&strategy, |(settings, steps)| {
        let play = || {
            let mut world = World::new(settings.clone());
            steps.iter().for_each(|s| world.step(s));
            world.pass(2_000_000);
            assert!(world.owed.is_empty(), "everything is answered in the end");
            world.log
        };
        prop_assert_eq!(play(), play());
        Ok(())
    });
    result.unwrap();
}
