//! The memory budget: one for everything that clients and servers can make a node buffer, which is commands, their
//! values, and answers until they are written.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::reply::ConnId;

/// Memory of the program itself, its tables, and what the runtime and each connection take, in megabytes.
const BASE_MB: usize = 12;
/// The least memory that is budgeted, in megabytes.
const MIN_BUDGET_MB: usize = 4;
/// Resident bytes for each accounted byte: buffers grow by doubling and leave gaps behind.
const OVERHEAD_FACTOR: usize = 2;
/// Unit of the account, in bytes.
const UNIT: usize = 1024;
/// The largest budget, in units: sums of reservations stay within 32 bits.
const MAX_UNITS: usize = 1 << 28;

/// The budget and the connections that wait for a part of it.
pub struct MemoryBudget {
    reserved: Arc<AtomicU32>,
    capacity: u32,
    /// What may be reserved now: less than the capacity while another process of the node has a part of it.
    limit: u32,
    /// Connections that wait, in the order of their requests, and the units that each waits for.
    waiting: VecDeque<(ConnId, u32)>,
}

/// A part of the budget, given back when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    units: u32,
    reserved: Arc<AtomicU32>,
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.units, Ordering::Relaxed);
    }
}

impl MemoryBudget {
    /// The budget of a node that may use so many megabytes in all.
    pub fn new(memory_mb: usize) -> MemoryBudget {
        let budget_mb = memory_mb.saturating_sub(BASE_MB).max(MIN_BUDGET_MB);
        let units = (budget_mb * 1024 * 1024 / OVERHEAD_FACTOR / UNIT).min(MAX_UNITS) as u32;
        MemoryBudget { reserved: Arc::default(), capacity: units, limit: units, waiting: VecDeque::new() }
    }

    /// Limits reservations to so many bytes from now on; those that exist stay.
    pub fn set_limit(&mut self, bytes: usize) {
        self.limit = (bytes / UNIT).min(self.capacity as usize) as u32;
    }

    /// The whole budget, in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity as usize * UNIT
    }

    /// What is reserved, in bytes.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed) as usize * UNIT
    }

    fn units(&self, bytes: usize) -> u32 {
        // A reservation of more than the limit could never be granted.
        bytes.div_ceil(UNIT).min(self.limit as usize) as u32
    }

    fn reserve_units(&self, units: u32) -> Option<MemoryReservation> {
        let reserved = self.reserved.load(Ordering::Relaxed);
        if self.limit < reserved.saturating_add(units) {
            return None;
        }
        self.reserved.store(reserved + units, Ordering::Relaxed);
        Some(MemoryReservation { units, reserved: self.reserved.clone() })
    }

    /// Reserves some bytes, if they are free and no connection waits for memory.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        if self.waiting.is_empty() { self.reserve_units(self.units(bytes)) } else { None }
    }

    /// Reserves some bytes ahead of the connections that wait: for bytes that are in memory already.
    pub fn reserve_ahead(&mut self, bytes: usize) -> Option<MemoryReservation> {
        self.reserve_units(self.units(bytes))
    }

    /// Queues a connection for some bytes; [`MemoryBudget::next_granted`] grants them.
    pub fn enqueue(&mut self, conn: ConnId, bytes: usize) {
        self.waiting.push_back((conn, self.units(bytes)));
    }

    /// The connection that has waited longest, with its reservation, once that is free.
    pub fn next_granted(&mut self) -> Option<(ConnId, MemoryReservation)> {
        let (conn, units) = *self.waiting.front()?;
        let reservation = self.reserve_units(units.min(self.limit))?;
        self.waiting.pop_front();
        Some((conn, reservation))
    }

    /// Takes a connection out of the queue.
    pub fn cancel(&mut self, conn: ConnId) {
        self.waiting.retain(|(waiting, _)| *waiting != conn);
    }
}
