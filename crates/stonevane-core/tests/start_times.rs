//! A wall clock that is wrong: servers in slow start are recognized all the same.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::*;
use stonevane_core::{Core, Endpoint, EndpointList, Input, LogLine, Output, Outputs};

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// By the settings' default.
const WARM_UP: u64 = 10 * SECOND;
/// By the clock of discovery.
const NOW: u64 = START + 10 * HOUR;

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

/// Servers that were started long ago.
fn warm() -> Vec<Endpoint> {
    (1..=10).map(|number| endpoint(number, 0)).collect()
}

/// How many servers of the last list are in slow start, by the node's log.
fn in_slow_start(out: &Outputs) -> usize {
    let line = out.iter().rev().find_map(|output| match output {
        Output::Log(LogLine::Info(line)) if line.starts_with("list: ") => Some(line),
        _ => None,
    });
    let before = line.expect("a list was taken").split(" in slow start").next().unwrap();
    before.rsplit(' ').next().unwrap().parse().unwrap()
}

/// A node whose wall clock has an offset, which starts with a cached list.
struct Node {
    core: Core,
    clock_offset: i64,
    out: Outputs,
}

impl Node {
    fn start(clock_offset: i64, endpoints: Vec<Endpoint>) -> Node {
        let endpoints = EndpointList { index: 1, snapshot: true, endpoints };
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

    /// Applies a delta; returns how many of its servers are in slow start.
    fn apply_delta(&mut self, time: u64, index: u64, endpoints: Vec<Endpoint>) -> usize {
        self.handle_at(time, Input::List(0, EndpointList { index, snapshot: false, endpoints }));
        in_slow_start(&self.out)
    }
}

/// Offsets of the wall clock, in both directions.
fn steps() -> impl Iterator<Item = i64> {
    let ahead = [0, 8 * SECOND, 60 * SECOND, HOUR].map(|step| step as i64);
    ahead.into_iter().flat_map(|step| [step, -step])
}

#[test]
fn a_server_that_starts_is_in_slow_start_and_warm_in_time_whatever_the_wall_clock() {
    for clock_offset in steps() {
        let mut node = Node::start(clock_offset, warm());
        let started = NOW + 20 * SECOND;
        assert_eq!(
            node.apply_delta(started + SECOND, 2, vec![endpoint(3, started)]),
            1,
            "off by {clock_offset} us"
        );
        // Listed again, unchanged.
        let later = started + SECOND + WARM_UP / 2;
        assert_eq!(node.apply_delta(later, 3, vec![endpoint(3, started)]), 1, "off by {clock_offset} us");
        let warm = started + 2 * SECOND + WARM_UP;
        assert_eq!(node.apply_delta(warm, 4, vec![endpoint(3, started)]), 0, "off by {clock_offset} us");
        // And restarted.
        let again = warm + SECOND;
        assert_eq!(
            node.apply_delta(again + SECOND, 5, vec![endpoint(3, again)]),
            1,
            "off by {clock_offset} us"
        );
    }
}

#[test]
fn a_node_that_starts_during_a_release_recognizes_servers_in_slow_start_whatever_its_wall_clock() {
    for clock_offset in steps() {
        let mut endpoints = warm();
        endpoints[2] = endpoint(3, NOW - SECOND);
        endpoints[3] = endpoint(4, NOW - 2 * SECOND);
        endpoints[4] = endpoint(5, NOW - HOUR / 2);
        let mut node = Node::start(clock_offset, endpoints);
        // By a clock that is behind, the one that started half an hour ago starts in the future, which counts as now.
        let more = usize::from(clock_offset < -((HOUR / 2) as i64));
        assert_eq!(in_slow_start(&node.out), 2 + more, "off by {clock_offset} us");
        let warm = NOW + WARM_UP;
        assert_eq!(node.apply_delta(warm, 2, vec![endpoint(3, NOW - SECOND)]), 0, "off by {clock_offset} us");
    }
}

#[test]
fn servers_that_were_all_started_an_hour_ago_are_warm_to_a_node_that_starts() {
    let endpoints = (1..=10).map(|number| endpoint(number, NOW - HOUR)).collect();
    assert_eq!(in_slow_start(&Node::start(0, endpoints).out), 0);
}

#[test]
fn implausible_start_times_are_tolerated() {
    for started in [1_000, u64::MAX, NOW + 100 * HOUR] {
        let mut node = Node::start(0, warm());
        assert_eq!(
            node.apply_delta(NOW + SECOND, 2, vec![endpoint(3, started)]),
            1,
            "in doubt it starts now"
        );
        assert_eq!(
            node.apply_delta(NOW + 2 * SECOND, 3, vec![endpoint(4, NOW)]),
            1,
            "and so it is with no other"
        );
    }
}
