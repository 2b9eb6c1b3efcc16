//! Client connections: the sessions, their time limits, and the order in which they are evicted from a full table.

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
pub use session::{Evictability, EvictionClass, READ_CHUNK, Session, SessionTimeout};
pub use slot::{Slot, StreamedAnswer};

/// Time limits on client connections. Each ends at a fixed point in time, which bytes that trickle in do not move.
#[derive(Debug, Clone, Copy)]
pub struct ClientTimeouts {
    /// For the first complete command after the connection was accepted.
    pub first_command: Micros,
    /// For a complete command after its first byte.
    pub command: Micros,
    /// For writing an answer once its turn has come.
    pub write: Micros,
    /// How long a connection must have been idle before it may be evicted.
    pub evictable_idle: Micros,
    /// After which an idle connection is closed in any case.
    pub idle: Micros,
}

impl From<&operator::Clients> for ClientTimeouts {
    fn from(configured: &operator::Clients) -> ClientTimeouts {
        let micros = |time: std::time::Duration| time.as_micros() as Micros;
        ClientTimeouts {
            first_command: micros(configured.first),
            command: micros(configured.whole),
            write: micros(configured.written),
            evictable_idle: micros(configured.spare),
            idle: micros(configured.idle),
        }
    }
}

/// A connection that may be evicted from some time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvictionCandidate {
    /// From when on it may be evicted.
    pub at: Micros,
    /// The connection.
    pub client: ConnId,
}

/// All client connections.
pub struct ClientTable {
    pub sessions: HashMap<ConnId, Session>,
    pub timeouts: ClientTimeouts,
    /// Evictable connections in the order of their class, the longest in it first.
    evictable: BTreeSet<(Evictability, ConnId)>,
    /// Ids of the pending requests; a second request of the same id is rejected. Clients choose them, so that the
    /// hash is the standard library's, which resists collision attacks.
    pub pending_ids: HashSet<Bytes>,
}

impl ClientTable {
    /// An empty table.
    pub fn new(timeouts: ClientTimeouts) -> ClientTable {
        ClientTable {
            sessions: HashMap::new(),
            timeouts,
            evictable: BTreeSet::new(),
            pending_ids: HashSet::new(),
        }
    }

    /// How many client connections there are.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Updates a connection's place in the order of eviction, after anything has happened on it.
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

    /// Removes a connection.
    pub fn remove(&mut self, client: ConnId) -> Option<Session> {
        let session = self.sessions.remove(&client)?;
        if let Some(listed) = session.listed_evictability {
            self.evictable.remove(&(listed, client));
        }
        Some(session)
    }

    /// The connection to evict for a client that has connected. `connect_timeout`: how long a new connection may stay
    /// silent. A connection with a pending answer is never evicted.
    pub fn evictable_now(&self, now: Micros, connect_timeout: Micros) -> Option<ConnId> {
        let mut candidates = self.eviction_candidates(connect_timeout);
        candidates.find(|candidate| candidate.at <= now).map(|candidate| candidate.client)
    }

    /// The connection to evict for clients that have not been accepted yet: strictly in the order of
    /// [`EvictionClass`], so that a served connection stays as long as there are silent ones.
    pub fn next_eviction_candidate(&self, connect_timeout: Micros) -> Option<EvictionCandidate> {
        self.eviction_candidates(connect_timeout).next()
    }

    /// The longest member of each class, and from when on it may be evicted.
    fn eviction_candidates(&self, connect_timeout: Micros) -> impl Iterator<Item = EvictionCandidate> {
        let least_ages = [
            (EvictionClass::HalfClosed, 0),
            (EvictionClass::Silent, connect_timeout),
            (EvictionClass::Idle, self.timeouts.evictable_idle),
            (EvictionClass::PartialCommand, self.timeouts.command / 2),
        ];
        least_ages.into_iter().filter_map(|(class, least_age)| {
            let first = (Evictability { class, since: 0 }, 0);
            let last = (Evictability { class, since: Micros::MAX }, ConnId::MAX);
            let (longest, client) = *self.evictable.range(first..=last).next()?;
            Some(EvictionCandidate { at: longest.since + least_age, client })
        })
    }

    /// Connections between requests, in the order of their ids.
    pub fn between_requests(&self) -> Vec<ConnId> {
        let idle = self.sessions.iter().filter(|(_, session)| session.is_between_requests());
        let mut ids: Vec<_> = idle.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}
