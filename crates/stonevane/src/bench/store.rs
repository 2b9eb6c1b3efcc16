//! The store of record beside what it is built on, side by side in one run.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stonevane_emulators::MonotonicClock;
use stonevane_emulators::postgres::Postgres as Server;
use stonevane_lab::{NodeKind, Options as RunOptions, Scenario};
use stonevane_store::postgres::tokio_postgres::{self, NoTls};
use stonevane_store::sqlite::{Options, rusqlite};
use stonevane_store::{Edit, Postgres, Sqlite, Store, postgres, quick};
use tokio::runtime::Runtime;

const KEYS: u64 = 1_000;
/// Calls that are out at once, where several are.
const TOGETHER: u64 = 64;

/// A second of calls one by one on a task of a runtime, as a node makes them, in calls a second.
async fn one_by_one<T, E: std::fmt::Display>(
    mut call: impl AsyncFnMut(u64) -> Result<T, E>,
) -> Result<f64, String> {
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < Duration::from_secs(1) {
        call(count).await.map_err(words)?;
        count += 1;
    }
    Ok(count as f64 / begun.elapsed().as_secs_f64())
}

/// A second of some work, in calls a second.
fn rate(mut work: impl FnMut(u64) -> Result<u64, String>) -> Result<f64, String> {
    let begun = Instant::now();
    let mut count = 0;
    while begun.elapsed() < Duration::from_secs(1) {
        count += work(count)?;
    }
    Ok(count as f64 / begun.elapsed().as_secs_f64())
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}

fn key(at: u64) -> String {
    format!("key-{}", at % KEYS)
}

fn edit(at: u64) -> Edit {
    let token = Some(format!("{:x}-{at}", MonotonicClock::now()));
    Edit { key: key(at), value: vec![b'w'; 64], token, remember_ms: 200 }
}

fn words(e: impl std::fmt::Display) -> String {
    e.to_string()
}

/// Calls a second of a store: reads one by one and together, edits one by one and together.
fn of_store<S: Store + 'static>(runtime: &Runtime, store: &Arc<S>) -> Result<[f64; 4], String> {
    let together = |at: u64, edits: bool| {
        runtime.block_on(async {
            let mut calls = tokio::task::JoinSet::new();
            for call in at..at + TOGETHER {
                let store = store.clone();
                calls.spawn(async move {
                    match edits {
                        true => store.edit(edit(call)).await.map(drop),
                        false => store.get(&key(call)).await.map(drop),
                    }
                });
            }
            while let Some(done) = calls.join_next().await {
                done.map_err(words)?.map_err(words)?;
            }
            Ok(TOGETHER)
        })
    };
    Ok([
        runtime.block_on(one_by_one(async |at| store.get(&key(at)).await))?,
        rate(|at| together(at, false))?,
        runtime.block_on(one_by_one(async |at| store.edit(edit(at)).await))?,
        rate(|at| together(at, true))?,
    ])
}

