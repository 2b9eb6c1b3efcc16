//! The first calls to discovery of nodes that start together: soon enough for each, and not too many at once for the
//! service that all share.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{START, core_seeded};
use stonevane_core::{Core, DiscoveryCall, DiscoveryRequest, Input, Output, Outputs};
use stonevane_policy::Micros;
use stonevane_server_model::service::Turns;

const SECOND: Micros = 1_000_000;
/// What discovery has to tell counts as told so much later at the latest (protocol).
const TOLD: Micros = 6 * SECOND;
/// A call that waits for longer fails, and is worked off all the same.
const GIVEN_UP: Micros = 2 * SECOND;
/// Calls are turned away where the work ahead of them takes longer.
const MOST_AHEAD: Micros = 6 * SECOND;

/// Nodes that share discovery.
const NODES: u32 = 100;

/// A node of many that asks discovery, and knows a list.
fn node(seed: u64, ask_within: Micros) -> Core {
    node_of(NODES, seed, ask_within)
}

fn node_of(nodes: u32, seed: u64, ask_within: Micros) -> Core {
    core_seeded(seed, false, 64, Duration::ZERO, |differs| {
        differs.settings.poll_discovery = true;
        differs.settings.nodes = nodes;
        differs.settings.list_staleness_limit = ask_within;
    })
}

/// The watches that an input opens.
fn watches(core: &mut Core, now: Micros, input: Input<'_>) -> Vec<DiscoveryCall> {
    let mut out = Outputs::new();
    core.handle(now, input, &mut out);
    let opened = |output| match output {
        Output::Discovery(call) if matches!(call.request, DiscoveryRequest::Watch { .. }) => Some(call),
        _ => None,
    };
    out.into_iter().filter_map(opened).collect()
}

/// When a node that starts now opens watches, up to a time.
fn opens(core: &mut Core, until: Micros) -> Vec<Micros> {
    let mut opened = Vec::new();
    let mut now = START;
    while now <= until {
        opened.extend(watches(core, now, Input::Wake).iter().map(|_| now));
        now = core.next_timeout().unwrap_or(Micros::MAX).max(now + 1);
    }
    opened
}

#[test]
fn of_many_that_start_together_nearly_all_are_answered_in_time() {
    // 40 of 100 nodes are killed and start anew; discovery takes a call of each of the 100 in 7 s.
    let (nodes, takes) = (40, 70_000);
    for fleet in 0..10 {
        let first = |seed| opens(&mut node(seed, 10 * SECOND), START + TOLD)[0];
        let mut calls: Vec<Micros> = (0..nodes).map(|number| first(fleet * 1_000 + number)).collect();
        calls.sort_unstable();
        let mut turns = Turns::default();
        let mut in_time =
            |call: &&Micros| turns.take(**call, takes, MOST_AHEAD).is_some_and(|at| at <= **call + GIVEN_UP);
        let answered = calls.iter().filter(&mut in_time).count();
        assert!(answered >= 36, "fleet {fleet}: {answered} of {nodes}; all at once it would be 28");
    }
}

#[test]
fn the_first_call_is_made_once_and_early_enough_for_its_turn() {
    for ask_within in [1, SECOND, 10 * SECOND, 86_400 * SECOND] {
        for seed in 0..50 {
            let opened = opens(&mut node(seed, ask_within), START + TOLD);
            let [at] = opened[..] else { panic!("{ask_within} {seed}: {opened:?}") };
            let waited = at - START;
            assert!(
                waited <= ask_within / 4 + 1,
                "{ask_within} {seed}: a short time is hardly used up: {waited}"
            );
            assert!(waited + 3 * SECOND < TOLD, "{ask_within} {seed}: three seconds are left for its turn");
        }
    }
}

#[test]
fn a_node_that_is_the_only_one_calls_at_once() {
    for seed in 0..50 {
        assert_eq!(opens(&mut node_of(1, seed, 10 * SECOND), START + TOLD), [START]);
    }
}

#[test]
fn a_node_that_is_moved_before_its_first_call_calls_there_at_once_and_only_there() {
    let elsewhere = SocketAddr::from(([127, 0, 0, 1], 4));
    for seed in 0..50 {
        let mut core = node(seed, 10 * SECOND);
        if !watches(&mut core, START, Input::Wake).is_empty() {
            continue;
        }
        let opened = watches(&mut core, START + 1, Input::DiscoveryMoved(elsewhere));
        assert!(
            matches!(opened[..], [DiscoveryCall { address, .. }] if address == elsewhere),
            "{seed}: {opened:?}"
        );
        assert!(opens(&mut core, START + TOLD).is_empty(), "{seed}: no call beside it");
    }
}
