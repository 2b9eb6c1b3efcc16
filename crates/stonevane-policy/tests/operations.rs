//! What operators do to a running node: excluded and reinstated servers, new settings, shutdown.
#![allow(missing_docs)]

mod common;

use common::*;
use stonevane_policy::*;

fn exclude(node: &mut Node, server: ServerId, excluded: bool) {
    node.event(Event::Exclude { server, excluded });
}

/// Attempts at a server among what follows from so many reads, each answered.
fn reads(node: &mut Node, from: u64, count: u64, server: ServerId) -> usize {
    let mut there = 0;
    for id in from..from + count {
        let actions = node.request(read(id, 31 * id));
        if let Some(to) = sent_to(&actions) {
            there += usize::from(to == server);
            node.pass(5 * MS);
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    there
}

#[test]
fn nothing_goes_to_an_excluded_server_whatever_lists_settings_and_outcomes_say() {
    let mut node = Node::new(settings(), 4);
    assert!(reads(&mut node, 1, 100, 2) > 0);
    exclude(&mut node, 2, true);
    exclude(&mut node, 2, true);
    assert_eq!(node.policy.excluded_or_ejected_count(), 1);
    assert_eq!(reads(&mut node, 1_000, 200, 2), 0);
    let all = || (1..=4).map(server).chain([origin()]).collect::<Vec<_>>();
    let gone = vec![ServerEntry { condition: Condition::Gone, ..server(2) }];
    node.list(ListUpdate::Delta, gone);
    assert_eq!(reads(&mut node, 2_000, 200, 2), 0);
    node.list(ListUpdate::Full, all());
    assert_eq!(reads(&mut node, 3_000, 200, 2), 0);
    node.event(Event::Settings { settings: Box::new(settings()), tenants: Vec::new() });
    assert_eq!(reads(&mut node, 4_000, 200, 2), 0);
    // Not the last server of the order either, when all others are excluded.
    for id in [1, 3, 4] {
        exclude(&mut node, id, true);
    }
    let actions = node.request(read(9_000, 5));
    assert!(refused(&actions, 9_000) && sends(&actions) == 0, "refused at once");
    for id in [1, 3, 4] {
        exclude(&mut node, id, false);
    }
    exclude(&mut node, 2, false);
    assert_eq!(node.policy.excluded_or_ejected_count(), 0);
    assert!(reads(&mut node, 10_000, 200, 2) > 0, "one call back undoes both calls out");
}

#[test]
fn retries_and_hedged_requests_avoid_a_server_excluded_meanwhile() {
    let mut node = Node::new(settings(), 2);
    let mut checked = 0;
    for id in 1..60 {
        let Some(first) = sent_to(&node.request(read(id, id))) else { continue };
        let other = 3 - first;
        exclude(&mut node, other, true);
        let mut actions = node.outcome(id, 0, first, AttemptStatus::ConnectFailed);
        actions.extend(node.pass(2 * SECOND));
        assert_ne!(sent_to(&actions), Some(other));
        exclude(&mut node, other, false);
        checked += 1;
        node.pass(20 * SECOND); // Both are warm again.
    }
    assert!(checked > 40, "{checked}");
}

#[test]
fn a_reinstated_server_has_a_clean_record_and_is_used_soon_by_every_node_of_a_large_fleet() {
    // Of 200 servers one gets few of a node's reads: two a second here.
    let mut node = Node::new(Settings { nodes: 300, slow_start_duration: 60 * SECOND, ..settings() }, 200);
    for attempt in 0..10 {
        let id = 1 + attempt;
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            node.outcome(id, 0, to, AttemptStatus::ConnectFailed);
        }
    }
    exclude(&mut node, 7, true);
    node.pass(2 * SECOND);
    exclude(&mut node, 7, false);
    let mut there = 0;
    for id in 100..106 {
        node.pass(SECOND / 2);
        let actions = node.request(read(id, 77 * id));
        let Some(to) = sent_to(&actions) else { continue };
        there += usize::from(to == 7);
        node.outcome(id, 0, to, AttemptStatus::Served);
    }
    assert!((1..=2).contains(&there), "{there} reads of six in the three seconds after it was put back");
}

fn new_settings(change: impl FnOnce(&mut Settings)) -> Event {
    let mut settings = settings();
    change(&mut settings);
    Event::Settings { settings: Box::new(settings), tenants: Vec::new() }
}

#[test]
fn a_pending_request_keeps_the_class_it_arrived_with() {
    // What may have run is retried while its class is idempotent; the class changes meanwhile.
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, 5))).unwrap();
    node.event(new_settings(|s| s.classes[0].idempotency = Idempotency::NonIdempotent));
    let again = node.outcome(1, 0, first, AttemptStatus::Reset);
    assert_eq!(sends(&again), 1, "the request came as a safe one");
    let newer = sent_to(&node.request(read(2, 6))).unwrap();
    let again = node.outcome(2, 0, newer, AttemptStatus::Reset);
    assert!(sends(&again) == 0 && failed(&again, 2), "this one came as an unsafe one");
    // And the other way round: a non-idempotent request stays one.
    let mut node = Node::new(settings(), 3);
    let once = write(1, 2);
    node.request(once);
    node.event(new_settings(|s| s.classes[2].idempotency = Idempotency::Idempotent));
    let after = node.outcome(1, 0, ORIGIN, AttemptStatus::Reset);
    assert!(sends(&after) == 0 && failed(&after, 1), "{after:?}");
}

