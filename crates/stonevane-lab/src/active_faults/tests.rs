use super::*;

#[test]
fn a_partition_that_heals_while_a_cache_is_dead_does_not_wake_it() {
    let mut faults = ActiveFaults::default();
    let apart = faults.begin("c", Some("n0"), Fault::Silent);
    let killed = faults.begin("c", None, Fault::Dead);
    assert_eq!((faults.seen_by("c", "n0"), faults.seen_by("c", "n1")), (Fault::Dead, Fault::Dead));
    faults.end(apart);
    assert!(faults.is_dead("c") && faults.seen_by("c", "n0") == Fault::Dead);
    faults.end(killed);
    assert!(!faults.is_dead("c") && faults.seen_by("c", "n0") == Fault::None);
}

#[test]
fn a_cache_that_comes_back_within_a_partition_is_still_cut_off_and_two_kills_are_one_death() {
    let mut faults = ActiveFaults::default();
    let (one, other) = (faults.begin("c", None, Fault::Dead), faults.begin("c", None, Fault::Dead));
    let apart = faults.begin("c", Some("n0"), Fault::Silent);
    faults.end(one);
    assert!(faults.is_dead("c"));
    faults.end(other);
    assert_eq!((faults.seen_by("c", "n0"), faults.seen_by("c", "n1")), (Fault::Silent, Fault::None));
    let slow = faults.begin("c", None, Fault::Slow);
    faults.begin("c", None, Fault::Noise);
    assert_eq!(faults.seen_by("c", "n1"), Fault::Noise, "the newest of equals");
    faults.end(apart);
    faults.end(slow);
    assert_eq!(faults.seen_by("d", "n1"), Fault::None);
}
