//! The core's timers. A connection reuses its timer entry: a later time limit adds no entry until the
//! existing one fires. Only an earlier limit adds an entry, and the replaced entry has no effect when it
//! fires.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stonevane_policy::{Micros, RequestId};

use crate::reply::{AttemptKey, ConnId};

/// Purpose of a timer. Timers that are due at the same time fire in the order of these variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// A timer of the policy.
    Policy(u32),
    /// The timeout of an attempt.
    AttemptTimeout(AttemptKey),
    /// The deadline of a client's request.
    RequestDeadline(RequestId),
    /// A time limit of a connection.
    ConnectionLimit(ConnId),
    /// A client connection may be evicted from a full connection table.
    Eviction,
    /// Expired idle server connections are closed.
    IdleSweep,
    /// The first watch on the endpoint list is opened.
    FirstWatch,
    /// Draining of client connections begins.
    DrainConnections,
    /// Shortly before the drain ends: pending requests are answered without waiting for their attempts.
    DrainEnding,
    /// Checks whether the drain is complete.
    DrainCheck,
    /// The time for clients to switch to the latest settings has passed.
    ReloadComplete,
    /// A cache server may have warmed up, which can change the endpoint subset.
    SubsetRefresh,
}

/// Queue of all timers, the earliest first.
#[derive(Default)]
pub struct Timers(BinaryHeap<Reverse<(Micros, TimerKind)>>);

impl Timers {
    /// Adds a timer.
    pub fn push(&mut self, at: Micros, kind: TimerKind) {
        self.0.push(Reverse((at, kind)));
    }

    /// Removes and returns the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<TimerKind> {
        self.0.peek().filter(|Reverse((at, _))| *at <= now)?;
        self.0.pop().map(|Reverse((_, kind))| kind)
    }

    /// Drops stale timers at the front, so that they cause no wake-up.
    pub fn drop_stale_front(&mut self, is_stale: impl Fn(TimerKind) -> bool) {
        while self.0.peek().is_some_and(|Reverse((_, kind))| is_stale(*kind)) {
            self.0.pop();
        }
    }

    /// Returns the time at which the earliest timer is due.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Keeps only the timers for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&TimerKind) -> bool) {
        self.0.retain(|Reverse((_, kind))| keep(kind));
    }

    /// Number of timers, stale ones included.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// Time of a connection's current timer entry. An earlier time limit adds an entry at once, a later limit
/// only when the existing entry fires.
#[derive(Default, Clone, Copy, Debug)]
pub struct ConnectionTimer(Option<Micros>);

impl ConnectionTimer {
    /// Sets the connection's time limit, and adds a timer if the existing one would fire too late.
    pub fn arm(&mut self, limit: Option<Micros>, conn: ConnId, timers: &mut Timers) {
        if let Some(limit) = limit
            && self.0.is_none_or(|entered| limit < entered)
        {
            self.0 = Some(limit);
            timers.push(limit, TimerKind::ConnectionLimit(conn));
        }
    }

    /// Handles a fired entry: returns whether the limit has passed, and adds a new entry for a later limit.
    pub fn fire(&mut self, limit: Option<Micros>, now: Micros, conn: ConnId, timers: &mut Timers) -> bool {
        if self.0.is_some_and(|entered| entered > now) {
            return false; // This entry was replaced by an earlier one, which has fired.
        }
        self.0 = None;
        if limit.is_some_and(|limit| limit <= now) {
            return true;
        }
        self.arm(limit, conn, timers);
        false
    }
}
