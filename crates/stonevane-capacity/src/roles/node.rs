//! A node's core, driven in process: clients that ask and servers that answer, without sockets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand64;
use stonevane_codec::resp;
use stonevane_config::operator;
use stonevane_core::{ConnId, Core, CoreConfig, DiscoveryRequest, EndpointList, Input, Output, Outputs};
use stonevane_policy::settings::Deployment;
use stonevane_policy::{Idempotency, Micros, RequestClass, Settings, Tenant};

use crate::cpu::CpuMeter;

/// Unix time at the start, in microseconds.
pub const START: Micros = 1_790_000_100_000_000;
/// A second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// How long a connection takes to open, and a server to answer.
const OPENS_AFTER: Micros = 300;
const ANSWERS_AFTER: Micros = 2_000;
/// The platform's rule: servers close connections that were idle for so long.
pub const IDLE_CLOSE: Micros = 15_000_000;
/// Connections rest for so long after an answer: the operator file's default.
const REST: Duration = Duration::from_millis(15);
/// The most that a server's connection is fed at once.
const PIECE: usize = 64 * 1024;
/// A quota that never turns anybody away.
const QUOTA: f64 = 1e9;

/// A deployment at the target's size, in the platform's defaults.
pub fn deployment(nodes: u32) -> Deployment {
    let class = RequestClass {
        latency_objective: SECOND,
        deadline: 2 * SECOND,
        idempotency: Idempotency::Idempotent,
        ..RequestClass::default()
    };
    let settings = Settings {
        nodes,
        classes: vec![class],
        tenants: vec![Tenant { quota_per_s: QUOTA }],
        poll_discovery: true,
        startup_attempts_per_server: 0.0,
        ..Settings::default()
    };
    Deployment {
        settings,
        classes: vec!["read".into()],
        tenants: vec!["all".into()],
        zones: super::listing::zones(),
        machine_types: vec!["cache".into()],
        connect_timeout: 250_000,
        idle_close: IDLE_CLOSE,
        max_open: 20_000,
        load_metric_names: Vec::new(),
    }
}

/// What a core is told at its start.
pub fn setup(deployment: Deployment, known: EndpointList, sockets: usize, seed: u64) -> CoreConfig {
    CoreConfig {
        deployment,
        seed,
        max_sockets: sockets,
        memory_mb: 192,
        cached_list: known,
        discovery: SocketAddr::from(([127, 0, 0, 1], 3)),
        clients: operator::Clients::default(),
        servers: operator::Servers { rest: REST },
        has_store: false,
        notifies_caches: false,
        other_sockets: 0,
        can_be_replaced: false,
        excluded: Vec::new(),
        regions: None,
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Opened(ConnId),
    Answered(ConnId),
}

/// Counts of what a node did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that clients sent.
    pub asked: u64,
    /// Bytes written to clients.
    pub answered_bytes: u64,
    /// Connections to servers that were opened.
    pub opened: u64,
    /// Requests written to servers.
    pub attempts: u64,
    /// Calls to discovery: watches and whole lists.
    pub discovery_calls: u64,
}

/// A core, its clients and its servers.
pub struct DrivenNode {
    /// The core.
    pub core: Core,
    /// The time.
    pub now: Micros,
    /// What it did.
    pub tally: Tally,
    /// Processor time of the core.
    pub cpu: CpuMeter,
    rng: Rand64,
    clients: Vec<ConnId>,
    queue: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    order: u64,
    answer: Vec<u8>,
    /// Answers that servers have written, as far as they are not read yet.
    unread: Vec<(ConnId, usize)>,
}

impl DrivenNode {
    /// A node with clients that are connected, before servers that answer with so many bytes.
    pub fn new(setup: CoreConfig, clients: usize, answer: usize, seed: u64) -> DrivenNode {
        let mut node = DrivenNode {
            core: Core::new(START, setup),
            now: START,
            tally: Tally::default(),
            cpu: CpuMeter::default(),
            rng: Rand64::new(seed.into()),
            clients: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            answer: hit(answer),
            unread: Vec::new(),
        };
        for _ in 0..clients {
            let client = node.core.next_connection_id();
            node.clients.push(client);
            node.feed(Input::Accepted(client));
        }
        node
    }

    fn push(&mut self, after: Micros, step: Step) {
        self.order += 1;
        self.queue.push(Reverse((self.now + after, self.order, step)));
    }

