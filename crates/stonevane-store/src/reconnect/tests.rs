use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn after_connections_are_lost_together_one_attempt_is_made_at_a_time() {
    let mut reconnect = Reconnect::new(Limits { min_wait: 100, max_wait: 400 });
    for _ in 0..8 {
        assert_eq!(reconnect.decide(0), Decision::Connect, "the server accepts connections");
    }
    (0..8).for_each(|_| reconnect.failed(0, 10, 0.5));
    assert_eq!(reconnect.decide(10), Decision::Wait(100), "connections lost together count as one failure");
    assert_eq!(
        (reconnect.decide(110), reconnect.decide(110)),
        (Decision::Connect, Decision::Wait(100)),
        "one attempt at a time"
    );
    reconnect.failed(110, 120, 0.5);
    assert_eq!(reconnect.decide(120), Decision::Wait(200), "the wait doubles");
    assert_eq!(reconnect.decide(320), Decision::Connect);
    reconnect.abandoned(320);
    assert_eq!(reconnect.decide(320), Decision::Connect, "an abandoned attempt does not block the next");
    reconnect.connected();
    assert_eq!((reconnect.decide(321), reconnect.decide(321)), (Decision::Connect, Decision::Connect));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// After a failure, two attempts are never in progress at once, waits are bounded, and a success lifts
    /// the limit.
    #[test]
    fn one_attempt_at_a_time_until_one_succeeds(
        steps in prop::collection::vec((0u8..4, 0u64..300, 0.0f64..1.0), 1..80),
    ) {
        let mut reconnect = Reconnect::new(Limits { min_wait: 100, max_wait: 400 });
        reconnect.failed(0, 0, 0.0);
        let (mut now, mut attempt) = (0, None);
        for (step, elapsed, random) in steps {
            now += elapsed;
            match (step, attempt) {
                (0, _) => match reconnect.decide(now) {
                    Decision::Connect => {
                        prop_assert!(attempt.is_none(), "two attempts at once");
                        attempt = Some(now);
                    }
                    Decision::Wait(wait) => prop_assert!(wait <= 600, "{}", wait),
                },
                (1, Some(started)) => {
                    reconnect.failed(started, now, random);
                    prop_assert!(matches!(reconnect.decide(now), Decision::Wait(1..=600)));
                    attempt = None;
                }
                (2, Some(started)) => {
                    reconnect.abandoned(started);
                    attempt = None;
                }
                // The loss of an older connection does not count as a further failure.
                (3, _) => reconnect.failed(u64::MAX, now, random),
                _ => {}
            }
        }
        reconnect.connected();
        prop_assert_eq!(reconnect.decide(now), Decision::Connect);
    }
}
