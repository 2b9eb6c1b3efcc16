//! Calls to the origin: the concurrency limit, the rate limit, the backoff of blocked calls.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn an_unavailable_origin_rejects_at_once_and_recovers_from_a_single_call() {
    let shared = Settings { coalesce_fetches: true, max_retry_after: 2 * SECOND, ..settings() };
    let mut node = Node::new(shared, 3);
    // A fetch is in flight when the origin stops.
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    assert_eq!(sent_to(&node.outcome(1, 0, first, AttemptStatus::Miss)), Some(ORIGIN));
    node.event(Event::OriginUnavailable { duration: 400 * MS });
    let advice = |actions: &[Action], id| {
        let advice = actions.iter().find_map(|a| match a {
            Action::Reject { request, retry_after } if *request == id => Some(*retry_after),
            _ => None,
        });
        advice.unwrap_or_else(|| panic!("request {id} was not refused at once: {actions:?}"))
    };
    let server = sent_to(&node.request(read(2, 9))).unwrap();
    assert_ne!(server, ORIGIN, "what a cache holds is served on");
    let retry_after = advice(&node.outcome(2, 0, server, AttemptStatus::Miss), 2);
    assert!((400 * MS..500 * MS).contains(&retry_after), "not before it may be called again: {retry_after}");
    assert!(advice(&node.request(write(3, 1)), 3) >= 400 * MS);
    // Once the time is over: one call first, and more as the origin answers.
    node.pass(401 * MS);
    let mut out = 0;
    for id in 10..20 {
        out += sends(&node.request(write(id, 1)));
    }
    assert_eq!(out, 0, "the fetch of before is out still");
    node.outcome(1, 1, ORIGIN, AttemptStatus::Served);
    let mut out = Vec::new();
    for id in 20..30 {
        out.extend(sent_to(&node.request(write(id, 1))).map(|_| id));
    }
    assert_eq!(out.len(), 1, "one call at a time: {out:?}");
    node.outcome(out[0], 0, ORIGIN, AttemptStatus::Served);
    let next = sends(&node.pass(20 * MS));
    assert!((1..=3).contains(&next), "the gate opens by and by to what was parked: {next}");
    // What may have run is failed, not rejected.
    let mut node = Node::new(settings(), 3);
    node.request(write(1, 1));
    node.event(Event::OriginUnavailable { duration: 400 * MS });
    node.outcome(1, 0, ORIGIN, AttemptStatus::Error);
    assert!(failed(&node.actions, 1) && !refused(&node.actions, 1));
    // It answers again before the time is over.
    node.event(Event::OriginUnavailable { duration: 0 });
    assert_eq!(sent_to(&node.request(write(2, 1))), Some(ORIGIN));
}

#[test]
fn the_concurrency_limit_grows_with_a_nodes_quota_and_is_the_default_where_that_is_small() {
    // Guards against a fixed limit of 20, of which an origin may have five times the capacity.
    let out = |quota_per_s: f64| {
        let tenants = vec![Tenant { quota_per_s }];
        let mut node = Node::new(Settings { tenants, nodes: 2, ..settings() }, 6);
        // Timely answers raise the limit to its ceiling.
        for id in 1..=4_800 {
            if sent_to(&node.request(write(id, 1))).is_some() {
                node.outcome(id, 0, ORIGIN, AttemptStatus::Served);
            }
            node.pass(5 * MS);
        }
        node.pass(SECOND);
        (5_000..5_200).map(|id| sends(&node.request(write(id, 1)))).sum::<usize>()
    };
    let (small, large) = (out(600.0), out(3_000.0));
    assert_eq!((small, large), (20, 90), "0.06 for each request a second");
}

#[test]
fn a_miss_is_fetched_from_the_origin_and_a_write_goes_there_at_once() {
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    assert_ne!(first, ORIGIN);
    assert_eq!(sent_to(&node.outcome(1, 0, first, AttemptStatus::Miss)), Some(ORIGIN));
    assert_eq!(sent_to(&node.request(write(2, 1))), Some(ORIGIN));
}

