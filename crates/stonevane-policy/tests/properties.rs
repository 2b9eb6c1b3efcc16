//! Random legal event sequences (a fixed seed), and the rules that events and actions alone can show.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeMap;

use common::{ORIGIN_KIND, take_due};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stonevane_policy::*;

/// How attempts end, those that are likely twice.
const STATUSES: [AttemptStatus; 9] = [
    AttemptStatus::Served,
    AttemptStatus::Miss,
    AttemptStatus::Error,
    AttemptStatus::Rejected,
    AttemptStatus::TimedOut,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Reset,
    AttemptStatus::Served,
    AttemptStatus::Miss,
];

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Request { class: usize, tenant: usize, key: Key, write: bool, time_left: u64 },
    EndAttempt { which: usize, status: usize },
    StartResponse { which: usize },
    Disconnect { which: usize },
    ListDelta { which: usize, condition: u8, restarted: bool },
    WholeList { mask: u32 },
    DiscoveryFailed,
    PeerMessage { from: u32, bytes: Vec<u8> },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let request = (0..3usize, 0..3usize, 0..12u64, any::<bool>(), 0..900_000u64);
    prop_oneof![
        6 => (0..60_000u64).prop_map(Step::Wait),
        1 => (0..3_000_000u64).prop_map(Step::Wait),
        10 => request.prop_map(|(class, tenant, key, write, time_left)| {
            Step::Request { class, tenant, key, write, time_left }
        }),
        10 => (any::<usize>(), 0..9usize).prop_map(|(which, status)| Step::EndAttempt { which, status }),
        1 => any::<usize>().prop_map(|which| Step::StartResponse { which }),
        1 => any::<usize>().prop_map(|which| Step::Disconnect { which }),
        2 => (any::<usize>(), 0..3u8, any::<bool>())
            .prop_map(|(which, condition, restarted)| Step::ListDelta { which, condition, restarted }),
        1 => any::<u32>().prop_map(|mask| Step::WholeList { mask }),
        1 => Just(Step::DiscoveryFailed),
        1 => (0..4u32, proptest::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(from, bytes)| Step::PeerMessage { from, bytes }),
        1 => Just(Step::Restart),
    ]
}

fn config() -> impl Strategy<Value = Settings> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (flags, 1..5u32, 1..5u32, 0..4usize, 0..3u8, 0.0..1.0f64).prop_map(
        |((origin, duplicate, poll, peers, sizes), max_attempts, nodes, tenants, scope, initial_capacity)| {
            let scope = [DedupScope::All, DedupScope::Zone, DedupScope::Cell][usize::from(scope)];
            let class = |effect| RequestClass {
                latency_objective: 200_000,
                deadline: 900_000,
                idempotency: effect,
                ..RequestClass::default()
            };
            Settings {
                nodes,
                classes: vec![
                    class(Idempotency::Idempotent),
                    class(Idempotency::WithKey { scope, window: 300_000 }),
                    class(Idempotency::NonIdempotent),
                ],
                tenants: vec![Tenant { quota_per_s: 5.0 }; tenants],
                poll_discovery: poll,
                origin_kind: origin.then_some(ORIGIN_KIND),
                weights_are_sizes: sizes,
                max_attempts,
                may_duplicate: duplicate,
                may_message_peers: peers,
                coalesce_fetches: poll != sizes,
                initial_capacity,
                slow_start_duration: 2_000_000,
                ..Settings::default()
            }
        },
    )
}

struct PendingRequest {
    class: usize,
    deadline: u64,
    sent: Vec<Attempt>,
}

#[derive(Clone)]
struct Attempt {
    server: ServerId,
    sent_at: u64,
    in_flight: bool,
    may_have_run: bool,
}

/// What surrounds one node: it knows what was promised and checks every action against it.
struct Checker {
    settings: Settings,
    policy: Policy,
    now: u64,
    next: RequestId,
    lines: BTreeMap<ServerId, ServerEntry>,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts in flight: request, number, server.
    in_flight: Vec<(RequestId, u16, ServerId)>,
    timers: Vec<u64>,
    log: Vec<Action>,
}

