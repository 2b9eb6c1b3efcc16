//! Views of members at the edges of each bound: a check that is off by a microsecond fails here. Times are in
//! microseconds.

use super::*;
use crate::rules::MembershipRules;

const RULES: MembershipRules = MembershipRules {
    members: 5,
    detection_limit_us: 100,
    false_death_limit_us: 50,
    refutation_limit_us: 80,
    convergence_limit_us: 200,
};

fn at(time: u64) -> TimeInterval {
    TimeInterval { earliest: time, latest: time }
}

/// Returns the state of five members that have run since the moment 0.
fn five_running_members() -> Membership {
    let mut membership = Membership::new(RULES);
    (0..5).for_each(|member| membership.process_state(at(0), member, "ready"));
    membership
}

#[track_caller]
fn assert_violations(membership: &mut Membership, time: u64, observer: usize, view: &str, codes: &[&str]) {
    let violations = membership.view(at(time), observer, view);
    let found: Vec<_> = violations.iter().map(|violation| violation.code).collect();
    assert_eq!(found, codes, "at {time} us, view `{view}` of member {observer}: {violations:?}");
}

#[test]
fn a_view_that_still_lacks_a_member_past_the_bound_has_diverged() {
    let mut membership = five_running_members();
    assert_violations(&mut membership, 150, 0, "aaa", &[]);
    assert_violations(&mut membership, 250, 0, "aaa", &["diverged", "diverged"]);
}

#[test]
fn an_ended_member_is_not_alive_past_the_detection_bound_and_may_be_suspected() {
    let mut membership = five_running_members();
    membership.process_state(at(1_000), 4, "killed");
    assert_violations(&mut membership, 1_100, 0, "aaaaa", &[]);
    assert_violations(&mut membership, 1_101, 0, "aaaaa", &["undetected"]);
    assert_violations(&mut membership, 1_102, 0, "aaaaa", &[]); // The violation lasts and is already reported.
    assert_violations(&mut membership, 1_103, 1, "aaaas", &[]);
    // The bound restarts for an observer that was paused.
    membership.process_state(at(1_150), 2, "paused");
    membership.process_state(at(1_160), 2, "resumed");
    assert_violations(&mut membership, 1_259, 2, "aaaaa", &[]);
    assert_violations(&mut membership, 1_261, 2, "aaaaa", &["undetected"]);
}

#[test]
fn a_healthy_member_is_not_dead_or_suspected_past_the_bounds_but_a_partitioned_one_may_be() {
    let mut membership = five_running_members();
    assert_violations(&mut membership, 300, 0, "aaaas", &[]);
    let mut membership = Membership::new(MembershipRules { convergence_limit_us: u64::MAX >> 1, ..RULES });
    (0..5).for_each(|member| membership.process_state(at(0), member, "ready"));
    assert_violations(&mut membership, 1_000, 0, "aaaas", &[]);
    assert_violations(&mut membership, 1_080, 0, "aaaas", &[]);
    assert_violations(&mut membership, 1_081, 0, "aaaas", &["unrefuted"]);
    // Dead is a violation too, but one of this entry is already reported.
    assert_violations(&mut membership, 1_100, 0, "aaaad", &[]);
    assert_violations(&mut membership, 1_101, 0, "aaaad", &[]);
    assert_violations(&mut membership, 1_150, 0, "aaaad", &[]);
    assert_violations(&mut membership, 1_151, 0, "aaaad", &["accused"]);
    // A partition from one other member excuses nothing. A partition from most members does, and the bound
    // restarts when it ends.
    membership.partition(at(2_000), 4, 0, true);
    assert_violations(&mut membership, 2_000, 1, "aaaad", &[]);
    assert_violations(&mut membership, 2_051, 1, "aaaad", &["accused"]);
    for to in [1, 2] {
        membership.partition(at(2_100), 4, to, true);
    }
    assert_violations(&mut membership, 2_200, 2, "aaaad", &[]);
    assert_violations(&mut membership, 2_300, 2, "aaaad", &[]);
    for to in [0, 1, 2] {
        membership.partition(at(2_400), 4, to, false);
    }
    assert_violations(&mut membership, 2_450, 2, "aaaad", &[]);
    assert_violations(&mut membership, 2_451, 2, "aaaad", &["accused"]);
}

#[test]
fn no_member_is_declared_dead_in_mild_conditions_and_in_severe_ones_only_within_the_bound() {
    let mut membership = Membership::new(MembershipRules { convergence_limit_us: u64::MAX >> 1, ..RULES });
    (0..5).for_each(|member| membership.process_state(at(0), member, "ready"));
    assert_violations(&mut membership, 10, 0, "aaaad", &[]); // Within the bound after the members' start.
    assert_violations(&mut membership, 40, 0, "aaaaa", &[]);
    membership.network_conditions(at(50), true, true);
    assert_violations(&mut membership, 110, 0, "aaaaa", &[]);
    assert_violations(&mut membership, 120, 0, "aaaad", &["accused"]);
    membership.network_conditions(at(200), true, false);
    assert_violations(&mut membership, 300, 1, "aaaad", &[]);
    assert_violations(&mut membership, 351, 1, "aaaad", &["accused"]);
}

