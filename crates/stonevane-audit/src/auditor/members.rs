//! Passes the records that concern membership to the membership rules.

use super::Auditor;
use super::evidence::{NumberedRecord, Violation};
use crate::report::Rule;

impl Auditor {
    /// Handles a change of the state of a node's process.
    pub(super) fn member_state(&mut self, record: &NumberedRecord) {
        if let Some(member) = self.membership.number(&record.node) {
            self.membership.process_state(record.time, member, &record.state);
        }
    }

    /// Handles a reading of a node's member table.
    pub(super) fn view_read(&mut self, record: &NumberedRecord) {
        let Some(observer) = self.membership.number(&record.node) else { return };
        for violation in self.membership.view(record.time, observer, &record.state) {
            let what =
                format!("n{} in the view of {}: {}", violation.member, record.node, violation.description);
            self.report_violation(Violation::new(
                Rule::Membership,
                violation.code,
                what,
                vec![record.clone()],
            ));
        }
    }

    /// Handles the begin or end of a partition from one node to another.
    pub(super) fn partition(&mut self, record: &NumberedRecord) {
        let ends = [&record.node, &record.server].map(|name| self.membership.number(name));
        if let [Some(from), Some(to)] = ends {
            self.membership.partition(record.time, from, to, record.state == "cut");
        }
    }

    /// Handles the begin or end of degraded network conditions between nodes.
    pub(super) fn network_conditions(&mut self, record: &NumberedRecord) {
        let begins = !record.state.ends_with("-ends");
        let is_mild = record.state.starts_with("mild");
        self.membership.network_conditions(record.time, begins, is_mild);
    }
}
