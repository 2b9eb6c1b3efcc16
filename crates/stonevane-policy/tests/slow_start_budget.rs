//! Guards against an overload of servers in slow start: independent nodes together must keep to the budget of
//! such a server in every window.
#![allow(missing_docs)]

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use common::*;
use oorandom::Rand64;
use stonevane_policy::*;

/// Time at which servers start.
const SERVER_START: Micros = 100 * SECOND;
/// Default time for which requests continue after the servers have started.
const DURATION_AFTER_START: Micros = 12 * SECOND;
/// Number of distinct keys in the requests.
const KEYS: u64 = 100_000;
/// Offset added to each rank in Zipf's law, which flattens the popularity of the first keys.
const ZIPF_OFFSET: f64 = 10.0;
/// Response time of every server. A server in slow start misses every key; the origin has every key.
const RESPONSE_TIME: Micros = 15 * MS;

#[derive(Debug, Clone, Copy)]
struct Scenario {
    nodes: u32,
    servers: u32,
    /// Requests per second of all nodes together.
    requests_per_s: f64,
    /// Share of the total capacity of all servers, if warmed up, that the requests use.
    utilization: f64,
    /// Servers that start at the same time, and are in slow start afterwards.
    starting_servers: u32,
    /// Servers that are removed at [`SERVER_START`], so that their keys move to the remaining servers.
    removed_servers: u32,
    /// Factor on the request rate in the two seconds after [`SERVER_START`].
    burst_factor: f64,
    /// Whether the nodes ran before [`SERVER_START`]; otherwise they start together with the servers.
    nodes_ran_before: bool,
    /// Share of its capacity that a server has at its start.
    initial_capacity: f64,
    overload_window: Micros,
    /// Time for which requests are sent before the servers start.
    duration_before_start: Micros,
    /// Time for which requests are sent after the servers have started.
    duration_after_start: Micros,
    /// Exponent of Zipf's law for the popularity of keys; `None` for equal popularity.
    zipf_exponent: Option<f64>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            nodes: 30,
            servers: 12,
            requests_per_s: 600.0,
            utilization: 0.7,
            starting_servers: 1,
            removed_servers: 0,
            burst_factor: 1.0,
            nodes_ran_before: true,
            initial_capacity: 0.25,
            overload_window: 2 * SECOND,
            duration_before_start: 10 * SECOND,
            duration_after_start: DURATION_AFTER_START,
            zipf_exponent: None,
        }
    }
}

/// Cumulative distribution of the popularity of keys: for each rank, the share of requests for it and all
/// ranks before it.
struct KeyDistribution(Vec<f64>);

impl KeyDistribution {
    fn new(zipf_exponent: Option<f64>) -> KeyDistribution {
        let exponent = zipf_exponent.unwrap_or(0.0);
        let mut sum = 0.0;
        let cumulative = (0..KEYS).map(|rank| {
            sum += (rank as f64 + ZIPF_OFFSET).powf(-exponent);
            sum
        });
        let cumulative: Vec<_> = cumulative.collect();
        KeyDistribution(cumulative.iter().map(|share| share / sum).collect())
    }

