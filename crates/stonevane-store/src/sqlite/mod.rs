//! SQLite as the store of record: one file, one thread that writes, several that read.
//!
//! Edits that come together are one transaction, so that they share one flush to the disk; each is in a
//! savepoint of its own, and none has its receipt before the commit. An edit and the record of its idempotency
//! key are one transaction: a kill leaves both or neither.

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
use self::reader::{InlineReader, ReadJob, read};
use self::writer::{Batching, WriteJob, write};
use crate::contract::{Call, Change, Edit, Figures, Receipt, Store, StoreError, Zone, check_key};
use crate::quick::{self, Quick};

pub use self::file::{APPLICATION_ID, FORM, check, salvage};
/// The library beneath, for those who measure against it.
pub use rusqlite;

/// How a store is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Threads that read.
    pub readers: usize,
    /// Calls that may wait before the writer, and before the readers; more are turned away.
    pub queue: usize,
    /// Edits in one transaction, at most.
    pub batch: usize,
    /// How long the first edit of a transaction waits for others; zero: for none.
    pub batch_delay: Duration,
    /// How long to wait for another process that holds the file.
    pub busy: Duration,
    /// The largest size of the file, in pages of 4 KiB.
    pub max_pages: u32,
    /// Reads of one key are done on the caller's own thread while they are quick; `None`: never.
    pub here: Option<quick::Limits>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            readers: 2,
            queue: 1_024,
            batch: 64,
            batch_delay: Duration::ZERO,
            busy: Duration::from_millis(500),
            max_pages: 1 << 24,
            here: None,
        }
    }
}

type Answer<T> = oneshot::Sender<Result<T, StoreError>>;

/// A store in a file. Dropping it ends its threads once what waits is done.
pub struct Sqlite {
    writes: Option<SyncSender<WriteJob>>,
    reads: Option<SyncSender<ReadJob>>,
    writer: Option<JoinHandle<()>>,
    readers: Vec<JoinHandle<()>>,
    here: Option<Mutex<InlineReader>>,
    answered: AtomicU64,
    path: PathBuf,
}

