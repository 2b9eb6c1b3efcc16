//! Views of members judged at the edges of each bound.

use super::*;
use crate::rules::MembershipRules;

const RULES: MembershipRules =
    MembershipRules { members: 5, detect_us: 100, accuse_us: 50, refute_us: 80, converge_us: 200 };

fn at(t: u64) -> TimeInterval {
    TimeInterval { earliest: t, latest: t }
}

/// Five members that run since 0.
fn five() -> Membership {
    let mut judge = Membership::new(RULES);
    (0..5).for_each(|member| judge.process_state(at(0), member, "ready"));
    judge
}

#[track_caller]
fn found(judge: &mut Membership, t: u64, observer: usize, view: &str, codes: &[&str]) {
    let breaches = judge.view(at(t), observer, view);
    let found: Vec<_> = breaches.iter().map(|breach| breach.code).collect();
    assert_eq!(found, codes, "{breaches:?}");
}

#[test]
fn a_view_that_lacks_a_member_for_good_is_not_as_the_processes_are() {
    let mut judge = five();
    found(&mut judge, 150, 0, "aaa", &[]);
    found(&mut judge, 250, 0, "aaa", &["diverged", "diverged"]);
}

#[test]
fn a_member_that_is_gone_must_not_be_alive_past_the_bound_and_may_be_suspected() {
    let mut judge = five();
    judge.process_state(at(1_000), 4, "killed");
    found(&mut judge, 1_100, 0, "aaaaa", &[]);
    found(&mut judge, 1_101, 0, "aaaaa", &["undetected"]);
    found(&mut judge, 1_102, 0, "aaaaa", &[]); // Told once.
    found(&mut judge, 1_103, 1, "aaaas", &[]);
    // An observer that was paused has as long again.
    judge.process_state(at(1_150), 2, "paused");
    judge.process_state(at(1_160), 2, "resumed");
    found(&mut judge, 1_259, 2, "aaaaa", &[]);
    found(&mut judge, 1_261, 2, "aaaaa", &["undetected"]);
}

#[test]
fn a_clear_member_is_not_dead_or_suspected_past_the_bounds_and_one_that_is_cut_off_from_most_may_be() {
    let mut judge = five();
    found(&mut judge, 300, 0, "aaaas", &[]);
    let mut judge = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
    (0..5).for_each(|member| judge.process_state(at(0), member, "ready"));
    found(&mut judge, 1_000, 0, "aaaas", &[]);
    found(&mut judge, 1_080, 0, "aaaas", &[]);
    found(&mut judge, 1_081, 0, "aaaas", &["unrefuted"]);
    found(&mut judge, 1_100, 0, "aaaad", &[]); // The same stretch.
    found(&mut judge, 1_101, 0, "aaaad", &[]);
    found(&mut judge, 1_150, 0, "aaaad", &[]);
    found(&mut judge, 1_151, 0, "aaaad", &["accused"]);
    // One cut of one pair excuses nothing; from most it does, and from the heal on there is time.
    judge.partition(at(2_000), 4, 0, true);
    found(&mut judge, 2_000, 1, "aaaad", &[]);
    found(&mut judge, 2_051, 1, "aaaad", &["accused"]);
    for to in [1, 2] {
        judge.partition(at(2_100), 4, to, true);
    }
    found(&mut judge, 2_200, 2, "aaaad", &[]);
    found(&mut judge, 2_300, 2, "aaaad", &[]);
    for to in [0, 1, 2] {
        judge.partition(at(2_400), 4, to, false);
    }
    found(&mut judge, 2_450, 2, "aaaad", &[]);
    found(&mut judge, 2_451, 2, "aaaad", &["accused"]);
}

#[test]
fn nobody_is_declared_dead_in_fair_or_mild_weather_and_in_severe_only_for_a_while() {
    let mut judge = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
    (0..5).for_each(|member| judge.process_state(at(0), member, "ready"));
    found(&mut judge, 10, 0, "aaaad", &[]); // Something has just happened.
    found(&mut judge, 40, 0, "aaaaa", &[]);
    judge.network_conditions(at(50), true, true);
    found(&mut judge, 110, 0, "aaaaa", &[]);
    found(&mut judge, 120, 0, "aaaad", &["accused"]);
    judge.network_conditions(at(200), true, false);
    found(&mut judge, 300, 1, "aaaad", &[]);
    found(&mut judge, 351, 1, "aaaad", &["accused"]);
}

