//! The dispatcher: one task that decides which cache is sent what, and when an invalidation is complete.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use stonevane_codec::resp;
use stonevane_policy::Micros;
use stonevane_store::copies::{Copies, EditId, Limits};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

use super::connection::{CacheCommand, run_connection};
use super::{Command, QUEUE_LENGTH};
use crate::clock::to_micros;

/// Keeps track of copies, and of the connection to each cache.
pub(super) struct Dispatcher {
    /// For the connections, which report back.
    commands: mpsc::Sender<Command>,
    caches: watch::Receiver<Vec<SocketAddr>>,
    /// The longest life of a copy, as the commands state it.
    lifetime_ms: String,
    epoch: Instant,
    copies: Copies<SocketAddr>,
    /// Those who wait for the end of an edit's invalidation.
    waiting: HashMap<EditId, oneshot::Sender<()>>,
    connections: HashMap<SocketAddr, mpsc::Sender<CacheCommand>>,
}

impl Dispatcher {
    /// A dispatcher without copies.
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
            waiting: HashMap::new(),
            connections: HashMap::new(),
        }
    }

    /// Follows commands until the node ends.
    pub async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            self.send_due_invalidations();
            self.complete_edits();
            let due = self.copies.next().map(|at| self.epoch + Duration::from_micros(at));
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.follow(command),
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
        for void in self.copies.due(now) {
            let version = void.version.to_string();
            let words = ["OBJ.VOID", &void.key, &version, &self.lifetime_ms].map(str::as_bytes);
            let command = CacheCommand {
                bytes: resp::command(&words),
                acknowledged: Some((void.key.clone(), void.version)),
            };
            self.send(void.cache, command);
        }
    }

    fn complete_edits(&mut self) {
        for edit in self.copies.done() {
            if let Some(done) = self.waiting.remove(&edit) {
                let _ = done.send(());
            }
        }
    }

    fn follow(&mut self, command: Command) {
        match command {
            Command::Fill { caches, key, version, value } => self.fill(caches, &key, version, &value),
            Command::Invalidate { edit, key, version, done } => {
                let caches = self.caches.borrow().clone();
                // Without capacity for the edit, `done` is dropped: its receipt waits for nothing that could come.
                if self.copies.edited(self.now(), edit, &key, version, &caches) {
                    self.waiting.insert(edit, done);
                }
            }
            Command::Acknowledged { cache, key, version } => self.copies.acknowledged(cache, &key, version),
            Command::CacheEnded(cache) => self.copies.ended(cache),
            Command::Forget(edit) => {
                if self.waiting.remove(&edit).is_some() {
                    self.copies.forget(edit);
                }
            }
        }
    }

    fn fill(&mut self, caches: Vec<SocketAddr>, key: &str, version: u64, value: &Bytes) {
        let version = version.to_string();
        let words =
            [b"OBJ.FILL", key.as_bytes(), version.as_bytes(), self.lifetime_ms.as_bytes(), value.as_ref()];
        let bytes = resp::command(&words);
        for cache in caches {
            self.send(cache, CacheCommand { bytes: bytes.clone(), acknowledged: None });
        }
    }

    /// No request goes to a cache that was removed, and one that comes back is empty.
    fn forget_removed_caches(&mut self) {
        let caches = self.caches.borrow_and_update().clone();
        let is_removed = |cache: &&SocketAddr| !caches.contains(*cache);
        let removed: Vec<_> = self.connections.keys().filter(is_removed).copied().collect();
        for cache in removed {
            self.connections.remove(&cache);
            self.copies.ended(cache);
        }
    }

    /// Hands a command to a cache's connection. Where too much waits there it is dropped; an invalidation is sent again.
    fn send(&mut self, cache: SocketAddr, command: CacheCommand) {
        let connection = self.connections.entry(cache).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(run_connection(cache, receiver, self.commands.clone()));
            sender
        });
        let _ = connection.try_send(command);
    }
}

/// Waits for a time, without end where there is none.
async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(at) => sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
