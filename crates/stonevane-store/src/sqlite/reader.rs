//! Reader threads, and reads on the caller's own thread.

use std::sync::mpsc::Receiver;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use rusqlite::{Connection, OptionalExtension, params};

use super::{ReplySender, store_error};
use crate::contract::{Change, StoreError, StoreStats, Zone};
use crate::quick::InlineReadPolicy;

pub(super) enum ReadJob {
    Get(String, ReplySender<Option<Zone>>),
    Changes(u64, usize, ReplySender<Vec<Change>>),
    Page(String, usize, ReplySender<Vec<Zone>>),
    Imported(String, ReplySender<u64>),
    Stats(ReplySender<StoreStats>),
}

/// The connection for reads on the caller's thread, and the policy that allows them.
pub(super) struct InlineReader {
    pub db: Connection,
    pub policy: InlineReadPolicy,
    pub epoch: Instant,
}

impl InlineReader {
    /// Reads a key, if the policy allows it. `None` where a reader thread is to read it instead, also while
    /// another process locks the file: a reader thread waits for the lock, the caller must not.
    pub fn get(&mut self, key: &str) -> Option<Result<Option<Zone>, StoreError>> {
        let started = self.epoch.elapsed().as_micros() as u64;
        if !self.policy.allows(started) {
            return None;
        }
        let read = get(&self.db, key).map_err(|e| store_error(&e));
        let now = self.epoch.elapsed().as_micros() as u64;
        self.policy.record(now, now - started);
        (read != Err(StoreError::Busy)).then_some(read)
    }
}

/// Runs read jobs until the queue closes.
pub(super) fn run_reader(db: &Connection, jobs: &Mutex<Receiver<ReadJob>>) {
    loop {
        let job = jobs.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else { return };
        let failed = |e: rusqlite::Error| store_error(&e);
        match job {
            ReadJob::Get(key, reply) => drop(reply.send(get(db, &key).map_err(failed))),
            ReadJob::Changes(after, limit, reply) => {
                drop(reply.send(changes(db, after, limit).map_err(failed)));
            }
            ReadJob::Page(after, limit, reply) => drop(reply.send(page(db, &after, limit).map_err(failed))),
            ReadJob::Imported(source, reply) => {
                let lines = "SELECT lines FROM imports WHERE source = ?1";
                let lines = db.query_row(lines, [source], |row| row.get(0)).optional();
                let _ = reply.send(lines.map(Option::unwrap_or_default).map_err(failed));
            }
            ReadJob::Stats(reply) => drop(reply.send(stats(db).map_err(failed))),
        }
    }
}

pub(super) fn zone(row: &rusqlite::Row<'_>) -> Result<Zone, rusqlite::Error> {
    Ok(Zone { key: row.get(0)?, value: row.get(1)?, version: row.get(2)?, edited_at: row.get(3)? })
}

fn get(db: &Connection, key: &str) -> Result<Option<Zone>, rusqlite::Error> {
    let mut get = db.prepare_cached("SELECT value, version, edited_at FROM zones WHERE key = ?1")?;
    let zone = |row: &rusqlite::Row<'_>| {
        Ok(Zone { key: key.to_owned(), value: row.get(0)?, version: row.get(1)?, edited_at: row.get(2)? })
    };
    get.query_row([key], zone).optional()
}

fn changes(db: &Connection, after: u64, limit: usize) -> Result<Vec<Change>, rusqlite::Error> {
    let mut changes =
        db.prepare_cached("SELECT key, version FROM zones WHERE version > ?1 ORDER BY version LIMIT ?2")?;
    let change = |row: &rusqlite::Row<'_>| Ok(Change { key: row.get(0)?, version: row.get(1)? });
    changes.query_map(params![after, limit as u64], change)?.collect()
}

fn stats(db: &Connection) -> Result<StoreStats, rusqlite::Error> {
    let mut statement = db.prepare_cached(
        "SELECT (SELECT version FROM counter), (SELECT COUNT(*) FROM zones), (SELECT COUNT(*) FROM edits)",
    )?;
    statement
        .query_row([], |row| Ok(StoreStats { version: row.get(0)?, zones: row.get(1)?, tokens: row.get(2)? }))
}

fn page(db: &Connection, after: &str, limit: usize) -> Result<Vec<Zone>, rusqlite::Error> {
    let mut page = db.prepare_cached(
        "SELECT key, value, version, edited_at FROM zones WHERE key > ?1 ORDER BY key LIMIT ?2",
    )?;
    page.query_map(params![after, limit as u64], zone)?.collect()
}
