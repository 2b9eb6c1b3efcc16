use proptest::prelude::*;

use super::*;

#[test]
fn medians_and_intervals_of_known_figures() {
    assert_eq!(
        (median(&[]), median(&[3.0, 1.0, 2.0]), median(&[4.0, 1.0, 2.0, 3.0])),
        (None, Some(2.0), Some(2.5))
    );
    assert_eq!(median(&[f64::NAN, 2.0]), Some(2.0));
    let same = estimate(&[5.0; 10], 1).unwrap();
    assert_eq!((same.median, same.low, same.high, same.count), (5.0, 5.0, 5.0, 10));
    // The exact interval of the order statistics of 1 to 25 is 8 to 18.
    let figures: Vec<f64> = (1..=25).map(f64::from).collect();
    let some = estimate(&figures, 1).unwrap();
    assert!(
        some.median == 13.0 && (7.0..=10.0).contains(&some.low) && (16.0..=19.0).contains(&some.high),
        "{some:?}"
    );
    assert_eq!(estimate(&figures, 1), estimate(&figures, 1));
}

#[test]
fn of_many_samples_about_95_in_a_hundred_intervals_hold_the_true_median() {
    let mut rng = Rand64::new(5);
    let mut held = 0;
    for round in 0..400 {
        // Uniform from 0 to 1.
        let figures: Vec<f64> = (0..20).map(|_| rng.rand_float()).collect();
        let some = estimate(&figures, round).unwrap();
        held += i32::from(some.low <= 0.5 && some.high >= 0.5);
    }
    assert!((360..=400).contains(&held), "{held} of 400");
}

#[test]
fn pairs_that_differ_alike_are_told_from_noise_and_noise_is_not() {
    let better: Vec<_> = (0..10).map(|n| (f64::from(n), f64::from(n) + 1.0 + f64::from(n % 3))).collect();
    let found = paired(&better, 1).unwrap();
    assert!(found.distinguishable && found.estimate.low >= 1.0);
    let noise: Vec<_> = (0..10).map(|n| (1.0, if n % 2 == 0 { 1.5 } else { 0.5 })).collect();
    assert!(!paired(&noise, 1).unwrap().distinguishable);
    assert!(!paired(&better[..4], 1).unwrap().distinguishable, "four pairs say nothing");
    assert!(paired(&[], 1).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn bisection_finds_a_known_point_in_no_more_questions_than_it_says(point in 0.0f64..4.0, within in 0.01f64..0.5) {
        let mut asked = 0;
        let found = bisect(0.5, 3.0, within, |at| { asked += 1; Ok::<_, ()>(at <= point) }).unwrap();
        match found {
            Capacity::Below(least) => prop_assert!(point < least),
            Capacity::AtLeast(most) => prop_assert!(point >= most),
            Capacity::Between(low, high) => {
                prop_assert!(low <= point && point < high && high - low <= within);
            }
        }
        prop_assert!(asked <= 2 + (2.5 / within).log2().ceil() as usize + 1, "{} questions", asked);
    }
}
