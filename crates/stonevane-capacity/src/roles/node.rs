//! A node's core driven in process, with simulated clients and cache servers instead of sockets.

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

/// Unix time at the start of a measurement, in microseconds.
pub const START: Micros = 1_790_000_100_000_000;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Time that a simulated connection to a server takes to open, in microseconds.
const CONNECT_DELAY: Micros = 300;
/// Time that a simulated server takes to respond, in microseconds.
const RESPONSE_DELAY: Micros = 2_000;
/// Idle time after which cache servers close a connection, in microseconds; the platform prescribes it.
pub const IDLE_TIMEOUT: Micros = 15_000_000;
/// Time after a response during which a server connection is not reused: the operator file's default.
const CONNECTION_REST: Duration = Duration::from_millis(15);
/// Maximum number of response bytes that one read returns.
const READ_LIMIT_BYTES: usize = 64 * 1024;
/// Quota that never rejects a request, in requests per second.
const QUOTA_PER_S: f64 = 1e9;

/// Returns the deployment of a fleet of `nodes` nodes, with the platform's defaults.
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
        tenants: vec![Tenant { quota_per_s: QUOTA_PER_S }],
        poll_discovery: true,
        startup_attempts_per_server: 0.0,
        ..Settings::default()
    };
    Deployment {
        settings,
        classes: vec!["read".into()],
        tenants: vec!["all".into()],
        zones: super::listing::zone_names(),
        machine_types: vec!["cache".into()],
        connect_timeout: 250_000,
        idle_timeout: IDLE_TIMEOUT,
        max_open: 20_000,
        load_metric_names: Vec::new(),
    }
}

/// Returns the configuration of a core that starts with the server list `known` and has a limit of `sockets`
/// sockets.
pub fn setup(deployment: Deployment, known: EndpointList, sockets: usize, seed: u64) -> CoreConfig {
    CoreConfig {
        deployment,
        seed,
        max_sockets: sockets,
        memory_mb: 192,
        cached_list: known,
        discovery: SocketAddr::from(([127, 0, 0, 1], 3)),
        clients: operator::Clients::default(),
        servers: operator::Servers { rest: CONNECTION_REST },
        has_store: false,
        notifies_caches: false,
        other_sockets: 0,
        can_be_replaced: false,
        excluded: Vec::new(),
        regions: None,
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Opened(ConnId),
    Responded(ConnId),
}

/// Counters of a driven node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests from clients.
    pub requests: u64,
    /// Bytes written to clients.
    pub response_bytes: u64,
    /// Connections opened to servers.
    pub opened: u64,
    /// Attempts: requests written to servers.
    pub attempts: u64,
    /// Calls to discovery: watches and fetches of the full list.
    pub discovery_calls: u64,
}

/// Core with its simulated clients and servers.
pub struct DrivenNode {
    /// Core under measurement.
    pub core: Core,
    /// Simulated Unix time, in microseconds.
    pub now: Micros,
    /// Counters since the start.
    pub counters: Counters,
    /// Processor time of the core since the start.
    pub cpu: CpuMeter,
    rng: Rand64,
    clients: Vec<ConnId>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    response: Vec<u8>,
    /// Connections with a partly read response, each with the offset of the next byte to read.
    unread: Vec<(ConnId, usize)>,
}

