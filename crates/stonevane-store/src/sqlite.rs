//! SQLite as the store of record: one file, one thread that writes, several that read.
//!
//! Edits that come together are one transaction, so that they share one flush to the disk; each is in a
//! savepoint of its own, and none has its receipt before the commit. An edit and the record of its idempotency
//! key are one transaction: a kill leaves both or neither.

use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rusqlite::{Connection, ErrorCode, OptionalExtension, TransactionBehavior, params};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::contract::{Call, Change, Edit, Figures, Receipt, Store, StoreError, Zone, check_key};
use crate::quick::{self, Quick};

/// The library beneath, for those who measure against it.
pub use rusqlite;

/// Marks a file as a store of this program (SQLite's `application_id`): "SVNE".
pub const APPLICATION_ID: u32 = 0x5356_4e45;

/// The forms of the file, each from the one before it; there is no way back.
const MIGRATIONS: [&str; 2] = [
    "CREATE TABLE counter (id INTEGER PRIMARY KEY CHECK (id = 1), version INTEGER NOT NULL) STRICT;
     INSERT INTO counter VALUES (1, 0);
     CREATE TABLE zones (key TEXT PRIMARY KEY, value BLOB NOT NULL, version INTEGER NOT NULL,
       edited_at INTEGER NOT NULL) STRICT, WITHOUT ROWID;
     CREATE TABLE edits (token TEXT PRIMARY KEY, key TEXT NOT NULL, digest INTEGER NOT NULL,
       version INTEGER NOT NULL, expires INTEGER NOT NULL) STRICT, WITHOUT ROWID;",
    "CREATE INDEX zones_by_version ON zones (version);
     CREATE INDEX edits_by_expiry ON edits (expires);
     CREATE TABLE imports (source TEXT PRIMARY KEY, lines INTEGER NOT NULL) STRICT, WITHOUT ROWID;",
];

/// The newest form.
pub const FORM: u32 = MIGRATIONS.len() as u32;

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

enum Write {
    Edit(Edit, Answer<Receipt>),
    /// Lines of an import: the source, how many of its lines are done with these, and the zones.
    Import(String, u64, Vec<(String, Vec<u8>)>, Answer<()>),
}

impl Write {
    fn failed(self, e: &StoreError) -> Done {
        match self {
            Write::Edit(_, answer) => Done::Edit(answer, Err(e.clone())),
            Write::Import(_, _, _, answer) => Done::Import(answer, Err(e.clone())),
        }
    }
}

enum Ask {
    Get(String, Answer<Option<Zone>>),
    Changes(u64, usize, Answer<Vec<Change>>),
    Page(String, usize, Answer<Vec<Zone>>),
    Imported(String, Answer<u64>),
    Figures(Answer<Figures>),
}

/// The connection on which a caller reads by itself, and how such reads went.
struct Here {
    db: Connection,
    quick: Quick,
    epoch: Instant,
}

impl Here {
    /// Reads a key, where reads are quick. `None` where it is a thread's to read: also where another process holds the
    /// file, since a thread waits for it and the caller does not.
    fn get(&mut self, key: &str) -> Option<Result<Option<Zone>, StoreError>> {
        let begun = self.epoch.elapsed().as_micros() as u64;
        if !self.quick.may(begun) {
            return None;
        }
        let read = get(&self.db, key).map_err(|e| failure(&e));
        let now = self.epoch.elapsed().as_micros() as u64;
        self.quick.took(now, now - begun);
        (read != Err(StoreError::Busy)).then_some(read)
    }
}

