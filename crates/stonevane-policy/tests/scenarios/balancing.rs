//! Which cache server a read goes to: the consistent order of a key, the load bound, full servers.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_key_has_one_order_at_every_node_and_few_keys_move_when_a_server_leaves() {
    let place = |servers: &[u32], key: Key, seed: u64| {
        let mut policy = Policy::new(settings(), seed);
        let lines = servers.iter().map(|id| server(*id)).collect();
        let mut out = Vec::new();
        policy.handle(SECOND, Event::ServerList { kind: ListUpdate::Cached, servers: lines }, &mut out);
        policy.handle(SECOND, Event::Request(read(1, key)), &mut out);
        sent_to(&out).expect("sent")
    };
    let all: Vec<u32> = (1..=10).collect();
    let without: Vec<u32> = (1..=9).collect();
    let mut moved = 0;
    for key in 1..=500 {
        let first = place(&all, key, 1);
        assert_eq!(first, place(&all, key, 2), "another balancer, another seed, the same server");
        let now = place(&without, key, 1);
        assert!(now == first || first == 10, "only keys of the server that went move");
        moved += usize::from(now != first);
    }
    assert!((20..=90).contains(&moved), "{moved} of 500 keys moved");
}

#[test]
fn a_server_over_the_load_bound_is_skipped_and_the_next_in_the_order_is_used() {
    let mut node = Node::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let mut seen = vec![first];
    for id in 2..=12 {
        seen.push(sent_to(&node.request(read(id, 9))).unwrap());
    }
    assert_eq!(&seen[..4], [first; 4], "within the floor the order holds");
    // Guards against a whole floor from one node: the busiest server had seven times the mean.
    assert_ne!(seen[4], first, "over the bound the next server is used");
}

#[test]
fn a_slow_server_is_skipped_sooner_than_a_quick_one_whatever_its_listed_size() {
    // Guards against an equal load on servers of equal weight of which half are six times slower.
    let within = |slow_ms: Micros| {
        let mut node = Node::new(settings(), 4);
        let first = sent_to(&node.request(read(1, 9))).unwrap();
        node.pass(slow_ms * MS);
        node.outcome(1, 0, first, AttemptStatus::Served);
        let mut id = 1;
        for key in (10..80).filter(|key| key % 2 == 0) {
            id += 1;
            let server = sent_to(&node.request(read(id, key))).unwrap();
            node.pass(if server == first { slow_ms } else { 50 } * MS);
            node.outcome(id, 0, server, AttemptStatus::Served);
        }
        node.pass(SECOND);
        (101..=120).take_while(|id| sent_to(&node.request(read(*id, 9))) == Some(first)).count()
    };
    let (even, slow) = (within(50), within(250));
    assert_eq!(even, 4, "one that is as quick as the others keeps the floor");
    assert!(slow < even, "{slow} of {even} in flight at one that is slow");
}

#[test]
fn fewer_servers_are_skipped_while_the_origin_limits_are_saturated() {
    // Guards against queues at few servers while the origin has capacity, and blocked fetches while it has
    // none.
    let taken = |pressed: bool| {
        let mut node = Node::new(Settings { nodes: 8, ..settings() }, 4);
        for id in (1..=30).filter(|_| pressed) {
            node.request(write(id, 1));
        }
        node.pass(20 * MS);
        let first = sent_to(&node.request(read(101, 9))).unwrap();
        (102..=106).take_while(|id| sent_to(&node.request(read(*id, 9))) == Some(first)).count()
    };
    assert_eq!(taken(false), 0, "the second request of eight nodes' fleet already goes on");
    assert_eq!(taken(true), 2, "the bound is three times the mean");
}

