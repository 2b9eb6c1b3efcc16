use super::*;

#[test]
fn a_slow_disk_holds_its_caller_up_for_one_read_in_a_time_that_doubles() {
    let limits = Limits { slow: 10, shortest: 100, longest: 400, forgive: 3 };
    let mut quick = Quick::new(limits);
    let mut slow_at = Vec::new();
    for now in 0..3_000 {
        if quick.may(now) {
            slow_at.push(now);
            quick.took(now, 11);
        }
    }
    assert_eq!(slow_at, [0, 100, 300, 700, 1_100, 1_500, 1_900, 2_300, 2_700]);
    // Quick again: at first it is no more patient than before, after some it is.
    quick.took(3_100, 10);
    quick.took(3_101, 11);
    assert!(!quick.may(3_500) && quick.may(3_501));
    (0..3).for_each(|_| quick.took(3_501, 10));
    quick.took(3_502, 11);
    assert!(!quick.may(3_601) && quick.may(3_602));
}
