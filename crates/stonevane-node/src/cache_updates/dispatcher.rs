//! The dispatcher: one task that decides which commands each cache is sent, and when an invalidation is
//! complete.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use stonevane_codec::resp;
use stonevane_core::MemoryReservation;
use stonevane_policy::Micros;
use stonevane_store::copies::{Copies, EditId, Limits};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

use super::connection::{CacheCommand, run_connection};
use super::{Command, QUEUE_CAPACITY};
use crate::clock::to_micros;

/// Tracks which caches may hold copies, and owns the connections to the caches.
pub(super) struct Dispatcher {
    /// Sender to this dispatcher, cloned for each connection's reports.
    commands: mpsc::Sender<Command>,
    caches: watch::Receiver<Vec<SocketAddr>>,
    /// Lifetime of a copy in milliseconds, as text for the commands.
    lifetime_ms: String,
    epoch: Instant,
    copies: Copies<SocketAddr>,
    /// Senders that are notified when the invalidation of an edit is complete.
    waiters: HashMap<EditId, oneshot::Sender<()>>,
    connections: HashMap<SocketAddr, mpsc::Sender<CacheCommand>>,
}

impl Dispatcher {
    /// Returns a dispatcher without copies. `lifetime` is the maximum lifetime of a copy.
    pub fn new(
        commands: mpsc::Sender<Command>,
        caches: watch::Receiver<Vec<SocketAddr>>,
        lifetime: Duration,
    ) -> Dispatcher {
        let limits = Limits { lifetime: to_micros(lifetime), ..Limits::default() };
        Dispatcher {
            commands,
            caches,
            lifetime_ms: lifetime.as_millis().to_string(),
            epoch: Instant::now(),
            copies: Copies::new(limits),
            waiters: HashMap::new(),
            connections: HashMap::new(),
        }
    }

    /// Handles commands until the node ends.
    pub async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            self.send_due_invalidations();
            self.complete_edits();
            let due = self.copies.next().map(|at| self.epoch + Duration::from_micros(at));
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                changed = self.caches.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.forget_removed_caches();
                }
                () = sleep_until_due(due) => {}
            }
        }
    }

    fn now(&self) -> Micros {
        to_micros(self.epoch.elapsed())
    }

    fn send_due_invalidations(&mut self) {
        let now = self.now();
        for invalidation in self.copies.due(now) {
            let version = invalidation.version.to_string();
            let arguments = ["OBJ.VOID", &invalidation.key, &version, &self.lifetime_ms].map(str::as_bytes);
            let command = CacheCommand {
                bytes: resp::encode_command(&arguments),
                acknowledged: Some((invalidation.key.clone(), invalidation.version)),
                _reservation: None,
            };
            self.send(invalidation.cache, command);
        }
    }

    fn complete_edits(&mut self) {
        for edit in self.copies.done() {
            if let Some(done) = self.waiters.remove(&edit) {
                let _ = done.send(());
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Fill { caches, key, version, value, reservation } => {
                let bytes = self.encode_fill(&key, version, &value);
                self.fill(caches, &bytes, reservation);
            }
            Command::Invalidate { edit, key, version, done } => {
                let caches = self.caches.borrow().clone();
                // If there is no capacity to track the edit, `done` is dropped, so that the edit's receipt
                // does not wait for an event that cannot occur.
                if self.copies.edited(self.now(), edit, &key, version, &caches) {
                    self.waiters.insert(edit, done);
                }
            }
            Command::Acknowledged { cache, key, version } => self.copies.acknowledged(cache, &key, version),
            Command::CacheEnded(cache) => self.copies.ended(cache),
            Command::Forget(edit) => {
                if self.waiters.remove(&edit).is_some() {
                    self.copies.forget(edit);
                }
            }
        }
    }

    fn encode_fill(&self, key: &str, version: u64, value: &Bytes) -> Bytes {
        let version = version.to_string();
        resp::encode_command(&[
            b"OBJ.FILL",
            key.as_bytes(),
            version.as_bytes(),
            self.lifetime_ms.as_bytes(),
            value.as_ref(),
        ])
    }

    /// Queues a fill for each cache; the caches' queues share its bytes and its reservation.
    fn fill(&mut self, caches: Vec<SocketAddr>, bytes: &Bytes, reservation: MemoryReservation) {
        let reservation = Arc::new(reservation);
        for cache in caches {
            let (bytes, reservation) = (bytes.clone(), Some(reservation.clone()));
            self.send(cache, CacheCommand { bytes, acknowledged: None, _reservation: reservation });
        }
    }

    /// Drops the connections of caches that were removed from the list, and counts their copies as gone: a
    /// removed cache receives no requests, and one that is added again is empty.
    fn forget_removed_caches(&mut self) {
        let caches = self.caches.borrow_and_update().clone();
        let is_removed = |cache: &&SocketAddr| !caches.contains(*cache);
        let removed: Vec<_> = self.connections.keys().filter(is_removed).copied().collect();
        for cache in removed {
            self.connections.remove(&cache);
            self.copies.ended(cache);
        }
    }

    /// Queues a command for a cache's connection. If the queue is full the command is dropped; an
    /// invalidation is sent again later.
    fn send(&mut self, cache: SocketAddr, command: CacheCommand) {
        let connection = self.connections.entry(cache).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(run_connection(cache, receiver, self.commands.clone()));
            sender
        });
        let _ = connection.try_send(command);
    }
}

/// Waits until the time `due`, or forever if `due` is `None`.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(at) => sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
