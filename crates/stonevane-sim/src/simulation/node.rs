//! Nodes: processes that run the core, each with a clock of its own.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use stonevane_audit::{Event as RecordedEvent, HistoryRecord};
use stonevane_config::operator;
use stonevane_core::{ConnId, Core, Input, Mutant, Outputs, Setup};

use super::event::Event;
use super::recorder::record;
use super::settings::deployment;
use super::{EPOCH_US, Simulation};
use crate::discovery::Discovery;
use crate::plan::Plan;
use crate::stream::{Chunk, StreamId};

/// Where discovery listens, as nodes are set to.
const DISCOVERY_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 4, 0, 1), 8_500);
/// A process wakes late with this probability, by up to so many microseconds.
const LATE_WAKE_PROBABILITY: f64 = 0.2;
const MAX_LATE_WAKE_US: u64 = 3_000;
/// Parts in a million.
const PPM: i64 = 1_000_000;

/// A watch of discovery.
#[derive(Clone, Copy)]
pub struct Watch {
    /// The call that began it.
    pub epoch: u64,
    /// The version that the node knows.
    pub version: u64,
}

/// A node.
pub struct Node {
    /// `None` while it has no process.
    pub core: Option<Core<Option<Mutant>>>,
    pub incarnation: u64,
    /// In any of its incarnations.
    pub has_called_discovery: bool,
    pub is_paused: bool,
    /// What happened while it was paused.
    pub missed: Vec<Event>,
    /// When it is woken next.
    pub wake_at: u64,
    /// Its streams, by the core's ids.
    pub streams: HashMap<ConnId, StreamId>,
    /// Those that the machine has accepted and the process has not.
    pub backlog: VecDeque<StreamId>,
    pub is_listening: bool,
    /// The last moment at which a watch event arrives: they keep their order.
    pub last_watch_delivery: u64,
    pub watch: Option<Watch>,
    /// Its process has ended by itself.
    pub has_ended: bool,
    /// It was sent SIGTERM.
    pub is_terminating: bool,
    /// How much its clock runs too fast, parts in a million.
    drift_ppm: i64,
    /// Clients' connections that may be used again, the last used last.
    pub idle_clients: Vec<StreamId>,
}

impl Node {
    /// One without a process.
    pub fn new(plan: &Plan, node: usize) -> Node {
        let drift = plan.clock_drifts.get(node).copied().unwrap_or(0.0);
        Node {
            core: None,
            incarnation: 0,
            has_called_discovery: false,
            is_paused: false,
            missed: Vec::new(),
            wake_at: u64::MAX,
            streams: HashMap::new(),
            backlog: VecDeque::new(),
            is_listening: false,
            last_watch_delivery: 0,
            watch: None,
            has_ended: false,
            is_terminating: false,
            drift_ppm: (drift * PPM as f64) as i64,
            idle_clients: Vec::new(),
        }
    }

    /// Its clock at a simulated moment, Unix time in microseconds.
    fn clock(&self, now: u64) -> u64 {
        (EPOCH_US + now).saturating_add_signed(now as i64 * self.drift_ppm / PPM)
    }

    /// The simulated moment at which its clock shows a time; rounded up, so that the time has come then.
    fn moment_of(&self, clock: u64) -> u64 {
        let elapsed = u128::from(clock.saturating_sub(EPOCH_US));
        (elapsed * PPM as u128 / (PPM + self.drift_ppm).max(1) as u128) as u64 + 1
    }

    /// Whether a process of some incarnation still runs.
    pub fn runs(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.core.is_some()
    }
}

/// A node's name in the history.
pub fn name(node: usize) -> String {
    format!("n{node}")
}

