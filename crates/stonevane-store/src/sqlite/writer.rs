//! The writer thread. Jobs that are queued together share one transaction, each in a savepoint of its own.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use rusqlite::{Connection, OptionalExtension, TransactionBehavior, params};
use xxhash_rust::xxh3::xxh3_64;

use super::{ReplySender, store_error, unix_ms};
use crate::contract::{Edit, Receipt, StoreError};

/// Interval at which expired idempotency keys are deleted.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of a batch, the jobs that share a transaction.
#[derive(Clone, Copy)]
pub(super) struct Batching {
    /// The most jobs in one batch.
    pub size: usize,
    /// Time for which the first job waits for others.
    pub delay: Duration,
}

pub(super) enum WriteJob {
    Edit(Edit, ReplySender<Receipt>),
    /// A step of an import: the source, the number of its lines imported so far, and the zones.
    Import(String, u64, Vec<(String, Vec<u8>)>, ReplySender<()>),
}

impl WriteJob {
    fn failed(self, e: &StoreError) -> Outcome {
        match self {
            WriteJob::Edit(_, reply) => Outcome::Edit(reply, Err(e.clone())),
            WriteJob::Import(_, _, _, reply) => Outcome::Import(reply, Err(e.clone())),
        }
    }
}

/// Runs write jobs in batches until the queue closes.
pub(super) fn run_writer(mut db: Connection, queue: &Receiver<WriteJob>, batching: Batching) {
    let mut last_sweep = Instant::now();
    while let Ok(first) = queue.recv() {
        let mut jobs = vec![first];
        let deadline = Instant::now() + batching.delay;
        while jobs.len() < batching.size {
            let left = deadline.saturating_duration_since(Instant::now());
            let next = match left.is_zero() {
                true => queue.try_recv().map_err(|_| RecvTimeoutError::Timeout),
                false => queue.recv_timeout(left),
            };
            let Ok(next) = next else { break };
            jobs.push(next);
        }
        let sweep = last_sweep.elapsed() > SWEEP_INTERVAL;
        if sweep {
            last_sweep = Instant::now();
        }
        run_batch(&mut db, jobs, sweep);
    }
}

/// The result of a job, held until the transaction has ended.
enum Outcome {
    Edit(ReplySender<Receipt>, Result<Receipt, StoreError>),
    Import(ReplySender<()>, Result<(), StoreError>),
}

impl Outcome {
    /// Sends the reply. Where the commit failed, jobs that succeeded reply with its error.
    fn send(self, commit: &Result<(), StoreError>) {
        match self {
            Outcome::Edit(reply, result) => drop(reply.send(result.and_then(|r| commit.clone().map(|()| r)))),
            Outcome::Import(reply, result) => drop(reply.send(result.and_then(|()| commit.clone()))),
        }
    }
}

/// Runs jobs in one transaction, and replies to each when it has ended.
fn run_batch(db: &mut Connection, jobs: Vec<WriteJob>, sweep: bool) {
    let mut outcomes = Vec::with_capacity(jobs.len());
    let commit = (|| {
        let mut tx = match db.transaction_with_behavior(TransactionBehavior::Immediate) {
            Ok(tx) => tx,
            Err(e) => {
                // The transaction did not begin, so certainly no job was applied.
                outcomes.extend(jobs.into_iter().map(|job| job.failed(&store_error(&e))));
                return Ok(());
            }
        };
        for job in jobs {
            match job {
                WriteJob::Edit(edit, reply) => {
                    let result = in_savepoint(&mut tx, |db| apply_edit(db, &edit));
                    outcomes.push(Outcome::Edit(reply, result));
                }
                WriteJob::Import(source, lines, zones, reply) => {
                    let result = in_savepoint(&mut tx, |db| apply_import(db, &source, lines, &zones));
                    outcomes.push(Outcome::Import(reply, result));
                }
            }
        }
        if sweep {
            let delete_expired =
                "DELETE FROM edits WHERE token IN (SELECT token FROM edits WHERE expires <= ?1 LIMIT 10000)";
            let _ = tx.execute(delete_expired, [unix_ms()]);
        }
        tx.commit().map_err(|e| store_error(&e))
    })();
    for outcome in outcomes {
        outcome.send(&commit);
    }
}

