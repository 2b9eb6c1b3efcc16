//! Statistics of few and noisy runs: medians with bootstrapped intervals, paired differences, bisection. Pure.

use oorandom::Rand64;

/// Resamples of a bootstrap.
const RESAMPLES: usize = 2_000;
/// With fewer pairs than this nothing is told from noise.
pub const LEAST_PAIRS: usize = 5;

/// The middle of some figures, or the mean of the two in the middle; `None` of none.
pub fn median(figures: &[f64]) -> Option<f64> {
    let mut sorted: Vec<f64> = figures.iter().copied().filter(|f| f.is_finite()).collect();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => None,
        n if n % 2 == 1 => Some(sorted[middle]),
        _ => Some(f64::midpoint(sorted[middle - 1], sorted[middle])),
    }
}

/// A median, and where 95 of a hundred resamples of the figures have theirs (Efron's percentile bootstrap).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The median.
    pub median: f64,
    /// The interval's lower end.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
    /// Figures that it is made of.
    pub count: usize,
}

/// Estimates the median of some figures. The same figures and seed give the same interval.
pub fn estimate(figures: &[f64], seed: u64) -> Option<Estimate> {
    let figures: Vec<f64> = figures.iter().copied().filter(|f| f.is_finite()).collect();
    let middle = median(&figures)?;
    let mut rng = Rand64::new(u128::from(seed));
    let mut drawn = vec![0.0; figures.len()];
    let mut medians = Vec::with_capacity(RESAMPLES);
    for _ in 0..RESAMPLES {
        drawn.fill_with(|| figures[rng.rand_range(0..figures.len() as u64) as usize]);
        medians.extend(median(&drawn));
    }
    medians.sort_by(f64::total_cmp);
    let at = |part: f64| medians[((RESAMPLES - 1) as f64 * part).round() as usize];
    Some(Estimate { median: middle, low: at(0.025), high: at(0.975), count: figures.len() })
}

/// The difference of pairs, the second less the first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Difference {
    /// Its median and interval.
    pub estimate: Estimate,
    /// Whether the interval leaves 0 out, with enough pairs to say so.
    pub distinguishable: bool,
}

/// Compares pairs.
pub fn paired(pairs: &[(f64, f64)], seed: u64) -> Option<Difference> {
    let differences: Vec<f64> = pairs.iter().map(|(one, other)| other - one).collect();
    let estimate = estimate(&differences, seed)?;
    let apart = estimate.low > 0.0 || estimate.high < 0.0;
    Some(Difference { estimate, distinguishable: apart && estimate.count >= LEAST_PAIRS })
}

/// What a bisection found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Capacity {
    /// Not even the least holds.
    Below(f64),
    /// The most that holds, and the least that does not; they lie no further apart than was asked.
    Between(f64, f64),
    /// All of it holds.
    AtLeast(f64),
}

impl std::fmt::Display for Capacity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Capacity::Below(least) => write!(f, "below {least:.3}"),
            Capacity::Between(holds, breaks) => write!(f, "{holds:.3} holds, {breaks:.3} does not"),
            Capacity::AtLeast(most) => write!(f, "at least {most:.3}"),
        }
    }
}

/// Finds, between two bounds, up to where something holds that holds below a point and not above it. Asks the
/// least first, then the most, then halves: at most 2 + log2((most - least) / within) times, rounded up.
///
/// # Errors
/// What kept it from being asked.
pub fn bisect<E>(
    least: f64,
    most: f64,
    within: f64,
    mut holds: impl FnMut(f64) -> Result<bool, E>,
) -> Result<Capacity, E> {
    if !holds(least)? {
        return Ok(Capacity::Below(least));
    }
    if holds(most)? {
        return Ok(Capacity::AtLeast(most));
    }
    let (mut low, mut high) = (least, most);
    while high - low > within.max((most - least) * 1e-6) {
        let middle = f64::midpoint(low, high);
        if holds(middle)? { low = middle } else { high = middle }
    }
    Ok(Capacity::Between(low, high))
}

#[cfg(test)]
mod tests {
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
}
