//! `stonevane bench`: throughput of the lab, the store, the history writer and the auditor, each compared
//! with a baseline in the same run where there is one.

mod history;
mod nodes;
mod stampede;
mod store;

use std::path::PathBuf;

use clap::Subcommand;

use crate::error::CommandError;
use crate::node_program;

/// Subcommands of `stonevane bench`. Each prints all its figures from one run.
#[derive(Subcommand)]
pub enum Bench {
    /// Compare the node with a bare relay in its place: requests per second, latencies, CPU time per request.
    #[command(after_help = "Example: stonevane bench lab --rounds 3 --for-s 2 --connections 16")]
    Lab {
        /// Number of rounds; each program and the relay are measured once per round.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=50))]
        rounds: u64,
        /// Duration of each measurement, in seconds.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=60))]
        for_s: u64,
        /// Number of client connections; each sends its next request as soon as the previous one is answered.
        #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=64))]
        connections: u64,
        /// Socket limit of the node. A connection is paused after each response, so a low limit makes the
        /// node open new ones.
        #[arg(long, default_value_t = 512, value_parser = clap::value_parser!(u64).range(128..=1024))]
        sockets: u64,
        /// Path of the daemon's program [default: stonevane-node in the folder of this program].
        #[arg(long, value_name = "FILE")]
        node_program: Option<PathBuf>,
        /// Path of another build of the daemon, for example an older one, to measure in the same rounds.
        #[arg(long, value_name = "FILE")]
        beside: Option<PathBuf>,
    },
    /// Compare the store with bare SQLite and a bare PostgreSQL client: reads and edits per second, one at a
    /// time and concurrent.
    #[command(after_help = "Example: stonevane bench store --rounds 3")]
    Store {
        /// Number of rounds; each operation is measured once per round.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=50))]
        rounds: u64,
    },
    /// Send concurrent misses on a few keys to a fleet with a slow store of record, and compare shared
    /// fetches (concurrent reads of a key share one store query) with a query for each read.
    #[command(after_help = "Example: stonevane bench stampede --rounds 3")]
    Stampede {
        /// Number of rounds; each runs the load once with and once without shared fetches.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=50))]
        rounds: u64,
        /// Path of the daemon's program [default: stonevane-node in the folder of this program].
        #[arg(long, value_name = "FILE")]
        node_program: Option<PathBuf>,
    },
    /// Measure how many events per second the lab can record and its writer thread can write.
    #[command(after_help = "Example: stonevane bench record --events 1000000")]
    Record {
        /// Approximate number of events in the history.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(4..=10_000_000))]
        events: u64,
    },
    /// Measure how many events per second the auditor checks, on a generated history without violations.
    #[command(after_help = "Example: stonevane bench audit --events 1000000")]
    Audit {
        /// Approximate number of events in the history.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(4..=100_000_000))]
        events: u64,
    },
}

impl Bench {
    pub fn run(self) -> Result<(), CommandError> {
        let measured = match self {
            Bench::Lab { rounds, for_s, connections, sockets, node_program, beside } => {
                let program = node_program::find(node_program.as_deref()).map_err(CommandError::not_run)?;
                let candidates = nodes::Candidate::list(program, beside);
                nodes::Comparison { rounds, for_s, connections: connections as usize, sockets }
                    .run(&candidates)
            }
            Bench::Store { rounds } => store::run(rounds),
            Bench::Stampede { rounds, node_program } => {
                let program = node_program::find(node_program.as_deref()).map_err(CommandError::not_run)?;
                stampede::run(rounds, &program)
            }
            Bench::Record { events } => history::record(events),
            Bench::Audit { events } => history::audit_history(events),
        };
        measured.map_err(CommandError::not_run)
    }
}

/// Result of a measurement. Any error means that the command did not complete; its text is printed.
type BenchResult<T = ()> = Result<T, Box<dyn std::error::Error>>;

/// Returns the median; 0 for an empty list.
fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