impl DrivenNode {
    /// Creates a node with `clients` connected clients. Its servers respond with values of `value_bytes`
    /// bytes.
    pub fn new(setup: CoreConfig, clients: usize, value_bytes: usize, seed: u64) -> DrivenNode {
        let mut node = DrivenNode {
            core: Core::new(START, setup),
            now: START,
            counters: Counters::default(),
            cpu: CpuMeter::default(),
            rng: Rand64::new(seed.into()),
            clients: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            response: hit_response(value_bytes),
            unread: Vec::new(),
        };
        for _ in 0..clients {
            let client = node.core.next_connection_id();
            node.clients.push(client);
            node.feed(Input::Accepted(client));
        }
        node
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence, event)));
    }

    /// Passes an input to the core and executes its outputs.
    pub fn feed(&mut self, input: Input<'_>) {
        let mut outputs = Outputs::new();
        let (core, now) = (&mut self.core, self.now);
        self.cpu.run(|| core.handle(now, input, &mut outputs));
        let mut flushed = VecDeque::new();
        self.execute(outputs, &mut flushed);
        while let Some(id) = flushed.pop_front() {
            let mut outputs = Outputs::new();
            let core = &mut self.core;
            self.cpu.run(|| core.handle(now, Input::Flushed(id), &mut outputs));
            self.execute(outputs, &mut flushed);
        }
    }

    fn execute(&mut self, outputs: Outputs, flushed: &mut VecDeque<ConnId>) {
        for output in outputs {
            match output {
                Output::Open(id, _) => {
                    self.counters.opened += 1;
                    self.schedule(CONNECT_DELAY, Event::Opened(id));
                }
                Output::WriteRequest { id, .. } => {
                    self.counters.attempts += 1;
                    flushed.push_back(id);
                    self.schedule(RESPONSE_DELAY, Event::Responded(id));
                }
                Output::Write(id, bytes) | Output::WriteAndClose(id, bytes) => {
                    if self.clients.contains(&id) {
                        self.counters.response_bytes += bytes.len() as u64;
                    }
                    flushed.push_back(id);
                }
                Output::Close(id) => self.unread.retain(|(conn, _)| *conn != id),
                Output::Discovery(call) => {
                    let counted =
                        matches!(call.request, DiscoveryRequest::Watch { .. } | DiscoveryRequest::FetchList);
                    self.counters.discovery_calls += u64::from(counted);
                }
                _ => {}
            }
        }
    }

    /// Sends a request from the next client, for a random one of `keys` keys.
    pub fn send_request(&mut self, keys: u64) {
        self.counters.requests += 1;
        let client = self.clients[self.counters.requests as usize % self.clients.len()];
        let key = format!("{:016x}", 1 + self.rng.rand_range(0..keys));
        let id = format!("{:x}", self.counters.requests);
        let arguments: [&[u8]; 4] = [b"OBJ.GET", key.as_bytes(), id.as_bytes(), b"c=read,t=all,d=1900"];
        self.feed(Input::Bytes(client, &resp::encode_command(&arguments)));
    }

    /// Passes the response bytes from `offset` to the core, as many as the core's read budget allows.
    fn read(&mut self, id: ConnId, mut offset: usize) {
        let response = std::mem::take(&mut self.response);
        while offset < response.len() {
            let length = self.core.read_budget(id).min(READ_LIMIT_BYTES).min(response.len() - offset);
            if length == 0 {
                self.unread.push((id, offset));
                break;
            }
            self.feed(Input::Bytes(id, &response[offset..offset + length]));
            offset += length;
        }
        self.response = response;
    }

    fn resume_reads(&mut self) {
        for (id, offset) in std::mem::take(&mut self.unread) {
            self.read(id, offset);
        }
    }

    /// Processes all events that are due by `end` and advances the simulated time to `end`.
    pub fn run_until(&mut self, end: Micros) {
        loop {
            let event_at = self.queue.peek().map_or(Micros::MAX, |Reverse((at, ..))| *at);
            let wake = self.core.next_timeout().unwrap_or(Micros::MAX).max(self.now);
            let next = event_at.min(wake);
            if next > end {
                break;
            }
            self.now = next;
            if event_at <= wake {
                self.process_next_event();
            } else {
                self.feed(Input::Wake);
            }
            if !self.unread.is_empty() {
                self.resume_reads();
            }
        }
        self.now = end;
    }

    fn process_next_event(&mut self) {
        match self.queue.pop() {
            Some(Reverse((_, _, Event::Opened(id)))) => self.feed(Input::Opened(id)),
            Some(Reverse((_, _, Event::Responded(id)))) => self.read(id, 0),
            None => {}
        }
    }

    /// Sends requests at a mean rate for a duration; the times between requests are exponentially
    /// distributed.
    pub fn serve(&mut self, per_second: f64, duration: Micros, keys: u64) {
        let end = self.now + duration;
        loop {
            let pause = -(1.0 - self.rng.rand_float()).ln() / per_second;
            let next = self.now + (pause * SECOND as f64) as Micros;
            if next >= end {
                break;
            }
            self.run_until(next);
            self.send_request(keys);
        }
        self.run_until(end);
    }
}

/// Response of a cache server to a hit with a value of `bytes` bytes.
fn hit_response(bytes: usize) -> Vec<u8> {
    let mut response = format!("*3\r\n${bytes}\r\n").into_bytes();
    response.resize(response.len() + bytes, b'v');
    response.extend_from_slice(b"\r\n$3\r\nhit\r\n$0\r\n\r\n");
    response
}
