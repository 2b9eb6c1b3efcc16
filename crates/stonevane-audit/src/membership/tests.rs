//! Views of members judged at the edges of each bound.

use super::*;
use crate::rules::MembershipRules;

const RULES: MembershipRules =
    MembershipRules { members: 5, detect_us: 100, accuse_us: 50, refute_us: 80, converge_us: 200 };

fn at(time: u64) -> TimeInterval {
    TimeInterval { earliest: time, latest: time }
}

/// Five members that run from the moment 0 on.
fn five() -> Membership {
    let mut membership = Membership::new(RULES);
    (0..5).for_each(|member| membership.process_state(at(0), member, "ready"));
    membership
}

#[track_caller]
fn found(membership: &mut Membership, time: u64, observer: usize, view: &str, codes: &[&str]) {
    let breaches = membership.view(at(time), observer, view);
    let found: Vec<_> = breaches.iter().map(|breach| breach.code).collect();
    assert_eq!(found, codes, "{breaches:?}");
}

#[test]
fn a_view_that_lacks_a_member_for_good_has_diverged() {
    let mut membership = five();
    found(&mut membership, 150, 0, "aaa", &[]);
    found(&mut membership, 250, 0, "aaa", &["diverged", "diverged"]);
}

#[test]
fn a_member_that_is_gone_is_not_alive_past_the_bound_and_may_be_suspected() {
    let mut membership = five();
    membership.process_state(at(1_000), 4, "killed");
    found(&mut membership, 1_100, 0, "aaaaa", &[]);
    found(&mut membership, 1_101, 0, "aaaaa", &["undetected"]);
    found(&mut membership, 1_102, 0, "aaaaa", &[]); // Told once.
    found(&mut membership, 1_103, 1, "aaaas", &[]);
    // An observer that was paused has as long again.
    membership.process_state(at(1_150), 2, "paused");
    membership.process_state(at(1_160), 2, "resumed");
    found(&mut membership, 1_259, 2, "aaaaa", &[]);
    found(&mut membership, 1_261, 2, "aaaaa", &["undetected"]);
}

#[test]
fn a_healthy_member_is_not_dead_or_suspected_past_the_bounds_and_one_that_is_partitioned_may_be() {
    let mut membership = five();
    found(&mut membership, 300, 0, "aaaas", &[]);
    let mut membership = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
    (0..5).for_each(|member| membership.process_state(at(0), member, "ready"));
    found(&mut membership, 1_000, 0, "aaaas", &[]);
    found(&mut membership, 1_080, 0, "aaaas", &[]);
    found(&mut membership, 1_081, 0, "aaaas", &["unrefuted"]);
    found(&mut membership, 1_100, 0, "aaaad", &[]); // The same stretch.
    found(&mut membership, 1_101, 0, "aaaad", &[]);
    found(&mut membership, 1_150, 0, "aaaad", &[]);
    found(&mut membership, 1_151, 0, "aaaad", &["accused"]);
    // One cut of one pair excuses nothing; from most it does, and from the heal on there is time.
    membership.partition(at(2_000), 4, 0, true);
    found(&mut membership, 2_000, 1, "aaaad", &[]);
    found(&mut membership, 2_051, 1, "aaaad", &["accused"]);
    for to in [1, 2] {
        membership.partition(at(2_100), 4, to, true);
    }
    found(&mut membership, 2_200, 2, "aaaad", &[]);
    found(&mut membership, 2_300, 2, "aaaad", &[]);
    for to in [0, 1, 2] {
        membership.partition(at(2_400), 4, to, false);
    }
    found(&mut membership, 2_450, 2, "aaaad", &[]);
    found(&mut membership, 2_451, 2, "aaaad", &["accused"]);
}

#[test]
fn nobody_is_declared_dead_in_fair_or_mild_conditions_and_in_severe_only_for_a_while() {
    let mut membership = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
    (0..5).for_each(|member| membership.process_state(at(0), member, "ready"));
    found(&mut membership, 10, 0, "aaaad", &[]); // Something has just happened.
    found(&mut membership, 40, 0, "aaaaa", &[]);
    membership.network_conditions(at(50), true, true);
    found(&mut membership, 110, 0, "aaaaa", &[]);
    found(&mut membership, 120, 0, "aaaad", &["accused"]);
    membership.network_conditions(at(200), true, false);
    found(&mut membership, 300, 1, "aaaad", &[]);
    found(&mut membership, 351, 1, "aaaad", &["accused"]);
}

