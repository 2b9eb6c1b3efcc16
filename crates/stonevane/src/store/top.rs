//! `stonevane store top`: what a store of record is doing, while it does.

use std::collections::VecDeque;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Args;
use stonevane_store::postgres::Options as PoolOptions;
use stonevane_store::sqlite::Options;
use stonevane_store::{Change, Postgres, Sqlite, Store, StoreError, StoreStats};
use tokio::time::timeout;

use crate::error::CommandError;

/// Changes that are read at a look, at most.
const MAX_CHANGES: usize = 1_000;
/// Keys that are named.
const NAMED_KEYS: usize = 5;
/// Looks over which the slowest answer is shown.
const SLOWEST_WINDOW: usize = 60;
/// Looks between two headers.
const HEADER_INTERVAL: u64 = 20;
/// The least and the greatest time limit of a look.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_TIMEOUT: Duration = Duration::from_secs(5);

/// What is looked at, and how often.
#[derive(Args)]
pub struct Top {
    /// A file, or `postgres://user@host:5432/database`.
    pub store: String,
    /// The time between two looks.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(50..=3_600_000))]
    every_ms: u64,
    /// Looks, and then the end; 0: until it is stopped.
    #[arg(long, default_value_t = 0)]
    looks: u64,
    /// A JSON object a look.
    #[arg(long)]
    json: bool,
}

/// One look.
struct Look {
    figures: Result<StoreStats, StoreError>,
    /// How long the store took to answer.
    took: Duration,
    /// What changed since the look before, the oldest first.
    changes: Vec<Change>,
    /// Writes per second since the look before.
    rate: Option<f64>,
    /// The slowest answer of the last looks.
    slowest: Duration,
    sizes: Option<FileSizes>,
}

/// The size of a store's file and of the log beside it, in bytes.
#[derive(Debug, Clone, Copy)]
struct FileSizes {
    file: u64,
    log: u64,
}

impl FileSizes {
    fn read(file: &Path) -> FileSizes {
        let size = |path: &Path| path.metadata().map_or(0, |file| file.len());
        let mut log = file.as_os_str().to_owned();
        log.push("-wal");
        FileSizes { file: size(file), log: size(Path::new(&log)) }
    }
}

/// A store that is looked at, and what the last looks have shown.
struct Watch<'a> {
    store: Arc<dyn Store>,
    /// The store's file, where it is one.
    file: Option<&'a Path>,
    timeout: Duration,
    /// The version at the last look that had an answer, and its moment.
    previous: Option<(u64, Instant)>,
    times: VecDeque<Duration>,
}

impl Watch<'_> {
    async fn look(&mut self) -> Look {
        let begun = Instant::now();
        let answer = timeout(self.timeout, self.store.stats()).await;
        let figures = answer.unwrap_or(Err(StoreError::TimedOut));
        let took = begun.elapsed();
        let changes = self.changes(&figures).await;
        if self.times.len() == SLOWEST_WINDOW {
            self.times.pop_front();
        }
        self.times.push_back(took);
        let rate = match (&figures, self.previous) {
            (Ok(now), Some((version, at))) => {
                let elapsed_s = (begun - at).as_secs_f64().max(1e-3);
                Some(now.version.saturating_sub(version) as f64 / elapsed_s)
            }
            _ => None,
        };
        if let Ok(now) = &figures {
            self.previous = Some((now.version, begun));
        }
        let slowest = self.times.iter().max().copied().unwrap_or_default();
        Look { figures, took, changes, rate, slowest, sizes: self.file.map(FileSizes::read) }
    }

    /// What has changed since the look before.
    async fn changes(&self, figures: &Result<StoreStats, StoreError>) -> Vec<Change> {
        match (self.previous, figures) {
            (Some((version, _)), Ok(now)) if now.version > version => {
                let read = timeout(self.timeout, self.store.changes(version, MAX_CHANGES)).await;
                read.ok().and_then(Result::ok).unwrap_or_default()
            }
            _ => Vec::new(),
        }
    }
}

impl Top {
    /// Looks and prints until it is stopped.
    pub(super) async fn run(&self) -> Result<(), CommandError> {
        let file = (!self.store.contains("://")).then(|| Path::new(&self.store));
        if file.is_some_and(|file| !file.is_file()) {
            return Err(CommandError::unusable("there is no such store"));
        }
        let store: Arc<dyn Store> = if let Some(file) = file {
            Arc::new(Sqlite::open(file, &Options { readers: 1, ..Options::default() })?)
        } else {
            let options = PoolOptions { connections: 1, ..PoolOptions::default() };
            Arc::new(Postgres::new(&self.store, options)?)
        };
        let interval = Duration::from_millis(self.every_ms);
        let timeout = interval.clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        let mut watch = Watch { store, file, timeout, previous: None, times: VecDeque::new() };
        let stopped = stonevane_lab::interrupted();
        tokio::pin!(stopped);
        let mut answered = false;
        for turn in 1u64.. {
            let begun = Instant::now();
            let look = watch.look().await;
            answered = look.figures.is_ok();
            if !self.json && turn % HEADER_INTERVAL == 1 {
                print_header(file.is_some());
            }
            match self.json {
                true => print_json(&look),
                false => print_line(&look),
            }
            if turn == self.looks {
                break;
            }
            tokio::select! {
                () = &mut stopped => break,
                () = tokio::time::sleep(interval.saturating_sub(begun.elapsed())) => {}
            }
        }
        match answered {
            true => Ok(()),
            false => Err(CommandError::Damaged("the store gave no answer at the last look".into())),
        }
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// The keys that changed last, the newest first.
fn newest_keys(look: &Look) -> Vec<&str> {
    look.changes.iter().rev().take(NAMED_KEYS).map(|change| change.key.as_str()).collect()
}

fn print_header(with_sizes: bool) {
    let sizes = if with_sizes { format!(" {:>9} {:>9}", "file MB", "log MB") } else { String::new() };
    say!(
        "{:>10} {:>9} {:>10} {:>8} {:>9} {:>9}{sizes}  changed last",
        "zones",
        "edits/s",
        "version",
        "tokens",
        "took ms",
        "worst ms"
    );
}

fn print_line(look: &Look) {
    let sizes = look.sizes.map_or(String::new(), |sizes| {
        format!(" {:>9.1} {:>9.1}", sizes.file as f64 / 1e6, sizes.log as f64 / 1e6)
    });
    match &look.figures {
        Ok(now) => say!(
            "{:>10} {:>9} {:>10} {:>8} {:>9.1} {:>9.1}{sizes}  {}",
            now.zones,
            look.rate.map_or("-".into(), |rate| format!("{rate:.1}")),
            now.version,
            now.tokens,
            milliseconds(look.took),
            milliseconds(look.slowest),
            newest_keys(look).join(" ")
        ),
        Err(error) => say!("{error}, after {:.0} ms{sizes}", milliseconds(look.took)),
    }
}

fn print_json(look: &Look) {
    let figures = look.figures.as_ref().ok();
    let line = serde_json::json!({
        "zones": figures.map(|figures| figures.zones), "version": figures.map(|figures| figures.version),
        "tokens": figures.map(|figures| figures.tokens), "edits_per_s": look.rate,
        "took_ms": milliseconds(look.took), "worst_ms": milliseconds(look.slowest),
        "file_bytes": look.sizes.map(|sizes| sizes.file), "log_bytes": look.sizes.map(|sizes| sizes.log),
        "changed": look.changes.len(), "changed_last": newest_keys(look),
        "error": look.figures.as_ref().err().map(ToString::to_string),
    });
    say!("{line}");
}
