//! `stonevane bench store`: compares the store of record with bare clients of its two backends in the same
//! run.

mod postgresql;
mod sqlite;

use std::sync::Arc;
use std::time::{Duration, Instant};

use stonevane_emulators::MonotonicClock;
use stonevane_store::{Edit, Store, StoreError};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use super::{BenchResult, median};

/// Number of distinct keys that are read and written.
const KEYS: u64 = 1_000;
/// Length of a value in bytes.
const VALUE_LEN: usize = 64;
/// Calls in flight in the measurements with concurrent calls.
const CONCURRENT_CALLS: u64 = 64;
/// Duration of each measurement.
const DURATION: Duration = Duration::from_secs(1);
/// Retention of idempotency keys, in milliseconds.
const REMEMBER_MS: u64 = 200;

/// Measures both backends.
pub(super) fn run(rounds: u64) -> BenchResult {
    let folder = std::env::temp_dir().join(format!("stonevane-bench-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let measured = sqlite::measure(rounds, &folder).and_then(|()| postgresql::measure(rounds));
    let _ = std::fs::remove_dir_all(&folder);
    measured
}

/// Makes calls one after another on a task of the runtime, as a node does; returns calls per second.
async fn sequential_rate<T, E>(mut call: impl AsyncFnMut(u64) -> Result<T, E>) -> Result<f64, E> {
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < DURATION {
        call(count).await?;
        count += 1;
    }
    Ok(count as f64 / begun.elapsed().as_secs_f64())
}

/// Repeats `work`, which returns the number of calls it made; returns calls per second.
fn rate<E>(mut work: impl FnMut(u64) -> Result<u64, E>) -> Result<f64, E> {
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < DURATION {
        count += work(count)?;
    }
    Ok(count as f64 / begun.elapsed().as_secs_f64())
}

fn key(number: u64) -> String {
    format!("key-{}", number % KEYS)
}

/// Returns a unique idempotency key for a write of the bare client.
fn bare_token(number: u64) -> String {
    format!("{:x}-bare-{number}", MonotonicClock::now())
}

fn edit(number: u64) -> Edit {
    let token = Some(format!("{:x}-{number}", MonotonicClock::now()));
    Edit { key: key(number), value: vec![b'w'; VALUE_LEN], token, remember_ms: REMEMBER_MS }
}

/// Calls per second of a store, one at a time and concurrent.
struct StoreRates {
    reads: f64,
    concurrent_reads: f64,
    writes: f64,
    concurrent_writes: f64,
}

impl StoreRates {
    fn measure<S: Store + 'static>(runtime: &Runtime, store: &Arc<S>) -> BenchResult<StoreRates> {
        Ok(StoreRates {
            reads: runtime.block_on(sequential_rate(async |number| store.get(&key(number)).await))?,
            concurrent_reads: rate(|first| runtime.block_on(concurrent_calls(store, first, Call::Read)))?,
            writes: runtime.block_on(sequential_rate(async |number| store.edit(edit(number)).await))?,
            concurrent_writes: rate(|first| runtime.block_on(concurrent_calls(store, first, Call::Write)))?,
        })
    }
}

#[derive(Debug, Clone, Copy)]
enum Call {
    Read,
    Write,
}

/// Makes [`CONCURRENT_CALLS`] calls at once; returns their number.
async fn concurrent_calls<S: Store + 'static>(store: &Arc<S>, first: u64, call: Call) -> BenchResult<u64> {
    let mut calls: JoinSet<Result<(), StoreError>> = JoinSet::new();
    for number in first..first + CONCURRENT_CALLS {
        let store = store.clone();
        calls.spawn(async move {
            match call {
                Call::Write => store.edit(edit(number)).await.map(drop),
                Call::Read => store.get(&key(number)).await.map(drop),
            }
        });
    }
    while let Some(done) = calls.join_next().await {
        done??;
    }
    Ok(CONCURRENT_CALLS)
}

/// A row of the printed table: calls per second in each round.
struct Row {
    name: &'static str,
    /// Index of the row that this row is compared with.
    baseline: usize,
    rates: Vec<f64>,
}

impl Row {
    fn new(name: &'static str, baseline: usize) -> Row {
        Row { name, baseline, rates: Vec::new() }
    }
}

/// Prints each row's median and its ratio to the baseline's median.
fn print_table(title: &str, rounds: u64, rows: &[Row]) {
    outln!("{title:<36} calls a second, median of {rounds}   ratio to bare");
    let medians: Vec<f64> = rows.iter().map(|row| median(row.rates.clone())).collect();
    for (row, own) in rows.iter().zip(&medians) {
        outln!("{:<36} {own:>12.0} {:>24.2}", row.name, own / medians[row.baseline]);
    }
}
