//! The slow-start rule: nodes don't overload a server that is warming up, and don't overload the origin
//! through misses at such servers.

use std::collections::HashSet;

use super::Auditor;
use super::evidence::{NumberedRecord, Violation, abridge};
use super::load_window::Arrival;
use crate::report::Rule;

impl Auditor {
    /// Adds an attempt to its server's load and checks for an overload.
    pub(super) fn check_overload(&mut self, attempt: &NumberedRecord, cold_miss: bool) {
        if attempt.origin {
            self.check_origin_overload(attempt, cold_miss);
        } else {
            self.check_cold_server_overload(attempt);
        }
    }

    fn check_cold_server_overload(&mut self, attempt: &NumberedRecord) {
        let attributable = self.node_knew_of_start(attempt);
        let rules = self.rules.clone();
        let window_us = rules.overload_window_us;
        let Some(server) = self.servers.get_mut(attempt.server_name()) else { return };
        let warm_up = server.warm_up().filter(|warm_up| warm_up.includes(attempt.time.earliest));
        let Some(warm_up) = warm_up else { return };
        server.load.add(Arrival { record: attempt.clone(), attributable }, window_us);
        let mut overload = None;
        for load in server.load.loads() {
            let limit = warm_up.capacity_within(load.from, window_us) * rules.overload_multiple;
            let work = load.work_us as f64;
            let over = work > limit * (1.0 + rules.overload_tolerance);
            if over && load.attributable_us as f64 >= rules.informed_share * work {
                overload = Some((load, limit));
            }
        }
        let Some((load, limit)) = overload else { return };
        let mut evidence: Vec<NumberedRecord> = server.start.iter().cloned().collect();
        evidence.extend(abridge(server.load.attributable()));
        let nodes: HashSet<&str> = server.load.records().map(|record| record.node.as_str()).collect();
        let what = format!(
            "cold server {} received {} ms of work in {} ms from {} nodes (limit {:.0} ms)",
            attempt.server_name(),
            load.work_us / 1_000,
            window_us / 1_000,
            nodes.len(),
            limit / 1e3
        );
        server.load.clear();
        self.report_violation(Violation::new(Rule::SlowStart, "cold-server", what, evidence));
    }

    /// Returns whether the attempt's node was notified of the server's start, or counts as notified because
    /// discovery registered the start long enough ago.
    fn node_knew_of_start(&self, attempt: &NumberedRecord) -> bool {
        let server = self.servers.get(attempt.server_name());
        let Some(start) = server.and_then(|server| server.start.as_ref()) else { return false };
        let assumed_after = self.rules.assumed_notified_us;
        let sent = attempt.time.earliest;
        self.discovery.start_known_to(&attempt.node, attempt.server_name(), start.started_at, sent)
            || assumed_after > 0 && start.time.latest + assumed_after <= sent
    }

    fn check_origin_overload(&mut self, attempt: &NumberedRecord, cold_miss: bool) {
        let rule = self.rules.origin.clone();
        if rule.capacity_us_per_s <= 0.0 {
            return;
        }
        let window_us = rule.overload_window_us;
        let limit = rule.overload_multiple * rule.capacity_us_per_s / 1e6 * window_us as f64;
        let server = self.server_of(attempt);
        server.load.add(Arrival { record: attempt.clone(), attributable: cold_miss }, window_us);
        let over = server.load.loads().filter(|load| load.work_us as f64 > limit);
        let over: Vec<_> = over.collect();
        let from_cold = over
            .iter()
            .rfind(|load| load.attributable_us as f64 >= rule.cold_share * load.work_us as f64)
            .copied();
        let Some(load) = from_cold else {
            let latest = attempt.time.latest;
            // An overload that is not attributed to nodes is counted at most once per window.
            if !over.is_empty()
                && server.last_unattributed_overload.is_none_or(|since| since + window_us < latest)
            {
                server.last_unattributed_overload = Some(latest);
                self.report.origin_overruns += 1;
            }
            return;
        };
        let evidence = abridge(server.load.attributable());
        server.load.clear();
        let what = format!(
            "the origin received {} ms of work in {} ms (limit {:.0} ms), {} ms of it from misses at cold servers",
            load.work_us / 1_000,
            window_us / 1_000,
            limit / 1e3,
            load.attributable_us / 1_000
        );
        self.report_violation(Violation::new(Rule::SlowStart, "origin", what, evidence));
    }
}
