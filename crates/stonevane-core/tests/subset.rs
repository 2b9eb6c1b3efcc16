//! The core between the whole list and the module: what is told of the subset, and what holds for servers outside it.
#![allow(missing_docs)]

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use common::{HIT, START, get, setup_with};
use stonevane_config::operator::{Region, Regions};
use stonevane_core::{ConnId, Core, Endpoint, EndpointList, Input, LogLine, Output, Outputs};

/// A server of the list; its port tells it from others, and 900 is the origin's.
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

/// A core whose servers are up at once; what they were sent is kept, and answered when the test says so.
struct World {
    core: Core,
    now: u64,
    asked: u64,
    client: ConnId,
    /// The port that each connection to a server goes to.
    ports: BTreeMap<ConnId, u16>,
    /// Connections with a request that has no answer yet.
    owing: Vec<ConnId>,
    /// Ports that were sent something.
    sent: Vec<u16>,
    served: usize,
    notes: Vec<String>,
}

impl World {
    fn new(regions: Option<Regions>, known: Vec<Endpoint>) -> World {
        World::among(4, regions, known)
    }

    /// A node among so many, each with 50 requests a second as its part of the quota.
    fn among(balancers: u32, regions: Option<Regions>, known: Vec<Endpoint>) -> World {
        let mut setup = setup_with(false, 256, Duration::from_micros(1_000), |deployment| {
            deployment.settings.nodes = balancers;
            deployment.settings.tenants[0].quota_per_s = 50.0 * f64::from(balancers);
            deployment.zones = ["a", "b", "c"].map(String::from).into();
        });
        setup.cached_list = EndpointList { index: 1, snapshot: true, endpoints: known };
        setup.regions = regions;
        let mut it = World {
            core: Core::new(START, setup),
            now: START,
            asked: 0,
            client: 0,
            ports: BTreeMap::new(),
            owing: Vec::new(),
            sent: Vec::new(),
            served: 0,
            notes: Vec::new(),
        };
        it.client = it.core.next_connection_id();
        it.feed(Input::Accepted(it.client));
        it
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
                    self.sent.push(self.ports[&id]);
                    self.owing.push(id);
                    self.feed(Input::Flushed(id));
                }
                Output::Close(id) => drop(self.ports.remove(&id)),
                Output::Write(id, bytes) => {
                    assert_eq!(&bytes[..], b"$5\r\nvalue\r\n");
                    self.served += 1;
                    self.feed(Input::Flushed(id));
                }
                Output::Log(LogLine::Info(line)) if line.starts_with("regions: ") => self.notes.push(line),
                _ => {}
            }
        }
    }

    /// A read of a key of its own, without the answer of its server.
    fn ask(&mut self) {
        self.asked += 1;
        let word = format!("{:06}", self.asked);
        self.feed(Input::Bytes(self.client, &get(&word, &word)));
    }

    fn answer(&mut self) {
        for id in std::mem::take(&mut self.owing) {
            self.feed(Input::Bytes(id, HIT));
        }
    }

    /// The ports that so many reads go to, one after the other.
    fn used_by(&mut self, reads: usize) -> BTreeSet<u16> {
        self.sent.clear();
        for _ in 0..reads {
            self.now += 20_000;
            self.feed(Input::Wake);
            let before = self.served;
            self.ask();
            self.answer();
            assert_eq!(self.served, before + 1, "each read is served: {:?}", self.sent);
        }
        self.sent.iter().copied().collect()
    }

    fn list(&mut self, index: u64, snapshot: bool, endpoints: Vec<Endpoint>) {
        self.feed(Input::List(0, EndpointList { index, snapshot, endpoints }));
    }

    fn change(&mut self, index: u64, endpoint: Endpoint) {
        self.list(index, false, vec![endpoint]);
    }

    /// Ports that connections stand to.
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
fn without_regions_all_cache_servers_are_used_and_no_figure_tells_of_them() {
    let mut it = World::new(None, all());
    assert_eq!(it.used_by(MANY), set([101, 102, 201, 202]));
    assert!(it.core.report().regions.is_none() && it.notes.is_empty());
}

#[test]
fn only_the_cache_servers_of_its_region_are_used() {
    let mut it = World::new(Some(regions(1)), all());
    assert_eq!(it.used_by(MANY), set([101, 102]));
    assert_eq!(it.connected(), set([101, 102]));
    let report = it.core.report();
    assert_eq!(report.cache_servers_known, 4, "the whole list is held");
    let regions = report.regions.unwrap();
    assert_eq!((regions.home.as_str(), regions.regions_in_use, regions.usable), ("south", 1, 2));
    assert_eq!(it.notes, ["regions: south has 2 usable cache servers: no other region is used"]);
}

