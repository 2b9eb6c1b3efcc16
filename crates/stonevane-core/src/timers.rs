//! When something is due. A connection has one entry at most, so that what is open bounds them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stonevane_policy::{Micros, RequestId};

use crate::reply::ConnId;

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A timer of the module.
    Policy(u32),
    /// An attempt is given up.
    Attempt(RequestId, u16),
    /// A client's time is up.
    Deadline(RequestId),
    /// A limit of a connection.
    Conn(ConnId),
    /// A client of a full table may have to give its place up.
    Room,
    /// Idle connections are looked through.
    Sweep,
    /// The first watch on the list is opened.
    FirstWatch,
    /// Connections of clients are closed from now on.
    Drain,
    /// The time is nearly up: what is owed is answered as it stands.
    Last,
    /// Whether all is answered is looked at.
    Ended,
    /// Clients have had their time to name what the latest settings have.
    Settled,
    /// A cache server may have become warm, and the subset another.
    Subset,
}

/// All that is due, the earliest first; what is due at the same time in the order of [`Due`].
#[derive(Default)]
pub struct Timers(BinaryHeap<Reverse<(Micros, Due)>>);

impl Timers {
    /// Something is due at a time.
    pub fn push(&mut self, at: Micros, due: Due) {
        self.0.push(Reverse((at, due)));
    }

    /// What is due by now.
    pub fn pop(&mut self, now: Micros) -> Option<Due> {
        self.0.peek().filter(|Reverse((at, _))| *at <= now)?;
        self.0.pop().map(|Reverse((_, due))| due)
    }

    /// Drops what nothing is to be done for, up to the first that it is: nobody is woken for that.
    pub fn skip(&mut self, stale: impl Fn(Due) -> bool) {
        while self.0.peek().is_some_and(|Reverse((_, due))| stale(*due)) {
            self.0.pop();
        }
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Keeps only some.
    pub fn retain(&mut self, keep: impl Fn(&Due) -> bool) {
        self.0.retain(|Reverse((_, due))| keep(due));
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// The one entry of a connection, moved lazily: an earlier limit is entered at once, a later one when the entry that
/// stands is due.
#[derive(Default, Clone, Copy, Debug)]
pub struct Armed(Option<Micros>);

impl Armed {
    /// Its limit is this now; enters it where it must.
    pub fn arm(&mut self, limit: Option<Micros>, conn: ConnId, timers: &mut Timers) {
        if let Some(limit) = limit
            && self.0.is_none_or(|stands| limit < stands)
        {
            self.0 = Some(limit);
            timers.push(limit, Due::Conn(conn));
        }
    }

    /// An entry is due; `true` where the limit has passed, else what is left of it is entered anew.
    pub fn due(&mut self, limit: Option<Micros>, now: Micros, conn: ConnId, timers: &mut Timers) -> bool {
        if self.0.is_some_and(|stands| stands > now) {
            return false; // One that was overtaken by an earlier one.
        }
        self.0 = None;
        if limit.is_some_and(|limit| limit <= now) {
            return true;
        }
        self.arm(limit, conn, timers);
        false
    }
}
