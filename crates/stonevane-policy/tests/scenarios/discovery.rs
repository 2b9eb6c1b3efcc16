//! Backoff of calls to discovery, and replacement of silent subscriptions.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_failed_call_to_discovery_is_retried_after_a_delay() {
    let settings = Settings { poll_discovery: true, ..settings() };
    let mut node = Node::new(settings, 3);
    assert!(node.actions.contains(&Action::Subscribe(true)), "no subscription at the start");
    node.actions.clear();
    node.list(ListUpdate::Failed, Vec::new());
    assert!(!node.actions.contains(&Action::Subscribe(true)));
    assert!(node.advance(8 * SECOND).contains(&Action::Subscribe(true)));
    assert!(sent_to(&node.request(read(1, 9))).is_some(), "the old list is no longer used");
}

#[test]
fn a_silent_subscription_is_replaced_before_changes_count_as_known() {
    // Guards against replacing a silent subscription so late that a node sends to a draining server after the
    // time at which every node counts as notified of the drain.
    let known_after = 6 * SECOND;
    for seed in 0..50 {
        // The time of the replacement holds for any staleness limit. The backoff is derived from that limit,
        // which serves as the time that discovery takes to answer one call from every node.
        for staleness_limit in [1, SECOND, 10 * SECOND, 86_400 * SECOND] {
            for silent_for in [2_500 * MS, 4_000 * MS] {
                let settings =
                    Settings { poll_discovery: true, list_staleness_limit: staleness_limit, ..settings() };
                let mut node = Node::seeded(settings, 3, seed);
                node.actions.clear();
                node.list(ListUpdate::TimedOut { silent_for, was_established: false }, Vec::new());
                assert!(!node.actions.contains(&Action::Subscribe(true)), "subscribes again without a delay");
                let again =
                    node.advance(known_after - silent_for - SECOND).contains(&Action::Subscribe(true));
                assert!(again, "{staleness_limit} {silent_for}: less than a second is left for the call");
                // The same holds if calls time out repeatedly.
                for _ in 0..3 {
                    node.actions.clear();
                    node.list(ListUpdate::TimedOut { silent_for, was_established: false }, Vec::new());
                    assert!(
                        !node.actions.contains(&Action::Subscribe(true)),
                        "subscribes again without a delay after a repeated timeout"
                    );
                    let again =
                        node.advance(known_after - silent_for - SECOND).contains(&Action::Subscribe(true));
                    assert!(again, "{staleness_limit} {silent_for}: too late after a repeated timeout");
                }
                // Silence on an established subscription does not indicate that discovery is overloaded.
                for _ in 0..3 {
                    node.actions.clear();
                    node.list(ListUpdate::TimedOut { silent_for, was_established: true }, Vec::new());
                    let again =
                        node.advance(known_after - silent_for - SECOND).contains(&Action::Subscribe(true));
                    assert!(again, "{staleness_limit} {silent_for}: silence counts as overload of discovery");
                }
            }
        }
    }
}

#[test]
fn calls_that_fail_at_once_are_retried_in_time_with_backoff() {
    for seed in 0..50 {
        for staleness_limit in [10 * SECOND, 30 * SECOND, 86_400 * SECOND] {
            let settings =
                Settings { poll_discovery: true, list_staleness_limit: staleness_limit, ..settings() };
            let mut node = Node::seeded(settings, 3, seed);
            for failed in 0..6 {
                node.actions.clear();
                node.list(ListUpdate::Failed, Vec::new());
                let soon = node.advance(2 * SECOND).contains(&Action::Subscribe(true));
                assert!(!soon || failed == 0, "limit {staleness_limit}: only the first retry may come soon");
                let again = node.advance(3 * SECOND).contains(&Action::Subscribe(true));
                assert!(soon || again, "limit {staleness_limit}: less than a second is left for the call");
            }
        }
    }
}
