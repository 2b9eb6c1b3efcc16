//! One budget of memory for all that clients and servers can make a node hold: commands, their values, and
//! answers on their way.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The program itself, its tables and what the runtime and each connection take.
const BASE_MB: usize = 12;
/// A byte that is accounted for may cost this many: buffers grow by doubling and leave gaps behind.
const SLACK: usize = 2;
/// The unit of the account.
const UNIT: usize = 1024;

/// The budget.
#[derive(Clone)]
pub struct Memory {
    free: Arc<Semaphore>,
    units: u32,
}

/// A part of the budget, given back when dropped.
#[derive(Debug)]
pub struct Share(#[expect(dead_code, reason = "held for its drop")] OwnedSemaphorePermit);

impl Memory {
    /// The budget of a node that may have so many megabytes in all.
    pub fn new(memory_mb: usize) -> Memory {
        let units = (memory_mb.saturating_sub(BASE_MB).max(4) * 1024 * 1024 / SLACK / UNIT).min(1 << 28);
        Memory { free: Arc::new(Semaphore::new(units)), units: units as u32 }
    }

    /// The whole of it, in bytes.
    pub fn all(&self) -> usize {
        self.units as usize * UNIT
    }

    fn units(&self, bytes: usize) -> u32 {
        // More than all there is would be waited for in vain.
        bytes.div_ceil(UNIT).min(self.units as usize) as u32
    }

    /// A part for some bytes, if it is free.
    pub fn try_take(&self, bytes: usize) -> Option<Share> {
        self.free.clone().try_acquire_many_owned(self.units(bytes)).ok().map(Share)
    }

    /// A part for some bytes, once it is free.
    pub async fn wait(&self, bytes: usize) -> Share {
        match self.free.clone().acquire_many_owned(self.units(bytes)).await {
            Ok(permit) => Share(permit),
            Err(_) => std::future::pending().await, // It is never closed.
        }
    }
}
