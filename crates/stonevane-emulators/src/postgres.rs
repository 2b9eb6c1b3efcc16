//! An emulator of PostgreSQL for the statements of a store of record. It speaks the published wire protocol,
//! version 3 (PostgreSQL, "Frontend/Backend Protocol"), on loopback, keeps its data in a SQLite file, and
//! injects scripted faults.
//!
//! Transactions run one after another, which is stricter than READ COMMITTED. A read outside a transaction
//! sees committed data only. Parameter types come from casts (`$1::bigint`), column types from the schema.

mod database;
mod error;
mod execute;
mod fault;
mod listener;
mod message;
mod session;
mod statement;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use rusqlite::Connection;
use rusqlite::types::Value;
use tokio::net::TcpListener;
use tokio::sync::{Mutex as AsyncMutex, Notify, broadcast, watch};

use stonevane_audit::{Event, HistoryRecord, TimeInterval};

use self::database::Database;
use self::message::BackendKey;
use crate::record::{MonotonicClock, Recorder};
use crate::server::lock;

pub use self::fault::PgFault;

/// Number of notifications that are queued for a slow session; beyond it the session loses the oldest.
const NOTIFICATION_BACKLOG: usize = 1_024;

/// Event counts of a PostgreSQL emulator since it was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections accepted.
    pub connections: u64,
    /// Statements run, except SET, LISTEN, BEGIN, COMMIT and ROLLBACK.
    pub statements: u64,
    /// SELECT statements on the table `zones`.
    pub reads: u64,
    /// Transactions committed.
    pub commits: u64,
    /// Cancel requests received.
    pub cancels: u64,
}

#[derive(Default)]
struct Counters {
    connections: AtomicU64,
    statements: AtomicU64,
    reads: AtomicU64,
    commits: AtomicU64,
    cancels: AtomicU64,
}

/// A callback after each commit, in commit order. It gets the data and the start of the commit, in
/// microseconds of the monotonic clock.
type CommitObserver = Box<dyn Fn(&Connection, u64) + Send + Sync>;

/// An emulated PostgreSQL server. Its files are removed when it is dropped.
pub struct Postgres {
    commit_observer: OnceLock<CommitObserver>,
    folder: PathBuf,
    database: Mutex<Database>,
    /// Held by the session with the open transaction.
    transaction_lock: Arc<AsyncMutex<()>>,
    fault: watch::Sender<PgFault>,
    counters: Counters,
    cancel_signals: Mutex<HashMap<BackendKey, Arc<Notify>>>,
    next_session: AtomicI32,
    notifications: broadcast::Sender<String>,
    /// Notifications of the open transaction, sent when it commits.
    pending_notifications: Arc<Mutex<Vec<String>>>,
    address: SocketAddr,
}

impl Drop for Postgres {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Postgres {
    /// Starts a server with empty data on a free port of `ip`.
    ///
    /// # Errors
    /// Fails if no port is free or a file can't be created.
    pub async fn start(ip: IpAddr) -> std::io::Result<Arc<Postgres>> {
        static SERVERS: AtomicU64 = AtomicU64::new(0);
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let number = SERVERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("stonevane-pg-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let pending_notifications = Arc::default();
        let database =
            Database::open(&folder.join("main.db"), &pending_notifications).map_err(std::io::Error::other)?;
        let server = Arc::new(Postgres {
            commit_observer: OnceLock::new(),
            folder,
            database: Mutex::new(database),
            transaction_lock: Arc::default(),
            fault: watch::Sender::new(PgFault::None),
            counters: Counters::default(),
            cancel_signals: Mutex::default(),
            next_session: AtomicI32::new(1),
            notifications: broadcast::Sender::new(NOTIFICATION_BACKLOG),
            pending_notifications,
            address,
        });
        tokio::spawn(listener::run(server.clone(), Some(listener)));
        Ok(server)
    }

    /// Returns the connection URL for clients.
    pub fn url(&self) -> String {
        format!("postgres://stonevane@{}/zones", self.address)
    }

    /// Injects a fault, or clears it with [`PgFault::None`].
    pub fn set_fault(&self, fault: PgFault) {
        self.fault.send_replace(fault);
    }

    /// Returns the event counts so far.
    pub fn counts(&self) -> Counts {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.counters;
        Counts {
            connections: count(&counters.connections),
            statements: count(&counters.statements),
            reads: count(&counters.reads),
            commits: count(&counters.commits),
            cancels: count(&counters.cancels),
        }
    }

    /// Records each zone version that is committed from now on.
    pub fn record(&self, recorder: Recorder) {
        let newest = AtomicI64::new(0);
        let _ = self.commit_observer.set(Box::new(move |connection, commit_begun| {
            let Ok(lines) = committed_versions(connection, &newest, commit_begun) else { return };
            for line in lines {
                recorder.record(line);
            }
        }));
    }

    /// Copies the committed data for a later [`Postgres::fail_over`].
    ///
    /// # Errors
    /// Fails if SQLite can't write the copy.
    pub fn copy(&self) -> rusqlite::Result<()> {
        let copy = self.folder.join("copy.db");
        let _ = std::fs::remove_file(&copy);
        lock(&self.database).reader.execute("VACUUM INTO ?1", [copy.display().to_string()]).map(drop)
    }

    /// Replaces the data with the copy, as in a failover to an asynchronous standby: all sessions are reset,
    /// and commits since the copy are lost. Connections are refused until the fault is cleared.
    ///
    /// # Errors
    /// Fails if SQLite can't open the copy.
    pub fn fail_over(&self) -> rusqlite::Result<()> {
        self.set_fault(PgFault::Refuse);
        *lock(&self.database) = Database::open(&self.folder.join("copy.db"), &self.pending_notifications)?;
        Ok(())
    }

    /// Runs a query on the committed data and returns the first column of each row.
    ///
    /// # Errors
    /// Fails if SQLite rejects the query.
    pub fn query_column(&self, query: &str) -> rusqlite::Result<Vec<Value>> {
        let database = lock(&self.database);
        let mut statement = database.reader.prepare(query)?;
        statement.query_map([], |row| row.get(0))?.collect()
    }
}

/// Returns the history lines of all zone versions above `newest`, and raises `newest` to the last of them.
fn committed_versions(
    connection: &Connection,
    newest: &AtomicI64,
    commit_begun: u64,
) -> rusqlite::Result<Vec<HistoryRecord>> {
    let query = "SELECT z.key, z.value, z.version, COALESCE(e.token, '') FROM zones z \
                 LEFT JOIN edits e ON e.version = z.version WHERE z.version > ?1 ORDER BY z.version";
    let mut statement = connection.prepare_cached(query)?;
    let line = |row: &rusqlite::Row<'_>| -> rusqlite::Result<HistoryRecord> {
        let (value, version): (Vec<u8>, i64) = (row.get(1)?, row.get(2)?);
        newest.fetch_max(version, Ordering::Relaxed);
        let value = String::from_utf8_lossy(&value).split(' ').next().unwrap_or_default().to_owned();
        Ok(HistoryRecord {
            time: TimeInterval { earliest: commit_begun, latest: MonotonicClock::now() },
            recorder: "store".into(),
            event: Event::Committed,
            key: row.get(0)?,
            idempotency_key: row.get(3)?,
            value,
            version: version.max(0) as u64,
            ..HistoryRecord::default()
        })
    };
    let lines = statement.query_map([newest.load(Ordering::Relaxed)], line)?;
    Ok(lines.flatten().collect())
}
