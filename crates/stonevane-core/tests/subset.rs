//! The endpoint subset in the core: which servers are used, and that state of servers outside it is kept.
#![allow(missing_docs)]

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use common::{HIT, START, config_with, get};
use stonevane_config::operator::{Region, Regions};
use stonevane_core::{ConnId, Core, Endpoint, EndpointList, Input, LogLine, Output, Outputs};

/// A server of the list, named by its port; 900 is the origin's.
fn endpoint(port: u16, zone: &str, status: &str) -> Endpoint {
    Endpoint {
        name: format!("s-{port}"),
        address: SocketAddr::from(([127, 0, 0, 1], port)).to_string(),
        zone: zone.into(),
        kind: if port == ORIGIN { "origin" } else { "cache" }.into(),
        group: 0,
        status: status.into(),
        weight: 1.0,
        since_ms: 0,
    }
}

const ORIGIN: u16 = 900;

/// Two caches in the south (zones a and b) and two in the north (c).
fn all() -> Vec<Endpoint> {
    let caches = [(101, "a"), (102, "b"), (201, "c"), (202, "c"), (ORIGIN, "a")];
    caches.map(|(port, zone)| endpoint(port, zone, "active")).into()
}

fn regions(least: usize) -> Regions {
    let region = |name: &str, zones: &[&str]| Region {
        name: name.into(),
        zones: zones.iter().map(std::string::ToString::to_string).collect(),
    };
    Regions { home: region("south", &["a", "b"]), others: vec![region("north", &["c"])], nodes: 2, least }
}

/// A core whose servers accept connections at once, and reply when the test says so.
struct Harness {
    core: Core,
    now: u64,
    requests_sent: u64,
    client: ConnId,
    /// The port of each server connection.
    ports: BTreeMap<ConnId, u16>,
    /// Server connections whose reply is awaited.
    awaiting_reply: Vec<ConnId>,
    /// The port of each attempt.
    attempt_ports: Vec<u16>,
    served: usize,
    region_log: Vec<String>,
}

impl Harness {
    fn new(regions: Option<Regions>, endpoints: Vec<Endpoint>) -> Harness {
        Harness::with_nodes(4, regions, endpoints)
    }

    /// A node among so many, each with 50 requests a second as its share of the quota.
    fn with_nodes(nodes: u32, regions: Option<Regions>, endpoints: Vec<Endpoint>) -> Harness {
        let mut config = config_with(false, 256, Duration::from_micros(1_000), |deployment| {
            deployment.settings.nodes = nodes;
            deployment.settings.tenants[0].quota_per_s = 50.0 * f64::from(nodes);
            deployment.zones = ["a", "b", "c"].map(String::from).into();
        });
        config.cached_list = EndpointList { index: 1, snapshot: true, endpoints };
        config.regions = regions;
        let mut harness = Harness {
            core: Core::new(START, config),
            now: START,
            requests_sent: 0,
            client: 0,
            ports: BTreeMap::new(),
            awaiting_reply: Vec::new(),
            attempt_ports: Vec::new(),
            served: 0,
            region_log: Vec::new(),
        };
        harness.client = harness.core.next_connection_id();
        harness.feed(Input::Accepted(harness.client));
        harness
    }

