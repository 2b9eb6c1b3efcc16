//! Makes a plan that fails smaller, as long as it fails by the same rule: faults go first, by halves and then one by
//! one, then members.

use super::plan::MemberPlan;
use super::simulation::{MemberOptions, play};
use crate::shrink::remove_by_halves;

/// A plan keeps so many members.
const MIN_MEMBERS: usize = 3;

struct Search {
    options: MemberOptions,
    code: &'static str,
    runs: usize,
    max_runs: usize,
}

impl Search {
    /// Takes another plan where it still fails in the same way.
    fn accept(&mut self, plan: &mut MemberPlan, other: MemberPlan) -> bool {
        self.runs += 1;
        let is_better = self.runs <= self.max_runs
            && other != *plan
            && play(&other, self.options).code() == Some(self.code);
        if is_better {
            *plan = other;
        }
        is_better
    }
}

/// Shrinks a plan that fails, in so many runs at most; `None` where it does not fail. Returns what still fails too.
pub fn shrink_members(
    plan: &MemberPlan,
    options: MemberOptions,
    max_runs: usize,
) -> Option<(MemberPlan, &'static str)> {
    let code = play(plan, options).code()?;
    let mut search = Search { options, code, runs: 1, max_runs };
    let mut plan = plan.clone();
    let faults = plan.faults.len();
    remove_by_halves(
        &mut plan,
        faults,
        |plan| plan.faults.len(),
        |plan, range| {
            let mut other = plan.clone();
            other.faults.drain(range);
            search.accept(plan, other)
        },
    );
    while plan.members > MIN_MEMBERS {
        let other = MemberPlan { members: plan.members - 1, ..plan.clone() };
        if MemberPlan::parse(&other.to_json()).is_err() || !search.accept(&mut plan, other) {
            break;
        }
    }
    Some((plan, code))
}
