//! Connections to cache servers and the origin: which are idle, which may be used again, which go.

pub mod cache;
mod conn;
mod origin;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use foldhash::{HashMap, HashMapExt};
use stonevane_policy::{Micros, ServerId};

use crate::reply::{AttemptKey, ConnId};

pub use conn::{Conn, PASSAGE, Read, Speaks, State};

/// An idle connection to the origin is held for so long at the most. Against a table there that some nodes fill with
/// connections they seldom use, while the others find no place: all nodes together hold no more idle ones than calls
/// come in this time, however many nodes there are, and whoever lets go learns whether there is room still.
const SHARED: Micros = 250_000;
/// The least time for which an idle connection is held. Below it hardly one is used again.
const LEAST: Micros = 30_000;
/// Steps of that time: what a full table leaves of it, and what a newcomer that was answered adds, of the longest.
const KEEP_STEPS: (u64, u64) = (2, 64);

/// All connections to servers.
pub struct Pool {
    conns: HashMap<ConnId, Conn>,
    /// Idle connections of each server and since when, the one used last at the end: sorted by time.
    idle: BTreeMap<ServerId, VecDeque<(Micros, ConnId)>>,
    idle_limit: Micros,
    /// For how long an idle connection is held, where that is less than the longest.
    keeps: HashMap<ServerId, Micros>,
    /// A connection rests for so long after an answer. Against a second copy or noise that comes a moment behind a good
    /// answer: it must be seen before the next request is written, or it would be read as its answer.
    rest: Micros,
}

impl Pool {
    /// An empty one; servers close a connection that was idle for `idle_close`.
    pub fn new(idle_close: Micros, rest: Micros) -> Pool {
        // Well before the server closes it: a request written to a closed connection ends as a reset, which
        // may have run and so may not be sent again.
        let (conns, idle, keeps) = (HashMap::new(), BTreeMap::new(), HashMap::new());
        Pool { conns, idle, idle_limit: idle_close / 2, keeps, rest }
    }

    /// Servers close a connection that was idle for `idle_close` from now on.
    pub fn retune(&mut self, idle_close: Micros) {
        self.idle_limit = idle_close / 2;
    }

    /// The longest time for which an idle connection is held.
    fn longest_keep(&self, speaks: Speaks) -> Micros {
        if speaks == Speaks::Origin { SHARED.min(self.idle_limit) } else { self.idle_limit }
    }

    /// A connection has brought an answer that turned its request away, or another one. A newcomer that is turned away
    /// tells that the server's table may be full: idle ones are held for half as long from then on, and little by
    /// little for longer again as newcomers are answered.
    pub fn answered(&mut self, id: ConnId, turned_away: bool) {
        let Some(conn) = self.conns.get(&id).filter(|conn| conn.carried == 1) else { return };
        let longest = self.longest_keep(conn.speaks);
        let keep = self.keeps.get(&conn.server).copied().unwrap_or(longest);
        let keep = if turned_away { (keep / KEEP_STEPS.0).max(LEAST) } else { keep + longest / KEEP_STEPS.1 };
        match keep < longest {
            true => drop(self.keeps.insert(conn.server, keep)),
            false => drop(self.keeps.remove(&conn.server)),
        }
    }

    /// Nothing is known of a server any more.
    pub fn forget(&mut self, server: ServerId) {
        self.keeps.remove(&server);
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// A connection.
    pub fn get(&self, id: ConnId) -> Option<&Conn> {
        self.conns.get(&id)
    }

    /// A connection.
    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.conns.get_mut(&id)
    }

    /// A new one.
    pub fn insert(&mut self, id: ConnId, conn: Conn) {
        self.conns.insert(id, conn);
    }

