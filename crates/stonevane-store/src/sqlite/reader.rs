//! The threads that read, and reads on the caller's own thread.

use std::sync::mpsc::Receiver;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use rusqlite::{Connection, OptionalExtension, params};

use super::{Answer, failure};
use crate::contract::{Change, Figures, StoreError, Zone};
use crate::quick::Quick;

pub(super) enum ReadJob {
    Get(String, Answer<Option<Zone>>),
    Changes(u64, usize, Answer<Vec<Change>>),
    Page(String, usize, Answer<Vec<Zone>>),
    Imported(String, Answer<u64>),
    Figures(Answer<Figures>),
}

/// The connection on which a caller reads by itself, and how such reads went.
pub(super) struct InlineReader {
    pub db: Connection,
    pub quick: Quick,
    pub epoch: Instant,
}

impl InlineReader {
    /// Reads a key, where reads are quick. `None` where it is a thread's to read: also where another process holds the
    /// file, since a thread waits for it and the caller does not.
    pub fn get(&mut self, key: &str) -> Option<Result<Option<Zone>, StoreError>> {
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

pub(super) fn read(db: &Connection, take: &Mutex<Receiver<ReadJob>>) {
    loop {
        let job = take.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else { return };
        let failed = |e: rusqlite::Error| failure(&e);
        match job {
            ReadJob::Get(key, answer) => drop(answer.send(get(db, &key).map_err(failed))),
            ReadJob::Changes(after, most, answer) => {
                drop(answer.send(changes(db, after, most).map_err(failed)));
            }
            ReadJob::Page(after, most, answer) => drop(answer.send(page(db, &after, most).map_err(failed))),
            ReadJob::Imported(source, answer) => {
                let lines = "SELECT lines FROM imports WHERE source = ?1";
                let lines = db.query_row(lines, [source], |row| row.get(0)).optional();
                let _ = answer.send(lines.map(Option::unwrap_or_default).map_err(failed));
            }
            ReadJob::Figures(answer) => drop(answer.send(figures(db).map_err(failed))),
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
