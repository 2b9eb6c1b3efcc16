//! The simulation of one run. Events are totally ordered by their time and the order in which they were
//! scheduled, and the run depends on nothing but the plan.
//!
//! [`Simulation`] dispatches events to one module per part: nodes and their outputs, the network, servers,
//! clients, discovery and faults. All random numbers come from one generator, so the order of draws is part
//! of a run: changing it gives other histories for the same plan.

mod clients;
mod crowd;
mod discovery;
mod event;
mod faults;
mod held_turn;
mod invariants;
mod network;
mod node;
mod outputs;
mod recorder;
mod servers;
mod settings;
mod verdict;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};

use oorandom::Rand64;
use stonevane_audit::{Event as RecordedEvent, HistoryRecord};
use stonevane_server_model::value::{digest, padded};

use crate::client::ClientRequest;
use crate::discovery::Discovery;
use crate::event_queue::EventQueue;
use crate::plan::Plan;
use crate::server::Server;
use crate::stream::{Stream, StreamId};
use event::Event;
use node::Node;
use recorder::{Recorder, record};
pub use verdict::{FleetTotals, Invariant, Options, Verdict, Violation};

/// Unix time of a run's start, microseconds.
const EPOCH_US: u64 = 1_790_000_000_000_000;
/// Time from the end of the load to the end of the run, microseconds. At the end of the run nodes must hold
/// no requests, attempts or memory.
const QUIET_PERIOD_US: u64 = 4_000_000;
/// Time of the first request, microseconds.
const FIRST_REQUEST_US: u64 = 10_000;
/// Maximum number of events of a run; a run with more events counts as an endless loop.
const MAX_STEPS: u64 = 20_000_000;
/// Port of all servers.
const SERVER_PORT: u16 = 6_379;

/// Runs a plan to its end.
pub fn run(plan: &Plan, options: Options) -> Verdict {
    let mut simulation = Simulation::new(plan, options);
    simulation.begin();
    simulation.play();
    simulation.finish()
}

/// State of a run.
struct Simulation<'a> {
    plan: &'a Plan,
    options: Options,
    queue: EventQueue<Event>,
    rng: Rand64,
    nodes: Vec<Node>,
    /// The caches in the order of their indexes, then the origin.
    servers: Vec<Server>,
    discovery: Discovery,
    streams: HashMap<StreamId, Stream>,
    next_stream: StreamId,
    requests: Vec<ClientRequest>,
    recorder: Recorder,
    violations: Vec<Violation>,
    /// Numbers of faults in force, of the kinds `Impatient`, `Crowd`, `LongCommands` and `NoDiscovery`.
    impatience_faults: u32,
    crowd_faults: u32,
    long_command_faults: u32,
    discovery_faults: u32,
    totals: FleetTotals,
    /// Ids of the attempts whose clients left before a server received them, with the simulated time of
    /// leaving in microseconds.
    abandoned: HashMap<String, u64>,
    /// Ids of the attempts that a server has received.
    received: HashSet<String>,
    steps: u64,
    /// Value that every edit writes.
    value: String,
    value_digest: String,
}

