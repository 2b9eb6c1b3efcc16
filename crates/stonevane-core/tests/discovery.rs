//! Repetition of calls to discovery. The protocol counts a node as notified of a change 6 s after discovery
//! has the change and can be reached. Guards against timeouts that, for some settings and sequence of failing
//! calls, start the next call too late for this limit.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{START, core_seeded};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use stonevane_core::discovery_timeouts::{Awaited, CallEnd, DiscoveryTimeouts};
use stonevane_core::{
    Core, DiscoveryCall, DiscoveryEpoch, DiscoveryRequest, EndpointList, Input, Output, Outputs,
};
use stonevane_policy::Micros;
use stonevane_policy::settings::Deployment;

/// Latest time after a change at which the protocol counts the node as notified, in microseconds.
const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// Time in which a reachable service that is not overloaded answers a call, in microseconds. An agent answers
/// at once.
const ANSWER_TIME: Micros = 500_000;
/// Tolerance that the protocol allows for every time limit on a socket, in microseconds.
const SLACK: Micros = 50_000;
/// Longest time that the settings accept (`settings::check`), in microseconds.
const MAX_SETTING_TIME: Micros = 86_400_000_000;

/// Settings that determine the timeouts.
#[derive(Debug, Clone, Copy)]
struct Timing {
    list_staleness_limit: Micros,
    drain_grace: Micros,
}

/// A failing call: its events, each after a fraction of the timeout that runs at that moment, and how it
/// ends.
#[derive(Debug, Clone)]
struct Failure {
    /// Fractions of the timeout before each event. Events are the established connection, each piece of the
    /// response head, and each line.
    gaps: Vec<f64>,
    /// Number of pieces in which the response head arrives.
    pieces: usize,
    /// Whether the lines contain changes of the server list; otherwise they are empty.
    changes: bool,
    /// Fraction of the next timeout after which the connection breaks. `None`: the connection stays silent
    /// until the timeout.
    breaks: Option<f64>,
}

