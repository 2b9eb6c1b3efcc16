//! Follows a store's changes by notifications, some of which may be lost. Versions are consecutive, so a
//! notification that skips one shows that others were lost; the missing changes are then read from the store.
//! No I/O, no clock.

use crate::contract::Change;

/// Formats the payload of a notification: the version, a space, and the key.
pub fn notification_payload(version: u64, key: &str) -> String {
    format!("{version} {key}")
}

/// The meaning of a received notification.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notification {
    /// The next change, to be reported.
    Next(Change),
    /// Changes were missed: those after [`ChangeCursor::version`] are to be read and passed to
    /// [`ChangeCursor::advance`].
    Gap,
    /// The change was reported before.
    Duplicate,
}

/// The position of a subscriber in the sequence of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeCursor {
    version: u64,
}

impl ChangeCursor {
    /// A cursor after all changes up to a version.
    pub fn after(version: u64) -> Self {
        ChangeCursor { version }
    }

    /// The newest version that was reported.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Processes the payload of a received notification. A malformed payload counts as a gap.
    pub fn receive(&mut self, payload: &str) -> Notification {
        let parsed =
            payload.split_once(' ').and_then(|(version, key)| Some((version.parse::<u64>().ok()?, key)));
        match parsed {
            Some((version, _)) if version <= self.version => Notification::Duplicate,
            Some((version, key)) if version == self.version + 1 => {
                self.version = version;
                Notification::Next(Change { key: key.to_owned(), version })
            }
            _ => Notification::Gap,
        }
    }

    /// Whether the store's version shows that changes were missed. A store version older than the cursor, as
    /// of a lagging replica that has taken over, does not.
    pub fn is_behind(&self, store_version: u64) -> bool {
        store_version > self.version
    }

    /// Moves the cursor past changes read from the store, which must be sorted oldest first. Returns the
    /// changes that were not reported before.
    pub fn advance(&mut self, changes: Vec<Change>) -> Vec<Change> {
        let mut unreported = Vec::with_capacity(changes.len());
        for change in changes {
            if change.version > self.version {
                self.version = change.version;
                unreported.push(change);
            }
        }
        unreported
    }
}

#[cfg(test)]
mod tests;
