//! The endpoint subset in the core. Guards against use of servers outside the subset, and against a server
//! that loses its state (drain, exclusion, restart or zone) while it is outside.
#![allow(missing_docs)]

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use common::{HIT, START, config_with, get};
use stonevane_config::operator::{Region, Regions};
use stonevane_core::{ConnId, Core, Endpoint, EndpointList, Input, LogLine, Output, Outputs};

/// A list entry of a server that is named by its port. [`ORIGIN`] is the origin's port.
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
fn all_endpoints() -> Vec<Endpoint> {
    let caches = [(101, "a"), (102, "b"), (201, "c"), (202, "c"), (ORIGIN, "a")];
    caches.map(|(port, zone)| endpoint(port, zone, "active")).into()
}

fn regions(min_usable: usize) -> Regions {
    let region = |name: &str, zones: &[&str]| Region {
        name: name.into(),
        zones: zones.iter().map(std::string::ToString::to_string).collect(),
    };
    Regions {
        home: region("south", &["a", "b"]),
        others: vec![region("north", &["c"])],
        nodes: 2,
        min_usable,
    }
}

/// A core whose servers accept connections at once and reply when the test makes them.
struct Harness {
    core: Core,
    now: u64,
    requests_sent: u64,
    client: ConnId,
    /// Port of each server connection.
    ports: BTreeMap<ConnId, u16>,
    /// Server connections with a written request and no reply.
    awaiting_reply: Vec<ConnId>,
    /// Port of each attempt.
    attempt_ports: Vec<u16>,
    served: usize,
    region_log: Vec<String>,
}

impl Harness {
    fn new(regions: Option<Regions>, endpoints: Vec<Endpoint>) -> Harness {
        Harness::with_nodes(4, regions, endpoints)
    }

    /// One of `nodes` nodes, each with 50 requests per second as its share of the quota.
    fn with_nodes(nodes: u32, regions: Option<Regions>, endpoints: Vec<Endpoint>) -> Harness {
        let mut config = config_with(false, 256, Duration::from_micros(1_000), |deployment| {
            deployment.settings.nodes = nodes;
            deployment.settings.tenants[0].quota_per_s = 50.0 * f64::from(nodes);
            deployment.zones = ["a", "b", "c"].map(String::from).into();
        });
        config.cached_list = EndpointList { version: 1, snapshot: true, endpoints };
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

    /// Sends a read of a new key without replying to it.
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

    /// Sends reads one after another and returns the ports that they go to.
    fn ports_used_by(&mut self, reads: usize) -> BTreeSet<u16> {
        self.attempt_ports.clear();
        for _ in 0..reads {
            self.now += 20_000;
            self.feed(Input::Wake);
            let served_before = self.served;
            self.send_request();
            self.reply_to_all();
            assert_eq!(self.served, served_before + 1, "a read was not served: {:?}", self.attempt_ports);
        }
        self.attempt_ports.iter().copied().collect()
    }

    fn apply_list(&mut self, version: u64, snapshot: bool, endpoints: Vec<Endpoint>) {
        self.feed(Input::List(0, EndpointList { version, snapshot, endpoints }));
    }

    fn apply_delta(&mut self, version: u64, endpoint: Endpoint) {
        self.apply_list(version, false, vec![endpoint]);
    }

    /// Ports of all server connections.
    fn connected_ports(&self) -> BTreeSet<u16> {
        self.ports.values().copied().collect()
    }
}

fn set<const N: usize>(ports: [u16; N]) -> BTreeSet<u16> {
    ports.into()
}

/// Number of reads that is enough to use every server of the subset.
const READS: usize = 200;
/// Number of reads after which a server that starts at the first read has warmed up.
const WARM_UP_READS: usize = 600;

#[test]
fn without_regions_all_cache_servers_are_used_and_none_are_reported() {
    let mut harness = Harness::new(None, all_endpoints());
    assert_eq!(harness.ports_used_by(READS), set([101, 102, 201, 202]));
    assert!(harness.core.report().regions.is_none() && harness.region_log.is_empty());
}

#[test]
fn only_the_cache_servers_of_its_region_are_used() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    assert_eq!(harness.ports_used_by(READS), set([101, 102]));
    assert_eq!(harness.connected_ports(), set([101, 102]));
    let report = harness.core.report();
    assert_eq!(report.cache_servers_known, 4, "the full list is kept");
    let regions = report.regions.unwrap();
    assert_eq!((regions.home.as_str(), regions.regions_in_use, regions.usable), ("south", 1, 2));
    assert_eq!(harness.region_log, ["regions: south has 2 usable cache servers: no other region is used"]);
}

