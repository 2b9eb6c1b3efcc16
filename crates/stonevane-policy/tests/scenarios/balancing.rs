//! Choice of the cache server of a read: rendezvous hashing, bounded load, full servers.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_key_has_one_order_at_every_node_and_few_keys_move_when_a_server_leaves() {
    let first_server = |servers: &[u32], key: Key, seed: u64| {
        let mut policy = Policy::new(settings(), seed);
        let entries = servers.iter().map(|id| server(*id)).collect();
        let mut out = Vec::new();
        policy.handle(SECOND, Event::ServerList { kind: ListUpdate::Cached, servers: entries }, &mut out);
        policy.handle(SECOND, Event::Request(read(1, key)), &mut out);
        sent_to(&out).expect("the read is sent")
    };
    let all: Vec<u32> = (1..=10).collect();
    let without: Vec<u32> = (1..=9).collect();
    let mut moved = 0;
    for key in 1..=500 {
        let first = first_server(&all, key, 1);
        assert_eq!(first, first_server(&all, key, 2), "the first server depends on the seed of the node");
        let now = first_server(&without, key, 1);
        assert!(now == first || first == 10, "a key of a remaining server moved");
        moved += usize::from(now != first);
    }
    assert!((20..=90).contains(&moved), "{moved} of 500 keys moved");
}

#[test]
fn a_server_over_the_load_bound_is_skipped_and_the_next_in_the_order_is_used() {
    let mut node = Node::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let mut targets = vec![first];
    for id in 2..=12 {
        targets.push(sent_to(&node.request(read(id, 9))).unwrap());
    }
    assert_eq!(&targets[..4], [first; 4], "within the floor of the bound the order holds");
    // Guards against a single node that uses the whole floor of the load bound, which is meant for all nodes
    // that share the server: the busiest server then gets seven times the mean load.
    assert_ne!(targets[4], first, "over the bound the next server is used");
}

#[test]
fn a_slow_server_is_skipped_sooner_than_a_fast_one_of_equal_weight() {
    // Guards against equal load on servers of equal weight if half of them are six times slower.
    let sent_before_skip = |slow_ms: Micros| {
        let mut node = Node::new(settings(), 4);
        let first = sent_to(&node.request(read(1, 9))).unwrap();
        node.advance(slow_ms * MS);
        node.outcome(1, 0, first, AttemptStatus::Served);
        let mut id = 1;
        for key in (10..80).filter(|key| key % 2 == 0) {
            id += 1;
            let server = sent_to(&node.request(read(id, key))).unwrap();
            node.advance(if server == first { slow_ms } else { 50 } * MS);
            node.outcome(id, 0, server, AttemptStatus::Served);
        }
        node.advance(SECOND);
        (101..=120).take_while(|id| sent_to(&node.request(read(*id, 9))) == Some(first)).count()
    };
    let (even, slow) = (sent_before_skip(50), sent_before_skip(250));
    assert_eq!(even, 4, "a server as fast as the others does not get the whole floor");
    assert!(slow < even, "{slow} in flight at a slow server, {even} at one as fast as the others");
}

#[test]
fn fewer_servers_are_skipped_while_the_origin_limits_are_saturated() {
    // Guards against queues at a few cache servers while the origin has capacity for more misses, and against
    // blocked fetches while the origin has none.
    let sent_before_skip = |saturated: bool| {
        let mut node = Node::new(Settings { nodes: 8, ..settings() }, 4);
        for id in (1..=30).filter(|_| saturated) {
            node.request(write(id, 1));
        }
        node.advance(20 * MS);
        let first = sent_to(&node.request(read(101, 9))).unwrap();
        (102..=106).take_while(|id| sent_to(&node.request(read(*id, 9))) == Some(first)).count()
    };
    assert_eq!(sent_before_skip(false), 0, "with eight nodes the second request already skips the server");
    assert_eq!(sent_before_skip(true), 2, "the bound is three times the mean");
}