    fn feed(&mut self, input: Input<'_>) {
        let mut outputs = Outputs::new();
        self.core.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Open(id, address) => {
                    self.ports.insert(id, address.port());
                    self.feed(Input::Opened(id));
                }
                Output::WriteRequest { id, .. } => {
                    self.attempt_ports.push(self.ports[&id]);
                    self.awaiting_reply.push(id);
                    self.feed(Input::Flushed(id));
                }
                Output::Close(id) => drop(self.ports.remove(&id)),
                Output::Write(id, bytes) => {
                    assert_eq!(&bytes[..], b"$5\r\nvalue\r\n");
                    self.served += 1;
                    self.feed(Input::Flushed(id));
                }
                Output::Log(LogLine::Info(line)) if line.starts_with("regions: ") => {
                    self.region_log.push(line);
                }
                _ => {}
            }
        }
    }

    /// Sends a read of a new key, whose reply is left open.
    fn send_request(&mut self) {
        self.requests_sent += 1;
        let key = format!("{:06}", self.requests_sent);
        self.feed(Input::Bytes(self.client, &get(&key, &key)));
    }

    fn reply_to_all(&mut self) {
        for id in std::mem::take(&mut self.awaiting_reply) {
            self.feed(Input::Bytes(id, HIT));
        }
    }

    /// The ports that so many reads go to, one after another.
    fn ports_used_by(&mut self, reads: usize) -> BTreeSet<u16> {
        self.attempt_ports.clear();
        for _ in 0..reads {
            self.now += 20_000;
            self.feed(Input::Wake);
            let before = self.served;
            self.send_request();
            self.reply_to_all();
            assert_eq!(self.served, before + 1, "each read is served: {:?}", self.attempt_ports);
        }
        self.attempt_ports.iter().copied().collect()
    }

    fn apply_list(&mut self, index: u64, snapshot: bool, endpoints: Vec<Endpoint>) {
        self.feed(Input::List(0, EndpointList { index, snapshot, endpoints }));
    }

    fn apply_delta(&mut self, index: u64, endpoint: Endpoint) {
        self.apply_list(index, false, vec![endpoint]);
    }

    /// The ports of all server connections.
    fn connected(&self) -> BTreeSet<u16> {
        self.ports.values().copied().collect()
    }
}

fn set<const N: usize>(ports: [u16; N]) -> BTreeSet<u16> {
    ports.into()
}

const MANY: usize = 200;
/// Reads until a server that starts with the first of them is warm.
const WARM_UP: usize = 600;

#[test]
fn without_regions_all_cache_servers_are_used_and_none_are_reported() {
    let mut harness = Harness::new(None, all());
    assert_eq!(harness.ports_used_by(MANY), set([101, 102, 201, 202]));
    assert!(harness.core.report().regions.is_none() && harness.region_log.is_empty());
}

#[test]
fn only_the_cache_servers_of_its_region_are_used() {
    let mut harness = Harness::new(Some(regions(1)), all());
    assert_eq!(harness.ports_used_by(MANY), set([101, 102]));
    assert_eq!(harness.connected(), set([101, 102]));
    let report = harness.core.report();
    assert_eq!(report.cache_servers_known, 4, "the whole list is held");
    let regions = report.regions.unwrap();
    assert_eq!((regions.home.as_str(), regions.regions_in_use, regions.usable), ("south", 1, 2));
    assert_eq!(harness.region_log, ["regions: south has 2 usable cache servers: no other region is used"]);
}

#[test]
fn the_origin_is_always_used_whatever_its_zone() {
    let mut endpoints = all();
    endpoints.iter_mut().filter(|server| server.name == "s-900").for_each(|origin| origin.zone = "c".into());
    let mut harness = Harness::new(Some(regions(1)), endpoints);
    harness.send_request();
    let cache = harness.awaiting_reply.pop().unwrap();
    // A miss.
    harness.feed(Input::Bytes(cache, b"*3\r\n$-1\r\n$-1\r\n$-1\r\n"));
    assert_eq!(harness.attempt_ports.last(), Some(&ORIGIN));
}

#[test]
fn a_lost_region_is_replaced_without_a_call_to_discovery_and_returned_to() {
    let mut harness = Harness::new(Some(regions(1)), all());
    harness.ports_used_by(MANY);
    harness.apply_delta(2, endpoint(101, "a", "left"));
    assert_eq!(harness.ports_used_by(MANY), set([102]), "one is enough");
    harness.apply_delta(3, endpoint(102, "b", "left"));
    assert_eq!(harness.ports_used_by(MANY), set([201, 202]));
    let figures = harness.core.report().regions.unwrap();
    assert_eq!(
        (figures.regions_in_use, figures.fallbacks, figures.since_ms),
        (2, 1, (START + 8_000_000) / 1_000)
    );
    harness.apply_delta(4, endpoint(101, "a", "active"));
    assert_eq!(
        harness.ports_used_by(MANY),
        set([101, 201, 202]),
        "one of two that there were: not yet enough to return"
    );
    harness.apply_delta(5, endpoint(102, "b", "active"));
    assert_eq!(harness.ports_used_by(MANY), set([101, 102]));
    assert_eq!(harness.connected(), set([101, 102]), "its idle connections to the north are closed");
    assert_eq!(
        harness.region_log[1..],
        [
            "regions: south has 0 usable cache servers, too few with at least 1 wanted: \
             also used is north (2 usable cache servers)",
            "regions: south has 2 usable cache servers: no other region is used",
        ]
    );
}

