//! Start time of a node's first call to discovery. Guards against nodes that start together and overload the
//! discovery service with simultaneous calls, and against a first call so late that the node misses the
//! notification limit for the next change of the list.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{START, core_seeded};
use stonevane_core::{Core, DiscoveryCall, DiscoveryRequest, Input, Output, Outputs};
use stonevane_policy::Micros;
use stonevane_server_model::service::CallQueue;

const SECOND: Micros = 1_000_000;
/// Latest time after a change at which the protocol counts the node as notified, in microseconds.
const MAX_NOTIFICATION_DELAY: Micros = 6 * SECOND;
/// Timeout of a call, in microseconds. The service still processes a call that has timed out.
const ANSWER_TIMEOUT: Micros = 2 * SECOND;
/// Processing time of the calls in the service's queue, in microseconds, above which it rejects a further
/// call.
const MAX_QUEUE_TIME: Micros = 6 * SECOND;

/// Number of nodes that share the discovery service.
const NODES: u32 = 100;

/// One of [`NODES`] nodes, which polls discovery and has a cached list.
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

/// Handles an input and returns the watches that are opened.
fn watches(core: &mut Core, now: Micros, input: Input<'_>) -> Vec<DiscoveryCall> {
    let mut out = Outputs::new();
    core.handle(now, input, &mut out);
    let opened = |output| match output {
        Output::Discovery(call) if matches!(call.request, DiscoveryRequest::Watch { .. }) => Some(call),
        _ => None,
    };
    out.into_iter().filter_map(opened).collect()
}

/// Times at which a node that starts at [`START`] opens watches, up to `until`.
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
fn nearly_all_nodes_that_start_together_are_answered_in_time() {
    // 40 of 100 nodes are killed and restart. Discovery needs 70 ms for each call, 7 s for the calls of 100
    // nodes.
    let (nodes, service_time) = (40, 70_000);
    for fleet in 0..10 {
        let first = |seed| watch_times(&mut node(seed, 10 * SECOND), START + MAX_NOTIFICATION_DELAY)[0];
        let mut calls: Vec<Micros> = (0..nodes).map(|number| first(fleet * 1_000 + number)).collect();
        calls.sort_unstable();
        let mut service_queue = CallQueue::default();
        let mut in_time = |call: &&Micros| {
            service_queue
                .enqueue(**call, service_time, MAX_QUEUE_TIME)
                .is_some_and(|at| at <= **call + ANSWER_TIMEOUT)
        };
        let answered = calls.iter().filter(&mut in_time).count();
        assert!(
            answered >= 36,
            "fleet {fleet}: {answered} of {nodes} answered in time; with simultaneous calls it would be 28"
        );
    }
}

#[test]
fn the_first_call_is_made_once_and_early_enough_to_be_answered_in_time() {
    for list_staleness_limit in [1, SECOND, 10 * SECOND, 86_400 * SECOND] {
        for seed in 0..50 {
            let opened = watch_times(&mut node(seed, list_staleness_limit), START + MAX_NOTIFICATION_DELAY);
            let [at] = opened[..] else {
                panic!("staleness limit {list_staleness_limit}, seed {seed}: {opened:?}")
            };
            let delay = at - START;
            assert!(
                delay <= list_staleness_limit / 4 + 1,
                "staleness limit {list_staleness_limit}, seed {seed}: the delay uses up more than a quarter: {delay}"
            );
            assert!(
                delay + 3 * SECOND < MAX_NOTIFICATION_DELAY,
                "staleness limit {list_staleness_limit}, seed {seed}: less than 3 s are left for the answer"
            );
        }
    }
}

#[test]
fn a_single_node_calls_at_once() {
    for seed in 0..50 {
        assert_eq!(watch_times(&mut node_of(1, seed, 10 * SECOND), START + MAX_NOTIFICATION_DELAY), [START]);
    }
}

#[test]
fn when_discovery_moves_before_the_first_call_only_the_new_service_is_called_at_once() {
    let new_address = SocketAddr::from(([127, 0, 0, 1], 4));
    for seed in 0..50 {
        let mut core = node(seed, 10 * SECOND);
        if !watches(&mut core, START, Input::Wake).is_empty() {
            continue;
        }
        let opened = watches(&mut core, START + 1, Input::DiscoveryMoved(new_address));
        assert!(
            matches!(opened[..], [DiscoveryCall { address, .. }] if address == new_address),
            "seed {seed}: {opened:?}"
        );
        assert!(
            watch_times(&mut core, START + MAX_NOTIFICATION_DELAY).is_empty(),
            "seed {seed}: another call was made"
        );
    }
}
