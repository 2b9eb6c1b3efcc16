//! Compares the store in a SQLite file with bare SQLite on the same file.

use std::path::Path;
use std::sync::Arc;

use stonevane_store::sqlite::{Options, rusqlite};
use stonevane_store::{Sqlite, quick};
use tokio::runtime::Runtime;

use super::super::BenchResult;
use super::{KEYS, Row, StoreRates, VALUE_LEN, bare_token, key, print_table, rate};

const BARE_READ: usize = 0;
const BARE_WRITE: usize = 5;

struct Stores {
    bare: rusqlite::Connection,
    /// Store that runs reads on its own reader threads.
    threaded: Arc<Sqlite>,
    /// Store that runs reads on the caller's thread.
    on_caller: Arc<Sqlite>,
}

impl Stores {
    fn open(runtime: &Runtime, folder: &Path) -> BenchResult<Stores> {
        let path = folder.join("zones.db");
        let threaded = Arc::new(Sqlite::open(&path, &Options::default())?);
        let zones = (0..KEYS).map(|number| (key(number), vec![b'v'; VALUE_LEN])).collect();
        runtime.block_on(threaded.import("bench", KEYS, zones))?;
        let options = Options { inline_reads: Some(quick::Limits::default()), ..Options::default() };
        let on_caller = Arc::new(Sqlite::open(&path, &options)?);
        let bare = rusqlite::Connection::open(&path)?;
        bare.pragma_update(None, "synchronous", "FULL")?;
        Ok(Stores { bare, threaded, on_caller })
    }
}

fn read(connection: &rusqlite::Connection, number: u64) -> rusqlite::Result<u64> {
    let mut get = connection.prepare_cached("SELECT value, version FROM zones WHERE key = ?1")?;
    get.query_row([key(number)], |row| row.get::<_, Vec<u8>>(0))?;
    Ok(1)
}

/// Writes the rows that an edit of the store writes, in one transaction.
fn write(connection: &rusqlite::Connection, number: u64) -> rusqlite::Result<u64> {
    let token = bare_token(number);
    connection.execute_batch("BEGIN IMMEDIATE")?;
    let mut next = connection.prepare_cached("UPDATE counter SET version = version + 1 RETURNING version")?;
    let version: i64 = next.query_row([], |row| row.get(0))?;
    let mut put = connection
        .prepare_cached("UPDATE zones SET value = ?2, version = ?3, edited_at = 0 WHERE key = ?1")?;
    put.execute(rusqlite::params![key(number), vec![b'x'; VALUE_LEN], version])?;
    let mut insert_token = connection.prepare_cached(
        "INSERT INTO edits (token, key, digest, version, expires) VALUES (?1, ?2, 0, ?3, 0)",
    )?;
    insert_token.execute(rusqlite::params![token, key(number), version])?;
    connection.execute_batch("COMMIT")?;
    Ok(1)
}

pub(super) fn measure(rounds: u64, folder: &Path) -> BenchResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let stores = Stores::open(&runtime, folder)?;
    let mut rows = [
        Row::new("bare read", BARE_READ),
        Row::new("store read, one by one", BARE_READ),
        Row::new("store read, 64 at once", BARE_READ),
        Row::new("on the caller's thread, one by one", BARE_READ),
        Row::new("on the caller's thread, 64 at once", BARE_READ),
        Row::new("bare write, a commit each", BARE_WRITE),
        Row::new("store edit, a commit each", BARE_WRITE),
        Row::new("store edit, 64 at once", BARE_WRITE),
    ];
    for _ in 0..rounds {
        let bare_reads = rate(|number| read(&stores.bare, number))?;
        let bare_writes = rate(|number| write(&stores.bare, number))?;
        let threaded = StoreRates::measure(&runtime, &stores.threaded)?;
        let on_caller = StoreRates::measure(&runtime, &stores.on_caller)?;
        let rates = [
            bare_reads,
            threaded.reads,
            threaded.concurrent_reads,
            on_caller.reads,
            on_caller.concurrent_reads,
            bare_writes,
            threaded.writes,
            threaded.concurrent_writes,
        ];
        for (row, rate) in rows.iter_mut().zip(rates) {
            row.rates.push(rate);
        }
    }
    print_table("SQLite", rounds, &rows);
    Ok(())
}