    /// Gives the core an input, and does what it says.
    pub fn feed(&mut self, input: Input<'_>) {
        let mut outputs = Outputs::new();
        let (core, now) = (&mut self.core, self.now);
        self.cpu.run(|| core.handle(now, input, &mut outputs));
        let mut flushed = VecDeque::new();
        self.carry_out(outputs, &mut flushed);
        while let Some(id) = flushed.pop_front() {
            let mut outputs = Outputs::new();
            let core = &mut self.core;
            self.cpu.run(|| core.handle(now, Input::Flushed(id), &mut outputs));
            self.carry_out(outputs, &mut flushed);
        }
    }

    fn carry_out(&mut self, outputs: Outputs, flushed: &mut VecDeque<ConnId>) {
        for output in outputs {
            match output {
                Output::Open(id, _) => {
                    self.tally.opened += 1;
                    self.push(OPENS_AFTER, Step::Opened(id));
                }
                Output::WriteRequest { id, .. } => {
                    self.tally.attempts += 1;
                    flushed.push_back(id);
                    self.push(ANSWERS_AFTER, Step::Answered(id));
                }
                Output::Write(id, bytes) | Output::WriteAndClose(id, bytes) => {
                    if self.clients.contains(&id) {
                        self.tally.answered_bytes += bytes.len() as u64;
                    }
                    flushed.push_back(id);
                }
                Output::Close(id) => self.unread.retain(|(conn, _)| *conn != id),
                Output::Discovery(call) => {
                    let asks =
                        matches!(call.request, DiscoveryRequest::Watch { .. } | DiscoveryRequest::FetchList);
                    self.tally.discovery_calls += u64::from(asks);
                }
                _ => {}
            }
        }
    }

    /// A client asks for a key that is drawn from so many.
    pub fn ask(&mut self, keys: u64) {
        self.tally.asked += 1;
        let client = self.clients[self.tally.asked as usize % self.clients.len()];
        let key = format!("{:016x}", 1 + self.rng.rand_range(0..keys));
        let id = format!("{:x}", self.tally.asked);
        let words: [&[u8]; 4] = [b"OBJ.GET", key.as_bytes(), id.as_bytes(), b"c=read,t=all,d=1900"];
        self.feed(Input::Bytes(client, &resp::command(&words)));
    }

    /// What has come on a connection is read as far as the core reads.
    fn read(&mut self, id: ConnId, mut from: usize) {
        let answer = std::mem::take(&mut self.answer);
        while from < answer.len() {
            let room = self.core.read_budget(id).min(PIECE).min(answer.len() - from);
            if room == 0 {
                self.unread.push((id, from));
                break;
            }
            self.feed(Input::Bytes(id, &answer[from..from + room]));
            from += room;
        }
        self.answer = answer;
    }

    fn read_on(&mut self) {
        for (id, from) in std::mem::take(&mut self.unread) {
            self.read(id, from);
        }
    }

    /// Does all that is due until a time.
    pub fn run_until(&mut self, end: Micros) {
        loop {
            let step = self.queue.peek().map_or(Micros::MAX, |Reverse((at, ..))| *at);
            let wake = self.core.next_timeout().unwrap_or(Micros::MAX).max(self.now);
            let next = step.min(wake);
            if next > end {
                break;
            }
            self.now = next;
            if step <= wake {
                self.take_step();
            } else {
                self.feed(Input::Wake);
            }
            if !self.unread.is_empty() {
                self.read_on();
            }
        }
        self.now = end;
    }

    fn take_step(&mut self) {
        match self.queue.pop() {
            Some(Reverse((_, _, Step::Opened(id)))) => self.feed(Input::Opened(id)),
            Some(Reverse((_, _, Step::Answered(id)))) => self.read(id, 0),
            None => {}
        }
    }

    /// Clients ask at a rate for a time; times between requests are drawn.
    pub fn serve(&mut self, per_second: f64, lasts: Micros, keys: u64) {
        let end = self.now + lasts;
        loop {
            let pause = -(1.0 - self.rng.rand_float()).ln() / per_second;
            let next = self.now + (pause * SECOND as f64) as Micros;
            if next >= end {
                break;
            }
            self.run_until(next);
            self.ask(keys);
        }
        self.run_until(end);
    }
}

/// A cache's answer with a value of so many bytes.
fn hit(bytes: usize) -> Vec<u8> {
    let mut answer = format!("*3\r\n${bytes}\r\n").into_bytes();
    answer.resize(answer.len() + bytes, b'v');
    answer.extend_from_slice(b"\r\n$3\r\nhit\r\n$0\r\n\r\n");
    answer
}
