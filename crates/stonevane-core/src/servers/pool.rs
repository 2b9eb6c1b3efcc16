//! The pool of server connections: which are idle, which may be used again, which expire.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use foldhash::{HashMap, HashMapExt};
use stonevane_policy::{Micros, ServerId};

use super::conn::{ConnState, Protocol, ServerConn};
use crate::reply::{AttemptKey, ConnId};

/// The longest keep-alive of an idle connection to the origin. It bounds the idle connections of all nodes together
/// to the requests of this time, so that no node's seldom used connections fill the origin's table.
const MAX_ORIGIN_KEEP_ALIVE: Micros = 250_000;
/// The shortest keep-alive; hardly a connection is used again within less.
const MIN_KEEP_ALIVE: Micros = 30_000;
/// A rejected first request divides the keep-alive by this.
const KEEP_ALIVE_BACKOFF_DIVISOR: Micros = 2;
/// An answered first request adds this part of the longest keep-alive.
const KEEP_ALIVE_RECOVERY_DIVISOR: Micros = 64;
/// Idle connections are closed after this part of the servers' own limit: a request written to a connection that its
/// server has closed ends as a reset, which may have run and so may not be retried.
const SERVER_IDLE_CLOSE_DIVISOR: Micros = 2;

/// All connections to servers.
pub struct Pool {
    conns: HashMap<ConnId, ServerConn>,
    /// Idle connections of each server with the start of their idleness, in the order of that start.
    idle: BTreeMap<ServerId, VecDeque<(Micros, ConnId)>>,
    /// After which an idle connection is not used any more.
    idle_limit: Micros,
    /// Keep-alive of each server where it is below the longest.
    keep_alive: HashMap<ServerId, Micros>,
    /// A connection is not used again for so long after a reply: a duplicate or noise behind that reply must be seen
    /// before the next request is written, or it would be read as its reply.
    rest: Micros,
}

impl Pool {
    /// An empty pool; servers close a connection that was idle for `idle_close`.
    pub fn new(idle_close: Micros, rest: Micros) -> Pool {
        Pool {
            conns: HashMap::new(),
            idle: BTreeMap::new(),
            idle_limit: idle_close / SERVER_IDLE_CLOSE_DIVISOR,
            keep_alive: HashMap::new(),
            rest,
        }
    }

    /// Servers close a connection that was idle for `idle_close` from now on.
    pub fn set_idle_close(&mut self, idle_close: Micros) {
        self.idle_limit = idle_close / SERVER_IDLE_CLOSE_DIVISOR;
    }

    fn max_keep_alive(&self, protocol: Protocol) -> Micros {
        match protocol {
            Protocol::Origin => MAX_ORIGIN_KEEP_ALIVE.min(self.idle_limit),
            Protocol::Cache | Protocol::Store => self.idle_limit,
        }
    }

    fn keep_alive_of(&self, server: ServerId, protocol: Protocol) -> Micros {
        self.keep_alive.get(&server).copied().unwrap_or_else(|| self.max_keep_alive(protocol))
    }

    /// A connection has brought a reply. A first request that is rejected suggests that the server's connection table
    /// is full: its keep-alive is shortened at once, and grows step by step as first requests are answered.
    pub fn on_reply(&mut self, id: ConnId, rejected: bool) {
        let Some(conn) = self.conns.get(&id).filter(|conn| conn.requests_carried == 1) else { return };
        let longest = self.max_keep_alive(conn.protocol);
        let keep_alive = self.keep_alive_of(conn.server, conn.protocol);
        let adapted = if rejected {
            (keep_alive / KEEP_ALIVE_BACKOFF_DIVISOR).max(MIN_KEEP_ALIVE)
        } else {
            keep_alive + longest / KEEP_ALIVE_RECOVERY_DIVISOR
        };
        if adapted < longest {
            self.keep_alive.insert(conn.server, adapted);
        } else {
            self.keep_alive.remove(&conn.server);
        }
    }

