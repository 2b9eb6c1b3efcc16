//! Nodes: processes that run the core, each with its own clock.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use stonevane_audit::{Event as RecordedEvent, HistoryRecord};
use stonevane_config::operator;
use stonevane_core::{ConnId, Core, CoreConfig, Input, Mutant, Outputs};

use super::event::Event;
use super::held_turn::HeldTurn;
use super::recorder::record;
use super::settings::deployment;
use super::{EPOCH_US, Simulation};
use crate::discovery::Discovery;
use crate::plan::Plan;
use crate::stream::{Chunk, StreamId};

/// Discovery's address in the nodes' settings.
const DISCOVERY_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 4, 0, 1), 8_500);
/// Probability that a process wakes later than its timer is due, and the upper bound of the delay in
/// microseconds.
const LATE_WAKE_PROBABILITY: f64 = 0.2;
const MAX_LATE_WAKE_US: u64 = 3_000;
/// Divisor that turns a clock drift in parts per million into a share.
const PPM: i64 = 1_000_000;

/// A node's open watch at discovery.
#[derive(Clone, Copy)]
pub struct Watch {
    /// Number by which the node identifies the call that opened the watch.
    pub epoch: u64,
    /// Version of the server list that the node has, or of a newer list that is on its way to the node.
    pub version: u64,
}

/// State of a node.
pub struct Node {
    /// The process's core; `None` while there is no process.
    pub core: Option<Core<Option<Mutant>>>,
    pub incarnation: u64,
    /// Whether the node has called discovery in any of its incarnations.
    pub has_called_discovery: bool,
    pub is_paused: bool,
    /// Whether turns of the process are held up now and then.
    pub is_held_up_in_turns: bool,
    /// The turn in which the process is held up.
    pub held_turn: Option<HeldTurn>,
    /// Simulated time until which a second copy of an answer may be on its way to the node, microseconds.
    pub copies_arrive_until: u64,
    /// Simulated time until which no further turn is held up, microseconds.
    pub no_hold_up_until: u64,
    /// Events that came while the process was paused or held up, to be handled when it resumes.
    pub deferred: Vec<Event>,
    /// Time of the latest scheduled wake, microseconds; `u64::MAX` before the first.
    pub wake_at: u64,
    /// Accepted and opened streams, by the core's connection ids.
    pub streams: HashMap<ConnId, StreamId>,
    /// Client streams that the node's machine has accepted and its process has not.
    pub backlog: VecDeque<StreamId>,
    pub is_listening: bool,
    /// Simulated time at which the latest watch event arrives; later events arrive no earlier, which keeps
    /// their order.
    pub last_watch_delivery: u64,
    pub watch: Option<Watch>,
    /// Whether the process has exited by itself.
    pub has_ended: bool,
    /// Whether the process was sent SIGTERM.
    pub is_terminating: bool,
    /// Drift of the clock, parts per million; positive if it runs fast.
    drift_ppm: i64,
    /// Idle client connections, the most recently used last.
    pub idle_clients: Vec<StreamId>,
}

