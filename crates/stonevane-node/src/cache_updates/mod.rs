//! Sends caches fills and invalidations, where the operator's caches take them from nodes: after a fetch the value goes to
//! the caches that missed, after an edit all caches drop older copies. `stonevane_store::copies` decides what is sent
//! again and until when.
//!
//! `OBJ.FILL KEY VERSION LIFETIME-MS VALUE` and `OBJ.VOID KEY VERSION LIFETIME-MS`, each answered by one line: a cache
//! keeps the newest version, and remembers a void for the lifetime of a copy.

mod connection;
mod dispatcher;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use stonevane_store::copies::EditId;
use tokio::sync::{mpsc, oneshot, watch};

use dispatcher::Dispatcher;

/// Commands that wait for the dispatcher, and those that wait for one cache.
const QUEUE_LENGTH: usize = 1_024;

/// What reaches the dispatcher.
enum Command {
    Fill {
        caches: Vec<SocketAddr>,
        key: String,
        version: u64,
        value: Bytes,
    },
    Invalidate {
        edit: EditId,
        key: String,
        version: u64,
        done: oneshot::Sender<()>,
    },
    /// Nobody waits for an edit's invalidation any more.
    Forget(EditId),
    /// A cache has acknowledged an invalidation.
    Acknowledged {
        cache: SocketAddr,
        key: String,
        version: u64,
    },
    /// A cache's process has ended: it refuses connections.
    CacheEnded(SocketAddr),
}

/// Sends fills and invalidations.
#[derive(Clone)]
pub struct CacheUpdater {
    commands: mpsc::Sender<Command>,
    next_edit: Arc<AtomicU64>,
}

impl CacheUpdater {
    /// Starts the dispatcher. `caches` are the caches of discovery's list; `lifetime` is the longest life of a copy.
    pub fn start(caches: watch::Receiver<Vec<SocketAddr>>, lifetime: Duration) -> CacheUpdater {
        let (commands, received) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(Dispatcher::new(commands.clone(), caches, lifetime).run(received));
        CacheUpdater { commands, next_edit: Arc::new(AtomicU64::new(1)) }
    }

    /// Sends a copy to caches that missed. Where too much waits, they go without.
    pub fn fill(&self, caches: Vec<SocketAddr>, key: String, version: u64, value: Bytes) {
        let _ = self.commands.try_send(Command::Fill { caches, key, version, value });
    }

    /// Has all caches drop copies of a key that are older than a version.
    pub async fn invalidate(&self, key: String, version: u64) -> PendingInvalidation {
        let (done, completed) = oneshot::channel();
        let edit = self.next_edit.fetch_add(1, Ordering::Relaxed);
        let _ = self.commands.send(Command::Invalidate { edit, key, version, done }).await;
        PendingInvalidation { edit, completed, commands: self.commands.clone() }
    }
}

/// An invalidation whose end somebody may wait for. Dropped, nobody does.
pub struct PendingInvalidation {
    edit: EditId,
    completed: oneshot::Receiver<()>,
    commands: mpsc::Sender<Command>,
}

impl PendingInvalidation {
    /// Waits until no cache has an older copy; `false` where that will never be known.
    pub async fn wait(mut self) -> bool {
        (&mut self.completed).await.is_ok()
    }
}

impl Drop for PendingInvalidation {
    fn drop(&mut self) {
        // Where the queue is full, the dispatcher keeps the edit until its copies have expired.
        if !self.completed.is_terminated() {
            let _ = self.commands.try_send(Command::Forget(self.edit));
        }
    }
}