#[test]
fn a_request_in_flight_at_a_server_that_leaves_the_subset_goes_on() {
    let mut harness = Harness::new(Some(regions(1)), all());
    harness.apply_delta(2, endpoint(101, "a", "left"));
    harness.apply_delta(3, endpoint(102, "b", "left"));
    harness.ports_used_by(1);
    harness.now += 20_000;
    harness.send_request();
    assert!(harness.attempt_ports.last().is_some_and(|port| *port > 200));
    harness.apply_list(4, true, all());
    assert_eq!(harness.connected().len(), 1, "the one with the request stands");
    let served = harness.served;
    harness.reply_to_all();
    assert_eq!(harness.served, served + 1);
    assert_eq!(harness.connected(), set([]), "and is not kept then");
    assert_eq!(harness.attempt_ports.len(), 2, "it was sent once");
    assert_eq!(harness.ports_used_by(MANY), set([101, 102]));
}

#[test]
fn a_drain_of_a_server_outside_the_subset_holds_when_it_enters() {
    let mut harness = Harness::new(Some(regions(1)), all());
    harness.apply_delta(2, endpoint(201, "c", "leaving"));
    harness.ports_used_by(MANY);
    // A full list from before the drain does not undo it, neither while the server is outside ...
    harness.apply_list(1, true, all());
    harness.apply_delta(3, endpoint(101, "a", "leaving"));
    harness.apply_delta(4, endpoint(102, "b", "leaving"));
    assert_eq!(harness.ports_used_by(MANY), set([202]));
    // ... nor inside.
    let mut before = all();
    before.retain(|server| server.zone == "c" || server.name == "s-900");
    harness.apply_list(1, true, before);
    assert_eq!(harness.ports_used_by(MANY), set([202]));
}

#[test]
fn an_excluded_server_is_unused_inside_and_outside_and_does_not_count() {
    let mut harness = Harness::new(Some(regions(1)), all());
    harness.feed(Input::Exclude("s-201".into(), true));
    harness.feed(Input::Exclude("s-101".into(), true));
    assert_eq!(harness.ports_used_by(MANY), set([102]));
    harness.feed(Input::Exclude("s-102".into(), true));
    assert_eq!(harness.ports_used_by(MANY), set([202]), "none of its region is left to use");
    harness.feed(Input::Exclude("s-101".into(), false));
    harness.feed(Input::Exclude("s-102".into(), false));
    harness.ports_used_by(WARM_UP);
    assert_eq!(harness.ports_used_by(MANY), set([101, 102]));
}

#[test]
fn a_restart_of_a_server_outside_the_subset_holds_when_it_enters() {
    let mut harness = Harness::new(Some(regions(1)), all());
    harness.ports_used_by(MANY);
    harness.apply_delta(2, Endpoint { since_ms: harness.now / 1_000, ..endpoint(201, "c", "active") });
    harness.apply_delta(3, endpoint(101, "a", "left"));
    harness.apply_delta(4, endpoint(102, "b", "left"));
    harness.ports_used_by(MANY / 2);
    let cold = harness.attempt_ports.iter().filter(|port| **port == 201).count();
    // Half of the keys are its own; a cold server gets a part of them.
    assert!(cold < MANY / 8, "{cold} of {} went to the cold one", MANY / 2);
}

/// How many reads of a node among 400 go to a restarted server, of its region or of the one that it falls back on. So
/// many more servers are in a region that it does not use.
fn requests_to_cold(fallback: bool, elsewhere: u16) -> usize {
    let mut endpoints = all();
    endpoints.extend((0..elsewhere).map(|number| endpoint(300 + number, "d", "active")));
    let mut regions = regions(1);
    regions.others.push(Region { name: "east".into(), zones: vec!["d".into()] });
    // By its name, it comes after the north in the order of node 0.
    let mut harness = Harness::with_nodes(400, Some(regions), endpoints);
    harness.ports_used_by(10);
    if fallback {
        harness.apply_delta(2, endpoint(101, "a", "left"));
        harness.apply_delta(3, endpoint(102, "b", "left"));
        assert!(harness.core.report().regions.unwrap().in_use.contains_key("north"));
    }
    let (cold, zone) = if fallback { (201, "c") } else { (101, "a") };
    harness.apply_delta(4, Endpoint { since_ms: harness.now / 1_000, ..endpoint(cold, zone, "active") });
    harness.ports_used_by(MANY);
    harness.attempt_ports.iter().filter(|port| **port == cold).count()
}