#[test]
fn a_blocked_call_waits_for_a_random_backoff_and_is_rejected_at_its_end() {
    let mut node = Node::new(Settings { tenants: vec![Tenant { quota_per_s: 300.0 }], ..settings() }, 3);
    let mut through = 0;
    for id in 1..=20 {
        through += sends(&node.request(write(id, 1)));
    }
    assert_eq!(through, 10, "a balancer just started lets half of its twenty calls out");
    let answers = node.outcome(1, 0, ORIGIN, AttemptStatus::Served);
    assert_eq!(sends(&answers), 0, "a postponed call waits for its delay");
    assert_eq!(sends(&node.pass(8 * MS)), 1, "an outcome lowers the counter and one more call goes");
    let later = node.pass(SECOND);
    let gone = (11..=20).filter(|id| refused(&later, *id)).count();
    assert_eq!(gone, 9, "what was never sent is refused, not failed");
}

#[test]
fn the_rate_limit_blocks_calls_that_the_concurrency_limit_allows() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 40.0 }];
    config.nodes = 1;
    let mut node = Node::new(config, 3);
    let mut through = 0;
    for id in 1..=12 {
        through += sends(&node.request(write(id, 2)));
        node.outcome(id, 0, ORIGIN, AttemptStatus::Served);
    }
    assert_eq!(through, 7, "in a quarter of the longest aim, 187 ms, 7.5 of 40 a second");
}

#[test]
fn when_a_shrunken_fleet_misses_most_reads_the_rate_limit_still_allows_the_quota() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut node = Node::new(config, 3);
    let mut fetched = 0;
    for id in 1..=100 {
        let first = sent_to(&node.request(read(id, 100 + id))).unwrap();
        let fetch = node.outcome(id, 0, first, AttemptStatus::Miss);
        fetched += sends(&fetch);
        node.outcome(id, 1, ORIGIN, AttemptStatus::Served);
        fetched += sends(&node.pass(SECOND / 60));
    }
    assert!(fetched >= 95, "six in ten of the quota a second, {fetched} of 100 fetched");
}

#[test]
fn fetches_leave_capacity_for_writes() {
    let mut node = Node::new(settings(), 3);
    for id in 1..=12 {
        let first = sent_to(&node.request(read(id, 100 + id))).unwrap();
        node.outcome(id, 0, first, AttemptStatus::Miss);
    }
    assert_eq!(sent_to(&node.request(write(50, 1))), Some(ORIGIN));
}

#[test]
fn an_origin_that_rejects_lowers_the_limit_and_good_answers_restore_it() {
    let lowered = || {
        let tenants = vec![Tenant { quota_per_s: 300.0 }];
        let mut node = Node::new(Settings { max_attempts: 1, tenants, ..settings() }, 3);
        for id in 1..=12 {
            node.request(write(id, 1));
            node.outcome(id, 0, ORIGIN, AttemptStatus::Rejected);
            node.pass(5 * MS);
        }
        node.pass(SECOND);
        assert!(node.actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("gate lowered"))));
        node
    };
    let mut node = lowered();
    let burst = (100..120).map(|id| sends(&node.request(write(id, 1)))).sum::<usize>();
    assert_eq!(burst, 2, "the floor of a tenth of the ceiling");
    let mut node = lowered();
    for id in 100..190 {
        node.pass(50 * MS);
        node.request(write(id, 1));
        node.outcome(id, 0, ORIGIN, AttemptStatus::Served);
    }
    assert!(node.actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("gate restored"))));
}

#[test]
fn malformed_responses_and_broken_connections_of_the_origin_do_not_lower_the_limit() {
    let mut node = Node::new(settings(), 4);
    for id in 1..=30 {
        node.request(write(id, 2));
        node.outcome(
            id,
            0,
            ORIGIN,
            if id % 2 == 0 { AttemptStatus::Malformed } else { AttemptStatus::Reset },
        );
        node.pass(100 * MS);
    }
    assert!(!node.actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("gate lowered"))));
}

#[test]
fn a_blocked_call_is_not_sent_to_an_origin_that_left_meanwhile() {
    let mut node = Node::new(settings(), 3);
    for id in 1..=6 {
        node.request(write(id, 1));
    }
    node.list(ListUpdate::Delta, vec![ServerEntry { condition: Condition::Draining, ..origin() }]);
    node.outcome(1, 0, ORIGIN, AttemptStatus::Served);
    let after = node.pass(SECOND);
    assert_eq!(sends(&after), 0);
    assert!(refused(&after, 6));
}
