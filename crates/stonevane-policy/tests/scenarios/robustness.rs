//! Robustness against unusual events and settings, and limits on the number of timers.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn nodes_send_no_peer_messages_and_ignore_received_ones() {
    // Guards against broadcasts of each node to all others, whose number grows with the square of the number
    // of nodes.
    let mut settings = settings();
    (settings.tenants, settings.nodes) = (vec![Tenant { quota_per_s: 100.0 }], 4);
    settings.may_message_peers = true;
    let mut node = Node::new(settings, 20);
    node.event(Event::PeerMessage { from: 1, bytes: vec![0xff; 300] });
    assert!(sent_to(&node.request(read(1, 9))).is_some());
    node.advance(30 * SECOND);
    assert!(!node.actions.iter().any(|a| matches!(a, Action::SendToPeer { .. })));
}

#[test]
fn events_of_ended_requests_and_repeated_or_unknown_outcomes_are_ignored() {
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
        let actions = node.outcome(1, 0, to, status);
        assert!(
            send_count(&actions) == 0 && !rejected(&actions, 1) && !failed(&actions, 1),
            "repeated: {status:?}"
        );
        let actions = node.outcome(77, 3, 4242, status);
        assert!(send_count(&actions) == 0 && !rejected(&actions, 77), "never sent: {status:?}");
    }
    assert!(send_count(&node.event(Event::ClientDisconnected(1))) == 0);
    node.request(read(2, 9));
    node.event(Event::ClientDisconnected(2));
    let late = node.outcome(2, 0, to, AttemptStatus::Miss);
    assert!(
        send_count(&late) == 0 && !rejected(&late, 2),
        "fetched or answered although its client has disconnected"
    );
    assert!(send_count(&node.advance(3 * SECOND)) == 0);
}

#[test]
fn settings_and_weights_that_are_not_finite_are_handled() {
    let settings = Settings {
        tenants: vec![Tenant { quota_per_s: f64::NAN }, Tenant { quota_per_s: f64::INFINITY }],
        weights_are_sizes: true,
        initial_capacity: f64::NAN,
        connection_price: f64::NAN,
        ..settings()
    };
    let mut node = Node::new(settings, 2);
    let weights = [f32::NAN, f32::INFINITY, -1.0];
    let entry = |(id, weight)| ServerEntry { weight, started: 60 * SECOND, ..server(id) };
    let mut entries: Vec<_> = (1..).zip(weights).map(entry).collect();
    entries.push(origin());
    node.list(ListUpdate::Full, entries);
    for id in 1..=30 {
        let actions = node.request(Request { tenant: id as usize % 2, size: f32::NAN, ..read(id, id) });
        assert!(send_count(&actions) == 1 || rejected(&actions, id), "neither sent nor rejected");
    }
    let after = node.advance(2 * SECOND);
    assert!(
        (1..=30).all(|id| rejected(&node.actions, id)),
        "a request was not answered; {} actions",
        after.len()
    );
}

#[test]
fn an_idle_node_does_not_spin_on_timers() {
    let mut node = Node::new(settings(), 3);
    node.request(read(1, 9));
    node.actions.clear();
    node.advance(60 * SECOND);
    assert!(node.actions.len() < 1500, "{} actions in an idle minute", node.actions.len());
}

#[test]
fn obsolete_timers_do_not_accumulate() {
    // Guards against obsolete timers that each set another timer.
    let mut node = Node::new(settings(), 3);
    for id in 1..=200 {
        let actions = node.request(read(id, id));
        let server = sent_to(&actions).unwrap();
        node.outcome(id, 0, server, AttemptStatus::Miss);
        node.outcome(id, 1, ORIGIN, AttemptStatus::Rejected);
        node.advance(20 * MS);
    }
    node.advance(10 * SECOND);
    let timers =
        node.advance(10 * SECOND).iter().filter(|action| matches!(action, Action::Timer { .. })).count();
    assert!(timers <= 120, "{timers} timers in ten seconds without events");
}
