//! Shared fetches: one call to the store for all callers that wait for a key.
//!
//! A *flight* is one fetch of a key. Its *joiners* are the callers that wait for it, each until its own
//! deadline. No joiner leads: the fetch continues while any joiner waits, and is cancelled when the last one
//! leaves. An edit *fences* the flights that began before its receipt: a caller that asks after the receipt
//! starts a new fetch, and no cache keeps the value of an older one. No I/O, no clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Identifies a flight; never reused.
pub type FlightId = u64;
/// Identifies a joiner; never reused.
pub type JoinerId = u64;
/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// Bounds on concurrent fetches, joiners and edits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most flights at once.
    pub flights: usize,
    /// The most joiners of one flight.
    pub joiners: usize,
    /// The most edits in progress at once.
    pub edits: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { flights: 1_024, joiners: 1_024, edits: 1_024 }
    }
}

/// The result of asking for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Joined {
    /// A new flight begins: the store is to be called once.
    Started(FlightId),
    /// The caller has joined a flight in progress.
    Waiting(FlightId),
    /// A limit is reached, or the same joiner already waits: the caller is to be rejected.
    Rejected,
}

/// A completed flight, with the joiners to answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedFetch<K> {
    /// The key that was fetched.
    pub key: K,
    /// The joiners to answer, in the order in which they joined.
    pub joiners: Vec<JoinerId>,
    /// Whether caches may keep the value: no edit of the key was in progress since the fetch began.
    pub cacheable: bool,
}

struct Flight<K> {
    key: K,
    /// The joiners by position, which is the order in which they joined.
    joiners: BTreeMap<u64, JoinerId>,
    /// Whether an edit of the key was in progress at any time since the fetch began.
    overlaps_edit: bool,
}

/// All flights and edits in progress at a node.
pub struct Flights<K> {
    limits: Limits,
    next_id: FlightId,
    flights: HashMap<FlightId, Flight<K>>,
    /// The flight of each key that may still be joined.
    joinable: HashMap<K, FlightId>,
    /// All flights of each key, including those that may not be joined any more.
    by_key: HashMap<K, Vec<FlightId>>,
    /// The flight of each joiner, and the joiner's position in that flight.
    joiners: HashMap<JoinerId, (FlightId, u64)>,
    /// The deadlines of joiners. Entries of joiners that left may remain.
    deadlines: BinaryHeap<Reverse<(Micros, JoinerId)>>,
    last_position: u64,
    /// Flights and joiners visited so far, for tests of the cost of calls.
    visited: u64,
    /// Number of edits in progress, by key.
    edits: HashMap<K, usize>,
    edit_count: usize,
}

impl<K: Clone + Eq + std::hash::Hash> Flights<K> {
    /// A state without flights and edits.
    pub fn new(limits: Limits) -> Self {
        Flights {
            limits,
            next_id: 1,
            flights: HashMap::new(),
            joinable: HashMap::new(),
            by_key: HashMap::new(),
            joiners: HashMap::new(),
            deadlines: BinaryHeap::new(),
            last_position: 0,
            visited: 0,
            edits: HashMap::new(),
            edit_count: 0,
        }
    }

    /// Joins the flight of a key, or begins one. The joiner waits until `deadline`.
    pub fn join(&mut self, key: &K, joiner: JoinerId, deadline: Micros) -> Joined {
        if self.joiners.contains_key(&joiner) {
            return Joined::Rejected;
        }
        if let Some(id) = self.joinable.get(key).copied()
            && let Some(flight) = self.flights.get_mut(&id)
        {
            if flight.joiners.len() >= self.limits.joiners {
                return Joined::Rejected;
            }
            self.last_position += 1;
            flight.joiners.insert(self.last_position, joiner);
            self.add_joiner(joiner, id, deadline);
            return Joined::Waiting(id);
        }
        if self.flights.len() >= self.limits.flights {
            return Joined::Rejected;
        }
        let id = self.next_id;
        self.next_id += 1;
        let overlaps_edit = self.edits.contains_key(key);
        self.last_position += 1;
        let joiners = BTreeMap::from([(self.last_position, joiner)]);
        self.flights.insert(id, Flight { key: key.clone(), joiners, overlaps_edit });
        self.joinable.insert(key.clone(), id);
        self.by_key.entry(key.clone()).or_default().push(id);
        self.add_joiner(joiner, id, deadline);
        Joined::Started(id)
    }

