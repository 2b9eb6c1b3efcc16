//! The copies that a cache server holds, with eviction of the least recently used.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;

/// Number of remembered invalidations above which the expired ones are removed.
const MAX_INVALIDATIONS: usize = 65_536;

/// A time to live, with the time at which it begins.
#[derive(Debug, Clone, Copy)]
pub(super) struct Lifetime {
    now: u64,
    expires_us: u64,
}

impl Lifetime {
    pub(super) fn from_ms(now: u64, ms: u64) -> Lifetime {
        Lifetime { now, expires_us: now.saturating_add(ms * 1_000) }
    }
}

/// A copy that a node stores.
pub(super) struct Fill {
    pub(super) version: u64,
    pub(super) value: Bytes,
    pub(super) lifetime: Lifetime,
}

struct Copy {
    version: u64,
    last_used: u64,
    /// The value and its expiry, if a node has filled the copy.
    filled: Option<Filled>,
}

struct Filled {
    value: Bytes,
    expires_us: u64,
}

/// The lowest version that may be stored for a key, with the expiry of this bound.
#[derive(Default)]
struct Invalidation {
    below: u64,
    expires_us: u64,
}

/// The copies that a cache server holds, up to a limit.
pub(super) struct Copies {
    limit: usize,
    by_key: HashMap<String, Copy>,
    /// Keys in the order of their last use.
    by_use: BTreeMap<u64, String>,
    uses: u64,
    invalidations: HashMap<String, Invalidation>,
}

impl Copies {
    /// Returns an empty store for at most `limit` copies.
    pub(super) fn new(limit: usize) -> Copies {
        Copies {
            limit,
            by_key: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            invalidations: HashMap::new(),
        }
    }

    /// Returns the version of a copy, and its value if a node filled the copy. An expired copy is removed,
    /// and not returned.
    pub(super) fn get(&mut self, key: &str, now: u64) -> Option<(u64, Option<Bytes>)> {
        let expired = |filled: &Filled| filled.expires_us <= now;
        if self.by_key.get(key)?.filled.as_ref().is_some_and(expired) {
            self.remove(key);
            return None;
        }
        let copy = self.by_key.get_mut(key)?;
        self.uses += 1;
        self.by_use.remove(&copy.last_used);
        copy.last_used = self.uses;
        self.by_use.insert(self.uses, key.into());
        Some((copy.version, copy.filled.as_ref().map(|filled| filled.value.clone())))
    }

    /// Stores a copy, and evicts the least recently used ones above the limit.
    pub(super) fn insert(&mut self, key: &str, version: u64) {
        self.remove(key);
        self.uses += 1;
        self.by_key.insert(key.into(), Copy { version, last_used: self.uses, filled: None });
        self.by_use.insert(self.uses, key.into());
        while self.by_key.len() > self.limit {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.by_key.remove(&oldest);
        }
    }

    /// Stores a copy sent by a node, unless a newer copy is stored or the version of the sent copy has been
    /// invalidated.
    pub(super) fn fill(&mut self, key: &str, fill: Fill) {
        let Fill { version, value, lifetime } = fill;
        let invalidated = self.min_version(key, lifetime.now).is_some_and(|min| version < min);
        let newer_stored = self.by_key.get(key).is_some_and(|copy| copy.version > version);
        if invalidated || newer_stored {
            return;
        }
        self.insert(key, version);
        if let Some(copy) = self.by_key.get_mut(key) {
            copy.filled = Some(Filled { value, expires_us: lifetime.expires_us });
        }
    }

    pub(super) fn remove(&mut self, key: &str) {
        if let Some(copy) = self.by_key.remove(key) {
            self.by_use.remove(&copy.last_used);
        }
    }

    /// Removes the copy of a key if it is older than `version`, and rejects fills older than `version` until
    /// the lifetime expires.
    pub(super) fn invalidate_below(&mut self, key: &str, version: u64, lifetime: Lifetime) {
        if self.by_key.get(key).is_some_and(|copy| copy.version < version) {
            self.remove(key);
        }
        let invalidation = self.invalidations.entry(key.into()).or_default();
        invalidation.below = invalidation.below.max(version);
        invalidation.expires_us = invalidation.expires_us.max(lifetime.expires_us);
        if self.invalidations.len() > MAX_INVALIDATIONS {
            self.invalidations.retain(|_, invalidation| invalidation.expires_us > lifetime.now);
        }
    }

    /// Returns the lowest version that may be stored for a key, if an invalidation is in force.
    pub(super) fn min_version(&self, key: &str, now: u64) -> Option<u64> {
        let invalidation = self.invalidations.get(key)?;
        (now < invalidation.expires_us).then_some(invalidation.below)
    }
}
