//! Slow start of one server, as one node sees it.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_cold_server_gets_a_part_of_its_keys_that_grows_as_it_warms_up() {
    let share_at = |age: Micros| {
        let mut node = Node::new(settings(), 4);
        let started = node.now;
        node.list(ListUpdate::Delta, vec![ServerEntry { started, ..server(2) }]);
        node.now += age;
        let mut at_cold = 0;
        for id in 1..=2000 {
            node.now += 20 * MS / 100;
            let to = sent_to(&node.request(read(id, id))).unwrap();
            at_cold += usize::from(to == 2);
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
        at_cold as f64 / 500.0
    };
    assert!(share_at(0) < 0.45, "cold: {}", share_at(0));
    assert!(share_at(12 * SECOND) > 0.8, "warm: {}", share_at(12 * SECOND));
}

#[test]
fn a_key_requested_again_and_again_does_not_go_to_a_cold_server() {
    // Guards against one request for a hot key from each of many nodes, which overloads a cold server.
    let at_cold = |again: bool| {
        let tenants = vec![Tenant { quota_per_s: 100_000.0 }];
        let config = Settings { nodes: 1000, initial_capacity: 0.9, tenants, ..settings() };
        let mut node = Node::new(config, 4);
        let serve_read = |node: &mut Node, id, key| {
            node.pass(20 * MS);
            let to = sent_to(&node.request(read(id, key)));
            node.outcome(id, 0, to.unwrap(), AttemptStatus::Served);
            to
        };
        let key = (1..1_000).find(|key| serve_read(&mut node, 1000 + key, *key) == Some(2)).unwrap();
        for id in 5000..5100 {
            serve_read(&mut node, id, if again { key } else { id });
        }
        node.list(ListUpdate::Delta, vec![ServerEntry { started: node.now, ..server(2) }]);
        serve_read(&mut node, 9999, key) == Some(2)
    };
    assert!(at_cold(false), "a key of its own goes there");
    assert!(!at_cold(true), "a hot one does not");
}
