//! Slow start of one server at one node.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_server_in_slow_start_gets_a_growing_share_of_its_keys() {
    let share_at = |age: Micros| {
        let mut node = Node::new(settings(), 4);
        let started = node.now;
        node.list(ListUpdate::Delta, vec![ServerEntry { started, ..server(2) }]);
        node.now += age;
        let mut at_starting = 0;
        for id in 1..=2000 {
            node.now += 20 * MS / 100;
            let to = sent_to(&node.request(read(id, id))).unwrap();
            at_starting += usize::from(to == 2);
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
        at_starting as f64 / 500.0
    };
    assert!(share_at(0) < 0.45, "just started: {}", share_at(0));
    assert!(share_at(12 * SECOND) > 0.8, "nearly warmed up: {}", share_at(12 * SECOND));
}

#[test]
fn a_hot_key_does_not_go_to_a_server_in_slow_start() {
    // Guards against an overload of a server in slow start by many nodes that each send it one request for
    // the same hot key.
    let goes_to_starting_server = |hot: bool| {
        let tenants = vec![Tenant { quota_per_s: 100_000.0 }];
        let settings = Settings { nodes: 1000, initial_capacity: 0.9, tenants, ..settings() };
        let mut node = Node::new(settings, 4);
        let serve_read = |node: &mut Node, id, key| {
            node.advance(20 * MS);
            let to = sent_to(&node.request(read(id, key)));
            node.outcome(id, 0, to.unwrap(), AttemptStatus::Served);
            to
        };
        let key = (1..1_000).find(|key| serve_read(&mut node, 1000 + key, *key) == Some(2)).unwrap();
        for id in 5000..5100 {
            serve_read(&mut node, id, if hot { key } else { id });
        }
        node.list(ListUpdate::Delta, vec![ServerEntry { started: node.now, ..server(2) }]);
        serve_read(&mut node, 9999, key) == Some(2)
    };
    assert!(goes_to_starting_server(false), "a key that is not hot does not go there");
    assert!(!goes_to_starting_server(true), "a hot key goes there");
}