    /// An idle connection to a server for an attempt, if there is one; those that are too old to be used come behind
    /// it, and are gone.
    pub fn reuse(
        &mut self,
        server: ServerId,
        attempt: AttemptKey,
        now: Micros,
        gone: &mut Vec<ConnId>,
    ) -> Option<ConnId> {
        loop {
            let idle = self.idle.get_mut(&server)?;
            // The one used last among those that have rested. Found by halves: under load some hundreds rest.
            let rested = idle.partition_point(|(since, _)| since + self.rest <= now);
            let (since, id) = idle.remove(rested.checked_sub(1)?)?;
            match self.conns.get_mut(&id) {
                Some(conn) if now < since + self.idle_limit => {
                    (conn.attempt, conn.limit) = (Some(attempt), None);
                    return Some(id);
                }
                Some(_) => {
                    self.conns.remove(&id);
                    gone.push(id);
                }
                None => {}
            }
        }
    }

    /// A connection to a server that will have rested within a time, for an attempt, which waits for that: `limit`
    /// tells until when. Where there is no place for another, this costs less than to end one and open it anew.
    pub fn reserve(&mut self, server: ServerId, attempt: AttemptKey, by: Micros) -> Option<ConnId> {
        let idle = self.idle.get_mut(&server)?;
        // Where a server closes connections that have hardly rested, none is used again.
        let rested = |since: Micros| since + self.rest <= by && self.rest < self.idle_limit;
        let (since, id) = *idle.front().filter(|(since, _)| rested(*since))?;
        let conn = self.conns.get_mut(&id)?;
        idle.pop_front();
        (conn.attempt, conn.state, conn.limit) = (Some(attempt), State::Resting, Some(since + self.rest));
        Some(id)
    }

    /// A connection owes nothing any more and may be used again; `false` where its server lives elsewhere now.
    pub fn release(&mut self, id: ConnId, address: Option<SocketAddr>, now: Micros) -> bool {
        let Some(conn) = self.conns.get(&id) else { return true };
        if address != Some(conn.address) {
            return false;
        }
        let longest = self.longest_keep(conn.speaks);
        let keep = self.keeps.get(&conn.server).copied().unwrap_or(longest);
        // The sweep finds those that may stand for longest.
        let limit = (keep < self.idle_limit).then_some(now + keep);
        let Some(conn) = self.conns.get_mut(&id) else { return true };
        (conn.attempt, conn.idle_since, conn.state, conn.limit) = (None, now, State::Idle, limit);
        self.idle.entry(conn.server).or_default().push_back((now, id));
        true
    }

    /// Takes a connection out.
    pub fn remove(&mut self, id: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&id)?;
        if conn.state == State::Idle
            && let Some(idle) = self.idle.get_mut(&conn.server)
        {
            let at = idle.partition_point(|(since, _)| *since < conn.idle_since);
            let found = idle.range(at..).position(|(_, other)| *other == id);
            found.and_then(|ahead| idle.remove(at + ahead));
        }
        Some(conn)
    }

    /// Takes the idle connections to a server out.
    pub fn remove_idle(&mut self, server: ServerId) -> Vec<ConnId> {
        let gone = self.idle.remove(&server).unwrap_or_default();
        gone.iter().for_each(|(_, id)| drop(self.conns.remove(id)));
        gone.into_iter().map(|(_, id)| id).collect()
    }

    /// Takes out what has been idle for long.
    pub fn sweep(&mut self, now: Micros) -> Vec<ConnId> {
        let (conns, limit, mut gone) = (&mut self.conns, self.idle_limit, Vec::new());
        self.idle.retain(|_, ids| {
            ids.retain(|(since, id)| {
                let keep = now < since + limit;
                if !keep {
                    conns.remove(id);
                    gone.push(*id);
                }
                keep
            });
            !ids.is_empty()
        });
        gone
    }

    /// The connection that has been idle for longest.
    pub fn longest_idle(&self) -> Option<ConnId> {
        let oldest = self.idle.values().filter_map(|ids| ids.front());
        oldest.min().map(|(_, id)| *id)
    }

    /// Idle ones.
    pub fn idle(&self) -> usize {
        self.idle.values().map(VecDeque::len).sum()
    }
}
