use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn connections_lost_together_come_back_one_first_after_a_wait() {
    let mut reconnect = Reconnect::new(Limits { shortest: 100, longest: 400 });
    for _ in 0..8 {
        assert_eq!(reconnect.may(0), Word::Go, "a server that takes connections");
    }
    (0..8).for_each(|_| reconnect.failed(0, 10, 0.5));
    assert_eq!(reconnect.may(10), Word::Wait(100), "all of them are one failure");
    assert_eq!((reconnect.may(110), reconnect.may(110)), (Word::Go, Word::Wait(100)), "one try");
    reconnect.failed(110, 120, 0.5);
    assert_eq!(reconnect.may(120), Word::Wait(200), "doubled");
    assert_eq!(reconnect.may(320), Word::Go);
    reconnect.abandoned(320);
    assert_eq!(reconnect.may(320), Word::Go, "a try that was given up holds up no other");
    reconnect.connected();
    assert_eq!((reconnect.may(321), reconnect.may(321)), (Word::Go, Word::Go));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever happens, tries before the first success are never two at once, waits are bounded, and a
    /// success opens the way.
    #[test]
    fn one_try_at_a_time_until_one_succeeds(steps in prop::collection::vec((0u8..4, 0u64..300, 0.0f64..1.0), 1..80)) {
        let mut reconnect = Reconnect::new(Limits { shortest: 100, longest: 400 });
        reconnect.failed(0, 0, 0.0);
        let (mut now, mut out) = (0, None);
        for (what, after, drawn) in steps {
            now += after;
            match (what, out) {
                (0, _) => match reconnect.may(now) {
                    Word::Go => {
                        prop_assert!(out.is_none(), "two at once");
                        out = Some(now);
                    }
                    Word::Wait(wait) => prop_assert!(wait <= 600, "{}", wait),
                },
                (1, Some(begun)) => {
                    reconnect.failed(begun, now, drawn);
                    prop_assert!(matches!(reconnect.may(now), Word::Wait(1..=600)));
                    out = None;
                }
                (2, Some(begun)) => {
                    reconnect.abandoned(begun);
                    out = None;
                }
                // A connection of before is found lost: nothing new.
                (3, _) => reconnect.failed(u64::MAX, now, drawn),
                _ => {}
            }
        }
        reconnect.connected();
        prop_assert_eq!(reconnect.may(now), Word::Go);
    }
}
