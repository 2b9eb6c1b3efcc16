//! Operations on a running node: excluding and reinstating servers, new settings, shutdown.
#![allow(missing_docs)]

mod common;

use common::*;
use stonevane_policy::*;

fn exclude(node: &mut Node, server: ServerId, excluded: bool) {
    node.event(Event::Exclude { server, excluded });
}

/// Sends `count` reads, each of which is served, and returns how many went to `server`.
fn reads(node: &mut Node, from: u64, count: u64, server: ServerId) -> usize {
    let mut at_server = 0;
    for id in from..from + count {
        let actions = node.request(read(id, 31 * id));
        if let Some(to) = sent_to(&actions) {
            at_server += usize::from(to == server);
            node.advance(5 * MS);
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    at_server
}

#[test]
fn an_excluded_server_gets_no_requests_despite_new_lists_and_settings() {
    let mut node = Node::new(settings(), 4);
    assert!(reads(&mut node, 1, 100, 2) > 0);
    exclude(&mut node, 2, true);
    exclude(&mut node, 2, true);
    assert_eq!(node.policy.excluded_or_ejected_count(), 1);
    assert_eq!(reads(&mut node, 1_000, 200, 2), 0);
    let full_list = || (1..=4).map(server).chain([origin()]).collect::<Vec<_>>();
    let removed = vec![ServerEntry { condition: Condition::Gone, ..server(2) }];
    node.list(ListUpdate::Delta, removed);
    assert_eq!(reads(&mut node, 2_000, 200, 2), 0);
    node.list(ListUpdate::Full, full_list());
    assert_eq!(reads(&mut node, 3_000, 200, 2), 0);
    node.event(Event::Settings { settings: Box::new(settings()), previous_positions: Vec::new() });
    assert_eq!(reads(&mut node, 4_000, 200, 2), 0);
    // Server 2 is not used even if all other servers are excluded too.
    for id in [1, 3, 4] {
        exclude(&mut node, id, true);
    }
    let actions = node.request(read(9_000, 5));
    assert!(rejected(&actions, 9_000) && send_count(&actions) == 0, "not rejected at once");
    for id in [1, 3, 4] {
        exclude(&mut node, id, false);
    }
    exclude(&mut node, 2, false);
    assert_eq!(node.policy.excluded_or_ejected_count(), 0);
    assert!(reads(&mut node, 10_000, 200, 2) > 0, "one reinstatement undoes both exclusions");
}

#[test]
fn retries_and_hedged_requests_avoid_a_server_excluded_after_the_first_attempt() {
    let mut node = Node::new(settings(), 2);
    let mut checked = 0;
    for id in 1..60 {
        let Some(first) = sent_to(&node.request(read(id, id))) else { continue };
        let other = 3 - first;
        exclude(&mut node, other, true);
        let mut actions = node.outcome(id, 0, first, AttemptStatus::ConnectFailed);
        actions.extend(node.advance(2 * SECOND));
        assert_ne!(sent_to(&actions), Some(other));
        exclude(&mut node, other, false);
        checked += 1;
        node.advance(20 * SECOND); // Both servers have warmed up again.
    }
    assert!(checked > 40, "{checked}");
}

#[test]
fn a_reinstated_server_has_no_failure_count_and_soon_gets_requests_in_a_large_fleet() {
    // The node sends two reads a second to 200 servers, so each server gets few of them.
    let mut node = Node::new(Settings { nodes: 300, slow_start_duration: 60 * SECOND, ..settings() }, 200);
    for attempt in 0..10 {
        let id = 1 + attempt;
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            node.outcome(id, 0, to, AttemptStatus::ConnectFailed);
        }
    }
    exclude(&mut node, 7, true);
    node.advance(2 * SECOND);
    exclude(&mut node, 7, false);
    let mut at_server = 0;
    for id in 100..106 {
        node.advance(SECOND / 2);
        let actions = node.request(read(id, 77 * id));
        let Some(to) = sent_to(&actions) else { continue };
        at_server += usize::from(to == 7);
        node.outcome(id, 0, to, AttemptStatus::Served);
    }
    assert!(
        (1..=2).contains(&at_server),
        "{at_server} of six reads in the three seconds after it was reinstated"
    );
}

fn new_settings(change: impl FnOnce(&mut Settings)) -> Event {
    let mut settings = settings();
    change(&mut settings);
    Event::Settings { settings: Box::new(settings), previous_positions: Vec::new() }
}

#[test]
fn a_pending_request_keeps_its_class_of_arrival() {
    // An attempt that may have run is retried if its class is idempotent. The class changes while it is in
    // flight.
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, 5))).unwrap();
    node.event(new_settings(|s| s.classes[0].idempotency = Idempotency::NonIdempotent));
    let again = node.outcome(1, 0, first, AttemptStatus::Reset);
    assert_eq!(send_count(&again), 1, "the request arrived as an idempotent one");
    let second = sent_to(&node.request(read(2, 6))).unwrap();
    let again = node.outcome(2, 0, second, AttemptStatus::Reset);
    assert!(send_count(&again) == 0 && failed(&again, 2), "this request arrived as a non-idempotent one");
    // A request that was non-idempotent when it arrived stays non-idempotent after its class has become
    // idempotent.
    let mut node = Node::new(settings(), 3);
    let non_idempotent = write(1, 2);
    node.request(non_idempotent);
    node.event(new_settings(|s| s.classes[2].idempotency = Idempotency::Idempotent));
    let after = node.outcome(1, 0, ORIGIN, AttemptStatus::Reset);
    assert!(send_count(&after) == 0 && failed(&after, 1), "{after:?}");
}