#[test]
fn the_origin_is_always_used_whatever_its_zone() {
    let mut endpoints = all_endpoints();
    endpoints.iter_mut().filter(|server| server.name == "s-900").for_each(|origin| origin.zone = "c".into());
    let mut harness = Harness::new(Some(regions(1)), endpoints);
    harness.send_request();
    let cache = harness.awaiting_reply.pop().unwrap();
    // The cache server replies with a miss.
    harness.feed(Input::Bytes(cache, b"*3\r\n$-1\r\n$-1\r\n$-1\r\n"));
    assert_eq!(harness.attempt_ports.last(), Some(&ORIGIN));
}

#[test]
fn a_lost_region_is_replaced_without_a_call_to_discovery_and_returned_to() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    harness.ports_used_by(READS);
    harness.apply_delta(2, endpoint(101, "a", "left"));
    assert_eq!(harness.ports_used_by(READS), set([102]), "one usable server is enough");
    harness.apply_delta(3, endpoint(102, "b", "left"));
    assert_eq!(harness.ports_used_by(READS), set([201, 202]));
    let metrics = harness.core.report().regions.unwrap();
    assert_eq!(
        (metrics.regions_in_use, metrics.fallbacks, metrics.since_ms),
        (2, 1, (START + 8_000_000) / 1_000)
    );
    harness.apply_delta(4, endpoint(101, "a", "active"));
    assert_eq!(
        harness.ports_used_by(READS),
        set([101, 201, 202]),
        "one of the two earlier servers is not enough to return"
    );
    harness.apply_delta(5, endpoint(102, "b", "active"));
    assert_eq!(harness.ports_used_by(READS), set([101, 102]));
    assert_eq!(harness.connected_ports(), set([101, 102]), "idle connections to the north are closed");
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
fn a_request_in_flight_at_a_server_that_leaves_the_subset_continues() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    harness.apply_delta(2, endpoint(101, "a", "left"));
    harness.apply_delta(3, endpoint(102, "b", "left"));
    harness.ports_used_by(1);
    harness.now += 20_000;
    harness.send_request();
    assert!(harness.attempt_ports.last().is_some_and(|port| *port > 200));
    harness.apply_list(4, true, all_endpoints());
    assert_eq!(harness.connected_ports().len(), 1, "the connection with the request stays open");
    let served = harness.served;
    harness.reply_to_all();
    assert_eq!(harness.served, served + 1);
    assert_eq!(harness.connected_ports(), set([]), "the connection is closed after its reply");
    assert_eq!(harness.attempt_ports.len(), 2, "the request was sent once");
    assert_eq!(harness.ports_used_by(READS), set([101, 102]));
}

#[test]
fn a_drain_of_a_server_outside_the_subset_applies_when_it_enters() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    harness.apply_delta(2, endpoint(201, "c", "leaving"));
    harness.ports_used_by(READS);
    // A full list from before the drain does not undo the drain: neither while the server is outside the
    // subset ...
    harness.apply_list(1, true, all_endpoints());
    harness.apply_delta(3, endpoint(101, "a", "leaving"));
    harness.apply_delta(4, endpoint(102, "b", "leaving"));
    assert_eq!(harness.ports_used_by(READS), set([202]));
    // ... nor after the server has entered the subset.
    let mut earlier_list = all_endpoints();
    earlier_list.retain(|server| server.zone == "c" || server.name == "s-900");
    harness.apply_list(1, true, earlier_list);
    assert_eq!(harness.ports_used_by(READS), set([202]));
}

#[test]
fn an_excluded_server_is_unused_inside_and_outside_and_does_not_count() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    harness.feed(Input::Exclude("s-201".into(), true));
    harness.feed(Input::Exclude("s-101".into(), true));
    assert_eq!(harness.ports_used_by(READS), set([102]));
    harness.feed(Input::Exclude("s-102".into(), true));
    assert_eq!(harness.ports_used_by(READS), set([202]), "no server of the home region is left");
    harness.feed(Input::Exclude("s-101".into(), false));
    harness.feed(Input::Exclude("s-102".into(), false));
    harness.ports_used_by(WARM_UP_READS);
    assert_eq!(harness.ports_used_by(READS), set([101, 102]));
}

#[test]
fn a_restart_of_a_server_outside_the_subset_applies_when_it_enters() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    harness.ports_used_by(READS);
    harness.apply_delta(2, Endpoint { since_ms: harness.now / 1_000, ..endpoint(201, "c", "active") });
    harness.apply_delta(3, endpoint(101, "a", "left"));
    harness.apply_delta(4, endpoint(102, "b", "left"));
    harness.ports_used_by(READS / 2);
    let restarted = harness.attempt_ports.iter().filter(|port| **port == 201).count();
    // Half of the keys belong to the server. In slow start it receives only some of the requests for these
    // keys.
    assert!(restarted < READS / 8, "{restarted} of {} reads went to the server in slow start", READS / 2);
}