    /// Records the joiner at the last position of a flight, and its deadline.
    fn add_joiner(&mut self, joiner: JoinerId, id: FlightId, deadline: Micros) {
        self.joiners.insert(joiner, (id, self.last_position));
        self.deadlines.push(Reverse((deadline, joiner)));
        // Joiners that left keep their entries in the heap; it is rebuilt when such entries are the majority.
        if self.deadlines.len() > 64 + 2 * self.joiners.len() {
            let joiners = &self.joiners;
            self.deadlines.retain(|Reverse((_, joiner))| joiners.contains_key(joiner));
        }
    }

    /// Removes a joiner. Returns its flight, which is to be cancelled, where it was the last joiner.
    pub fn leave(&mut self, joiner: JoinerId) -> Option<FlightId> {
        let (id, position) = self.joiners.remove(&joiner)?;
        let flight = self.flights.get_mut(&id)?;
        self.visited += 1;
        flight.joiners.remove(&position);
        flight.joiners.is_empty().then(|| {
            self.remove_flight(id);
            id
        })
    }

    /// Removes the joiners whose deadline has passed. Returns two lists: these joiners, which are to be
    /// answered, and the flights left without joiners, which are to be cancelled.
    pub fn expire(&mut self, now: Micros) -> (Vec<JoinerId>, Vec<FlightId>) {
        let mut expired = Vec::new();
        while let Some(Reverse((deadline, joiner))) = self.deadlines.peek().copied()
            && deadline <= now
        {
            self.deadlines.pop();
            self.visited += 1;
            if self.joiners.contains_key(&joiner) {
                expired.push(joiner);
            }
        }
        expired.sort_unstable();
        let mut cancelled: Vec<FlightId> = expired.iter().filter_map(|joiner| self.leave(*joiner)).collect();
        cancelled.sort_unstable();
        (expired, cancelled)
    }

    /// Completes a flight whose fetch returned a value or an error. `None` if the flight was cancelled
    /// before.
    pub fn complete(&mut self, id: FlightId) -> Option<CompletedFetch<K>> {
        let flight = self.remove_flight(id)?;
        let joiners: Vec<_> = flight.joiners.into_values().collect();
        for joiner in &joiners {
            self.joiners.remove(joiner);
        }
        Some(CompletedFetch { key: flight.key, joiners, cacheable: !flight.overlaps_edit })
    }

    /// Records that an edit of a key begins. Returns `false`, and records nothing, if [`Limits::edits`] is
    /// reached.
    pub fn edit_begins(&mut self, key: &K) -> bool {
        if self.edit_count >= self.limits.edits {
            return false;
        }
        self.edit_count += 1;
        *self.edits.entry(key.clone()).or_default() += 1;
        // A fetch in flight may return the old or the new value: it may answer its joiners, but must not fill
        // a cache.
        self.mark_overlapping(key);
        true
    }

    /// Records that an edit of a key has its receipt, has failed, or has an unknown outcome: later callers
    /// start a new fetch.
    pub fn edit_ended(&mut self, key: &K) {
        let Some(count) = self.edits.get_mut(key) else { return };
        *count -= 1;
        self.edit_count -= 1;
        if *count == 0 {
            self.edits.remove(key);
        }
        self.joinable.remove(key);
    }

    /// Records that another program's edit of a key has been committed. A fetch in flight may return the old
    /// or the new value, so no cache may keep it, and later callers start a new fetch.
    pub fn changed(&mut self, key: &K) {
        self.mark_overlapping(key);
        self.joinable.remove(key);
    }

    fn mark_overlapping(&mut self, key: &K) {
        for id in self.by_key.get(key).into_iter().flatten() {
            self.visited += 1;
            if let Some(flight) = self.flights.get_mut(id) {
                flight.overlaps_edit = true;
            }
        }
    }

    /// Number of flights in progress; at most [`Limits::flights`].
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Number of flights and joiners visited so far, a measure of the cost of calls.
    pub fn visited(&self) -> u64 {
        self.visited
    }

    /// Number of joiners, over all flights.
    pub fn joiner_count(&self) -> usize {
        self.joiners.len()
    }

    fn remove_flight(&mut self, id: FlightId) -> Option<Flight<K>> {
        let flight = self.flights.remove(&id)?;
        if self.joinable.get(&flight.key) == Some(&id) {
            self.joinable.remove(&flight.key);
        }
        if let Some(ids) = self.by_key.get_mut(&flight.key) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.by_key.remove(&flight.key);
            }
        }
        Some(flight)
    }
}
