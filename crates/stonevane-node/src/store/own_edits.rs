//! Attribution of the store's changes to edits of this node: edits with a receipt, and edits without an
//! answer that may have been applied.

use std::collections::VecDeque;

use stonevane_store::Change;

/// Maximum number of remembered elements of each kind: receipts, unanswered edits and changes.
const MAX_REMEMBERED: usize = 256;

/// Bounded queue of the latest elements, the oldest first.
struct Recent<T>(VecDeque<T>);

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Recent(VecDeque::new())
    }
}

impl<T: PartialEq> Recent<T> {
    fn push(&mut self, element: T) {
        if self.0.len() == MAX_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(element);
    }

    /// Removes an element. Returns whether it was present.
    fn take(&mut self, element: &T) -> bool {
        let at = self.0.iter().position(|other| other == element);
        at.is_some_and(|at| self.0.remove(at).is_some())
    }
}

/// Edit to which a change that the store announced is attributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChangeOrigin {
    /// An edit of this node whose receipt has been processed.
    OwnReceipt,
    /// Possibly an edit of this node, or a later one: an own edit of the key had no answer.
    OwnUnanswered,
    /// An edit of another node.
    Other,
}

/// Edits of this node whose changes the store has yet to announce, and the changes that it has announced.
#[derive(Default)]
pub(super) struct OwnEdits {
    /// Versions of receipts whose change has not been announced.
    receipts: Recent<u64>,
    /// Keys of edits that had no answer and may have been applied.
    unanswered: Recent<String>,
    /// Announced changes: the change of an edit can be announced before the edit is known to have no answer.
    changes: Recent<Change>,
}

impl OwnEdits {
    /// Records the receipt of an edit.
    pub fn record_receipt(&mut self, version: u64) {
        self.receipts.push(version);
    }

    /// Records an edit that had no answer and may have been applied. Returns the version of the latest
    /// announced change of the key.
    pub fn record_unanswered(&mut self, key: &str) -> Option<u64> {
        self.unanswered.push(key.to_owned());
        self.changes.0.iter().rfind(|change| change.key == key).map(|change| change.version)
    }

    /// Records an announced change and returns its origin.
    pub fn classify(&mut self, change: &Change) -> ChangeOrigin {
        if self.receipts.take(&change.version) {
            return ChangeOrigin::OwnReceipt;
        }
        self.changes.push(change.clone());
        if self.unanswered.take(&change.key) { ChangeOrigin::OwnUnanswered } else { ChangeOrigin::Other }
    }
}
