//! A server in slow start before many nodes that share nothing: what it is sent by all of them together, in
//! every window.
#![allow(missing_docs)]

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use common::*;
use oorandom::Rand64;
use stonevane_policy::*;

/// When servers start, and how long requests come after.
const START: Micros = 100 * SECOND;
const AFTER: Micros = 12 * SECOND;
/// Keys that are requested, and how many ranks the popularity of the first is flattened by.
const KEYS: u64 = 100_000;
const ZIPF_OFFSET: f64 = 10.0;
/// Response time of every server; a cold one lacks all keys, the origin has them.
const ANSWERS: Micros = 15 * MS;

#[derive(Debug, Clone, Copy)]
struct Scenario {
    nodes: u32,
    servers: u32,
    /// Requests a second of all nodes together, and the part of the warm servers' capacity that this is.
    per_s: f64,
    used: f64,
    /// Servers that start cold, at one moment.
    cold: u32,
    /// Others that leave then, so that their keys go elsewhere.
    gone: u32,
    /// How much more comes from that moment on for two seconds.
    burst: f64,
    /// Whether nodes ran before: else all start with the servers.
    nodes_ran_before: bool,
    cold_share: f64,
    window: Micros,
    /// How long requests come before the servers start.
    before: Micros,
    /// How long they come afterwards.
    after: Micros,
    /// How popular keys are: of equal popularity, or by Zipf's law with this exponent.
    zipf: Option<f64>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            nodes: 30,
            servers: 12,
            per_s: 600.0,
            used: 0.7,
            cold: 1,
            gone: 0,
            burst: 1.0,
            nodes_ran_before: true,
            cold_share: 0.25,
            window: 2 * SECOND,
            before: 10 * SECOND,
            after: AFTER,
            zipf: None,
        }
    }
}

/// Keys by their popularity: for each rank, the part of the requests that it and those before it get.
struct Keys(Vec<f64>);

impl Keys {
    fn new(zipf: Option<f64>) -> Keys {
        let exponent = zipf.unwrap_or(0.0);
        let mut sum = 0.0;
        let parts = (0..KEYS).map(|rank| {
            sum += (rank as f64 + ZIPF_OFFSET).powf(-exponent);
            sum
        });
        let parts: Vec<_> = parts.collect();
        Keys(parts.iter().map(|part| part / sum).collect())
    }

    fn draw(&self, rng: &mut Rand64) -> Key {
        let drawn = rng.rand_float();
        1 + self.0.partition_point(|part| *part < drawn) as Key
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer,
    Request,
    Answer(RequestId, u16, ServerId),
}

/// The largest part of its budget that a cold server is sent in any window: N and what is put down to chance.
fn worst_part(scenario: Scenario, seed: u64) -> f64 {
    let sent = sent_to_cold(scenario, seed);
    let settings = config(scenario);
    let capacity = scenario.per_s / scenario.used / f64::from(scenario.servers);
    let mut worst = 0.0f64;
    for server in 1..=scenario.cold {
        let times: Vec<_> = sent.iter().filter(|(_, to)| *to == server).map(|(at, _)| *at).collect();
        let mut from = 0;
        for (last, at) in times.iter().enumerate() {
            while times[from] + scenario.window <= *at {
                from += 1;
            }
            // As cold as it is when the window begins.
            let age = (times[from] - START) as f64 / settings.slow_start_duration as f64;
            let warmth = (scenario.cold_share + (1.0 - scenario.cold_share) * age).min(1.0);
            let allowed = settings.overload_multiple * capacity * warmth * scenario.window as f64 / 1e6;
            let budget = allowed + 2.0 * allowed.sqrt() + 2.0;
            worst = worst.max((last + 1 - from) as f64 / budget);
        }
    }
    worst
}

fn config(scenario: Scenario) -> Settings {
    let tenants = vec![Tenant { quota_per_s: scenario.per_s }];
    Settings {
        nodes: scenario.nodes,
        tenants,
        initial_capacity: scenario.cold_share,
        overload_window: scenario.window,
        ..settings()
    }
}

/// What servers that have started are sent, and when.
fn sent_to_cold(scenario: Scenario, seed: u64) -> Vec<(Micros, ServerId)> {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.run();
    simulation.sent
}

struct Simulation {
    scenario: Scenario,
    random: Rand64,
    keys: Keys,
    nodes: Vec<Policy>,
    due: BinaryHeap<Reverse<(Micros, usize, Due)>>,
    attempts: HashMap<RequestId, u16>,
    requests: RequestId,
    /// Whether the nodes were notified of the servers that start.
    notified: bool,
    /// What the cold servers were sent, and when.
    sent: Vec<(Micros, ServerId)>,
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Simulation {
        let node = |me| Policy::new(config(scenario), seed * 1_000 + u64::from(me));
        let mut simulation = Simulation {
            scenario,
            random: Rand64::new(u128::from(seed)),
            keys: Keys::new(scenario.zipf),
            nodes: (0..scenario.nodes).map(node).collect(),
            due: BinaryHeap::new(),
            attempts: HashMap::new(),
            requests: 0,
            notified: !scenario.nodes_ran_before,
            sent: Vec::new(),
        };
        let begin = if scenario.nodes_ran_before { START - scenario.before } else { START };
        let servers = simulation.servers(if scenario.nodes_ran_before { 0 } else { START });
        for node in 0..simulation.nodes.len() {
            let list = Event::ServerList { kind: ListUpdate::Full, servers: servers.clone() };
            simulation.handle(begin, node, list);
        }
        simulation.due.push(Reverse((begin, 0, Due::Request)));
        simulation
    }

