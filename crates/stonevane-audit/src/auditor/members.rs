//! What the membership rules are told of a history.

use super::Auditor;
use super::evidence::{Accusation, NumberedRecord};
use crate::report::Rule;

impl Auditor {
    /// The state of a node's process has changed.
    pub(super) fn member_state(&mut self, record: &NumberedRecord) {
        if let Some(member) = self.membership.number(&record.node) {
            self.membership.process_state(record.time, member, &record.state);
        }
    }

    /// What a node holds of the others was read.
    pub(super) fn membership_view(&mut self, record: &NumberedRecord) {
        let Some(observer) = self.membership.number(&record.node) else { return };
        for breach in self.membership.view(record.time, observer, &record.state) {
            let what = format!("n{} in the view of {}: {}", breach.member, record.node, breach.what);
            self.accuse(Accusation::new(Rule::Membership, breach.code, what, vec![record.clone()]));
        }
    }

    /// Datagrams from one node to another are cut, or pass again.
    pub(super) fn partition(&mut self, record: &NumberedRecord) {
        let ends = [&record.node, &record.server].map(|name| self.membership.number(name));
        if let [Some(from), Some(to)] = ends {
            self.membership.partition(record.time, from, to, record.state == "cut");
        }
    }

    /// The network between nodes degrades, or recovers.
    pub(super) fn network_conditions(&mut self, record: &NumberedRecord) {
        let begins = !record.state.ends_with("-ends");
        let is_mild = record.state.starts_with("mild");
        self.membership.network_conditions(record.time, begins, is_mild);
    }
}