/// A store in a file. Dropping it ends its threads once what waits is done.
pub struct Sqlite {
    writes: Option<SyncSender<Write>>,
    asks: Option<SyncSender<Ask>>,
    writer: Option<JoinHandle<()>>,
    readers: Vec<JoinHandle<()>>,
    here: Option<Mutex<Here>>,
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

/// Looks at a file's head without opening it as a database, so that a file that is refused is not touched
/// (SQLite's file format, 1.3: `user_version` at 60, `application_id` at 68). `true` where it is a store.
fn look(path: &Path) -> Result<bool, StoreError> {
    let mut head = Vec::new();
    match File::open(path) {
        Ok(file) => file.take(100).read_to_end(&mut head).map_err(|e| StoreError::Io(e.to_string()))?,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(false),
        Err(e) => return Err(StoreError::Io(e.to_string())),
    };
    if head.is_empty() {
        return Ok(false);
    }
    let number = |at: usize| head.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
    if !head.starts_with(b"SQLite format 3\0") || number(68) != Some(APPLICATION_ID) {
        return Err(StoreError::Foreign);
    }
    match number(60) {
        Some(found) if found > FORM => Err(StoreError::Newer { found, known: FORM }),
        _ => Ok(true),
    }
}

/// Makes a store under another name, and gives it its own when it is whole: a kill leaves no file or a store, and
/// the mark of the form is in the file itself, not in a log beside it.
fn make(path: &Path, options: &Options) -> Result<(), StoreError> {
    let io = |e: std::io::Error| match e.kind() {
        std::io::ErrorKind::StorageFull => StoreError::Full,
        _ => StoreError::Io(e.to_string()),
    };
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".new-{}", std::process::id()));
    let new = PathBuf::from(name);
    let _ = std::fs::remove_file(&new);
    let made = (|| {
        let mut db = Connection::open(&new).map_err(|e| failure(&e))?;
        db.pragma_update(None, "max_page_count", options.max_pages).map_err(|e| failure(&e))?;
        migrate(&mut db)?;
        drop(db);
        File::open(&new).and_then(|file| file.sync_all()).map_err(io)?;
        match std::fs::hard_link(&new, path) {
            // Another process has made it meanwhile.
            Err(e) if e.kind() == std::io::ErrorKind::AlreadyExists => return Ok(()),
            linked => linked.map_err(io)?,
        }
        // Its name too is there after a power cut.
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new("."))).and_then(|folder| folder.sync_all()).map_err(io)
    })();
    let _ = std::fs::remove_file(&new);
    made
}

fn connect(path: &Path, options: &Options) -> Result<Connection, rusqlite::Error> {
    let db = Connection::open(path)?;
    db.busy_timeout(options.busy)?;
    db.pragma_update(None, "journal_mode", "WAL")?;
    db.pragma_update(None, "synchronous", "FULL")?;
    db.pragma_update(None, "max_page_count", options.max_pages)?;
    Ok(db)
}

/// Brings a file to the newest form, in one transaction.
fn migrate(db: &mut Connection) -> Result<(), StoreError> {
    let tx = db.transaction_with_behavior(TransactionBehavior::Immediate).map_err(|e| failure(&e))?;
    let found: u32 =
        tx.pragma_query_value(None, "user_version", |row| row.get(0)).map_err(|e| failure(&e))?;
    if found > FORM {
        return Err(StoreError::Newer { found, known: FORM });
    }
    if found == FORM {
        return Ok(());
    }
    for step in &MIGRATIONS[found as usize..] {
        tx.execute_batch(step).map_err(|e| failure(&e))?;
    }
    let mark = |tx: &rusqlite::Transaction<'_>| {
        tx.pragma_update(None, "application_id", APPLICATION_ID)?;
        tx.pragma_update(None, "user_version", FORM)
    };
    mark(&tx).map_err(|e| failure(&e))?;
    tx.commit().map_err(|e| failure(&e))?;
    // Into the file itself, where the next start looks for its form.
    db.query_row("PRAGMA wal_checkpoint(TRUNCATE)", [], |_| Ok(())).map_err(|e| failure(&e))
}

/// Whether SQLite's own check finds nothing; else the first fault, and how many more there are.
fn sound(db: &Connection, check: &str) -> Result<(), StoreError> {
    let mut faults: Vec<String> = Vec::new();
    let read = db.pragma_query(None, check, |row| {
        let said: String = row.get(0)?;
        faults.extend(said.lines().filter(|line| !line.starts_with("***")).map(str::to_owned));
        Ok(())
    });
    faults.retain(|fault| fault != "ok");
    match (faults.first(), faults.len().saturating_sub(1)) {
        (None, _) => read.map_err(|e| failure(&e)),
        (Some(first), 0) => Err(StoreError::Corrupt(first.clone())),
        (Some(first), more) => Err(StoreError::Corrupt(format!("{first} (and {more} more faults)"))),
    }
}

