//! The thread that writes: edits that come together are one transaction, each in a savepoint of its own.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use rusqlite::{Connection, OptionalExtension, TransactionBehavior, params};
use xxhash_rust::xxh3::xxh3_64;

use super::{Answer, failure, unix_ms};
use crate::contract::{Edit, Receipt, StoreError};

/// Idempotency keys that are too old are swept this often.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How edits are gathered into transactions.
#[derive(Clone, Copy)]
pub(super) struct Batching {
    /// Edits in one transaction, at most.
    pub size: usize,
    /// How long the first edit waits for others.
    pub delay: Duration,
}

pub(super) enum WriteJob {
    Edit(Edit, Answer<Receipt>),
    /// Lines of an import: the source, how many of its lines are done with these, and the zones.
    Import(String, u64, Vec<(String, Vec<u8>)>, Answer<()>),
}

impl WriteJob {
    fn failed(self, e: &StoreError) -> Done {
        match self {
            WriteJob::Edit(_, answer) => Done::Edit(answer, Err(e.clone())),
            WriteJob::Import(_, _, _, answer) => Done::Import(answer, Err(e.clone())),
        }
    }
}

pub(super) fn write(mut db: Connection, take: &Receiver<WriteJob>, batching: Batching) {
    let mut swept = Instant::now();
    while let Ok(first) = take.recv() {
        let mut jobs = vec![first];
        let end = Instant::now() + batching.delay;
        while jobs.len() < batching.size {
            let left = end.saturating_duration_since(Instant::now());
            let next = match left.is_zero() {
                true => take.try_recv().map_err(|_| RecvTimeoutError::Timeout),
                false => take.recv_timeout(left),
            };
            let Ok(next) = next else { break };
            jobs.push(next);
        }
        let sweep = swept.elapsed() > SWEEP_INTERVAL;
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
fn transaction(db: &mut Connection, jobs: Vec<WriteJob>, sweep: bool) {
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
                WriteJob::Edit(edit, answer) => {
                    let result = within(&mut tx, |db| edit_in(db, &edit));
                    done.push(Done::Edit(answer, result));
                }
                WriteJob::Import(source, lines, zones, answer) => {
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
    for done in done {
        done.give(&whole);
    }
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

/// What is remembered of an edit under its idempotency key.
struct KnownEdit {
    key: String,
    digest: i64,
    version: u64,
    /// Unix time in milliseconds.
    expires: u64,
}

fn known_edit(db: &Connection, token: &str) -> Result<Option<KnownEdit>, rusqlite::Error> {
    let mut known = db.prepare_cached("SELECT key, digest, version, expires FROM edits WHERE token = ?1")?;
    let read = |row: &rusqlite::Row<'_>| {
        Ok(KnownEdit { key: row.get(0)?, digest: row.get(1)?, version: row.get(2)?, expires: row.get(3)? })
    };
    known.query_row([token], read).optional()
}

fn edit_in(db: &Connection, edit: &Edit) -> Result<Receipt, StoreError> {
    let now = unix_ms();
    let digest = xxh3_64(&edit.value) as i64;
    let work = || -> Result<Result<Receipt, StoreError>, rusqlite::Error> {
        let known = match &edit.token {
            Some(token) => known_edit(db, token)?.filter(|known| known.expires > now),
            None => None,
        };
        if let Some(known) = known {
            let same = known.key == edit.key && known.digest == digest;
            let receipt = Receipt { version: known.version, repeat: true };
            return Ok(same.then_some(receipt).ok_or(StoreError::Conflict));
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
