//! Makes a plan that fails smaller, as long as it fails in the same way: faults go first, by halves and then one by one
//! (delta debugging; Zeller and Hildebrandt, 2002), then nodes, caches, load, network and time.

use crate::plan::{Fault, FaultKind, Plan};
use crate::world::{Options, run};

/// What is left.
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
    most: usize,
}

impl Search {
    fn fails(&mut self, plan: &Plan) -> bool {
        if self.runs >= self.most {
            return false;
        }
        self.runs += 1;
        run(plan, self.options).code().as_deref() == Some(&self.code)
    }

    /// Takes a change where the plan still fails with it.
    fn accept(&mut self, plan: &mut Plan, change: impl FnOnce(&mut Plan)) -> bool {
        let mut other = plan.clone();
        change(&mut other);
        let better = other != *plan && self.fails(&other);
        if better {
            *plan = other;
        }
        better
    }

    fn fewer_faults(&mut self, plan: &mut Plan) {
        let mut part = plan.faults.len();
        while part > 0 {
            let mut at = 0;
            while at < plan.faults.len() {
                let end = (at + part).min(plan.faults.len());
                if !self.accept(plan, |plan| drop(plan.faults.drain(at..end))) {
                    at += part;
                }
            }
            part /= 2;
        }
    }

    fn smaller(&mut self, plan: &mut Plan) -> bool {
        let before = plan.clone();
        self.fewer_faults(plan);
        let last = plan.faults.iter().map(|fault| fault.start_us + fault.duration_us).max().unwrap_or(0);
        // Where it is that clients are not served again, they are given as much time as before.
        let rests: &[u64] = if self.code == "progress" { &[] } else { &[200_000, 1_000_000, 3_000_000] };
        for rest in rests {
            if self.accept(plan, |plan| plan.load_duration_us = plan.load_duration_us.min(last + rest)) {
                break;
            }
        }
        while plan.nodes > 1 && self.accept(plan, without_last_node) {}
        while plan.caches > 1 && self.accept(plan, without_last_cache) {}
        while plan.requests_per_s > 4.0 && self.accept(plan, |plan| plan.requests_per_s /= 2.0) {}
        self.accept(plan, |plan| plan.fragmented_share = 0.0);
        self.accept(plan, |plan| plan.late_flush_share = 0.0);
        self.accept(plan, |plan| plan.pipelined_share = 0.0);
        self.accept(plan, |plan| plan.clock_drifts.iter_mut().for_each(|clock| *clock = 0.0));
        self.accept(plan, |plan| plan.delay_us = (100, 100));
        self.accept(plan, |plan| plan.value_bytes = 24);
        self.accept(plan, |plan| (plan.max_sockets, plan.memory_mb) = (256, 64));
        self.accept(plan, |plan| plan.edit_share = 0.0);
        self.accept(plan, |plan| plan.move_share = 0.0);
        for at in 0..plan.faults.len() {
            while plan.faults[at].duration_us > 50_000
                && self.accept(plan, |plan| plan.faults[at].duration_us /= 2)
            {}
        }
        *plan != before
    }
}

fn keep(plan: &mut Plan, keeps: impl Fn(FaultKind) -> bool) {
    plan.faults.retain(|fault: &Fault| keeps(fault.kind));
}

fn without_last_node(plan: &mut Plan) {
    plan.nodes -= 1;
    plan.clock_drifts.truncate(plan.nodes);
    let nodes = plan.nodes;
    keep(plan, |what| what.node().is_none_or(|node| node < nodes));
}

fn without_last_cache(plan: &mut Plan) {
    plan.caches -= 1;
    let caches = plan.caches;
    keep(plan, |what| what.cache().is_none_or(|cache| cache < caches));
}

/// Shrinks a plan that fails; `None` where it does not. `most`: runs, at most.
pub fn shrink(plan: &Plan, options: Options, most: usize) -> Option<Shrunk> {
    let options = Options { history: false, ..options };
    let code = run(plan, options).code()?;
    let mut search = Search { options, code, runs: 1, most };
    let mut plan = plan.clone();
    while search.smaller(&mut plan) && search.runs < search.most {}
    Some(Shrunk { plan, code: search.code, runs: search.runs })
}
