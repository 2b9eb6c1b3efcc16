//! The memory budget of a node: a single budget for all data that clients and servers can make it buffer,
//! which is commands with their values, replies, and answers until they are written. The driver counts what it
//! buffers itself, long endpoint lists and copies for caches, in the same budget.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::reply::ConnId;

/// Least memory of the program itself, its tables, the runtime and the connections, in megabytes.
const MIN_BASE_MB: usize = 12;
/// The part of that memory that does not grow with the number of connections, in megabytes.
const PROGRAM_MB: usize = 4;
/// Maximum number of received bytes that a connection buffers without a reservation. Buffers of this size are
/// part of the memory of the connections.
pub const UNRESERVED_BYTES: usize = 4096;
/// Lower bound of the budget, in megabytes.
const MIN_BUDGET_MB: usize = 4;
/// Resident bytes per accounted byte: buffers grow by doubling and fragment the heap.
const OVERHEAD_FACTOR: usize = 2;
const BYTES_PER_MB: usize = 1024 * 1024;
/// Reservations are counted in units of this size.
const UNIT_BYTES: usize = 1024;
/// Divisor of the budget: the quotient is not available to reservations that grow.
const GROWTH_RESERVE_DIVISOR: u32 = 4;
/// Upper bound of the budget, in units, so that sums of reservations fit in 32 bits.
const MAX_UNITS: usize = 1 << 28;

/// Units of the budget that are reserved and that may be reserved.
#[derive(Debug)]
struct Usage {
    reserved: AtomicU32,
    /// Less than the capacity while another process of the node has a part of it.
    limit: AtomicU32,
}

impl Usage {
    fn reserved(&self) -> u32 {
        self.reserved.load(Ordering::Relaxed)
    }

    fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Reserves units if the total stays within `max_reserved`. Returns whether they were reserved.
    fn try_add(&self, units: u32, max_reserved: u32) -> bool {
        let add = |reserved: u32| reserved.checked_add(units).filter(|total| *total <= max_reserved);
        self.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// The budget, and the queue of connections that wait for memory.
pub struct MemoryBudget {
    usage: Arc<Usage>,
    capacity: u32,
    /// Waiting connections in the order of their requests, with the units that each waits for.
    waiting: VecDeque<(ConnId, u32)>,
}

/// A reserved part of the budget, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    units: u32,
    usage: Arc<Usage>,
}

impl MemoryReservation {
    /// Reserved memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.units as usize * UNIT_BYTES
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.usage.reserved.fetch_sub(self.units, Ordering::Relaxed);
    }
}

/// Handle to the budget for memory that the driver uses outside the core.
#[derive(Debug, Clone)]
pub struct MemoryAccount {
    usage: Arc<Usage>,
}

impl MemoryAccount {
    /// Creates an account of its own, of this many bytes.
    pub fn with_capacity(bytes: usize) -> MemoryAccount {
        let limit = AtomicU32::new((bytes / UNIT_BYTES).min(MAX_UNITS) as u32);
        MemoryAccount { usage: Arc::new(Usage { reserved: AtomicU32::new(0), limit }) }
    }

    /// Reserved memory of the whole budget, in bytes.
    pub fn reserved(&self) -> usize {
        self.usage.reserved() as usize * UNIT_BYTES
    }

    /// Creates a reservation of no memory, which [`MemoryAccount::try_extend`] enlarges.
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation { units: 0, usage: self.usage.clone() }
    }

    /// Reserves this many bytes if they are free.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation();
        self.try_extend(&mut reservation, bytes).then_some(reservation)
    }

    /// Enlarges a reservation to this many bytes if they are free, ahead of connections that wait for memory.
    /// Returns whether the reservation has at least this size.
    pub fn try_extend(&self, reservation: &mut MemoryReservation, bytes: usize) -> bool {
        let units = bytes.div_ceil(UNIT_BYTES).min(MAX_UNITS) as u32;
        let missing = units.saturating_sub(reservation.units);
        let is_reserved = missing == 0 || self.usage.try_add(missing, self.usage.limit());
        if is_reserved {
            reservation.units += missing;
        }
        is_reserved
    }
}

impl MemoryBudget {
    /// Creates the budget of a node that may use `memory_mb` megabytes in total, and has at most
    /// `max_connections` connections.
    pub fn new(memory_mb: usize, max_connections: usize) -> MemoryBudget {
        let connections_mb = (max_connections * OVERHEAD_FACTOR * UNRESERVED_BYTES).div_ceil(BYTES_PER_MB);
        let base_mb = MIN_BASE_MB.max(PROGRAM_MB + connections_mb);
        let budget_mb = memory_mb.saturating_sub(base_mb).max(MIN_BUDGET_MB);
        let units = (budget_mb * BYTES_PER_MB / OVERHEAD_FACTOR / UNIT_BYTES).min(MAX_UNITS) as u32;
        let usage = Usage { reserved: AtomicU32::new(0), limit: AtomicU32::new(units) };
        MemoryBudget { usage: Arc::new(usage), capacity: units, waiting: VecDeque::new() }
    }

    /// Returns a handle for memory that the driver uses outside the core.
    pub fn account(&self) -> MemoryAccount {
        MemoryAccount { usage: self.usage.clone() }
    }

    /// Sets how many bytes may be reserved in total. Existing reservations stay even if they exceed the new
    /// limit.
    pub fn set_limit(&mut self, bytes: usize) {
        let limit = (bytes / UNIT_BYTES).min(self.capacity as usize) as u32;
        self.usage.limit.store(limit, Ordering::Relaxed);
    }

    /// Capacity of the budget, in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity as usize * UNIT_BYTES
    }

    /// Reserved memory, in bytes.
    pub fn reserved(&self) -> usize {
        self.usage.reserved() as usize * UNIT_BYTES
    }

    fn units(&self, bytes: usize) -> u32 {
        // A reservation of more than the limit could never be granted.
        bytes.div_ceil(UNIT_BYTES).min(self.usage.limit() as usize) as u32
    }

    fn reserve_units(&self, units: u32) -> Option<MemoryReservation> {
        let is_reserved = self.usage.try_add(units, self.usage.limit());
        is_reserved.then(|| MemoryReservation { units, usage: self.usage.clone() })
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
        let limit = self.usage.limit();
        let has_grown = units > 0 && self.usage.try_add(units, limit - limit / GROWTH_RESERVE_DIVISOR);
        if has_grown {
            reservation.units += units;
        }
        has_grown
    }

    /// Queues a connection that waits for this many bytes, which [`MemoryBudget::next_granted`] grants.
    pub fn enqueue(&mut self, conn: ConnId, bytes: usize) {
        self.waiting.push_back((conn, self.units(bytes)));
    }

    /// Removes the connection that has waited longest from the queue and returns it with its reservation;
    /// `None` while there is not enough free memory for it.
    pub fn next_granted(&mut self) -> Option<(ConnId, MemoryReservation)> {
        let (conn, units) = *self.waiting.front()?;
        let reservation = self.reserve_units(units.min(self.usage.limit()))?;
        self.waiting.pop_front();
        Some((conn, reservation))
    }

    /// Removes a connection from the queue of connections that wait for memory.
    pub fn cancel(&mut self, conn: ConnId) {
        self.waiting.retain(|(waiting, _)| *waiting != conn);
    }
}
