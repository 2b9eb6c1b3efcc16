//! Tests of the local health score and multiplier.
#![allow(missing_docs)]

use stonevane_membership::health::LocalHealth;

#[test]
fn the_score_stays_within_its_bounds_and_the_multiplier_is_one_unless_enabled() {
    let mut health = LocalHealth::new(true);
    health.recover();
    assert_eq!((health.score(), health.multiplier()), (0, 1));
    health.penalize(3);
    health.penalize(u64::MAX);
    assert_eq!((health.score(), health.multiplier()), (8, 9));
    health.recover();
    assert_eq!(health.multiplier(), 8);
    let mut disabled = LocalHealth::new(false);
    disabled.penalize(5);
    assert_eq!((disabled.score(), disabled.multiplier()), (5, 1));
}
