//! Fetches of one key that share a call to the origin.

use stonevane_policy::*;

use crate::common::*;

/// A node with 200 misses of one key, and how many of them called the origin.
fn stampede(shares_fetches: bool) -> (Node, usize) {
    let tenants = vec![Tenant { quota_per_s: 300.0 }];
    let mut node = Node::new(Settings { coalesce_fetches: shares_fetches, tenants, ..settings() }, 40);
    let first: Vec<_> = (1..=200).map(|id| sent_to(&node.request(read(id, 9))).unwrap()).collect();
    let fetched = first
        .iter()
        .zip(1..)
        .filter(|(s, id)| sent_to(&node.outcome(*id, 0, **s, AttemptStatus::Miss)) == Some(ORIGIN));
    let count = fetched.count();
    (node, count)
}

#[test]
fn two_hundred_misses_of_one_key_that_share_a_fetch_count_as_one_call() {
    assert!(stampede(false).1 < 20, "each is a call, and the gate shuts");
    let (mut node, fetched) = stampede(true);
    assert_eq!(fetched, 200);
    // One call is in flight: fetches of other keys still pass, as many as before less one.
    let mut through = 0;
    for id in 301..=330 {
        let first = sent_to(&node.request(read(id, 100 + id))).unwrap();
        through += sends(&node.outcome(id, 0, first, AttemptStatus::Miss));
    }
    assert_eq!(through, 6, "seven in ten of half of the cap of twenty, less the one");
    // The outcomes of joined fetches say nothing of the origin, and release nothing that they never acquired.
    for id in 2..=200 {
        node.outcome(id, 1, ORIGIN, AttemptStatus::Served);
    }
    assert_eq!(sends(&node.pass(20 * MS)), 0, "the gate is as full as before");
    node.outcome(1, 1, ORIGIN, AttemptStatus::Served);
    assert_eq!(sends(&node.pass(60 * MS)), 1, "the one call has made room for one");
}

#[test]
fn nothing_joins_a_fetch_that_has_ended_or_is_older_than_a_write_of_its_key() {
    let (mut node, _) = stampede(true);
    node.outcome(1, 1, ORIGIN, AttemptStatus::Served);
    let again = |node: &mut Node, id| {
        let first = sent_to(&node.request(read(id, 9))).unwrap();
        sends(&node.outcome(id, 0, first, AttemptStatus::Miss))
    };
    // The limit of seven fetches at once shows whether a call was counted.
    assert_eq!(again(&mut node, 401), 1, "a new call");
    let wrote = Request { key: 9, ..write(402, 1) };
    assert_eq!(sent_to(&node.request(wrote)), Some(ORIGIN));
    node.outcome(402, 0, ORIGIN, AttemptStatus::Served);
    for id in 403..=408 {
        assert_eq!(again(&mut node, id), 1);
    }
    node.outcome(401, 1, ORIGIN, AttemptStatus::Served);
    assert_eq!(again(&mut node, 409), 1, "the end of the older call does not end what joined the newer");
}
