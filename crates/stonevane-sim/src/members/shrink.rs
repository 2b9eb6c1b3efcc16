//! Shrinks a failing plan while it still breaks the same rule. Faults are removed first, in halves and then
//! one by one; then members.

use super::plan::MemberPlan;
use super::simulation::{MemberOptions, run};
use crate::shrink::remove_by_halves;

/// Minimum number of members of a shrunk plan.
const MIN_MEMBERS: usize = 3;

struct Shrinker {
    options: MemberOptions,
    code: &'static str,
    runs: usize,
    max_runs: usize,
}

impl Shrinker {
    /// Replaces the plan by a candidate if the candidate breaks the same rule as the original plan; returns
    /// whether it was replaced.
    fn try_change(&mut self, plan: &mut MemberPlan, candidate: MemberPlan) -> bool {
        self.runs += 1;
        let is_accepted = self.runs <= self.max_runs
            && candidate != *plan
            && run(&candidate, self.options).code() == Some(self.code);
        if is_accepted {
            *plan = candidate;
        }
        is_accepted
    }
}

/// Shrinks a failing plan in at most `max_runs` runs. Returns the smaller plan and the code of the rule that
/// it breaks; `None` if `plan` breaks no rule.
pub fn shrink_members(
    plan: &MemberPlan,
    options: MemberOptions,
    max_runs: usize,
) -> Option<(MemberPlan, &'static str)> {
    let code = run(plan, options).code()?;
    let mut shrinker = Shrinker { options, code, runs: 1, max_runs };
    let mut plan = plan.clone();
    let faults = plan.faults.len();
    remove_by_halves(
        &mut plan,
        faults,
        |plan| plan.faults.len(),
        |plan, range| {
            let mut candidate = plan.clone();
            candidate.faults.drain(range);
            shrinker.try_change(plan, candidate)
        },
    );
    while plan.members > MIN_MEMBERS {
        let candidate = MemberPlan { members: plan.members - 1, ..plan.clone() };
        if MemberPlan::parse(&candidate.to_json()).is_err() || !shrinker.try_change(&mut plan, candidate) {
            break;
        }
    }
    Some((plan, code))
}