    /// Drops what was learned of a server.
    pub fn forget_server(&mut self, server: ServerId) {
        self.keep_alive.remove(&server);
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// A connection.
    pub fn get(&self, id: ConnId) -> Option<&ServerConn> {
        self.conns.get(&id)
    }

    /// A connection.
    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut ServerConn> {
        self.conns.get_mut(&id)
    }

    /// Adds a connection.
    pub fn insert(&mut self, id: ConnId, conn: ServerConn) {
        self.conns.insert(id, conn);
    }

    /// Takes an idle connection to a server for an attempt: the one used last among those that have rested. Expired
    /// ones that are met on the way are removed and added to `expired`.
    pub fn take_idle(
        &mut self,
        server: ServerId,
        attempt: AttemptKey,
        now: Micros,
        expired: &mut Vec<ConnId>,
    ) -> Option<ConnId> {
        loop {
            let idle = self.idle.get_mut(&server)?;
            let rested = idle.partition_point(|(since, _)| since + self.rest <= now);
            let (since, id) = idle.remove(rested.checked_sub(1)?)?;
            match self.conns.get_mut(&id) {
                Some(conn) if now < since + self.idle_limit => {
                    conn.attempt = Some(attempt);
                    conn.deadline = None;
                    return Some(id);
                }
                Some(_) => {
                    self.conns.remove(&id);
                    expired.push(id);
                }
                None => {}
            }
        }
    }

    /// Takes the connection to a server that will have rested by a time, for an attempt that waits for it until the
    /// connection's deadline. In a full table that is cheaper than closing one and opening another.
    pub fn reserve_resting(&mut self, server: ServerId, attempt: AttemptKey, by: Micros) -> Option<ConnId> {
        // Where servers close connections that have hardly rested, none is used again.
        if self.rest >= self.idle_limit {
            return None;
        }
        let idle = self.idle.get_mut(&server)?;
        let (since, id) = *idle.front().filter(|(since, _)| since + self.rest <= by)?;
        let conn = self.conns.get_mut(&id)?;
        idle.pop_front();
        conn.attempt = Some(attempt);
        conn.state = ConnState::Resting;
        conn.deadline = Some(since + self.rest);
        Some(id)
    }

    /// A connection has nothing in flight and may be used again; `false` where its server has another address now.
    pub fn release(&mut self, id: ConnId, address: Option<SocketAddr>, now: Micros) -> bool {
        let Some(conn) = self.conns.get(&id) else { return true };
        if address != Some(conn.address) {
            return false;
        }
        let keep_alive = self.keep_alive_of(conn.server, conn.protocol);
        // The sweep finds those with the longest keep-alive, without a timer for each.
        let deadline = (keep_alive < self.idle_limit).then_some(now + keep_alive);
        let Some(conn) = self.conns.get_mut(&id) else { return true };
        conn.attempt = None;
        conn.idle_since = now;
        conn.state = ConnState::Idle;
        conn.deadline = deadline;
        self.idle.entry(conn.server).or_default().push_back((now, id));
        true
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: ConnId) -> Option<ServerConn> {
        let conn = self.conns.remove(&id)?;
        if conn.state == ConnState::Idle
            && let Some(idle) = self.idle.get_mut(&conn.server)
        {
            let first = idle.partition_point(|(since, _)| *since < conn.idle_since);
            let offset = idle.range(first..).position(|(_, other)| *other == id);
            offset.and_then(|offset| idle.remove(first + offset));
        }
        Some(conn)
    }

    /// Removes the idle connections to a server.
    pub fn remove_idle(&mut self, server: ServerId) -> Vec<ConnId> {
        let idle = self.idle.remove(&server).unwrap_or_default();
        for (_, id) in &idle {
            self.conns.remove(id);
        }
        idle.into_iter().map(|(_, id)| id).collect()
    }

    /// Removes the connections that were idle for too long.
    pub fn remove_expired(&mut self, now: Micros) -> Vec<ConnId> {
        let limit = self.idle_limit;
        let conns = &mut self.conns;
        let mut expired = Vec::new();
        self.idle.retain(|_, ids| {
            ids.retain(|(since, id)| {
                let keep = now < since + limit;
                if !keep {
                    conns.remove(id);
                    expired.push(*id);
                }
                keep
            });
            !ids.is_empty()
        });
        expired
    }

    /// The connection that has been idle for longest.
    pub fn longest_idle(&self) -> Option<ConnId> {
        let oldest = self.idle.values().filter_map(|ids| ids.front());
        oldest.min().map(|(_, id)| *id)
    }

    /// How many idle connections there are.
    pub fn idle_count(&self) -> usize {
        self.idle.values().map(VecDeque::len).sum()
    }
}
