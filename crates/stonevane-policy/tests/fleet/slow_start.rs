//! Guards against an overload of a server in slow start by a fleet that reads one hot key.

use stonevane_policy::*;

use crate::common::*;

/// Sends 600 reads per second for two seconds through `count` nodes, one in five of them for one hot key.
/// Returns the number of attempts at a server that has just started, and the mean number at the other
/// servers.
fn attempts_in_slow_start(count: u32) -> (f64, f64) {
    let tenants = vec![Tenant { quota_per_s: 600.0 }];
    let fleet_settings = Settings { nodes: count, tenants, initial_capacity: 0.35, ..settings() };
    let mut now = 60 * SECOND;
    let mut nodes: Vec<_> =
        (0..count).map(|seed| Policy::new(fleet_settings.clone(), u64::from(seed) + 1)).collect();
    for policy in &mut nodes {
        let mut servers: Vec<_> = (1..=12).map(server).collect();
        servers[0].started = now;
        servers.push(origin());
        policy.handle(now, Event::ServerList { kind: ListUpdate::Full, servers }, &mut Vec::new());
    }
    let mut attempts = [0u32; 13];
    // The hot key is one that nodes would send to server 1 first if server 1 were not in slow start.
    let warmed_up = Node::new(settings(), 12).policy;
    let hot = key_with_first_server(warmed_up, 1);
    for id in 1..=1_200u64 {
        now += 1_667;
        let policy = &mut nodes[(id * 7 % u64::from(count)) as usize];
        let mut out = Vec::new();
        let key = if id.is_multiple_of(5) { hot } else { id * 1_000_003 };
        policy.handle(now, Event::Request(read(id, key)), &mut out);
        let Some(server) = sent_to(&out) else { continue };
        attempts[server as usize] += 1;
        let outcome = outcome(id, 0, server, AttemptStatus::Served);
        policy.handle(now, Event::Outcome(outcome), &mut Vec::new());
    }
    (f64::from(attempts[1]), f64::from(attempts[2..].iter().sum::<u32>()) / 11.0)
}

/// Returns a key whose first choice in the node's rendezvous order is the server `first`.
fn key_with_first_server(mut policy: Policy, first: ServerId) -> Key {
    let is_sent_there = |key: &u64| {
        let mut out = Vec::new();
        policy.handle(80 * SECOND, Event::Request(read(*key, *key)), &mut out);
        sent_to(&out) == Some(first)
    };
    (1..200).find(is_sent_there).unwrap()
}

#[test]
fn a_server_in_slow_start_is_not_overloaded_by_many_nodes_or_a_hot_key() {
    for count in [1, 4, 100] {
        let (starting, others) = attempts_in_slow_start(count);
        println!(
            "{count} nodes: {starting} attempts at the server in slow start, {others:.1} at each other server"
        );
        // The server in slow start has 0.35 to 0.5 of the capacity of a warmed-up server, and fails under a
        // load of three times its own capacity.
        assert!(
            starting <= others,
            "{count} nodes: {starting} attempts at the server in slow start, {others} at the others"
        );
    }
}
