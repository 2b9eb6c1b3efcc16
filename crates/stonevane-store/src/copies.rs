//! Invalidates the copies of a zone that caches hold, after an edit. Each cache of the key's placement is
//! sent an invalidation repeatedly, until the cache acknowledges it, the cache's process is known to have
//! ended, or the lifetime of the copy has passed.
//!
//! Fills and invalidations carry the store's version, and a cache keeps the newest version, so neither the
//! order of messages nor a repeat matters: a fill that was fetched before an edit can't undo the invalidation
//! after the edit (the leases of R. Nishtala et al., "Scaling Memcache at Facebook", 3.2.1, with versions in
//! place of tokens). No I/O, no clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::hash::Hash;

/// Identifies an edit whose copies are being invalidated; never reused.
pub type EditId = u64;
/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// Bounds on the number of pending invalidations, and their times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most pending invalidations, over all caches.
    pub max_pending: usize,
    /// The longest time for which a cache keeps a copy, microseconds. An invalidation is not sent again once
    /// this time has passed since the edit.
    pub lifetime: Micros,
    /// The first and the longest wait before an invalidation is sent again, microseconds; the wait doubles
    /// each time.
    pub resend_wait: (Micros, Micros),
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_pending: 65_536, lifetime: 10_000_000, resend_wait: (50_000, 1_000_000) }
    }
}

/// An invalidation to send: the cache drops its copy of the key if the copy is older than the version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalidation<C> {
    /// The cache that receives the invalidation.
    pub cache: C,
    /// The key whose copy is dropped.
    pub key: String,
    /// Copies older than this version are dropped.
    pub version: u64,
}

/// A pending invalidation of one key at one cache.
struct Pending {
    version: u64,
    /// Time by which the copy has expired in the cache.
    expires: Micros,
    next_send: Micros,
    resend_wait: Micros,
    /// The versions and ids of the edits that wait for this invalidation.
    edits: Vec<(u64, EditId)>,
}

/// All invalidations of a node that are not acknowledged yet.
pub struct Copies<C> {
    limits: Limits,
    pending: BTreeMap<(C, String), Pending>,
    /// Times at which pending invalidations are next sent or expire. Entries of completed invalidations may
    /// remain.
    send_queue: BinaryHeap<Reverse<(Micros, C, String)>>,
    /// Number of caches that each edit waits for.
    caches_left: HashMap<EditId, usize>,
    completed: Vec<EditId>,
}

impl<C: Copy + Ord + Hash> Copies<C> {
    /// A state without pending invalidations.
    pub fn new(limits: Limits) -> Self {
        let (pending, send_queue) = (BTreeMap::new(), BinaryHeap::new());
        Copies { limits, pending, send_queue, caches_left: HashMap::new(), completed: Vec::new() }
    }

    /// Records that an edit has created a version of a key, and that these caches must drop older copies.
    /// Returns `false`, and records nothing, if [`Limits::max_pending`] would be exceeded.
    pub fn edited(&mut self, now: Micros, edit: EditId, key: &str, version: u64, caches: &[C]) -> bool {
        let added =
            caches.iter().filter(|cache| !self.pending.contains_key(&(**cache, key.to_owned()))).count();
        if self.pending.len() + added > self.limits.max_pending {
            return false;
        }
        if caches.is_empty() {
            self.completed.push(edit);
            return true;
        }
        self.caches_left.insert(edit, caches.len());
        for cache in caches {
            let new_entry =
                || Pending { version: 0, expires: 0, next_send: 0, resend_wait: 0, edits: Vec::new() };
            let pending = self.pending.entry((*cache, key.to_owned())).or_insert_with(new_entry);
            pending.edits.push((version, edit));
            pending.version = pending.version.max(version);
            // A copy filled just before this edit expires one whole lifetime from now.
            (pending.expires, pending.next_send) = (now.saturating_add(self.limits.lifetime), now);
            pending.resend_wait = self.limits.resend_wait.0.max(1);
            self.send_queue.push(Reverse((now, *cache, key.to_owned())));
        }
        true
    }

    /// Takes the invalidations to send now, and schedules their repeats.
    pub fn due(&mut self, now: Micros) -> Vec<Invalidation<C>> {
        let mut send = Vec::new();
        while self.send_queue.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((at, cache, key))) = self.send_queue.pop() else { break };
            let copy = (cache, key);
            let Some(pending) = self.pending.get_mut(&copy) else { continue };
            if at < pending.next_send {
                continue; // It was rescheduled, and has another entry at its new time.
            }
            if now >= pending.expires {
                self.settle(&copy, u64::MAX);
                continue;
            }
            pending.next_send = now.saturating_add(pending.resend_wait).min(pending.expires);
            pending.resend_wait = pending.resend_wait.saturating_mul(2).min(self.limits.resend_wait.1.max(1));
            let (version, next_send) = (pending.version, pending.next_send);
            send.push(Invalidation { cache, key: copy.1.clone(), version });
            self.send_queue.push(Reverse((next_send, cache, copy.1)));
        }
        send
    }

    /// Time at which [`Copies::due`] is to be called next; `None` while nothing is scheduled.
    pub fn next(&self) -> Option<Micros> {
        self.send_queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Records that a cache holds no copy of a key older than a version.
    pub fn acknowledged(&mut self, cache: C, key: &str, version: u64) {
        self.settle(&(cache, key.to_owned()), version);
    }

    /// Completes all invalidations at a cache whose process has ended, and which therefore holds no copies.
    pub fn ended(&mut self, cache: C) {
        let from = (cache, String::new());
        let of_cache = self.pending.range(from..).map(|(copy, _)| copy).take_while(|copy| copy.0 == cache);
        let copies: Vec<_> = of_cache.cloned().collect();
        for copy in &copies {
            self.settle(copy, u64::MAX);
        }
    }

    /// Takes the edits whose older copies are all gone; each is returned once.
    pub fn done(&mut self) -> Vec<EditId> {
        std::mem::take(&mut self.completed)
    }

    /// Stops tracking an edit whose caller no longer waits. Its invalidations are still sent.
    pub fn forget(&mut self, edit: EditId) {
        self.caches_left.remove(&edit);
    }

    /// Number of pending invalidations; at most [`Limits::max_pending`].
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Marks the edits up to a version as completed at one cache. Removes the pending invalidation unless it
    /// is for a later version.
    fn settle(&mut self, copy: &(C, String), version: u64) {
        let Some(pending) = self.pending.get_mut(copy) else { return };
        let (settled, left): (Vec<_>, Vec<_>) = pending.edits.drain(..).partition(|edit| edit.0 <= version);
        pending.edits = left;
        if version >= pending.version {
            self.pending.remove(copy);
        }
        for (_, edit) in settled {
            let Some(caches_left) = self.caches_left.get_mut(&edit) else { continue };
            *caches_left -= 1;
            if *caches_left == 0 {
                self.caches_left.remove(&edit);
                self.completed.push(edit);
            }
        }
    }
}
