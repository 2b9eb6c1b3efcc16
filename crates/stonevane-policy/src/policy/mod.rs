//! Policy of one node: dispatches events and timers to the rules.
//!
//! On the regular path a read goes to the first server in its key's order that is within the load bound.
//! After a miss the value is fetched from the origin; a write goes to the origin directly. Both pass the
//! origin limits, and a call that they block is retried after a random backoff. Every deviation from this
//! path handles a fault that the code names.
//!
//! Each rule has a module of its own beside this one, which owns the rule's state. The submodules carry
//! requests and attempts through the rules.

mod attempts;
mod origin_calls;
mod outcomes;
mod requests;
mod server_list;

use std::collections::BTreeMap;

use crate::action::{Action, Reason};
use crate::admission::Admission;
use crate::attempt::{Attempt, AttemptId};
use crate::balancing::Balancing;
use crate::coalescing::InFlightFetches;
use crate::discovery_backoff::DiscoveryBackoff;
use crate::event::Event;
use crate::hash::{self, unit_hash};
use crate::idle_connections;
use crate::ids::{Micros, RequestId};
use crate::key_history::KeyHistory;
use crate::log_message::LogMessage;
use crate::origin_limits::{OriginLimits, OriginShare};
use crate::pending_request::PendingRequest;
use crate::random::Random;
use crate::retry::RetryBudget;
use crate::server_entry::ListUpdate;
use crate::server_pool::ServerPool;
use crate::settings::Settings;
use crate::slow_start::SlowStart;
use crate::startup::{StartupInputs, StartupLimit};
use crate::timers::{Timer, TimerQueue};

/// Latency objective in microseconds if the settings have no class.
const DEFAULT_OBJECTIVE: Micros = 1_000_000;
/// Lower bound of a process's share of the node's quota.
const MIN_PROCESS_SHARE: f64 = 0.05;
/// Number of reviews during the longest latency objective.
const REVIEWS_PER_OBJECTIVE: Micros = 8;
/// Shortest time between two reviews, in microseconds, for short latency objectives.
const MIN_REVIEW_PERIOD: Micros = 5_000;

/// Policy of one node: its settings, the learned state of servers, and the pending requests.
pub struct Policy {
    settings: Settings,
    random: Random,
    now: Micros,
    objectives: LatencyObjectives,
    servers: ServerPool,
    requests: BTreeMap<RequestId, PendingRequest>,
    attempts: BTreeMap<AttemptId, Attempt>,
    timers: TimerQueue,
    key_history: KeyHistory,
    admission: Admission,
    origin_limits: OriginLimits,
    in_flight_fetches: InFlightFetches,
    retry_budget: RetryBudget,
    startup: StartupLimit,
    discovery_backoff: DiscoveryBackoff,
    /// Fraction of the node's quota that belongs to this process.
    process_share: f64,
    shutting_down: bool,
    /// Whether the node closes connections to servers as soon as they are idle.
    closes_idle_connections: bool,
    /// Salt that makes random draws differ between nodes even for the same request identifier.
    node_salt: u64,
}

/// Latency objectives over all classes, in microseconds.
#[derive(Clone, Copy)]
struct LatencyObjectives {
    /// Unit of most time spans in the rules; never 0.
    longest: Micros,
    /// Reference for slow responses of the origin.
    shortest: Micros,
}

impl LatencyObjectives {
    fn of(settings: &Settings) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        LatencyObjectives {
            longest: objectives.clone().max().unwrap_or(DEFAULT_OBJECTIVE).max(1),
            shortest: objectives.min().unwrap_or(DEFAULT_OBJECTIVE),
        }
    }
}

