//! `stonevane store`: operator commands for the store of record.

mod export;
mod import;
mod put;
mod rows;
mod top;
mod torture;

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::Subcommand;
use stonevane_store::sqlite::{Options, SCHEMA_VERSION, check};
use stonevane_store::{Sqlite, StoreError};

use self::import::Import;
use self::top::Top;
use crate::error::CommandError;

/// Maximum number of zones in one transaction of an import or in one read of an export.
const BATCH_ZONES: usize = 1_000;
/// Interval between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Subcommands of `stonevane store`.
#[derive(Subcommand)]
pub enum Store {
    /// Create a store, or migrate an existing one to the newest format.
    #[command(after_help = "Example: stonevane store init zones.db")]
    Init {
        /// Store file.
        file: PathBuf,
    },
    /// Check an entire store: pages, indices and versions; exit with code 1 if it is damaged.
    #[command(after_help = "Example: stonevane store check zones.db")]
    Check {
        /// Store file.
        file: PathBuf,
    },
    /// Import zones; an interrupted import resumes where it stopped.
    #[command(after_help = "Examples:
  stonevane store import zones.db zones.csv          CSV with the header key,value
  stonevane store import zones.db zones.jsonl        one JSON object per line, with key and value")]
    Import(Import),
    /// Export all zones in the order of their keys; the extension selects the format.
    #[command(after_help = "Examples:
  stonevane store export zones.db zones.csv
  stonevane store export --salvage damaged.db saved.jsonl     the readable part of a damaged file")]
    Export {
        /// Store file.
        file: PathBuf,
        /// Output file, `.csv` or `.jsonl`.
        to: PathBuf,
        /// Export the readable part of a damaged file, without writing to that file.
        #[arg(long)]
        salvage: bool,
    },
    /// Show a store's activity, one line per poll: zones, edits per second, response time, latest changes.
    #[command(after_help = "Examples:
  stonevane store top zones.db
  stonevane store top postgres://stonevane@127.0.0.1:5432/zones --every-ms 500 --looks 10 --json

Exit code 1 if the last poll had no answer.")]
    Top(Top),
    /// Apply edits from standard input, one `TOKEN KEY VALUE` per line, and print `TOKEN VERSION REPEAT` for
    /// each applied edit (REPEAT: whether the token had been applied before).
    Put {
        /// Store file.
        file: PathBuf,
    },
    /// Kill a writing process repeatedly, and check that no confirmed edit is lost and no edit is applied
    /// twice.
    #[command(after_help = "Example: stonevane store torture scratch.db --kills 1000")]
    Torture {
        /// Store file to create; it must not exist.
        file: PathBuf,
        /// Number of kills.
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        kills: u64,
        /// Seed of the times of the kills.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Corrupt(_) => CommandError::Damaged(error.to_string()),
            StoreError::Foreign | StoreError::Newer { .. } | StoreError::Bounds(_) => {
                CommandError::unusable(error)
            }
            _ => CommandError::not_run(error),
        }
    }
}

impl From<io::Error> for CommandError {
    fn from(error: io::Error) -> Self {
        CommandError::unusable(error)
    }
}

impl Store {
    pub fn run(self) -> Result<(), CommandError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| CommandError::not_run(error).about("stonevane"))?;
        let (name, done) = match self {
            Store::Init { file } => (file.display().to_string(), init(&file)),
            Store::Check { file } => (file.display().to_string(), check_file(&file)),
            Store::Import(import) => (import.source_name(), runtime.block_on(import.run())),
            Store::Export { file, to, salvage: true } => {
                (file.display().to_string(), export::salvage(&file, &to))
            }
            Store::Export { file, to, salvage: false } => {
                (file.display().to_string(), runtime.block_on(export::export(&file, &to)))
            }
            Store::Top(top) => (top.store.clone(), runtime.block_on(top.run())),
            Store::Put { file } => (file.display().to_string(), runtime.block_on(put::put(&file))),
            Store::Torture { file, kills, seed } => {
                (file.display().to_string(), torture::torture(&file, kills, seed))
            }
        };
        done.map_err(|error| error.about(name))
    }
}

fn open(file: &Path) -> Result<Sqlite, CommandError> {
    Ok(Sqlite::open(file, &Options::default())?)
}

/// Opens a store; fails if the file does not exist.
fn open_existing(file: &Path) -> Result<Sqlite, CommandError> {
    if !file.is_file() {
        return Err(CommandError::unusable("no such store; create one with `stonevane store init`"));
    }
    open(file)
}

fn init(file: &Path) -> Result<(), CommandError> {
    open(file)?;
    outln!("{}: a store of form {SCHEMA_VERSION}", file.display());
    Ok(())
}

fn check_file(file: &Path) -> Result<(), CommandError> {
    if !file.is_file() {
        return Err(CommandError::unusable("no such store"));
    }
    let zones = check(file, &Options::default())?;
    outln!("{}: good, {zones} zones", file.display());
    Ok(())
}

/// Prints progress at most once per [`PROGRESS_INTERVAL`].
struct Progress {
    begun: Instant,
    last_printed: Instant,
}

impl Progress {
    fn new() -> Self {
        Progress { begun: Instant::now(), last_printed: Instant::now() }
    }

    fn update(&mut self, done: u64, unit: &str) {
        if self.last_printed.elapsed() >= PROGRESS_INTERVAL {
            self.last_printed = Instant::now();
            let rate = done as f64 / self.begun.elapsed().as_secs_f64();
            errln!("  {done} {unit}, {rate:.0} per second");
        }
    }
}
