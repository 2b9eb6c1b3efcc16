//! What must hold at each step, and when all is quiet at the end.

use super::{Invariant, Simulation, Violation};
use crate::client::READ;

/// The last part of the load, in which clients must be served again, microseconds ...
const PROGRESS_WINDOW_US: u64 = 3_000_000;
/// ... this share of the reads at least, where there are so many.
const MIN_SERVED_SHARE: f64 = 0.9;
const MIN_JUDGED_READS: usize = 20;
/// Descriptors that a node keeps for other uses than connections.
const RESERVED_DESCRIPTORS: usize = 16;
/// Timers of a node, at most: some for itself, and some for each thing that is open.
const MAX_OWN_TIMERS: usize = 600;
const MAX_TIMERS_EACH: usize = 8;

impl Simulation<'_> {
    /// Notes that an invariant is broken, the first time that it is.
    pub(super) fn violate(&mut self, invariant: Invariant, what: String) {
        // Also by the beginning of its name, so that `left` is not reported behind `left-sent`.
        let is_known = |known: &Violation| known.invariant.name().starts_with(invariant.name());
        if !self.violations.iter().any(is_known) {
            let at_us = self.now();
            self.violations.push(Violation { invariant, what, at_us });
        }
    }

    /// What must hold of a node after each step.
    pub(super) fn check_node(&mut self, node: usize) {
        if let Some((invariant, what)) = self.node_violation(node) {
            self.violate(invariant, what);
        }
    }

    fn node_violation(&self, node: usize) -> Option<(Invariant, String)> {
        let checked = &self.nodes[node];
        let count = checked.core.as_ref()?.count();
        let streams = checked.streams.len();
        let (connections, descriptors) = (count.clients + count.server_connections, self.plan.max_sockets);
        if connections != streams {
            let what = format!("node {node} knows {connections} of {streams} connections");
            return Some((Invariant::Connections, what));
        }
        if streams + RESERVED_DESCRIPTORS > descriptors {
            let what = format!("node {node} holds {streams} connections of {descriptors}");
            return Some((Invariant::Descriptors, what));
        }
        if count.unanswered != count.claimed_ids || count.unanswered > count.request_entries {
            return Some((Invariant::Owners, format!("node {node}: {count:?}")));
        }
        let open = count.request_entries + count.attempts + connections;
        if count.timers > MAX_OWN_TIMERS + MAX_TIMERS_EACH * open {
            let what = format!("node {node}: {} for {open} that are open", count.timers);
            return Some((Invariant::Timers, what));
        }
        let is_over = count.memory > self.plan.memory_mb << 20;
        is_over.then(|| (Invariant::Memory, format!("node {node}: {} bytes", count.memory)))
    }

    /// Nodes hold nothing when all is quiet.
    pub(super) fn check_leftovers(&mut self) {
        for node in 0..self.nodes.len() {
            let Some(core) = &self.nodes[node].core else { continue };
            let count = core.count();
            let requests = count.unanswered + count.request_entries + count.claimed_ids;
            if requests + count.attempts + count.memory > 0 {
                let what = format!("node {node} holds {count:?} when all is quiet");
                self.violate(Invariant::NoLeftovers, what);
            }
        }
    }

    /// Clients are served again after the last fault.
    pub(super) fn check_progress(&mut self) {
        let load_end = self.plan.load_duration_us;
        let from = load_end.saturating_sub(PROGRESS_WINDOW_US).max(self.plan.last_fault_end_us());
        let judged =
            self.requests.iter().filter(|request| request.created_at >= from && request.kind == READ);
        let reads = judged.clone().count();
        let served = judged.filter(|request| request.is_served).count();
        if reads >= MIN_JUDGED_READS && (served as f64) < MIN_SERVED_SHARE * reads as f64 {
            let what = format!("{served} of {reads} reads served long after the last fault");
            self.violate(Invariant::Progress, what);
        }
    }
}
