//! Backoff of calls to discovery.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_failed_call_to_discovery_is_retried_later_and_not_at_once() {
    let config = Settings { poll_discovery: true, ..settings() };
    let mut node = Node::new(config, 3);
    assert!(node.actions.contains(&Action::Subscribe(true)), "subscribes at the start");
    node.actions.clear();
    node.list(ListUpdate::Failed, Vec::new());
    assert!(!node.actions.contains(&Action::Subscribe(true)));
    assert!(node.pass(8 * SECOND).contains(&Action::Subscribe(true)));
    assert!(sent_to(&node.request(read(1, 9))).is_some(), "the old list stays in force");
}

#[test]
fn a_silent_subscription_is_replaced_before_changes_count_as_known() {
    // Guards against a subscription replaced so late that a send follows a drain that counts as known.
    let known_after = 6 * SECOND;
    for seed in 0..50 {
        // However long discovery takes for a call of each node.
        for staleness_limit in [1, SECOND, 10 * SECOND, 86_400 * SECOND] {
            for silent_for in [2_500 * MS, 4_000 * MS] {
                let config =
                    Settings { poll_discovery: true, list_staleness_limit: staleness_limit, ..settings() };
                let mut node = Node::seeded(config, 3, seed);
                node.actions.clear();
                node.list(ListUpdate::TimedOut { silent_for, was_established: false }, Vec::new());
                assert!(!node.actions.contains(&Action::Subscribe(true)), "not all at once");
                let again = node.pass(known_after - silent_for - SECOND).contains(&Action::Subscribe(true));
                assert!(again, "{staleness_limit} {silent_for}: a second is left for the call");
                // However often it is unanswered, and not at once.
                for _ in 0..3 {
                    node.actions.clear();
                    node.list(ListUpdate::TimedOut { silent_for, was_established: false }, Vec::new());
                    assert!(!node.actions.contains(&Action::Subscribe(true)), "nor then");
                    let again =
                        node.pass(known_after - silent_for - SECOND).contains(&Action::Subscribe(true));
                    assert!(again, "{staleness_limit} {silent_for}: behind another that was not answered");
                }
                // An established subscription that falls silent is no sign of an overloaded discovery.
                for _ in 0..3 {
                    node.actions.clear();
                    node.list(ListUpdate::TimedOut { silent_for, was_established: true }, Vec::new());
                    let again =
                        node.pass(known_after - silent_for - SECOND).contains(&Action::Subscribe(true));
                    assert!(again, "{staleness_limit} {silent_for}: quiet is no sign that it can't keep up");
                }
            }
        }
    }
}

#[test]
fn calls_that_fail_at_once_are_retried_in_time_and_no_faster_than_before() {
    for seed in 0..50 {
        for staleness_limit in [10 * SECOND, 30 * SECOND, 86_400 * SECOND] {
            let config =
                Settings { poll_discovery: true, list_staleness_limit: staleness_limit, ..settings() };
            let mut node = Node::seeded(config, 3, seed);
            for failed in 0..6 {
                node.actions.clear();
                node.list(ListUpdate::Failed, Vec::new());
                let soon = node.pass(2 * SECOND).contains(&Action::Subscribe(true));
                assert!(!soon || failed == 0, "{staleness_limit}: the first comes soon, the others do not");
                let again = node.pass(3 * SECOND).contains(&Action::Subscribe(true));
                assert!(soon || again, "{staleness_limit}: a second is left for the call");
            }
        }
    }
}
