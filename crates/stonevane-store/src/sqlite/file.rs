//! The database file: recognition, creation, schema migrations, integrity checks, and salvage from a damaged
//! file.

use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

use rusqlite::{Connection, TransactionBehavior};

use super::reader::zone;
use super::{Options, store_error};
use crate::contract::{StoreError, Zone};

/// SQLite's `application_id`, which marks a file as a store of this program: "SVNE".
pub const APPLICATION_ID: u32 = 0x5356_4e45;

/// Migrations of the schema: each one leads from the previous version to the next. There is no downgrade.
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

/// The newest schema version, SQLite's `user_version`.
pub const SCHEMA_VERSION: u32 = MIGRATIONS.len() as u32;

/// Whether a file is a store; `false` where it is missing or empty. Reads the file's header without opening
/// it as a database, so that a rejected file is not modified (SQLite's file format, 1.3: `user_version` at
/// 60, `application_id` at 68).
pub(super) fn is_store(path: &Path) -> Result<bool, StoreError> {
    let mut header = Vec::new();
    match File::open(path) {
        Ok(file) => file.take(100).read_to_end(&mut header).map_err(|e| StoreError::Io(e.to_string()))?,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(false),
        Err(e) => return Err(StoreError::Io(e.to_string())),
    };
    if header.is_empty() {
        return Ok(false);
    }
    let number = |at: usize| header.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
    if !header.starts_with(b"SQLite format 3\0") || number(68) != Some(APPLICATION_ID) {
        return Err(StoreError::Foreign);
    }
    match number(60) {
        Some(found) if found > SCHEMA_VERSION => Err(StoreError::Newer { found, known: SCHEMA_VERSION }),
        _ => Ok(true),
    }
}

/// Creates a store under a temporary name and links it to its own name when complete. A kill leaves either no
/// file or a whole store, with its schema version in the file itself, not in a write-ahead log beside it.
pub(super) fn create(path: &Path, options: &Options) -> Result<(), StoreError> {
    let io = |e: std::io::Error| match e.kind() {
        std::io::ErrorKind::StorageFull => StoreError::Full,
        _ => StoreError::Io(e.to_string()),
    };
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".new-{}", std::process::id()));
    let temporary = PathBuf::from(name);
    let _ = std::fs::remove_file(&temporary);
    let created = (|| {
        let mut db = Connection::open(&temporary).map_err(|e| store_error(&e))?;
        db.pragma_update(None, "max_page_count", options.max_pages).map_err(|e| store_error(&e))?;
        migrate(&mut db)?;
        drop(db);
        File::open(&temporary).and_then(|file| file.sync_all()).map_err(io)?;
        match std::fs::hard_link(&temporary, path) {
            // Another process has created the store meanwhile.
            Err(e) if e.kind() == std::io::ErrorKind::AlreadyExists => return Ok(()),
            linked => linked.map_err(io)?,
        }
        // Syncs the directory, so that the file's name survives a power failure.
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new("."))).and_then(|folder| folder.sync_all()).map_err(io)
    })();
    let _ = std::fs::remove_file(&temporary);
    created
}

pub(super) fn connect(path: &Path, options: &Options) -> Result<Connection, rusqlite::Error> {
    let db = Connection::open(path)?;
    db.busy_timeout(options.busy_timeout)?;
    db.pragma_update(None, "journal_mode", "WAL")?;
    db.pragma_update(None, "synchronous", "FULL")?;
    db.pragma_update(None, "max_page_count", options.max_pages)?;
    Ok(db)
}

/// Migrates a file to the newest schema version, in one transaction.
pub(super) fn migrate(db: &mut Connection) -> Result<(), StoreError> {
    let tx = db.transaction_with_behavior(TransactionBehavior::Immediate).map_err(|e| store_error(&e))?;
    let found: u32 =
        tx.pragma_query_value(None, "user_version", |row| row.get(0)).map_err(|e| store_error(&e))?;
    if found > SCHEMA_VERSION {
        return Err(StoreError::Newer { found, known: SCHEMA_VERSION });
    }
    if found == SCHEMA_VERSION {
        return Ok(());
    }
    for step in &MIGRATIONS[found as usize..] {
        tx.execute_batch(step).map_err(|e| store_error(&e))?;
    }
    let set_version = |tx: &rusqlite::Transaction<'_>| {
        tx.pragma_update(None, "application_id", APPLICATION_ID)?;
        tx.pragma_update(None, "user_version", SCHEMA_VERSION)
    };
    set_version(&tx).map_err(|e| store_error(&e))?;
    tx.commit().map_err(|e| store_error(&e))?;
    // Moves the schema version from the log into the file itself, where `is_store` reads it at the next
    // start.
    db.query_row("PRAGMA wal_checkpoint(TRUNCATE)", [], |_| Ok(())).map_err(|e| store_error(&e))
}

