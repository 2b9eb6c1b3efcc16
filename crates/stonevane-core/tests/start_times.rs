//! A wall clock that is wrong: servers in slow start are known for what they are all the same.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::*;
use stonevane_core::{Core, Endpoint, EndpointList, Input, LogLine, Output, Outputs};

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// By the settings' default.
const WARM_UP: u64 = 10 * SECOND;
/// By the time of those who write the list.
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

/// A fleet of servers that are warm, since long ago.
fn warm() -> Vec<Endpoint> {
    (1..=10).map(|number| endpoint(number, 0)).collect()
}

/// How many servers a list is said to have in slow start, by the log of a node that takes it.
fn in_slow_start(out: &Outputs) -> usize {
    let line = out.iter().rev().find_map(|output| match output {
        Output::Log(LogLine::Info(line)) if line.starts_with("list: ") => Some(line),
        _ => None,
    });
    let before = line.expect("a list was taken").split(" in slow start").next().unwrap();
    before.rsplit(' ').next().unwrap().parse().unwrap()
}

/// A node whose wall clock is off by this much, which starts with a list.
struct Node {
    core: Core,
    off: i64,
    out: Outputs,
}

impl Node {
    fn start(off: i64, known: Vec<Endpoint>) -> Node {
        let known = EndpointList { index: 1, snapshot: true, endpoints: known };
        let setup = stonevane_core::CoreConfig {
            cached_list: known,
            ..setup_with(false, 64, Duration::ZERO, |_| {})
        };
        let core = Core::new(NOW.saturating_add_signed(off), setup);
        let mut node = Node { core, off, out: Outputs::new() };
        node.at(NOW, Input::Wake);
        node
    }

    fn at(&mut self, time: u64, input: Input<'_>) {
        self.core.handle(time.saturating_add_signed(self.off), input, &mut self.out);
    }

    /// A change is told; how many servers of it are in slow start.
    fn change(&mut self, time: u64, index: u64, endpoints: Vec<Endpoint>) -> usize {
        self.at(time, Input::List(0, EndpointList { index, snapshot: false, endpoints }));
        in_slow_start(&self.out)
    }
}

/// How far a wall clock is stepped, in both directions.
fn steps() -> impl Iterator<Item = i64> {
    let ahead = [0, 8 * SECOND, 60 * SECOND, HOUR].map(|step| step as i64);
    ahead.into_iter().flat_map(|step| [step, -step])
}

#[test]
fn a_server_that_starts_is_in_slow_start_and_warm_in_time_whatever_the_wall_clock() {
    for off in steps() {
        let mut node = Node::start(off, warm());
        let started = NOW + 20 * SECOND;
        assert_eq!(node.change(started + SECOND, 2, vec![endpoint(3, started)]), 1, "off by {off} us");
        // Told again, with nothing new in it.
        let later = started + SECOND + WARM_UP / 2;
        assert_eq!(node.change(later, 3, vec![endpoint(3, started)]), 1, "off by {off} us");
        let warm = started + 2 * SECOND + WARM_UP;
        assert_eq!(node.change(warm, 4, vec![endpoint(3, started)]), 0, "off by {off} us");
        // And started once more, at once.
        let again = warm + SECOND;
        assert_eq!(node.change(again + SECOND, 5, vec![endpoint(3, again)]), 1, "off by {off} us");
    }
}

#[test]
fn a_node_that_starts_in_a_release_knows_the_servers_in_slow_start_whatever_its_wall_clock() {
    for off in steps() {
        let mut known = warm();
        known[2] = endpoint(3, NOW - SECOND);
        known[3] = endpoint(4, NOW - 2 * SECOND);
        known[4] = endpoint(5, NOW - HOUR / 2);
        let mut node = Node::start(off, known);
        // To a clock that is behind, also the one that started half an hour ago starts in the future, and so now.
        let more = usize::from(off < -((HOUR / 2) as i64));
        assert_eq!(in_slow_start(&node.out), 2 + more, "off by {off} us");
        let warm = NOW + WARM_UP;
        assert_eq!(node.change(warm, 2, vec![endpoint(3, NOW - SECOND)]), 0, "off by {off} us");
    }
}

#[test]
fn a_fleet_that_was_started_whole_an_hour_ago_is_warm_to_a_node_that_starts() {
    let known = (1..=10).map(|number| endpoint(number, NOW - HOUR)).collect();
    assert_eq!(in_slow_start(&Node::start(0, known).out), 0);
}

#[test]
fn times_that_no_clock_shows_are_borne() {
    for started in [1_000, u64::MAX, NOW + 100 * HOUR] {
        let mut node = Node::start(0, warm());
        assert_eq!(node.change(NOW + SECOND, 2, vec![endpoint(3, started)]), 1, "in doubt it starts now");
        assert_eq!(node.change(NOW + 2 * SECOND, 3, vec![endpoint(4, NOW)]), 1, "and so it is with no other");
    }
}
