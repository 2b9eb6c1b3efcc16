//! Deadlines and latency objectives of requests.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn every_request_is_answered_before_its_deadline_when_no_server_answers() {
    let mut node = Node::new(settings(), 3);
    node.request(read(1, 9));
    node.request(Request { time_left: SECOND, ..write(2, 2) });
    let after = node.pass(1500 * MS);
    assert!(refused(&after, 1), "safe to repeat: a refusal is true");
    assert!(failed(&after, 2), "may have run: only a failure is true");
}

#[test]
fn a_timeout_at_the_deadline_is_answered_in_the_same_reply() {
    let mut node = Node::new(settings(), 3);
    node.request(Request { time_left: 300 * MS, ..write(1, 2) });
    node.now += 300 * MS;
    assert!(failed(&node.outcome(1, 0, ORIGIN, AttemptStatus::TimedOut), 1));
}

#[test]
fn a_deadline_sooner_than_a_tick_is_rejected_at_once() {
    let mut node = Node::new(settings(), 3);
    let answer = node.request(Request { time_left: MS, ..read(1, 9) });
    assert!(refused(&answer, 1) && sends(&answer) == 0);
}

#[test]
fn a_read_ends_at_its_objective_where_late_answers_earn_nothing_but_its_fetch_runs_on() {
    // Guards against late answers that delay the next ones.
    let mut node = Node::new(Settings { may_cancel: true, may_duplicate: false, ..settings() }, 3);
    node.request(read(1, 9));
    let at_aim = node.pass(760 * MS);
    assert!(refused(&at_aim, 1) && at_aim.contains(&Action::Cancel { request: 1, attempt: 0 }));
    // Guards against a fetch cancelled at the objective, whose value is then never cached.
    let mut node = Node::new(Settings { may_cancel: true, may_duplicate: false, ..settings() }, 3);
    let first = sent_to(&node.request(read(2, 9))).unwrap();
    assert_eq!(sent_to(&node.outcome(2, 0, first, AttemptStatus::Miss)), Some(ORIGIN));
    let at_aim = node.pass(760 * MS);
    assert!(!refused(&at_aim, 2) && !at_aim.iter().any(|a| matches!(a, Action::Cancel { .. })));
    assert!(refused(&node.pass(SECOND), 2), "but not beyond the client's time");
}

#[test]
fn an_objective_shorter_than_two_ticks_is_handled() {
    // Guards against an underflow: the timer of the objective lay before the present.
    let mut config = Settings { nodes: 0, ..settings() };
    config.classes[0].latency_objective = 0;
    let mut node = Node::just_started(config, 2);
    let answer = node.request(read(1, 9));
    assert!(refused(&answer, 1) || sends(&answer) == 1);
    assert!(node.pass(2 * SECOND).len() < 200);
}