/// Measures both stores.
pub fn run(rounds: u64) -> Result<(), String> {
    let folder = std::env::temp_dir().join(format!("stonevane-bench-store-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(words)?;
    let measured = sqlite(rounds, &folder).and_then(|()| postgresql(rounds));
    let _ = std::fs::remove_dir_all(&folder);
    measured
}

/// One line for each row: its median, and its ratio to the row that is named.
fn table(title: &str, rounds: u64, rows: &[(&str, usize)], figures: &[Vec<f64>]) {
    say!("{title:<36} calls a second, median of {rounds}   ratio to bare");
    let medians: Vec<f64> = figures.iter().cloned().map(median).collect();
    for (at, (name, to)) in rows.iter().enumerate() {
        say!("{name:<36} {:>12.0} {:>24.2}", medians[at], medians[at] / medians[*to]);
    }
}

fn sqlite(rounds: u64, folder: &Path) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(words)?;
    let path = folder.join("zones.db");
    let threads = Arc::new(Sqlite::open(&path, &Options::default()).map_err(words)?);
    let zones = (0..KEYS).map(|at| (key(at), vec![b'v'; 64])).collect();
    runtime.block_on(threads.import("bench", KEYS, zones)).map_err(words)?;
    let here = Options { here: Some(quick::Limits::default()), ..Options::default() };
    let here = Arc::new(Sqlite::open(&path, &here).map_err(words)?);
    let bare = rusqlite::Connection::open(&path).map_err(words)?;
    bare.pragma_update(None, "synchronous", "FULL").map_err(words)?;
    let mut all: [Vec<f64>; 8] = Default::default();
    for _ in 0..rounds {
        all[0].push(rate(|at| {
            let mut get =
                bare.prepare_cached("SELECT value, version FROM zones WHERE key = ?1").map_err(words)?;
            let row = get.query_row([key(at)], |row| row.get::<_, Vec<u8>>(0));
            row.map(|_| 1).map_err(words)
        })?);
        all[5].push(rate(|at| {
            // The same rows as an edit of the store, in one transaction.
            let token = format!("{:x}-bare-{at}", MonotonicClock::now());
            bare.execute_batch("BEGIN IMMEDIATE").map_err(words)?;
            let version = "UPDATE counter SET version = version + 1 RETURNING version";
            let mut version = bare.prepare_cached(version).map_err(words)?;
            let version: i64 = version.query_row([], |row| row.get(0)).map_err(words)?;
            let write = "UPDATE zones SET value = ?2, version = ?3, edited_at = 0 WHERE key = ?1";
            let mut write = bare.prepare_cached(write).map_err(words)?;
            write.execute(rusqlite::params![key(at), vec![b'x'; 64], version]).map_err(words)?;
            let note = "INSERT INTO edits (token, key, digest, version, expires) VALUES (?1, ?2, 0, ?3, 0)";
            let mut note = bare.prepare_cached(note).map_err(words)?;
            note.execute(rusqlite::params![token, key(at), version]).map_err(words)?;
            bare.execute_batch("COMMIT").map(|()| 1).map_err(words)
        })?);
        let figures = of_store(&runtime, &threads)?;
        [1, 2, 6, 7].iter().zip(figures).for_each(|(at, figure)| all[*at].push(figure));
        let figures = of_store(&runtime, &here)?;
        [3, 4].iter().zip(figures).for_each(|(at, figure)| all[*at].push(figure));
    }
    let rows = [
        ("bare read", 0),
        ("store read, one by one", 0),
        ("store read, 64 at once", 0),
        ("on the caller's thread, one by one", 0),
        ("on the caller's thread, 64 at once", 0),
        ("bare write, a commit each", 5),
        ("store edit, a commit each", 5),
        ("store edit, 64 at once", 5),
    ];
    table("SQLite", rounds, &rows, &all);
    Ok(())
}

/// The stand-in on a thread of its own: its URL.
fn server() -> Result<String, String> {
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async move {
            let Ok(server) = Server::start(std::net::Ipv4Addr::LOCALHOST.into()).await else { return };
            let _ = tell.send(server.url());
            std::future::pending::<()>().await;
        });
    });
    told.recv_timeout(Duration::from_secs(10)).map_err(|_| "the stand-in did not start".into())
}

/// A client with one connection and its statements prepared, and what an edit of the store does, in the same trips.
struct Bare {
    client: tokio_postgres::Client,
    statements: [tokio_postgres::Statement; 5],
}

impl Bare {
    async fn new(url: &str) -> Result<Bare, tokio_postgres::Error> {
        let (client, connection) = tokio_postgres::connect(url, NoTls).await?;
        tokio::spawn(connection);
        let prepare = |sql: &'static str| client.prepare(sql);
        let statements = [
            prepare("SELECT value, version FROM zones WHERE key = $1::text").await?,
            // What a store must ask, to know a copy that lags.
            prepare(
                "SELECT c.version, z.value, z.version, z.edited_at FROM counter c \
                 LEFT JOIN zones z ON z.key = $1::text WHERE c.id = 1",
            )
            .await?,
            prepare("UPDATE counter SET version = version + 1 WHERE id = 1 RETURNING version").await?,
            prepare("UPDATE zones SET value = $2::bytea, version = $3::bigint WHERE key = $1::text").await?,
            prepare("INSERT INTO edits (token, key, digest, version, expires) VALUES ($1::text, $2::text, 0, $3::bigint, 0)")
                .await?,
        ];
        Ok(Bare { client, statements })
    }

    async fn get(&self, statement: usize, at: u64) -> Result<(), tokio_postgres::Error> {
        self.client.query_opt(&self.statements[statement], &[&key(at)]).await.map(drop)
    }

