//! When keys were last requested at this node.

use std::collections::{HashMap, VecDeque};

use crate::ids::{Key, Micros};

/// Requests whose keys are remembered.
const REMEMBERED_REQUESTS: usize = 8_192;
/// A key requested twice within so many requests is popular.
const POPULAR_WITHIN_REQUESTS: u64 = 64;

/// The keys of the latest requests.
#[derive(Default)]
pub struct KeyHistory {
    /// Keys in the order of their requests, and when these arrived.
    requests: VecDeque<(Key, Micros)>,
    last_requests: HashMap<Key, LastRequest>,
    /// Requests so far.
    count: u64,
    /// Since when all requests are remembered.
    complete_since: Micros,
}

struct LastRequest {
    number: u64,
    at: Micros,
}

/// What was known of a key before a request for it.
pub struct Recency {
    /// It was requested among the latest requests.
    pub popular: bool,
    /// When it was last requested, or the start of the history where that is not known; 0: no request has
    /// left the history yet.
    pub unseen_since: Micros,
}

impl KeyHistory {
    /// Records a request for a key, and returns what was known of the key before it. Key 0 names none.
    pub fn record(&mut self, key: Key, now: Micros) -> Recency {
        if key == 0 {
            return Recency { popular: false, unseen_since: self.complete_since };
        }
        self.count += 1;
        let previous = self.last_requests.insert(key, LastRequest { number: self.count, at: now });
        self.requests.push_back((key, now));
        if self.requests.len() > REMEMBERED_REQUESTS {
            self.forget_oldest();
        }
        match previous {
            Some(LastRequest { number, at }) => {
                Recency { popular: self.count - number < POPULAR_WITHIN_REQUESTS, unseen_since: at }
            }
            None => Recency { popular: false, unseen_since: self.complete_since },
        }
    }

    fn forget_oldest(&mut self) {
        let Some((key, at)) = self.requests.pop_front() else { return };
        self.complete_since = at;
        let oldest = self.count - self.requests.len() as u64;
        if self.last_requests.get(&key).is_some_and(|last| last.number <= oldest) {
            self.last_requests.remove(&key);
        }
    }
}
