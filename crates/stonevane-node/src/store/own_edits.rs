//! Which of the store's changes are edits of this node: those with a receipt, and those that had no answer and may have
//! been done.

use std::collections::VecDeque;

use stonevane_store::Change;

/// Edits and changes that are remembered, of each kind.
const MAX_REMEMBERED: usize = 256;

/// The latest elements, the oldest first.
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

    /// Takes an element out; whether it was there.
    fn take(&mut self, element: &T) -> bool {
        let at = self.0.iter().position(|other| other == element);
        at.is_some_and(|at| self.0.remove(at).is_some())
    }
}

/// Whose edit a change is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChangeOrigin {
    /// This node's; its receipt has been processed.
    OwnReceipt,
    /// Perhaps this node's, or one behind it: an own edit of the key had no answer.
    OwnUnanswered,
    /// Another node's.
    Other,
}

/// This node's edits whose changes the store will announce, and the changes that it has announced.
#[derive(Default)]
pub(super) struct OwnEdits {
    /// Versions of receipts.
    receipts: Recent<u64>,
    /// Keys of edits that may have been done, and had no answer.
    unanswered: Recent<String>,
    /// Announced changes: an edit's own may come before it is known to have no answer.
    changes: Recent<Change>,
}

impl OwnEdits {
    /// An edit has its receipt.
    pub fn receive(&mut self, version: u64) {
        self.receipts.push(version);
    }

    /// An edit that may have been done had no answer. Returns the version of the change that was last announced for the
    /// key.
    pub fn lose(&mut self, key: &str) -> Option<u64> {
        self.unanswered.push(key.to_owned());
        self.changes.0.iter().rfind(|change| change.key == key).map(|change| change.version)
    }

    /// The store announces a change.
    pub fn announce(&mut self, change: &Change) -> ChangeOrigin {
        if self.receipts.take(&change.version) {
            return ChangeOrigin::OwnReceipt;
        }
        self.changes.push(change.clone());
        if self.unanswered.take(&change.key) { ChangeOrigin::OwnUnanswered } else { ChangeOrigin::Other }
    }
}
