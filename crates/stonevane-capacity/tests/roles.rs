//! Every role at small sizes: counts are plausible, and equal for equal seeds. Processor times are not
//! asserted.
#![allow(missing_docs)]

use stonevane_capacity::csv;
use stonevane_capacity::report;
use stonevane_capacity::roles::{Basis, Conditions, Measurement, Role};

fn conditions(seed: u64) -> Conditions {
    Conditions { seed, memory_limit_bytes: u64::MAX, full_up_to: 40 }
}

fn measure(role: Role, size: u64, seed: u64) -> Measurement {
    role.measure(size, &conditions(seed)).unwrap()
}

fn value(measurement: &Measurement, metric: &str) -> f64 {
    let figure = measurement.values.iter().find(|figure| figure.metric == metric);
    figure.unwrap_or_else(|| panic!("no {metric} in {measurement:?}")).value
}

/// Metrics that the seed determines: all except processor time and resident memory.
fn counts(measurement: &Measurement) -> Vec<(String, f64)> {
    let timed = |unit: &str| unit.starts_with("us") || unit.starts_with("ns") || unit == "%";
    let values = measurement.values.iter().filter(|figure| !timed(&figure.unit) && figure.metric != "memory");
    values.map(|figure| (figure.metric.to_string(), figure.value)).collect()
}

#[test]
fn a_small_fleet_converges_reaches_a_steady_state_and_detects_deaths() {
    let fleet = measure(Role::Membership, 24, 3);
    assert!(fleet.values.iter().all(|figure| figure.basis == Basis::Measured));
    // Each member sends one probe and one acknowledgement per period.
    let datagrams = value(&fleet, "steady_datagrams");
    assert!((1.9..2.3).contains(&datagrams), "{datagrams}");
    let mean = value(&fleet, "steady_bytes") / datagrams;
    assert!((40.0..256.0).contains(&mean), "{mean} bytes a datagram");
    assert!(value(&fleet, "start_bytes") > value(&fleet, "steady_bytes"));
    assert!(value(&fleet, "start_known") < 30.0);
    assert!(value(&fleet, "restart_bytes") > 0.0);
    let (first, all) = (value(&fleet, "death_first"), value(&fleet, "death_all"));
    assert!(0.0 < first && first <= all && all < 60.0, "{first} {all}");
    assert_eq!(value(&fleet, "false_deaths"), 0.0);
}

#[test]
fn equal_seeds_give_equal_counts_and_different_seeds_different_ones() {
    for size in [24, 60] {
        let expected = counts(&measure(Role::Membership, size, 3));
        assert_eq!(counts(&measure(Role::Membership, size, 3)), expected);
        assert_ne!(counts(&measure(Role::Membership, size, 4)), expected);
    }
}

#[test]
fn a_sampled_member_sends_about_as_much_as_a_member_of_a_full_fleet() {
    let sampled = measure(Role::Membership, 60, 3);
    assert!(sampled.values.iter().all(|figure| figure.basis == Basis::Sampled));
    let full = Role::Membership.measure(60, &Conditions { full_up_to: 60, ..conditions(3) }).unwrap();
    for metric in ["steady_bytes", "steady_datagrams"] {
        let (sampled, full) = (value(&sampled, metric), value(&full, metric));
        assert!((sampled / full - 1.0).abs() < 0.15, "{metric}: {sampled} sampled, {full} in full");
    }
    let (sampled, full) = (value(&sampled, "restart_bytes"), value(&full, "restart_bytes"));
    assert!((0.4..2.5).contains(&(sampled / full)), "a restart: {sampled} sampled, {full} in full");
}

#[test]
fn a_fleet_too_small_for_indirect_probes_is_rejected() {
    assert!(Role::Membership.measure(4, &conditions(1)).is_err());
}

#[test]
fn the_list_grows_with_the_servers_but_a_change_does_not() {
    let (small, large) = (measure(Role::ServerList, 10, 1), measure(Role::ServerList, 100, 1));
    let entry = (value(&large, "whole_bytes") - value(&small, "whole_bytes")) / 90.0;
    assert!((120.0..200.0).contains(&entry), "{entry} bytes a server");
    let change = value(&small, "change_bytes");
    assert!((change - value(&large, "change_bytes")).abs() <= 4.0);
    assert!((entry..entry + 80.0).contains(&change), "{change}");
    // The body of a heartbeat is one line end in its own chunk: 6 bytes every 2 s.
    assert_eq!(value(&small, "watch_bytes"), 3.0);
}

#[test]
fn requests_are_placed_among_one_and_among_many_servers() {
    for servers in [1, 40] {
        let node = measure(Role::NodeState, servers, 1);
        let metrics: Vec<_> = node.values.iter().map(|figure| &figure.metric[..]).collect();
        assert_eq!(metrics, ["memory", "placement", "placement_by_size", "outcome", "core_share"]);
        assert!(node.values.iter().all(|figure| figure.value.is_finite() && figure.value >= 0.0));
    }
}