#[test]
fn a_member_that_is_suspected_again_and_again_is_hounded() {
    let mut judge = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
    (0..5).for_each(|member| judge.process_state(at(0), member, "ready"));
    for turn in 0..3 {
        found(&mut judge, 100 + 40 * turn, 0, "aaaas", &[]);
        found(&mut judge, 120 + 40 * turn, 0, "aaaaa", &[]);
    }
    found(&mut judge, 220, 0, "aaaas", &["hounded"]);
}

#[test]
fn deaths_and_false_deaths_are_measured_once_each() {
    let mut judge = Membership::new(MembershipRules { converge_us: u64::MAX >> 1, ..RULES });
    (0..4).for_each(|member| judge.process_state(at(0), member, "ready"));
    judge.process_state(at(1_000), 3, "killed");
    judge.view(at(1_010), 0, "aaaa?");
    judge.view(at(1_020), 1, "aaas?");
    judge.view(at(1_030), 0, "aaad?");
    assert!(judge.figures().last_us.is_empty());
    judge.view(at(1_040), 2, "aaad?");
    assert_eq!((&judge.figures().first_us[..], &judge.figures().last_us[..]), (&[20][..], &[40][..]));
    // It is back, and held dead for a moment: of before. Then another is held dead by two.
    judge.process_state(at(1_100), 3, "ready");
    judge.view(at(1_120), 2, "aaad?");
    judge.view(at(1_130), 2, "aaaa?");
    judge.view(at(1_140), 0, "adaa?");
    judge.view(at(1_150), 2, "adaa?");
    judge.view(at(1_160), 0, "aaaa?");
    judge.view(at(1_170), 2, "aaaa?");
    assert_eq!((judge.figures().deaths, judge.figures().false_deaths), (1, 1));
    judge.view(at(1_180), 0, "adaa?");
    assert_eq!(judge.figures().false_deaths, 2);
}

#[test]
fn one_that_is_left_alone_is_judged_from_when_it_has_company() {
    let mut judge = Membership::new(RULES);
    (0..3).for_each(|member| judge.process_state(at(0), member, "ready"));
    for member in [1, 2] {
        judge.process_state(at(10), member, "killed");
    }
    found(&mut judge, 1_000, 0, "aas??", &[]);
    judge.process_state(at(1_000), 2, "ready");
    found(&mut judge, 1_080, 0, "aas??", &[]);
    found(&mut judge, 1_101, 0, "aas??", &["undetected", "unrefuted"]);
}

#[test]
fn views_are_right_once_all_faults_have_ended_and_not_before() {
    let mut judge = five();
    judge.network_conditions(at(100), true, false);
    found(&mut judge, 1_000, 0, "aaa?a", &[]);
    judge.network_conditions(at(1_000), false, false);
    found(&mut judge, 1_200, 0, "aaa?a", &[]);
    found(&mut judge, 1_201, 0, "aaa?a", &["diverged"]);
    judge.process_state(at(1_300), 3, "killed");
    found(&mut judge, 1_501, 1, "aaada", &[]);
    found(&mut judge, 1_501, 2, "aaasa", &["diverged"]);
}

#[test]
fn nobody_rises_and_no_stranger_comes_in() {
    let mut judge = Membership::new(RULES);
    (0..4).for_each(|member| judge.process_state(at(0), member, "ready"));
    found(&mut judge, 10, 0, "aaaa?", &[]);
    found(&mut judge, 11, 1, "aaaaa", &["stranger"]);
    judge.process_state(at(1_000), 3, "killed");
    found(&mut judge, 1_050, 0, "aaad?", &[]);
    // So early it may have been a late word of before.
    found(&mut judge, 1_060, 0, "aaaa?", &[]);
    found(&mut judge, 1_101, 0, "aaad?", &[]);
    found(&mut judge, 1_110, 0, "aaas?", &["risen"]);
    judge.process_state(at(1_200), 3, "starting");
    found(&mut judge, 1_201, 0, "aaaa?", &[]);
}
