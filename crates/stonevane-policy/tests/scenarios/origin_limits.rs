//! Limits of calls to the origin: concurrency limit, rate limit, backoff of blocked calls.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn an_unavailable_origin_rejects_at_once_and_recovers_from_a_single_call() {
    let coalescing = Settings { coalesce_fetches: true, max_retry_after: 2 * SECOND, ..settings() };
    let mut node = Node::new(coalescing, 3);
    // A fetch is in flight when the origin becomes unavailable.
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    assert_eq!(sent_to(&node.outcome(1, 0, first, AttemptStatus::Miss)), Some(ORIGIN));
    node.event(Event::OriginUnavailable { duration: 400 * MS });
    let retry_after = |actions: &[Action], id| {
        let delay = actions.iter().find_map(|a| match a {
            Action::Reject { request, retry_after } if *request == id => Some(*retry_after),
            _ => None,
        });
        delay.unwrap_or_else(|| panic!("request {id} was not rejected at once: {actions:?}"))
    };
    let server = sent_to(&node.request(read(2, 9))).unwrap();
    assert_ne!(server, ORIGIN, "cached values are still served");
    let delay = retry_after(&node.outcome(2, 0, server, AttemptStatus::Miss), 2);
    assert!(
        (400 * MS..500 * MS).contains(&delay),
        "the delay does not match the end of the unavailability: {delay}"
    );
    assert!(retry_after(&node.request(write(3, 1)), 3) >= 400 * MS);
    // After the period of unavailability a single call is allowed, and more as the origin answers.
    node.advance(401 * MS);
    let mut out = 0;
    for id in 10..20 {
        out += send_count(&node.request(write(id, 1)));
    }
    assert_eq!(out, 0, "the earlier fetch is still in flight");
    node.outcome(1, 1, ORIGIN, AttemptStatus::Served);
    let mut out = Vec::new();
    for id in 20..30 {
        out.extend(sent_to(&node.request(write(id, 1))).map(|_| id));
    }
    assert_eq!(out.len(), 1, "more than one call at a time: {out:?}");
    node.outcome(out[0], 0, ORIGIN, AttemptStatus::Served);
    let next = send_count(&node.advance(20 * MS));
    assert!((1..=3).contains(&next), "the limit must grow gradually for blocked calls: {next} sent");
    // A request that may have run is failed, not rejected.
    let mut node = Node::new(settings(), 3);
    node.request(write(1, 1));
    node.event(Event::OriginUnavailable { duration: 400 * MS });
    node.outcome(1, 0, ORIGIN, AttemptStatus::Error);
    assert!(failed(&node.actions, 1) && !rejected(&node.actions, 1));
    // The origin is reported available again before the announced period of unavailability is over.
    node.event(Event::OriginUnavailable { duration: 0 });
    assert_eq!(sent_to(&node.request(write(2, 1))), Some(ORIGIN));
}

#[test]
fn the_concurrency_limit_grows_with_the_quota_of_a_node_from_a_minimum() {
    // Guards against a fixed limit of 20: an origin may have five times that capacity.
    let sent_at_once = |quota_per_s: f64| {
        let tenants = vec![Tenant { quota_per_s }];
        let mut node = Node::new(Settings { tenants, nodes: 2, ..settings() }, 6);
        // Timely responses raise the limit to its ceiling.
        for id in 1..=4_800 {
            if sent_to(&node.request(write(id, 1))).is_some() {
                node.outcome(id, 0, ORIGIN, AttemptStatus::Served);
            }
            node.advance(5 * MS);
        }
        node.advance(SECOND);
        (5_000..5_200).map(|id| send_count(&node.request(write(id, 1)))).sum::<usize>()
    };
    let (small, large) = (sent_at_once(600.0), sent_at_once(3_000.0));
    assert_eq!((small, large), (20, 90), "0.06 calls for each request per second");
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
    let mut sent = 0;
    for id in 1..=20 {
        sent += send_count(&node.request(write(id, 1)));
    }
    assert_eq!(sent, 10, "a node that has just started allows half of its limit of twenty");
    let actions = node.outcome(1, 0, ORIGIN, AttemptStatus::Served);
    assert_eq!(send_count(&actions), 0, "a blocked call was sent before the end of its backoff");
    assert_eq!(send_count(&node.advance(8 * MS)), 1, "the outcome allows one more call");
    let later = node.advance(SECOND);
    let rejections = (11..=20).filter(|id| rejected(&later, *id)).count();
    assert_eq!(rejections, 9, "a call that was never sent is rejected, not failed");
}

#[test]
fn the_rate_limit_blocks_calls_that_the_concurrency_limit_allows() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 40.0 }];
    settings.nodes = 1;
    let mut node = Node::new(settings, 3);
    let mut sent = 0;
    for id in 1..=12 {
        sent += send_count(&node.request(write(id, 2)));
        node.outcome(id, 0, ORIGIN, AttemptStatus::Served);
    }
    assert_eq!(
        sent, 7,
        "40 per second allow 7.5 in the window of 187 ms, a quarter of the longest objective"
    );
}

#[test]
fn the_rate_limit_allows_fetches_within_the_quota_if_most_reads_miss() {
    // Guards against blocked fetches after the cache fleet has shrunk, when most reads miss.
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut node = Node::new(settings, 3);
    let mut fetched = 0;
    for id in 1..=100 {
        let first = sent_to(&node.request(read(id, 100 + id))).unwrap();
        let fetch = node.outcome(id, 0, first, AttemptStatus::Miss);
        fetched += send_count(&fetch);
        node.outcome(id, 1, ORIGIN, AttemptStatus::Served);
        fetched += send_count(&node.advance(SECOND / 60));
    }
    assert!(fetched >= 95, "{fetched} of 100 reads fetched at 0.6 of the quota");
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
fn rejections_of_the_origin_lower_the_limit_and_timely_responses_restore_it() {
    let lowered = || {
        let tenants = vec![Tenant { quota_per_s: 300.0 }];
        let mut node = Node::new(Settings { max_attempts: 1, tenants, ..settings() }, 3);
        for id in 1..=12 {
            node.request(write(id, 1));
            node.outcome(id, 0, ORIGIN, AttemptStatus::Rejected);
            node.advance(5 * MS);
        }
        node.advance(SECOND);
        assert!(node.actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("gate lowered"))));
        node
    };
    let mut node = lowered();
    let burst = (100..120).map(|id| send_count(&node.request(write(id, 1)))).sum::<usize>();
    assert_eq!(burst, 2, "the limit is not at its floor of a tenth of the ceiling");
    let mut node = lowered();
    for id in 100..190 {
        node.advance(50 * MS);
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
        node.advance(100 * MS);
    }
    assert!(!node.actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("gate lowered"))));
}

#[test]
fn a_blocked_call_is_not_sent_to_an_origin_that_is_draining() {
    let mut node = Node::new(settings(), 3);
    for id in 1..=6 {
        node.request(write(id, 1));
    }
    node.list(ListUpdate::Delta, vec![ServerEntry { condition: Condition::Draining, ..origin() }]);
    node.outcome(1, 0, ORIGIN, AttemptStatus::Served);
    let after = node.advance(SECOND);
    assert_eq!(send_count(&after), 0);
    assert!(rejected(&after, 6));
}
