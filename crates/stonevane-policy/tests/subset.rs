//! Many nodes that each use a subset of the cache servers: what one server in slow start gets of all of them.
#![allow(missing_docs)]

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stonevane_policy::*;

/// The server that has just been restarted.
const COLD: ServerId = 1;
const BEGIN: Micros = 60 * SECOND;
/// The overload window of the settings' default.
const WINDOW: Micros = 2 * SECOND;
/// What a cold server may get, as a multiple of a warm one's requests at its present part of capacity.
const COLD_MULTIPLE: f64 = 1.5;

/// A region whose servers all nodes of the fleet use, those of other regions as a fallback.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    /// Nodes of the region, and of the other regions.
    home: u32,
    others: u32,
    /// Cache servers of the region, and of all regions.
    servers: u32,
    all_servers: u32,
    /// Requests a second of each node.
    rate: u32,
}

impl Fleet {
    fn nodes(&self) -> u32 {
        self.home + self.others
    }

    /// What all together may send to the cold server in the window.
    fn budget(&self) -> f64 {
        let base = Settings::default();
        let age = WINDOW as f64 / base.slow_start_duration as f64;
        let warmth = base.initial_capacity + (1.0 - base.initial_capacity) * age;
        let requests = f64::from(self.nodes()) * f64::from(self.rate) * WINDOW as f64 / 1e6;
        COLD_MULTIPLE * warmth * requests / f64::from(self.all_servers)
    }

    fn settings(&self, me: u32, divided: bool) -> Settings {
        let quota_per_s = f64::from(self.nodes()) * f64::from(self.rate);
        Settings {
            node_index: me,
            nodes: self.nodes(),
            tenants: vec![Tenant { quota_per_s }],
            total_cache_weight: if divided { f64::from(self.all_servers) } else { 0.0 },
            startup_attempts_per_server: 0.0,
            ..settings()
        }
    }

    /// The server list of a node.
    fn list(&self, me: u32, divided: bool) -> Vec<ServerEntry> {
        let sharers = if me < self.home { 2 * self.home } else { 2 * self.nodes() };
        let sharers = if divided { sharers } else { 0 };
        let line = |id| ServerEntry {
            sharing_nodes: sharers,
            started: if id == COLD { BEGIN } else { 0 },
            ..server(id)
        };
        (1..=self.servers).map(line).chain([origin()]).collect()
    }

