//! SQLite as the store of record: one file, one writer thread, and several reader threads.
//!
//! Edits that are queued together share one transaction, and so one flush to the disk. Each has a savepoint
//! of its own, and no receipt is sent before the commit. An edit and the record of its idempotency key are in
//! one transaction, so a kill leaves both or neither.

mod file;
mod reader;
mod writer;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rusqlite::ErrorCode;
use tokio::sync::oneshot;

use self::file::{check_with, connect, create, is_store, migrate};
use self::reader::{InlineReader, ReadJob, run_reader};
use self::writer::{Batching, WriteJob, run_writer};
use crate::contract::{Change, Edit, Receipt, Store, StoreError, StoreFuture, StoreStats, Zone, check_key};
use crate::quick::{self, InlineReadPolicy};

pub use self::file::{APPLICATION_ID, SCHEMA_VERSION, check, salvage};
/// The underlying library, for benchmarks that compare with it.
pub use rusqlite;

/// Settings of a store in a file: threads, queues, batching and waits.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of reader threads, at least 1.
    pub readers: usize,
    /// The most calls in the writer's queue, and in the readers' queue; further calls are rejected.
    pub queue: usize,
    /// The most edits in one transaction.
    pub batch: usize,
    /// Time for which the first edit of a transaction waits for others. Zero: only edits already queued share
    /// it.
    pub batch_delay: Duration,
    /// Time for which a call waits while another process locks the file.
    pub busy_timeout: Duration,
    /// The largest size of the file, in pages (by default 4 KiB each).
    pub max_pages: u32,
    /// Limits for reads of one key on the caller's own thread; `None`: all reads run on the reader threads.
    pub inline_reads: Option<quick::Limits>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            readers: 2,
            queue: 1_024,
            batch: 64,
            batch_delay: Duration::ZERO,
            busy_timeout: Duration::from_millis(500),
            max_pages: 1 << 24,
            inline_reads: None,
        }
    }
}

type ReplySender<T> = oneshot::Sender<Result<T, StoreError>>;

/// A store in a file. Dropping it finishes the queued calls and ends its threads.
pub struct Sqlite {
    write_queue: Option<SyncSender<WriteJob>>,
    read_queue: Option<SyncSender<ReadJob>>,
    writer: Option<JoinHandle<()>>,
    readers: Vec<JoinHandle<()>>,
    inline_reader: Option<Mutex<InlineReader>>,
    answered: AtomicU64,
    path: PathBuf,
}