/// Runs `work` in a savepoint, which is rolled back if it fails.
fn in_savepoint<T>(
    tx: &mut rusqlite::Transaction<'_>,
    work: impl FnOnce(&Connection) -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    let savepoint = tx.savepoint().map_err(|e| store_error(&e))?;
    let result = work(&savepoint)?;
    savepoint.commit().map_err(|e| store_error(&e))?;
    Ok(result)
}

fn next_version(db: &Connection) -> Result<u64, rusqlite::Error> {
    let mut next = db.prepare_cached("UPDATE counter SET version = version + 1 RETURNING version")?;
    next.query_row([], |row| row.get(0))
}

fn upsert_zone(db: &Connection, key: &str, value: &[u8], now: u64) -> Result<u64, rusqlite::Error> {
    let version = next_version(db)?;
    let mut upsert = db.prepare_cached(
        "INSERT INTO zones (key, value, version, edited_at) VALUES (?1, ?2, ?3, ?4)
         ON CONFLICT (key) DO UPDATE SET value = ?2, version = ?3, edited_at = ?4",
    )?;
    upsert.execute(params![key, value, version, now])?;
    Ok(version)
}

/// The record of an edit under its idempotency key.
struct RecordedEdit {
    key: String,
    /// XXH3 hash of the value.
    digest: i64,
    version: u64,
    /// Unix time in milliseconds.
    expires: u64,
}

fn find_recorded_edit(db: &Connection, token: &str) -> Result<Option<RecordedEdit>, rusqlite::Error> {
    let mut find = db.prepare_cached("SELECT key, digest, version, expires FROM edits WHERE token = ?1")?;
    let read = |row: &rusqlite::Row<'_>| {
        Ok(RecordedEdit { key: row.get(0)?, digest: row.get(1)?, version: row.get(2)?, expires: row.get(3)? })
    };
    find.query_row([token], read).optional()
}

/// Applies an edit and records its idempotency key, or returns the receipt of the recorded edit.
fn apply_edit(db: &Connection, edit: &Edit) -> Result<Receipt, StoreError> {
    let now = unix_ms();
    let digest = xxh3_64(&edit.value) as i64;
    let work = || -> Result<Result<Receipt, StoreError>, rusqlite::Error> {
        let recorded = match &edit.token {
            Some(token) => find_recorded_edit(db, token)?.filter(|recorded| recorded.expires > now),
            None => None,
        };
        if let Some(recorded) = recorded {
            let same = recorded.key == edit.key && recorded.digest == digest;
            let receipt = Receipt { version: recorded.version, repeat: true };
            return Ok(same.then_some(receipt).ok_or(StoreError::Conflict));
        }
        let version = upsert_zone(db, &edit.key, &edit.value, now)?;
        if let Some(token) = &edit.token {
            let mut record = db.prepare_cached(
                "INSERT OR REPLACE INTO edits (token, key, digest, version, expires) VALUES (?1, ?2, ?3, ?4, ?5)",
            )?;
            record.execute(params![
                token,
                edit.key,
                digest,
                version,
                now.saturating_add(edit.remember_ms)
            ])?;
        }
        Ok(Ok(Receipt { version, repeat: false }))
    };
    work().map_err(|e| store_error(&e))?
}

/// Stores the zones of an import step and the number of lines imported so far.
fn apply_import(
    db: &Connection,
    source: &str,
    lines: u64,
    zones: &[(String, Vec<u8>)],
) -> Result<(), StoreError> {
    let now = unix_ms();
    let work = || -> Result<(), rusqlite::Error> {
        for (key, value) in zones {
            upsert_zone(db, key, value, now)?;
        }
        db.prepare_cached("INSERT OR REPLACE INTO imports (source, lines) VALUES (?1, ?2)")?
            .execute(params![source, lines])?;
        Ok(())
    };
    work().map_err(|e| store_error(&e))
}
