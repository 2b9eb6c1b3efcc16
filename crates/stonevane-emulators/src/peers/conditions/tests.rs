use super::*;

#[test]
fn overlapping_conditions_combine_and_a_one_way_condition_leaves_the_reverse_path_alone() {
    let mut conditions = ActiveConditions::default();
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    conditions.apply(NetworkConditions { loss: 0.5, duplicate: 0.5, ..NetworkConditions::default() });
    let delay = Duration::from_millis(10);
    let one_way =
        NetworkConditions { from: names(&["n0"]), to: names(&["n1", "n2"]), ..NetworkConditions::default() };
    conditions.apply(NetworkConditions { loss: 0.5, min_delay: delay, max_delay: delay, ..one_way.clone() });
    let (forward, reverse) = (conditions.between("n0", "n1"), conditions.between("n1", "n0"));
    assert_eq!((forward.delivery, forward.min_delay), (0.25, BASE_DELAY + delay));
    assert_eq!((reverse.delivery, reverse.duplicate, reverse.max_delay), (0.5, 0.5, BASE_DELAY));
    conditions.apply(NetworkConditions { loss: 1.0, ..one_way });
    let delivery = |from, to| conditions.between(from, to).delivery;
    assert_eq!((delivery("n0", "n2"), delivery("n2", "n0")), (0.0, 0.5));
    assert_eq!(delivery("n0", "n3"), 0.5);
}