#[test]
fn a_member_that_is_falsely_suspected_again_and_again_is_a_breach() {
    let mut membership = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
    (0..5).for_each(|member| membership.process_state(at(0), member, "ready"));
    for turn in 0..3 {
        found(&mut membership, 100 + 40 * turn, 0, "aaaas", &[]);
        found(&mut membership, 120 + 40 * turn, 0, "aaaaa", &[]);
    }
    found(&mut membership, 220, 0, "aaaas", &["hounded"]);
}

#[test]
fn deaths_and_false_deaths_are_measured_once_each() {
    let mut membership = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
    (0..4).for_each(|member| membership.process_state(at(0), member, "ready"));
    membership.process_state(at(1_000), 3, "killed");
    membership.view(at(1_010), 0, "aaaa?");
    membership.view(at(1_020), 1, "aaas?");
    membership.view(at(1_030), 0, "aaad?");
    assert!(membership.figures().last_us.is_empty());
    membership.view(at(1_040), 2, "aaad?");
    assert_eq!(
        (&membership.figures().first_us[..], &membership.figures().last_us[..]),
        (&[20][..], &[40][..])
    );
    // It is back, and held dead for a moment: of before. Then another is held dead by two.
    membership.process_state(at(1_100), 3, "ready");
    membership.view(at(1_120), 2, "aaad?");
    membership.view(at(1_130), 2, "aaaa?");
    membership.view(at(1_140), 0, "adaa?");
    membership.view(at(1_150), 2, "adaa?");
    membership.view(at(1_160), 0, "aaaa?");
    membership.view(at(1_170), 2, "aaaa?");
    assert_eq!((membership.figures().deaths, membership.figures().false_deaths), (1, 1));
    membership.view(at(1_180), 0, "adaa?");
    assert_eq!(membership.figures().false_deaths, 2);
}

#[test]
fn a_member_that_is_left_alone_is_healthy_once_another_runs() {
    let mut membership = Membership::new(RULES);
    (0..3).for_each(|member| membership.process_state(at(0), member, "ready"));
    for member in [1, 2] {
        membership.process_state(at(10), member, "killed");
    }
    found(&mut membership, 1_000, 0, "aas??", &[]);
    membership.process_state(at(1_000), 2, "ready");
    found(&mut membership, 1_080, 0, "aas??", &[]);
    found(&mut membership, 1_101, 0, "aas??", &["undetected", "unrefuted"]);
}

#[test]
fn views_are_right_once_all_faults_have_ended_and_not_before() {
    let mut membership = five();
    membership.network_conditions(at(100), true, false);
    found(&mut membership, 1_000, 0, "aaa?a", &[]);
    membership.network_conditions(at(1_000), false, false);
    found(&mut membership, 1_200, 0, "aaa?a", &[]);
    found(&mut membership, 1_201, 0, "aaa?a", &["diverged"]);
    membership.process_state(at(1_300), 3, "killed");
    found(&mut membership, 1_501, 1, "aaada", &[]);
    found(&mut membership, 1_501, 2, "aaasa", &["diverged"]);
}

#[test]
fn no_ended_incarnation_and_no_unknown_peer_is_alive() {
    let mut membership = Membership::new(RULES);
    (0..4).for_each(|member| membership.process_state(at(0), member, "ready"));
    found(&mut membership, 10, 0, "aaaa?", &[]);
    found(&mut membership, 11, 1, "aaaaa", &["stranger"]);
    membership.process_state(at(1_000), 3, "killed");
    found(&mut membership, 1_050, 0, "aaad?", &[]);
    // So early it may have been a late word of before.
    found(&mut membership, 1_060, 0, "aaaa?", &[]);
    found(&mut membership, 1_101, 0, "aaad?", &[]);
    found(&mut membership, 1_110, 0, "aaas?", &["risen"]);
    membership.process_state(at(1_200), 3, "starting");
    found(&mut membership, 1_201, 0, "aaaa?", &[]);
}