    fn draw(&self, rng: &mut Rand64) -> Key {
        let drawn = rng.rand_float();
        1 + self.0.partition_point(|share| *share < drawn) as Key
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum DueEvent {
    Timer,
    Request,
    Response(RequestId, u16, ServerId),
}

/// Returns the maximum over all windows and servers in slow start of the attempts sent to the server, as a
/// share of its budget. The budget is the overload multiple of its capacity plus an allowance for chance.
fn worst_budget_share(scenario: Scenario, seed: u64) -> f64 {
    let sent = sends_in_slow_start(scenario, seed);
    let settings = node_settings(scenario);
    let capacity = scenario.requests_per_s / scenario.utilization / f64::from(scenario.servers);
    let mut worst = 0.0f64;
    for server in 1..=scenario.starting_servers {
        let times: Vec<_> = sent.iter().filter(|(_, to)| *to == server).map(|(time, _)| *time).collect();
        let mut first = 0;
        for (last, time) in times.iter().enumerate() {
            while times[first] + scenario.overload_window <= *time {
                first += 1;
            }
            // The server's capacity at the start of the window counts.
            let age = (times[first] - SERVER_START) as f64 / settings.slow_start_duration as f64;
            let capacity_share =
                (scenario.initial_capacity + (1.0 - scenario.initial_capacity) * age).min(1.0);
            let expected =
                settings.overload_multiple * capacity * capacity_share * scenario.overload_window as f64
                    / 1e6;
            let budget = expected + 2.0 * expected.sqrt() + 2.0;
            worst = worst.max((last + 1 - first) as f64 / budget);
        }
    }
    worst
}

fn node_settings(scenario: Scenario) -> Settings {
    let tenants = vec![Tenant { quota_per_s: scenario.requests_per_s }];
    Settings {
        nodes: scenario.nodes,
        tenants,
        initial_capacity: scenario.initial_capacity,
        overload_window: scenario.overload_window,
        ..settings()
    }
}

/// Returns the time and server of each attempt at a server in slow start.
fn sends_in_slow_start(scenario: Scenario, seed: u64) -> Vec<(Micros, ServerId)> {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.run();
    simulation.sent
}

struct Simulation {
    scenario: Scenario,
    random: Rand64,
    keys: KeyDistribution,
    nodes: Vec<Policy>,
    due: BinaryHeap<Reverse<(Micros, usize, DueEvent)>>,
    attempts: HashMap<RequestId, u16>,
    requests: RequestId,
    /// Whether the nodes have the list with the started servers.
    notified: bool,
    /// Time and server of each attempt at a server in slow start.
    sent: Vec<(Micros, ServerId)>,
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Simulation {
        let node = |me| Policy::new(node_settings(scenario), seed * 1_000 + u64::from(me));
        let mut simulation = Simulation {
            scenario,
            random: Rand64::new(u128::from(seed)),
            keys: KeyDistribution::new(scenario.zipf_exponent),
            nodes: (0..scenario.nodes).map(node).collect(),
            due: BinaryHeap::new(),
            attempts: HashMap::new(),
            requests: 0,
            notified: !scenario.nodes_ran_before,
            sent: Vec::new(),
        };
        let begin = if scenario.nodes_ran_before {
            SERVER_START - scenario.duration_before_start
        } else {
            SERVER_START
        };
        let servers = simulation.servers(if scenario.nodes_ran_before { 0 } else { SERVER_START });
        for node in 0..simulation.nodes.len() {
            let list = Event::ServerList { kind: ListUpdate::Full, servers: servers.clone() };
            simulation.handle(begin, node, list);
        }
        simulation.due.push(Reverse((begin, 0, DueEvent::Request)));
        simulation
    }

    fn servers(&self, started: Micros) -> Vec<ServerEntry> {
        let entry = |id| ServerEntry {
            started: if id <= self.scenario.starting_servers { started } else { 0 },
            ..server(id)
        };
        (1..=self.scenario.servers)
            .map(entry)
            .chain([ServerEntry { id: ServerId::MAX, ..origin() }])
            .collect()
    }

    fn run(&mut self) {
        while let Some(Reverse((now, node, due))) = self.due.pop() {
            if now > SERVER_START + self.scenario.duration_after_start {
                break;
            }
            if !self.notified && now >= SERVER_START {
                self.notified = true;
                self.notify_nodes_of_start(now);
            }
            match due {
                DueEvent::Timer => self.handle(now, node, Event::Timer(0)),
                DueEvent::Response(request, attempt, server) => {
                    let in_slow_start = server <= self.scenario.starting_servers && now >= SERVER_START;
                    let status = if in_slow_start { AttemptStatus::Miss } else { AttemptStatus::Served };
                    let outcome = outcome(request, attempt, server, status);
                    self.handle(now, node, Event::Outcome(Outcome { elapsed: RESPONSE_TIME, ..outcome }));
                }
                DueEvent::Request => self.request(now),
            }
        }
    }

    fn notify_nodes_of_start(&mut self, now: Micros) {
        let mut servers = self.servers(SERVER_START);
        servers.retain(|entry| {
            entry.kind != 0 || entry.id <= self.scenario.servers - self.scenario.removed_servers
        });
        for policy in &mut self.nodes {
            let list = Event::ServerList { kind: ListUpdate::Full, servers: servers.clone() };
            policy.handle(now, list, &mut Vec::new());
        }
    }

    fn request(&mut self, now: Micros) {
        let in_burst = (SERVER_START..SERVER_START + 2 * SECOND).contains(&now);
        let rate_factor = if in_burst { self.scenario.burst_factor } else { 1.0 };
        let wait =
            -(1.0 - self.random.rand_float()).ln() / (self.scenario.requests_per_s * rate_factor) * 1e6;
        self.due.push(Reverse((now + 1 + wait as Micros, 0, DueEvent::Request)));
        // The load is uneven: some nodes get several times the mean.
        let position = self.random.rand_float().powi(2);
        let node = (position * f64::from(self.scenario.nodes)) as usize;
        let key = self.keys.draw(&mut self.random);
        self.requests += 1;
        self.handle(now, node, Event::Request(read(self.requests, key)));
    }

    fn handle(&mut self, now: Micros, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { after, .. } => {
                    self.due.push(Reverse((now + after.max(1), node, DueEvent::Timer)));
                }
                Action::Send { request, server, .. } => self.send(now, node, request, server),
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, node: usize, request: RequestId, server: ServerId) {
        let attempt = self.attempts.entry(request).or_insert(0u16);
        self.due.push(Reverse((now + RESPONSE_TIME, node, DueEvent::Response(request, *attempt, server))));
        *attempt += 1;
        if server <= self.scenario.starting_servers && now >= SERVER_START {
            self.sent.push((now, server));
        }
    }
}

#[test]
fn all_nodes_together_keep_to_the_budget_of_a_server_in_slow_start_in_every_window() {
    let scenario = Scenario::default();
    let scenarios = [
        ("1 node", Scenario { nodes: 1, ..scenario }),
        ("30 nodes", scenario),
        ("30 nodes, low traffic", Scenario { requests_per_s: 100.0, ..scenario }),
        ("30 nodes, burst", Scenario { burst_factor: 1.5, ..scenario }),
        ("30 nodes, low traffic, burst", Scenario { requests_per_s: 100.0, burst_factor: 1.5, ..scenario }),
        ("30 nodes, 4 servers start", Scenario { starting_servers: 4, burst_factor: 1.5, ..scenario }),
        (
            "30 nodes, 1 server starts, 4 are removed",
            Scenario { removed_servers: 4, burst_factor: 1.5, ..scenario },
        ),
        (
            "30 nodes, 1 server starts, 6 are removed",
            Scenario { removed_servers: 6, burst_factor: 1.5, ..scenario },
        ),
        ("30 nodes, 7 of 12 servers start", Scenario { starting_servers: 7, burst_factor: 1.5, ..scenario }),
        (
            "30 nodes that start together with the server",
            Scenario { nodes_ran_before: false, burst_factor: 1.5, ..scenario },
        ),
        ("30 nodes, 95% utilization", Scenario { utilization: 0.95, burst_factor: 1.5, ..scenario }),
        (
            "30 nodes, short overload window",
            Scenario { overload_window: SECOND / 2, burst_factor: 1.5, ..scenario },
        ),
        (
            "30 nodes, low initial capacity, low traffic, burst",
            Scenario { initial_capacity: 0.1, requests_per_s: 100.0, burst_factor: 1.5, ..scenario },
        ),
        (
            "300 nodes, low traffic, burst",
            Scenario { nodes: 300, requests_per_s: 100.0, burst_factor: 1.5, ..scenario },
        ),
    ];
    check(&scenarios, 5);
}

fn check(scenarios: &[(&str, Scenario)], seeds: u64) {
    let mut over_budget = Vec::new();
    for &(name, scenario) in scenarios {
        let worst = (1..=seeds).map(|seed| worst_budget_share(scenario, seed)).fold(0.0, f64::max);
        println!("{name}: {worst:.2} of the budget");
        if worst > 1.0 {
            over_budget.push((name, worst));
        }
    }
    assert!(over_budget.is_empty(), "{over_budget:?}");
}

#[test]
fn the_slow_start_budget_holds_for_any_number_of_nodes_and_servers() {
    let small = Scenario {
        nodes: 300,
        requests_per_s: 3_900.0,
        burst_factor: 1.5,
        duration_before_start: 6 * SECOND,
        ..Scenario::default()
    };
    let small = Scenario { duration_after_start: 6 * SECOND, ..small };
    let large = Scenario { servers: 2_700, starting_servers: 900, removed_servers: 900, ..small };
    check(
        &[
            (
                "300 nodes, 170 servers, 50 start, 50 are removed",
                Scenario { servers: 170, starting_servers: 50, removed_servers: 50, ..small },
            ),
            (
                "the same with Zipf popularity",
                Scenario {
                    servers: 170,
                    starting_servers: 50,
                    removed_servers: 50,
                    zipf_exponent: Some(0.9),
                    ..small
                },
            ),
            ("300 nodes, 2,700 servers, 900 start, 900 are removed", large),
            ("the same with Zipf popularity", Scenario { zipf_exponent: Some(0.9), ..large }),
            (
                "the same, nodes start together with the servers",
                Scenario { zipf_exponent: Some(0.9), nodes_ran_before: false, ..large },
            ),
            (
                "10 servers start, 1,800 are removed, Zipf popularity",
                Scenario { starting_servers: 10, removed_servers: 1_800, zipf_exponent: Some(0.9), ..large },
            ),
            (
                "8 nodes, 3,200 servers, Zipf popularity",
                Scenario {
                    nodes: 8,
                    requests_per_s: 120.0,
                    servers: 3_200,
                    zipf_exponent: Some(0.9),
                    ..large
                },
            ),
            (
                "30 nodes, 12 servers, 1 starts, 9 are removed",
                Scenario { removed_servers: 9, burst_factor: 1.5, ..Scenario::default() },
            ),
        ],
        2,
    );
}