/// Runs one of SQLite's own checks. The error states the first fault and the number of further ones.
pub(super) fn check_with(db: &Connection, check: &str) -> Result<(), StoreError> {
    let mut faults: Vec<String> = Vec::new();
    let read = db.pragma_query(None, check, |row| {
        let report: String = row.get(0)?;
        faults.extend(report.lines().filter(|line| !line.starts_with("***")).map(str::to_owned));
        Ok(())
    });
    faults.retain(|fault| fault != "ok");
    match (faults.first(), faults.len().saturating_sub(1)) {
        (None, _) => read.map_err(|e| store_error(&e)),
        (Some(first), 0) => Err(StoreError::Corrupt(first.clone())),
        (Some(first), more) => Err(StoreError::Corrupt(format!("{first} (and {more} more faults)"))),
    }
}

/// Reads the readable zones of a damaged file without writing to it: forward from the first key until reading
/// fails, then backward from the last key to where the first scan ended or reading fails again. Returns the
/// number of zones passed to `each`, and the errors that ended the scans.
///
/// # Errors
/// [`StoreError::Foreign`] and [`StoreError::Newer`] for files that are not stores or that this program is
/// too old for; [`StoreError::Io`] where the file is missing or empty, or `each` failed; the errors of
/// SQLite.
pub fn salvage(
    path: &Path,
    mut each: impl FnMut(Zone) -> std::io::Result<()>,
) -> Result<(u64, Vec<String>), StoreError> {
    if !is_store(path)? {
        return Err(StoreError::Io("the file does not exist or is empty".into()));
    }
    let flags = rusqlite::OpenFlags::SQLITE_OPEN_READ_ONLY;
    let db = Connection::open_with_flags(path, flags).map_err(|e| store_error(&e))?;
    let (mut count, mut errors, mut last) = (0, Vec::new(), None::<String>);
    for order in ["ASC", "DESC"] {
        let query = format!("SELECT key, value, version, edited_at FROM zones ORDER BY key {order}");
        let scan = (|| -> Result<Result<bool, std::io::Error>, rusqlite::Error> {
            let mut statement = db.prepare(&query)?;
            let mut rows = statement.query([])?;
            let last_forward = last.clone();
            while let Some(row) = rows.next()? {
                let zone = zone(row)?;
                match &last_forward {
                    // The forward scan has read this zone already.
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
        match scan {
            Ok(Ok(_)) if order == "ASC" => return Ok((count, errors)),
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return Err(StoreError::Io(e.to_string())),
            Err(e) => errors.push(store_error(&e).to_string()),
        }
    }
    Ok((count, errors))
}

/// Checks a whole file: its pages, its indices, and that versions are unique and not above the counter.
/// Returns the number of zones.
///
/// # Errors
/// [`StoreError::Corrupt`] with the first fault, and the errors of opening the file.
pub fn check(path: &Path, options: &Options) -> Result<u64, StoreError> {
    if !is_store(path)? {
        return Err(StoreError::Io("the file does not exist or is empty".into()));
    }
    let db = connect(path, options).map_err(|e| store_error(&e))?;
    check_with(&db, "integrity_check")?;
    let count = "SELECT COUNT(*), COALESCE(MAX(version), 0), COUNT(DISTINCT version) FROM zones";
    let row = db.query_row(count, [], |row| Ok((row.get(0)?, row.get(1)?, row.get(2)?)));
    let (zones, newest, versions): (u64, u64, u64) = row.map_err(|e| store_error(&e))?;
    let counter = "SELECT version FROM counter";
    let counter: u64 = db.query_row(counter, [], |row| row.get(0)).map_err(|e| store_error(&e))?;
    if newest > counter || versions != zones {
        return Err(StoreError::Corrupt(format!(
            "{zones} zones have {versions} distinct versions up to {newest}, and the counter is {counter}"
        )));
    }
    Ok(zones)
}
