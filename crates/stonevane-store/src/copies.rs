//! The copies of zones that caches hold, after an edit: each cache of the placement is told to drop its copy, again and
//! again until it has acknowledged, its process is known to have ended, or the copy's lifetime has passed.
//!
//! Fills and voids carry the store's version, and a cache keeps what is newest, so that neither their order nor a
//! repeat matters: a fill that was fetched before an edit can't undo the void after it (the leases of R. Nishtala et
//! al., "Scaling Memcache at Facebook", 3.2.1, with versions in the place of tokens). No I/O, no clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::hash::Hash;

/// Names an edit that waits for its copies; never used twice.
pub type EditId = u64;
/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// How much is kept, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Copies that are to be dropped and are not yet, over all caches.
    pub pending: usize,
    /// A cache keeps a copy no longer than this.
    pub lifetime: Micros,
    /// The first and the longest wait before a cache is told again; doubled each time.
    pub again: (Micros, Micros),
}

impl Default for Limits {
    fn default() -> Self {
        Limits { pending: 65_536, lifetime: 10_000_000, again: (50_000, 1_000_000) }
    }
}

/// A cache is to be told to drop its copy of a key, where that is older than a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Void<C> {
    /// The cache.
    pub cache: C,
    /// The key.
    pub key: String,
    /// What is older than this goes.
    pub version: u64,
}

struct Pending {
    version: u64,
    /// The copy has ended by itself by then.
    until: Micros,
    next: Micros,
    wait: Micros,
    /// Edits that wait for this, each with its version.
    edits: Vec<(u64, EditId)>,
}

/// All voids of a node that are not acknowledged yet.
pub struct Copies<C> {
    limits: Limits,
    pending: BTreeMap<(C, String), Pending>,
    /// When each is to be looked at; some may have been settled.
    due: BinaryHeap<Reverse<(Micros, C, String)>>,
    /// How many caches each edit waits for.
    owed: HashMap<EditId, usize>,
    done: Vec<EditId>,
}

impl<C: Copy + Ord + Hash> Copies<C> {
    /// None.
    pub fn new(limits: Limits) -> Self {
        let (pending, due) = (BTreeMap::new(), BinaryHeap::new());
        Copies { limits, pending, due, owed: HashMap::new(), done: Vec::new() }
    }

    /// An edit has made a version of a key: the copies at these caches are old. `false` where there is no room for so
    /// many; nothing is noted then.
    pub fn edited(&mut self, now: Micros, edit: EditId, key: &str, version: u64, caches: &[C]) -> bool {
        let new =
            caches.iter().filter(|cache| !self.pending.contains_key(&(**cache, key.to_owned()))).count();
        if self.pending.len() + new > self.limits.pending {
            return false;
        }
        if caches.is_empty() {
            self.done.push(edit);
            return true;
        }
        self.owed.insert(edit, caches.len());
        for cache in caches {
            let fresh = || Pending { version: 0, until: 0, next: 0, wait: 0, edits: Vec::new() };
            let pending = self.pending.entry((*cache, key.to_owned())).or_insert_with(fresh);
            pending.edits.push((version, edit));
            pending.version = pending.version.max(version);
            // A copy that was filled just before this edit lives for as long.
            (pending.until, pending.next) = (now.saturating_add(self.limits.lifetime), now);
            pending.wait = self.limits.again.0.max(1);
            self.due.push(Reverse((now, *cache, key.to_owned())));
        }
        true
    }

    /// What is to be sent now.
    pub fn due(&mut self, now: Micros) -> Vec<Void<C>> {
        let mut send = Vec::new();
        while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((at, cache, key))) = self.due.pop() else { break };
            let place = (cache, key);
            let Some(pending) = self.pending.get_mut(&place) else { continue };
            if at < pending.next {
                continue; // It was put off meanwhile, and stands at its new time too.
            }
            if now >= pending.until {
                self.settle(&place, u64::MAX);
                continue;
            }
            pending.next = now.saturating_add(pending.wait).min(pending.until);
            pending.wait = pending.wait.saturating_mul(2).min(self.limits.again.1.max(1));
            let (version, next) = (pending.version, pending.next);
            send.push(Void { cache, key: place.1.clone(), version });
            self.due.push(Reverse((next, cache, place.1)));
        }
        send
    }

    /// When [`Copies::due`] has something next.
    pub fn next(&self) -> Option<Micros> {
        self.due.peek().map(|Reverse((at, ..))| *at)
    }

    /// A cache holds nothing of a key any more that is older than a version.
    pub fn acknowledged(&mut self, cache: C, key: &str, version: u64) {
        self.settle(&(cache, key.to_owned()), version);
    }

    /// A cache's process has ended: it holds nothing.
    pub fn ended(&mut self, cache: C) {
        let from = (cache, String::new());
        let keys = self.pending.range(from..).map(|(place, _)| place).take_while(|place| place.0 == cache);
        let places: Vec<_> = keys.cloned().collect();
        for place in &places {
            self.settle(place, u64::MAX);
        }
    }

    /// Edits whose copies are all gone, each once.
    pub fn done(&mut self) -> Vec<EditId> {
        std::mem::take(&mut self.done)
    }

    /// Nobody waits for an edit any more; its copies are dropped all the same.
    pub fn forget(&mut self, edit: EditId) {
        self.owed.remove(&edit);
    }

    /// Copies that are not known to be gone.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn settle(&mut self, place: &(C, String), version: u64) {
        let Some(pending) = self.pending.get_mut(place) else { return };
        let (settled, left): (Vec<_>, Vec<_>) = pending.edits.drain(..).partition(|edit| edit.0 <= version);
        pending.edits = left;
        if version >= pending.version {
            self.pending.remove(place);
        }
        for (_, edit) in settled {
            let Some(owed) = self.owed.get_mut(&edit) else { continue };
            *owed -= 1;
            if *owed == 0 {
                self.owed.remove(&edit);
                self.done.push(edit);
            }
        }
    }
}
