use proptest::prelude::*;

use super::*;

#[test]
fn medians_and_intervals_of_known_values() {
    assert_eq!(
        (median(&[]), median(&[3.0, 1.0, 2.0]), median(&[4.0, 1.0, 2.0, 3.0])),
        (None, Some(2.0), Some(2.5))
    );
    assert_eq!(median(&[f64::NAN, 2.0]), Some(2.0));
    let same = estimate(&[5.0; 10], 1).unwrap();
    assert_eq!((same.median, same.low, same.high, same.count), (5.0, 5.0, 5.0, 10));
    // The exact interval from the order statistics of 1 to 25 is 8 to 18.
    let values: Vec<f64> = (1..=25).map(f64::from).collect();
    let estimated = estimate(&values, 1).unwrap();
    assert!(
        estimated.median == 13.0
            && (7.0..=10.0).contains(&estimated.low)
            && (16.0..=19.0).contains(&estimated.high),
        "{estimated:?}"
    );
    assert_eq!(estimate(&values, 1), estimate(&values, 1));
}

#[test]
fn about_95_percent_of_the_intervals_contain_the_true_median() {
    let mut rng = Rand64::new(5);
    let mut covered = 0;
    for round in 0..400 {
        // Uniform on [0, 1): the true median is 0.5.
        let values: Vec<f64> = (0..20).map(|_| rng.rand_float()).collect();
        let estimated = estimate(&values, round).unwrap();
        covered += i32::from(estimated.low <= 0.5 && estimated.high >= 0.5);
    }
    assert!((360..=400).contains(&covered), "{covered} of 400");
}

#[test]
fn a_consistent_difference_is_distinguished_from_noise() {
    let shifted: Vec<_> = (0..10).map(|n| (f64::from(n), f64::from(n) + 1.0 + f64::from(n % 3))).collect();
    let result = paired_difference(&shifted, 1).unwrap();
    assert!(result.distinguishable && result.estimate.low >= 1.0);
    let noise: Vec<_> = (0..10).map(|n| (1.0, if n % 2 == 0 { 1.5 } else { 0.5 })).collect();
    assert!(!paired_difference(&noise, 1).unwrap().distinguishable);
    assert!(!paired_difference(&shifted[..4], 1).unwrap().distinguishable, "four pairs are too few");
    assert!(paired_difference(&[], 1).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn bisection_finds_a_known_threshold_within_its_bound_on_calls(threshold in 0.0f64..4.0, within in 0.01f64..0.5) {
        let mut calls = 0;
        let result = bisect(0.5, 3.0, within, |at| { calls += 1; Ok::<_, ()>(at <= threshold) }).unwrap();
        match result {
            Capacity::Below(least) => prop_assert!(threshold < least),
            Capacity::AtLeast(most) => prop_assert!(threshold >= most),
            Capacity::Between(low, high) => {
                prop_assert!(low <= threshold && threshold < high && high - low <= within);
            }
        }
        prop_assert!(calls <= 2 + (2.5 / within).log2().ceil() as usize + 1, "{} calls", calls);
    }
}
