//! Start times of servers at a node whose wall clock is wrong. Discovery states start times by its own clock.
//! Guards against a node that compares them with its own clock, so that a server in slow start counts as
//! warmed up, or the reverse.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::*;
use stonevane_core::{Core, Endpoint, EndpointList, Input, LogLine, Output, Outputs};

const SECOND_US: u64 = 1_000_000;
const HOUR_US: u64 = 3_600 * SECOND_US;
/// Duration of slow start under the default settings, in microseconds.
const SLOW_START_US: u64 = 10 * SECOND_US;
/// Start of the tests by the clock of discovery.
const NOW: u64 = START + 10 * HOUR_US;

fn endpoint(number: u16, started: u64) -> Endpoint {
    Endpoint {
        name: format!("cache-{number}"),
        address: format!("127.0.0.1:{}", 100 + number),
        zone: "a".into(),
        kind: "cache".into(),
        group: 0,
        status: "active".into(),
        weight: 1.0,
        since_ms: started / 1_000,
    }
}

/// Servers that started long ago.
fn warmed_up() -> Vec<Endpoint> {
    (1..=10).map(|number| endpoint(number, 0)).collect()
}

/// Number of servers of the last list in slow start, according to the node's log.
fn in_slow_start(out: &Outputs) -> usize {
    let line = out.iter().rev().find_map(|output| match output {
        Output::Log(LogLine::Info(line)) if line.starts_with("list: ") => Some(line),
        _ => None,
    });
    let up_to_count = line.expect("no list was applied").split(" in slow start").next().unwrap();
    up_to_count.rsplit(' ').next().unwrap().parse().unwrap()
}

/// A node that starts with a cached list and whose wall clock is off.
struct Node {
    core: Core,
    clock_offset: i64,
    out: Outputs,
}

impl Node {
    fn start(clock_offset: i64, endpoints: Vec<Endpoint>) -> Node {
        let endpoints = EndpointList { version: 1, snapshot: true, endpoints };
        let config = stonevane_core::CoreConfig {
            cached_list: endpoints,
            ..config_with(false, 64, Duration::ZERO, |_| {})
        };
        let core = Core::new(NOW.saturating_add_signed(clock_offset), config);
        let mut node = Node { core, clock_offset, out: Outputs::new() };
        node.handle_at(NOW, Input::Wake);
        node
    }

    fn handle_at(&mut self, time: u64, input: Input<'_>) {
        self.core.handle(time.saturating_add_signed(self.clock_offset), input, &mut self.out);
    }

    /// Applies a delta. Returns how many servers of the delta are in slow start.
    fn apply_delta(&mut self, time: u64, version: u64, endpoints: Vec<Endpoint>) -> usize {
        self.handle_at(time, Input::List(0, EndpointList { version, snapshot: false, endpoints }));
        in_slow_start(&self.out)
    }
}

/// Offsets of the wall clock in both directions, in microseconds.
fn clock_offsets() -> impl Iterator<Item = i64> {
    let ahead = [0, 8 * SECOND_US, 60 * SECOND_US, HOUR_US].map(|offset| offset as i64);
    ahead.into_iter().flat_map(|offset| [offset, -offset])
}

#[test]
fn a_server_that_starts_is_in_slow_start_and_warms_up_in_time_for_any_wall_clock_offset() {
    for clock_offset in clock_offsets() {
        let mut node = Node::start(clock_offset, warmed_up());
        let started = NOW + 20 * SECOND_US;
        assert_eq!(
            node.apply_delta(started + SECOND_US, 2, vec![endpoint(3, started)]),
            1,
            "off by {clock_offset} us"
        );
        // The same server is listed again without a change.
        let later = started + SECOND_US + SLOW_START_US / 2;
        assert_eq!(node.apply_delta(later, 3, vec![endpoint(3, started)]), 1, "off by {clock_offset} us");
        let warmed_up = started + 2 * SECOND_US + SLOW_START_US;
        assert_eq!(node.apply_delta(warmed_up, 4, vec![endpoint(3, started)]), 0, "off by {clock_offset} us");
        // The server has restarted.
        let restarted = warmed_up + SECOND_US;
        assert_eq!(
            node.apply_delta(restarted + SECOND_US, 5, vec![endpoint(3, restarted)]),
            1,
            "off by {clock_offset} us"
        );
    }
}

#[test]
fn a_node_that_starts_during_a_release_recognizes_servers_in_slow_start_for_any_wall_clock_offset() {
    for clock_offset in clock_offsets() {
        let mut endpoints = warmed_up();
        endpoints[2] = endpoint(3, NOW - SECOND_US);
        endpoints[3] = endpoint(4, NOW - 2 * SECOND_US);
        endpoints[4] = endpoint(5, NOW - HOUR_US / 2);
        let mut node = Node::start(clock_offset, endpoints);
        // If the clock is more than half an hour behind, the server that started half an hour ago has a start
        // time in the future, which counts as now.
        let future_starts = usize::from(clock_offset < -((HOUR_US / 2) as i64));
        assert_eq!(in_slow_start(&node.out), 2 + future_starts, "off by {clock_offset} us");
        let warmed_up = NOW + SLOW_START_US;
        assert_eq!(
            node.apply_delta(warmed_up, 2, vec![endpoint(3, NOW - SECOND_US)]),
            0,
            "off by {clock_offset} us"
        );
    }
}

#[test]
fn servers_that_all_started_an_hour_ago_are_warmed_up_for_a_node_that_starts() {
    let endpoints = (1..=10).map(|number| endpoint(number, NOW - HOUR_US)).collect();
    assert_eq!(in_slow_start(&Node::start(0, endpoints).out), 0);
}

#[test]
fn implausible_start_times_are_tolerated() {
    for started in [1_000, u64::MAX, NOW + 100 * HOUR_US] {
        let mut node = Node::start(0, warmed_up());
        assert_eq!(
            node.apply_delta(NOW + SECOND_US, 2, vec![endpoint(3, started)]),
            1,
            "an implausible start time counts as now"
        );
        assert_eq!(
            node.apply_delta(NOW + 2 * SECOND_US, 3, vec![endpoint(4, NOW)]),
            1,
            "it affects the start time of another server"
        );
    }
}
