//! Clients' connections: the places they may take, and who gives one up when others want it.

mod resp;
mod session;

use std::collections::{BTreeSet, HashSet};

use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use spardeal::Micros;
use stonevane_config::operator;

use crate::reply::ConnId;

pub use resp::{Asked, read, word};
pub use session::{Over, PIECE, Session, Slot};

/// Time limits on clients' connections, points in time which no dribbled byte moves.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub first: Micros,
    pub whole: Micros,
    pub written: Micros,
    pub spare: Micros,
    pub idle: Micros,
}

impl From<operator::Clients> for Limits {
    fn from(told: operator::Clients) -> Limits {
        let micros = |time: std::time::Duration| time.as_micros() as Micros;
        Limits {
            first: micros(told.first),
            whole: micros(told.whole),
            written: micros(told.written),
            spare: micros(told.spare),
            idle: micros(told.idle),
        }
    }
}

/// All of them.
pub struct Clients {
    pub sessions: HashMap<ConnId, Session>,
    pub limits: Limits,
    /// Those that were served and stand idle, the longest first.
    idle: BTreeSet<(Micros, ConnId)>,
    /// Ids of the requests that are open. Against a client that names another's: the second is not taken. Clients
    /// choose them, so that the hash is the standard library's, which none can flood.
    pub ids: HashSet<Bytes>,
    /// One of them is to give its place up as soon as it has stood idle for long enough.
    pub pressed: bool,
}

impl Clients {
    /// None.
    pub fn new(limits: Limits) -> Clients {
        let (sessions, idle, ids) = (HashMap::new(), BTreeSet::new(), HashSet::new());
        Clients { sessions, limits, idle, ids, pressed: false }
    }

    /// Notes whether a client stands idle, after anything has happened on its connection.
    pub fn note_idle(&mut self, id: ConnId) {
        let is = self.idle_since(id);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let was = std::mem::replace(&mut session.noted, is);
        if was != is {
            was.map(|since| self.idle.remove(&(since, id)));
            is.map(|since| self.idle.insert((since, id)));
        }
    }

    /// Takes a client out.
    pub fn remove(&mut self, id: ConnId) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        session.noted.map(|since| self.idle.remove(&(since, id)));
        Some(session)
    }

    /// Since when a client stands idle, where it does and is not being closed.
    pub fn idle_since(&self, id: ConnId) -> Option<Micros> {
        self.sessions.get(&id).filter(|s| s.idle() && !s.parting).map(|s| s.idle_since)
    }

    /// Who has stood idle for longest, and since when.
    pub fn longest_idle(&self) -> Option<(Micros, ConnId)> {
        self.idle.first().copied()
    }

    /// Those that stand between requests, in the order of their ids.
    pub fn between(&self) -> Vec<ConnId> {
        let mut all: Vec<_> = self.sessions.iter().filter(|(_, s)| s.between()).map(|(id, _)| *id).collect();
        all.sort_unstable();
        all
    }
}
