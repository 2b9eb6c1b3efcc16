//! Local health by itself.
#![allow(missing_docs)]

use stonevane_membership::health::LocalHealth;

#[test]
fn it_stays_between_healthy_and_worst_and_counts_only_where_it_is_enabled() {
    let mut health = LocalHealth::new(true);
    health.recover();
    assert_eq!((health.score(), health.multiplier()), (0, 1));
    health.penalize(3);
    health.penalize(u64::MAX);
    assert_eq!((health.score(), health.multiplier()), (8, 9));
    health.recover();
    assert_eq!(health.multiplier(), 8);
    let mut ignored = LocalHealth::new(false);
    ignored.penalize(5);
    assert_eq!((ignored.score(), ignored.multiplier()), (5, 1));
}