    fn servers(&self, started: Micros) -> Vec<ServerEntry> {
        let cold =
            |id| ServerEntry { started: if id <= self.scenario.cold { started } else { 0 }, ..server(id) };
        (1..=self.scenario.servers).map(cold).chain([ServerEntry { id: ServerId::MAX, ..origin() }]).collect()
    }

    fn run(&mut self) {
        while let Some(Reverse((now, node, due))) = self.due.pop() {
            if now > START + self.scenario.after {
                break;
            }
            if !self.notified && now >= START {
                self.notified = true;
                self.notify_of_start(now);
            }
            match due {
                Due::Timer => self.handle(now, node, Event::Timer(0)),
                Due::Answer(request, attempt, server) => {
                    let cold = server <= self.scenario.cold && now >= START;
                    let status = if cold { AttemptStatus::Miss } else { AttemptStatus::Served };
                    let outcome = outcome(request, attempt, server, status);
                    self.handle(now, node, Event::Outcome(Outcome { elapsed: ANSWERS, ..outcome }));
                }
                Due::Request => self.request(now),
            }
        }
    }

    fn notify_of_start(&mut self, now: Micros) {
        let mut servers = self.servers(START);
        servers.retain(|line| line.kind != 0 || line.id <= self.scenario.servers - self.scenario.gone);
        for policy in &mut self.nodes {
            let list = Event::ServerList { kind: ListUpdate::Full, servers: servers.clone() };
            policy.handle(now, list, &mut Vec::new());
        }
    }

    fn request(&mut self, now: Micros) {
        let in_burst = (START..START + 2 * SECOND).contains(&now);
        let burst = if in_burst { self.scenario.burst } else { 1.0 };
        let wait = -(1.0 - self.random.rand_float()).ln() / (self.scenario.per_s * burst) * 1e6;
        self.due.push(Reverse((now + 1 + wait as Micros, 0, Due::Request)));
        // Some nodes get several times the mean.
        let uneven = self.random.rand_float().powi(2);
        let node = (uneven * f64::from(self.scenario.nodes)) as usize;
        let key = self.keys.draw(&mut self.random);
        self.requests += 1;
        self.handle(now, node, Event::Request(read(self.requests, key)));
    }

