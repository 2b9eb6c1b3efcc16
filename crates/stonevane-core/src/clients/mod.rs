//! Client connections: sessions, their time limits, and the order of eviction from a full table.

mod coalesced_write;
mod resp;
mod session;
mod slot;

use std::collections::{BTreeSet, HashSet};

use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use stonevane_config::operator;
use stonevane_policy::Micros;

use crate::reply::ConnId;

pub use resp::{ClientCommand, decode, encode};
pub use session::{Evictability, EvictionClass, MAX_SEND_TIME, Session, SessionTimeout};
pub use slot::{Slot, StreamStart, StreamedAnswer};

/// Time limits on client connections. Each expires at a fixed time that is not extended by a slow trickle of
/// bytes.
#[derive(Debug, Clone, Copy)]
pub struct ClientTimeouts {
    /// From accepting the connection to the first complete command.
    pub first_command: Micros,
    /// From a command's first byte to its last.
    pub command: Micros,
    /// From the start of an answer's write to its completion.
    pub write: Micros,
    /// Idle time after which a connection may be evicted.
    pub evictable_idle: Micros,
    /// Idle time after which a connection is closed even if there is free capacity.
    pub idle: Micros,
}

impl From<&operator::Clients> for ClientTimeouts {
    fn from(configured: &operator::Clients) -> ClientTimeouts {
        let micros = |time: std::time::Duration| time.as_micros() as Micros;
        ClientTimeouts {
            first_command: micros(configured.first_command),
            command: micros(configured.command),
            write: micros(configured.write),
            evictable_idle: micros(configured.evictable_idle),
            idle: micros(configured.idle),
        }
    }
}

/// A connection that may be evicted, and the earliest time of its eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvictionCandidate {
    /// Earliest time of the eviction.
    pub at: Micros,
    /// Id of the client connection.
    pub client: ConnId,
}

/// All client connections.
pub struct ClientTable {
    pub sessions: HashMap<ConnId, Session>,
    pub timeouts: ClientTimeouts,
    /// Evictable connections, ordered by class and then by the time since which they have been in it.
    evictable: BTreeSet<(Evictability, ConnId)>,
    /// Ids of the pending requests; a second request with the same id is rejected. Clients choose the ids, so
    /// the set uses the standard library's hash function, which resists collision attacks.
    pub pending_ids: HashSet<Bytes>,
}

impl ClientTable {
    /// Creates an empty table.
    pub fn new(timeouts: ClientTimeouts) -> ClientTable {
        ClientTable {
            sessions: HashMap::new(),
            timeouts,
            evictable: BTreeSet::new(),
            pending_ids: HashSet::new(),
        }
    }

    /// Returns the number of client connections.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Updates a connection's position in the order of eviction. Must be called after every change of the
    /// session's state.
    pub fn update_eviction_order(&mut self, client: ConnId) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let current = session.evictability();
        let previous = std::mem::replace(&mut session.listed_evictability, current);
        if previous == current {
            return;
        }
        if let Some(previous) = previous {
            self.evictable.remove(&(previous, client));
        }
        if let Some(current) = current {
            self.evictable.insert((current, client));
        }
    }

    /// Removes a connection and returns its session.
    pub fn remove(&mut self, client: ConnId) -> Option<Session> {
        let session = self.sessions.remove(&client)?;
        if let Some(listed) = session.listed_evictability {
            self.evictable.remove(&(listed, client));
        }
        Some(session)
    }

    /// Returns the connection to evict in favor of a client that has connected. `connect_timeout` is the time
    /// for which a new connection may stay silent. A connection with a pending answer is never evicted.
    pub fn evictable_now(&self, now: Micros, connect_timeout: Micros) -> Option<ConnId> {
        let mut candidates = self.eviction_candidates(connect_timeout);
        candidates.find(|candidate| candidate.at <= now).map(|candidate| candidate.client)
    }

    /// Returns the connection to evict in favor of clients that have not been accepted yet. The order is
    /// strictly that of [`EvictionClass`], so that a served connection stays as long as there are silent
    /// ones.
    pub fn next_eviction_candidate(&self, connect_timeout: Micros) -> Option<EvictionCandidate> {
        self.eviction_candidates(connect_timeout).next()
    }

    /// The connection that has been in each class longest, with the earliest time of its eviction.
    fn eviction_candidates(&self, connect_timeout: Micros) -> impl Iterator<Item = EvictionCandidate> {
        let min_ages = [
            (EvictionClass::HalfClosed, 0),
            (EvictionClass::Silent, connect_timeout),
            (EvictionClass::Idle, self.timeouts.evictable_idle),
            (EvictionClass::PartialCommand, self.timeouts.command / 2),
        ];
        min_ages.into_iter().filter_map(|(class, min_age)| {
            let first = (Evictability { class, since: 0 }, 0);
            let last = (Evictability { class, since: Micros::MAX }, ConnId::MAX);
            let (longest, client) = *self.evictable.range(first..=last).next()?;
            Some(EvictionCandidate { at: longest.since + min_age, client })
        })
    }

    /// Returns the connections between requests, in the order of their ids.
    pub fn between_requests(&self) -> Vec<ConnId> {
        self.ids_of(Session::is_between_requests)
    }

    /// Returns the connections without a pending answer, in the order of their ids.
    pub fn without_pending_answers(&self) -> Vec<ConnId> {
        self.ids_of(|session| !session.has_pending_answers())
    }

    fn ids_of(&self, is_included: impl Fn(&Session) -> bool) -> Vec<ConnId> {
        let included = self.sessions.iter().filter(|(_, session)| is_included(session));
        let mut ids: Vec<_> = included.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}