#[test]
fn a_pending_request_is_limited_by_the_old_and_the_new_attempt_limit() {
    for (before, after, expected) in [(2, 4, 2), (4, 2, 2)] {
        let mut node = Node::new(Settings { max_attempts: before, ..settings() }, 6);
        let mut to = sent_to(&node.request(read(1, 5)));
        node.event(new_settings(|s| s.max_attempts = after));
        let mut sent = 0;
        while let Some(server) = to {
            to = sent_to(&node.outcome(1, sent, server, AttemptStatus::ConnectFailed));
            sent += 1;
        }
        assert_eq!(sent, expected, "from {before} to {after}");
    }
}

#[test]
fn blocked_requests_survive_the_removal_of_their_class() {
    let mut node = Node::new(settings(), 3);
    let mut blocked = Vec::new();
    for id in 1..200 {
        let actions = node.request(write(id, 2));
        if send_count(&actions) == 0 && !rejected(&actions, id) {
            blocked.push(id);
        }
    }
    assert!(!blocked.is_empty());
    node.event(new_settings(|s| s.classes.truncate(1)));
    node.advance(2 * SECOND);
    for id in blocked {
        let ended = rejected(&node.actions, id) || failed(&node.actions, id);
        let sent = node.actions.iter().any(|a| matches!(a, Action::Send { request, .. } if *request == id));
        assert!(ended || sent, "request {id} was neither answered nor sent");
    }
}

#[test]
fn tenants_keep_their_token_buckets_at_new_positions() {
    let tenant = |quota_per_s| Tenant { quota_per_s };
    let tenants = vec![tenant(1.0), tenant(1000.0)];
    let mut node = Node::just_started(Settings { tenants: tenants.clone(), ..settings() }, 3);
    let request = |node: &mut Node, id: u64, tenant: usize| {
        let actions = node.request(Request { tenant, ..read(id, id) });
        let to = sent_to(&actions);
        to.inspect(|to| drop(node.outcome(id, 0, *to, AttemptStatus::Served)));
        to.is_some()
    };
    let spent = (1..100).take_while(|id| request(&mut node, *id, 0)).count();
    assert!(spent < 99, "the bucket of the first tenant did not run empty");
    let swapped = Settings { tenants: vec![tenants[1].clone(), tenants[0].clone()], ..settings() };
    node.event(Event::Settings { settings: Box::new(swapped), previous_positions: vec![Some(1), Some(0)] });
    assert!(!request(&mut node, 500, 1), "the empty bucket moves with its tenant");
    assert!(request(&mut node, 501, 0), "the full bucket moves with its tenant");
}

#[test]
fn the_stricter_of_two_classes_has_the_restrictions_of_both() {
    let keyed = |scope, window| Idempotency::WithKey { scope, window };
    let class = |idempotency, deadline| RequestClass { idempotency, deadline, ..RequestClass::default() };
    for (a, b, expected) in [
        (Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::NonIdempotent),
        (keyed(DedupScope::All, 5), Idempotency::NonIdempotent, Idempotency::NonIdempotent),
        (Idempotency::Idempotent, keyed(DedupScope::Zone, 5), keyed(DedupScope::Zone, 5)),
        (keyed(DedupScope::All, 5), keyed(DedupScope::Zone, 9), keyed(DedupScope::Zone, 5)),
        (keyed(DedupScope::Cell, 5), keyed(DedupScope::Zone, 3), keyed(DedupScope::Cell, 3)),
        (Idempotency::Idempotent, Idempotency::Idempotent, Idempotency::Idempotent),
    ] {
        for (a, b) in [(a, b), (b, a)] {
            let merged = class(a, 7).stricter(&class(b, 4));
            assert_eq!((merged.idempotency, merged.deadline), (expected, 4), "{a:?} and {b:?}");
        }
    }
}

#[test]
fn processes_of_a_node_share_its_origin_limits() {
    // Number of calls to the origin that the processes of one node send at once. Each process has the given
    // share of the node's limits.
    let calls = |shares: &[f64]| -> usize {
        let processes = shares.iter().map(|share| {
            let mut node = Node::new(settings(), 3);
            node.event(Event::ProcessShare(*share));
            (1..200).map(|id| send_count(&node.request(write(id, 2)))).sum::<usize>()
        });
        processes.sum()
    };
    let one = calls(&[1.0]);
    assert!(one > 4, "{one}");
    for shares in [&[0.5, 0.5][..], &[0.9, 0.1], &[0.25, 0.25, 0.25, 0.25]] {
        let all = calls(shares);
        assert!(
            all <= one + shares.len() && all > 0,
            "{all} calls by processes with shares {shares:?}, {one} by one process"
        );
    }
}

#[test]
fn a_node_that_shuts_down_answers_pending_requests_and_starts_no_new_ones() {
    let mut node = Node::new(settings(), 3);
    for id in 1..40 {
        node.request(if id % 2 == 0 { write(id, 2) } else { read(id, id) });
    }
    node.event(Event::ShuttingDown);
    for id in 1..40 {
        assert!(rejected(&node.actions, id) || failed(&node.actions, id), "request {id} was not answered");
    }
    let after = node.request(read(50, 50));
    assert!(rejected(&after, 50) && send_count(&after) == 0);
}