#[test]
fn a_pending_request_makes_no_more_attempts_than_when_it_arrived_nor_than_are_allowed_now() {
    for (before, after, most) in [(2, 4, 2), (4, 2, 2)] {
        let mut node = Node::new(Settings { max_attempts: before, ..settings() }, 6);
        let mut to = sent_to(&node.request(read(1, 5)));
        node.event(new_settings(|s| s.max_attempts = after));
        let mut sent = 0;
        while let Some(server) = to {
            to = sent_to(&node.outcome(1, sent, server, AttemptStatus::ConnectFailed));
            sent += 1;
        }
        assert_eq!(sent, most, "from {before} to {after}");
    }
}

#[test]
fn a_class_that_is_removed_while_its_requests_are_blocked_leaves_them_intact() {
    let mut node = Node::new(settings(), 3);
    let mut waiting = Vec::new();
    for id in 1..200 {
        let actions = node.request(write(id, 2));
        if sends(&actions) == 0 && !refused(&actions, id) {
            waiting.push(id);
        }
    }
    assert!(!waiting.is_empty());
    node.event(new_settings(|s| s.classes.truncate(1)));
    node.pass(2 * SECOND);
    for id in waiting {
        let ended = refused(&node.actions, id) || failed(&node.actions, id);
        let sent = node.actions.iter().any(|a| matches!(a, Action::Send { request, .. } if *request == id));
        assert!(ended || sent, "request {id} was forgotten");
    }
}

#[test]
fn tenants_keep_their_used_quota_in_their_new_positions() {
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
    assert!(spent < 99, "the first tenant's bucket is empty");
    let swapped = Settings { tenants: vec![tenants[1].clone(), tenants[0].clone()], ..settings() };
    node.event(Event::Settings { settings: Box::new(swapped), tenants: vec![Some(1), Some(0)] });
    assert!(!request(&mut node, 500, 1), "it stays empty in its new place");
    assert!(request(&mut node, 501, 0), "and the other's is full still");
}

#[test]
fn the_stricter_of_two_classes_allows_nothing_that_one_of_them_forbids() {
    let keyed = |group, window| Idempotency::WithKey { scope: group, window };
    let class = |effect, deadline| RequestClass { idempotency: effect, deadline, ..RequestClass::default() };
    for (a, b, both) in [
        (Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::NonIdempotent),
        (keyed(DedupScope::All, 5), Idempotency::NonIdempotent, Idempotency::NonIdempotent),
        (Idempotency::Idempotent, keyed(DedupScope::Zone, 5), keyed(DedupScope::Zone, 5)),
        (keyed(DedupScope::All, 5), keyed(DedupScope::Zone, 9), keyed(DedupScope::Zone, 5)),
        (keyed(DedupScope::Cell, 5), keyed(DedupScope::Zone, 3), keyed(DedupScope::Cell, 3)),
        (Idempotency::Idempotent, Idempotency::Idempotent, Idempotency::Idempotent),
    ] {
        for (a, b) in [(a, b), (b, a)] {
            let merged = class(a, 7).stricter(&class(b, 4));
            assert_eq!((merged.idempotency, merged.deadline), (both, 4), "{a:?} and {b:?}");
        }
    }
}

#[test]
fn two_processes_of_a_node_share_its_quota_of_the_origin() {
    // Calls sent at once, by processes that each have a part.
    let calls = |parts: &[f64]| -> usize {
        let processes = parts.iter().map(|part| {
            let mut node = Node::new(settings(), 3);
            node.event(Event::ProcessShare(*part));
            (1..200).map(|id| sends(&node.request(write(id, 2)))).sum::<usize>()
        });
        processes.sum()
    };
    let one = calls(&[1.0]);
    assert!(one > 4, "{one}");
    for parts in [&[0.5, 0.5][..], &[0.9, 0.1], &[0.25, 0.25, 0.25, 0.25]] {
        let all = calls(parts);
        assert!(all <= one + parts.len() && all > 0, "{all} calls by {parts:?}, {one} by one");
    }
}

#[test]
fn a_node_that_shuts_down_answers_what_it_owes_and_starts_nothing() {
    let mut node = Node::new(settings(), 3);
    for id in 1..40 {
        node.request(if id % 2 == 0 { write(id, 2) } else { read(id, id) });
    }
    node.event(Event::ShuttingDown);
    for id in 1..40 {
        assert!(refused(&node.actions, id) || failed(&node.actions, id), "request {id} has no answer");
    }
    let after = node.request(read(50, 50));
    assert!(refused(&after, 50) && sends(&after) == 0);
}