impl Simulation<'_> {
    pub(super) fn record_node_state(&mut self, node: usize, state: &str) {
        let state = state.into();
        self.record(HistoryRecord { node: name(node), state, ..record("lab", RecordedEvent::Node) });
    }

    /// Starts a process, with the list of the run's beginning.
    pub(super) fn start_node(&mut self, node: usize) {
        let plan = self.plan;
        let setup = Setup {
            deployment: deployment(plan, node),
            seed: plan.seed ^ (self.nodes[node].incarnation << 32) ^ node as u64,
            sockets: plan.max_sockets,
            memory_mb: plan.memory_mb,
            known: Discovery::of(&self.servers).list_after(0, EPOCH_US),
            discovery: DISCOVERY_ADDRESS.into(),
            clients: operator::Clients::default(),
            servers: operator::Servers::default(),
            store: false,
            copies: false,
            others: 0,
            replaced: false,
            excluded: Vec::new(),
            regions: None,
        };
        self.record_node_state(node, "starting");
        let now = self.now();
        let started = &mut self.nodes[node];
        started.core = Some(Core::with_faults(started.clock(now), setup, self.options.mutant));
        started.incarnation += 1;
        started.is_listening = true;
        started.is_terminating = false;
        started.has_ended = false;
        started.is_paused = false;
        started.wake_at = u64::MAX;
        self.record_node_state(node, "ready");
        self.feed(node, Input::Wake);
    }

    /// A node's process has ended; what it had open is closed.
    pub(super) fn stop_node(&mut self, node: usize, state: &str) {
        self.record_node_state(node, state);
        let stopped = &mut self.nodes[node];
        stopped.core = None;
        stopped.is_listening = false;
        stopped.is_paused = false;
        stopped.watch = None;
        stopped.missed.clear();
        let accepted = stopped.streams.drain().map(|(_, stream)| stream);
        let mut streams: Vec<StreamId> = accepted.chain(stopped.backlog.drain(..)).collect();
        streams.sort_unstable();
        let was_killed = state == "killed";
        for id in streams {
            match self.streams.get_mut(&id).filter(|stream| was_killed && stream.is_peer_open) {
                Some(stream) => {
                    stream.is_node_open = false;
                    self.send_to_peer(id, Chunk::Reset);
                }
                None => self.close_node_end(id),
            }
        }
    }

    /// Gives a node an input, and does what it says.
    pub(super) fn feed(&mut self, node: usize, input: Input<'_>) {
        let mut outputs = Outputs::new();
        if self.nodes[node].core.is_some() {
            self.feed_more(node, input, &mut outputs);
            self.perform(node, outputs);
        }
    }

    /// Gives a node an input whose outputs are performed with those before it.
    pub(super) fn feed_more(&mut self, node: usize, input: Input<'_>, outputs: &mut Outputs) {
        let clock = self.nodes[node].clock(self.now());
        if let Some(core) = &mut self.nodes[node].core {
            core.handle(clock, input, outputs);
        }
    }

    /// A node's timer is due.
    pub(super) fn wake_node(&mut self, node: usize, incarnation: u64) {
        if !self.nodes[node].runs(incarnation) {
            return;
        }
        if self.nodes[node].is_paused {
            return self.nodes[node].missed.push(Event::Wake { node, incarnation });
        }
        if self.nodes[node].wake_at <= self.now() {
            self.feed(node, Input::Wake);
        }
    }

    /// Schedules a node's next wake, where it is earlier than the one that is scheduled.
    pub(super) fn schedule_wake(&mut self, node: usize) {
        let now = self.now();
        let waiting = &self.nodes[node];
        let Some(timer) = waiting.core.as_ref().and_then(Core::next) else { return };
        let due = waiting.moment_of(timer).max(now);
        let (wake_at, incarnation) = (waiting.wake_at, waiting.incarnation);
        if due < wake_at || wake_at <= now {
            // A process that wakes late hears of other things before.
            let is_late = self.draw_chance(LATE_WAKE_PROBABILITY);
            let due = if is_late { due + self.rng.rand_range(0..MAX_LATE_WAKE_US) } else { due };
            self.nodes[node].wake_at = due;
            self.schedule(due, Event::Wake { node, incarnation });
        }
    }

    /// A process is paused, or goes on.
    pub(super) fn pause_node(&mut self, node: usize, begins: bool) {
        // What was sent just before the pause is read after it.
        self.abandoned.clear();
        if self.nodes[node].core.is_none() {
            return;
        }
        self.nodes[node].is_paused = begins;
        if begins {
            // What clients wait for meanwhile is not the node's to answer: they leave.
            for stream in self.streams_where(|stream| stream.node == node && stream.is_open_client()) {
                self.leave(stream);
            }
        } else {
            self.resume_node(node);
        }
    }

    /// After a pause all that is due is due at once, and what has come is read.
    fn resume_node(&mut self, node: usize) {
        for event in std::mem::take(&mut self.nodes[node].missed) {
            self.handle_event(event);
        }
        self.feed(node, Input::Wake);
        let mut streams: Vec<StreamId> = self.nodes[node].streams.values().copied().collect();
        streams.sort_unstable();
        for stream in streams {
            let mut outputs = Outputs::new();
            self.read(node, stream, &mut outputs);
            self.perform(node, outputs);
        }
        let mut outputs = Outputs::new();
        self.accept_backlog(node, &mut outputs);
        self.perform(node, outputs);
    }
}
