//! The pool of server connections: reuse and expiry of idle connections.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use foldhash::{HashMap, HashMapExt};
use stonevane_policy::{Micros, ServerId};

use super::conn::{ConnState, Protocol, ServerConn};
use crate::reply::{AttemptKey, ConnId};

/// The longest keep-alive of an idle connection to the origin. It bounds the idle connections of all nodes to
/// the number of requests in this time, so that rarely used connections don't fill the origin's connection
/// table.
const MAX_ORIGIN_KEEP_ALIVE: Micros = 250_000;
/// The shortest keep-alive: with a shorter one, connections are hardly ever reused.
const MIN_KEEP_ALIVE: Micros = 30_000;
/// The keep-alive is divided by this when the first request on a connection is rejected.
const KEEP_ALIVE_BACKOFF_DIVISOR: Micros = 2;
/// The keep-alive grows by its maximum divided by this when the first request on a connection is answered.
const KEEP_ALIVE_RECOVERY_DIVISOR: Micros = 64;
/// Idle connections are closed after the servers' own idle limit divided by this. A request on a connection
/// that the server has just closed ends in a reset; it may have run, so it must not be retried.
const SERVER_IDLE_CLOSE_DIVISOR: Micros = 2;

/// Pool of all connections to servers.
pub struct Pool {
    conns: HashMap<ConnId, ServerConn>,
    /// Idle connections of each server with the time since which they are idle, in the order of that time.
    idle: BTreeMap<ServerId, VecDeque<(Micros, ConnId)>>,
    /// Idle time after which a connection is not used any more.
    idle_limit: Micros,
    /// Keep-alive of each server for which it is below the maximum.
    keep_alive: HashMap<ServerId, Micros>,
    /// Time after a reply during which the connection is not reused. A duplicate reply or stray bytes behind
    /// a reply must be detected before the next request is written, or they would be read as the reply to
    /// that request.
    reuse_delay: Micros,
}

impl Pool {
    /// Creates an empty pool. Servers close a connection that was idle for `idle_timeout`; a connection is not
    /// reused for `reuse_delay` after a reply.
    pub fn new(idle_timeout: Micros, reuse_delay: Micros) -> Pool {
        Pool {
            conns: HashMap::new(),
            idle: BTreeMap::new(),
            idle_limit: idle_timeout / SERVER_IDLE_CLOSE_DIVISOR,
            keep_alive: HashMap::new(),
            reuse_delay,
        }
    }

    /// Changes the idle time after which servers close a connection.
    pub fn set_idle_timeout(&mut self, idle_timeout: Micros) {
        self.idle_limit = idle_timeout / SERVER_IDLE_CLOSE_DIVISOR;
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

    /// Received bytes of replies that are not complete yet.
    pub fn buffered_bytes(&self) -> usize {
        self.conns.values().map(ServerConn::buffered_bytes).sum()
    }

    /// Adapts the keep-alive after a reply. If the first request on a connection is rejected, the server's
    /// connection table is probably full: the keep-alive is shortened at once, and grows in steps as first
    /// requests are answered.
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

    /// Resets the keep-alive of a server to the maximum.
    pub fn forget_server(&mut self, server: ServerId) {
        self.keep_alive.remove(&server);
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Returns the connection with this number.
    pub fn get(&self, id: ConnId) -> Option<&ServerConn> {
        self.conns.get(&id)
    }

    /// Returns the connection with this number, mutable.
    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut ServerConn> {
        self.conns.get_mut(&id)
    }

    /// Adds a connection that is not idle.
    pub fn insert(&mut self, id: ConnId, conn: ServerConn) {
        self.conns.insert(id, conn);
    }

    /// Time after a reply during which a connection is not reused.
    pub fn reuse_delay(&self) -> Micros {
        self.reuse_delay
    }

    /// Assigns an idle connection to an attempt and returns it: the most recently used one whose reuse delay
    /// had passed at `polled_at`, the last time that the driver looked for input; only if there is none, one
    /// whose reuse delay has passed since. Expired connections found during the search are removed from the
    /// pool and added to `expired`.
    pub fn take_idle(
        &mut self,
        server: ServerId,
        attempt: AttemptKey,
        now: Micros,
        polled_at: Micros,
        expired: &mut Vec<ConnId>,
    ) -> Option<ConnId> {
        loop {
            let idle = self.idle.get_mut(&server)?;
            let rested_by = |time| idle.partition_point(|(since, _)| since + self.reuse_delay <= time);
            let seen_rested = rested_by(polled_at.min(now));
            let reusable = if seen_rested > 0 { seen_rested } else { rested_by(now) };
            let (since, id) = idle.remove(reusable.checked_sub(1)?)?;
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

    /// Reserves for an attempt a connection whose reuse delay ends at `by` or earlier. The attempt waits
    /// until that delay has passed. With a full connection table this is cheaper than closing a connection
    /// and opening another.
    pub fn reserve_resting(&mut self, server: ServerId, attempt: AttemptKey, by: Micros) -> Option<ConnId> {
        // If a reuse delay as long as the idle limit is configured, no connection is ever reused.
        if self.reuse_delay >= self.idle_limit {
            return None;
        }
        let idle = self.idle.get_mut(&server)?;
        let (since, id) = *idle.front().filter(|(since, _)| since + self.reuse_delay <= by)?;
        let conn = self.conns.get_mut(&id)?;
        idle.pop_front();
        conn.attempt = Some(attempt);
        conn.state = ConnState::Resting;
        conn.deadline = Some(since + self.reuse_delay);
        Some(id)
    }

    /// Marks a connection without a request in flight as idle. Returns `false`, and changes nothing, if
    /// `address`, at which connections to the server may be reused, is `None` or differs from the
    /// connection's address.
    pub fn release(&mut self, id: ConnId, address: Option<SocketAddr>, now: Micros) -> bool {
        let Some(conn) = self.conns.get(&id) else { return true };
        if address != Some(conn.address) {
            return false;
        }
        let keep_alive = self.keep_alive_of(conn.server, conn.protocol);
        // Connections with the longest keep-alive need no timer of their own: the sweep closes them.
        let deadline = (keep_alive < self.idle_limit).then_some(now + keep_alive);
        let Some(conn) = self.conns.get_mut(&id) else { return true };
        conn.attempt = None;
        conn.idle_since = now;
        conn.state = ConnState::Idle;
        conn.deadline = deadline;
        self.idle.entry(conn.server).or_default().push_back((now, id));
        true
    }

    /// Removes a connection and returns it.
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

    /// Removes all idle connections to a server and returns their numbers.
    pub fn remove_idle(&mut self, server: ServerId) -> Vec<ConnId> {
        let idle = self.idle.remove(&server).unwrap_or_default();
        for (_, id) in &idle {
            self.conns.remove(id);
        }
        idle.into_iter().map(|(_, id)| id).collect()
    }

    /// Removes the connections that have exceeded the idle limit and returns their numbers.
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

    /// Returns the connection that has been idle the longest.
    pub fn longest_idle(&self) -> Option<ConnId> {
        let oldest = self.idle.values().filter_map(|ids| ids.front());
        oldest.min().map(|(_, id)| *id)
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.values().map(VecDeque::len).sum()
    }
}
