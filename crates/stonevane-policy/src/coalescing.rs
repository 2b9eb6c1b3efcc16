//! Coalescing: decides whether a fetch joins the origin call of another fetch of the same key.
//!
//! Input: the fetches in flight by key. It applies only if the node's store shares calls (setting
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

    /// Handles the end of a call. Nothing joins a call that has ended, and nothing joins a fetch that was
    /// sent before a write of its key ended: it may return the value from before the write.
    pub fn on_call_ended(&mut self, id: AttemptId, call: &Attempt) {
        let shared = self.calls.get(&call.key) == Some(&id);
        if shared || call.kind == CallKind::Write {
            self.calls.remove(&call.key);
        }
    }
}