#[test]
fn repeated_false_suspicions_of_a_member_are_a_breach() {
    let mut membership = Membership::new(MembershipRules { convergence_limit_us: u64::MAX >> 1, ..RULES });
    (0..5).for_each(|member| membership.process_state(at(0), member, "ready"));
    for round in 0..3 {
        assert_violations(&mut membership, 100 + 40 * round, 0, "aaaas", &[]);
        assert_violations(&mut membership, 120 + 40 * round, 0, "aaaaa", &[]);
    }
    assert_violations(&mut membership, 220, 0, "aaaas", &["hounded"]);
}

#[test]
fn deaths_and_false_deaths_are_measured_once_each() {
    let mut membership = Membership::new(MembershipRules { convergence_limit_us: u64::MAX >> 1, ..RULES });
    (0..4).for_each(|member| membership.process_state(at(0), member, "ready"));
    membership.process_state(at(1_000), 3, "killed");
    membership.view(at(1_010), 0, "aaaa?");
    membership.view(at(1_020), 1, "aaas?");
    membership.view(at(1_030), 0, "aaad?");
    assert!(membership.measurements().last_us.is_empty());
    membership.view(at(1_040), 2, "aaad?");
    assert_eq!(
        (&membership.measurements().first_us[..], &membership.measurements().last_us[..]),
        (&[20][..], &[40][..])
    );
    // Member 3 runs again, and a view still shows its earlier death for a moment, which does not count. Then
    // two views show member 1 dead, which counts once.
    membership.process_state(at(1_100), 3, "ready");
    membership.view(at(1_120), 2, "aaad?");
    membership.view(at(1_130), 2, "aaaa?");
    membership.view(at(1_140), 0, "adaa?");
    membership.view(at(1_150), 2, "adaa?");
    membership.view(at(1_160), 0, "aaaa?");
    membership.view(at(1_170), 2, "aaaa?");
    assert_eq!((membership.measurements().deaths, membership.measurements().false_deaths), (1, 1));
    membership.view(at(1_180), 0, "adaa?");
    assert_eq!(membership.measurements().false_deaths, 2);
}

#[test]
fn a_member_without_running_peers_is_healthy_only_once_another_runs() {
    let mut membership = Membership::new(RULES);
    (0..3).for_each(|member| membership.process_state(at(0), member, "ready"));
    for member in [1, 2] {
        membership.process_state(at(10), member, "killed");
    }
    assert_violations(&mut membership, 1_000, 0, "aas??", &[]);
    membership.process_state(at(1_000), 2, "ready");
    assert_violations(&mut membership, 1_080, 0, "aas??", &[]);
    assert_violations(&mut membership, 1_101, 0, "aas??", &["undetected", "unrefuted"]);
}

#[test]
fn views_must_match_the_processes_only_once_all_faults_have_ended() {
    let mut membership = five_running_members();
    membership.network_conditions(at(100), true, false);
    assert_violations(&mut membership, 1_000, 0, "aaa?a", &[]);
    membership.network_conditions(at(1_000), false, false);
    assert_violations(&mut membership, 1_200, 0, "aaa?a", &[]);
    assert_violations(&mut membership, 1_201, 0, "aaa?a", &["diverged"]);
    membership.process_state(at(1_300), 3, "killed");
    assert_violations(&mut membership, 1_501, 1, "aaada", &[]);
    assert_violations(&mut membership, 1_501, 2, "aaasa", &["diverged"]);
}

#[test]
fn an_ended_incarnation_or_an_unknown_peer_shown_alive_is_a_breach() {
    let mut membership = Membership::new(RULES);
    (0..4).for_each(|member| membership.process_state(at(0), member, "ready"));
    assert_violations(&mut membership, 10, 0, "aaaa?", &[]);
    assert_violations(&mut membership, 11, 1, "aaaaa", &["stranger"]);
    membership.process_state(at(1_000), 3, "killed");
    assert_violations(&mut membership, 1_050, 0, "aaad?", &[]);
    // Within the detection bound the view may show a late datagram from before the end.
    assert_violations(&mut membership, 1_060, 0, "aaaa?", &[]);
    assert_violations(&mut membership, 1_101, 0, "aaad?", &[]);
    assert_violations(&mut membership, 1_110, 0, "aaas?", &["risen"]);
    membership.process_state(at(1_200), 3, "starting");
    assert_violations(&mut membership, 1_201, 0, "aaaa?", &[]);
}