    /// Attempts at the cold server in the window by the nodes that a filter selects. All nodes send at their
    /// rate, each answer comes at once.
    fn sent_to_cold(&self, divided: bool, selects: impl Fn(u32) -> bool) -> u32 {
        let mut sent = 0;
        for me in (0..self.nodes()).filter(|me| selects(*me)) {
            let mut policy = Policy::new(self.settings(me, divided), u64::from(me) + 1);
            let mut out = Vec::new();
            let servers = self.list(me, divided);
            policy.handle(BEGIN, Event::ServerList { kind: ListUpdate::Full, servers }, &mut out);
            for number in 0..u64::from(self.rate) * WINDOW / SECOND {
                let now = BEGIN + number * SECOND / u64::from(self.rate);
                let key = (u64::from(me) << 32 | number).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
                out.clear();
                policy.handle(now, Event::Request(read(number + 1, key)), &mut out);
                for action in std::mem::take(&mut out) {
                    let Action::Send { request, server, .. } = action else { continue };
                    sent += u32::from(server == COLD);
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

/// What chance adds to a sum of many small parts, at four standard deviations.
fn chance(mean: f64) -> f64 {
    4.0 * mean.sqrt() + 1.0
}

#[test]
fn a_cold_server_is_not_overloaded_however_many_nodes_fall_back_on_its_region() {
    let fleets = (5..60u32, 0..200u32, 2..10u32, 0..40u32, 5..60u32);
    let fleets = fleets.prop_map(|(home, others, servers, more, rate)| Fleet {
        home,
        others,
        servers,
        all_servers: servers + more,
        rate,
    });
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&fleets, |fleet| {
        let (sent, budget) = (fleet.sent_to_cold(true, |_| true), fleet.budget());
        let most = budget + chance(budget);
        prop_assert!(f64::from(sent) <= most, "{sent} sent, budget {budget:.1}");
        Ok(())
    });
    result.unwrap();
}

const SIX_REGIONS: Fleet = Fleet { home: 40, others: 200, servers: 5, all_servers: 30, rate: 40 };

#[test]
fn without_the_division_a_cold_server_gets_several_times_its_budget() {
    let sent = SIX_REGIONS.sent_to_cold(false, |_| true);
    assert!(f64::from(sent) > 3.0 * SIX_REGIONS.budget(), "{sent} sent, {}", SIX_REGIONS.budget());
}

#[test]
fn the_nodes_of_its_region_alone_give_a_cold_server_about_half_of_its_budget() {
    let sent = f64::from(SIX_REGIONS.sent_to_cold(true, |me| me < SIX_REGIONS.home));
    let half = SIX_REGIONS.budget() / 2.0;
    assert!(sent <= half + chance(half) && sent > half / 3.0, "{sent} sent, half is {half}");
}

/// Attempts in flight of nodes that start together, before any answer.
fn out_at_start(fleet: &Fleet, divided: bool, selects: impl Fn(u32) -> bool) -> u32 {
    let mut sent = 0;
    for me in (0..fleet.nodes()).filter(|me| selects(*me)) {
        let settings = Settings { startup_attempts_per_server: 8.0, ..fleet.settings(me, divided) };
        let mut policy = Policy::new(settings, u64::from(me) + 1);
        let mut out = Vec::new();
        let warm = fleet.list(me, divided).into_iter().map(|line| ServerEntry { started: 0, ..line });
        let servers = warm.collect();
        policy.handle(BEGIN, Event::ServerList { kind: ListUpdate::Full, servers }, &mut out);
        for id in 1..=100 {
            policy.handle(BEGIN, Event::Request(read(id, id * 77)), &mut out);
        }
        sent += out.iter().filter(|action| matches!(action, Action::Send { .. })).count() as u32;
    }
    sent
}

#[test]
fn nodes_that_start_together_keep_to_the_startup_limit_of_a_regions_servers() {
    let fleet = Fleet { servers: 50, all_servers: 300, ..SIX_REGIONS };
    let may = 8.0 * f64::from(fleet.servers);
    let home = f64::from(out_at_start(&fleet, true, |me| me < fleet.home));
    assert!((home - may / 2.0).abs() <= chance(may / 2.0), "{home} out, {may} for all");
    let all = f64::from(out_at_start(&fleet, true, |_| true));
    assert!(all <= may + chance(may) && all > home, "{all} out, {may} for all");
    // Divided by all nodes, the region's own would have had a sixth of it.
    let undivided = f64::from(out_at_start(&fleet, false, |me| me < fleet.home));
    assert!(undivided < may / 4.0, "{undivided} out, {may} for all");
}

/// Calls to the origin of a node that has served writes for some seconds and gets many of them at once.
fn calls_of_a_burst(fleet: &Fleet, divided: bool) -> usize {
    let mut policy = Policy::new(fleet.settings(0, divided), 1);
    let mut out = Vec::new();
    let servers = fleet.list(0, divided);
    policy.handle(BEGIN, Event::ServerList { kind: ListUpdate::Full, servers }, &mut out);
    // Somewhat less often than its share, which the rate limit allows.
    let (answered, each) = (3_000, 1_250);
    for id in 1..=answered {
        let now = BEGIN + id * each;
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
    let now = BEGIN + answered * each + SECOND;
    for id in answered + 1..=answered + 300 {
        policy.handle(now, Event::Request(write(id, 0)), &mut out);
    }
    out.iter().filter(|action| matches!(action, Action::Send { server: ORIGIN, .. })).count()
}

#[test]
fn the_origin_limits_do_not_depend_on_the_subset_of_servers() {
    let fleet = Fleet { rate: 1_000, ..SIX_REGIONS };
    let calls = calls_of_a_burst(&fleet, false);
    // The concurrency limit: 0.06 for each request a second of the node's share.
    assert_eq!(calls, 60);
    assert_eq!(calls_of_a_burst(&fleet, true), calls);
}

#[test]
fn quotas_do_not_depend_on_the_subset_of_servers() {
    let fleet = SIX_REGIONS;
    let refused = [false, true].map(|divided| {
        let mut policy = Policy::new(fleet.settings(0, divided), 1);
        let mut out = Vec::new();
        let servers = fleet.list(0, divided);
        policy.handle(BEGIN, Event::ServerList { kind: ListUpdate::Full, servers }, &mut out);
        for id in 1..=500 {
            policy.handle(BEGIN, Event::Request(read(id, id * 77)), &mut out);
        }
        out.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
    });
    assert!(refused[0] == refused[1] && refused[0] > 400, "{refused:?}");
}

#[test]
fn the_least_load_bound_depends_on_the_nodes_that_share_a_server() {
    let both_on_one = |sharers| {
        let mut node = Node::new(Settings { nodes: 100, startup_attempts_per_server: 0.0, ..settings() }, 5);
        let line = |id| ServerEntry { sharing_nodes: sharers, ..server(id) };
        node.list(ListUpdate::Full, (1..=5).map(line).chain([origin()]).collect());
        let first = sent_to(&node.request(read(1, 7)));
        let second = sent_to(&node.request(read(2, 7)));
        assert!(first.is_some() && second.is_some());
        first == second
    };
    assert!(both_on_one(4), "two of eight");
    assert!(!both_on_one(0), "eight hundredths");
}
