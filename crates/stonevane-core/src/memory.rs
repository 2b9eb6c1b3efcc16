//! One budget of memory for all that clients and servers can make a node hold: commands, their values, and
//! answers on their way.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::reply::ConnId;

/// The program itself, its tables and what the runtime and each connection take.
const BASE_MB: usize = 12;
/// A byte that is accounted for may cost this many: buffers grow by doubling and leave gaps behind.
const SLACK: usize = 2;
/// The unit of the account.
const UNIT: usize = 1024;

/// The budget.
pub struct Memory {
    taken: Arc<AtomicU32>,
    units: u32,
    /// What may be taken now: less than the whole while another process of the node has a part of it.
    may: u32,
    /// Connections that wait for a part, in their order.
    waiting: VecDeque<(ConnId, u32)>,
}

/// A part of the budget, given back when dropped.
#[derive(Debug)]
pub struct Share {
    units: u32,
    taken: Arc<AtomicU32>,
}

impl Drop for Share {
    fn drop(&mut self) {
        self.taken.fetch_sub(self.units, Ordering::Relaxed);
    }
}

impl Memory {
    /// The budget of a node that may have so many megabytes in all.
    pub fn new(memory_mb: usize) -> Memory {
        let units = (memory_mb.saturating_sub(BASE_MB).max(4) * 1024 * 1024 / SLACK / UNIT).min(1 << 28);
        let units = units as u32;
        Memory { taken: Arc::default(), units, may: units, waiting: VecDeque::new() }
    }

    /// From now on no more than so many bytes may be taken; what is taken stays.
    pub fn limit(&mut self, bytes: usize) {
        self.may = (bytes / UNIT).min(self.units as usize) as u32;
    }

    /// The whole of it, in bytes.
    pub fn all(&self) -> usize {
        self.units as usize * UNIT
    }

    /// What is taken, in bytes.
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::Relaxed) as usize * UNIT
    }

    fn units(&self, bytes: usize) -> u32 {
        // More than all there is would be waited for in vain.
        bytes.div_ceil(UNIT).min(self.may as usize) as u32
    }

    fn take(&self, units: u32) -> Option<Share> {
        let taken = self.taken.load(Ordering::Relaxed);
        (self.may >= taken.saturating_add(units)).then(|| {
            self.taken.store(taken + units, Ordering::Relaxed);
            Share { units, taken: self.taken.clone() }
        })
    }

    /// A part for some bytes, if it is free. While others wait for theirs, what is free is kept for them.
    pub fn try_take(&self, bytes: usize) -> Option<Share> {
        if self.waiting.is_empty() { self.take(self.units(bytes)) } else { None }
    }

    /// A part for bytes that are there already: those who wait for theirs go on waiting.
    pub fn take_now(&mut self, bytes: usize) -> Option<Share> {
        self.take(self.units(bytes))
    }

    /// A connection waits for a part for some bytes; [`Memory::granted`] gives it.
    pub fn wait(&mut self, conn: ConnId, bytes: usize) {
        self.waiting.push_back((conn, self.units(bytes)));
    }

    /// Who has waited longest, and now has its part.
    pub fn granted(&mut self) -> Option<(ConnId, Share)> {
        let (conn, units) = *self.waiting.front()?;
        let units = units.min(self.may);
        let share = self.take(units)?;
        self.waiting.pop_front();
        Some((conn, share))
    }

    /// A connection that waits no longer.
    pub fn forget(&mut self, conn: ConnId) {
        self.waiting.retain(|(other, _)| *other != conn);
    }
}
