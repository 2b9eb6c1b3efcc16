//! Guards against unintended changes of decisions: digests of the actions that fixed event sequences produce.
//!
//! An intended change of behavior changes the digests, and its commit states the reason. Texts of log lines
//! are not part of the digests.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use stonevane_policy::*;
use xxhash_rust::xxh3::Xxh3;

const ORIGIN_TYPE: u16 = 1;
const SERVERS: u32 = 9;
const STEPS: usize = 6_000;

/// Linear congruential generator, which gives the same sequence on every machine.
struct Sequence(u64);

impl Sequence {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

struct Run {
    policy: Policy,
    now: Micros,
    sequence: Sequence,
    timers: Vec<Micros>,
    /// Attempts in flight as request, attempt number and server, in the order sent.
    in_flight: Vec<(RequestId, u16, ServerId)>,
    attempts: BTreeMap<RequestId, u16>,
    digest: Xxh3,
    sends: usize,
    rejections: usize,
}

fn entry(id: ServerId, condition: Condition, started: Micros) -> ServerEntry {
    let kind = if id == SERVERS { ORIGIN_TYPE } else { 0 };
    let weight = 1.0 + (id % 3) as f32;
    let (zone, cell) = ((id % 2) as u8, (id % 4) as u16);
    ServerEntry { id, zone, cell, kind, weight, started, condition, ..ServerEntry::default() }
}

fn settings(variant: u64) -> Settings {
    let class = |latency_objective, deadline, idempotency| RequestClass {
        latency_objective,
        deadline,
        idempotency,
        late_weight: if variant % 3 == 1 { 0.5 } else { 0.0 },
        ..RequestClass::default()
    };
    let scope = [DedupScope::All, DedupScope::Zone, DedupScope::Cell][(variant % 3) as usize];
    Settings {
        nodes: [1, 4, 64, 300][(variant % 4) as usize],
        classes: vec![
            class(400_000, 1_200_000, Idempotency::Idempotent),
            class(150_000, 500_000, Idempotency::WithKey { scope, window: 250_000 }),
            class(300_000, 900_000, Idempotency::NonIdempotent),
        ],
        tenants: (0..variant % 4).map(|tenant| Tenant { quota_per_s: 40.0 + 30.0 * tenant as f64 }).collect(),
        poll_discovery: variant.is_multiple_of(2),
        origin_kind: (variant % 5 != 4).then_some(ORIGIN_TYPE),
        weights_are_sizes: variant % 2 == 1,
        weights_are_live: variant % 6 == 2,
        max_attempts: 4,
        may_duplicate: variant % 4 != 3,
        may_cancel: variant.is_multiple_of(2),
        coalesce_fetches: variant % 3 == 2,
        connection_price: if variant % 4 == 2 { 0.5 } else { 0.0 },
        handshake_price: 0.001,
        max_retry_after: 800_000,
        slow_start_duration: 4_000_000,
        overload_window: 1_000_000,
        ..Settings::default()
    }
}

impl Run {
    fn new(variant: u64) -> Run {
        let mut state = Run {
            policy: Policy::new(settings(variant), 1_000 + variant),
            now: 60_000_000,
            sequence: Sequence(variant),
            timers: Vec::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            digest: Xxh3::new(),
            sends: 0,
            rejections: 0,
        };
        let servers = (1..=SERVERS).map(|id| entry(id, Condition::Ready, 0)).collect();
        state.event(Event::ServerList { kind: ListUpdate::Cached, servers });
        state
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            self.digest_action(action);
        }
    }

    fn digest_number(&mut self, number: u64) {
        self.digest.update(&number.to_le_bytes());
    }

    fn digest_action(&mut self, action: &Action) {
        self.digest_number(self.now);
        let fields: [u64; 4] = match action {
            Action::Send { request, server, give_up_after } => {
                let number = self.attempts.entry(*request).or_default();
                self.in_flight.push((*request, *number, *server));
                *number += 1;
                self.sends += 1;
                [1, *request, u64::from(*server), *give_up_after]
            }
            Action::Reject { request, retry_after } => {
                self.rejections += 1;
                [2, *request, *retry_after, 0]
            }
            Action::Fail(request) => [3, *request, 0, 0],
            Action::Cancel { request, attempt } => [4, *request, u64::from(*attempt), 0],
            Action::Timer { after, token } => {
                self.timers.push(self.now + after.max(&1));
                [5, *after, u64::from(*token), 0]
            }
            Action::Subscribe(on) => [6, u64::from(*on), 0, 0],
            Action::FetchList => [7, 0, 0, 0],
            Action::HealthCheck(server) => [8, u64::from(*server), 0, 0],
            Action::CloseIdle(server) => [9, u64::from(*server), 0, 0],
            Action::SendToPeer { to, bytes } => [10, to.map_or(0, u64::from), bytes.len() as u64, 0],
            Action::Explain { request, reason } => {
                self.digest.update(reason.name().as_bytes());
                [11, *request, 0, 0]
            }
            Action::Log(_) => [12, 0, 0, 0],
            Action::Fault(_) => [13, 0, 0, 0],
        };
        for field in fields {
            self.digest_number(field);
        }
    }

