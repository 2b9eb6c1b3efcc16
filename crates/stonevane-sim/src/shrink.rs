//! Makes a plan that fails smaller, as long as it fails in the same way: faults go first, by halves and then one by one
//! (delta debugging; Zeller and Hildebrandt, 2002), then nodes, caches, load, network and time.

use std::ops::Range;

use crate::plan::{FaultKind, Plan};
use crate::simulation::{Options, run};

/// A fault isn't shortened below this, microseconds.
const MIN_FAULT_US: u64 = 50_000;
/// The load isn't reduced below this.
const MIN_REQUESTS_PER_S: f64 = 4.0;
/// How long the load goes on behind the last fault, the shortest first, microseconds.
const TAILS_US: [u64; 3] = [200_000, 1_000_000, 3_000_000];

/// What is left of a plan that fails.
#[derive(Debug, Clone)]
pub struct Shrunk {
    /// The smallest plan that was found.
    pub plan: Plan,
    /// What fails, as with the first one.
    pub code: String,
    /// Runs that were made.
    pub runs: usize,
}

struct Search {
    options: Options,
    code: String,
    runs: usize,
    max_runs: usize,
}

impl Search {
    fn fails(&mut self, plan: &Plan) -> bool {
        if self.runs >= self.max_runs {
            return false;
        }
        self.runs += 1;
        run(plan, self.options).code().as_deref() == Some(&self.code)
    }

    /// Takes a change where the plan still fails with it.
    fn accept(&mut self, plan: &mut Plan, change: impl FnOnce(&mut Plan)) -> bool {
        let mut other = plan.clone();
        change(&mut other);
        let is_better = other != *plan && self.fails(&other);
        if is_better {
            *plan = other;
        }
        is_better
    }

    /// One round of all changes; returns whether any was taken.
    fn shrink_once(&mut self, plan: &mut Plan) -> bool {
        let before = plan.clone();
        let faults = plan.faults.len();
        remove_by_halves(
            plan,
            faults,
            |plan| plan.faults.len(),
            |plan, range| self.accept(plan, |plan| drop(plan.faults.drain(range))),
        );
        self.shorten_load(plan);
        while plan.nodes > 1 && self.accept(plan, remove_last_node) {}
        while plan.caches > 1 && self.accept(plan, remove_last_cache) {}
        while plan.requests_per_s > MIN_REQUESTS_PER_S && self.accept(plan, |plan| plan.requests_per_s /= 2.0)
        {
        }
        self.simplify(plan);
        for fault in 0..plan.faults.len() {
            while plan.faults[fault].duration_us > MIN_FAULT_US
                && self.accept(plan, |plan| plan.faults[fault].duration_us /= 2)
            {}
        }
        *plan != before
    }

    fn shorten_load(&mut self, plan: &mut Plan) {
        if self.code == "progress" {
            // Clients need their time to be served again.
            return;
        }
        let last_fault_end = plan.last_fault_end_us();
        for tail_us in TAILS_US {
            let end = last_fault_end + tail_us;
            if self.accept(plan, |plan| plan.load_duration_us = plan.load_duration_us.min(end)) {
                break;
            }
        }
    }

    fn simplify(&mut self, plan: &mut Plan) {
        self.accept(plan, |plan| plan.fragmented_share = 0.0);
        self.accept(plan, |plan| plan.late_flush_share = 0.0);
        self.accept(plan, |plan| plan.pipelined_share = 0.0);
        self.accept(plan, |plan| plan.clock_drifts.fill(0.0));
        self.accept(plan, |plan| plan.delay_us = (100, 100));
        self.accept(plan, |plan| plan.value_bytes = 24);
        self.accept(plan, |plan| (plan.max_sockets, plan.memory_mb) = (256, 64));
        self.accept(plan, |plan| plan.edit_share = 0.0);
        self.accept(plan, |plan| plan.move_share = 0.0);
    }
}

/// Tries to remove items from a plan, in stretches of so many and then of half as many, down to one by one. `remove`
/// takes a stretch out where the plan still fails without it, and returns whether it did.
pub(crate) fn remove_by_halves<P>(
    plan: &mut P,
    longest: usize,
    count: impl Fn(&P) -> usize,
    mut remove: impl FnMut(&mut P, Range<usize>) -> bool,
) {
    let mut length = longest;
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

/// Shrinks a plan that fails, in so many runs at most; `None` where it does not fail.
pub fn shrink(plan: &Plan, options: Options, max_runs: usize) -> Option<Shrunk> {
    let options = Options { history: false, ..options };
    let code = run(plan, options).code()?;
    let mut search = Search { options, code, runs: 1, max_runs };
    let mut plan = plan.clone();
    while search.shrink_once(&mut plan) && search.runs < search.max_runs {}
    Some(Shrunk { plan, code: search.code, runs: search.runs })
}
