//! The world of one run: everything that happens has a moment and a place in the order of that moment, and nothing
//! depends on anything else.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use bytes::BytesMut;
use oorandom::Rand64;
use stonevane_audit::{
    Auditor, ClassRule, DedupScope, Effect, Event, HistoryRecord, Idempotency, OriginRule, Outcome, Report,
    Rules, TimeInterval,
};
use stonevane_codec::resp::{self, Value};
use stonevane_config::operator;
use stonevane_core::{
    ConnId, Core, DiscoveryRequest, EndpointList, Input, LogLine, Mutant, Output, Outputs, Setup,
};
use stonevane_policy::settings::Deployment;
use stonevane_policy::{RequestClass, Settings, Tenant};
use stonevane_server_model::value::{digest, padded};

use crate::clients::{BACKOFF, CLASSES, TRIES, Wish};
use crate::discovery::{Discovery, Entry};
use crate::plan::{FaultKind, Plan};
use crate::servers::{self, Asked, COLD, KEYED, Server, Work};
use crate::wire::{Chunk, Peer, Wire, WireId};

/// Unix time at the moment 0 of a run, microseconds.
const EPOCH: u64 = 1_790_000_000_000_000;
/// How late discovery learns of a change.
const LATE: u64 = 1_000_000;
/// How long a call to discovery takes.
const CALL: u64 = 150_000;
/// How long a node reads on after its last answer.
const LINGER: u64 = 200_000;
/// A client that had no answer closes its connection so long after its time.
const PATIENCE: u64 = 300_000;
/// How long a node that has ended stays away.
const AWAY: u64 = 300_000;
/// A connection that no node takes is given up after this.
const UNTAKEN: u64 = 250_000;
/// A request whose client has left while it waited is not sent on so much later.
const SENT_ON: u64 = 300_000;
/// After the load, until all must be quiet.
const QUIET: u64 = 4_000_000;
/// The last part of the load, in which clients must be served again ...
const JUDGED: u64 = 3_000_000;
/// ... this part of the reads at the least.
const SERVED: f64 = 0.9;
/// Steps of one run, at most: more is a loop.
const STEPS: u64 = 20_000_000;

/// How a run is made.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// What the core does wrong on purpose.
    pub mutant: Option<Mutant>,
    /// Whether the history is kept as text.
    pub history: bool,
}

/// FleetTotals over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetTotals {
    /// Connections opened to servers.
    pub connections_opened: u64,
    /// Requests to the origin.
    pub origin_requests: u64,
    /// Of these, those that found no place in its table.
    pub origin_rejected: u64,
    /// Calls to discovery.
    pub discovery_calls: u64,
    /// Of these, those that were answered.
    pub discovery_answers: u64,
}

/// What a run showed.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// The auditor's word.
    pub report: Report,
    /// Invariants that were broken, the first of each kind.
    pub violations: Vec<String>,
    /// Requests that clients had, and those that were served.
    pub requests: usize,
    /// Of them served.
    pub served: usize,
    /// FleetTotals over the whole fleet.
    pub totals: FleetTotals,
    /// Steps of the world.
    pub steps: u64,
    /// Simulated time, microseconds.
    pub simulated_us: u64,
    /// A digest of the history.
    pub digest: u64,
    /// The history, where it was to be kept.
    pub history: String,
}

impl Verdict {
    /// Whether all holds.
    pub fn holds(&self) -> bool {
        self.report.holds() && self.report.faulty == 0 && self.violations.is_empty()
    }

    /// What failed, in one word: a code of the auditor's or the kind of an invariant.
    pub fn code(&self) -> Option<String> {
        let finding = self.report.findings.first().map(|finding| finding.code.to_owned());
        let fault = self.report.faults.first().map(|fault| format!("stand-in:{}", fault.code));
        let kind = |what: &String| what.split(':').next().unwrap_or_default().to_owned();
        finding.or(fault).or_else(|| self.violations.first().map(kind))
    }
}

/// What happens.
enum Ev {
    /// Something arrives at the node's end, or at the peer's.
    ToNode(WireId, Chunk),
    ToPeer(WireId, Chunk),
    Connected(WireId, bool),
    Flushed(WireId),
    Lingered(WireId),
    /// A client's connection reaches a node.
    Knock(WireId),
    Wake(usize, u64),
    /// A server's work is done.
    Done(WireId, u64, Box<(Asked, Work)>),
    /// More bytes of a server, of so many lives.
    Noise(WireId, Vec<u8>),
    Arrive,
    Try(usize),
    Expire(usize, String),
    Fault(usize, bool),
    Start(usize),
    Knows(String, &'static str, Option<u64>),
    /// Discovery's word reaches a node.
    Told(usize, u64, u64, Option<EndpointList>),
    /// A call reaches discovery, or has been worked on there.
    Called(usize, u64, u64, DiscoveryRequest),
    Worked(usize, u64, u64, DiscoveryRequest),
    Crowd(usize),
}

struct Node {
    core: Option<Core<Option<Mutant>>>,
    life: u64,
    /// Whether it has called discovery, in any of its lives.
    has_called: bool,
    paused: bool,
    /// What happened while it stood still.
    missed: Vec<Ev>,
    /// When it is woken next.
    wake: u64,
    /// Its connections, by its own names.
    wires: HashMap<ConnId, WireId>,
    /// Those that the machine has taken and it has not.
    backlog: VecDeque<WireId>,
    listens: bool,
    /// The last moment at which discovery's word arrives: a watch is one stream.
    told_at: u64,
    /// Whether it watches, since when, and which version it was told last.
    watch: Option<(u64, u64)>,
    ended: bool,
    /// It was told to end.
    ending: bool,
    /// Its clock, parts in a million more than it should be.
    ppm: i64,
    /// Clients' connections that may be used again.
    idle: Vec<WireId>,
}

/// The world.
struct World<'a> {
    plan: &'a Plan,
    options: Options,
    now: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), Ev>,
    rng: Rand64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    discovery: Discovery,
    wires: HashMap<WireId, Wire>,
    next_wire: WireId,
    wishes: Vec<Wish>,
    auditor: Auditor,
    lines: usize,
    history: String,
    digest: u64,
    broken: Vec<String>,
    impatient: u32,
    crowd: u32,
    dark: u32,
    sums: FleetTotals,
    /// Requests whose clients left before any server had them, and when; and all that a server has had.
    waited: HashMap<String, u64>,
    begun: HashSet<String>,
    steps: u64,
    value: String,
    digest_of_value: String,
}

/// Plays a plan.
pub fn run(plan: &Plan, options: Options) -> Verdict {
    let mut world = World::new(plan, options);
    world.begin();
    world.play();
    world.end()
}

fn rules() -> Rules {
    let class =
        |name: &str, kind| ClassRule { name: name.into(), kind, scope: DedupScope::All, window_us: KEYED };
    Rules {
        classes: vec![
            class(CLASSES[0].0, Idempotency::Idempotent),
            class(CLASSES[1].0, Idempotency::WithKey),
            class(CLASSES[2].0, Idempotency::NonIdempotent),
        ],
        origin: OriginRule { capacity_us_per_s: 4e6, ..OriginRule::default() },
        // As long as what it took after SIGTERM may be waited for: a kill within that is the plan's doing.
        kill_grace_us: 450_000 + CLASSES[0].1,
        shutdown_limit_us: 3_200_000,
        max_attempts: 4,
        ..Rules::default()
    }
}

