//! The memory budget of a node: a single budget for all data that clients and servers can make it buffer,
//! which is commands with their values, and answers until they are written.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::reply::ConnId;

/// Memory of the program itself, its tables, the runtime and the connections, in megabytes.
const BASE_MB: usize = 12;
/// Lower bound of the budget, in megabytes.
const MIN_BUDGET_MB: usize = 4;
/// Resident bytes per accounted byte: buffers grow by doubling and fragment the heap.
const OVERHEAD_FACTOR: usize = 2;
/// Reservations are counted in units of this size.
const UNIT_BYTES: usize = 1024;
/// Divisor of the budget: the quotient is not available to reservations that grow.
const GROWTH_RESERVE_DIVISOR: u32 = 4;
/// Upper bound of the budget, in units, so that sums of reservations fit in 32 bits.
const MAX_UNITS: usize = 1 << 28;

/// The budget, and the queue of connections that wait for memory.
pub struct MemoryBudget {
    reserved: Arc<AtomicU32>,
    capacity: u32,
    /// Units that may be reserved: less than the capacity while another process of the node has a part of it.
    limit: u32,
    /// Waiting connections in the order of their requests, with the units that each waits for.
    waiting: VecDeque<(ConnId, u32)>,
}

/// A reserved part of the budget, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    units: u32,
    reserved: Arc<AtomicU32>,
}

impl MemoryReservation {
    /// Reserved memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.units as usize * UNIT_BYTES
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.units, Ordering::Relaxed);
    }
}

impl MemoryBudget {
    /// Creates the budget of a node that may use `memory_mb` megabytes in total.
    pub fn new(memory_mb: usize) -> MemoryBudget {
        let budget_mb = memory_mb.saturating_sub(BASE_MB).max(MIN_BUDGET_MB);
        let units = (budget_mb * 1024 * 1024 / OVERHEAD_FACTOR / UNIT_BYTES).min(MAX_UNITS) as u32;
        MemoryBudget { reserved: Arc::default(), capacity: units, limit: units, waiting: VecDeque::new() }
    }

    /// Sets how many bytes may be reserved in total. Existing reservations stay even if they exceed the new
    /// limit.
    pub fn set_limit(&mut self, bytes: usize) {
        self.limit = (bytes / UNIT_BYTES).min(self.capacity as usize) as u32;
    }

    /// Capacity of the budget, in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity as usize * UNIT_BYTES
    }

    /// Reserved memory, in bytes.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed) as usize * UNIT_BYTES
    }

    fn units(&self, bytes: usize) -> u32 {
        // A reservation of more than the limit could never be granted.
        bytes.div_ceil(UNIT_BYTES).min(self.limit as usize) as u32
    }

    fn reserve_units(&self, units: u32) -> Option<MemoryReservation> {
        let reserved = self.reserved.load(Ordering::Relaxed);
        if self.limit < reserved.saturating_add(units) {
            return None;
        }
        self.reserved.store(reserved + units, Ordering::Relaxed);
        Some(MemoryReservation { units, reserved: self.reserved.clone() })
    }

    /// Reserves this many bytes if they are free and no connection waits for memory.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        if self.waiting.is_empty() { self.reserve_units(self.units(bytes)) } else { None }
    }

    /// Reserves bytes that are already in memory, ahead of the waiting connections.
    pub fn reserve_ahead(&mut self, bytes: usize) -> Option<MemoryReservation> {
        self.reserve_units(self.units(bytes))
    }

    /// Enlarges a reservation if the memory is free. A part of the budget is kept for other reservations, so that
    /// replies of unknown length leave memory for requests. Returns whether the reservation was enlarged.
    pub fn try_grow(&self, reservation: &mut MemoryReservation, bytes: usize) -> bool {
        let units = self.units(bytes);
        let reserved = self.reserved.load(Ordering::Relaxed);
        let max_reserved = self.limit - self.limit / GROWTH_RESERVE_DIVISOR;
        if units == 0 || reserved.saturating_add(units) > max_reserved {
            return false;
        }
        self.reserved.store(reserved + units, Ordering::Relaxed);
        reservation.units += units;
        true
    }

    /// Queues a connection that waits for this many bytes, which [`MemoryBudget::next_granted`] grants.
    pub fn enqueue(&mut self, conn: ConnId, bytes: usize) {
        self.waiting.push_back((conn, self.units(bytes)));
    }

    /// Removes the connection that has waited longest from the queue and returns it with its reservation;
    /// `None` while there is not enough free memory for it.
    pub fn next_granted(&mut self) -> Option<(ConnId, MemoryReservation)> {
        let (conn, units) = *self.waiting.front()?;
        let reservation = self.reserve_units(units.min(self.limit))?;
        self.waiting.pop_front();
        Some((conn, reservation))
    }

    /// Removes a connection from the queue of connections that wait for memory.
    pub fn cancel(&mut self, conn: ConnId) {
        self.waiting.retain(|(waiting, _)| *waiting != conn);
    }
}
