//! Subsets of cache servers: limits that depend on how many nodes share a server, and the load that a server
//! in slow start gets from all nodes together.
#![allow(missing_docs)]

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stonevane_policy::*;

/// Server in slow start: it has just been restarted.
const SLOW_START_SERVER: ServerId = 1;
const BEGIN: Micros = 60 * SECOND;
/// Default overload window of the settings.
const WINDOW: Micros = 2 * SECOND;
/// Load that a server in slow start may get, as a multiple of a warmed-up server's load scaled by its current
/// share of capacity.
const SLOW_START_MULTIPLE: f64 = 1.5;

/// Fleet whose nodes all use the servers of one region; nodes of other regions use them as a fallback.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    /// Nodes of the region.
    region_nodes: u32,
    /// Nodes of the other regions.
    other_nodes: u32,
    /// Cache servers of the region.
    servers: u32,
    /// Cache servers of all regions.
    all_servers: u32,
    /// Requests per second of each node.
    requests_per_s: u32,
}

impl Fleet {
    fn nodes(&self) -> u32 {
        self.region_nodes + self.other_nodes
    }

    /// Requests that all nodes together may send to the server in slow start in the window.
    fn budget(&self) -> f64 {
        let base = Settings::default();
        let age = WINDOW as f64 / base.slow_start_duration as f64;
        let capacity_share = base.initial_capacity + (1.0 - base.initial_capacity) * age;
        let requests = f64::from(self.nodes()) * f64::from(self.requests_per_s) * WINDOW as f64 / 1e6;
        SLOW_START_MULTIPLE * capacity_share * requests / f64::from(self.all_servers)
    }

    fn settings(&self, me: u32, divided: bool) -> Settings {
        let quota_per_s = f64::from(self.nodes()) * f64::from(self.requests_per_s);
        Settings {
            node_index: me,
            nodes: self.nodes(),
            tenants: vec![Tenant { quota_per_s }],
            total_cache_weight: if divided { f64::from(self.all_servers) } else { 0.0 },
            startup_attempts_per_server: 0.0,
            ..settings()
        }
    }

    /// Returns the server list of a node. `divided` sets the number of nodes that share each server.
    fn list(&self, me: u32, divided: bool) -> Vec<ServerEntry> {
        let sharing_nodes = if me < self.region_nodes { 2 * self.region_nodes } else { 2 * self.nodes() };
        let sharing_nodes = if divided { sharing_nodes } else { 0 };
        let entry = |id| ServerEntry {
            sharing_nodes,
            started: if id == SLOW_START_SERVER { BEGIN } else { 0 },
            ..server(id)
        };
        (1..=self.servers).map(entry).chain([origin()]).collect()
    }

    /// Returns the number of attempts at the server in slow start in the window by the nodes that `selects`
    /// accepts. All nodes send requests at their rate, and each is answered at once.
    fn sent_in_slow_start(&self, divided: bool, selects: impl Fn(u32) -> bool) -> u32 {
        let mut sent = 0;
        for me in (0..self.nodes()).filter(|me| selects(*me)) {
            let mut policy = Policy::new(self.settings(me, divided), u64::from(me) + 1);
            let mut out = Vec::new();
            let servers = self.list(me, divided);
            policy.handle(BEGIN, Event::ServerList { kind: ListUpdate::Full, servers }, &mut out);
            for number in 0..u64::from(self.requests_per_s) * WINDOW / SECOND {
                let now = BEGIN + number * SECOND / u64::from(self.requests_per_s);
                let key = (u64::from(me) << 32 | number).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
                out.clear();
                policy.handle(now, Event::Request(read(number + 1, key)), &mut out);
                for action in std::mem::take(&mut out) {
                    let Action::Send { request, server, .. } = action else { continue };
                    sent += u32::from(server == SLOW_START_SERVER);
                    let end = Outcome {
                        cache_status: CacheStatus::Hit,
                        ..outcome(request, 0, server, AttemptStatus::Served)
                    };
                    policy.handle(now, Event::Outcome(end), &mut out);
                }
            }
        }
        sent
    }
}

/// Returns the accepted deviation of a random count from its mean: four standard deviations.
fn tolerance(mean: f64) -> f64 {
    4.0 * mean.sqrt() + 1.0
}

#[test]
fn a_server_in_slow_start_is_not_overloaded_by_nodes_that_fall_back_on_its_region() {
    let fleets = (5..60u32, 0..200u32, 2..10u32, 0..40u32, 5..60u32);
    let fleets = fleets.prop_map(|(region_nodes, other_nodes, servers, more, requests_per_s)| Fleet {
        region_nodes,
        other_nodes,
        servers,
        all_servers: servers + more,
        requests_per_s,
    });
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&fleets, |fleet| {
        let (sent, budget) = (fleet.sent_in_slow_start(true, |_| true), fleet.budget());
        let limit = budget + tolerance(budget);
        prop_assert!(f64::from(sent) <= limit, "{sent} sent, budget {budget:.1}");
        Ok(())
    });
    result.unwrap();
}

const SIX_REGIONS: Fleet =
    Fleet { region_nodes: 40, other_nodes: 200, servers: 5, all_servers: 30, requests_per_s: 40 };

#[test]
fn without_division_by_sharing_nodes_a_server_in_slow_start_gets_several_times_its_budget() {
    let sent = SIX_REGIONS.sent_in_slow_start(false, |_| true);
    assert!(f64::from(sent) > 3.0 * SIX_REGIONS.budget(), "{sent} sent, budget {}", SIX_REGIONS.budget());
}

