//! The core's timers. A connection has one entry at most, so that open connections bound the number of entries.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stonevane_policy::{Micros, RequestId};

use crate::reply::{AttemptKey, ConnId};

/// What a timer is for. Timers of the same time fire in the order of these variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// A timer of the policy.
    Policy(u32),
    /// The time-out of an attempt.
    AttemptTimeout(AttemptKey),
    /// The deadline of a client's request.
    RequestDeadline(RequestId),
    /// A time limit of a connection.
    ConnectionLimit(ConnId),
    /// A client of a full table may be evicted.
    Eviction,
    /// Expired idle connections to servers are closed.
    IdleSweep,
    /// The first watch on the endpoint list is opened.
    FirstWatch,
    /// Draining of client connections begins.
    DrainConnections,
    /// Shortly before the drain's end: pending requests are answered as they stand.
    DrainEnding,
    /// Checks whether the drain is complete.
    DrainCheck,
    /// Clients have had their time to switch to the latest settings.
    ReloadComplete,
    /// A cache server may have warmed up, and the subset changes with it.
    SubsetRefresh,
}

/// All timers, the earliest first.
#[derive(Default)]
pub struct Timers(BinaryHeap<Reverse<(Micros, TimerKind)>>);

impl Timers {
    /// Adds a timer.
    pub fn push(&mut self, at: Micros, kind: TimerKind) {
        self.0.push(Reverse((at, kind)));
    }

    /// Takes the earliest timer, if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<TimerKind> {
        self.0.peek().filter(|Reverse((at, _))| *at <= now)?;
        self.0.pop().map(|Reverse((_, kind))| kind)
    }

    /// Drops stale timers at the front: no wake-up is spent on them.
    pub fn drop_stale_front(&mut self, is_stale: impl Fn(TimerKind) -> bool) {
        while self.0.peek().is_some_and(|Reverse((_, kind))| is_stale(*kind)) {
            self.0.pop();
        }
    }

    /// When the earliest timer is due.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Keeps only some timers.
    pub fn retain(&mut self, keep: impl Fn(&TimerKind) -> bool) {
        self.0.retain(|Reverse((_, kind))| keep(kind));
    }

    /// How many timers there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// The one timer of a connection. An earlier limit is entered at once, a later one when the existing entry fires.
#[derive(Default, Clone, Copy, Debug)]
pub struct ConnectionTimer(Option<Micros>);

impl ConnectionTimer {
    /// Sets the connection's limit; adds a timer where the existing one would be too late.
    pub fn arm(&mut self, limit: Option<Micros>, conn: ConnId, timers: &mut Timers) {
        if let Some(limit) = limit
            && self.0.is_none_or(|entered| limit < entered)
        {
            self.0 = Some(limit);
            timers.push(limit, TimerKind::ConnectionLimit(conn));
        }
    }

    /// An entry has fired: returns whether the limit has passed, and enters a later limit anew.
    pub fn fire(&mut self, limit: Option<Micros>, now: Micros, conn: ConnId, timers: &mut Timers) -> bool {
        if self.0.is_some_and(|entered| entered > now) {
            return false; // An earlier entry has fired in its place.
        }
        self.0 = None;
        if limit.is_some_and(|limit| limit <= now) {
            return true;
        }
        self.arm(limit, conn, timers);
        false
    }
}
