//! Following a store's changes by notices that may be lost: versions are counted without gaps, so that a notice which
//! leaves one out shows that others were missed, and those are read. No I/O, no clock.

use crate::contract::Change;

/// The text of a notice: the version, and the key behind it.
pub fn notice(version: u64, key: &str) -> String {
    format!("{version} {key}")
}

/// What a notice means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// A change that is to be told.
    Told(Change),
    /// What came after the version that was told last is to be read, and given to [`Following::read`].
    Missed,
    /// It was told before.
    Known,
}

/// Where one who follows stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Following {
    seen: u64,
}

impl Following {
    /// One who was told all up to a version.
    pub fn from(seen: u64) -> Self {
        Following { seen }
    }

    /// The version that was told last.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// A notice has come; one that can't be read stands for what was missed.
    pub fn notice(&mut self, text: &str) -> Heard {
        let read = text.split_once(' ').and_then(|(version, key)| Some((version.parse::<u64>().ok()?, key)));
        match read {
            Some((version, _)) if version <= self.seen => Heard::Known,
            Some((version, key)) if version == self.seen + 1 => {
                self.seen = version;
                Heard::Told(Change { key: key.to_owned(), version })
            }
            _ => Heard::Missed,
        }
    }

    /// The store stands at a version: whether some were missed. A version from before (a copy that lags has taken
    /// over) changes nothing.
    pub fn stands_at(&self, version: u64) -> bool {
        version > self.seen
    }

    /// Changes were read, the oldest first: those that are to be told.
    pub fn read(&mut self, changes: Vec<Change>) -> Vec<Change> {
        let mut told = Vec::with_capacity(changes.len());
        for change in changes {
            if change.version > self.seen {
                self.seen = change.version;
                told.push(change);
            }
        }
        told
    }
}

#[cfg(test)]
mod tests;
