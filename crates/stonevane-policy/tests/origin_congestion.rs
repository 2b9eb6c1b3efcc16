//! What counts as a slow origin: an answer's own time, not the handshake of its connection.
#![allow(missing_docs)]

mod common;

use common::*;
use stonevane_policy::*;

/// One of many nodes, so that a single slow answer delays the next fetch.
const NODES: u32 = 300;
/// The shortest and the longest latency objective of the classes.
const SHORTEST_OBJECTIVE: Micros = 100 * MS;
const LONGEST_OBJECTIVE: Micros = 800 * MS;
/// An answer after this time is slow.
const SLOW: Micros = 90 * MS;
const QUICK: Micros = 20 * MS;
/// For so long an answer on a reused connection shows how quick the origin is: eight longest objectives.
const KNOWN_FOR: Micros = 8 * LONGEST_OBJECTIVE;

fn node() -> Node {
    let mut settings = Settings { nodes: NODES, startup_attempts_per_server: 0.0, ..settings() };
    for class in &mut settings.classes {
        class.latency_objective = LONGEST_OBJECTIVE;
    }
    settings.classes[2].latency_objective = SHORTEST_OBJECTIVE;
    Node::new(settings, 4)
}

/// A read that misses: whether its fetch goes to the origin at once.
fn fetches(node: &mut Node, id: RequestId) -> bool {
    let cache = sent_to(&node.request(read(id, 1_000_003 * id))).expect("a cache server");
    sent_to(&node.outcome(id, 0, cache, AttemptStatus::Miss)) == Some(ORIGIN)
}

/// The origin's answer to a fetch, after a time.
fn answers(node: &mut Node, id: RequestId, after: Micros, first_on_connection: bool) {
    node.pass(after);
    node.outcome_on(id, 1, ORIGIN, AttemptStatus::Served, first_on_connection);
}

/// A node that has had a quick answer on a reused connection.
fn knows_a_quick_origin() -> Node {
    let mut node = node();
    assert!(fetches(&mut node, 1));
    answers(&mut node, 1, QUICK, false);
    node
}

#[test]
fn a_handshake_is_no_sign_of_a_slow_origin() {
    let mut node = knows_a_quick_origin();
    assert!(fetches(&mut node, 2));
    answers(&mut node, 2, SLOW, true);
    assert!(fetches(&mut node, 3), "the next fetch goes at once");
}

#[test]
fn a_slow_answer_on_a_reused_connection_delays_the_next_fetch() {
    let mut node = knows_a_quick_origin();
    assert!(fetches(&mut node, 2));
    answers(&mut node, 2, SLOW, false);
    assert!(!fetches(&mut node, 3));
}

#[test]
fn first_answers_count_where_no_reused_connection_is_known() {
    let mut fresh = node();
    assert!(fetches(&mut fresh, 1));
    answers(&mut fresh, 1, SLOW, true);
    assert!(!fetches(&mut fresh, 2), "nothing else is known yet");

    let mut idle = knows_a_quick_origin();
    idle.pass(KNOWN_FOR);
    assert!(fetches(&mut idle, 2));
    answers(&mut idle, 2, SLOW, true);
    assert!(!fetches(&mut idle, 3), "what is known is too old");
}

#[test]
fn a_first_answer_later_than_the_longest_objective_counts() {
    let mut node = knows_a_quick_origin();
    assert!(fetches(&mut node, 2));
    answers(&mut node, 2, LONGEST_OBJECTIVE + MS, true);
    assert!(!fetches(&mut node, 3), "no handshake takes so long");
}

#[test]
fn failures_on_a_new_connection_count() {
    for status in [AttemptStatus::Rejected, AttemptStatus::Error, AttemptStatus::ConnectFailed] {
        let mut node = knows_a_quick_origin();
        assert!(fetches(&mut node, 2));
        node.pass(SLOW);
        node.outcome_on(2, 1, ORIGIN, status, true);
        assert!(!fetches(&mut node, 3), "{status:?}");
    }
}