fn failure(e: &rusqlite::Error) -> StoreError {
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
    /// Opens a store, made where there is none: looks at the file's head, checks it, brings it to the newest form
    /// and starts its threads.
    ///
    /// # Errors
    /// [`StoreError::Foreign`] and [`StoreError::Newer`] for files that are not touched, and what else keeps
    /// it from being opened.
    pub fn open(path: &Path, options: &Options) -> Result<Sqlite, StoreError> {
        if !is_store(path)? {
            // An empty file, as some put one there first, is no file.
            if path.metadata().is_ok_and(|file| file.len() == 0) {
                std::fs::remove_file(path).map_err(|e| StoreError::Io(e.to_string()))?;
            }
            create(path, options)?;
        }
        let mut db = connect(path, options).map_err(|e| failure(&e))?;
        check_with(&db, "quick_check")?;
        migrate(&mut db)?;
        let (writes, take) = sync_channel(options.queue.max(1));
        let mut readers = Vec::new();
        let batching = Batching { size: options.batch.max(1), delay: options.batch_delay };
        let writer = Some(std::thread::spawn(move || write(db, &take, batching)));
        let (reads, take) = sync_channel(options.queue.max(1));
        let take = Arc::new(Mutex::new(take));
        for _ in 0..options.readers.max(1) {
            let db = connect(path, options).map_err(|e| failure(&e))?;
            let take = take.clone();
            readers.push(std::thread::spawn(move || read(&db, &take)));
        }
        let here = match options.here {
            None => None,
            Some(limits) => {
                let options = Options { busy: Duration::ZERO, ..options.clone() };
                let db = connect(path, &options).map_err(|e| failure(&e))?;
                Some(Mutex::new(InlineReader { db, quick: Quick::new(limits), epoch: Instant::now() }))
            }
        };
        let (writes, reads, answered) = (Some(writes), Some(reads), AtomicU64::new(0));
        Ok(Sqlite { writes, reads, writer, readers, here, answered, path: path.into() })
    }

    /// Its file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    async fn write<T>(&self, job: impl FnOnce(Answer<T>) -> WriteJob) -> Result<T, StoreError> {
        let (answer, answered) = oneshot::channel();
        let sent = self.writes.as_ref().map(|writes| writes.try_send(job(answer)));
        queued(sent)?;
        self.count_answer(answered.await.unwrap_or(Err(StoreError::Closed)))
    }

    fn count_answer<T>(&self, answer: T) -> T {
        self.answered.fetch_add(1, Ordering::Relaxed);
        answer
    }

    async fn read<T>(&self, job: impl FnOnce(Answer<T>) -> ReadJob) -> Result<T, StoreError> {
        let (answer, answered) = oneshot::channel();
        let sent = self.reads.as_ref().map(|reads| reads.try_send(job(answer)));
        queued(sent)?;
        self.count_answer(answered.await.unwrap_or(Err(StoreError::Closed)))
    }

    /// What the store holds for a key.
    ///
    /// # Errors
    /// [`StoreError`]; [`StoreError::Busy`] at once where too many wait already.
    pub async fn get(&self, key: &str) -> Result<Option<Zone>, StoreError> {
        check_key(key)?;
        // Held by another caller, it is no use to wait for.
        let here = self.here.as_ref().and_then(|here| here.try_lock().ok()?.get(key));
        match here {
            Some(read) => self.count_answer(read),
            None => self.read(|answer| ReadJob::Get(key.into(), answer)).await,
        }
    }

    /// Carries an edit out, once for its idempotency key; the receipt comes after the commit.
    ///
    /// # Errors
    /// [`StoreError`]; [`StoreError::proves_not_done`] tells whether the edit may be sent again.
    pub async fn edit(&self, edit: Edit) -> Result<Receipt, StoreError> {
        edit.check()?;
        self.write(|answer| WriteJob::Edit(edit, answer)).await
    }

    /// What changed after a version, the oldest first, so many at the most.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn changes(&self, after: u64, most: usize) -> Result<Vec<Change>, StoreError> {
        self.read(|answer| ReadJob::Changes(after, most, answer)).await
    }

    /// Zones whose keys come after one, in the order of keys.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn page(&self, after: &str, most: usize) -> Result<Vec<Zone>, StoreError> {
        self.read(|answer| ReadJob::Page(after.into(), most, answer)).await
    }

    /// How many lines of a source have been imported.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn imported(&self, source: &str) -> Result<u64, StoreError> {
        self.read(|answer| ReadJob::Imported(source.into(), answer)).await
    }

    /// Imports zones, and notes in the same transaction how many lines of their source are done with them.
    ///
    /// # Errors
    /// [`StoreError`]; then none of them is there.
    pub async fn import(
        &self,
        source: &str,
        lines: u64,
        zones: Vec<(String, Vec<u8>)>,
    ) -> Result<(), StoreError> {
        for (key, value) in &zones {
            Edit { key: key.clone(), value: Vec::new(), token: None, remember_ms: 0 }.check()?;
            if value.len() > crate::contract::MAX_VALUE {
                return Err(StoreError::Bounds("the value"));
            }
        }
        self.write(|answer| WriteJob::Import(source.into(), lines, zones, answer)).await
    }
}

impl Store for Sqlite {
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Zone>> {
        Box::pin(Sqlite::get(self, key))
    }

    fn edit(&self, edit: Edit) -> Call<'_, Receipt> {
        Box::pin(Sqlite::edit(self, edit))
    }

    fn changes(&self, after: u64, most: usize) -> Call<'_, Vec<Change>> {
        Box::pin(Sqlite::changes(self, after, most))
    }

    fn figures(&self) -> Call<'_, Figures> {
        Box::pin(self.read(ReadJob::Figures))
    }

    fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

impl Drop for Sqlite {
    fn drop(&mut self) {
        // The writer's connection is the last to close, alone: only so it surely moves the log into the file.
        // Of connections that close together each can find the others still there, and none does it.
        (self.reads, self.here) = (None, None);
        for reader in self.readers.drain(..) {
            let _ = reader.join();
        }
        self.writes = None;
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}

/// Whether a call got into its queue.
#[expect(clippy::needless_pass_by_value, reason = "an unsent call ends here")]
fn queued<T>(sent: Option<Result<(), TrySendError<T>>>) -> Result<(), StoreError> {
    match sent {
        Some(Ok(())) => Ok(()),
        Some(Err(TrySendError::Full(_))) => Err(StoreError::Busy),
        // It was not handed over: nothing was done, but nothing more will be either.
        Some(Err(TrySendError::Disconnected(_))) | None => Err(StoreError::Closed),
    }
}