#[test]
fn the_origin_is_always_used_whatever_its_zone() {
    let mut known = all();
    known.iter_mut().filter(|server| server.name == "s-900").for_each(|origin| origin.zone = "c".into());
    let mut it = World::new(Some(regions(1)), known);
    it.ask();
    let cache = it.owing.pop().unwrap();
    // A miss: the cache holds nothing for this key.
    it.feed(Input::Bytes(cache, b"*3\r\n$-1\r\n$-1\r\n$-1\r\n"));
    assert_eq!(it.sent.last(), Some(&ORIGIN));
}

#[test]
fn a_lost_region_is_replaced_without_a_call_to_discovery_and_returned_to() {
    let mut it = World::new(Some(regions(1)), all());
    it.used_by(MANY);
    it.change(2, endpoint(101, "a", "left"));
    assert_eq!(it.used_by(MANY), set([102]), "one is enough");
    it.change(3, endpoint(102, "b", "left"));
    assert_eq!(it.used_by(MANY), set([201, 202]));
    let figures = it.core.report().regions.unwrap();
    assert_eq!(
        (figures.regions_in_use, figures.fallbacks, figures.since_ms),
        (2, 1, (START + 8_000_000) / 1_000)
    );
    it.change(4, endpoint(101, "a", "active"));
    assert_eq!(
        it.used_by(MANY),
        set([101, 201, 202]),
        "one of two that there were: not yet enough to return"
    );
    it.change(5, endpoint(102, "b", "active"));
    assert_eq!(it.used_by(MANY), set([101, 102]));
    assert_eq!(it.connected(), set([101, 102]), "its idle connections to the north are closed");
    assert_eq!(
        it.notes[1..],
        [
            "regions: south has 0 usable cache servers, too few with at least 1 wanted: \
             also used is north (2 usable cache servers)",
            "regions: south has 2 usable cache servers: no other region is used",
        ]
    );
}

#[test]
fn what_is_out_at_a_server_that_leaves_the_subset_ends_as_it_would_have() {
    let mut it = World::new(Some(regions(1)), all());
    it.change(2, endpoint(101, "a", "left"));
    it.change(3, endpoint(102, "b", "left"));
    it.used_by(1);
    it.now += 20_000;
    it.ask();
    assert!(it.sent.last().is_some_and(|port| *port > 200));
    it.list(4, true, all());
    assert_eq!(it.connected().len(), 1, "the one with the request stands");
    let served = it.served;
    it.answer();
    assert_eq!(it.served, served + 1);
    assert_eq!(it.connected(), set([]), "and is not kept then");
    assert_eq!(it.sent.len(), 2, "it was sent once");
    assert_eq!(it.used_by(MANY), set([101, 102]));
}

#[test]
fn a_drain_told_while_a_server_is_outside_holds_when_it_comes_in() {
    let mut it = World::new(Some(regions(1)), all());
    it.change(2, endpoint(201, "c", "leaving"));
    it.used_by(MANY);
    // Nor does a whole list from before the drain undo it, whether it comes while the server is outside ...
    it.list(1, true, all());
    it.change(3, endpoint(101, "a", "leaving"));
    it.change(4, endpoint(102, "b", "leaving"));
    assert_eq!(it.used_by(MANY), set([202]));
    // ... or inside.
    let mut before = all();
    before.retain(|server| server.zone == "c" || server.name == "s-900");
    it.list(1, true, before);
    assert_eq!(it.used_by(MANY), set([202]));
}

#[test]
fn a_server_out_by_hand_is_out_inside_and_outside_and_does_not_count() {
    let mut it = World::new(Some(regions(1)), all());
    it.feed(Input::Exclude("s-201".into(), true));
    it.feed(Input::Exclude("s-101".into(), true));
    assert_eq!(it.used_by(MANY), set([102]));
    it.feed(Input::Exclude("s-102".into(), true));
    assert_eq!(it.used_by(MANY), set([202]), "none of its region is left to use");
    it.feed(Input::Exclude("s-101".into(), false));
    it.feed(Input::Exclude("s-102".into(), false));
    it.used_by(WARM_UP);
    assert_eq!(it.used_by(MANY), set([101, 102]));
}

#[test]
fn a_restart_told_while_a_server_is_outside_holds_when_it_comes_in() {
    let mut it = World::new(Some(regions(1)), all());
    it.used_by(MANY);
    it.change(2, Endpoint { since_ms: it.now / 1_000, ..endpoint(201, "c", "active") });
    it.change(3, endpoint(101, "a", "left"));
    it.change(4, endpoint(102, "b", "left"));
    it.used_by(MANY / 2);
    let cold = it.sent.iter().filter(|port| **port == 201).count();
    // Half of the keys are its own; a server that is cold gets a part of them.
    assert!(cold < MANY / 8, "{cold} of {} went to the cold one", MANY / 2);
}

