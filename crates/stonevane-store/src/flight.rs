//! The shared fetch: one call to the store for all who wait for a key.
//!
//! A *flight* is one fetch of a key; its *joiners* wait for it, each until a time of its own. There is no leader
//! among them: whoever leaves, the flight goes on while anyone waits, and is cancelled with the last. An edit
//! *fences* the flights that began before its receipt: who asks after the receipt starts a new one, and no cache
//! keeps what an old one brings. No I/O, no clock.

use std::collections::HashMap;

/// Names a flight; never used twice.
pub type FlightId = u64;
/// Names one who waits; never used twice.
pub type JoinerId = u64;
/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// How many may be in the air and wait at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Flights at once.
    pub flights: usize,
    /// Joiners of one flight.
    pub joiners: usize,
    /// Edits that are under way at once.
    pub edits: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { flights: 1_024, joiners: 1_024, edits: 1_024 }
    }
}

/// What became of a wish to know a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Joined {
    /// A flight begins: the store is to be called, once.
    Begins(FlightId),
    /// It waits for one that is in the air already.
    Waits(FlightId),
    /// There is no room: it is to be refused.
    NoRoom,
}

/// The end of a flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Landed<K> {
    /// Its key.
    pub key: K,
    /// Those who wait for it, in the order in which they joined.
    pub joiners: Vec<JoinerId>,
    /// Whether caches may keep what it brought: no edit has been under way since it began.
    pub may_keep: bool,
}

struct Flight<K> {
    key: K,
    joiners: Vec<(JoinerId, Micros)>,
    /// An edit was under way at some time since it began.
    touched: bool,
}

/// All flights and edits of a node.
pub struct Flights<K> {
    limits: Limits,
    next: FlightId,
    flights: HashMap<FlightId, Flight<K>>,
    /// The flight of each key that may still be joined.
    open: HashMap<K, FlightId>,
    joined: HashMap<JoinerId, FlightId>,
    /// Edits under way, by key.
    edits: HashMap<K, usize>,
    editing: usize,
}

impl<K: Clone + Eq + std::hash::Hash> Flights<K> {
    /// None in the air.
    pub fn new(limits: Limits) -> Self {
        Flights {
            limits,
            next: 1,
            flights: HashMap::new(),
            open: HashMap::new(),
            joined: HashMap::new(),
            edits: HashMap::new(),
            editing: 0,
        }
    }

    /// One more wants to know a key, and waits until a time.
    pub fn join(&mut self, key: &K, joiner: JoinerId, until: Micros) -> Joined {
        if self.joined.contains_key(&joiner) {
            return Joined::NoRoom;
        }
        if let Some(id) = self.open.get(key).copied()
            && let Some(flight) = self.flights.get_mut(&id)
        {
            if flight.joiners.len() >= self.limits.joiners {
                return Joined::NoRoom;
            }
            flight.joiners.push((joiner, until));
            self.joined.insert(joiner, id);
            return Joined::Waits(id);
        }
        if self.flights.len() >= self.limits.flights {
            return Joined::NoRoom;
        }
        let id = self.next;
        self.next += 1;
        let touched = self.edits.contains_key(key);
        self.flights.insert(id, Flight { key: key.clone(), joiners: vec![(joiner, until)], touched });
        self.open.insert(key.clone(), id);
        self.joined.insert(joiner, id);
        Joined::Begins(id)
    }

    /// One who waited has left; the flight that is to be cancelled, where it was the last.
    pub fn leave(&mut self, joiner: JoinerId) -> Option<FlightId> {
        let id = self.joined.remove(&joiner)?;
        let flight = self.flights.get_mut(&id)?;
        flight.joiners.retain(|(other, _)| *other != joiner);
        flight.joiners.is_empty().then(|| {
            self.drop_flight(id);
            id
        })
    }

    /// Those whose time is up by now leave; each is to be answered. Flights with nobody left are to be cancelled.
    pub fn expire(&mut self, now: Micros) -> (Vec<JoinerId>, Vec<FlightId>) {
        let late = |flight: &Flight<K>| -> Vec<JoinerId> {
            flight.joiners.iter().filter(|(_, until)| *until <= now).map(|(joiner, _)| *joiner).collect()
        };
        let mut over: Vec<JoinerId> = self.flights.values().flat_map(late).collect();
        over.sort_unstable();
        let mut cancelled: Vec<FlightId> = over.iter().filter_map(|joiner| self.leave(*joiner)).collect();
        cancelled.sort_unstable();
        (over, cancelled)
    }

    /// A flight has ended, with a value or without: whom that concerns. `None` where it was cancelled.
    pub fn landed(&mut self, id: FlightId) -> Option<Landed<K>> {
        let flight = self.drop_flight(id)?;
        let joiners: Vec<_> = flight.joiners.iter().map(|(joiner, _)| *joiner).collect();
        for joiner in &joiners {
            self.joined.remove(joiner);
        }
        Some(Landed { key: flight.key, joiners, may_keep: !flight.touched })
    }

    /// An edit of a key begins; `false` where there is no room for another.
    pub fn edit_begins(&mut self, key: &K) -> bool {
        if self.editing >= self.limits.edits {
            return false;
        }
        self.editing += 1;
        *self.edits.entry(key.clone()).or_default() += 1;
        // What is in the air may bring either value: those who wait may have it, no cache may.
        for flight in self.flights.values_mut().filter(|flight| flight.key == *key) {
            flight.touched = true;
        }
        true
    }

    /// An edit of a key has its receipt, has failed, or nobody knows: who asks from now on starts anew.
    pub fn edit_ended(&mut self, key: &K) {
        let Some(count) = self.edits.get_mut(key) else { return };
        *count -= 1;
        self.editing -= 1;
        if *count == 0 {
            self.edits.remove(key);
        }
        self.open.remove(key);
    }

    /// Flights in the air.
    pub fn in_the_air(&self) -> usize {
        self.flights.len()
    }

    /// Those who wait.
    pub fn waiting(&self) -> usize {
        self.joined.len()
    }

    fn drop_flight(&mut self, id: FlightId) -> Option<Flight<K>> {
        let flight = self.flights.remove(&id)?;
        if self.open.get(&flight.key) == Some(&id) {
            self.open.remove(&flight.key);
        }
        Some(flight)
    }
}