fn store_error(e: &rusqlite::Error) -> StoreError {
    match e {
        rusqlite::Error::SqliteFailure(code, _) => match code.code {
            ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked => StoreError::Busy,
            ErrorCode::DiskFull => StoreError::Full,
            ErrorCode::DatabaseCorrupt => StoreError::Corrupt(e.to_string()),
            ErrorCode::NotADatabase => StoreError::Foreign,
            _ => StoreError::Io(e.to_string()),
        },
        _ => StoreError::Io(e.to_string()),
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Sqlite {
    /// Opens a store, or creates it where the file is missing or empty. Checks the header and the contents,
    /// migrates the schema to the newest version, and starts the threads.
    ///
    /// # Errors
    /// [`StoreError::Foreign`] and [`StoreError::Newer`] for files that are not modified,
    /// [`StoreError::Corrupt`] for damaged ones, and the errors of the system.
    pub fn open(path: &Path, options: &Options) -> Result<Sqlite, StoreError> {
        if !is_store(path)? {
            // An empty file, as `touch` creates one, is replaced.
            if path.metadata().is_ok_and(|file| file.len() == 0) {
                std::fs::remove_file(path).map_err(|e| StoreError::Io(e.to_string()))?;
            }
            create(path, options)?;
        }
        let mut db = connect(path, options).map_err(|e| store_error(&e))?;
        check_with(&db, "quick_check")?;
        migrate(&mut db)?;
        let (write_queue, jobs) = sync_channel(options.queue.max(1));
        let mut readers = Vec::new();
        let batching = Batching { size: options.batch.max(1), delay: options.batch_delay };
        let writer = Some(std::thread::spawn(move || run_writer(db, &jobs, batching)));
        let (read_queue, jobs) = sync_channel(options.queue.max(1));
        let jobs = Arc::new(Mutex::new(jobs));
        for _ in 0..options.readers.max(1) {
            let db = connect(path, options).map_err(|e| store_error(&e))?;
            let jobs = jobs.clone();
            readers.push(std::thread::spawn(move || run_reader(&db, &jobs)));
        }
        let inline_reader = match options.inline_reads {
            None => None,
            Some(limits) => {
                let options = Options { busy_timeout: Duration::ZERO, ..options.clone() };
                let db = connect(path, &options).map_err(|e| store_error(&e))?;
                Some(Mutex::new(InlineReader {
                    db,
                    policy: InlineReadPolicy::new(limits),
                    epoch: Instant::now(),
                }))
            }
        };
        let (write_queue, read_queue, answered) = (Some(write_queue), Some(read_queue), AtomicU64::new(0));
        Ok(Sqlite { write_queue, read_queue, writer, readers, inline_reader, answered, path: path.into() })
    }

    /// Path of the file, as passed to [`Sqlite::open`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    async fn write<T>(&self, job: impl FnOnce(ReplySender<T>) -> WriteJob) -> Result<T, StoreError> {
        let (reply, received) = oneshot::channel();
        let sent = self.write_queue.as_ref().map(|queue| queue.try_send(job(reply)));
        check_queued(sent)?;
        self.count_answer(received.await.unwrap_or(Err(StoreError::Closed)))
    }

    fn count_answer<T>(&self, answer: T) -> T {
        self.answered.fetch_add(1, Ordering::Relaxed);
        answer
    }

    async fn read<T>(&self, job: impl FnOnce(ReplySender<T>) -> ReadJob) -> Result<T, StoreError> {
        let (reply, received) = oneshot::channel();
        let sent = self.read_queue.as_ref().map(|queue| queue.try_send(job(reply)));
        check_queued(sent)?;
        self.count_answer(received.await.unwrap_or(Err(StoreError::Closed)))
    }

    /// Reads the zone of a key; `None` where the store has no such key.
    ///
    /// # Errors
    /// [`StoreError`]; [`StoreError::Busy`] at once where the queue is full.
    pub async fn get(&self, key: &str) -> Result<Option<Zone>, StoreError> {
        check_key(key)?;
        // While another caller uses the inline reader, a reader thread is faster than waiting for it.
        let inline = self.inline_reader.as_ref().and_then(|reader| reader.try_lock().ok()?.get(key));
        match inline {
            Some(read) => self.count_answer(read),
            None => self.read(|reply| ReadJob::Get(key.into(), reply)).await,
        }
    }

    /// Applies an edit, once per idempotency key. The receipt is returned after the commit.
    ///
    /// # Errors
    /// [`StoreError`]; [`StoreError::is_certainly_not_applied`] states whether the edit may be sent again.
    pub async fn edit(&self, edit: Edit) -> Result<Receipt, StoreError> {
        edit.check()?;
        self.write(|reply| WriteJob::Edit(edit, reply)).await
    }

    /// Reads at most `limit` keys that changed after version `after`, oldest change first.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn changes(&self, after: u64, limit: usize) -> Result<Vec<Change>, StoreError> {
        self.read(|reply| ReadJob::Changes(after, limit, reply)).await
    }

    /// Reads at most `limit` zones whose keys follow `after`, in the order of keys.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn page(&self, after: &str, limit: usize) -> Result<Vec<Zone>, StoreError> {
        self.read(|reply| ReadJob::Page(after.into(), limit, reply)).await
    }

    /// Number of lines of a source that have been imported.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn imported(&self, source: &str) -> Result<u64, StoreError> {
        self.read(|reply| ReadJob::Imported(source.into(), reply)).await
    }

    /// Imports zones. The same transaction records `lines`, the number of lines of the source that are
    /// imported so far, these zones included.
    ///
    /// # Errors
    /// [`StoreError`]; [`StoreError::is_certainly_not_applied`] states whether certainly none of the zones
    /// was imported.
    pub async fn import(
        &self,
        source: &str,
        lines: u64,
        zones: Vec<(String, Vec<u8>)>,
    ) -> Result<(), StoreError> {
        for (key, value) in &zones {
            Edit { key: key.clone(), value: Vec::new(), token: None, remember_ms: 0 }.check()?;
            if value.len() > crate::contract::MAX_VALUE_BYTES {
                return Err(StoreError::Bounds("the value"));
            }
        }
        self.write(|reply| WriteJob::Import(source.into(), lines, zones, reply)).await
    }
}

impl Store for Sqlite {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Zone>> {
        Box::pin(Sqlite::get(self, key))
    }

    fn edit(&self, edit: Edit) -> StoreFuture<'_, Receipt> {
        Box::pin(Sqlite::edit(self, edit))
    }

    fn changes(&self, after: u64, limit: usize) -> StoreFuture<'_, Vec<Change>> {
        Box::pin(Sqlite::changes(self, after, limit))
    }

    fn stats(&self) -> StoreFuture<'_, StoreStats> {
        Box::pin(self.read(ReadJob::Stats))
    }

    fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

impl Drop for Sqlite {
    fn drop(&mut self) {
        // The last connection to close moves the write-ahead log into the file. If several closed at once,
        // each could find another one open, and none would move it. So the writer's connection closes last,
        // alone.
        (self.read_queue, self.inline_reader) = (None, None);
        for reader in self.readers.drain(..) {
            let _ = reader.join();
        }
        self.write_queue = None;
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

/// Converts the result of sending a job to a queue.
#[expect(clippy::needless_pass_by_value, reason = "drops an unsent job")]
fn check_queued<T>(sent: Option<Result<(), TrySendError<T>>>) -> Result<(), StoreError> {
    match sent {
        Some(Ok(())) => Ok(()),
        Some(Err(TrySendError::Full(_))) => Err(StoreError::Busy),
        // The job was not accepted, so nothing was done; the store is closed for later calls too.
        Some(Err(TrySendError::Disconnected(_))) | None => Err(StoreError::Closed),
    }
}
