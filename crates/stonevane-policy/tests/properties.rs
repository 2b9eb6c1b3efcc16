//! Property test: random valid event sequences from a fixed seed, and invariants that can be checked from
//! events and actions.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeMap;

use common::{ORIGIN_KIND, take_due};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stonevane_policy::*;

/// Statuses of ended attempts. The likely ones are listed twice.
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
    Advance(u64),
    Request { class: usize, tenant: usize, key: Key, write: bool, time_left: u64 },
    EndAttempt { index: usize, status: usize },
    StartResponse { index: usize },
    Disconnect { index: usize },
    ListDelta { index: usize, condition: u8, restarted: bool },
    FullList { mask: u32 },
    DiscoveryFailure,
    PeerMessage { from: u32, bytes: Vec<u8> },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let request = (0..3usize, 0..3usize, 0..12u64, any::<bool>(), 0..900_000u64);
    prop_oneof![
        6 => (0..60_000u64).prop_map(Step::Advance),
        1 => (0..3_000_000u64).prop_map(Step::Advance),
        10 => request.prop_map(|(class, tenant, key, write, time_left)| {
            Step::Request { class, tenant, key, write, time_left }
        }),
        10 => (any::<usize>(), 0..9usize).prop_map(|(index, status)| Step::EndAttempt { index, status }),
        1 => any::<usize>().prop_map(|index| Step::StartResponse { index }),
        1 => any::<usize>().prop_map(|index| Step::Disconnect { index }),
        2 => (any::<usize>(), 0..3u8, any::<bool>())
            .prop_map(|(index, condition, restarted)| Step::ListDelta { index, condition, restarted }),
        1 => any::<u32>().prop_map(|mask| Step::FullList { mask }),
        1 => Just(Step::DiscoveryFailure),
        1 => (0..4u32, proptest::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(from, bytes)| Step::PeerMessage { from, bytes }),
        1 => Just(Step::Restart),
    ]
}

