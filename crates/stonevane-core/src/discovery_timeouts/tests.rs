//! Tests of the timeouts of calls to discovery.

use super::*;

/// Changes that a silent watch misses count as notified this long after its last line (protocol).
const NOTIFIED_AFTER: Micros = 6_000_000;

#[test]
fn an_agent_is_called_again_within_the_grace_and_after_a_silent_watch_before_its_changes_count_as_notified() {
    for drain_grace in [0, 50_000, 100_000, 500_000, 1_000_000, 10_000_000] {
        let settings = Settings { poll_discovery: false, drain_grace, ..Settings::default() };
        let timeouts = DiscoveryTimeouts::of(&settings);
        // All time limits on sockets have this slack.
        let slack = 50_000;
        assert!(
            timeouts.answer + timeouts.reconnect_delay <= drain_grace + slack,
            "{timeouts:?} at a grace of {drain_grace}"
        );
        assert!(timeouts.reconnect_delay > 0, "no busy loop");
        assert!(
            timeouts.silence > WATCH_HEARTBEAT
                && timeouts.silence + timeouts.answer + timeouts.reconnect_delay < NOTIFIED_AFTER
        );
    }
}

#[test]
fn a_shared_service_has_time_to_answer_and_a_silent_watch_leaves_time_for_another_call() {
    for list_staleness_limit in [1, 1_000_000, 6_500_000, 86_400_000_000] {
        let settings = Settings { poll_discovery: true, list_staleness_limit, ..Settings::default() };
        let timeouts = DiscoveryTimeouts::of(&settings);
        assert!((MIN_SHARED_ANSWER_TIMEOUT..=MAX_SHARED_ANSWER_TIMEOUT).contains(&timeouts.answer));
        assert!(timeouts.silence > WATCH_HEARTBEAT && timeouts.silence + timeouts.connect < NOTIFIED_AFTER);
    }
}
