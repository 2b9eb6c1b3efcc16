use super::*;

/// Guards against the end of one step that also removes the fault of another: a partition heals while a kill
/// of the same cache is still in force.
#[test]
fn end_of_a_partition_does_not_revive_a_dead_cache() {
    let mut faults = ActiveFaults::default();
    let partition = faults.begin("c", Some("n0"), Fault::Silent);
    let killed = faults.begin("c", None, Fault::Dead);
    assert_eq!((faults.seen_by("c", "n0"), faults.seen_by("c", "n1")), (Fault::Dead, Fault::Dead));
    faults.end(partition);
    assert!(faults.is_dead("c") && faults.seen_by("c", "n0") == Fault::Dead);
    faults.end(killed);
    assert!(!faults.is_dead("c") && faults.seen_by("c", "n0") == Fault::None);
}

/// Guards against a cache that restarts too early or loses its partition: two kills overlap, and end during a
/// partition.
#[test]
fn overlapping_kills_end_with_the_last_and_a_restarted_cache_stays_partitioned() {
    let mut faults = ActiveFaults::default();
    let (one, other) = (faults.begin("c", None, Fault::Dead), faults.begin("c", None, Fault::Dead));
    let partition = faults.begin("c", Some("n0"), Fault::Silent);
    faults.end(one);
    assert!(faults.is_dead("c"));
    faults.end(other);
    assert_eq!((faults.seen_by("c", "n0"), faults.seen_by("c", "n1")), (Fault::Silent, Fault::None));
    let slow = faults.begin("c", None, Fault::Slow);
    faults.begin("c", None, Fault::Noise);
    assert_eq!(faults.seen_by("c", "n1"), Fault::Noise, "the newest of equals");
    faults.end(partition);
    faults.end(slow);
    assert_eq!(faults.seen_by("d", "n1"), Fault::None);
}