impl Node {
    /// Creates a node without a process.
    pub fn new(plan: &Plan, node: usize) -> Node {
        let drift = plan.clock_drifts.get(node).copied().unwrap_or(0.0);
        Node {
            core: None,
            incarnation: 0,
            has_called_discovery: false,
            is_paused: false,
            is_held_up_in_turns: false,
            held_turn: None,
            copies_arrive_until: 0,
            no_hold_up_until: 0,
            deferred: Vec::new(),
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

    /// Returns what the node's clock shows at a simulated time: Unix time in microseconds.
    pub fn clock(&self, now: u64) -> u64 {
        (EPOCH_US + now).saturating_add_signed(now as i64 * self.drift_ppm / PPM)
    }

    /// Returns the simulated time at which the node's clock shows `clock`, rounded up to a microsecond.
    fn simulated_time_of(&self, clock: u64) -> u64 {
        let elapsed = u128::from(clock.saturating_sub(EPOCH_US));
        (elapsed * PPM as u128 / (PPM + self.drift_ppm).max(1) as u128) as u64 + 1
    }

    /// Whether the process handles no event now.
    pub fn is_stopped(&self) -> bool {
        self.is_paused || self.held_turn.is_some()
    }

    /// Whether the process of the given incarnation still runs.
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

    /// Starts a node's process. Its cached server list is the list from the beginning of the run.
    pub(super) fn start_node(&mut self, node: usize) {
        let plan = self.plan;
        let config = CoreConfig {
            deployment: deployment(plan, node),
            seed: plan.seed ^ (self.nodes[node].incarnation << 32) ^ node as u64,
            max_sockets: plan.max_sockets,
            memory_mb: plan.memory_mb,
            cached_list: Discovery::new(&self.servers).list_after(0, EPOCH_US),
            discovery: DISCOVERY_ADDRESS.into(),
            clients: operator::Clients::default(),
            servers: operator::Servers::default(),
            has_store: false,
            notifies_caches: false,
            other_sockets: 0,
            can_be_replaced: false,
            excluded: Vec::new(),
            regions: None,
        };
        self.record_node_state(node, "starting");
        let now = self.now();
        let started = &mut self.nodes[node];
        started.core = Some(Core::with_faults(started.clock(now), config, self.options.mutant));
        started.incarnation += 1;
        started.is_listening = true;
        started.is_terminating = false;
        started.has_ended = false;
        started.is_paused = false;
        started.held_turn = None;
        started.wake_at = u64::MAX;
        self.record_node_state(node, "ready");
        self.feed(node, Input::Wake);
    }

    /// Ends a node's process and closes its streams; the streams of a killed process are reset.
    pub(super) fn stop_node(&mut self, node: usize, state: &str) {
        self.record_node_state(node, state);
        let stopped = &mut self.nodes[node];
        stopped.core = None;
        stopped.is_listening = false;
        stopped.is_paused = false;
        stopped.held_turn = None;
        stopped.watch = None;
        stopped.deferred.clear();
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

    /// Feeds a node an input and performs its outputs.
    pub(super) fn feed(&mut self, node: usize, input: Input<'_>) {
        let mut outputs = Outputs::new();
        if self.nodes[node].core.is_some() {
            self.feed_into(node, input, &mut outputs);
            self.perform(node, outputs);
        }
    }

    /// Feeds a node an input and appends its outputs to `outputs`, which the caller performs.
    pub(super) fn feed_into(&mut self, node: usize, input: Input<'_>, outputs: &mut Outputs) {
        let clock = self.nodes[node].clock(self.now());
        let polled_at = self.polled_at(node);
        if let Some(core) = &mut self.nodes[node].core {
            core.on_poll(polled_at);
            core.handle(clock, input, outputs);
        }
    }

    /// Wakes a node whose scheduled wake is due, or defers the wake while the process is paused. Does nothing
    /// if the process has ended or the next wake is later.
    pub(super) fn wake_node(&mut self, node: usize, incarnation: u64) {
        if !self.nodes[node].runs(incarnation) {
            return;
        }
        if self.nodes[node].is_stopped() {
            return self.nodes[node].deferred.push(Event::Wake { node, incarnation });
        }
        if self.nodes[node].wake_at <= self.now() {
            self.feed(node, Input::Wake);
        }
    }

    /// Schedules a node's next wake if it is earlier than the scheduled one.
    pub(super) fn schedule_wake(&mut self, node: usize) {
        let now = self.now();
        let state = &self.nodes[node];
        let Some(timer) = state.core.as_ref().and_then(Core::next_timeout) else { return };
        let due = state.simulated_time_of(timer).max(now);
        let (wake_at, incarnation) = (state.wake_at, state.incarnation);
        if due < wake_at || wake_at <= now {
            // A process that wakes late handles other events before its due timers.
            let is_late = self.draw_chance(LATE_WAKE_PROBABILITY);
            let due = if is_late { due + self.rng.rand_range(0..MAX_LATE_WAKE_US) } else { due };
            self.nodes[node].wake_at = due;
            self.schedule(due, Event::Wake { node, incarnation });
        }
    }

    /// Pauses or resumes a node's process.
    pub(super) fn pause_node(&mut self, node: usize, begins: bool) {
        // A server may read an attempt after the pause although the node sent it before; this does not count
        // as a forward after the client left.
        self.abandoned.clear();
        if self.nodes[node].core.is_none() {
            return;
        }
        self.nodes[node].is_paused = begins;
        self.nodes[node].held_turn = None;
        if begins {
            // The node can't answer during the pause, so clients disconnect.
            for stream in self.streams_where(|stream| stream.node == node && stream.is_open_client()) {
                self.disconnect_client(stream);
            }
        } else {
            self.resume_node(node);
        }
    }

    /// Resumes a process: handles the deferred events and due timers, then reads streams and accepts the
    /// backlog.
    pub(super) fn resume_node(&mut self, node: usize) {
        for event in std::mem::take(&mut self.nodes[node].deferred) {
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
