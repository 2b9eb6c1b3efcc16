//! Coalescing: concurrent fetches of one key share a call to the origin, where the node's store shares them.
//!
//! Inputs: the calls in flight by key. A fetch that joins another costs the origin nothing, and its limits
//! neither.

use std::collections::BTreeMap;

use crate::attempt::{Attempt, AttemptId, CallKind};
use crate::ids::Key;

/// The calls that other fetches may join.
#[derive(Default)]
pub struct SharedFetches {
    calls: BTreeMap<Key, AttemptId>,
}

impl SharedFetches {
    /// Whether a fetch of a key may join a call in flight.
    pub fn can_join(&self, key: Key) -> bool {
        self.calls.contains_key(&key)
    }

    /// Others may join this call from now on.
    pub fn share(&mut self, key: Key, call: AttemptId) {
        self.calls.insert(key, call);
    }

    /// A call has ended: nothing joins it any more, nor a fetch older than a write of its key.
    pub fn end(&mut self, id: AttemptId, call: &Attempt) {
        let shared = self.calls.get(&call.key) == Some(&id);
        if shared || call.kind == CallKind::Write {
            self.calls.remove(&call.key);
        }
    }
}