/// Reads what can be read of a damaged file, which is not written to: from its first key on to where it breaks, and
/// from its last one back. How many zones that were, and what ended each way where one broke.
///
/// # Errors
/// [`StoreError::Foreign`] and the like; [`StoreError::Io`] where `each` failed.
pub fn salvage(
    path: &Path,
    mut each: impl FnMut(Zone) -> std::io::Result<()>,
) -> Result<(u64, Vec<String>), StoreError> {
    if !look(path)? {
        return Err(StoreError::Io("there is no such store".into()));
    }
    let flags = rusqlite::OpenFlags::SQLITE_OPEN_READ_ONLY;
    let db = Connection::open_with_flags(path, flags).map_err(|e| failure(&e))?;
    let (mut count, mut broke, mut last) = (0, Vec::new(), None::<String>);
    for order in ["ASC", "DESC"] {
        let query = format!("SELECT key, value, version, edited_at FROM zones ORDER BY key {order}");
        let whole = (|| -> Result<Result<bool, std::io::Error>, rusqlite::Error> {
            let mut statement = db.prepare(&query)?;
            let mut rows = statement.query([])?;
            let from_start = last.clone();
            while let Some(row) = rows.next()? {
                let zone = zone(row)?;
                match &from_start {
                    // What was read from the other end.
                    Some(last) if zone.key <= *last => return Ok(Ok(true)),
                    _ => {}
                }
                if order == "ASC" {
                    last = Some(zone.key.clone());
                }
                count += 1;
                if let Err(e) = each(zone) {
                    return Ok(Err(e));
                }
            }
            Ok(Ok(true))
        })();
        match whole {
            Ok(Ok(_)) if order == "ASC" => return Ok((count, broke)),
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return Err(StoreError::Io(e.to_string())),
            Err(e) => broke.push(failure(&e).to_string()),
        }
    }
    Ok((count, broke))
}

/// Checks a whole file: its pages, its indices, and that all versions are in order.
///
/// # Errors
/// What is wrong with it.
pub fn check(path: &Path, options: &Options) -> Result<u64, StoreError> {
    if !look(path)? {
        return Err(StoreError::Io("there is no such store".into()));
    }
    let db = connect(path, options).map_err(|e| failure(&e))?;
    sound(&db, "integrity_check")?;
    let count = "SELECT COUNT(*), COALESCE(MAX(version), 0), COUNT(DISTINCT version) FROM zones";
    let row = db.query_row(count, [], |row| Ok((row.get(0)?, row.get(1)?, row.get(2)?)));
    let (zones, newest, versions): (u64, u64, u64) = row.map_err(|e| failure(&e))?;
    let counter = "SELECT version FROM counter";
    let counter: u64 = db.query_row(counter, [], |row| row.get(0)).map_err(|e| failure(&e))?;
    if newest > counter || versions != zones {
        return Err(StoreError::Corrupt(format!("versions are out of order: {newest} of {counter}")));
    }
    Ok(zones)
}