/// Number of reads that one of 400 nodes sends to a restarted server of its home region, or of the region
/// that it falls back on. `unused_servers` is the number of further servers, in a region that the node does
/// not use.
fn requests_in_slow_start(fallback: bool, unused_servers: u16) -> usize {
    let mut endpoints = all_endpoints();
    endpoints.extend((0..unused_servers).map(|number| endpoint(300 + number, "d", "active")));
    let mut regions = regions(1);
    regions.others.push(Region { name: "east".into(), zones: vec!["d".into()] });
    // In node 0's order of regions, which depends on the region names, this region comes after the north.
    let mut harness = Harness::with_nodes(400, Some(regions), endpoints);
    harness.ports_used_by(10);
    if fallback {
        harness.apply_delta(2, endpoint(101, "a", "left"));
        harness.apply_delta(3, endpoint(102, "b", "left"));
        assert!(harness.core.report().regions.unwrap().in_use.contains_key("north"));
    }
    let (restarted, zone) = if fallback { (201, "c") } else { (101, "a") };
    harness.apply_delta(4, Endpoint { since_ms: harness.now / 1_000, ..endpoint(restarted, zone, "active") });
    harness.ports_used_by(READS);
    harness.attempt_ports.iter().filter(|port| **port == restarted).count()
}

#[test]
fn a_server_in_slow_start_gets_the_share_of_its_regions_nodes_and_in_a_fallback_that_of_all_nodes() {
    // In its home region the node is one of two nodes, and its share of the slow-start budget exceeds the
    // number of requests for the keys of the server in slow start.
    let home = requests_in_slow_start(false, 8);
    // In a fallback region the node is one of 400 nodes: the 50 requests per second of each node are divided
    // by ten servers, and halved.
    let fallback = requests_in_slow_start(true, 8);
    // The same fallback, with the requests divided among 42 servers.
    let fallback_of_many = requests_in_slow_start(true, 40);
    assert!(
        home > 25 && (3..=10).contains(&fallback) && fallback_of_many <= 2,
        "{home}, {fallback}, {fallback_of_many}"
    );
}

#[test]
fn a_region_whose_servers_are_back_in_slow_start_is_not_returned_to_yet() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    harness.apply_delta(2, endpoint(101, "a", "left"));
    harness.apply_delta(3, endpoint(102, "b", "left"));
    harness.ports_used_by(READS);
    let restarted = |port, zone, now| Endpoint { since_ms: now / 1_000, ..endpoint(port, zone, "active") };
    harness.apply_list(4, false, vec![restarted(101, "a", harness.now), restarted(102, "b", harness.now)]);
    assert_eq!(
        harness.ports_used_by(READS),
        set([101, 102, 201, 202]),
        "they get a part, the rest still goes to the north"
    );
    // The servers warm up without another list.
    harness.ports_used_by(WARM_UP_READS);
    assert_eq!(harness.ports_used_by(READS), set([101, 102]));
}

#[test]
fn a_server_that_moves_to_another_zone_changes_the_subset_and_an_old_list_does_not_move_it_back() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    harness.apply_delta(7, endpoint(102, "c", "active"));
    assert_eq!(harness.ports_used_by(READS), set([101]));
    assert_eq!(harness.connected_ports(), set([101]));
    harness.apply_delta(8, endpoint(201, "b", "active"));
    assert_eq!(harness.ports_used_by(READS), set([101, 201]));
    harness.apply_list(6, true, all_endpoints());
    assert_eq!(harness.ports_used_by(READS), set([101, 201]), "an older full list was applied");
    harness.apply_list(9, true, all_endpoints());
    assert_eq!(harness.ports_used_by(READS), set([101, 102]), "a newer full list was not applied");
}

#[test]
fn a_server_in_no_region_is_used_only_if_there_is_no_other() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    harness.apply_delta(2, endpoint(301, "nowhere", "active"));
    assert_eq!(harness.ports_used_by(READS), set([101, 102]));
    for (index, (port, zone)) in [(101, "a"), (102, "b"), (201, "c"), (202, "c")].into_iter().enumerate() {
        harness.apply_delta(3 + index as u64, endpoint(port, zone, "left"));
    }
    assert_eq!(harness.ports_used_by(READS), set([301]));
    harness.apply_delta(9, endpoint(202, "c", "active"));
    assert_eq!(harness.ports_used_by(READS), set([202]));
}

#[test]
fn settings_with_other_zone_numbers_leave_the_subset_unchanged() {
    let mut harness = Harness::new(Some(regions(1)), all_endpoints());
    harness.ports_used_by(READS);
    let mut deployment = config_with(false, 256, Duration::from_micros(1_000), |_| {}).deployment;
    deployment.settings.nodes = 4;
    deployment.zones = ["z", "c", "b", "a"].map(String::from).into();
    harness.feed(Input::Settings(Box::new(deployment)));
    // After the transition only the new settings apply.
    assert_eq!(harness.ports_used_by(READS), set([101, 102]));
}