impl Policy {
    /// Creates the policy of a node that knows its settings and no servers. `seed` determines all random
    /// draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut admission = Admission::new();
        admission.apply_settings(&settings, &[]);
        let mut servers = ServerPool::default();
        servers.apply_settings(&settings, 0);
        let process_share = 1.0;
        let origin_share = OriginShare { request_rate: admission.request_rate(), process_share };
        let mut timers = TimerQueue::default();
        timers.set(0, Timer::PollDiscovery);
        timers.set(0, Timer::Review);
        Policy {
            random: Random::new(seed),
            now: 0,
            objectives: LatencyObjectives::of(&settings),
            servers,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers,
            key_history: KeyHistory::default(),
            admission,
            origin_limits: OriginLimits::new(origin_share),
            in_flight_fetches: InFlightFetches::default(),
            retry_budget: RetryBudget::new(),
            startup: StartupLimit::new(seed, settings.node_index),
            discovery_backoff: DiscoveryBackoff::default(),
            process_share,
            shutting_down: false,
            closes_idle_connections: idle_connections::should_close(&settings),
            node_salt: unit_hash(seed, settings.node_index, hash::purpose::NODE_SALT).to_bits(),
            settings,
        }
    }

    /// Handles one event at a clock value (microseconds, never decreasing), runs the timers that are due, and
    /// appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.startup.record_event_time(now);
        self.handle_event(event, actions);
        self.run_due_timers(actions);
    }

    fn handle_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ServerList { kind: ListUpdate::Failed, .. } => self.on_discovery_failed(0, actions),
            Event::ServerList { kind: ListUpdate::TimedOut { silent_for, was_established }, .. } => {
                self.on_discovery_timed_out(silent_for, was_established, actions);
            }
            Event::ServerList { kind, servers } => self.on_server_list(kind, servers),
            Event::Request(request) => self.on_request(&request, actions),
            Event::Outcome(outcome) => self.on_outcome(&outcome, actions),
            // A streamed response belongs to the client from here on: no answer is pending, and no deadline
            // applies.
            Event::ResponseStarted { request, .. } | Event::ClientDisconnected(request) => {
                self.requests.remove(&request);
            }
            Event::Timer(_) => self.timers.on_node_timer_fired(self.now + self.settings.tick),
            Event::OriginUnavailable { duration } => {
                log(self.origin_limits.set_unavailable(self.now, duration), actions);
            }
            Event::ProcessShare(share) => self.process_share = share.clamp(MIN_PROCESS_SHARE, 1.0),
            Event::ShuttingDown => self.shut_down(actions),
            Event::Settings { settings, previous_positions } => {
                self.apply_settings(*settings, &previous_positions);
            }
            Event::Exclude { server, excluded } => self.on_exclude(server, excluded, actions),
            Event::PeerMessage { .. } | Event::HealthCheckFinished { .. } => {}
        }
    }

    fn run_due_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(timer) = self.next_due_timer(actions) {
            match timer {
                Timer::Deadline(request) => self.on_deadline(request, actions),
                Timer::Retry { request, .. } => self.next_attempt(request, actions),
                Timer::AttemptSlow(attempt) => self.on_attempt_slow(attempt, actions),
                Timer::PollDiscovery if self.settings.poll_discovery => actions.push(Action::Subscribe(true)),
                Timer::PollDiscovery => {}
                Timer::Review => self.review(actions),
            }
        }
    }

    fn next_due_timer(&mut self, actions: &mut Vec<Action>) -> Option<Timer> {
        let (requests, attempts) = (&self.requests, &self.attempts);
        self.timers.next_due(self.now, actions, |timer| match timer {
            Timer::Deadline(request) => !requests.contains_key(&request),
            Timer::Retry { request, backoff } => {
                requests.get(&request).is_none_or(|pending| pending.backoff != backoff)
            }
            Timer::AttemptSlow(attempt) => !attempts.contains_key(&attempt),
            Timer::PollDiscovery | Timer::Review => false,
        })
    }

    /// Applies new settings. `previous_positions` holds the position of each tenant in the previous settings.
    /// Charges of pending requests move with their tenants; all other learned state is kept.
    fn apply_settings(&mut self, settings: Settings, previous_positions: &[Option<usize>]) {
        self.objectives = LatencyObjectives::of(&settings);
        self.admission.apply_settings(&settings, previous_positions);
        for request in self.requests.values_mut() {
            let position = |tenant| previous_positions.iter().position(|previous| *previous == Some(tenant));
            request.charged_tenant = request.charged_tenant.and_then(position);
        }
        self.closes_idle_connections = idle_connections::should_close(&settings);
        self.servers.apply_settings(&settings, self.now);
        self.settings = settings;
    }

    /// Answers all pending requests. New requests are rejected from now on.
    fn shut_down(&mut self, actions: &mut Vec<Action>) {
        self.shutting_down = true;
        let pending: Vec<RequestId> = self.requests.keys().copied().collect();
        for request in pending {
            self.finish(request, Reason::ShuttingDown, actions);
        }
    }

    fn review(&mut self, actions: &mut Vec<Action>) {
        let period =
            (self.objectives.longest / REVIEWS_PER_OBJECTIVE).max(self.settings.tick).max(MIN_REVIEW_PERIOD);
        let idle = self.servers.cache_attempts_in_flight() == 0;
        log(self.admission.review(period, idle), actions);
        self.origin_limits.review();
        self.set_timer(period, Timer::Review);
    }

    /// Returns the number of listed cache servers that balancing avoids at present, because an operator has
    /// excluded them or because they are ejected.
    pub fn excluded_or_ejected_count(&self) -> usize {
        self.servers.excluded_or_ejected_count()
    }

    fn set_timer(&mut self, after: Micros, timer: Timer) {
        self.timers.set(self.now + after, timer);
    }

    /// Returns the inputs for the ceilings of the origin limits.
    fn origin_share(&self) -> OriginShare {
        OriginShare { request_rate: self.admission.request_rate(), process_share: self.process_share }
    }

    /// Returns the slow-start rule with its current inputs.
    fn slow_start(&self) -> SlowStart<'_> {
        SlowStart {
            settings: &self.settings,
            now: self.now,
            request_rate: self.admission.request_rate(),
            process_share: self.process_share,
            total_weight: self.servers.total_weight(),
            peak_weight: self.servers.peak_weight(),
            node_salt: self.node_salt,
        }
    }

    /// Returns the balancing rule with its current inputs.
    fn balancing(&self) -> Balancing<'_> {
        Balancing {
            settings: &self.settings,
            pool: &self.servers,
            slow_start: self.slow_start(),
            now: self.now,
            longest_objective: self.objectives.longest,
            origin_saturation: self.origin_limits.saturation(),
            shedding: self.admission.is_shedding(),
        }
    }

    /// Returns whether the start-up limit allows one more attempt at a cache server.
    fn startup_allows_attempt(&self) -> bool {
        self.startup.allows(&StartupInputs {
            settings: &self.settings,
            now: self.now,
            longest_objective: self.objectives.longest,
            cache_server_shares: self.servers.cache_server_shares(),
            in_flight: self.servers.cache_attempts_in_flight(),
        })
    }
}

fn log(message: Option<LogMessage>, actions: &mut Vec<Action>) {
    actions.extend(message.map(Action::from));
}