impl<'a> Simulation<'a> {
    fn new(plan: &'a Plan, options: Options) -> Simulation<'a> {
        let servers = servers_of(plan);
        let value = padded("v", plan.value_bytes);
        Simulation {
            plan,
            options,
            queue: EventQueue::new(),
            rng: Rand64::new(u128::from(plan.seed) ^ 0x5eed),
            nodes: (0..plan.nodes).map(|node| Node::new(plan, node)).collect(),
            discovery: Discovery::new(&servers),
            servers,
            streams: HashMap::new(),
            next_stream: 1,
            requests: Vec::new(),
            recorder: Recorder::new(&settings::rules(), options.keeps_history),
            violations: Vec::new(),
            impatience_faults: 0,
            crowd_faults: 0,
            long_command_faults: 0,
            discovery_faults: 0,
            totals: FleetTotals::default(),
            abandoned: HashMap::new(),
            received: HashSet::new(),
            steps: 0,
            value_digest: digest(value.as_bytes()),
            value,
        }
    }

    fn begin(&mut self) {
        for server in 0..self.servers.len() {
            self.record_server_start(server);
        }
        for entry in self.discovery.entries.clone() {
            self.record(HistoryRecord {
                server: entry.name,
                status: "active".into(),
                ..record("discovery", RecordedEvent::Change)
            });
        }
        for node in 0..self.nodes.len() {
            self.start_node(node);
        }
        for (fault, planned) in self.plan.faults.iter().enumerate() {
            let end = planned.start_us + planned.duration_us;
            self.schedule(planned.start_us, Event::Fault { fault, begins: true });
            self.schedule(end, Event::Fault { fault, begins: false });
        }
        self.schedule(FIRST_REQUEST_US, Event::RequestArrival);
    }

    fn end_us(&self) -> u64 {
        self.plan.load_duration_us + QUIET_PERIOD_US
    }

    fn play(&mut self) {
        let end = self.end_us();
        while let Some(event) = self.queue.next_until(end) {
            self.steps += 1;
            if self.steps > MAX_STEPS {
                self.record_violation(Invariant::Termination, format!("more than {MAX_STEPS} events"));
                break;
            }
            self.handle_event(event);
        }
        self.queue.advance_to(end);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::DeliverToNode(stream, chunk) => self.deliver_to_node(stream, chunk),
            Event::DeliverToPeer(stream, chunk) => self.deliver_to_peer(stream, chunk),
            Event::Connected { stream, is_accepted } => self.server_connected(stream, is_accepted),
            Event::Flushed(stream) => self.flushed(stream),
            Event::HalfCloseExpired(stream) => self.half_close_expired(stream),
            Event::Connect(stream) => self.client_connects(stream),
            Event::Wake { node, incarnation } => self.wake_node(node, incarnation),
            Event::TurnContinues { node, incarnation } => self.continue_turn(node, incarnation),
            Event::WorkDone { stream, incarnation, request, work } => {
                self.work_done(stream, incarnation, &request, &work);
            }
            Event::ExtraBytes(stream, bytes) => self.server_writes(stream, &bytes),
            Event::RequestArrival => self.request_arrival(),
            Event::Attempt(request) => self.attempt(request),
            Event::ConnectTimeout { request, attempt } => self.connect_timeout(request, attempt),
            Event::AnswerTimeout { request, attempt } => self.answer_timeout(request, attempt),
            Event::Fault { fault, begins } => self.apply_fault(fault, begins),
            Event::StartNode(node) => {
                // The end of a fault may have started the node already.
                if self.nodes[node].core.is_none() {
                    self.start_node(node);
                }
            }
            Event::DiscoveryUpdate { server, status, started_at } => {
                self.discovery_update(server, status, started_at);
            }
            Event::DiscoveryAnswer(call, list) => self.discovery_answer(call, list),
            Event::DiscoveryCallArrived(call, request) => self.discovery_call_arrived(call, request),
            Event::DiscoveryCallDone(call, request) => self.discovery_call_done(call, request),
            Event::CrowdArrival { fault } => self.crowd_arrival(fault),
            Event::LongCommandArrival { fault } => self.long_command_arrival(fault),
        }
    }

    fn finish(mut self) -> Verdict {
        self.check_leftovers();
        self.check_progress();
        self.record(record("lab", RecordedEvent::End));
        let served = self.requests.iter().filter(|request| request.is_served).count();
        let simulated_us = self.now();
        let recording = self.recorder.finish();
        Verdict {
            report: recording.report,
            violations: self.violations,
            requests: self.requests.len(),
            served,
            totals: self.totals,
            steps: self.steps,
            simulated_us,
            digest: recording.digest,
            history: recording.text,
        }
    }

    fn now(&self) -> u64 {
        self.queue.now()
    }

    /// Schedules an event; an event before the current time is scheduled for the current time.
    fn schedule(&mut self, at: u64, event: Event) {
        self.queue.schedule(at.max(self.now()), event);
    }

    fn schedule_in(&mut self, delay_us: u64, event: Event) {
        self.schedule(self.now() + delay_us, event);
    }

    fn record(&mut self, record: HistoryRecord) {
        self.recorder.add(self.queue.now(), record);
    }

    /// Draws a network delay, microseconds.
    fn draw_delay(&mut self) -> u64 {
        let (shortest, longest) = self.plan.delay_us;
        self.rng.rand_range(shortest..longest.max(shortest) + 1)
    }

    /// Returns `true` with the given probability. Draws no number if the probability is 0.
    fn draw_chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.rand_float() < probability
    }

    /// Returns the streams that match, in the order in which they were opened.
    fn streams_where(&self, matches: impl Fn(&Stream) -> bool) -> Vec<StreamId> {
        let matching = self.streams.iter().filter(|(_, stream)| matches(stream));
        let mut ids: Vec<StreamId> = matching.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}

/// Creates the caches and the origin of a plan. All caches hold the same keys at the beginning.
fn servers_of(plan: &Plan) -> Vec<Server> {
    let address = |network: u8, number: usize| {
        let host = Ipv4Addr::new(10, network, (number / 200) as u8, (number % 200 + 1) as u8);
        SocketAddr::from((host, SERVER_PORT))
    };
    let cached_keys = (plan.keys as f64 * plan.cached_share) as u64;
    let cached: BTreeMap<String, u64> =
        (0..cached_keys).map(|key| (format!("{:016x}", key + 1), 0)).collect();
    let mut servers: Vec<Server> = (0..plan.caches)
        .map(|number| Server::new(&format!("s-{number}"), address(1, number), false))
        .collect();
    for cache in &mut servers {
        cache.versions.clone_from(&cached);
    }
    servers.push(Server::new("origin", address(2, 0), true));
    servers
}
