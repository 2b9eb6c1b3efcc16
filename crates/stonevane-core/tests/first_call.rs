//! First calls to discovery of nodes that start together: early enough for each, and not too many at once for the
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
/// A change counts as notified so much later at the latest (protocol).
const NOTIFIED: Micros = 6 * SECOND;
/// A call that waits for longer fails, and is still worked off by the service.
const ANSWER_TIMEOUT: Micros = 2 * SECOND;
/// Calls are rejected where the queue ahead of them takes longer.
const MAX_QUEUE: Micros = 6 * SECOND;

/// Nodes that share discovery.
const NODES: u32 = 100;

/// A node of many that polls discovery, and has a cached list.
fn node(seed: u64, list_staleness_limit: Micros) -> Core {
    node_of(NODES, seed, list_staleness_limit)
}

fn node_of(nodes: u32, seed: u64, list_staleness_limit: Micros) -> Core {
    core_seeded(seed, false, 64, Duration::ZERO, |deployment| {
        deployment.settings.poll_discovery = true;
        deployment.settings.nodes = nodes;
        deployment.settings.list_staleness_limit = list_staleness_limit;
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
fn watch_times(core: &mut Core, until: Micros) -> Vec<Micros> {
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
    // 40 of 100 nodes are killed and restart; discovery answers a call of each of the 100 in 7 s.
    let (nodes, service_time) = (40, 70_000);
    for fleet in 0..10 {
        let first = |seed| watch_times(&mut node(seed, 10 * SECOND), START + NOTIFIED)[0];
        let mut calls: Vec<Micros> = (0..nodes).map(|number| first(fleet * 1_000 + number)).collect();
        calls.sort_unstable();
        let mut turns = Turns::default();
        let mut in_time = |call: &&Micros| {
            turns.take(**call, service_time, MAX_QUEUE).is_some_and(|at| at <= **call + ANSWER_TIMEOUT)
        };
        let answered = calls.iter().filter(&mut in_time).count();
        assert!(answered >= 36, "fleet {fleet}: {answered} of {nodes}; all at once it would be 28");
    }
}

#[test]
fn the_first_call_is_made_once_and_early_enough_for_its_turn() {
    for list_staleness_limit in [1, SECOND, 10 * SECOND, 86_400 * SECOND] {
        for seed in 0..50 {
            let opened = watch_times(&mut node(seed, list_staleness_limit), START + NOTIFIED);
            let [at] = opened[..] else { panic!("{list_staleness_limit} {seed}: {opened:?}") };
            let waited = at - START;
            assert!(
                waited <= list_staleness_limit / 4 + 1,
                "{list_staleness_limit} {seed}: a short time is hardly used up: {waited}"
            );
            assert!(
                waited + 3 * SECOND < NOTIFIED,
                "{list_staleness_limit} {seed}: three seconds are left for its turn"
            );
        }
    }
}

#[test]
fn the_only_node_calls_at_once() {
    for seed in 0..50 {
        assert_eq!(watch_times(&mut node_of(1, seed, 10 * SECOND), START + NOTIFIED), [START]);
    }
}

#[test]
fn a_node_whose_discovery_moves_before_its_first_call_calls_there_at_once_and_only_there() {
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
        assert!(watch_times(&mut core, START + NOTIFIED).is_empty(), "{seed}: no call beside it");
    }
}