impl Sqlite {
    /// Opens a store, made where there is none: looks at the file's head, checks it, brings it to the newest form
    /// and starts its threads.
    ///
    /// # Errors
    /// [`StoreError::Foreign`] and [`StoreError::Newer`] for files that are not touched, and what else keeps
    /// it from being opened.
    pub fn open(path: &Path, options: &Options) -> Result<Sqlite, StoreError> {
        if !look(path)? {
            // An empty file, as some put one there first, is no file.
            if path.metadata().is_ok_and(|file| file.len() == 0) {
                std::fs::remove_file(path).map_err(|e| StoreError::Io(e.to_string()))?;
            }
            make(path, options)?;
        }
        let mut db = connect(path, options).map_err(|e| failure(&e))?;
        sound(&db, "quick_check")?;
        migrate(&mut db)?;
        let (writes, take) = sync_channel(options.queue.max(1));
        let mut readers = Vec::new();
        let batch = (options.batch.max(1), options.batch_delay);
        let writer = Some(std::thread::spawn(move || write(db, &take, batch)));
        let (asks, take) = sync_channel(options.queue.max(1));
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
                Some(Mutex::new(Here { db, quick: Quick::new(limits), epoch: Instant::now() }))
            }
        };
        let (writes, asks, answered) = (Some(writes), Some(asks), AtomicU64::new(0));
        Ok(Sqlite { writes, asks, writer, readers, here, answered, path: path.into() })
    }

    /// Its file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    async fn write<T>(&self, job: impl FnOnce(Answer<T>) -> Write) -> Result<T, StoreError> {
        let (answer, answered) = oneshot::channel();
        let sent = self.writes.as_ref().map(|writes| writes.try_send(job(answer)));
        passed(sent)?;
        self.heard(answered.await.unwrap_or(Err(StoreError::Closed)))
    }

    fn heard<T>(&self, answer: T) -> T {
        self.answered.fetch_add(1, Ordering::Relaxed);
        answer
    }

    async fn ask<T>(&self, job: impl FnOnce(Answer<T>) -> Ask) -> Result<T, StoreError> {
        let (answer, answered) = oneshot::channel();
        let sent = self.asks.as_ref().map(|asks| asks.try_send(job(answer)));
        passed(sent)?;
        self.heard(answered.await.unwrap_or(Err(StoreError::Closed)))
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
            Some(read) => self.heard(read),
            None => self.ask(|answer| Ask::Get(key.into(), answer)).await,
        }
    }

    /// Carries an edit out, once for its idempotency key; the receipt comes after the commit.
    ///
    /// # Errors
    /// [`StoreError`]; [`StoreError::proves_not_done`] tells whether the edit may be sent again.
    pub async fn edit(&self, edit: Edit) -> Result<Receipt, StoreError> {
        edit.check()?;
        self.write(|answer| Write::Edit(edit, answer)).await
    }

    /// What changed after a version, the oldest first, so many at the most.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn changes(&self, after: u64, most: usize) -> Result<Vec<Change>, StoreError> {
        self.ask(|answer| Ask::Changes(after, most, answer)).await
    }

    /// Zones whose keys come after one, in the order of keys.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn page(&self, after: &str, most: usize) -> Result<Vec<Zone>, StoreError> {
        self.ask(|answer| Ask::Page(after.into(), most, answer)).await
    }

    /// How many lines of a source have been imported.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn imported(&self, source: &str) -> Result<u64, StoreError> {
        self.ask(|answer| Ask::Imported(source.into(), answer)).await
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
        self.write(|answer| Write::Import(source.into(), lines, zones, answer)).await
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
        Box::pin(self.ask(Ask::Figures))
    }

    fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

