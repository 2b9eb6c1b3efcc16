use super::*;

#[test]
fn each_slow_read_doubles_the_pause_of_inline_reads_and_fast_reads_reset_it() {
    let limits = Limits { slow_threshold: 10, min_pause: 100, max_pause: 400, reset_after: 3 };
    let mut policy = InlineReadPolicy::new(limits);
    let mut slow_at = Vec::new();
    for now in 0..3_000 {
        if policy.allows(now) {
            slow_at.push(now);
            policy.record(now, 11);
        }
    }
    assert_eq!(slow_at, [0, 100, 300, 700, 1_100, 1_500, 1_900, 2_300, 2_700]);
    // One fast read does not shorten the next pause; three in a row reset it.
    policy.record(3_100, 10);
    policy.record(3_101, 11);
    assert!(!policy.allows(3_500) && policy.allows(3_501));
    (0..3).for_each(|_| policy.record(3_501, 10));
    policy.record(3_502, 11);
    assert!(!policy.allows(3_601) && policy.allows(3_602));
}