    fn handle(&mut self, now: Micros, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { after, .. } => self.due.push(Reverse((now + after.max(1), node, Due::Timer))),
                Action::Send { request, server, .. } => self.send(now, node, request, server),
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, node: usize, request: RequestId, server: ServerId) {
        let attempt = self.attempts.entry(request).or_insert(0u16);
        self.due.push(Reverse((now + ANSWERS, node, Due::Answer(request, *attempt, server))));
        *attempt += 1;
        if server <= self.scenario.cold && now >= START {
            self.sent.push((now, server));
        }
    }
}

#[test]
fn all_nodes_together_keep_to_the_budget_of_a_cold_server_in_every_window() {
    let scenario = Scenario::default();
    let scenarios = [
        ("one balancer", Scenario { nodes: 1, ..scenario }),
        ("thirty", scenario),
        ("thirty, little traffic", Scenario { per_s: 100.0, ..scenario }),
        ("thirty, burst", Scenario { burst: 1.5, ..scenario }),
        ("thirty, little traffic, burst", Scenario { per_s: 100.0, burst: 1.5, ..scenario }),
        ("thirty, four come back cold", Scenario { cold: 4, burst: 1.5, ..scenario }),
        ("thirty, one cold as four leave", Scenario { gone: 4, burst: 1.5, ..scenario }),
        ("thirty, one cold as six leave", Scenario { gone: 6, burst: 1.5, ..scenario }),
        ("thirty, seven of twelve replaced", Scenario { cold: 7, burst: 1.5, ..scenario }),
        ("thirty that start with it", Scenario { nodes_ran_before: false, burst: 1.5, ..scenario }),
        ("thirty, nearly full", Scenario { used: 0.95, burst: 1.5, ..scenario }),
        ("thirty, a short window", Scenario { window: SECOND / 2, burst: 1.5, ..scenario }),
        (
            "thirty, colder, little traffic",
            Scenario { cold_share: 0.1, per_s: 100.0, burst: 1.5, ..scenario },
        ),
        ("three hundred, little traffic", Scenario { nodes: 300, per_s: 100.0, burst: 1.5, ..scenario }),
    ];
    check(&scenarios, 5);
}

fn check(scenarios: &[(&str, Scenario)], seeds: u64) {
    let mut over = Vec::new();
    for &(name, scenario) in scenarios {
        let worst = (1..=seeds).map(|seed| worst_part(scenario, seed)).fold(0.0, f64::max);
        println!("{name}: {worst:.2} of the budget");
        if worst > 1.0 {
            over.push((name, worst));
        }
    }
    assert!(over.is_empty(), "{over:?}");
}

#[test]
fn the_budget_of_a_cold_server_holds_for_any_number_of_nodes_and_servers() {
    let small =
        Scenario { nodes: 300, per_s: 3_900.0, burst: 1.5, before: 6 * SECOND, ..Scenario::default() };
    let small = Scenario { after: 6 * SECOND, ..small };
    let large = Scenario { servers: 2_700, cold: 900, gone: 900, ..small };
    check(
        &[
            (
                "three hundred before 170, fifty replaced",
                Scenario { servers: 170, cold: 50, gone: 50, ..small },
            ),
            (
                "the same, popular keys",
                Scenario { servers: 170, cold: 50, gone: 50, zipf: Some(0.9), ..small },
            ),
            ("three hundred before 2,700, 900 replaced", large),
            ("the same, popular keys", Scenario { zipf: Some(0.9), ..large }),
            (
                "the same, that start with them",
                Scenario { zipf: Some(0.9), nodes_ran_before: false, ..large },
            ),
            (
                "ten cold as 1,800 leave, popular keys",
                Scenario { cold: 10, gone: 1_800, zipf: Some(0.9), ..large },
            ),
            (
                "eight before 3,200, popular keys",
                Scenario { nodes: 8, per_s: 120.0, servers: 3_200, zipf: Some(0.9), ..large },
            ),
            (
                "thirty before twelve, one cold as nine leave",
                Scenario { gone: 9, burst: 1.5, ..Scenario::default() },
            ),
        ],
        2,
    );
}
