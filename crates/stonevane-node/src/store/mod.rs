//! The store of record in place of the origin: each fetch or edit is a call to SQLite or PostgreSQL.

mod circuit_breaker;
mod counters;
mod edits;
mod fetches;
mod own_edits;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use stonevane_config::operator;
use stonevane_core::{MemoryAccount, Reply, StoreCall};
use stonevane_policy::{AttemptStatus, Micros};
use stonevane_store::{Change, Postgres, Sqlite, Store, StoreError, breaker, postgres, quick, sqlite};
use tokio::sync::watch;

use crate::cache_updates::CacheUpdater;
use crate::clock::to_micros;
use circuit_breaker::CircuitBreaker;
use counters::Counters;
use fetches::FetchTable;
use own_edits::{ChangeOrigin, OwnEdits};

/// Callback that receives the time for which calls will fail, in microseconds; 0: the store answers again.
pub type OnUnavailable = Box<dyn Fn(Micros) + Send + Sync>;

/// Store of record, shared by all calls.
pub struct OriginStore(Arc<Inner>);

struct Inner {
    store: Box<dyn Store>,
    call_timeout: Duration,
    fetches: Mutex<FetchTable>,
    breaker: CircuitBreaker,
    counters: Counters,
    own_edits: Mutex<OwnEdits>,
    on_unavailable: OnceLock<OnUnavailable>,
    /// Whether concurrent fetches of a key share a query.
    coalesces_fetches: bool,
    /// Set by `start` if the operator configures copies in caches.
    cache_updater: OnceLock<CacheUpdater>,
    copies: Option<operator::Copies>,
}

impl OriginStore {
    /// Opens the SQLite file that the operator configures, or prepares connections to the PostgreSQL server.
    ///
    /// # Errors
    /// The store cannot be opened.
    pub fn open(config: &operator::Store, seed: u64) -> Result<OriginStore, StoreError> {
        let (shortest, longest) = config.probe_delays;
        let breaker = breaker::Limits {
            failure_threshold: config.failures,
            min_open: to_micros(shortest),
            max_open: to_micros(longest),
            ..breaker::Limits::default()
        };
        Ok(OriginStore(Arc::new(Inner {
            store: open_backend(config, seed)?,
            call_timeout: config.call_timeout,
            fetches: Mutex::new(FetchTable::new()),
            breaker: CircuitBreaker::new(breaker, seed),
            counters: Counters::default(),
            own_edits: Mutex::default(),
            on_unavailable: OnceLock::new(),
            coalesces_fetches: config.coalesces_fetches,
            cache_updater: OnceLock::new(),
            copies: config.copies,
        })))
    }

    /// Returns whether caches are sent fills and invalidations.
    pub fn updates_caches(&self) -> bool {
        self.0.copies.is_some()
    }

    /// Returns whether concurrent fetches of a key share a query.
    pub fn coalesces_fetches(&self) -> bool {
        self.0.coalesces_fetches
    }

    /// Starts to follow the store's changes, if it announces them, and to send fills and invalidations to
    /// caches, if that is configured. In that case returns the channel through which the caller publishes the
    /// addresses of the caches.
    /// Copies that wait to be sent are counted in the memory budget.
    pub fn start(
        &self,
        on_unavailable: OnUnavailable,
        memory: MemoryAccount,
    ) -> Option<watch::Sender<Vec<SocketAddr>>> {
        let _ = self.0.on_unavailable.set(on_unavailable);
        if let Some(mut changes) = self.0.store.follow() {
            let inner = self.0.clone();
            tokio::spawn(async move {
                while let Some(change) = changes.recv().await {
                    inner.handle_change(change).await;
                }
            });
        }
        let copies = self.0.copies?;
        let (caches, addresses) = watch::channel(Vec::new());
        self.0.cache_updater.set(CacheUpdater::start(addresses, copies.lifetime, memory)).ok()?;
        Some(caches)
    }

    /// Carries out a fetch or an edit. Dropping the future abandons the call.
    pub async fn call(&self, call: StoreCall) -> Reply {
        if call.command.write {
            edits::edit(&self.0, call).await
        } else {
            fetches::fetch(&self.0, call).await
        }
    }

    /// Returns the counters since the start as a line for the log.
    pub fn summary(&self) -> String {
        self.0.counters.to_string()
    }
}

fn open_backend(config: &operator::Store, seed: u64) -> Result<Box<dyn Store>, StoreError> {
    match &config.place {
        operator::StoreLocation::Sqlite { file, readers, busy, inline_read_limit } => {
            let inline = inline_read_limit
                .map(|slow| quick::Limits { slow_threshold: to_micros(slow), ..quick::Limits::default() });
            let options = sqlite::Options {
                readers: *readers,
                queue: config.queue,
                busy_timeout: *busy,
                inline_reads: inline,
                ..sqlite::Options::default()
            };
            Ok(Box::new(Sqlite::open(file, &options)?))
        }
        operator::StoreLocation::Postgres { url, connections } => {
            let options = postgres::Options {
                connections: *connections,
                queue: config.queue,
                statement_timeout: config.call_timeout,
                seed,
                ..postgres::Options::default()
            };
            Ok(Box::new(Postgres::new(url, options)?))
        }
    }
}

impl Inner {
    fn fetches(&self) -> MutexGuard<'_, FetchTable> {
        self.fetches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own_edits(&self) -> MutexGuard<'_, OwnEdits> {
        self.own_edits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a change that the store announces, by an edit of this node or another.
    async fn handle_change(&self, change: Change) {
        self.counters.changes.increment();
        let origin = self.own_edits().classify(&change);
        if origin == ChangeOrigin::OwnReceipt {
            return;
        }
        self.fetches().flights.changed(&change.key);
        // An own edit without an answer was applied after all, or another edit of the key followed it: caches
        // may hold an older value.
        if origin == ChangeOrigin::OwnUnanswered {
            self.invalidate_older_copies(change.key, change.version).await;
        }
    }

    /// Handles an edit whose outcome is unknown because it had no answer. Older copies are invalidated when
    /// the store announces a change of the key, or at once if it already has.
    async fn edit_unanswered(&self, key: &str) {
        let announced = self.own_edits().record_unanswered(key);
        if let Some(version) = announced {
            self.invalidate_older_copies(key.to_owned(), version).await;
        }
    }

    async fn invalidate_older_copies(&self, key: String, version: u64) {
        self.counters.settled.increment();
        if let Some(updater) = self.cache_updater.get() {
            // No receipt waits for this invalidation.
            drop(updater.invalidate(key, version).await);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Fetch,
    Edit,
}

fn reply(status: AttemptStatus, value: Option<Bytes>) -> Reply {
    Reply { value, ..Reply::of_status(status, true) }
}

fn served(value: Bytes) -> Reply {
    reply(AttemptStatus::Served, Some(value))
}

/// Returns the reply to a failed call. It is `Rejected`, and may be retried, if the call certainly had no
/// effect and another attempt could end differently.
fn failed(error: &StoreError, kind: CallKind) -> Reply {
    let permanent = matches!(error, StoreError::Bounds(_) | StoreError::Conflict);
    let may_have_run = kind == CallKind::Edit && !error.is_certainly_not_applied();
    let status = if permanent || may_have_run { AttemptStatus::Error } else { AttemptStatus::Rejected };
    reply(status, None)
}

fn key_text(key: &Bytes) -> Result<String, StoreError> {
    String::from_utf8(key.to_vec()).map_err(|_| StoreError::Bounds("the key"))
}
