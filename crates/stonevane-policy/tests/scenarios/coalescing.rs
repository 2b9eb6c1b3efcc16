//! Coalesced fetches: misses of one key that share a call to the origin.

use stonevane_policy::*;

use crate::common::*;

/// Returns a node after 200 misses of one key, and the number of these misses that caused a call to the
/// origin.
fn stampede(coalesce_fetches: bool) -> (Node, usize) {
    let tenants = vec![Tenant { quota_per_s: 300.0 }];
    let mut node = Node::new(Settings { coalesce_fetches, tenants, ..settings() }, 40);
    let first: Vec<_> = (1..=200).map(|id| sent_to(&node.request(read(id, 9))).unwrap()).collect();
    let fetched = first
        .iter()
        .zip(1..)
        .filter(|(s, id)| sent_to(&node.outcome(*id, 0, **s, AttemptStatus::Miss)) == Some(ORIGIN));
    let count = fetched.count();
    (node, count)
}

#[test]
fn two_hundred_coalesced_misses_of_one_key_count_as_one_call() {
    assert!(stampede(false).1 < 20, "each miss counts as a call, and the origin limits block most");
    let (mut node, fetched) = stampede(true);
    assert_eq!(fetched, 200);
    // One call is in flight, so the concurrency limit allows one fetch fewer for other keys.
    let mut sent = 0;
    for id in 301..=330 {
        let first = sent_to(&node.request(read(id, 100 + id))).unwrap();
        sent += send_count(&node.outcome(id, 0, first, AttemptStatus::Miss));
    }
    assert_eq!(sent, 6, "0.7 of half of the limit of twenty, less the call in flight");
    // Outcomes of fetches that joined a call are no evidence about the origin, and release no part of the
    // concurrency limit, because they never acquired one.
    for id in 2..=200 {
        node.outcome(id, 1, ORIGIN, AttemptStatus::Served);
    }
    assert_eq!(send_count(&node.advance(20 * MS)), 0, "a joined fetch has released a part of the limit");
    node.outcome(1, 1, ORIGIN, AttemptStatus::Served);
    assert_eq!(send_count(&node.advance(60 * MS)), 1, "the end of the call allows one more");
}

#[test]
fn no_miss_joins_a_fetch_that_has_ended_or_started_before_a_write_of_its_key() {
    let (mut node, _) = stampede(true);
    node.outcome(1, 1, ORIGIN, AttemptStatus::Served);
    let fetch = |node: &mut Node, id| {
        let first = sent_to(&node.request(read(id, 9))).unwrap();
        send_count(&node.outcome(id, 0, first, AttemptStatus::Miss))
    };
    // The concurrency limit is seven, so the number of fetches that are sent shows whether a call was
    // counted.
    assert_eq!(fetch(&mut node, 401), 1, "a new call");
    let write_request = Request { key: 9, ..write(402, 1) };
    assert_eq!(sent_to(&node.request(write_request)), Some(ORIGIN));
    node.outcome(402, 0, ORIGIN, AttemptStatus::Served);
    for id in 403..=408 {
        assert_eq!(fetch(&mut node, id), 1);
    }
    node.outcome(401, 1, ORIGIN, AttemptStatus::Served);
    assert_eq!(fetch(&mut node, 409), 1, "the end of the older call ended the newer one");
}
