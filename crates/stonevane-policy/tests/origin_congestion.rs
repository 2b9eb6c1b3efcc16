//! Detection of a slow origin: the response time counts, the handshake of a new connection does not.
#![allow(missing_docs)]

mod common;

use common::*;
use stonevane_policy::*;

/// Number of nodes: large, so that a single slow response delays the next fetch of a node.
const NODES: u32 = 300;
/// Shortest latency objective of the classes; [`LONGEST_OBJECTIVE`] is the longest.
const SHORTEST_OBJECTIVE: Micros = 100 * MS;
const LONGEST_OBJECTIVE: Micros = 800 * MS;
/// Response time of a slow origin; [`FAST_RESPONSE`] is that of a fast one.
const SLOW_RESPONSE: Micros = 90 * MS;
const FAST_RESPONSE: Micros = 20 * MS;
/// Time for which a response on a reused connection is evidence of the speed of the origin: eight times the
/// longest objective.
const EVIDENCE_LIFETIME: Micros = 8 * LONGEST_OBJECTIVE;

fn node() -> Node {
    let mut settings = Settings { nodes: NODES, startup_attempts_per_server: 0.0, ..settings() };
    for class in &mut settings.classes {
        class.latency_objective = LONGEST_OBJECTIVE;
    }
    settings.classes[2].latency_objective = SHORTEST_OBJECTIVE;
    Node::new(settings, 4)
}

/// Sends a read that misses, and returns whether its fetch goes to the origin at once.
fn fetches_at_once(node: &mut Node, id: RequestId) -> bool {
    let cache = sent_to(&node.request(read(id, 1_000_003 * id))).expect("a cache server");
    sent_to(&node.outcome(id, 0, cache, AttemptStatus::Miss)) == Some(ORIGIN)
}

/// Answers a fetch from the origin after a response time.
fn answer_fetch(node: &mut Node, id: RequestId, response_time: Micros, first_on_connection: bool) {
    node.advance(response_time);
    node.outcome_on(id, 1, ORIGIN, AttemptStatus::Served, first_on_connection);
}

/// Returns a node that has had a fast response of the origin on a reused connection.
fn node_with_fast_origin() -> Node {
    let mut node = node();
    assert!(fetches_at_once(&mut node, 1));
    answer_fetch(&mut node, 1, FAST_RESPONSE, false);
    node
}

#[test]
fn a_handshake_does_not_count_as_a_slow_response() {
    let mut node = node_with_fast_origin();
    assert!(fetches_at_once(&mut node, 2));
    answer_fetch(&mut node, 2, SLOW_RESPONSE, true);
    assert!(fetches_at_once(&mut node, 3), "the next fetch was delayed");
}

#[test]
fn a_slow_response_on_a_reused_connection_delays_the_next_fetch() {
    let mut node = node_with_fast_origin();
    assert!(fetches_at_once(&mut node, 2));
    answer_fetch(&mut node, 2, SLOW_RESPONSE, false);
    assert!(!fetches_at_once(&mut node, 3));
}

#[test]
fn first_responses_count_without_recent_responses_on_reused_connections() {
    let mut fresh = node();
    assert!(fetches_at_once(&mut fresh, 1));
    answer_fetch(&mut fresh, 1, SLOW_RESPONSE, true);
    assert!(!fetches_at_once(&mut fresh, 2), "there is no other evidence yet");

    let mut idle = node_with_fast_origin();
    idle.advance(EVIDENCE_LIFETIME);
    assert!(fetches_at_once(&mut idle, 2));
    answer_fetch(&mut idle, 2, SLOW_RESPONSE, true);
    assert!(!fetches_at_once(&mut idle, 3), "the other evidence is too old");
}

#[test]
fn a_first_response_after_the_longest_objective_counts() {
    let mut node = node_with_fast_origin();
    assert!(fetches_at_once(&mut node, 2));
    answer_fetch(&mut node, 2, LONGEST_OBJECTIVE + MS, true);
    assert!(!fetches_at_once(&mut node, 3), "no handshake takes longer than the longest objective");
}

#[test]
fn failures_on_a_new_connection_count() {
    for status in [AttemptStatus::Rejected, AttemptStatus::Error, AttemptStatus::ConnectFailed] {
        let mut node = node_with_fast_origin();
        assert!(fetches_at_once(&mut node, 2));
        node.advance(SLOW_RESPONSE);
        node.outcome_on(2, 1, ORIGIN, status, true);
        assert!(!fetches_at_once(&mut node, 3), "{status:?}");
    }
}
