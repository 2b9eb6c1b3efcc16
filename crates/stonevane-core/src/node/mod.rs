//! The core: composes the parts of a node, dispatches inputs and timers to them, and runs the policy.
//!
//! The policy makes the decisions. A comment marks each exception, where the limit on sockets, the memory
//! budget or an invalid input leaves no choice. Each module owns the state of one part:
//!
//! - [`requests`]: requests from arrival to final answer
//! - [`attempts`]: attempts from sending to outcome
//! - [`connections`]: limits on connections, the memory budget, eviction
//! - [`client_io`], [`server_io`]: events on client connections and on server connections
//! - [`streaming`]: long values that are forwarded to the client as they arrive
//! - [`discovery`], [`endpoints`]: calls to discovery; the endpoint list, exclusions and the subset
//! - [`reload`]: settings that change at run time
//! - [`drain`]: graceful shutdown, and handover to another process
//! - [`reports`]: counters, log and trace

mod attempts;
mod client_io;
mod config;
mod connections;
mod discovery;
mod drain;
mod endpoints;
mod policy;
mod reload;
mod reports;
mod requests;
mod server_io;
mod streaming;

use foldhash::{HashMap, HashMapExt};
use stonevane_policy::settings::Deployment;
use stonevane_policy::{AttemptStatus, Condition, Event, ListUpdate, Micros};

use crate::discovery_timeouts::first_call_delay;
use crate::faults::{Faults, Mutant, NoFaults};
use crate::io::{DiscoveryRequest, Input, Outputs};
use crate::pause_detection::PauseDetection;
use crate::reply::{AttemptKey, ConnId};
use crate::timers::{TimerKind, Timers};

use attempts::Attempt;
use connections::Connections;
use discovery::DiscoveryState;
use drain::{Drain, Handover, Phase};
use endpoints::EndpointTable;
use policy::PolicyRunner;
use reload::Reload;
use reports::Reporter;
use requests::RequestTable;

pub use config::CoreConfig;
pub use drain::HandoverStatus;
pub use reports::ResourceCounts;

/// After a process pause, time for which only inputs are handled before timers fire and requests are sent: a
/// client's request may be read before the list that drains its server, though both arrived during the pause.
const CATCH_UP_DURATION: Micros = 5_000;
/// All stale timers are dropped once there are more timers than this number plus [`PRUNE_TIMERS_PER_ENTRY`]
/// for each request, attempt and connection.
const PRUNE_MIN_TIMERS: usize = 512;
/// Number of timers allowed for each request, attempt and connection; see [`PRUNE_MIN_TIMERS`].
const PRUNE_TIMERS_PER_ENTRY: usize = 8;

/// A node without I/O: takes inputs with their time, returns outputs and the time of the next timer.
pub struct Core<F = NoFaults> {
    /// Injected faults; none outside the simulator.
    faults: F,
    now: Micros,
    /// Time up to which all input that had arrived is known to the driver; see [`Core::on_poll`].
    polled_at: Micros,
    deployment: Deployment,
    policy: PolicyRunner,
    timers: Timers,
    /// End of the catch-up phase after a process pause; `None` outside of it.
    catching_up_until: Option<Micros>,
    requests: RequestTable,
    attempts: HashMap<AttemptKey, Attempt>,
    connections: Connections,
    endpoints: EndpointTable,
    discovery: DiscoveryState,
    reload: Reload,
    drain: Drain,
    handover: Handover,
    reporter: Reporter,
    out: Outputs,
}

impl Core<NoFaults> {
    /// Creates a node that starts with a cached endpoint list. Its first outputs are returned with the first
    /// input.
    pub fn new(now: Micros, config: CoreConfig) -> Core {
        Core::with_faults(now, config, NoFaults)
    }
}

