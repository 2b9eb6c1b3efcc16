//! Shrinks a failing plan while it still fails with the same code. Faults are removed first, in halves and
//! then one by one (delta debugging; Zeller and Hildebrandt, 2002); then load duration, nodes, caches,
//! request rate, network conditions and fault durations are reduced.

use std::ops::Range;

use crate::plan::{FaultKind, Plan};
use crate::simulation::{Options, run};

/// Fault duration at or below which a fault is not shortened further, microseconds.
const MIN_FAULT_US: u64 = 50_000;
/// Request rate at or below which the load is not reduced further, requests per second.
const MIN_REQUESTS_PER_S: f64 = 4.0;
/// Times from the last fault's end to the end of the load that shrinking tries, in this order, microseconds.
const LOAD_TAILS_US: [u64; 3] = [200_000, 1_000_000, 3_000_000];

/// Result of shrinking a failing plan.
#[derive(Debug, Clone)]
pub struct Shrunk {
    /// The smallest failing plan that was found.
    pub plan: Plan,
    /// Failure code of both the original and the shrunk plan; see [`Verdict::code`](crate::Verdict::code).
    pub code: String,
    /// Number of simulation runs that shrinking took.
    pub runs: usize,
}

struct Shrinker {
    options: Options,
    code: String,
    runs: usize,
    max_runs: usize,
}

impl Shrinker {
    fn fails(&mut self, plan: &Plan) -> bool {
        if self.runs >= self.max_runs {
            return false;
        }
        self.runs += 1;
        run(plan, self.options).code().as_deref() == Some(&self.code)
    }

    /// Applies a change if the changed plan still fails with the same code; returns whether it was applied.
    fn try_change(&mut self, plan: &mut Plan, change: impl FnOnce(&mut Plan)) -> bool {
        let mut candidate = plan.clone();
        change(&mut candidate);
        let is_accepted = candidate != *plan && self.fails(&candidate);
        if is_accepted {
            *plan = candidate;
        }
        is_accepted
    }

    /// Tries each way of shrinking once; returns whether the plan became smaller.
    fn shrink_once(&mut self, plan: &mut Plan) -> bool {
        let before = plan.clone();
        let faults = plan.faults.len();
        remove_by_halves(
            plan,
            faults,
            |plan| plan.faults.len(),
            |plan, range| self.try_change(plan, |plan| drop(plan.faults.drain(range))),
        );
        self.shorten_load(plan);
        while plan.nodes > 1 && self.try_change(plan, remove_last_node) {}
        while plan.caches > 1 && self.try_change(plan, remove_last_cache) {}
        while plan.requests_per_s > MIN_REQUESTS_PER_S
            && self.try_change(plan, |plan| plan.requests_per_s /= 2.0)
        {}
        self.simplify(plan);
        for fault in 0..plan.faults.len() {
            while plan.faults[fault].duration_us > MIN_FAULT_US
                && self.try_change(plan, |plan| plan.faults[fault].duration_us /= 2)
            {}
        }
        *plan != before
    }

    fn shorten_load(&mut self, plan: &mut Plan) {
        if self.code == "progress" {
            // `Invariant::Progress` needs enough load after the last fault to judge recovery.
            return;
        }
        let last_fault_end = plan.last_fault_end_us();
        for tail_us in LOAD_TAILS_US {
            let end = last_fault_end + tail_us;
            if self.try_change(plan, |plan| plan.load_duration_us = plan.load_duration_us.min(end)) {
                break;
            }
        }
    }

    fn simplify(&mut self, plan: &mut Plan) {
        self.try_change(plan, |plan| plan.fragmented_share = 0.0);
        self.try_change(plan, |plan| plan.late_flush_share = 0.0);
        self.try_change(plan, |plan| plan.pipelined_share = 0.0);
        self.try_change(plan, |plan| plan.clock_drifts.fill(0.0));
        self.try_change(plan, |plan| plan.delay_us = (100, 100));
        self.try_change(plan, |plan| plan.value_bytes = 24);
        self.try_change(plan, |plan| (plan.max_sockets, plan.memory_mb) = (256, 64));
        self.try_change(plan, |plan| plan.edit_share = 0.0);
        self.try_change(plan, |plan| plan.move_share = 0.0);
    }
}

/// Tries to remove items from a plan in ranges of `max_length`, then of half that length, down to single
/// items. `remove` removes a range if the plan still fails without it, and returns whether it did.
pub(crate) fn remove_by_halves<P>(
    plan: &mut P,
    max_length: usize,
    count: impl Fn(&P) -> usize,
    mut remove: impl FnMut(&mut P, Range<usize>) -> bool,
) {
    let mut length = max_length;
    while length > 0 {
        let mut from = 0;
        while from < count(plan) {
            let until = (from + length).min(count(plan));
            if !remove(plan, from..until) {
                from += length;
            }
        }
        length /= 2;
    }
}

fn keep_faults(plan: &mut Plan, keeps: impl Fn(FaultKind) -> bool) {
    plan.faults.retain(|fault| keeps(fault.kind));
}

fn remove_last_node(plan: &mut Plan) {
    plan.nodes -= 1;
    plan.clock_drifts.truncate(plan.nodes);
    let nodes = plan.nodes;
    keep_faults(plan, |kind| kind.node().is_none_or(|node| node < nodes));
}

fn remove_last_cache(plan: &mut Plan) {
    plan.caches -= 1;
    let caches = plan.caches;
    keep_faults(plan, |kind| kind.cache().is_none_or(|cache| cache < caches));
}

/// Shrinks a failing plan in at most `max_runs` runs; returns `None` if the plan doesn't fail.
pub fn shrink(plan: &Plan, options: Options, max_runs: usize) -> Option<Shrunk> {
    let options = Options { keeps_history: false, ..options };
    let code = run(plan, options).code()?;
    let mut shrinker = Shrinker { options, code, runs: 1, max_runs };
    let mut plan = plan.clone();
    while shrinker.shrink_once(&mut plan) && shrinker.runs < shrinker.max_runs {}
    Some(Shrunk { plan, code: shrinker.code, runs: shrinker.runs })
}