#[test]
fn nodes_of_its_own_region_use_about_half_of_the_budget_of_a_server_in_slow_start() {
    let sent = f64::from(SIX_REGIONS.sent_in_slow_start(true, |me| me < SIX_REGIONS.region_nodes));
    let half = SIX_REGIONS.budget() / 2.0;
    assert!(sent <= half + tolerance(half) && sent > half / 3.0, "{sent} sent, half of the budget is {half}");
}

/// Returns the number of attempts that nodes which start together have in flight before any response.
fn in_flight_at_start(fleet: &Fleet, divided: bool, selects: impl Fn(u32) -> bool) -> u32 {
    let mut sent = 0;
    for me in (0..fleet.nodes()).filter(|me| selects(*me)) {
        let settings = Settings { startup_attempts_per_server: 8.0, ..fleet.settings(me, divided) };
        let mut policy = Policy::new(settings, u64::from(me) + 1);
        let mut out = Vec::new();
        let warmed_up = fleet.list(me, divided).into_iter().map(|entry| ServerEntry { started: 0, ..entry });
        let servers = warmed_up.collect();
        policy.handle(BEGIN, Event::ServerList { kind: ListUpdate::Full, servers }, &mut out);
        for id in 1..=100 {
            policy.handle(BEGIN, Event::Request(read(id, id * 77)), &mut out);
        }
        sent += out.iter().filter(|action| matches!(action, Action::Send { .. })).count() as u32;
    }
    sent
}

#[test]
fn nodes_that_start_together_keep_to_the_startup_limit_of_the_servers_of_a_region() {
    let fleet = Fleet { servers: 50, all_servers: 300, ..SIX_REGIONS };
    let limit = 8.0 * f64::from(fleet.servers);
    let region = f64::from(in_flight_at_start(&fleet, true, |me| me < fleet.region_nodes));
    assert!(
        (region - limit / 2.0).abs() <= tolerance(limit / 2.0),
        "{region} in flight, limit {limit} for all nodes"
    );
    let all = f64::from(in_flight_at_start(&fleet, true, |_| true));
    assert!(all <= limit + tolerance(limit) && all > region, "{all} in flight, limit {limit} for all nodes");
    // If the limit is divided by all nodes, the nodes of the region get a sixth of it.
    let undivided = f64::from(in_flight_at_start(&fleet, false, |me| me < fleet.region_nodes));
    assert!(undivided < limit / 4.0, "{undivided} in flight, limit {limit} for all nodes");
}

/// Returns the number of calls to the origin that a node makes at once for a burst of writes, after it has
/// served writes for some seconds.
fn calls_of_a_burst(fleet: &Fleet, divided: bool) -> usize {
    let mut policy = Policy::new(fleet.settings(0, divided), 1);
    let mut out = Vec::new();
    let servers = fleet.list(0, divided);
    policy.handle(BEGIN, Event::ServerList { kind: ListUpdate::Full, servers }, &mut out);
    // The interval is somewhat longer than its share requires, so that the rate limit allows every write.
    let (answered, interval) = (3_000, 1_250);
    for id in 1..=answered {
        let now = BEGIN + id * interval;
        out.clear();
        policy.handle(now, Event::Request(write(id, 0)), &mut out);
        assert!(
            out.iter().any(|action| matches!(action, Action::Send { server: ORIGIN, .. })),
            "{id}: {out:?}"
        );
        let end = outcome(id, 0, ORIGIN, AttemptStatus::Served);
        policy.handle(now, Event::Outcome(end), &mut out);
    }
    out.clear();
    let now = BEGIN + answered * interval + SECOND;
    for id in answered + 1..=answered + 300 {
        policy.handle(now, Event::Request(write(id, 0)), &mut out);
    }
    out.iter().filter(|action| matches!(action, Action::Send { server: ORIGIN, .. })).count()
}

#[test]
fn origin_limits_do_not_depend_on_the_subset_of_servers() {
    let fleet = Fleet { requests_per_s: 1_000, ..SIX_REGIONS };
    let calls = calls_of_a_burst(&fleet, false);
    // The concurrency limit is 0.06 calls for each request per second of the node's share.
    assert_eq!(calls, 60);
    assert_eq!(calls_of_a_burst(&fleet, true), calls);
}

#[test]
fn quotas_do_not_depend_on_the_subset_of_servers() {
    let fleet = SIX_REGIONS;
    let rejections = [false, true].map(|divided| {
        let mut policy = Policy::new(fleet.settings(0, divided), 1);
        let mut out = Vec::new();
        let servers = fleet.list(0, divided);
        policy.handle(BEGIN, Event::ServerList { kind: ListUpdate::Full, servers }, &mut out);
        for id in 1..=500 {
            policy.handle(BEGIN, Event::Request(read(id, id * 77)), &mut out);
        }
        out.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
    });
    assert!(rejections[0] == rejections[1] && rejections[0] > 400, "{rejections:?}");
}

#[test]
fn the_least_load_bound_depends_on_the_nodes_that_share_a_server() {
    let both_on_one = |sharing_nodes| {
        let mut node = Node::new(Settings { nodes: 100, startup_attempts_per_server: 0.0, ..settings() }, 5);
        let entry = |id| ServerEntry { sharing_nodes, ..server(id) };
        node.list(ListUpdate::Full, (1..=5).map(entry).chain([origin()]).collect());
        let first = sent_to(&node.request(read(1, 7)));
        let second = sent_to(&node.request(read(2, 7)));
        assert!(first.is_some() && second.is_some());
        first == second
    };
    assert!(both_on_one(4), "with four sharing nodes this node may use two of the server's eight");
    assert!(!both_on_one(0), "with a hundred nodes this node may use 0.08 of them");
}
