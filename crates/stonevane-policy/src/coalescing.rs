//! Coalescing: decides whether a fetch joins the origin call of another fetch of the same key.
//!
//! Input: the fetches in flight by key. The rule applies only if the node's store shares calls (setting
//! `coalesce_fetches`). A joined fetch causes no origin call, so the origin limits do not count it.

use std::collections::BTreeMap;

use crate::attempt::{Attempt, AttemptId, CallKind};
use crate::ids::Key;

/// Origin calls in flight that other fetches may join, by key.
#[derive(Default)]
pub struct InFlightFetches {
    calls: BTreeMap<Key, AttemptId>,
}

impl InFlightFetches {
    /// Returns whether a fetch of this key may join a call in flight.
    pub fn can_coalesce(&self, key: Key) -> bool {
        self.calls.contains_key(&key)
    }

    /// Registers a call that other fetches of the key may join from now on.
    pub fn register(&mut self, key: Key, call: AttemptId) {
        self.calls.insert(key, call);
    }

    /// Removes a call that has ended, so that no fetch joins it. The end of a write also removes the fetch in
    /// flight of the same key, because this fetch may return the value from before the write.
    pub fn on_call_ended(&mut self, id: AttemptId, call: &Attempt) {
        let shared = self.calls.get(&call.key) == Some(&id);
        if shared || call.kind == CallKind::Write {
            self.calls.remove(&call.key);
        }
    }
}