    /// Advances the clock by `time` and fires the timers that come due.
    fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(first) = self.timers.iter().copied().enumerate().min_by_key(|(_, due)| *due) {
            let (index, due) = first;
            if due > end {
                break;
            }
            self.timers.swap_remove(index);
            self.now = due;
            self.event(Event::Timer(0));
        }
        self.now = end;
    }

    fn request(&mut self, id: RequestId, tenants: u64) {
        let class = self.sequence.below(3) as usize;
        let request = Request {
            id,
            class,
            tenant: self.sequence.below(tenants.max(1)) as usize,
            key: 1 + self.sequence.below(40),
            write: class > 0,
            time_left: [1_200_000, 500_000, 900_000][class],
            ..Request::default()
        };
        self.event(Event::Request(request));
    }

    fn outcome(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let candidates = self.in_flight.len().min(6) as u64;
        let index = self.sequence.below(candidates) as usize;
        let (request, attempt, server) = self.in_flight.remove(index);
        let is_origin = server == SERVERS;
        let status = match self.sequence.below(20) {
            11..=13 if !is_origin => AttemptStatus::Miss,
            14 => AttemptStatus::Error,
            15 => AttemptStatus::Malformed,
            16 => AttemptStatus::Rejected,
            17 => AttemptStatus::TimedOut,
            18 => AttemptStatus::ConnectFailed,
            19 => AttemptStatus::Reset,
            _ => AttemptStatus::Served,
        };
        self.event(Event::Outcome(Outcome {
            request,
            attempt,
            server,
            status,
            request_finished: status == AttemptStatus::Served,
            cache_status: CacheStatus::None,
            elapsed: 1_000,
            load: LoadReport::default(),
            first_on_connection: attempt == 0,
        }));
    }

    fn server_list(&mut self) {
        let id = 1 + self.sequence.below(u64::from(SERVERS)) as ServerId;
        let (kind, servers) = match self.sequence.below(6) {
            0 => (ListUpdate::Failed, Vec::new()),
            1 => (ListUpdate::TimedOut { silent_for: 2_500_000, was_established: true }, Vec::new()),
            2 => (ListUpdate::Full, (1..=SERVERS).map(|id| entry(id, Condition::Ready, 0)).collect()),
            3 => (ListUpdate::Delta, vec![entry(id, Condition::Draining, 0)]),
            4 => (ListUpdate::Delta, vec![entry(id, Condition::Gone, 0)]),
            _ => (ListUpdate::Delta, vec![entry(id, Condition::Ready, self.now - 100_000)]),
        };
        self.event(Event::ServerList { kind, servers });
    }

    fn operator_event(&mut self, variant: u64) {
        let server = 1 + self.sequence.below(u64::from(SERVERS)) as ServerId;
        match self.sequence.below(6) {
            0 => self.event(Event::Exclude { server, excluded: true }),
            1 => self.event(Event::Exclude { server, excluded: false }),
            2 => self.event(Event::OriginUnavailable { duration: 400_000 }),
            3 => self.event(Event::OriginUnavailable { duration: 0 }),
            4 => {
                let share = 0.25 * (1 + self.sequence.below(4)) as f64;
                self.event(Event::ProcessShare(share));
            }
            _ => {
                let settings = Box::new(settings(variant));
                let previous_positions = (0..settings.tenants.len()).map(Some).collect();
                self.event(Event::Settings { settings, previous_positions });
            }
        }
    }

    fn run(mut self, variant: u64) -> (u64, usize, usize) {
        let tenants = variant % 4;
        for step in 0..STEPS {
            match self.sequence.below(100) {
                0..=39 => self.request(step as RequestId + 1, tenants),
                40..=74 => self.outcome(),
                75..=94 => {
                    let time = self.sequence.below(120_000);
                    self.advance(time);
                }
                95 => self.advance(1_500_000),
                96 => {
                    if let Some(&(request, attempt, _)) = self.in_flight.first() {
                        self.event(Event::ResponseStarted { request, attempt });
                    }
                }
                97 => self.event(Event::ClientDisconnected(step as RequestId)),
                98 => self.server_list(),
                _ => self.operator_event(variant),
            }
        }
        self.event(Event::ShuttingDown);
        self.advance(3_000_000);
        (self.digest.digest(), self.sends, self.rejections)
    }
}

#[test]
fn digests_of_fixed_event_sequences_are_unchanged() {
    let results: Vec<_> = (0..12).map(|variant| Run::new(variant).run(variant)).collect();
    let digests: Vec<_> = results.iter().map(|(digest, ..)| format!("{digest:016x}")).collect();
    let sends: usize = results.iter().map(|(_, sends, _)| sends).sum();
    let rejections: usize = results.iter().map(|(.., rejections)| rejections).sum();
    assert!(sends > 5_000 && rejections > 1_000, "{sends} attempts, {rejections} rejections");
    assert_eq!(digests, EXPECTED_DIGESTS, "{sends} attempts, {rejections} rejections");
}

const EXPECTED_DIGESTS: [&str; 12] = [
    "aa2bbaadb94dccfb",
    "143ceaa904f3522c",
    "2f2a03798c608d33",
    "1f530cc51e39b4ad",
    "69073b458aee76d2",
    "9dd99c31d4355790",
    "aa204e271f30b9c2",
    "8bce57cf5b917b0e",
    "dd10f428f9dc5457",
    "995383eb114f21d5",
    "21a1c56b07291d6b",
    "a9b068905b7f9cf1",
];