/// Of so many reads of a node among 400, those that go to a server of its region, or of the region that it falls back on,
/// that has just been restarted. So many more servers are in a region that it does not use.
fn sent_to_cold(fallback: bool, elsewhere: u16) -> usize {
    let mut known = all();
    known.extend((0..elsewhere).map(|number| endpoint(300 + number, "d", "active")));
    let mut regions = regions(1);
    regions.others.push(Region { name: "east".into(), zones: vec!["d".into()] });
    // By its name, this one comes after the north for the node of number 0.
    let mut it = World::among(400, Some(regions), known);
    it.used_by(10);
    if fallback {
        it.change(2, endpoint(101, "a", "left"));
        it.change(3, endpoint(102, "b", "left"));
        assert!(it.core.report().regions.unwrap().in_use.contains_key("north"));
    }
    let (cold, zone) = if fallback { (201, "c") } else { (101, "a") };
    it.change(4, Endpoint { since_ms: it.now / 1_000, ..endpoint(cold, zone, "active") });
    it.used_by(MANY);
    it.sent.iter().filter(|port| **port == cold).count()
}

#[test]
fn a_cold_server_gets_the_parts_of_its_regions_nodes_and_those_of_all_nodes_in_a_fallback() {
    // At home one of two nodes: what the bucket of its part leaves is more than the keys that a cold server gets.
    let home = sent_to_cold(false, 8);
    // In a fallback one of 400: 50 requests a second of each, divided by ten servers, and half of that.
    let fallback = sent_to_cold(true, 8);
    // The same where the requests are divided by 42 servers.
    let of_many = sent_to_cold(true, 40);
    assert!(home > 25 && (3..=10).contains(&fallback) && of_many <= 2, "{home}, {fallback}, {of_many}");
}

#[test]
fn a_region_whose_servers_are_back_and_cold_is_not_yet_returned_to() {
    let mut it = World::new(Some(regions(1)), all());
    it.change(2, endpoint(101, "a", "left"));
    it.change(3, endpoint(102, "b", "left"));
    it.used_by(MANY);
    let cold = |port, zone, now| Endpoint { since_ms: now / 1_000, ..endpoint(port, zone, "active") };
    it.list(4, false, vec![cold(101, "a", it.now), cold(102, "b", it.now)]);
    assert_eq!(it.used_by(MANY), set([101, 102, 201, 202]), "they get a part, the rest goes on in the north");
    // No list comes any more: that they are warm is a matter of time.
    it.used_by(WARM_UP);
    assert_eq!(it.used_by(MANY), set([101, 102]));
}

#[test]
fn a_server_that_moves_to_another_zone_changes_the_subset_and_an_old_list_does_not_move_it_back() {
    let mut it = World::new(Some(regions(1)), all());
    it.change(7, endpoint(102, "c", "active"));
    assert_eq!(it.used_by(MANY), set([101]));
    assert_eq!(it.connected(), set([101]));
    it.change(8, endpoint(201, "b", "active"));
    assert_eq!(it.used_by(MANY), set([101, 201]));
    it.list(6, true, all());
    assert_eq!(it.used_by(MANY), set([101, 201]), "a whole list from before");
    it.list(9, true, all());
    assert_eq!(it.used_by(MANY), set([101, 102]), "a whole list that is newer");
}

#[test]
fn a_server_in_no_region_is_used_only_when_nothing_else_is_there() {
    let mut it = World::new(Some(regions(1)), all());
    it.change(2, endpoint(301, "nowhere", "active"));
    assert_eq!(it.used_by(MANY), set([101, 102]));
    for (index, (port, zone)) in [(101, "a"), (102, "b"), (201, "c"), (202, "c")].into_iter().enumerate() {
        it.change(3 + index as u64, endpoint(port, zone, "left"));
    }
    assert_eq!(it.used_by(MANY), set([301]));
    it.change(9, endpoint(202, "c", "active"));
    assert_eq!(it.used_by(MANY), set([202]));
}

#[test]
fn settings_with_other_zones_leave_the_subset_as_the_names_have_it() {
    let mut it = World::new(Some(regions(1)), all());
    it.used_by(MANY);
    let mut deployment = setup_with(false, 256, Duration::from_micros(1_000), |_| {}).deployment;
    deployment.settings.nodes = 4;
    deployment.zones = ["z", "c", "b", "a"].map(String::from).into();
    it.feed(Input::Settings(Box::new(deployment)));
    // Clients may name what was for a moment, then the new settings hold alone.
    assert_eq!(it.used_by(MANY), set([101, 102]));
}