    async fn edit(&self, at: u64) -> Result<(), tokio_postgres::Error> {
        let [_, _, next, put, note] = &self.statements;
        let (key, token, value) = (key(at), format!("{:x}-bare-{at}", MonotonicClock::now()), vec![b'x'; 64]);
        let (begun, version) =
            tokio::join!(self.client.batch_execute("BEGIN"), self.client.query_one(next, &[]));
        begun?;
        let version: i64 = version?.try_get(0)?;
        type Row<'a> = [&'a (dyn tokio_postgres::types::ToSql + Sync); 3];
        let (put_it, note_it): (Row<'_>, Row<'_>) = ([&key, &value, &version], [&token, &key, &version]);
        let (put, noted) =
            tokio::join!(self.client.execute(put, &put_it), self.client.execute(note, &note_it));
        put.and(noted)?;
        self.client.batch_execute("COMMIT").await
    }
}

fn postgresql(rounds: u64) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(words)?;
    let url = server()?;
    let store = Arc::new(Postgres::new(&url, postgres::Options::default()).map_err(words)?);
    for at in 0..KEYS {
        runtime.block_on(store.edit(Edit { token: None, ..edit(at) })).map_err(words)?;
    }
    let bare = runtime.block_on(Bare::new(&url)).map_err(words)?;
    let mut all: [Vec<f64>; 6] = Default::default();
    for _ in 0..rounds {
        all[0].push(runtime.block_on(one_by_one(async |at| bare.get(0, at).await))?);
        all[1].push(runtime.block_on(one_by_one(async |at| bare.get(1, at).await))?);
        all[4].push(runtime.block_on(one_by_one(async |at| bare.edit(at).await))?);
        let figures = of_store(&runtime, &store)?;
        [2, 3, 5].iter().zip(figures).for_each(|(at, figure)| all[*at].push(figure));
    }
    let rows = [
        ("bare read, one connection", 0),
        ("bare read, the counter with it", 0),
        ("store read, one by one", 1),
        ("store read, 64 at once", 1),
        ("bare write, a commit each", 4),
        ("store edit, a commit each", 4),
    ];
    table("PostgreSQL (the stand-in)", rounds, &rows, &all);
    Ok(())
}

/// Cold caches that nobody fills, before a store that takes 100 ms a statement: each read is a miss, of three keys.
const STAMPEDE: &str = "name = \"stampede\"\nabout = \"\"\n[fleet]\nnodes = 4\ncaches = 8\nwarm_keys = 0.0\nsockets = 512\n\
    [store]\nstall_ms = 1000\nholds = 100\nfills = false\nedit_visibility = \"store\"\nshare_fetches = SHARES\n\
    [load]\nper_s = 300\nfor_ms = 4000\nedits = 0.0\nkeys = 3\nzipf = 0.9\nquota = 4.0\nretries = 0\n\
    [[fault]]\ndo = \"store-slow\"\nby_ms = 100\nat_ms = 0\nfor_ms = 4000\n";

/// Plays a stampede with and without shared fetches, in turn.
pub fn stampede(rounds: u64, program: &Path) -> Result<(), String> {
    say!("{:<16} {:>8} {:>8} {:>9} {:>9} {:>14}", "", "asked", "served", "p50 ms", "p99 ms", "store queries");
    let mut ratios = Vec::new();
    for seed in 1..=rounds {
        let mut queries = Vec::new();
        for shares in [true, false] {
            let text = STAMPEDE.replace("SHARES", if shares { "true" } else { "false" });
            let scenario = Scenario::parse(&text).map_err(|e| format!("{e:?}"))?;
            let kind = NodeKind::Process(std::path::PathBuf::from(program).into());
            let options = RunOptions { seed: Some(seed), ..RunOptions::of(kind) };
            let outcome = stonevane_lab::run(&scenario, &options).map_err(words)?;
            if outcome.report.broken > 0 {
                return Err(format!("a rule was broken, seed {seed}: {:?}", outcome.report));
            }
            let summary = &outcome.summary;
            let figure = |name| summary.figure(name, &outcome.report).unwrap_or(f64::NAN);
            let asked_of_it = summary.store_queries.unwrap_or(0);
            say!(
                "{:<16} {:>8.0} {:>8.3} {:>9.1} {:>9.1} {:>14}",
                if shares { "shared" } else { "each its own" },
                figure("asked"),
                figure("served"),
                figure("p50_ms"),
                figure("p99_ms"),
                asked_of_it
            );
            queries.push(asked_of_it as f64 / (figure("served") * figure("asked")).max(1.0));
        }
        ratios.push(queries[0] / queries[1]);
    }
    say!("queries for one read that is served, shared / each its own, median: {:.2}", median(ratios));
    Ok(())
}
