//! `stonevane store`: the store of record, for operators.

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

/// Zones of an import or an export in one transaction.
const BATCH: usize = 1_000;
/// How often progress is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// The store's commands.
#[derive(Subcommand)]
pub enum Store {
    /// Makes a store, or brings one to the newest form.
    #[command(after_help = "Example: stonevane store init zones.db")]
    Init {
        /// The file.
        file: PathBuf,
    },
    /// Checks a store whole: pages, indices, versions. Exit 1 where it is damaged.
    #[command(after_help = "Example: stonevane store check zones.db")]
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Imports zones; one that was broken off goes on where it stopped.
    #[command(after_help = "Examples:
  stonevane store import zones.db zones.csv          CSV with the header key,value
  stonevane store import zones.db zones.jsonl        a JSON object with key and value a line")]
    Import(Import),
    /// Exports all zones, in the order of their keys; the form by the name's ending.
    #[command(after_help = "Examples:
  stonevane store export zones.db zones.csv
  stonevane store export --salvage damaged.db saved.jsonl     what can be read of a damaged file")]
    Export {
        /// The file.
        file: PathBuf,
        /// Where to, `.csv` or `.jsonl`.
        to: PathBuf,
        /// Saves what can be read of a damaged file, which is not written to.
        #[arg(long)]
        salvage: bool,
    },
    /// Shows what a store is doing, a line a look: zones, edits a second, how long it takes to answer, what changed.
    #[command(after_help = "Examples:
  stonevane store top zones.db
  stonevane store top postgres://stonevane@127.0.0.1:5432/zones --every-ms 500 --looks 10 --json

Exit code 1 where the last look had no answer.")]
    Top(Top),
    /// Carries edits out that are read from standard input, `TOKEN KEY VALUE` a line; a line for each receipt.
    Put {
        /// The file.
        file: PathBuf,
    },
    /// Kills a writing process again and again, and checks that no receipt is lost and no edit done twice.
    #[command(after_help = "Example: stonevane store torture scratch.db --kills 1000")]
    Torture {
        /// A file that does not exist yet.
        file: PathBuf,
        /// How often.
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        kills: u64,
        /// Of the moments of the kills.
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

/// Opens a store that must be there already.
fn open_existing(file: &Path) -> Result<Sqlite, CommandError> {
    if !file.is_file() {
        return Err(CommandError::unusable("there is no such store; `stonevane store init` makes one"));
    }
    open(file)
}

fn init(file: &Path) -> Result<(), CommandError> {
    open(file)?;
    say!("{}: a store of form {SCHEMA_VERSION}", file.display());
    Ok(())
}

fn check_file(file: &Path) -> Result<(), CommandError> {
    if !file.is_file() {
        return Err(CommandError::unusable("there is no such store"));
    }
    let zones = check(file, &Options::default())?;
    say!("{}: good, {zones} zones", file.display());
    Ok(())
}

/// Prints progress now and then.
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
            warn!("  {done} {unit}, {rate:.0} a second");
        }
    }
}