fn deployment(plan: &Plan, me: usize) -> Deployment {
    let class = |(_, deadline, _, keyed, again): (&str, u64, bool, bool, bool)| RequestClass {
        latency_objective: deadline / 2,
        deadline,
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency: match (keyed, again) {
            (true, _) => stonevane_policy::Idempotency::WithKey {
                scope: stonevane_policy::DedupScope::All,
                window: KEYED,
            },
            (false, true) => stonevane_policy::Idempotency::Idempotent,
            (false, false) => stonevane_policy::Idempotency::NonIdempotent,
        },
    };
    let settings = Settings {
        nodes: plan.nodes as u32,
        node_index: me as u32,
        classes: CLASSES.map(class).to_vec(),
        tenants: vec![Tenant { quota_per_s: plan.requests_per_s * 2.0 + 100.0 }],
        poll_discovery: true,
        // Where calls have a price, what the platform allows a large fleet.
        list_staleness_limit: if plan.discovery_call_us.is_some() { 10_000_000 } else { 6_000_000 },
        origin_kind: Some(1),
        max_attempts: 4,
        may_cancel: true,
        max_retry_after: 1_500_000,
        tick: 2_000,
        initial_capacity: COLD.0,
        slow_start_duration: COLD.1,
        overload_multiple: 3.0,
        overload_window: 2_000_000,
        drain_grace: 500_000,
        ..Settings::default()
    };
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    Deployment {
        settings,
        classes: names(&CLASSES.map(|class| class.0)),
        tenants: names(&["all"]),
        zones: names(&["a"]),
        machine_types: names(&["cache", "origin"]),
        load_metric_names: Vec::new(),
        connect_timeout: 100_000,
        idle_close: 10_000_000,
        max_open: 1_024,
    }
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, options: Options) -> World<'a> {
        let address = |net: u8, at: usize| {
            SocketAddr::from((Ipv4Addr::new(10, net, (at / 200) as u8, (at % 200 + 1) as u8), 6379))
        };
        let mut servers: Vec<_> =
            (0..plan.caches).map(|at| Server::new(&format!("s-{at}"), address(1, at), false)).collect();
        servers.push(Server::new("origin", address(2, 0), true));
        let held = (plan.keys as f64 * plan.cached_share) as u64;
        for server in &mut servers {
            let keys = (0..held).map(|key| (format!("{:016x}", key + 1), 0));
            server.holds = if server.origin { BTreeMap::new() } else { keys.collect() };
        }
        let discovery = Discovery::of(&servers);
        let node = |at: usize| Node {
            core: None,
            life: 0,
            has_called: false,
            paused: false,
            missed: Vec::new(),
            wake: u64::MAX,
            wires: HashMap::new(),
            backlog: VecDeque::new(),
            listens: false,
            told_at: 0,
            watch: None,
            ended: false,
            ending: false,
            ppm: (plan.clock_drifts.get(at).copied().unwrap_or(0.0) * 1e6) as i64,
            idle: Vec::new(),
        };
        let value = padded("v", plan.value_bytes);
        World {
            plan,
            options,
            now: 0,
            order: 0,
            queue: BTreeMap::new(),
            rng: Rand64::new(u128::from(plan.seed) ^ 0x5eed),
            nodes: (0..plan.nodes).map(node).collect(),
            servers,
            discovery,
            wires: HashMap::new(),
            next_wire: 1,
            wishes: Vec::new(),
            auditor: Auditor::new(rules()),
            lines: 1,
            history: String::new(),
            digest: 0,
            broken: Vec::new(),
            impatient: 0,
            crowd: 0,
            dark: 0,
            sums: FleetTotals::default(),
            waited: HashMap::new(),
            begun: HashSet::new(),
            steps: 0,
            digest_of_value: digest(value.as_bytes()),
            value,
        }
    }

    // Time and the history.

    fn push(&mut self, at: u64, ev: Ev) {
        self.order += 1;
        self.queue.insert((at.max(self.now), self.order), ev);
    }

    fn line(&mut self, line: HistoryRecord) {
        let t = TimeInterval {
            earliest: if line.time.earliest == 0 { self.now } else { line.time.earliest },
            latest: self.now,
        };
        let line = HistoryRecord { time: t, ..line };
        self.lines += 1;
        let words = (t.earliest, line.event as u8, &line.request, &line.node, &line.value, line.number);
        let outcome = line.outcome.map(|outcome| match outcome {
            Outcome::Served => "Served",
            Outcome::Rejected => "Refused",
            Outcome::Failed => "Failed",
        });
        let outcome = outcome.map_or("None".to_owned(), |name| format!("Some({name})"));
        let words = format!("{words:?}{}{}{outcome}", line.recorder, line.state);
        self.digest = xxhash_rust::xxh3::xxh3_64_with_seed(words.as_bytes(), self.digest);
        if self.options.history {
            self.history.push_str(&line.to_json_line());
        }
        self.auditor.line(self.lines, line);
    }

    fn who(&self, who: &str, event: Event) -> HistoryRecord {
        HistoryRecord { recorder: who.into(), event, ..HistoryRecord::default() }
    }

    /// An invariant is broken; the first of each kind is kept.
    fn breach(&mut self, kind: &str, what: String) {
        if !self.broken.iter().any(|known| known.starts_with(kind)) {
            self.broken.push(format!("{kind}: {what}, at {} us", self.now));
        }
    }

    fn delay(&mut self) -> u64 {
        let (least, most) = self.plan.delay_us;
        self.rng.rand_range(least..most.max(least) + 1)
    }

    fn chance(&mut self, part: f64) -> bool {
        part > 0.0 && self.rng.rand_float() < part
    }

    fn begin(&mut self) {
        if self.options.history {
            let line = HistoryRecord { rules: Some(Box::new(rules())), ..self.who("lab", Event::Begin) };
            self.history.push_str(&line.to_json_line());
        }
        for at in 0..self.servers.len() {
            self.tell_start(at);
        }
        for entry in self.discovery.entries.clone() {
            let line = HistoryRecord {
                server: entry.name,
                status: "active".into(),
                ..self.who("discovery", Event::Change)
            };
            self.line(line);
        }
        for node in 0..self.nodes.len() {
            self.start(node);
        }
        for (at, fault) in self.plan.faults.iter().enumerate() {
            let (begins, ends) = (fault.start_us, fault.start_us + fault.duration_us);
            self.push(begins, Ev::Fault(at, true));
            self.push(ends, Ev::Fault(at, false));
        }
        self.push(10_000, Ev::Arrive);
    }

    fn play(&mut self) {
        let end = self.plan.load_duration_us + QUIET;
        while let Some(((at, _), ev)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.steps += 1;
            if self.steps > STEPS {
                self.breach("endless", format!("{STEPS} steps"));
                break;
            }
            self.happen(ev);
        }
    }

    fn end(mut self) -> Verdict {
        self.now = self.plan.load_duration_us + QUIET;
        for node in 0..self.nodes.len() {
            let Some(core) = &self.nodes[node].core else { continue };
            let count = core.count();
            if count.unanswered + count.request_entries + count.attempts + count.claimed_ids + count.memory
                > 0
            {
                self.breach("left", format!("node {node} holds {count:?} when all is quiet"));
            }
        }
        let from = self.plan.load_duration_us.saturating_sub(JUDGED).max(self.plan.last_fault_end_us());
        let late: Vec<_> = self.wishes.iter().filter(|wish| wish.begun >= from && wish.class == 0).collect();
        let served = late.iter().filter(|wish| wish.served).count();
        if late.len() >= 20 && (served as f64) < SERVED * late.len() as f64 {
            let what = format!("{served} of {} reads served long after the last fault", late.len());
            self.breach("progress", what);
        }
        let line = self.who("lab", Event::End);
        self.line(line);
        let served = self.wishes.iter().filter(|wish| wish.served).count();
        Verdict {
            report: self.auditor.finish(),
            violations: self.broken,
            requests: self.wishes.len(),
            served,
            totals: self.sums,
            steps: self.steps,
            simulated_us: self.now,
            digest: self.digest,
            history: self.history,
        }
    }

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::ToNode(wire, chunk) => self.at_node(wire, chunk),
            Ev::ToPeer(wire, chunk) => self.at_peer(wire, chunk),
            Ev::Connected(wire, up) => self.connected(wire, up),
            Ev::Flushed(wire) => self.flushed(wire),
            Ev::Lingered(wire) => self.lingered(wire),
            Ev::Knock(wire) => self.knock(wire),
            Ev::Wake(node, life) => self.wake(node, life),
            Ev::Done(wire, life, done) => self.done(wire, life, *done),
            Ev::Noise(wire, bytes) => self.server_says(wire, bytes),
            Ev::Worked(node, life, era, ask) => self.called(node, life, era, ask, true),
            Ev::Arrive => self.arrive(),
            Ev::Try(wish) => self.try_wish(wish),
            Ev::Expire(wish, id) => self.expire(wish, &id),
            Ev::Fault(at, begins) => self.fault(at, begins),
            Ev::Start(node) if self.nodes[node].core.is_some() => {} // Another step has started it.
            Ev::Start(node) => self.start(node),
            Ev::Knows(name, status, since) => self.knows(name, status, since),
            Ev::Told(node, life, era, listing) => self.told(node, life, era, listing),
            Ev::Called(node, life, era, ask) => self.called(node, life, era, ask, false),
            Ev::Crowd(at) => self.come(at),
        }
    }

    // Nodes.

    fn clock(&self, node: usize) -> u64 {
        let ppm = self.nodes[node].ppm;
        (EPOCH + self.now).saturating_add_signed(self.now as i64 * ppm / 1_000_000)
    }

    /// When a node's clock shows a time.
    fn moment(&self, node: usize, at: u64) -> u64 {
        let (ppm, passed) = (self.nodes[node].ppm, at.saturating_sub(EPOCH));
        let real = (u128::from(passed) * 1_000_000 / (1_000_000 + ppm).max(1) as u128) as u64;
        // Rounded so that the time has come then.
        real + 1
    }

    fn name(node: usize) -> String {
        format!("n{node}")
    }

    fn state(&mut self, node: usize, state: &str) {
        let line =
            HistoryRecord { node: Self::name(node), state: state.into(), ..self.who("lab", Event::Node) };
        self.line(line);
    }

    fn start(&mut self, node: usize) {
        let plan = self.plan;
        let known = Discovery::of(&self.servers);
        let setup = Setup {
            deployment: deployment(plan, node),
            seed: plan.seed ^ (self.nodes[node].life << 32) ^ node as u64,
            sockets: plan.max_sockets,
            memory_mb: plan.memory_mb,
            known: known.listing(0, EPOCH).0,
            discovery: SocketAddr::from(([10, 4, 0, 1], 8_500)),
            clients: operator::Clients::default(),
            servers: operator::Servers::default(),
            store: false,
            copies: false,
            others: 0,
            replaced: false,
            excluded: Vec::new(),
            regions: None,
        };
        self.state(node, "starting");
        let now = self.clock(node);
        let core = Core::with_faults(now, setup, self.options.mutant);
        let it = &mut self.nodes[node];
        it.life += 1;
        it.ending = false;
        (it.core, it.listens, it.ended, it.wake, it.paused) = (Some(core), true, false, u64::MAX, false);
        self.state(node, "ready");
        self.feed(node, Input::Wake);
    }

    /// A node's process is no more; what it had open is reset.
    fn stop(&mut self, node: usize, state: &str) {
        self.state(node, state);
        let it = &mut self.nodes[node];
        (it.core, it.listens, it.watch, it.paused) = (None, false, None, false);
        it.missed.clear();
        let mut wires: Vec<_> = it.wires.drain().map(|(_, wire)| wire).chain(it.backlog.drain(..)).collect();
        wires.sort_unstable();
        for wire in wires {
            let killed = state == "killed";
            if let Some(it) = self.wires.get_mut(&wire).filter(|it| killed && it.peer_open) {
                it.node_open = false;
                self.send_to_peer(wire, Chunk::Reset);
            } else {
                self.close_node_end(wire);
            }
        }
    }

    /// Tells a node, and does what it says.
    fn feed(&mut self, node: usize, input: Input<'_>) {
        let now = self.clock(node);
        let mut outputs = Outputs::new();
        let Some(core) = &mut self.nodes[node].core else { return };
        core.handle(now, input, &mut outputs);
        self.perform(node, outputs);
    }

    fn also(&mut self, node: usize, input: Input<'_>, outputs: &mut Outputs) {
        let now = self.clock(node);
        if let Some(core) = &mut self.nodes[node].core {
            core.handle(now, input, outputs);
        }
    }

    fn perform(&mut self, node: usize, mut outputs: Outputs) {
        loop {
            if outputs.is_empty() {
                self.take_backlog(node, &mut outputs);
            }
            let Some(output) = outputs.pop_front() else { break };
            match output {
                // A simulated client that hears of the end behind its answer hears of it a moment later.
                Output::WriteAndClose(id, bytes) | Output::Write(id, bytes) => {
                    self.node_writes(node, id, &bytes, &mut outputs);
                }
                Output::WriteRequest(id, bytes, _) => {
                    if self.drained(node, id, &mut outputs) {
                        self.node_writes(node, id, &bytes, &mut outputs);
                    }
                }
                Output::Open(id, address) => self.open(node, id, address),
                Output::Close(id) => {
                    if let Some(wire) = self.nodes[node].wires.remove(&id) {
                        self.close_node_end(wire);
                    }
                }
                Output::CloseIfIdle(id) => {
                    let parts = self.nodes[node].core.as_ref().is_some_and(|core| core.parts(id));
                    if parts
                        && self.drained(node, id, &mut outputs)
                        && let Some(wire) = self.nodes[node].wires.remove(&id)
                    {
                        self.close_node_end(wire);
                        self.also(node, Input::Closed(id), &mut outputs);
                    }
                }
                Output::CloseWrite(id) => {
                    let Some(wire) = self.nodes[node].wires.get(&id).copied() else { continue };
                    if let Some(it) = self.wires.get_mut(&wire) {
                        it.lingers = true;
                        it.inbox.clear();
                    }
                    self.send_to_peer(wire, Chunk::End);
                    self.push(self.now + LINGER, Ev::Lingered(wire));
                }
                Output::Resume(id) => {
                    if let Some(wire) = self.nodes[node].wires.get(&id).copied() {
                        self.read(node, wire, &mut outputs);
                    }
                }
                Output::Discovery(call) => {
                    let life = self.nodes[node].life;
                    match call.request {
                        DiscoveryRequest::StopWatch | DiscoveryRequest::CancelAll => {
                            self.nodes[node].watch = None;
                        }
                        ask => {
                            self.nodes[node].watch =
                                self.nodes[node].watch.filter(|_| ask == DiscoveryRequest::FetchList);
                            let at = self.now + CALL;
                            self.push(at, Ev::Called(node, life, call.epoch, ask));
                        }
                    }
                }
                Output::Replaced => {}
                Output::Draining => {
                    self.nodes[node].listens = false;
                    let backlog = std::mem::take(&mut self.nodes[node].backlog);
                    backlog.into_iter().for_each(|wire| self.close_node_end(wire));
                }
                Output::Done => self.nodes[node].ended = true,
                Output::Log(LogLine::Error(what)) => self.breach("fault", what),
                Output::Log(LogLine::Info(_)) | Output::CallStore(..) | Output::CachesChanged(_) => {}
            }
        }
        if std::mem::take(&mut self.nodes[node].ended) {
            self.stop(node, "exited");
            return self.push(self.now + AWAY, Ev::Start(node));
        }
        self.look(node);
        let Some(core) = &self.nodes[node].core else { return };
        if let Some(next) = core.next() {
            let at = self.moment(node, next).max(self.now);
            if at < self.nodes[node].wake || self.nodes[node].wake <= self.now {
                // A process wakes late now and then, and hears of other things before.
                let at = if self.chance(0.2) { at + self.rng.rand_range(0..3_000) } else { at };
                self.nodes[node].wake = at;
                let life = self.nodes[node].life;
                self.push(at, Ev::Wake(node, life));
            }
        }
    }

    /// What must hold after each step.
    fn look(&mut self, node: usize) {
        let it = &self.nodes[node];
        let Some(core) = &it.core else { return };
        let (count, wires) = (core.count(), it.wires.len());
        let sockets = self.plan.max_sockets;
        if count.clients + count.server_connections != wires {
            let what = format!(
                "node {node} knows {} of {wires} connections",
                count.clients + count.server_connections
            );
            return self.breach("connections", what);
        }
        if wires + 16 > sockets {
            return self.breach("descriptors", format!("node {node} holds {wires} connections of {sockets}"));
        }
        if count.unanswered != count.claimed_ids || count.unanswered > count.request_entries {
            return self.breach("owners", format!("node {node}: {count:?}"));
        }
        let live = count.request_entries + count.attempts + count.clients + count.server_connections;
        if count.timers > 600 + 8 * live {
            return self.breach("timers", format!("node {node}: {} for {live} that are open", count.timers));
        }
        if count.memory > self.plan.memory_mb << 20 {
            self.breach("memory", format!("node {node}: {} bytes", count.memory));
        }
    }

    fn wake(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life || self.nodes[node].core.is_none() {
            return;
        }
        if self.nodes[node].paused {
            return self.nodes[node].missed.push(Ev::Wake(node, life));
        }
        if self.nodes[node].wake <= self.now {
            self.feed(node, Input::Wake);
        }
    }

    /// Tells a wire's node of something, unless it stands still.
    fn of_wire(&mut self, wire: WireId, ev: impl Fn(WireId) -> Ev, input: impl Fn(ConnId) -> Input<'static>) {
        let Some(it) = self.wires.get(&wire).filter(|it| it.node_open) else { return };
        let (node, id) = (it.node, it.id);
        if self.nodes[node].paused {
            return self.nodes[node].missed.push(ev(wire));
        }
        self.feed(node, input(id));
    }

    /// The machine takes the rest of what a node writes.
    fn flushed(&mut self, wire: WireId) {
        let Some(it) = self.wires.get_mut(&wire).filter(|it| it.node_open) else { return };
        if !self.nodes[it.node].paused
            && let Some(rest) = it.rest.take()
        {
            self.send_to_peer(wire, Chunk::Bytes(rest));
        }
        self.of_wire(wire, Ev::Flushed, Input::Flushed);
    }

    // Streams, at the node's end.

    fn send_to_node(&mut self, wire: WireId, chunk: Chunk) {
        let delay = self.delay();
        let Some(it) = self.wires.get_mut(&wire) else { return };
        it.to_node = (self.now + delay).max(it.to_node);
        let at = it.to_node;
        self.push(at, Ev::ToNode(wire, chunk));
    }

    fn send_to_peer(&mut self, wire: WireId, chunk: Chunk) {
        let delay = self.delay();
        let Some(it) = self.wires.get_mut(&wire) else { return };
        it.to_peer = (self.now + delay).max(it.to_peer);
        let at = it.to_peer;
        self.push(at, Ev::ToPeer(wire, chunk));
    }

    /// Bytes on their way, whole or in pieces.
    fn pieces(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        if bytes.len() < 2 || !self.chance(self.plan.fragmented_share) {
            return vec![bytes.to_vec()];
        }
        let mut rest = bytes;
        let mut pieces = Vec::new();
        while rest.len() > 1 && pieces.len() < 6 {
            let cut = 1 + self.rng.rand_range(0..rest.len() as u64) as usize;
            let (piece, more) = rest.split_at(cut);
            pieces.push(piece.to_vec());
            rest = more;
        }
        if !rest.is_empty() {
            pieces.push(rest.to_vec());
        }
        pieces
    }

    fn node_writes(&mut self, node: usize, id: ConnId, bytes: &[u8], outputs: &mut Outputs) {
        let Some(wire) = self.nodes[node].wires.get(&id).copied() else { return };
        if self.wires.get(&wire).is_none_or(|it| !it.peer_open) {
            // The other end is gone already: the machine says so.
            self.nodes[node].wires.remove(&id);
            self.close_node_end(wire);
            return self.also(node, Input::Closed(id), outputs);
        }
        let mut pieces = self.pieces(bytes);
        let rest = if self.chance(self.plan.late_flush_share) { pieces.pop() } else { None };
        for piece in pieces {
            self.send_to_peer(wire, Chunk::Bytes(piece));
        }
        if rest.is_some() {
            if let Some(it) = self.wires.get_mut(&wire) {
                it.rest = rest;
            }
            let at = self.now + self.rng.rand_range(1..20_000);
            return self.push(at, Ev::Flushed(wire));
        }
        self.also(node, Input::Flushed(id), outputs);
    }

    fn at_node(&mut self, wire: WireId, chunk: Chunk) {
        let Some(it) = self.wires.get_mut(&wire).filter(|it| it.node_open) else { return };
        match chunk {
            // Read on until the end.
            Chunk::End | Chunk::Reset if it.lingers => return self.lingered(wire),
            Chunk::Bytes(_) if it.lingers => return,
            Chunk::Bytes(bytes) => it.inbox.extend_from_slice(&bytes),
            Chunk::End | Chunk::Reset => it.ended = true,
        }
        let (node, id) = (it.node, it.id);
        // One that is not taken yet, or a process that stands still: the machine keeps it.
        if id == 0 || self.nodes[node].paused {
            return;
        }
        let mut outputs = Outputs::new();
        self.read(node, wire, &mut outputs);
        self.perform(node, outputs);
    }

    /// The node reads what has come, as much of it as it wants.
    fn read(&mut self, node: usize, wire: WireId, outputs: &mut Outputs) {
        loop {
            let Some(it) = self.wires.get_mut(&wire).filter(|it| it.node_open) else { return };
            let id = it.id;
            if it.inbox.is_empty() && !it.ended {
                return;
            }
            let Some(core) = &mut self.nodes[node].core else { return };
            let reads = core.reads(id);
            if reads == 0 {
                return;
            }
            if it.inbox.is_empty() {
                self.nodes[node].wires.remove(&id);
                self.close_node_end(wire);
                return self.also(node, Input::Closed(id), outputs);
            }
            let bytes: Vec<u8> = it.inbox.drain(..reads.min(it.inbox.len())).collect();
            self.also(node, Input::Bytes(id, &bytes), outputs);
            // What it says to that comes first.
            if !outputs.is_empty() {
                let now = std::mem::take(outputs);
                self.perform(node, now);
            }
        }
    }

    /// Whether a connection has brought nothing; the node is told of what it has, or of its end.
    fn drained(&mut self, node: usize, id: ConnId, outputs: &mut Outputs) -> bool {
        let Some(wire) = self.nodes[node].wires.get(&id).copied() else { return false };
        let Some(it) = self.wires.get_mut(&wire) else { return false };
        if !it.inbox.is_empty() {
            let bytes: Vec<u8> = it.inbox.drain(..it.inbox.len().min(4_096)).collect();
            self.also(node, Input::Bytes(id, &bytes), outputs);
            return false;
        }
        if it.ended {
            self.nodes[node].wires.remove(&id);
            self.close_node_end(wire);
            self.also(node, Input::Closed(id), outputs);
            return false;
        }
        true
    }

    /// The node's end is closed.
    fn close_node_end(&mut self, wire: WireId) {
        let Some(it) = self.wires.get_mut(&wire) else { return };
        if std::mem::replace(&mut it.node_open, false) && it.peer_open {
            self.send_to_peer(wire, Chunk::End);
        } else {
            self.wires.remove(&wire);
        }
    }

    fn lingered(&mut self, wire: WireId) {
        let Some(it) = self.wires.get(&wire).filter(|it| it.node_open) else { return };
        let (node, id) = (it.node, it.id);
        self.nodes[node].wires.remove(&id);
        self.close_node_end(wire);
        self.feed(node, Input::Closed(id));
    }

    fn open(&mut self, node: usize, id: ConnId, address: SocketAddr) {
        let server = self.servers.iter().position(|server| server.address == address).unwrap_or(0);
        let life = self.nodes[node].life;
        let wire = self.wire(node, life, id, Peer::Server(server));
        self.sums.connections_opened += 1;
        if let Some(places) = self.plan.origin_connections.filter(|_| self.servers[server].origin) {
            let held =
                |it: &&Wire| it.peer == Peer::Server(server) && it.placed && it.node_open && it.peer_open;
            // This one counts already.
            let placed = self.wires.values().filter(held).count() <= places;
            self.wires.entry(wire).and_modify(|it| it.placed = placed);
        }
        self.nodes[node].wires.insert(id, wire);
        let at = self.now + self.delay();
        if !self.servers[server].vanished {
            let up = self.servers[server].up;
            self.push(at, Ev::Connected(wire, up));
        }
    }

    fn wire(&mut self, node: usize, life: u64, id: ConnId, peer: Peer) -> WireId {
        let wire = self.next_wire;
        self.next_wire += 1;
        let it = Wire {
            node,
            life,
            id,
            peer,
            node_open: true,
            peer_open: true,
            placed: true,
            lingers: false,
            rest: None,
            to_node: 0,
            to_peer: 0,
            inbox: Vec::new(),
            ended: false,
            input: BytesMut::new(),
            first: 0,
            asked: VecDeque::new(),
            last: None,
            wants: None,
            crowd: false,
        };
        self.wires.insert(wire, it);
        wire
    }

    fn connected(&mut self, wire: WireId, up: bool) {
        let Some(it) = self.wires.get(&wire).filter(|it| it.node_open) else { return };
        let (node, id) = (it.node, it.id);
        if self.nodes[node].paused {
            return self.nodes[node].missed.push(Ev::Connected(wire, up));
        }
        if up {
            return self.feed(node, Input::Opened(id));
        }
        self.nodes[node].wires.remove(&id);
        self.wires.remove(&wire);
        self.feed(node, Input::Closed(id));
    }

    /// A client's connection reaches a node's machine.
    fn knock(&mut self, wire: WireId) {
        let Some(it) = self.wires.get(&wire).filter(|it| it.node_open) else { return };
        let (node, life) = (it.node, it.life);
        if self.nodes[node].life != life || !self.nodes[node].listens {
            return self.close_node_end(wire);
        }
        self.nodes[node].backlog.push_back(wire);
        if !self.nodes[node].paused {
            let mut outputs = Outputs::new();
            self.take_backlog(node, &mut outputs);
            self.perform(node, outputs);
        }
    }

    fn take_backlog(&mut self, node: usize, outputs: &mut Outputs) {
        while self.nodes[node].core.as_ref().is_some_and(Core::accepts) {
            let Some(wire) = self.nodes[node].backlog.pop_front() else { return };
            if !self.wires.contains_key(&wire) {
                continue;
            }
            let Some(core) = &mut self.nodes[node].core else { return };
            let id = core.next_connection_id();
            if let Some(it) = self.wires.get_mut(&wire) {
                it.id = id;
            }
            self.nodes[node].wires.insert(id, wire);
            self.also(node, Input::Accepted(id), outputs);
            self.read(node, wire, outputs);
            if let Some(wish) = self.wires.get_mut(&wire).and_then(|it| it.wants.take()) {
                self.ask(wish, wire);
            }
        }
    }

    // Streams, at the peer's end.

    fn at_peer(&mut self, wire: WireId, chunk: Chunk) {
        let now = self.now;
        let Some(it) = self.wires.get_mut(&wire).filter(|it| it.peer_open) else { return };
        let peer = it.peer;
        match chunk {
            Chunk::Bytes(bytes) => {
                if it.input.is_empty() {
                    it.first = now;
                }
                it.input.extend_from_slice(&bytes);
                match peer {
                    Peer::Client => self.client_reads(wire),
                    Peer::Server(server) => self.server_reads(wire, server),
                }
            }
            Chunk::End | Chunk::Reset => {
                let reset = matches!(chunk, Chunk::Reset);
                it.peer_open = false;
                let asked = std::mem::take(&mut it.asked);
                let (node, gone, kept, wants) = (it.node, !it.node_open, it.last.is_some(), it.wants.take());
                match gone {
                    true => drop(self.wires.remove(&wire)),
                    // The node reads on until its client closes too.
                    false => self.send_to_node(wire, Chunk::End),
                }
                match peer {
                    Peer::Client => {
                        // Not taken: nothing was asked.
                        if let Some(wish) = wants {
                            self.wishes[wish].wire = None;
                            self.push(self.now + BACKOFF, Ev::Try(wish));
                        }
                        self.nodes[node].idle.retain(|other| *other != wire);
                        let kept = (kept || self.nodes[node].ending) && !reset;
                        asked.into_iter().for_each(|wish| self.closed(wish, node, kept));
                    }
                    Peer::Server(_) => {}
                }
            }
        }
    }

    // Servers.

    fn tell_start(&mut self, at: usize) {
        let server = &self.servers[at];
        let cold = server.started.is_some();
        let line = HistoryRecord {
            zone: "a".into(),
            capacity_us_per_s: server.capacity(),
            cold_share: COLD.0,
            warm_us: if cold { COLD.1 } else { 0 },
            started_at: server.started.unwrap_or(0),
            ..self.who(&server.name, Event::Start)
        };
        self.line(line);
    }

    fn server_reads(&mut self, wire: WireId, at: usize) {
        loop {
            let server = &self.servers[at];
            if !server.up || server.vanished || server.silent {
                return;
            }
            let Some(it) = self.wires.get_mut(&wire) else { return };
            let (node, first, placed) = (it.node, it.first, it.placed);
            let asked = match servers::take(&mut it.input, server.origin) {
                Ok(Some(asked)) => asked,
                Ok(None) => return,
                Err(what) => return self.breach("request", format!("node {node} sent {what}")),
            };
            let now = self.now;
            if let Some(it) = self.wires.get_mut(&wire) {
                it.first = now;
            }
            // Counted from its first byte, as it is for drains.
            if let Some(left) = self.waited.remove(&asked.request).filter(|left| first > left + SENT_ON) {
                let late = first - left;
                self.breach(
                    "left-sent",
                    format!("{} was sent on {late} us after its client left", asked.request),
                );
            }
            self.begun.insert(asked.request.clone());
            let (server, now) = (&mut self.servers[at], self.now);
            let work = if placed { server.work(now, &asked) } else { server.turn_away(now) };
            self.sums.origin_requests += u64::from(server.origin);
            self.sums.origin_rejected += u64::from(!placed);
            let (name, life, origin) = (server.name.clone(), server.life, server.origin);
            if origin && asked.write && work.effect == Effect::Ran {
                // Copies that are made from now on are new.
                for cache in self.servers.iter_mut().filter(|server| !server.origin) {
                    cache.holds.remove(&asked.key);
                }
            }
            let line = HistoryRecord {
                request: asked.request.clone(),
                node: Self::name(node),
                class: asked.class.clone(),
                key: asked.key.clone(),
                idempotency_key: asked.token.clone(),
                digest: asked.digest.clone(),
                effect: Some(work.effect),
                first_byte: (first != now).then_some(TimeInterval { earliest: first, latest: first }),
                number: work.number,
                work_us: work.work,
                origin,
                ..self.who(&name, Event::Attempt)
            };
            self.line(line);
            let at = work.at;
            self.push(at, Ev::Done(wire, life, Box::new((asked, work))));
        }
    }

    fn done(&mut self, wire: WireId, life: u64, (asked, work): (Asked, Work)) {
        let Some(it) = self.wires.get(&wire) else { return };
        let Peer::Server(at) = it.peer else { return };
        let open = it.peer_open;
        let server = &mut self.servers[at];
        if server.life != life || !server.up || !open {
            return;
        }
        // What the origin holds when it answers.
        let version = match server.origin && !asked.write {
            true => server.holds.get(&asked.key).copied().unwrap_or(0),
            false => work.version,
        };
        let (name, origin) = (server.name.clone(), server.origin);
        let says = matches!(work.effect, Effect::Ran | Effect::Deduplicated);
        let value = says.then(|| format!("{}.{version}.{}.{name}.{}", asked.key, asked.request, work.number));
        let torn = server.tears();
        let (silent, garbles, noisy) = (server.silent || server.vanished, server.garbles, server.noisy);
        let base = HistoryRecord {
            request: asked.request.clone(),
            number: work.number,
            ..self.who(&name, Event::AttemptEnded)
        };
        if torn || silent || garbles {
            self.line(base);
        } else {
            let said = value.clone().unwrap_or_default();
            let version = if says { version } else { 0 };
            self.line(HistoryRecord { event: Event::Reply, value: said, version, ..base });
        }
        if silent {
            return;
        }
        if origin && says && !asked.write && !torn && !garbles {
            let caches = self.servers.iter_mut().filter(|server| !server.origin && server.up);
            caches.for_each(|cache| cache.fill(&asked.request, &asked.key, version));
        }
        let whole = value.map(|value| padded(&value, self.plan.value_bytes));
        let mut bytes = servers::answer(&asked, work.effect, whole.as_deref());
        if garbles {
            let at = self.rng.rand_range(0..bytes.len() as u64) as usize;
            bytes[at] = bytes[at].wrapping_add(1 + self.rng.rand_range(0..200) as u8);
            bytes.insert(0, b'?');
        }
        if torn {
            let cut = if origin { 0 } else { bytes.len() / 2 };
            bytes.truncate(cut);
            if !bytes.is_empty() {
                self.server_says(wire, bytes);
            }
            if let Some(it) = self.wires.get_mut(&wire) {
                it.peer_open = false;
            }
            return self.send_to_node(wire, Chunk::End);
        }
        if noisy {
            let at = self.now + self.rng.rand_range(0..3_000);
            self.push(at, Ev::Noise(wire, bytes.clone()));
        }
        self.server_says(wire, bytes);
        if let Some(it) = self.wires.get_mut(&wire).filter(|it| !it.placed) {
            it.peer_open = false;
            self.send_to_node(wire, Chunk::End);
        }
    }

    fn server_says(&mut self, wire: WireId, bytes: Vec<u8>) {
        if self.wires.get(&wire).is_none_or(|it| !it.peer_open) {
            return;
        }
        for piece in self.pieces(&bytes) {
            self.send_to_node(wire, Chunk::Bytes(piece));
        }
    }

    /// All connections to a server are reset.
    fn reset(&mut self, at: usize) {
        let mut wires: Vec<_> = self
            .wires
            .iter()
            .filter(|(_, it)| it.peer == Peer::Server(at) && it.peer_open)
            .map(|(id, _)| *id)
            .collect();
        wires.sort_unstable();
        for wire in wires {
            if let Some(it) = self.wires.get_mut(&wire) {
                it.peer_open = false;
            }
            self.send_to_node(wire, Chunk::End);
        }
    }

    // Clients.

    fn arrive(&mut self) {
        if self.now >= self.plan.load_duration_us {
            return;
        }
        let wish = Wish::draw(self.wishes.len() as u64, self.now, self.plan, &mut self.rng);
        self.wishes.push(wish);
        self.try_wish(self.wishes.len() - 1);
        let mean = 1e6 / self.plan.requests_per_s;
        let wait = (-(1.0 - self.rng.rand_float()).ln() * mean) as u64 + 1;
        self.push(self.now + wait, Ev::Arrive);
    }

    fn try_wish(&mut self, at: usize) {
        let wish = &self.wishes[at];
        // One try at a time.
        if wish.over || wish.wire.is_some() {
            return;
        }
        let left = wish.ends.saturating_sub(self.now);
        if left < 20_000 || wish.again && wish.until < self.now + 5_000 {
            return self.no_more(at);
        }
        // A front layer: to its node, or to another where that takes no connection.
        let nodes = self.nodes.len();
        let node = (0..nodes).map(|more| (wish.node + more) % nodes).find(|node| {
            let it = &self.nodes[*node];
            it.listens && it.core.is_some() && !it.paused
        });
        let Some(node) = node else { return self.push(self.now + BACKOFF, Ev::Try(at)) };
        let again = wish.again;
        let kept = if again { None } else { self.kept(node) };
        let Some(wire) = kept else {
            // A request is asked once its connection is taken: what waits with the machine, nobody has taken.
            let life = self.nodes[node].life;
            let wire = self.wire(node, life, 0, Peer::Client);
            if let Some(it) = self.wires.get_mut(&wire) {
                it.wants = Some(at);
            }
            let knocks = self.now + self.delay();
            self.push(knocks, Ev::Knock(wire));
            let id = self.wishes[at].id();
            (self.wishes[at].wire, self.wishes[at].node) = (Some(wire), node);
            return self.push(self.now + UNTAKEN, Ev::Expire(at, id));
        };
        self.ask(at, wire);
    }

    /// A wish is given up. One that a close had crossed is left where it can't be asked once more in time.
    fn no_more(&mut self, at: usize) {
        self.wishes[at].over = true;
        if self.wishes[at].again {
            let node = Self::name(self.wishes[at].node);
            let line = HistoryRecord {
                request: self.wishes[at].id(),
                node,
                ..self.who("client", Event::ClientLeft)
            };
            self.line(line);
        }
    }

    /// Asks on a connection that the node has taken.
    fn ask(&mut self, at: usize, wire: WireId) {
        let Some(node) = self.wires.get(&wire).filter(|it| it.peer_open).map(|it| it.node) else { return };
        let (again, left) = (self.wishes[at].again, self.wishes[at].ends.saturating_sub(self.now));
        if left < 20_000 || again && self.wishes[at].until < self.now + 5_000 {
            return self.no_more(at);
        }
        let (value, digest) = (self.value.clone(), self.digest_of_value.clone());
        let now = self.now;
        let wish = &mut self.wishes[at];
        let (name, _, writes, ..) = CLASSES[wish.class];
        // A try is the same as before where a close crossed it: its id, and until when.
        let left = if again { wish.until.saturating_sub(now) } else { left };
        if !again {
            wish.until = now + left / 1_000 * 1_000;
        }
        (wish.wire, wish.node) = (Some(wire), node);
        let (id, token, key, until, retry) =
            (wish.id(), wish.token(), wish.key.clone(), wish.until, wish.tries > 0);
        let mut facts = format!("c={name},t=all,d={}", left / 1_000);
        if !token.is_empty() {
            facts.push_str(&format!(",k={token}"));
        }
        if retry {
            facts.push_str(",r=1");
        }
        let bytes = match writes {
            true => resp::command(&[
                b"OBJ.SET",
                key.as_bytes(),
                id.as_bytes(),
                facts.as_bytes(),
                value.as_bytes(),
            ]),
            false => resp::command(&[b"OBJ.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()]),
        };
        let kept = self.wires.get(&wire).is_some_and(|it| it.last.is_some()) || self.nodes[node].ending;
        // Answers come in order: who pipelines waits at least for those before.
        let before =
            self.wires.get(&wire).into_iter().flat_map(|it| &it.asked).map(|at| self.wishes[*at].until);
        let until = before.max().map_or(until, |before| before.max(until));
        self.wishes[at].until = until;
        let patience = until.saturating_sub(now) + PATIENCE;
        let line = HistoryRecord {
            request: id.clone(),
            node: Self::name(node),
            class: name.into(),
            tenant: "all".into(),
            key,
            idempotency_key: token,
            digest: if writes { digest } else { String::new() },
            deadline: until,
            resent: again,
            reused_connection: kept,
            retry,
            ..self.who("client", Event::Request)
        };
        self.line(line);
        if let Some(it) = self.wires.get_mut(&wire) {
            it.asked.push_back(at);
        }
        for piece in self.pieces(&bytes) {
            self.send_to_node(wire, Chunk::Bytes(piece));
        }
        let id = format!("{id}!");
        let patience = if self.impatient > 0 && self.rng.rand_float() < 0.5 { 30_000 } else { patience };
        self.push(now + patience, Ev::Expire(at, id));
    }

    /// A connection to a node that may be used: one that is idle, or one that is not, where requests are pipelined.
    fn kept(&mut self, node: usize) -> Option<WireId> {
        if self.chance(self.plan.pipelined_share) {
            let mut busy: Vec<_> = self
                .wires
                .iter()
                .filter(|(_, it)| {
                    it.node == node
                        && it.life == self.nodes[node].life
                        && it.peer == Peer::Client
                        && it.peer_open
                        && it.last.is_some()
                        && (1..12).contains(&it.asked.len())
                })
                .map(|(id, _)| *id)
                .collect();
            busy.sort_unstable();
            if !busy.is_empty() {
                return Some(busy[self.rng.rand_range(0..busy.len() as u64) as usize]);
            }
        }
        while let Some(wire) = self.nodes[node].idle.pop() {
            if self.wires.get(&wire).is_some_and(|it| it.peer_open && it.asked.is_empty()) {
                return Some(wire);
            }
        }
        None
    }

    fn client_reads(&mut self, wire: WireId) {
        loop {
            let Some(it) = self.wires.get_mut(&wire) else { return };
            let node = it.node;
            if it.input.is_empty() {
                break;
            }
            let said = match resp::take_value(&mut it.input, 1 << 24) {
                Ok(Some(said)) => said,
                Ok(None) => return,
                Err(e) => return self.breach("answer", format!("node {node} sent {e:?}")),
            };
            let Some(at) = it.asked.pop_front() else {
                let request = it.last.map(|at| self.wishes[at].id()).unwrap_or_default();
                // The node's word that nothing came in time answers nothing, and takes its connection along.
                if matches!(&said, Value::Error(line) if line.starts_with(b"ERR no whole command")) {
                    return;
                }
                let line = HistoryRecord {
                    node: Self::name(node),
                    request,
                    ..self.who("client", Event::UnsolicitedResponse)
                };
                return self.line(line);
            };
            it.last = Some(at);
            let (outcome, value, advice) = meaning(&said);
            let id = self.wishes[at].id();
            let line = HistoryRecord {
                request: id,
                node: Self::name(node),
                outcome: Some(outcome),
                value,
                retry_after_ms: advice,
                ..self.who("client", Event::Answer)
            };
            self.line(line);
            self.answered(at, outcome, advice);
        }
        if self.wires.get(&wire).is_some_and(|it| it.asked.is_empty() && it.peer_open) {
            let node = self.wires[&wire].node;
            if !self.nodes[node].idle.contains(&wire) {
                self.nodes[node].idle.push(wire);
            }
        }
    }

    fn answered(&mut self, at: usize, outcome: Outcome, advice: u64) {
        let now = self.now;
        let wish = &mut self.wishes[at];
        wish.wire = None;
        let may = CLASSES[wish.class].4;
        let wait = match outcome {
            Outcome::Served => {
                (wish.over, wish.served) = (true, true);
                return;
            }
            Outcome::Rejected if advice > 0 => advice * 1_000,
            Outcome::Rejected => BACKOFF,
            Outcome::Failed if may => BACKOFF,
            Outcome::Failed => {
                wish.over = true;
                return;
            }
        };
        wish.tries += 1;
        wish.again = false;
        if wish.tries >= TRIES {
            wish.over = true;
            return;
        }
        self.push(now + wait, Ev::Try(at));
    }

    /// A node ended a client's connection without an answer to its request.
    fn closed(&mut self, at: usize, node: usize, kept: bool) {
        let id = self.wishes[at].id();
        let line = HistoryRecord {
            request: id,
            node: Self::name(node),
            reused_connection: kept,
            ..self.who("client", Event::Closed)
        };
        self.line(line);
        let wish = &mut self.wishes[at];
        wish.wire = None;
        if wish.over {
            return;
        }
        if kept && !wish.again && wish.until > self.now + 5_000 {
            // It crossed this request: once more, on a new connection.
            wish.again = true;
            return self.try_wish(at);
        }
        wish.again = false;
        wish.tries += 1;
        if wish.tries < TRIES && CLASSES[wish.class].4 {
            self.push(self.now + BACKOFF, Ev::Try(at));
        } else {
            wish.over = true;
        }
    }

    /// A client's patience is over: it closes its connection, and all that was asked on it is left.
    fn expire(&mut self, at: usize, id: &str) {
        let wish = &self.wishes[at];
        let (asked, id) = (id.ends_with('!'), id.trim_end_matches('!'));
        let Some(wire) = wish.wire.filter(|_| wish.id() == id && !wish.over) else { return };
        if asked {
            return self.leave(wire);
        }
        // Nobody has taken its connection: another try, elsewhere.
        let untaken = self.wires.get(&wire).is_none_or(|it| it.wants.is_some() || !it.peer_open);
        if untaken {
            if let Some(it) = self.wires.get_mut(&wire) {
                (it.wants, it.peer_open) = (None, false);
            }
            self.send_to_node(wire, Chunk::End);
            self.wishes[at].wire = None;
            self.wishes[at].node += 1;
            self.wishes[at].node %= self.nodes.len();
            self.try_wish(at);
        }
    }

    /// A client closes its connection; what it had asked is over.
    fn leave(&mut self, wire: WireId) {
        let Some(it) = self.wires.get_mut(&wire) else { return };
        it.peer_open = false;
        let (asked, node, wants) = (std::mem::take(&mut it.asked), it.node, it.wants.take());
        self.nodes[node].idle.retain(|other| *other != wire);
        if let Some(wish) = wants {
            // Nothing was asked on it.
            self.wishes[wish].wire = None;
            self.push(self.now + BACKOFF, Ev::Try(wish));
        }
        for left in asked {
            // Also one who leaves while an answer in time may still be on its way.
            let early = self.now < self.wishes[left].until + 60_000;
            // A node that stands still can't see it.
            let id = self.wishes[left].id();
            if !self.nodes[node].paused && !self.begun.contains(&id) {
                self.waited.insert(id, self.now);
            }
            self.wishes[left].over = true;
            self.wishes[left].wire = None;
            if early {
                let request = self.wishes[left].id();
                let line = HistoryRecord {
                    request,
                    node: Self::name(node),
                    ..self.who("client", Event::ClientLeft)
                };
                self.line(line);
            }
        }
        self.send_to_node(wire, Chunk::End);
    }

    /// Clients that say nothing.
    fn come(&mut self, at: usize) {
        let FaultKind::Crowd { per_s } = self.plan.faults[at].kind else { return };
        if self.crowd == 0 {
            return;
        }
        let node = self.rng.rand_range(0..self.nodes.len() as u64) as usize;
        if self.nodes[node].listens {
            let life = self.nodes[node].life;
            let wire = self.wire(node, life, 0, Peer::Client);
            let at = self.now + self.delay();
            if let Some(it) = self.wires.get_mut(&wire) {
                (it.to_node, it.crowd) = (at, true);
            }
            self.push(at, Ev::Knock(wire));
        }
        self.push(self.now + 1_000_000 / per_s.max(1), Ev::Crowd(at));
    }

    // Discovery.

    fn knows(&mut self, name: String, status: &'static str, since: Option<u64>) {
        self.discovery.change(&name, status, since);
        let entry = self.discovery.entries.iter().find(|entry| entry.name == name);
        let since = entry.map_or(0, |entry| entry.since);
        let line = HistoryRecord {
            server: name,
            status: status.into(),
            started_at: since,
            ..self.who("discovery", Event::Change)
        };
        self.line(line);
        for node in 0..self.nodes.len() {
            self.tell_watch(node);
        }
    }

    /// Tells a node that watches what it was not told.
    fn tell_watch(&mut self, node: usize) {
        let Some((era, after)) = self.nodes[node].watch else { return };
        if self.discovery.down || after >= self.discovery.index {
            return;
        }
        let (listing, told) = self.discovery.listing(after, EPOCH);
        self.nodes[node].watch = Some((era, listing.index));
        let at = (self.now + self.delay()).max(self.nodes[node].told_at);
        self.nodes[node].told_at = at;
        let life = self.nodes[node].life;
        self.note_told(node, &told);
        self.push(at, Ev::Told(node, life, era, Some(listing)));
        if self.discovery.old_news {
            // What all of it was before comes behind what is new.
            let (mut old, _) = self.discovery.listing(0, EPOCH);
            (old.index, old.snapshot) = (after.saturating_sub(1), false);
            old.endpoints.iter_mut().for_each(|endpoint| endpoint.status = "active".into());
            self.push(at + 50_000, Ev::Told(node, life, era, Some(old)));
        }
    }

    fn note_told(&mut self, node: usize, told: &[Entry]) {
        for entry in told {
            let line = HistoryRecord {
                node: Self::name(node),
                server: entry.name.clone(),
                status: entry.status.into(),
                started_at: entry.since,
                ..self.who("discovery", Event::Notified)
            };
            self.line(line);
        }
    }

    fn called(&mut self, node: usize, life: u64, era: u64, ask: DiscoveryRequest, taken: bool) {
        if self.nodes[node].life != life || self.nodes[node].core.is_none() {
            return;
        }
        self.sums.discovery_calls += u64::from(!taken);
        // A fleet that was started before its clients came is left out of discovery's account.
        let starts_the_run = !taken && !std::mem::replace(&mut self.nodes[node].has_called, true);
        if self.discovery.down {
            let at = self.now + self.delay();
            return self.push(at, Ev::Told(node, life, era, None));
        }
        if let Some(takes) = self.plan.discovery_call_us.filter(|_| !taken && !starts_the_run) {
            let (at, answers) = self.discovery.take(self.now, takes);
            return match answers {
                true => self.push(at, Ev::Worked(node, life, era, ask)),
                false => self.push(at, Ev::Told(node, life, era, None)),
            };
        }
        self.sums.discovery_answers += 1;
        if let DiscoveryRequest::Watch { after } = ask {
            // A whole list where it has none.
            self.nodes[node].watch = Some((era, after.unwrap_or(0)));
            self.tell_watch(node);
        } else {
            let (listing, told) = self.discovery.listing(0, EPOCH);
            self.note_told(node, &told);
            let at = self.now + self.delay();
            self.push(at, Ev::Told(node, life, era, Some(listing)));
        }
    }

    fn told(&mut self, node: usize, life: u64, era: u64, listing: Option<EndpointList>) {
        if self.nodes[node].life != life || self.nodes[node].core.is_none() {
            return;
        }
        if self.nodes[node].paused {
            return self.nodes[node].missed.push(Ev::Told(node, life, era, listing));
        }
        self.feed(
            node,
            match listing {
                Some(listing) => Input::List(era, listing),
                None => Input::ListFailed(era),
            },
        );
    }

    // Faults.

    fn fault(&mut self, at: usize, begins: bool) {
        let fault = self.plan.faults[at];
        let line = HistoryRecord {
            state: format!("{:?} {}", fault.kind, if begins { "begins" } else { "ends" }),
            ..self.who("lab", Event::Fault)
        };
        self.line(line);
        match fault.kind {
            FaultKind::KillCache { cache } | FaultKind::ReplaceCache { cache } => {
                let name = self.servers[cache].name.clone();
                if begins && self.servers[cache].up {
                    let line = self.who(&name, Event::Down);
                    self.line(line);
                    self.servers[cache].up = false;
                    self.reset(cache);
                    self.push(self.now + LATE, Ev::Knows(name, "left", None));
                } else if !begins && !self.servers[cache].up {
                    self.servers[cache].restart(self.now);
                    self.tell_start(cache);
                    self.push(self.now + LATE, Ev::Knows(name, "active", Some(self.now)));
                }
            }
            FaultKind::SilentCache { cache } => {
                self.servers[cache].silent = begins;
                if !begins {
                    // What it was sent meanwhile is never read.
                    self.reset(cache);
                }
            }
            FaultKind::VanishCache { cache } => {
                self.servers[cache].vanished = begins;
                if !begins {
                    self.reset(cache);
                }
            }
            FaultKind::DrainCache { cache } => {
                let name = self.servers[cache].name.clone();
                let status = if begins { "leaving" } else { "active" };
                self.push(self.now + LATE, Ev::Knows(name, status, None));
            }
            FaultKind::TearCache { cache, every } => self.servers[cache].tear = begins.then_some(every),
            FaultKind::NoisyCache { cache } => self.servers[cache].noisy = begins,
            FaultKind::GarbleCache { cache } => self.servers[cache].garbles = begins,
            FaultKind::KillNode { node } => match (begins, self.nodes[node].core.is_some()) {
                (true, true) => self.stop(node, "killed"),
                (false, false) => self.start(node),
                _ => {}
            },
            FaultKind::TermNode { node } => {
                if begins && self.nodes[node].core.is_some() && !self.nodes[node].paused {
                    self.state(node, "term");
                    self.nodes[node].ending = true;
                    self.feed(node, Input::Terminate);
                }
            }
            FaultKind::PauseNode { node } => self.pause(node, begins),
            FaultKind::StallOrigin => {
                if begins && let Some(origin) = self.servers.last_mut() {
                    origin.stall(self.now + fault.duration_us);
                }
            }
            FaultKind::TearOrigin { every } => {
                if let Some(origin) = self.servers.last_mut() {
                    origin.tear = begins.then_some(every);
                }
            }
            FaultKind::NoDiscovery => {
                self.dark = self.dark.saturating_add_signed(if begins { 1 } else { -1 });
                self.discovery.down = self.dark > 0;
                for node in (0..self.nodes.len()).filter(|_| begins) {
                    if let Some((era, _)) = self.nodes[node].watch.take() {
                        let (at, life) = (self.now + self.delay(), self.nodes[node].life);
                        self.push(at, Ev::Told(node, life, era, None));
                    }
                }
            }
            FaultKind::OldNews => self.discovery.old_news = begins,
            FaultKind::Impatient => {
                self.impatient = self.impatient.saturating_add_signed(if begins { 1 } else { -1 });
            }
            FaultKind::Crowd { .. } => {
                self.crowd = self.crowd.saturating_add_signed(if begins { 1 } else { -1 });
                if begins {
                    return self.come(at);
                }
                // They leave: one that stayed would be a siege, which is not what is looked for here.
                let silent = |it: &Wire| it.peer == Peer::Client && it.peer_open && it.crowd;
                let mut wires: Vec<_> =
                    self.wires.iter().filter(|(_, it)| silent(it)).map(|(id, _)| *id).collect();
                wires.sort_unstable();
                wires.into_iter().for_each(|wire| self.leave(wire));
            }
        }
    }

    fn pause(&mut self, node: usize, begins: bool) {
        // What left just before is read after it.
        self.waited.clear();
        if self.nodes[node].core.is_none() {
            return;
        }
        self.nodes[node].paused = begins;
        if begins {
            // What its clients wait for meanwhile is not the node's to answer: they leave.
            let mine = |it: &Wire| it.node == node && it.peer == Peer::Client && it.peer_open;
            let mut wires: Vec<_> = self.wires.iter().filter(|(_, it)| mine(it)).map(|(id, _)| *id).collect();
            wires.sort_unstable();
            wires.into_iter().for_each(|wire| self.leave(wire));
            return;
        }
        // All that is due is due at once, and what has come is read behind it or before it, as it was known.
        for ev in std::mem::take(&mut self.nodes[node].missed) {
            self.happen(ev);
        }
        self.feed(node, Input::Wake);
        let mut wires: Vec<_> = self.nodes[node].wires.values().copied().collect();
        wires.sort_unstable();
        for wire in wires {
            let mut outputs = Outputs::new();
            self.read(node, wire, &mut outputs);
            self.perform(node, outputs);
        }
        let mut outputs = Outputs::new();
        self.take_backlog(node, &mut outputs);
        self.perform(node, outputs);
    }
}

/// What an answer says, in the auditor's words.
fn meaning(said: &Value) -> (Outcome, String, u64) {
    match said {
        Value::Bulk(Some(value)) => {
            let text = String::from_utf8_lossy(value);
            (Outcome::Served, text.split(' ').next().unwrap_or_default().to_owned(), 0)
        }
        Value::Error(line) if line.starts_with(b"BUSY") => {
            let text = String::from_utf8_lossy(line).into_owned();
            (
                Outcome::Rejected,
                String::new(),
                text.split(' ').nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(0),
            )
        }
        _ => (Outcome::Failed, String::new(), 0),
    }
}
