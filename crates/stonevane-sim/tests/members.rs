//! Membership in simulated fleets: no rule is broken over thousands of seeds, and each mutant but one is
//! found.
#![allow(missing_docs)]

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use stonevane_membership::Mutant;
use stonevane_sim::members::{MemberOptions, MemberPlan, TimedViolation, run, shrink_members};

/// Runs the plans of seeds on all cores and returns the seeds that fail, each with its first rule violation.
fn failing(seeds: std::ops::Range<u64>, mutant: Option<Mutant>, first_only: bool) -> Vec<(u64, String)> {
    let next = AtomicU64::new(seeds.start);
    let failed = Mutex::new(Vec::new());
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end || first_only && !failed.lock().unwrap().is_empty() {
                return;
            }
            let verdict = run(&MemberPlan::generate(seed), MemberOptions { mutant });
            if let Some(TimedViolation { at_us, violation }) = verdict.violations.first() {
                let description = format!(
                    "{} at {} s: n{} of n{}: {}",
                    violation.code,
                    at_us / 1_000_000,
                    violation.observer,
                    violation.member,
                    violation.description
                );
                failed.lock().unwrap().push((seed, description));
            }
        }
    };
    let cores = std::thread::available_parallelism().map_or(2, std::num::NonZero::get);
    std::thread::scope(|scope| (0..cores).for_each(|_| drop(scope.spawn(work))));
    let mut failed = failed.into_inner().unwrap();
    failed.sort();
    failed
}

#[test]
fn the_correct_machine_breaks_no_rule_over_two_thousand_seeds() {
    let failed = failing(1..2_001, None, false);
    assert!(failed.is_empty(), "{} seeds: {:#?}", failed.len(), &failed[..failed.len().min(10)]);
}

#[test]
fn each_mutant_but_replays_is_found_within_forty_seeds() {
    for (mutant, name, _) in Mutant::ALL {
        let found = failing(1..41, Some(mutant), true);
        // A replayed datagram has no effect: the replay window and the order of incarnations reject it.
        assert_eq!(found.is_empty(), mutant == Mutant::Replays, "{name}: {found:?}");
    }
}

#[test]
fn the_same_plan_gives_the_same_run_and_a_failing_one_is_shrunk() {
    let plan = MemberPlan::generate(3);
    let digest_of = |plan: &MemberPlan| run(plan, MemberOptions::default()).digest;
    assert_eq!(digest_of(&plan), digest_of(&MemberPlan::parse(&plan.to_json()).unwrap()));
    assert_ne!(digest_of(&plan), digest_of(&MemberPlan { seed: 4, ..plan }));
    let options = MemberOptions { mutant: Some(Mutant::NeverRefutes) };
    let failing =
        (1..41).map(MemberPlan::generate).find(|plan| !run(plan, options).holds() && plan.faults.len() > 2);
    let plan = failing.unwrap();
    let (shrunk, code) = shrink_members(&plan, options, 200).unwrap();
    assert!(shrunk.faults.len() < plan.faults.len() && run(&shrunk, options).code() == Some(code));
}