impl Checker {
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
        let mut checker = Checker {
            settings,
            policy,
            now: 50_000_000,
            next: 0,
            lines: (0..8).map(|id| (id, line(id))).collect(),
            pending: BTreeMap::new(),
            in_flight: Vec::new(),
            timers: Vec::new(),
            log: Vec::new(),
        };
        checker.notify(ListUpdate::Cached);
        checker
    }

    fn notify(&mut self, kind: ListUpdate) {
        let servers = self.lines.values().filter(|line| line.condition != Condition::Gone).cloned().collect();
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
                let pending = self.pending.get(request).expect("a send for a request that has ended");
                let line = &self.lines[server];
                assert_eq!(line.condition, Condition::Ready, "a send to a draining or gone server");
                assert!(pending.sent.len() < self.settings.max_attempts as usize, "too many attempts");
                assert!(self.now < pending.deadline, "a send after the request's time");
                assert!(
                    self.settings.may_duplicate || pending.sent.iter().all(|attempt| !attempt.in_flight),
                    "two copies out"
                );
                let running: Vec<_> = pending.sent.iter().filter(|attempt| attempt.may_have_run).collect();
                match self.settings.classes[pending.class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::NonIdempotent => assert!(running.is_empty(), "an unsafe request sent twice"),
                    Idempotency::WithKey { scope: group, window } => {
                        for attempt in running {
                            let first = &self.lines[&attempt.server];
                            let same = match group {
                                DedupScope::All => true,
                                DedupScope::Zone => first.zone == line.zone,
                                DedupScope::Cell => first.cell == line.cell,
                            };
                            assert!(
                                same && self.now < attempt.sent_at + window,
                                "a keyed request outside its group"
                            );
                        }
                    }
                }
                let attempt =
                    Attempt { server: *server, sent_at: self.now, in_flight: true, may_have_run: true };
                let pending = self.pending.get_mut(request).unwrap();
                self.in_flight.push((*request, pending.sent.len() as u16, *server));
                pending.sent.push(attempt);
            }
            Action::Reject { request, .. } => {
                let pending = self.pending.remove(request).expect("a second final answer");
                let safe = self.settings.classes[pending.class].idempotency == Idempotency::Idempotent;
                assert!(
                    safe || pending.sent.iter().all(|attempt| !attempt.may_have_run),
                    "a refusal of what may have run"
                );
            }
            Action::Fail(request) => {
                self.pending.remove(request).expect("a second final answer");
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
            assert!(
                self.pending.values().all(|request| now < request.deadline),
                "a request without an answer at its end"
            );
        }
        self.now = end;
        let now = self.now;
        assert!(
            self.pending.values().all(|request| now <= request.deadline),
            "a request without an answer at its end"
        );
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.pass(*time),
            Step::Request { class, tenant, key, write, time_left } => {
                self.request(*class, *tenant, *key, *write, *time_left);
            }
            Step::EndAttempt { which, status } if !self.in_flight.is_empty() => {
                self.end_attempt(*which, *status);
            }
            Step::StartResponse { which } if !self.in_flight.is_empty() => {
                let (request, attempt, _) = self.in_flight[which % self.in_flight.len()];
                self.pending.remove(&request);
                self.event(Event::ResponseStarted { request, attempt });
            }
            Step::Disconnect { which } if !self.pending.is_empty() => {
                let id = *self.pending.keys().nth(which % self.pending.len()).unwrap();
                self.pending.remove(&id);
                self.event(Event::ClientDisconnected(id));
            }
            Step::ListDelta { which, condition, restarted } => {
                self.list_delta(*which, *condition, *restarted);
            }
            Step::WholeList { mask } => self.whole_list(*mask),
            Step::DiscoveryFailed => {
                self.event(Event::ServerList { kind: ListUpdate::Failed, servers: Vec::new() });
            }
            Step::PeerMessage { from, bytes } => {
                self.event(Event::PeerMessage { from: *from, bytes: bytes.clone() });
            }
            Step::Restart => self.restart(),
            Step::EndAttempt { .. } | Step::StartResponse { .. } | Step::Disconnect { .. } => {}
        }
    }

    fn request(&mut self, class: usize, tenant: usize, key: Key, write: bool, time_left: u64) {
        let tenant = tenant % self.settings.tenants.len().max(1);
        let id = self.next;
        let request = Request { id, class, tenant, key, write, time_left, ..Request::default() };
        self.pending.insert(id, PendingRequest { class, deadline: self.now + time_left, sent: Vec::new() });
        self.next += 1;
        self.event(Event::Request(request));
    }

    fn end_attempt(&mut self, which: usize, status: usize) {
        let (request, attempt, server) = self.in_flight.swap_remove(which % self.in_flight.len());
        let status = STATUSES[status];
        if let Some(pending) = self.pending.get_mut(&request) {
            let ended = &mut pending.sent[usize::from(attempt)];
            ended.in_flight = false;
            ended.may_have_run &= !status.proves_not_run();
        }
        if status == AttemptStatus::Served {
            self.pending.remove(&request);
        }
        let request_finished = !self.pending.contains_key(&request);
        let outcome = common::outcome(request, attempt, server, status);
        self.event(Event::Outcome(Outcome { request_finished, elapsed: 1, ..outcome }));
    }

    fn list_delta(&mut self, which: usize, condition: u8, restarted: bool) {
        let id = (which % self.lines.len()) as ServerId;
        let line = self.lines.get_mut(&id).unwrap();
        line.condition = [Condition::Ready, Condition::Draining, Condition::Gone][usize::from(condition)];
        line.started = if restarted { self.now } else { line.started };
        let servers = vec![line.clone()];
        self.event(Event::ServerList { kind: ListUpdate::Delta, servers });
    }

    fn whole_list(&mut self, mask: u32) {
        for (id, line) in &mut self.lines {
            let there = mask >> id & 1 == 1;
            line.condition = if there { Condition::Ready } else { Condition::Gone };
        }
        self.notify(ListUpdate::Full);
    }

    fn restart(&mut self) {
        self.policy = Policy::new(self.settings.clone(), 4);
        self.pending.clear();
        self.in_flight.clear();
        self.timers.clear();
        self.notify(ListUpdate::Cached);
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
            let mut checker = Checker::new(settings.clone());
            for step in &steps {
                checker.step(step);
            }
            checker.pass(2_000_000);
            assert!(checker.pending.is_empty(), "everything is answered in the end");
            checker.log
        };
        prop_assert_eq!(play(), play());
        Ok(())
    });
    result.unwrap();
}
