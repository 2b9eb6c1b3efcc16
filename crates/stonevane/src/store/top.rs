//! `stonevane store top`: polls a store of record and prints its activity.

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

/// Maximum number of changes read per poll.
const MAX_CHANGES: usize = 1_000;
/// Maximum number of changed keys printed per poll.
const MAX_PRINTED_KEYS: usize = 5;
/// Number of latest polls over which the slowest response is shown.
const SLOWEST_WINDOW_POLLS: usize = 60;
/// Number of polls between two headers.
const HEADER_INTERVAL_POLLS: u64 = 20;
/// Bounds of the time limit of each call to the store; between them the limit is the interval between polls.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of `stonevane store top`.
#[derive(Args)]
pub struct Top {
    /// Store file, or the URL of a PostgreSQL store: `postgres://user@host:5432/database`.
    pub store: String,
    /// Interval between two polls, in milliseconds.
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(50..=3_600_000))]
    every_ms: u64,
    /// Number of polls before exiting; 0 polls until interrupted.
    #[arg(long, default_value_t = 0)]
    looks: u64,
    /// Print a JSON object per poll.
    #[arg(long)]
    json: bool,
}

/// Result of one poll.
struct Sample {
    figures: Result<StoreStats, StoreError>,
    /// Response time of the call for the store's statistics.
    took: Duration,
    /// Changes since the previous poll, the oldest first.
    changes: Vec<Change>,
    /// Edits per second since the previous poll.
    rate: Option<f64>,
    /// Slowest response of the last [`SLOWEST_WINDOW_POLLS`] polls.
    slowest: Duration,
    sizes: Option<FileSizes>,
}

/// Sizes of a store's file and of its write-ahead log, in bytes.
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

/// Polls a store and keeps what is needed to compare it with earlier polls.
struct Sampler<'a> {
    store: Arc<dyn Store>,
    /// Path of a SQLite store; `None` for PostgreSQL.
    file: Option<&'a Path>,
    timeout: Duration,
    /// Version at the last successful poll, and the time of that poll.
    previous: Option<(u64, Instant)>,
    /// Response times of the last [`SLOWEST_WINDOW_POLLS`] polls.
    times: VecDeque<Duration>,
}

impl Sampler<'_> {
    async fn poll(&mut self) -> Sample {
        let begun = Instant::now();
        let answer = timeout(self.timeout, self.store.stats()).await;
        let figures = answer.unwrap_or(Err(StoreError::TimedOut));
        let took = begun.elapsed();
        let changes = self.changes(&figures).await;
        if self.times.len() == SLOWEST_WINDOW_POLLS {
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
        Sample { figures, took, changes, rate, slowest, sizes: self.file.map(FileSizes::read) }
    }

    /// Returns the changes since the last successful poll.
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
    /// Polls and prints until interrupted, or until the number of polls is reached.
    pub(super) async fn run(&self) -> Result<(), CommandError> {
        let file = (!self.store.contains("://")).then(|| Path::new(&self.store));
        if file.is_some_and(|file| !file.is_file()) {
            return Err(CommandError::unusable("no such store"));
        }
        let store: Arc<dyn Store> = if let Some(file) = file {
            Arc::new(Sqlite::open(file, &Options { readers: 1, ..Options::default() })?)
        } else {
            let options = PoolOptions { connections: 1, ..PoolOptions::default() };
            Arc::new(Postgres::new(&self.store, options)?)
        };
        let interval = Duration::from_millis(self.every_ms);
        let timeout = interval.clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        let mut sampler = Sampler { store, file, timeout, previous: None, times: VecDeque::new() };
        let stopped = stonevane_lab::interrupted();
        tokio::pin!(stopped);
        let mut answered = false;
        for poll in 1u64.. {
            let begun = Instant::now();
            let sample = sampler.poll().await;
            answered = sample.figures.is_ok();
            if !self.json && poll % HEADER_INTERVAL_POLLS == 1 {
                print_header(file.is_some());
            }
            match self.json {
                true => print_json(&sample),
                false => print_line(&sample),
            }
            if poll == self.looks {
                break;
            }
            tokio::select! {
                () = &mut stopped => break,
                () = tokio::time::sleep(interval.saturating_sub(begun.elapsed())) => {}
            }
        }
        match answered {
            true => Ok(()),
            false => Err(CommandError::Damaged("the store gave no answer at the last poll".into())),
        }
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns the keys of at most [`MAX_PRINTED_KEYS`] latest changes, the newest first.
fn newest_keys(sample: &Sample) -> Vec<&str> {
    sample.changes.iter().rev().take(MAX_PRINTED_KEYS).map(|change| change.key.as_str()).collect()
}

fn print_header(with_sizes: bool) {
    let sizes = if with_sizes { format!(" {:>9} {:>9}", "file MB", "log MB") } else { String::new() };
    outln!(
        "{:>10} {:>9} {:>10} {:>8} {:>9} {:>9}{sizes}  changed last",
        "zones",
        "edits/s",
        "version",
        "tokens",
        "took ms",
        "worst ms"
    );
}

fn print_line(sample: &Sample) {
    let sizes = sample.sizes.map_or(String::new(), |sizes| {
        format!(" {:>9.1} {:>9.1}", sizes.file as f64 / 1e6, sizes.log as f64 / 1e6)
    });
    match &sample.figures {
        Ok(now) => outln!(
            "{:>10} {:>9} {:>10} {:>8} {:>9.1} {:>9.1}{sizes}  {}",
            now.zones,
            sample.rate.map_or("-".into(), |rate| format!("{rate:.1}")),
            now.version,
            now.tokens,
            milliseconds(sample.took),
            milliseconds(sample.slowest),
            newest_keys(sample).join(" ")
        ),
        Err(error) => outln!("{error}, after {:.0} ms{sizes}", milliseconds(sample.took)),
    }
}

fn print_json(sample: &Sample) {
    let figures = sample.figures.as_ref().ok();
    let line = serde_json::json!({
        "zones": figures.map(|figures| figures.zones), "version": figures.map(|figures| figures.version),
        "tokens": figures.map(|figures| figures.tokens), "edits_per_s": sample.rate,
        "took_ms": milliseconds(sample.took), "worst_ms": milliseconds(sample.slowest),
        "file_bytes": sample.sizes.map(|sizes| sizes.file), "log_bytes": sample.sizes.map(|sizes| sizes.log),
        "changed": sample.changes.len(), "changed_last": newest_keys(sample),
        "error": sample.figures.as_ref().err().map(ToString::to_string),
    });
    outln!("{line}");
}