#[test]
fn a_cold_server_gets_the_shares_of_its_regions_nodes_and_of_all_nodes_in_a_fallback() {
    // At home it is one of two nodes: its share of the budget exceeds the keys that a cold server gets.
    let home = requests_to_cold(false, 8);
    // In a fallback one of 400: 50 requests a second of each, divided by ten servers, and half of that.
    let fallback = requests_to_cold(true, 8);
    // The same where the requests are divided by 42 servers.
    let of_many = requests_to_cold(true, 40);
    assert!(home > 25 && (3..=10).contains(&fallback) && of_many <= 2, "{home}, {fallback}, {of_many}");
}

#[test]
fn a_region_whose_servers_are_back_but_cold_is_not_returned_to_yet() {
    let mut harness = Harness::new(Some(regions(1)), all());
    harness.apply_delta(2, endpoint(101, "a", "left"));
    harness.apply_delta(3, endpoint(102, "b", "left"));
    harness.ports_used_by(MANY);
    let cold = |port, zone, now| Endpoint { since_ms: now / 1_000, ..endpoint(port, zone, "active") };
    harness.apply_list(4, false, vec![cold(101, "a", harness.now), cold(102, "b", harness.now)]);
    assert_eq!(
        harness.ports_used_by(MANY),
        set([101, 102, 201, 202]),
        "they get a part, the rest goes on in the north"
    );
    // Without another list, they are warm after some time.
    harness.ports_used_by(WARM_UP);
    assert_eq!(harness.ports_used_by(MANY), set([101, 102]));
}

#[test]
fn a_server_that_moves_to_another_zone_changes_the_subset_and_an_old_list_does_not_move_it_back() {
    let mut harness = Harness::new(Some(regions(1)), all());
    harness.apply_delta(7, endpoint(102, "c", "active"));
    assert_eq!(harness.ports_used_by(MANY), set([101]));
    assert_eq!(harness.connected(), set([101]));
    harness.apply_delta(8, endpoint(201, "b", "active"));
    assert_eq!(harness.ports_used_by(MANY), set([101, 201]));
    harness.apply_list(6, true, all());
    assert_eq!(harness.ports_used_by(MANY), set([101, 201]), "a whole list from before");
    harness.apply_list(9, true, all());
    assert_eq!(harness.ports_used_by(MANY), set([101, 102]), "a whole list that is newer");
}

#[test]
fn a_server_in_no_region_is_used_only_when_nothing_else_is_there() {
    let mut harness = Harness::new(Some(regions(1)), all());
    harness.apply_delta(2, endpoint(301, "nowhere", "active"));
    assert_eq!(harness.ports_used_by(MANY), set([101, 102]));
    for (index, (port, zone)) in [(101, "a"), (102, "b"), (201, "c"), (202, "c")].into_iter().enumerate() {
        harness.apply_delta(3 + index as u64, endpoint(port, zone, "left"));
    }
    assert_eq!(harness.ports_used_by(MANY), set([301]));
    harness.apply_delta(9, endpoint(202, "c", "active"));
    assert_eq!(harness.ports_used_by(MANY), set([202]));
}

#[test]
fn settings_with_other_zone_numbers_leave_the_subset_unchanged() {
    let mut harness = Harness::new(Some(regions(1)), all());
    harness.ports_used_by(MANY);
    let mut deployment = config_with(false, 256, Duration::from_micros(1_000), |_| {}).deployment;
    deployment.settings.nodes = 4;
    deployment.zones = ["z", "c", "b", "a"].map(String::from).into();
    harness.feed(Input::Settings(Box::new(deployment)));
    // After the transition the new settings apply alone.
    assert_eq!(harness.ports_used_by(MANY), set([101, 102]));
}