impl<F: Faults> Core<F> {
    /// Creates a node with injected faults.
    pub fn with_faults(now: Micros, mut config: CoreConfig, faults: F) -> Core<F> {
        if faults.injects(Mutant::LongWindow) {
            config::lengthen_idempotency_windows(&mut config.deployment);
        }
        let cached_list = std::mem::take(&mut config.cached_list);
        let excluded = std::mem::take(&mut config.excluded);
        let seed = config.seed;
        let connections = Connections::new(&config);
        let mut core = Core {
            faults,
            now,
            polled_at: 0,
            policy: PolicyRunner::new(&config),
            timers: Timers::default(),
            catching_up_until: None,
            requests: RequestTable::new(),
            attempts: HashMap::new(),
            handover: Handover::new(connections.capacity()),
            connections,
            discovery: DiscoveryState::new(config.discovery),
            endpoints: EndpointTable::new(&mut config, now),
            reload: Reload::default(),
            drain: Drain::new(),
            reporter: Reporter::new(&config.deployment.classes),
            out: Outputs::new(),
            deployment: config.deployment,
        };
        for name in excluded {
            core.set_excluded(name, true);
        }
        let polls = core.deployment.settings.poll_discovery;
        if polls && !cached_list.endpoints.is_empty() {
            let delay = first_call_delay(&core.deployment.settings, seed);
            core.discovery.first_watch_at = Some(now + delay);
        }
        core.apply_list(&cached_list, ListUpdate::Cached);
        if !polls {
            core.call_discovery(DiscoveryRequest::WatchAgent);
        }
        core.timers.push(now + core.pause_detection().check_interval, TimerKind::IdleSweep);
        core.settle();
        core
    }

    fn pause_detection(&self) -> PauseDetection {
        PauseDetection::of(&self.deployment.settings)
    }

    /// Returns the latest time of the next call of [`Core::handle`], with [`Input::Wake`] if there is no
    /// other input.
    pub fn next_timeout(&self) -> Option<Micros> {
        let next = self.timers.next_timeout();
        next.map(|next| next.max(self.catching_up_until.unwrap_or(0)))
    }

    /// Tells the core that the driver has asked the operating system at the time `at` which connections have
    /// input. Input that arrived on a connection before `at` is either passed to the core already or will be
    /// passed to it before a request is written to that connection. Later input is unknown to the driver.
    pub fn on_poll(&mut self, at: Micros) {
        self.polled_at = at;
    }

    /// Handles an input and appends the resulting outputs. Time never runs backwards: an earlier `now` than
    /// that of a previous call counts as the time of that call.
    pub fn handle(&mut self, now: Micros, input: Input<'_>, outputs: &mut Outputs) {
        self.now = self.now.max(now);
        self.detect_pause();
        if self.catching_up_until.is_none_or(|until| until <= self.now) {
            self.catching_up_until = None;
            while let Some(kind) = self.timers.pop_due(self.now) {
                self.on_timer(kind);
            }
        }
        self.on_input(input);
        self.settle();
        outputs.append(&mut self.out);
    }

    fn detect_pause(&mut self) {
        // Not during a drain: requests that arrive during the catch-up phase could no longer be answered in
        // time.
        if self.catching_up_until.is_some() || self.drain.ends_at.is_some() {
            return;
        }
        let lateness = self.pause_detection().lateness;
        if self.timers.next_timeout().is_some_and(|due| due + lateness <= self.now) {
            self.catching_up_until = Some(self.now + CATCH_UP_DURATION);
        }
    }

