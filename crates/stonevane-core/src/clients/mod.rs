//! Clients' connections: the places they may take, and who gives one up when others want it.

mod resp;
mod session;

use std::collections::{BTreeSet, HashSet};

use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use stonevane_config::operator;
use stonevane_policy::Micros;

use crate::reply::ConnId;

pub use resp::{Asked, read, word};
pub use session::{Over, PIECE, Session, Slot, Stand};

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
    /// Those that may have to give their place up, in the order of [`Stand`], the longest first.
    standing: BTreeSet<(Stand, Micros, ConnId)>,
    /// Ids of the requests that are open. Against a client that names another's: the second is not taken. Clients
    /// choose them, so that the hash is the standard library's, which none can flood.
    pub ids: HashSet<Bytes>,
}

impl Clients {
    /// None.
    pub fn new(limits: Limits) -> Clients {
        let (sessions, standing, ids) = (HashMap::new(), BTreeSet::new(), HashSet::new());
        Clients { sessions, limits, standing, ids }
    }

    /// Notes how a client stands, after anything has happened on its connection.
    pub fn note(&mut self, id: ConnId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let is = session.stands();
        let was = std::mem::replace(&mut session.noted, is);
        if was != is {
            was.map(|(stand, since)| self.standing.remove(&(stand, since, id)));
            is.map(|(stand, since)| self.standing.insert((stand, since, id)));
        }
    }

    /// Takes a client out.
    pub fn remove(&mut self, id: ConnId) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        session.noted.map(|(stand, since)| self.standing.remove(&(stand, since, id)));
        Some(session)
    }

    /// Who gives its place up for a newcomer. `silent`: a connection may be silent for so long at first. One that is
    /// owed an answer never does.
    pub fn gives_way(&self, now: Micros, silent: Micros) -> Option<ConnId> {
        self.ways(silent).find(|(at, _)| *at <= now).map(|(_, id)| id)
    }

    /// Who gives its place up, and when, for newcomers that nobody has seen yet: strictly in the order of [`Stand`], so
    /// that one that has been served stays for as long as some have said nothing.
    pub fn next_to_give_way(&self, silent: Micros) -> Option<(Micros, ConnId)> {
        self.ways(silent).next()
    }

    /// Of each way to stand the one that has stood so for longest, and from when on it may have to go.
    fn ways(&self, silent: Micros) -> impl Iterator<Item = (Micros, ConnId)> {
        let stands = [
            (Stand::Closing, 0),
            (Stand::Silent, silent),
            (Stand::Idle, self.limits.spare),
            (Stand::Midway, self.limits.whole / 2),
        ];
        stands.into_iter().filter_map(|(stand, least)| {
            let mut first = self.standing.range((stand, 0, 0)..=(stand, Micros::MAX, ConnId::MAX));
            first.next().map(|(_, since, id)| (since + least, *id))
        })
    }

    /// Those that stand between requests, in the order of their ids.
    pub fn between(&self) -> Vec<ConnId> {
        let mut all: Vec<_> = self.sessions.iter().filter(|(_, s)| s.between()).map(|(id, _)| *id).collect();
        all.sort_unstable();
        all
    }
}