#[test]
fn nothing_new_goes_to_a_server_that_is_draining_gone_or_unlisted() {
    for (kind, condition) in [
        (ListUpdate::Delta, Condition::Draining),
        (ListUpdate::Delta, Condition::Gone),
        (ListUpdate::Full, Condition::Gone),
    ] {
        let mut node = Node::new(settings(), 3);
        let first = sent_to(&node.request(read(1, 9))).unwrap();
        let lines = match kind {
            ListUpdate::Full => (1..=3).filter(|id| *id != first).map(server).chain([origin()]).collect(),
            _ => vec![ServerEntry { condition, ..server(first) }],
        };
        node.list(kind, lines);
        for id in 2..=40 {
            assert_ne!(sent_to(&node.request(read(id, id))), Some(first));
        }
    }
}

#[test]
fn under_overload_a_request_is_rejected_when_its_server_is_full_and_otherwise_it_is_not() {
    // Guards against a bound relative to the mean alone, which lets every queue grow at once.
    let mut node = Node::just_started(settings(), 2);
    let mut sent = 0;
    for id in 1..=40 {
        sent += sends(&node.request(read(id, id)));
    }
    assert!(sent < 12, "{sent} requests in flight at two servers that have answered nothing");
    assert!(refused(&node.actions, 40));
    let mut quiet = Node::new(settings(), 2);
    let sent = (1..=10).map(|id| sends(&quiet.request(read(id, id)))).sum::<usize>();
    assert_eq!(sent, 10, "a burst at an idle fleet is served");
}

#[test]
fn a_full_server_does_not_spill_its_keys_down_the_order() {
    // Guards against keys that scatter from full servers and evict what the next ones cache.
    let mut node = Node::just_started(settings(), 12);
    let mut used = std::collections::BTreeSet::new();
    for id in 1..=60 {
        used.extend(sent_to(&node.request(read(id, 9))));
    }
    assert!(used.len() <= 4, "one key at {} of 12 servers", used.len());
    assert!(refused(&node.actions, 60));
}

#[test]
fn a_server_that_all_nodes_have_filled_is_skipped_by_its_live_weight() {
    // Guards against queues of twelve per core, of which each node sees one request of its own.
    let config = Settings { weights_are_live: true, may_duplicate: false, ..settings() };
    let mut node = Node::new(config, 3);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    node.pass(200 * MS);
    node.outcome(1, 0, first, AttemptStatus::Served); // 0.2 s for one request without a queue
    node.list(ListUpdate::Delta, vec![ServerEntry { weight: 0.1, ..server(first) }]);
    let next = sent_to(&node.request(read(2, 9))).expect("another has room");
    assert_ne!(next, first, "nine requests a core wait there");
    let all = (1..=3).map(|id| ServerEntry { weight: 0.1, ..server(id) }).collect();
    node.list(ListUpdate::Delta, all);
    assert!(refused(&node.request(read(3, 9)), 3), "all are full");
}

#[test]
fn idle_connections_are_closed_where_so_many_nodes_make_them_dearer_than_handshakes() {
    // Guards against full connection tables: four in five attempts of 413 nodes got no connection.
    let closes = |nodes| {
        let prices = Settings { connection_price: 0.03, handshake_price: 0.03, ..settings() };
        let mut node = Node::new(Settings { nodes, ..prices }, 3);
        let to = sent_to(&node.request(read(1, 9))).unwrap();
        node.outcome(1, 0, to, AttemptStatus::Served).contains(&Action::CloseIdle(to))
    };
    assert!(!closes(50) && closes(400));
}

#[test]
fn requests_are_answered_without_servers_or_an_origin_and_sent_once_there_are_some() {
    let mut node = Node::new(settings(), 2);
    node.list(ListUpdate::Full, Vec::new());
    assert!(refused(&node.request(read(1, 9)), 1));
    node.request(write(2, 1));
    assert!(refused(&node.pass(SECOND), 2), "no origin: postponed, then refused");
    node.list(ListUpdate::Full, vec![server(1), origin()]);
    assert_eq!(sent_to(&node.request(read(3, 9))), Some(1));
}