#[test]
fn a_draining_removed_or_unlisted_server_gets_no_new_requests() {
    for (kind, condition) in [
        (ListUpdate::Delta, Condition::Draining),
        (ListUpdate::Delta, Condition::Gone),
        (ListUpdate::Full, Condition::Gone),
    ] {
        let mut node = Node::new(settings(), 3);
        let first = sent_to(&node.request(read(1, 9))).unwrap();
        let entries = match kind {
            ListUpdate::Full => (1..=3).filter(|id| *id != first).map(server).chain([origin()]).collect(),
            _ => vec![ServerEntry { condition, ..server(first) }],
        };
        node.list(kind, entries);
        for id in 2..=40 {
            assert_ne!(sent_to(&node.request(read(id, id))), Some(first));
        }
    }
}

#[test]
fn under_overload_a_request_is_rejected_if_its_server_is_full() {
    // Guards against a bound relative to the mean only, which lets all queues grow together.
    let mut node = Node::just_started(settings(), 2);
    let mut sent = 0;
    for id in 1..=40 {
        sent += send_count(&node.request(read(id, id)));
    }
    assert!(sent < 12, "{sent} requests in flight at two servers that have not responded");
    assert!(rejected(&node.actions, 40));
    let mut idle = Node::new(settings(), 2);
    let sent = (1..=10).map(|id| send_count(&idle.request(read(id, id)))).sum::<usize>();
    assert_eq!(sent, 10, "a burst to idle servers was rejected");
}

#[test]
fn keys_of_a_full_server_do_not_spill_over_to_the_next_servers() {
    // Guards against keys of full servers that spread over the next servers and evict their cached values.
    let mut node = Node::just_started(settings(), 12);
    let mut used = std::collections::BTreeSet::new();
    for id in 1..=60 {
        used.extend(sent_to(&node.request(read(id, 9))));
    }
    assert!(used.len() <= 4, "one key was sent to {} of 12 servers", used.len());
    assert!(rejected(&node.actions, 60));
}

#[test]
fn a_server_filled_by_other_nodes_is_skipped_by_its_live_weight() {
    // Guards against queues of twelve requests per core that no node notices, because each node sees only one
    // request of its own in the queue.
    let config = Settings { weights_are_live: true, may_duplicate: false, ..settings() };
    let mut node = Node::new(config, 3);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    node.advance(200 * MS);
    node.outcome(1, 0, first, AttemptStatus::Served); // Service time without a queue: 0.2 s.
    node.list(ListUpdate::Delta, vec![ServerEntry { weight: 0.1, ..server(first) }]);
    let next = sent_to(&node.request(read(2, 9))).expect("another server has capacity");
    assert_ne!(next, first, "nine requests per core are queued there");
    let all = (1..=3).map(|id| ServerEntry { weight: 0.1, ..server(id) }).collect();
    node.list(ListUpdate::Delta, all);
    assert!(rejected(&node.request(read(3, 9)), 3), "all servers are full");
}

#[test]
fn idle_connections_are_closed_if_many_nodes_make_them_cost_more_than_handshakes() {
    // Guards against full connection tables of servers: with 413 nodes four in five attempts got no
    // connection.
    let closes = |nodes| {
        let prices = Settings { connection_price: 0.03, handshake_price: 0.03, ..settings() };
        let mut node = Node::new(Settings { nodes, ..prices }, 3);
        let to = sent_to(&node.request(read(1, 9))).unwrap();
        node.outcome(1, 0, to, AttemptStatus::Served).contains(&Action::CloseIdle(to))
    };
    assert!(!closes(50) && closes(400));
}

#[test]
fn requests_are_rejected_without_servers_or_an_origin_and_sent_once_they_are_listed() {
    let mut node = Node::new(settings(), 2);
    node.list(ListUpdate::Full, Vec::new());
    assert!(rejected(&node.request(read(1, 9)), 1));
    node.request(write(2, 1));
    assert!(rejected(&node.advance(SECOND), 2), "without an origin a write is postponed, then rejected");
    node.list(ListUpdate::Full, vec![server(1), origin()]);
    assert_eq!(sent_to(&node.request(read(3, 9))), Some(1));
}
