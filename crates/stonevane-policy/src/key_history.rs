//! Recent requests by key at this node. Slow start uses them to recognize popular keys, which a server in
//! slow start does not get, and to estimate how rarely a key is requested.

use std::collections::{HashMap, VecDeque};

use crate::ids::{Key, Micros};

/// Number of requests that the history holds.
const HISTORY_REQUESTS: usize = 8_192;
/// A key is popular if its previous request is fewer than this many requests back.
const POPULAR_WITHIN_REQUESTS: u64 = 64;

/// The keys of the most recent requests and when they were requested.
#[derive(Default)]
pub struct KeyHistory {
    /// Keys and arrival times of the remembered requests, oldest first.
    requests: VecDeque<(Key, Micros)>,
    last_requests: HashMap<Key, LastRequest>,
    /// Number of requests with a key since the process started.
    count: u64,
    /// Time from which the history contains every request; 0 until the first request is evicted.
    complete_since: Micros,
}

struct LastRequest {
    number: u64,
    at: Micros,
}

/// State of a key before the request that is being recorded.
pub struct Recency {
    /// Whether the key's previous request is fewer than `POPULAR_WITHIN_REQUESTS` requests back.
    pub popular: bool,
    /// Time of the key's previous request, or the start of the history if that request is not in it. 0 if it
    /// is not in the history and nothing has been evicted yet.
    pub unseen_since: Micros,
}

impl KeyHistory {
    /// Records a request for a key and returns the key's state before it. Key 0 stands for no key and is not
    /// recorded.
    pub fn record(&mut self, key: Key, now: Micros) -> Recency {
        if key == 0 {
            return Recency { popular: false, unseen_since: self.complete_since };
        }
        self.count += 1;
        let previous = self.last_requests.insert(key, LastRequest { number: self.count, at: now });
        self.requests.push_back((key, now));
        if self.requests.len() > HISTORY_REQUESTS {
            self.evict_oldest();
        }
        match previous {
            Some(LastRequest { number, at }) => {
                Recency { popular: self.count - number < POPULAR_WITHIN_REQUESTS, unseen_since: at }
            }
            None => Recency { popular: false, unseen_since: self.complete_since },
        }
    }

    fn evict_oldest(&mut self) {
        let Some((key, at)) = self.requests.pop_front() else { return };
        self.complete_since = at;
        let oldest = self.count - self.requests.len() as u64;
        if self.last_requests.get(&key).is_some_and(|last| last.number <= oldest) {
            self.last_requests.remove(&key);
        }
    }
}
