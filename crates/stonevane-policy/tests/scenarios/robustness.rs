//! Unusual events and settings, and timers that must not pile up.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn nodes_send_each_other_nothing_and_ignore_messages_of_peers() {
    // Guards against broadcasts of each node to all others, whose number grows with the square of the nodes.
    let mut config = settings();
    (config.tenants, config.nodes) = (vec![Tenant { quota_per_s: 100.0 }], 4);
    config.may_message_peers = true;
    let mut node = Node::new(config, 20);
    node.event(Event::PeerMessage { from: 1, bytes: vec![0xff; 300] });
    assert!(sent_to(&node.request(read(1, 9))).is_some());
    node.pass(30 * SECOND);
    assert!(!node.actions.iter().any(|a| matches!(a, Action::SendToPeer { .. })));
}

#[test]
fn events_for_ended_requests_and_repeated_or_unknown_outcomes_call_for_nothing() {
    let mut node = Node::new(settings(), 3);
    let to = sent_to(&node.request(read(1, 9))).unwrap();
    node.outcome(1, 0, to, AttemptStatus::Served);
    for status in [
        AttemptStatus::Served,
        AttemptStatus::Miss,
        AttemptStatus::Rejected,
        AttemptStatus::TimedOut,
        AttemptStatus::Cancelled,
    ] {
        let answer = node.outcome(1, 0, to, status);
        assert!(sends(&answer) == 0 && !refused(&answer, 1) && !failed(&answer, 1), "repeated: {status:?}");
        let answer = node.outcome(77, 3, 4242, status);
        assert!(sends(&answer) == 0 && !refused(&answer, 77), "never sent: {status:?}");
    }
    assert!(sends(&node.event(Event::ClientDisconnected(1))) == 0);
    node.request(read(2, 9));
    node.event(Event::ClientDisconnected(2));
    let late = node.outcome(2, 0, to, AttemptStatus::Miss);
    assert!(sends(&late) == 0 && !refused(&late, 2), "its client has left: no fetch, no answer");
    assert!(sends(&node.pass(3 * SECOND)) == 0);
}

#[test]
fn figures_that_are_not_finite_are_handled() {
    let config = Settings {
        tenants: vec![Tenant { quota_per_s: f64::NAN }, Tenant { quota_per_s: f64::INFINITY }],
        weights_are_sizes: true,
        initial_capacity: f64::NAN,
        connection_price: f64::NAN,
        ..settings()
    };
    let mut node = Node::new(config, 2);
    let weights = [f32::NAN, f32::INFINITY, -1.0];
    let line = |(id, weight)| ServerEntry { weight, started: 60 * SECOND, ..server(id) };
    let mut lines: Vec<_> = (1..).zip(weights).map(line).collect();
    lines.push(origin());
    node.list(ListUpdate::Full, lines);
    for id in 1..=30 {
        let answer = node.request(Request { tenant: id as usize % 2, size: f32::NAN, ..read(id, id) });
        assert!(sends(&answer) == 1 || refused(&answer, id), "sent or refused");
    }
    let after = node.pass(2 * SECOND);
    assert!((1..=30).all(|id| refused(&node.actions, id)), "each is answered: {}", after.len());
}

#[test]
fn an_idle_node_does_not_spin_on_timers() {
    let mut node = Node::new(settings(), 3);
    node.request(read(1, 9));
    node.actions.clear();
    node.pass(60 * SECOND);
    assert!(node.actions.len() < 1500, "{} actions in an idle minute", node.actions.len());
}

#[test]
fn overtaken_timers_do_not_grow_in_number() {
    // Guards against overtaken timers that each set another one.
    let mut node = Node::new(settings(), 3);
    for id in 1..=200 {
        let actions = node.request(read(id, id));
        let server = sent_to(&actions).unwrap();
        node.outcome(id, 0, server, AttemptStatus::Miss);
        node.outcome(id, 1, ORIGIN, AttemptStatus::Rejected);
        node.pass(20 * MS);
    }
    node.pass(10 * SECOND);
    let timers =
        node.pass(10 * SECOND).iter().filter(|action| matches!(action, Action::Timer { .. })).count();
    assert!(timers <= 120, "{timers} timers in ten seconds in which nothing happens");
}