fn random_settings() -> impl Strategy<Value = Settings> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (flags, 1..5u32, 1..5u32, 0..4usize, 0..3u8, 0.0..1.0f64).prop_map(
        |((origin, duplicate, poll, peers, sizes), max_attempts, nodes, tenants, scope, initial_capacity)| {
            let scope = [DedupScope::All, DedupScope::Zone, DedupScope::Cell][usize::from(scope)];
            let class = |idempotency| RequestClass {
                latency_objective: 200_000,
                deadline: 900_000,
                idempotency,
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

/// Environment of one node: tracks its pending requests and attempts, and checks every action against the
/// invariants.
struct Checker {
    settings: Settings,
    policy: Policy,
    now: u64,
    next_request: RequestId,
    entries: BTreeMap<ServerId, ServerEntry>,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts in flight as request, attempt number and server.
    in_flight: Vec<(RequestId, u16, ServerId)>,
    timers: Vec<u64>,
    log: Vec<Action>,
}

impl Checker {
    fn new(settings: Settings) -> Self {
        let policy = Policy::new(settings.clone(), 3);
        let entry = |id: ServerId| ServerEntry {
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
            next_request: 0,
            entries: (0..8).map(|id| (id, entry(id))).collect(),
            pending: BTreeMap::new(),
            in_flight: Vec::new(),
            timers: Vec::new(),
            log: Vec::new(),
        };
        checker.notify(ListUpdate::Cached);
        checker
    }

    fn notify(&mut self, kind: ListUpdate) {
        let servers =
            self.entries.values().filter(|entry| entry.condition != Condition::Gone).cloned().collect();
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
                let pending = self.pending.get(request).expect("an attempt for a request that has ended");
                let entry = &self.entries[server];
                assert_eq!(entry.condition, Condition::Ready, "an attempt at a draining or removed server");
                assert!(pending.sent.len() < self.settings.max_attempts as usize, "too many attempts");
                assert!(self.now < pending.deadline, "an attempt after the request's deadline");
                assert!(
                    self.settings.may_duplicate || pending.sent.iter().all(|attempt| !attempt.in_flight),
                    "two attempts in flight"
                );
                let may_have_run: Vec<_> =
                    pending.sent.iter().filter(|attempt| attempt.may_have_run).collect();
                match self.settings.classes[pending.class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::NonIdempotent => {
                        assert!(may_have_run.is_empty(), "a non-idempotent request sent twice");
                    }
                    Idempotency::WithKey { scope, window } => {
                        for attempt in may_have_run {
                            let first = &self.entries[&attempt.server];
                            let in_scope = match scope {
                                DedupScope::All => true,
                                DedupScope::Zone => first.zone == entry.zone,
                                DedupScope::Cell => first.cell == entry.cell,
                            };
                            assert!(
                                in_scope && self.now < attempt.sent_at + window,
                                "a request with an idempotency key resent outside its scope or window"
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
                let pending = self.pending.remove(request).expect("a second final response");
                let idempotent = self.settings.classes[pending.class].idempotency == Idempotency::Idempotent;
                assert!(
                    idempotent || pending.sent.iter().all(|attempt| !attempt.may_have_run),
                    "a rejection of a request that may have run"
                );
            }
            Action::Fail(request) => {
                self.pending.remove(request).expect("a second final response");
            }
            Action::Timer { after, .. } => self.timers.push(self.now + (*after).max(1)),
            Action::SendToPeer { bytes, .. } => {
                assert!(self.settings.may_message_peers && bytes.len() <= 256);
            }
            Action::HealthCheck(_) | Action::Cancel { .. } => {
                panic!("an action that these settings do not allow")
            }
            _ => {}
        }
    }

    fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(due) = take_due(&mut self.timers, end) {
            self.now = due;
            self.event(Event::Timer(0));
            let now = self.now;
            assert!(
                self.pending.values().all(|request| now < request.deadline),
                "a request without a response at its deadline"
            );
        }
        self.now = end;
        let now = self.now;
        assert!(
            self.pending.values().all(|request| now <= request.deadline),
            "a request without a response at its deadline"
        );
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Advance(time) => self.advance(*time),
            Step::Request { class, tenant, key, write, time_left } => {
                self.request(*class, *tenant, *key, *write, *time_left);
            }
            Step::EndAttempt { index, status } if !self.in_flight.is_empty() => {
                self.end_attempt(*index, *status);
            }
            Step::StartResponse { index } if !self.in_flight.is_empty() => {
                let (request, attempt, _) = self.in_flight[index % self.in_flight.len()];
                self.pending.remove(&request);
                self.event(Event::ResponseStarted { request, attempt });
            }
            Step::Disconnect { index } if !self.pending.is_empty() => {
                let id = *self.pending.keys().nth(index % self.pending.len()).unwrap();
                self.pending.remove(&id);
                self.event(Event::ClientDisconnected(id));
            }
            Step::ListDelta { index, condition, restarted } => {
                self.list_delta(*index, *condition, *restarted);
            }
            Step::FullList { mask } => self.full_list(*mask),
            Step::DiscoveryFailure => {
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
        let id = self.next_request;
        let request = Request { id, class, tenant, key, write, time_left, ..Request::default() };
        self.pending.insert(id, PendingRequest { class, deadline: self.now + time_left, sent: Vec::new() });
        self.next_request += 1;
        self.event(Event::Request(request));
    }

    fn end_attempt(&mut self, index: usize, status: usize) {
        let (request, attempt, server) = self.in_flight.swap_remove(index % self.in_flight.len());
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

    fn list_delta(&mut self, index: usize, condition: u8, restarted: bool) {
        let id = (index % self.entries.len()) as ServerId;
        let entry = self.entries.get_mut(&id).unwrap();
        entry.condition = [Condition::Ready, Condition::Draining, Condition::Gone][usize::from(condition)];
        entry.started = if restarted { self.now } else { entry.started };
        let servers = vec![entry.clone()];
        self.event(Event::ServerList { kind: ListUpdate::Delta, servers });
    }

    fn full_list(&mut self, mask: u32) {
        for (id, entry) in &mut self.entries {
            let listed = mask >> id & 1 == 1;
            entry.condition = if listed { Condition::Ready } else { Condition::Gone };
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
fn invariants_hold_for_random_events_and_equal_events_give_equal_actions() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (random_settings(), proptest::collection::vec(step(), 1..150));
    let result = runner.run(&strategy, |(settings, steps)| {
        let run = || {
            let mut checker = Checker::new(settings.clone());
            for step in &steps {
                checker.step(step);
            }
            checker.advance(2_000_000);
            assert!(checker.pending.is_empty(), "a request without a final response");
            checker.log
        };
        prop_assert_eq!(run(), run());
        Ok(())
    });
    result.unwrap();
}
