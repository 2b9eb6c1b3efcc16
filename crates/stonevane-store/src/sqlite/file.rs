//! The file of a store: whether it is one, its creation, its schema versions, checks, and what can be read of a damaged
//! file.

use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

use rusqlite::{Connection, TransactionBehavior};

use super::reader::zone;
use super::{Options, failure};
use crate::contract::{StoreError, Zone};

/// Marks a file as a store of this program (SQLite's `application_id`): "SVNE".
pub const APPLICATION_ID: u32 = 0x5356_4e45;

/// Schema versions of the file, each from the one before it; there is no way back.
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

/// The newest schema version.
pub const FORM: u32 = MIGRATIONS.len() as u32;

/// Looks at a file's head without opening it as a database, so that a file that is refused is not touched
/// (SQLite's file format, 1.3: `user_version` at 60, `application_id` at 68). `true` where it is a store.
pub(super) fn is_store(path: &Path) -> Result<bool, StoreError> {
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
pub(super) fn create(path: &Path, options: &Options) -> Result<(), StoreError> {
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

pub(super) fn connect(path: &Path, options: &Options) -> Result<Connection, rusqlite::Error> {
    let db = Connection::open(path)?;
    db.busy_timeout(options.busy)?;
    db.pragma_update(None, "journal_mode", "WAL")?;
    db.pragma_update(None, "synchronous", "FULL")?;
    db.pragma_update(None, "max_page_count", options.max_pages)?;
    Ok(db)
}

/// Brings a file to the newest form, in one transaction.
pub(super) fn migrate(db: &mut Connection) -> Result<(), StoreError> {
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
pub(super) fn check_with(db: &Connection, check: &str) -> Result<(), StoreError> {
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
    if !is_store(path)? {
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
                    // Read from the other end already.
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
    if !is_store(path)? {
        return Err(StoreError::Io("there is no such store".into()));
    }
    let db = connect(path, options).map_err(|e| failure(&e))?;
    check_with(&db, "integrity_check")?;
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
