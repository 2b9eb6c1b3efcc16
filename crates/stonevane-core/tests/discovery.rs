//! What a node may miss of discovery: all its waits between calls, in sum, whatever the settings are and however calls
//! fail. A change counts as told six seconds after discovery had it and could be reached.
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

/// What discovery has to tell counts as told so much later at the latest (protocol).
const TOLD: Micros = 6_000_000;
/// One service for all nodes that can be reached and is not jammed answers a call in this time; an agent at once.
const TURN: Micros = 500_000;
/// The slack of all time limits on sockets (protocol).
const SLACK: Micros = 50_000;
/// No time in the settings is longer (`settings::check`).
const DAY: Micros = 86_400_000_000;

/// The settings that bear on the waits.
#[derive(Debug, Clone, Copy)]
struct Timing {
    ask_within: Micros,
    drain_grace: Micros,
}

/// A call that fails: what comes, each after a part of what is waited for it, and then its end.
#[derive(Debug, Clone)]
struct Failure {
    /// The connection, pieces of the head, lines: as many as there are gaps.
    gaps: Vec<f64>,
    /// Pieces in which the head comes.
    pieces: usize,
    /// Whether lines hold changes, or are empty.
    changes: bool,
    /// It breaks after this part of the next wait; else nothing more comes until it is given up.
    breaks: Option<f64>,
}

#[derive(Debug, Clone)]
struct Case {
    pushed: bool,
    seed: u64,
    timing: Timing,
    /// New settings that come as the call of this number begins.
    reload: Option<(usize, Timing)>,
    /// Discovery is moved as the call of this number begins.
    moves: Option<usize>,
    /// How calls fail, one after another and then again from the first.
    failures: Vec<Failure>,
    /// Discovery answers from within the call of this number on, after this part of it.
    answers: (usize, f64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Word {
    Connected,
    Piece,
    Head,
    /// An empty line.
    Beat,
    Change,
}

/// A call as it goes.
#[derive(Debug)]
struct Going {
    call: DiscoveryCall,
    words: Vec<(Micros, Word)>,
    end: (Micros, CallEnd),
    /// The time of the last word, or of the begin.
    quiet_since: Micros,
}

impl Failure {
    fn play(&self, begun: Micros, call: DiscoveryCall, silent_from: Option<Micros>) -> Going {
        let waits = call.timeouts;
        let (mut at, mut awaits, mut words) = (begun, Awaited::Connection, Vec::new());
        let mut stood = false;
        for (place, gap) in self.gaps.iter().enumerate() {
            let next = at + part(*gap, waits.limit(awaits));
            if silent_from.is_some_and(|from| next > from) {
                break;
            }
            let word = match place {
                0 => Word::Connected,
                _ if place < self.pieces => Word::Piece,
                _ if place == self.pieces => Word::Head,
                _ if self.changes => Word::Change,
                _ => Word::Beat,
            };
            at = next;
            stood |= matches!(word, Word::Beat | Word::Change);
            awaits = if stood || word == Word::Head { Awaited::Line } else { Awaited::Answer };
            words.push((at, word));
        }
        let limit = waits.limit(awaits);
        let end = match (self.breaks, awaits) {
            (Some(after), _) => (at + part(after, limit), CallEnd::Broken),
            (None, Awaited::Connection) => (at + limit, CallEnd::Broken),
            (None, Awaited::Answer) => (at + limit, CallEnd::Unanswered),
            (None, Awaited::Line) => (at + limit, CallEnd::TimedOut { was_established: stood }),
        };
        Going { call, words, end, quiet_since: begun }
    }
}

fn part(part: f64, of: Micros) -> Micros {
    (part * of as f64) as Micros
}

struct World<'a> {
    case: &'a Case,
    core: Core,
    deployment: Deployment,
    now: Micros,
    begun: usize,
    going: Option<Going>,
    /// A watch on pushed lists is opened again then.
    again: Option<(Micros, DiscoveryCall)>,
    /// When discovery can be reached again, and when it has to have been heard by then.
    answers: Option<(Micros, Micros)>,
    heard: Option<Micros>,
    /// Calls, for the message.
    log: Vec<String>,
}

impl<'a> World<'a> {
    fn new(case: &'a Case) -> World<'a> {
        let mut deployment = None;
        let core = core_seeded(case.seed, false, 64, Duration::ZERO, |differs| {
            differs.settings.poll_discovery = !case.pushed;
            set(differs, case.timing);
            deployment = Some(differs.clone());
        });
        World {
            case,
            core,
            deployment: deployment.unwrap(),
            now: START,
            begun: 0,
            going: None,
            again: None,
            answers: None,
            heard: None,
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
                    (self.going, self.again) = (None, None);
                }
                DiscoveryRequest::FetchList => panic!("no whole list is asked for on its own"),
            }
        }
    }

    fn begin(&mut self, call: DiscoveryCall) {
        let (number, case) = (self.begun, self.case);
        self.begun += 1;
        self.again = None;
        self.log.push(format!("{:.6} s: call {number}", (self.now - START) as f64 / 1e6));
        if self.answers.is_some() {
            let turn = if case.pushed { 0 } else { TURN };
            self.heard = Some(self.now + turn);
            return;
        }
        let failure = &case.failures[number % case.failures.len()];
        let mut going = failure.play(self.now, call, None);
        if number == case.answers.0 {
            let from = self.now + part(case.answers.1, going.end.0 - self.now);
            going = failure.play(self.now, call, Some(from));
            let watched = going.words.iter().any(|(_, word)| *word == Word::Head);
            let grace = self.deployment.settings.drain_grace;
            // What an agent has counts at once; what a silent watch misses, after the same time as elsewhere.
            let within = if case.pushed && !watched { TOLD.min(grace + SLACK) } else { TOLD };
            self.answers = Some((from, from + within));
            self.log.push(format!("answers from {:.6} s on", (from - START) as f64 / 1e6));
        }
        self.going = Some(going);
        if let Some((_, timing)) = case.reload.filter(|(at, _)| *at == number) {
            set(&mut self.deployment, timing);
            self.feed(Input::Settings(Box::new(self.deployment.clone())));
        }
        if case.moves == Some(number) {
            self.feed(Input::DiscoveryMoved(std::net::SocketAddr::from(([127, 0, 0, 1], 4))));
        }
    }