    fn on_input(&mut self, input: Input<'_>) {
        match input {
            Input::Accepted(id) => self.on_accepted(id),
            Input::Bytes(id, bytes) => self.on_bytes(id, bytes),
            Input::Flushed(id) => self.on_flushed(id),
            Input::Unsent(id) => self.on_unsent(id),
            Input::WriteClosed(id) => self.on_write_closed(id),
            Input::Closed(id) => self.on_closed(id),
            Input::Opened(id) => self.on_opened(id),
            Input::CallReplied(id, reply) => self.on_reply(id, reply),
            // Results from a previous discovery service are ignored: its list versions no longer apply.
            Input::List(epoch, _) | Input::ListFailed(epoch) | Input::ListTimedOut { epoch, .. }
                if epoch != self.discovery.epoch => {}
            Input::List(_, list) => {
                let kind = if list.snapshot { ListUpdate::Full } else { ListUpdate::Delta };
                self.apply_list(&list, kind);
            }
            Input::ListFailed(_) => self.on_list_failed(),
            Input::ListTimedOut { silent_for, was_established, .. } => {
                let kind = ListUpdate::TimedOut { silent_for, was_established };
                self.notify_policy(Event::ServerList { kind, servers: Vec::new() });
            }
            Input::OriginUnavailable(duration) => {
                self.notify_policy(Event::OriginUnavailable { duration });
            }
            Input::DiscoveryMoved(address) => self.move_discovery(address),
            Input::Settings(deployment) => self.begin_reload(deployment),
            Input::ReloadFailed => self.reporter.metrics.reloads_failed += 1,
            Input::Exclude(name, excluded) => self.set_excluded(name, excluded),
            Input::NodeCount(nodes) => self.set_node_count(nodes),
            Input::Handover(grant) => self.apply_capacity_grant(grant),
            Input::Terminate => self.begin_drain(),
            Input::Wake => {}
        }
    }

    fn on_timer(&mut self, kind: TimerKind) {
        match kind {
            TimerKind::Policy(token) => self.notify_policy(Event::Timer(token)),
            TimerKind::AttemptTimeout(key) => {
                self.give_up_attempt(key, AttemptStatus::TimedOut);
                self.run_policy();
            }
            TimerKind::RequestDeadline(request) => self.on_request_deadline(request),
            TimerKind::ConnectionLimit(conn) => self.on_connection_limit(conn),
            // `settle` does the eviction.
            TimerKind::Eviction => self.connections.eviction.timer_at = None,
            TimerKind::FirstWatch => self.on_first_watch(),
            TimerKind::ReloadComplete => self.on_reload_complete(),
            TimerKind::SubsetRefresh => self.refresh_subset(),
            TimerKind::IdleSweep => self.sweep_idle_connections(),
            TimerKind::DrainEnding => self.notify_policy(Event::ShuttingDown),
            TimerKind::DrainConnections => self.drain_connections(),
            TimerKind::DrainCheck => self.check_drain(),
        }
    }

    /// Runs after every input: distributes memory and connections that became free, and enters the ready
    /// phase once a server is ready.
    fn settle(&mut self) {
        self.process_ready_connections();
        self.prune_timers();
        let is_ready = |servers: &EndpointTable| servers.has_condition(Condition::Ready);
        if self.drain.phase == Phase::Starting && is_ready(&self.endpoints) {
            self.enter_phase(Phase::Ready);
        }
        self.close_surplus_idle();
        self.evict_for_waiting_clients();
    }

    fn process_ready_connections(&mut self) {
        loop {
            if let Some(client) = self.connections.answered_clients.pop_front() {
                self.process_client(client);
            } else if let Some((conn, reservation)) = self.connections.memory.next_granted() {
                self.on_memory_granted(conn, reservation);
            } else {
                break;
            }
        }
    }

    /// Drops stale timers: those of finished requests, finished attempts and closed connections. Stale timers
    /// that would fire next are always dropped, the others only once there are too many timers.
    fn prune_timers(&mut self) {
        let requests = &self.requests;
        let attempts = &self.attempts;
        let connections = &self.connections;
        let is_stale = |kind| match kind {
            TimerKind::AttemptTimeout(key) => !attempts.contains_key(&key),
            TimerKind::RequestDeadline(id) => !requests.contains(id),
            TimerKind::ConnectionLimit(id) => !connections.contains(id),
            _ => false,
        };
        let entries = requests.len() + attempts.len() + connections.len();
        self.timers.drop_stale_front(is_stale);
        if self.timers.len() > PRUNE_MIN_TIMERS + PRUNE_TIMERS_PER_ENTRY * entries {
            self.timers.retain(|kind| !is_stale(*kind));
        }
    }

    /// Returns whether `id` is an open client connection; `false` for server connections and closed ones.
    pub fn is_client(&self, id: ConnId) -> bool {
        self.connections.clients.sessions.contains_key(&id)
    }
}
