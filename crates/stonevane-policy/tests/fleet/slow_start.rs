//! A server in slow start before a fleet, one in five of whose reads are of one key.

use stonevane_policy::*;

use crate::common::*;

/// Attempts in two seconds at a server that has just started, and at the others in the mean, from so many
/// nodes together: 600 reads a second, one in five of them of one hot key.
fn at_a_cold_server(count: u32) -> (f64, f64) {
    let tenants = vec![Tenant { quota_per_s: 600.0 }];
    let config = Settings { nodes: count, tenants, initial_capacity: 0.35, ..settings() };
    let mut now = 60 * SECOND;
    let mut nodes: Vec<_> = (0..count).map(|seed| Policy::new(config.clone(), u64::from(seed) + 1)).collect();
    for policy in &mut nodes {
        let mut servers: Vec<_> = (1..=12).map(server).collect();
        servers[0].started = now;
        servers.push(origin());
        policy.handle(now, Event::ServerList { kind: ListUpdate::Full, servers }, &mut Vec::new());
    }
    let mut at = [0u32; 13];
    // The hot key is one whose first server is the cold one, where it is warm.
    let warm = Node::new(settings(), 12).policy;
    let hot = first_at(warm, 1);
    for id in 1..=1_200u64 {
        now += 1_667;
        let policy = &mut nodes[(id * 7 % u64::from(count)) as usize];
        let mut out = Vec::new();
        let key = if id.is_multiple_of(5) { hot } else { id * 1_000_003 };
        policy.handle(now, Event::Request(read(id, key)), &mut out);
        let Some(server) = sent_to(&out) else { continue };
        at[server as usize] += 1;
        let outcome = outcome(id, 0, server, AttemptStatus::Served);
        policy.handle(now, Event::Outcome(outcome), &mut Vec::new());
    }
    (f64::from(at[1]), f64::from(at[2..].iter().sum::<u32>()) / 11.0)
}

/// A key that goes to a server first.
fn first_at(mut policy: Policy, wanted: ServerId) -> Key {
    let goes = |key: &u64| {
        let mut out = Vec::new();
        policy.handle(80 * SECOND, Event::Request(read(*key, *key)), &mut out);
        sent_to(&out) == Some(wanted)
    };
    (1..200).find(goes).unwrap()
}

#[test]
fn a_cold_server_is_not_overloaded_by_all_nodes_together_nor_by_a_hot_key() {
    for count in [1, 4, 100] {
        let (cold, others) = at_a_cold_server(count);
        println!("{count} nodes: {cold} attempts at the cold server, {others:.1} at each of the others");
        // Its capacity is 0.35 to 0.5 of a warm server's, and it fails under three times that.
        assert!(cold <= others, "{count} nodes: {cold} attempts at the cold server, {others} at the others");
    }
}
