//! Deadlines and latency objectives of requests.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn every_request_is_answered_before_its_deadline_when_no_server_answers() {
    let mut node = Node::new(settings(), 3);
    node.request(read(1, 9));
    node.request(Request { time_left: SECOND, ..write(2, 2) });
    let after = node.advance(1500 * MS);
    assert!(rejected(&after, 1), "an idempotent request may be rejected");
    assert!(failed(&after, 2), "a request that may have run must be failed, not rejected");
}

#[test]
fn a_timeout_at_the_deadline_is_answered_by_the_same_event() {
    let mut node = Node::new(settings(), 3);
    node.request(Request { time_left: 300 * MS, ..write(1, 2) });
    node.now += 300 * MS;
    assert!(failed(&node.outcome(1, 0, ORIGIN, AttemptStatus::TimedOut), 1));
}

#[test]
fn a_request_with_a_deadline_within_one_tick_is_rejected_at_once() {
    let mut node = Node::new(settings(), 3);
    let actions = node.request(Request { time_left: MS, ..read(1, 9) });
    assert!(rejected(&actions, 1) && send_count(&actions) == 0);
}

#[test]
fn a_read_without_late_weight_ends_at_its_objective_unless_a_fetch_is_in_flight() {
    // Guards against requests that run on after their latency objective: their responses no longer count, and
    // they delay the next requests.
    let mut node = Node::new(Settings { may_cancel: true, may_duplicate: false, ..settings() }, 3);
    node.request(read(1, 9));
    let at_objective = node.advance(760 * MS);
    assert!(rejected(&at_objective, 1) && at_objective.contains(&Action::Cancel { request: 1, attempt: 0 }));
    // Guards against a fetch that is cancelled at the objective, so that its value is never cached.
    let mut node = Node::new(Settings { may_cancel: true, may_duplicate: false, ..settings() }, 3);
    let first = sent_to(&node.request(read(2, 9))).unwrap();
    assert_eq!(sent_to(&node.outcome(2, 0, first, AttemptStatus::Miss)), Some(ORIGIN));
    let at_objective = node.advance(760 * MS);
    assert!(!rejected(&at_objective, 2) && !at_objective.iter().any(|a| matches!(a, Action::Cancel { .. })));
    assert!(rejected(&node.advance(SECOND), 2), "not rejected at its deadline");
}

#[test]
fn an_objective_shorter_than_two_ticks_is_handled() {
    // Guards against an underflow: the timer of a short objective was due before the current time.
    let mut settings = Settings { nodes: 0, ..settings() };
    settings.classes[0].latency_objective = 0;
    let mut node = Node::just_started(settings, 2);
    let actions = node.request(read(1, 9));
    assert!(rejected(&actions, 1) || send_count(&actions) == 1);
    assert!(node.advance(2 * SECOND).len() < 200);
}
