//! Sends fills and invalidations to caches that accept them from nodes. After a fetch the value is sent to
//! the caches that missed; after an edit all caches drop older copies. `stonevane_store::copies` decides
//! which invalidations are sent again, and until when.
//!
//! The commands are `OBJ.FILL KEY VERSION LIFETIME-MS VALUE` and `OBJ.VOID KEY VERSION LIFETIME-MS`, each
//! answered by one line. A cache keeps the newest version, and remembers an invalidation for the lifetime of
//! a copy.

mod connection;
mod dispatcher;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use stonevane_core::{MemoryAccount, MemoryReservation};
use stonevane_store::copies::EditId;
use tokio::sync::{mpsc, oneshot, watch};

use dispatcher::Dispatcher;

/// Capacity of the dispatcher's command queue, and of each cache's command queue, in commands.
const QUEUE_CAPACITY: usize = 1_024;

/// Number of copies of a value that a fill keeps: the value and the encoded command.
const VALUE_COPIES: usize = 2;

/// Command or report to the dispatcher.
enum Command {
    Fill {
        caches: Vec<SocketAddr>,
        key: String,
        version: u64,
        value: Bytes,
        /// Memory of the value and of the encoded command, until the last cache was sent it.
        reservation: MemoryReservation,
    },
    Invalidate {
        edit: EditId,
        key: String,
        version: u64,
        done: oneshot::Sender<()>,
    },
    /// No task waits for an edit's invalidation any more.
    Forget(EditId),
    /// A cache has acknowledged an invalidation.
    Acknowledged {
        cache: SocketAddr,
        key: String,
        version: u64,
    },
    /// A cache's process has ended: it refuses connections, and its copies are gone.
    CacheEnded(SocketAddr),
}

/// Handle that sends fills and invalidations through the dispatcher.
#[derive(Clone)]
pub struct CacheUpdater {
    commands: mpsc::Sender<Command>,
    next_edit: Arc<AtomicU64>,
    memory: MemoryAccount,
}

impl CacheUpdater {
    /// Starts the dispatcher. `caches` holds the addresses of the cache servers in discovery's list;
    /// `lifetime` is the maximum lifetime of a copy.
    /// Copies that wait to be sent are counted in the memory budget.
    pub fn start(
        caches: watch::Receiver<Vec<SocketAddr>>,
        lifetime: Duration,
        memory: MemoryAccount,
    ) -> CacheUpdater {
        let (commands, received) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(Dispatcher::new(commands.clone(), caches, lifetime).run(received));
        CacheUpdater { commands, next_edit: Arc::new(AtomicU64::new(1)), memory }
    }

    /// Sends a copy to caches that missed. If the queue or the memory budget is full, the copy is not sent.
    pub fn fill(&self, caches: Vec<SocketAddr>, key: String, version: u64, value: Bytes) {
        let Some(reservation) = self.memory.try_reserve(VALUE_COPIES * value.len()) else { return };
        let _ = self.commands.try_send(Command::Fill { caches, key, version, value, reservation });
    }

    /// Makes all caches drop copies of a key that are older than a version.
    pub async fn invalidate(&self, key: String, version: u64) -> PendingInvalidation {
        let (done, completed) = oneshot::channel();
        let edit = self.next_edit.fetch_add(1, Ordering::Relaxed);
        let _ = self.commands.send(Command::Invalidate { edit, key, version, done }).await;
        PendingInvalidation { edit, completed, commands: self.commands.clone() }
    }
}

/// Invalidation whose completion can be awaited. Dropping it only gives up the wait: the caches are still
/// sent the invalidation.
pub struct PendingInvalidation {
    edit: EditId,
    completed: oneshot::Receiver<()>,
    commands: mpsc::Sender<Command>,
}

impl PendingInvalidation {
    /// Waits until no cache has an older copy. Returns `false` if that cannot be determined, because the
    /// dispatcher did not track the edit or has ended.
    pub async fn wait(mut self) -> bool {
        (&mut self.completed).await.is_ok()
    }
}

impl Drop for PendingInvalidation {
    fn drop(&mut self) {
        // If the queue is full, the dispatcher tracks the edit until its copies have expired.
        if !self.completed.is_terminated() {
            let _ = self.commands.try_send(Command::Forget(self.edit));
        }
    }
}

#[cfg(test)]
mod tests;