    /// What comes next.
    fn step(&mut self) {
        let call_at = self.going.as_ref().map(|going| going.words.first().map_or(going.end.0, |word| word.0));
        let again_at = self.again.as_ref().map(|(at, _)| *at);
        let core_at = self.core.next_timeout().unwrap_or(Micros::MAX);
        let at = core_at.min(call_at.unwrap_or(Micros::MAX)).min(again_at.unwrap_or(Micros::MAX));
        self.now = self.now.max(at);
        if call_at == Some(at) {
            self.call_goes_on();
        } else if again_at == Some(at) {
            let (_, call) = self.again.take().unwrap();
            self.begin(call);
        } else {
            self.feed(Input::Wake);
        }
    }

    fn call_goes_on(&mut self) {
        let Some(going) = &mut self.going else { return };
        let era: DiscoveryEpoch = going.call.epoch;
        if !going.words.is_empty() {
            let (at, word) = going.words.remove(0);
            going.quiet_since = at;
            if word == Word::Change {
                let index = self.core.list_version().unwrap_or(0) + 1;
                self.feed(Input::List(era, EndpointList { index, snapshot: false, endpoints: Vec::new() }));
            }
            return;
        }
        let Some(Going { call, end: (_, end), quiet_since, .. }) = self.going.take() else { return };
        self.log.push(format!("{:.6} s: {end:?}", (self.now - START) as f64 / 1e6));
        match call.request {
            DiscoveryRequest::WatchAgent => {
                self.again = Some((self.now + call.timeouts.reconnect_delay, call));
            }
            _ => self.feed(Input::call_ended(end, era, self.now - quiet_since)),
        }
    }
}

fn set(deployment: &mut Deployment, timing: Timing) {
    deployment.settings.list_staleness_limit = timing.ask_within;
    deployment.settings.drain_grace = timing.drain_grace;
}

/// Plays a case until a call that is answered has begun, or could have.
fn heard_in_time(case: &Case) -> Result<(), TestCaseError> {
    let mut it = World::new(case);
    it.feed(Input::Wake);
    // More than all calls of a case may take.
    let longest = START + 300_000_000;
    while it.heard.is_none() && it.now < it.answers.map_or(longest, |(_, by)| by + 1) {
        it.step();
    }
    let Some((from, by)) = it.answers else {
        return Err(TestCaseError::fail(format!("no call for minutes: {:?}", it.log)));
    };
    prop_assert!(
        it.heard.is_some_and(|heard| heard <= by),
        "heard {:?} s after discovery answers, {} s allowed: {:#?}",
        it.heard.map(|heard| (heard - from) as f64 / 1e6),
        (by - from) as f64 / 1e6,
        it.log
    );
    Ok(())
}

fn timing() -> impl Strategy<Value = Timing> {
    let time = || {
        prop_oneof![
            proptest::sample::select(vec![1, 1_000_000, 4_000_000, 6_000_000, 10_000_000, 20_000_000, DAY]),
            (0.0..10.9f64).prop_map(|exponent| 10f64.powf(exponent) as Micros),
        ]
    };
    (time(), time(), any::<bool>()).prop_map(|(ask_within, grace, none)| Timing {
        ask_within,
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
    let answers = (0..6usize, prop_oneof![Just(0.0), Just(1.0), 0.0..1.0f64]);
    let reload = proptest::option::weighted(0.2, (0..4usize, timing()));
    let moves = proptest::option::weighted(0.2, 0..4usize);
    let failures = proptest::collection::vec(failure(), 1..4);
    (any::<bool>(), 0..1_000u64, timing(), reload, moves, failures, answers).prop_map(
        |(pushed, seed, timing, reload, moves, failures, answers)| Case {
            pushed,
            seed,
            timing,
            // Neither as the last call goes: what was asked before it is given up for it.
            reload: reload.filter(|(at, _)| *at < answers.0),
            moves: moves.filter(|at| *at < answers.0),
            failures,
            answers,
        },
    )
}

#[test]
fn whatever_the_settings_and_however_calls_fail_discovery_is_heard_before_a_change_counts_as_told() {
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let done = TestRunner::new_with_rng(config, rng).run(&case(), |case| heard_in_time(&case));
    if let Err(fault) = done {
        panic!("{fault}");
    }
}

/// The waits of a call that goes as badly as it can, in sum: the table of `docs/design/0009-crossings.md`.
#[test]
fn the_waits_of_a_call_that_is_given_up_leave_a_turn_before_the_change_counts_as_told() {
    for ask_within in [1, 1_000_000, 10_000_000, DAY] {
        for drain_grace in [0, 50_000, 500_000, DAY] {
            for ask_discovery in [true, false] {
                let settings = stonevane_policy::Settings {
                    poll_discovery: ask_discovery,
                    list_staleness_limit: ask_within,
                    drain_grace,
                    ..Default::default()
                };
                let waits = DiscoveryTimeouts::of(&settings);
                let longest = [Awaited::Connection, Awaited::Answer, Awaited::Line].map(|w| waits.limit(w));
                assert!(longest.iter().all(|wait| wait + waits.reconnect_delay + TURN <= TOLD), "{waits:?}");
            }
        }
    }
}