#[derive(Debug, Clone)]
struct Case {
    has_agent: bool,
    seed: u64,
    timing: Timing,
    /// Number of the call at whose start new settings are applied, and the settings.
    reload: Option<(usize, Timing)>,
    /// Number of the call at whose start the discovery address changes.
    move_at: Option<usize>,
    /// Failures of successive calls, repeated cyclically.
    failures: Vec<Failure>,
    /// Time from which discovery answers: the number of a call, and the fraction of the duration of that
    /// call.
    answerable: (usize, f64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum CallEvent {
    Connected,
    Piece,
    Head,
    /// An empty line.
    Heartbeat,
    Change,
}

/// An open call.
#[derive(Debug)]
struct CallInProgress {
    call: DiscoveryCall,
    events: Vec<(Micros, CallEvent)>,
    end: (Micros, CallEnd),
    /// Time of the last event of the call; before the first event, the start of the call.
    silent_since: Micros,
}

impl Failure {
    fn run(&self, started: Micros, call: DiscoveryCall, silent_from: Option<Micros>) -> CallInProgress {
        let timeouts = call.timeouts;
        let (mut at, mut awaited, mut events) = (started, Awaited::Connection, Vec::new());
        let mut established = false;
        for (position, gap) in self.gaps.iter().enumerate() {
            let next = at + fraction(*gap, timeouts.limit(awaited));
            if silent_from.is_some_and(|from| next > from) {
                break;
            }
            let event = match position {
                0 => CallEvent::Connected,
                _ if position < self.pieces => CallEvent::Piece,
                _ if position == self.pieces => CallEvent::Head,
                _ if self.changes => CallEvent::Change,
                _ => CallEvent::Heartbeat,
            };
            at = next;
            established |= matches!(event, CallEvent::Heartbeat | CallEvent::Change);
            awaited = if established || event == CallEvent::Head { Awaited::Line } else { Awaited::Answer };
            events.push((at, event));
        }
        let limit = timeouts.limit(awaited);
        let end = match (self.breaks, awaited) {
            (Some(after), _) => (at + fraction(after, limit), CallEnd::Broken),
            (None, Awaited::Connection) => (at + limit, CallEnd::Broken),
            (None, Awaited::Answer) => (at + limit, CallEnd::Unanswered),
            (None, Awaited::Line) => (at + limit, CallEnd::TimedOut { was_established: established }),
        };
        CallInProgress { call, events, end, silent_since: started }
    }
}

fn fraction(fraction: f64, of: Micros) -> Micros {
    (fraction * of as f64) as Micros
}

struct Harness<'a> {
    case: &'a Case,
    core: Core,
    deployment: Deployment,
    now: Micros,
    started: usize,
    current_call: Option<CallInProgress>,
    /// Time at which a watch on pushed lists is reopened, and the call that reopens it.
    reconnect: Option<(Micros, DiscoveryCall)>,
    /// Time from which discovery can be reached, and the latest time for the answer to a call.
    answerable: Option<(Micros, Micros)>,
    answered: Option<Micros>,
    /// Log of the calls, for the failure message.
    log: Vec<String>,
}

impl<'a> Harness<'a> {
    fn new(case: &'a Case) -> Harness<'a> {
        let mut deployment = None;
        let core = core_seeded(case.seed, false, 64, Duration::ZERO, |adjusted| {
            adjusted.settings.poll_discovery = !case.has_agent;
            apply_timing(adjusted, case.timing);
            deployment = Some(adjusted.clone());
        });
        Harness {
            case,
            core,
            deployment: deployment.unwrap(),
            now: START,
            started: 0,
            current_call: None,
            reconnect: None,
            answerable: None,
            answered: None,
            log: Vec::new(),
        }
    }

    fn feed(&mut self, input: Input<'_>) {
        let mut out = Outputs::new();
        self.core.handle(self.now, input, &mut out);
        for output in out {
            let Output::Discovery(call) = output else { continue };
            match call.request {
                DiscoveryRequest::Watch { .. } | DiscoveryRequest::WatchAgent => self.begin(call),
                DiscoveryRequest::StopWatch | DiscoveryRequest::CancelAll => {
                    (self.current_call, self.reconnect) = (None, None);
                }
                DiscoveryRequest::FetchList => panic!("unexpected separate fetch of the full list"),
            }
        }
    }

    fn begin(&mut self, call: DiscoveryCall) {
        let (number, case) = (self.started, self.case);
        self.started += 1;
        self.reconnect = None;
        self.log.push(format!("{:.6} s: call {number}", (self.now - START) as f64 / 1e6));
        if self.answerable.is_some() {
            let answer_time = if case.has_agent { 0 } else { ANSWER_TIME };
            self.answered = Some(self.now + answer_time);
            return;
        }
        let failure = &case.failures[number % case.failures.len()];
        let mut current_call = failure.run(self.now, call, None);
        if number == case.answerable.0 {
            let from = self.now + fraction(case.answerable.1, current_call.end.0 - self.now);
            current_call = failure.run(self.now, call, Some(from));
            let watched = current_call.events.iter().any(|(_, event)| *event == CallEvent::Head);
            let grace = self.deployment.settings.drain_grace;
            // With an agent, the node counts as notified of a change at once. If a silent watch misses the
            // change, the usual limit applies.
            let within = if case.has_agent && !watched {
                MAX_NOTIFICATION_DELAY.min(grace + SLACK)
            } else {
                MAX_NOTIFICATION_DELAY
            };
            self.answerable = Some((from, from + within));
            self.log.push(format!("discovery answers from {:.6} s on", (from - START) as f64 / 1e6));
        }
        self.current_call = Some(current_call);
        if let Some((_, timing)) = case.reload.filter(|(at, _)| *at == number) {
            apply_timing(&mut self.deployment, timing);
            self.feed(Input::Settings(Box::new(self.deployment.clone())));
        }
        if case.move_at == Some(number) {
            self.feed(Input::DiscoveryMoved(std::net::SocketAddr::from(([127, 0, 0, 1], 4))));
        }
    }

    /// Advances to the next event.
    fn step(&mut self) {
        let call_at = self
            .current_call
            .as_ref()
            .map(|current_call| current_call.events.first().map_or(current_call.end.0, |event| event.0));
        let reconnect_at = self.reconnect.as_ref().map(|(at, _)| *at);
        let core_at = self.core.next_timeout().unwrap_or(Micros::MAX);
        let at = core_at.min(call_at.unwrap_or(Micros::MAX)).min(reconnect_at.unwrap_or(Micros::MAX));
        self.now = self.now.max(at);
        if call_at == Some(at) {
            self.advance_call();
        } else if reconnect_at == Some(at) {
            let (_, call) = self.reconnect.take().unwrap();
            self.begin(call);
        } else {
            self.feed(Input::Wake);
        }
    }

    fn advance_call(&mut self) {
        let Some(current_call) = &mut self.current_call else { return };
        let epoch: DiscoveryEpoch = current_call.call.epoch;
        if !current_call.events.is_empty() {
            let (at, event) = current_call.events.remove(0);
            current_call.silent_since = at;
            if event == CallEvent::Change {
                let version = self.core.list_version().unwrap_or(0) + 1;
                self.feed(Input::List(
                    epoch,
                    EndpointList { version, snapshot: false, endpoints: Vec::new() },
                ));
            }
            return;
        }
        let Some(CallInProgress { call, end: (_, end), silent_since, .. }) = self.current_call.take() else {
            return;
        };
        self.log.push(format!("{:.6} s: {end:?}", (self.now - START) as f64 / 1e6));
        match call.request {
            DiscoveryRequest::WatchAgent => {
                self.reconnect = Some((self.now + call.timeouts.reconnect_delay, call));
            }
            _ => self.feed(Input::call_ended(end, epoch, self.now - silent_since)),
        }
    }
}

fn apply_timing(deployment: &mut Deployment, timing: Timing) {
    deployment.settings.list_staleness_limit = timing.list_staleness_limit;
    deployment.settings.drain_grace = timing.drain_grace;
}

/// Runs a case until discovery answers a call. Fails at the latest time for that answer.
fn check_answered_in_time(case: &Case) -> Result<(), TestCaseError> {
    let mut harness = Harness::new(case);
    harness.feed(Input::Wake);
    // Longer than all calls of a case can take.
    let latest_end = START + 300_000_000;
    while harness.answered.is_none() && harness.now < harness.answerable.map_or(latest_end, |(_, by)| by + 1)
    {
        harness.step();
    }
    let Some((from, by)) = harness.answerable else {
        return Err(TestCaseError::fail(format!("no call within 300 s: {:?}", harness.log)));
    };
    prop_assert!(
        harness.answered.is_some_and(|answered| answered <= by),
        "answered {:?} s after discovery can be reached, {} s allowed: {:#?}",
        harness.answered.map(|answered| (answered - from) as f64 / 1e6),
        (by - from) as f64 / 1e6,
        harness.log
    );
    Ok(())
}

fn timing() -> impl Strategy<Value = Timing> {
    let time = || {
        prop_oneof![
            proptest::sample::select(vec![
                1,
                1_000_000,
                4_000_000,
                6_000_000,
                10_000_000,
                20_000_000,
                MAX_SETTING_TIME
            ]),
            (0.0..10.9f64).prop_map(|exponent| 10f64.powf(exponent) as Micros),
        ]
    };
    (time(), time(), any::<bool>()).prop_map(|(list_staleness_limit, grace, none)| Timing {
        list_staleness_limit,
        drain_grace: if none { 0 } else { grace },
    })
}

fn failure() -> impl Strategy<Value = Failure> {
    let gap = || prop_oneof![Just(0.0), Just(0.999), 0.0..1.0f64];
    let breaks = proptest::option::of(prop_oneof![Just(0.0), Just(0.999), 0.0..1.0f64]);
    (proptest::collection::vec(gap(), 0..6), 1..3usize, any::<bool>(), breaks)
        .prop_map(|(gaps, pieces, changes, breaks)| Failure { gaps, pieces, changes, breaks })
}

fn case() -> impl Strategy<Value = Case> {
    let answerable = (0..6usize, prop_oneof![Just(0.0), Just(1.0), 0.0..1.0f64]);
    let reload = proptest::option::weighted(0.2, (0..4usize, timing()));
    let move_at = proptest::option::weighted(0.2, 0..4usize);
    let failures = proptest::collection::vec(failure(), 1..4);
    (any::<bool>(), 0..1_000u64, timing(), reload, move_at, failures, answerable).prop_map(
        |(has_agent, seed, timing, reload, move_at, failures, answerable)| Case {
            has_agent,
            seed,
            timing,
            // A reload or a move during the last call would cancel that call, so neither happens then.
            reload: reload.filter(|(at, _)| *at < answerable.0),
            move_at: move_at.filter(|at| *at < answerable.0),
            failures,
            answerable,
        },
    )
}

#[test]
fn discovery_answers_before_a_change_counts_as_notified_for_any_settings_and_failures() {
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let done = TestRunner::new_with_rng(config, rng).run(&case(), |case| check_answered_in_time(&case));
    if let Err(fault) = done {
        panic!("{fault}");
    }
}

/// Checks the sum of the timeouts of a call that fails as late as possible. It is tabulated in
/// `docs/design/0009-crossings.md`.
#[test]
fn the_timeouts_of_a_call_leave_time_for_an_answer_before_the_change_counts_as_notified() {
    for list_staleness_limit in [1, 1_000_000, 10_000_000, MAX_SETTING_TIME] {
        for drain_grace in [0, 50_000, 500_000, MAX_SETTING_TIME] {
            for poll_discovery in [true, false] {
                let settings = stonevane_policy::Settings {
                    poll_discovery,
                    list_staleness_limit,
                    drain_grace,
                    ..Default::default()
                };
                let timeouts = DiscoveryTimeouts::of(&settings);
                let limits = [Awaited::Connection, Awaited::Answer, Awaited::Line]
                    .map(|awaited| timeouts.limit(awaited));
                assert!(
                    limits.iter().all(|limit| limit + timeouts.reconnect_delay + ANSWER_TIME <= MAX_NOTIFICATION_DELAY),
                    "{timeouts:?}"
                );
            }
        }
    }
}