impl Drop for Sqlite {
    fn drop(&mut self) {
        // The writer's connection is the last to close, alone: only so it surely moves the log into the file.
        // Of connections that close together each can find the others still there, and none does it.
        (self.asks, self.here) = (None, None);
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
fn passed<T>(sent: Option<Result<(), TrySendError<T>>>) -> Result<(), StoreError> {
    match sent {
        Some(Ok(())) => Ok(()),
        Some(Err(TrySendError::Full(_))) => Err(StoreError::Busy),
        // It was not handed over: nothing was done, but nothing more will be either.
        Some(Err(TrySendError::Disconnected(_))) | None => Err(StoreError::Closed),
    }
}

// The writer.

fn write(mut db: Connection, take: &Receiver<Write>, (batch, delay): (usize, Duration)) {
    let mut swept = Instant::now();
    while let Ok(first) = take.recv() {
        let mut jobs = vec![first];
        let end = Instant::now() + delay;
        while jobs.len() < batch {
            let left = end.saturating_duration_since(Instant::now());
            let next = match left.is_zero() {
                true => take.try_recv().map_err(|_| RecvTimeoutError::Timeout),
                false => take.recv_timeout(left),
            };
            let Ok(next) = next else { break };
            jobs.push(next);
        }
        let sweep = swept.elapsed() > Duration::from_secs(1);
        if sweep {
            swept = Instant::now();
        }
        transaction(&mut db, jobs, sweep);
    }
}

enum Done {
    Edit(Answer<Receipt>, Result<Receipt, StoreError>),
    Import(Answer<()>, Result<(), StoreError>),
}

impl Done {
    /// Gives the answer; where the transaction failed, that is the answer of all that would have been good.
    fn give(self, whole: &Result<(), StoreError>) {
        match self {
            Done::Edit(answer, result) => drop(answer.send(result.and_then(|r| whole.clone().map(|()| r)))),
            Done::Import(answer, result) => drop(answer.send(result.and_then(|()| whole.clone()))),
        }
    }
}

/// Does some jobs in one transaction, and answers each when it has ended.
fn transaction(db: &mut Connection, jobs: Vec<Write>, sweep: bool) {
    let mut done = Vec::with_capacity(jobs.len());
    let whole = (|| {
        let mut tx = match db.transaction_with_behavior(TransactionBehavior::Immediate) {
            Ok(tx) => tx,
            Err(e) => {
                // Not begun: surely none of them is done.
                done.extend(jobs.into_iter().map(|job| job.failed(&failure(&e))));
                return Ok(());
            }
        };
        for job in jobs {
            match job {
                Write::Edit(edit, answer) => {
                    let result = within(&mut tx, |db| edit_in(db, &edit));
                    done.push(Done::Edit(answer, result));
                }
                Write::Import(source, lines, zones, answer) => {
                    let result = within(&mut tx, |db| import_in(db, &source, lines, &zones));
                    done.push(Done::Import(answer, result));
                }
            }
        }
        if sweep {
            let old =
                "DELETE FROM edits WHERE token IN (SELECT token FROM edits WHERE expires <= ?1 LIMIT 10000)";
            let _ = tx.execute(old, [unix_ms()]);
        }
        tx.commit().map_err(|e| failure(&e))
    })();
    done.into_iter().for_each(|done| done.give(&whole));
}

/// Does something in a savepoint: all of it, or nothing.
fn within<T>(
    tx: &mut rusqlite::Transaction<'_>,
    work: impl FnOnce(&Connection) -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    let point = tx.savepoint().map_err(|e| failure(&e))?;
    let done = work(&point)?;
    point.commit().map_err(|e| failure(&e))?;
    Ok(done)
}

fn next_version(db: &Connection) -> Result<u64, rusqlite::Error> {
    let mut next = db.prepare_cached("UPDATE counter SET version = version + 1 RETURNING version")?;
    next.query_row([], |row| row.get(0))
}

fn put(db: &Connection, key: &str, value: &[u8], now: u64) -> Result<u64, rusqlite::Error> {
    let version = next_version(db)?;
    let mut put = db.prepare_cached(
        "INSERT INTO zones (key, value, version, edited_at) VALUES (?1, ?2, ?3, ?4)
         ON CONFLICT (key) DO UPDATE SET value = ?2, version = ?3, edited_at = ?4",
    )?;
    put.execute(params![key, value, version, now])?;
    Ok(version)
}

fn edit_in(db: &Connection, edit: &Edit) -> Result<Receipt, StoreError> {
    let now = unix_ms();
    let digest = xxh3_64(&edit.value) as i64;
    let work = || -> Result<Result<Receipt, StoreError>, rusqlite::Error> {
        if let Some(token) = &edit.token {
            let mut known =
                db.prepare_cached("SELECT key, digest, version, expires FROM edits WHERE token = ?1")?;
            type Row = (String, i64, u64, u64);
            let row = known.query_row([token], |r| Ok((r.get(0)?, r.get(1)?, r.get(2)?, r.get(3)?)));
            let row: Option<Row> = row.optional()?;
            if let Some((key, before, version, _)) = row.filter(|row| row.3 > now) {
                let same = key == edit.key && before == digest;
                return Ok(same.then_some(Receipt { version, repeat: true }).ok_or(StoreError::Conflict));
            }
        }
        let version = put(db, &edit.key, &edit.value, now)?;
        if let Some(token) = &edit.token {
            let mut note = db.prepare_cached(
                "INSERT OR REPLACE INTO edits (token, key, digest, version, expires) VALUES (?1, ?2, ?3, ?4, ?5)",
            )?;
            note.execute(params![token, edit.key, digest, version, now.saturating_add(edit.remember_ms)])?;
        }
        Ok(Ok(Receipt { version, repeat: false }))
    };
    work().map_err(|e| failure(&e))?
}

fn import_in(
    db: &Connection,
    source: &str,
    lines: u64,
    zones: &[(String, Vec<u8>)],
) -> Result<(), StoreError> {
    let now = unix_ms();
    let work = || -> Result<(), rusqlite::Error> {
        for (key, value) in zones {
            put(db, key, value, now)?;
        }
        db.prepare_cached("INSERT OR REPLACE INTO imports (source, lines) VALUES (?1, ?2)")?
            .execute(params![source, lines])?;
        Ok(())
    };
    work().map_err(|e| failure(&e))
}

// The readers.

fn read(db: &Connection, take: &Mutex<Receiver<Ask>>) {
    loop {
        let job = take.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else { return };
        let failed = |e: rusqlite::Error| failure(&e);
        match job {
            Ask::Get(key, answer) => drop(answer.send(get(db, &key).map_err(failed))),
            Ask::Changes(after, most, answer) => drop(answer.send(changes(db, after, most).map_err(failed))),
            Ask::Page(after, most, answer) => drop(answer.send(page(db, &after, most).map_err(failed))),
            Ask::Imported(source, answer) => {
                let lines = "SELECT lines FROM imports WHERE source = ?1";
                let lines = db.query_row(lines, [source], |row| row.get(0)).optional();
                let _ = answer.send(lines.map(Option::unwrap_or_default).map_err(failed));
            }
            Ask::Figures(answer) => drop(answer.send(figures(db).map_err(failed))),
        }
    }
}

fn zone(row: &rusqlite::Row<'_>) -> Result<Zone, rusqlite::Error> {
    Ok(Zone { key: row.get(0)?, value: row.get(1)?, version: row.get(2)?, edited_at: row.get(3)? })
}

fn get(db: &Connection, key: &str) -> Result<Option<Zone>, rusqlite::Error> {
    let mut get = db.prepare_cached("SELECT value, version, edited_at FROM zones WHERE key = ?1")?;
    let zone = |row: &rusqlite::Row<'_>| {
        Ok(Zone { key: key.to_owned(), value: row.get(0)?, version: row.get(1)?, edited_at: row.get(2)? })
    };
    get.query_row([key], zone).optional()
}

fn changes(db: &Connection, after: u64, most: usize) -> Result<Vec<Change>, rusqlite::Error> {
    let mut changes =
        db.prepare_cached("SELECT key, version FROM zones WHERE version > ?1 ORDER BY version LIMIT ?2")?;
    let change = |row: &rusqlite::Row<'_>| Ok(Change { key: row.get(0)?, version: row.get(1)? });
    changes.query_map(params![after, most as u64], change)?.collect()
}

fn figures(db: &Connection) -> Result<Figures, rusqlite::Error> {
    let mut figures = db.prepare_cached(
        "SELECT (SELECT version FROM counter), (SELECT COUNT(*) FROM zones), (SELECT COUNT(*) FROM edits)",
    )?;
    figures.query_row([], |row| Ok(Figures { version: row.get(0)?, zones: row.get(1)?, tokens: row.get(2)? }))
}

fn page(db: &Connection, after: &str, most: usize) -> Result<Vec<Zone>, rusqlite::Error> {
    let mut page = db.prepare_cached(
        "SELECT key, value, version, edited_at FROM zones WHERE key > ?1 ORDER BY key LIMIT ?2",
    )?;
    page.query_map(params![after, most as u64], zone)?.collect()
}