#[test]
fn connections_follow_the_request_rate_and_are_divided_among_servers() {
    let small_fleet = measure(Role::ServerConnections, 20, 1);
    assert_eq!(counts(&small_fleet), counts(&measure(Role::ServerConnections, 20, 1)));
    // 4 servers, 778 requests per second of 2 ms each, and a rest of 15 ms after each response: a few dozen
    // connections.
    let connections = value(&small_fleet, "node_connections");
    assert!((4.0..200.0).contains(&connections), "{connections}");
    assert_eq!(connections, value(&small_fleet, "node_wanted"));
    assert_eq!(value(&small_fleet, "server_connections"), connections * 20.0 / 4.0);
    let counted = small_fleet.values.iter().filter(|figure| figure.metric.starts_with("server_"));
    assert!(counted.into_iter().all(|figure| figure.basis == Basis::Counted));
}

#[test]
fn a_node_with_fewer_sockets_than_servers_reopens_connections() {
    let large_fleet = measure(Role::ServerConnections, 6_000, 1);
    assert!(value(&large_fleet, "node_connections") < 1_024.0);
    assert!(value(&large_fleet, "node_wanted") > 1_024.0);
    assert!(value(&large_fleet, "node_opened") > 10.0 * value(&large_fleet, "node_region_opened"));
}

#[test]
fn every_node_calls_discovery_once_and_calls_are_spread_after_lost_watches() {
    let fleet = measure(Role::Discovery, 50, 1);
    assert_eq!(counts(&fleet), counts(&measure(Role::Discovery, 50, 1)));
    assert_eq!(value(&fleet, "start_calls"), 50.0);
    assert_eq!(value(&fleet, "lost_calls"), 50.0);
    assert!(value(&fleet, "lost_busiest") < 30.0, "{}", value(&fleet, "lost_busiest"));
    // No node requests the whole list again: each kept its list and requests only the changes since then.
    assert_eq!(value(&fleet, "lost_whole"), 0.0);
    assert_eq!(value(&fleet, "change_lines"), 50.0);
}

#[test]
fn the_settings_grow_with_the_tenants() {
    let (small, large) = (measure(Role::Reload, 10, 1), measure(Role::Reload, 110, 1));
    let tenant = (value(&large, "text_bytes") - value(&small, "text_bytes")) / 100.0;
    assert!((30.0..60.0).contains(&tenant), "{tenant} bytes a tenant");
    assert!(value(&large, "take_cpu") > 0.0);
}

#[test]
fn short_and_long_responses_are_forwarded_completely() {
    for bytes in [1, 200_000] {
        let measured = measure(Role::Passage, bytes, 1);
        assert_eq!(counts(&measured), counts(&measure(Role::Passage, bytes, 1)));
        let answered = value(&measured, "answered");
        assert!((answered - bytes as f64).abs() <= 2_000.0 + bytes as f64 * 0.02, "{answered} of {bytes}");
        assert_eq!(value(&measured, "attempts"), 1.0);
    }
}

#[test]
fn csv_lines_are_read_back_as_written() {
    let measured = measure(Role::Discovery, 20, 1);
    let lines = csv::lines(&measured);
    assert_eq!(lines.len(), measured.values.len());
    let text = csv::write(&lines);
    assert_eq!(text.lines().next(), Some("role,size,seed,metric,unit,basis,value"));
    assert_eq!(csv::read(&text).unwrap(), lines);
    assert_eq!(csv::measurement(&lines).unwrap(), measured);
    assert!(csv::measurement(&[]).is_err());
    let mut mixed = lines.clone();
    mixed[1].size += 1;
    assert!(csv::measurement(&mixed).is_err());
    assert!(csv::read("role,size\nx,y\n").is_err());
    assert!(csv::read(&text.replace("counted", "guessed")).is_err());
}

#[test]
fn a_report_marks_values_that_were_not_measured_and_names_the_first_deviation() {
    let measured: Vec<_> = [20, 40, 80].map(|size| measure(Role::Discovery, size, 1)).into();
    let line = report::size_line(&measured[0]);
    assert!(line.starts_with("discovery 20 nodes: start_calls 20 1, "), "{line}");
    assert!(line.contains("change_lines 20 1 counted") && !line.contains('\n'), "{line}");
    let growth = report::growth_lines(&measured, 0.1);
    let calls = growth.iter().find(|line| line.starts_with("start_calls")).unwrap();
    assert!(
        calls.contains("0 + 1 a size") && calls.contains("exponent 1, straight to 80 (measured)"),
        "{calls}"
    );
    let mut nonlinear = measured;
    nonlinear[2].values[0].value *= 3.0;
    let growth = report::growth_lines(&nonlinear, 0.1);
    assert!(growth[0].contains("leaves its line at 80: 240 where 80 was expected"), "{}", growth[0]);
    let mixed = [Role::Membership.measure(24, &conditions(1)).unwrap(), measure(Role::Membership, 60, 1)];
    let line = report::growth_lines(&mixed, 0.1).into_iter().find(|line| line.starts_with("steady_bytes"));
    assert!(line.unwrap().ends_with("(measured, from 60 on sampled)"));
}
