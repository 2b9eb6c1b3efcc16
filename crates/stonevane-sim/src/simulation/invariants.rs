//! Checks of the invariants: some after each step, others at the end of the run.

use super::{Invariant, Simulation, Violation};
use crate::client::READ;

/// Length of the window at the end of the load in which clients must be served again, microseconds.
const PROGRESS_WINDOW_US: u64 = 3_000_000;
/// Minimum share of the reads in [`PROGRESS_WINDOW_US`] that must be served, and the number of reads below
/// which the share is not checked.
const MIN_SERVED_SHARE: f64 = 0.9;
const MIN_JUDGED_READS: usize = 20;
/// Descriptors that a node reserves for uses other than connections.
const RESERVED_DESCRIPTORS: usize = 16;
/// A node may have `MAX_OWN_TIMERS`, and `MAX_TIMERS_PER_OPEN_ITEM` for each open request, attempt and
/// connection.
const MAX_OWN_TIMERS: usize = 600;
const MAX_TIMERS_PER_OPEN_ITEM: usize = 8;
/// Received bytes that each connection of a node may buffer without a memory reservation.
const UNRESERVED_BYTES_PER_CONNECTION: usize = 4096;

impl Simulation<'_> {
    /// Records a violation unless the same invariant was violated before.
    pub(super) fn record_violation(&mut self, invariant: Invariant, detail: String) {
        // Names are compared by prefix, so that a violation of `left` is not recorded after one of
        // `left-sent`.
        let is_reported = |earlier: &Violation| earlier.invariant.name().starts_with(invariant.name());
        if !self.violations.iter().any(is_reported) {
            let at_us = self.now();
            self.violations.push(Violation { invariant, detail, at_us });
        }
    }

    /// Checks the invariants of a node that must hold after each step.
    pub(super) fn check_node(&mut self, node: usize) {
        if let Some((invariant, detail)) = self.node_violation(node) {
            self.record_violation(invariant, detail);
        }
    }

    fn node_violation(&self, node: usize) -> Option<(Invariant, String)> {
        let checked = &self.nodes[node];
        let count = checked.core.as_ref()?.resource_counts();
        let streams = checked.streams.len();
        let (connections, descriptors) = (count.clients + count.server_connections, self.plan.max_sockets);
        if connections != streams {
            let detail = format!("node {node} tracks {connections} of {streams} connections");
            return Some((Invariant::Connections, detail));
        }
        if streams + RESERVED_DESCRIPTORS > descriptors {
            let detail = format!("node {node} holds {streams} connections of {descriptors}");
            return Some((Invariant::Descriptors, detail));
        }
        if count.unanswered != count.pending_client_ids || count.unanswered > count.request_entries {
            return Some((
                Invariant::Owners,
                format!(
                    "node {node} has unanswered requests without a pending client id or an entry: {count:?}"
                ),
            ));
        }
        let open = count.request_entries + count.attempts + connections;
        if count.timers > MAX_OWN_TIMERS + MAX_TIMERS_PER_OPEN_ITEM * open {
            let detail = format!(
                "node {node} has {} timers for {open} open requests, attempts and connections",
                count.timers
            );
            return Some((Invariant::Timers, detail));
        }
        let unreserved = connections * UNRESERVED_BYTES_PER_CONNECTION;
        if count.buffered > count.memory + unreserved {
            let detail = format!(
                "node {node} buffers {} bytes, {} reserved and {unreserved} without a reservation",
                count.buffered, count.memory
            );
            return Some((Invariant::Memory, detail));
        }
        let is_over = count.memory > self.plan.memory_mb << 20;
        is_over.then(|| {
            (Invariant::Memory, format!("node {node} uses {} bytes of memory, over its limit", count.memory))
        })
    }

    /// Checks that nodes hold no requests, attempts or memory at the end of the run.
    pub(super) fn check_leftovers(&mut self) {
        for node in 0..self.nodes.len() {
            let Some(core) = &self.nodes[node].core else { continue };
            let count = core.resource_counts();
            let requests = count.unanswered + count.request_entries + count.pending_client_ids;
            if requests + count.attempts + count.memory > 0 {
                let detail = format!("node {node} holds {count:?} when all is quiet");
                self.record_violation(Invariant::NoLeftovers, detail);
            }
        }
    }

    /// Checks that clients are served at the end of the load, after the last fault.
    pub(super) fn check_progress(&mut self) {
        let load_end = self.plan.load_duration_us;
        let from = load_end.saturating_sub(PROGRESS_WINDOW_US).max(self.plan.last_fault_end_us());
        let judged =
            self.requests.iter().filter(|request| request.created_at >= from && request.kind == READ);
        let reads = judged.clone().count();
        let served = judged.filter(|request| request.is_served).count();
        if reads >= MIN_JUDGED_READS && (served as f64) < MIN_SERVED_SHARE * reads as f64 {
            let detail =
                format!("{served} of {reads} reads served at the end of the load, after the last fault");
            self.record_violation(Invariant::Progress, detail);
        }
    }
}
