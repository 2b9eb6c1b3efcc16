//! `stonevane bench`: what the lab itself can do, and what the store does beside what it is built on.

mod history;
mod nodes;
mod stampede;
mod store;

use std::path::PathBuf;

use clap::Subcommand;

use crate::error::CommandError;
use crate::node_program;

/// Measurements; each prints its figures side by side from one run.
#[derive(Subcommand)]
pub enum Bench {
    /// The node and a bare relay in its place, in turn: requests a second, times, CPU of a request.
    #[command(after_help = "Example: stonevane bench lab --rounds 3 --for-s 2 --connections 16")]
    Lab {
        /// Turns of each.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=50))]
        rounds: u64,
        /// Seconds of each turn.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=60))]
        for_s: u64,
        /// Connections that ask as fast as answers come.
        #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=64))]
        connections: u64,
        /// Sockets of the node. A connection rests after each answer, so that fewer make it open new ones.
        #[arg(long, default_value_t = 512, value_parser = clap::value_parser!(u64).range(128..=1024))]
        sockets: u64,
        /// The daemon's program; else the one beside this program.
        #[arg(long, value_name = "FILE")]
        node_program: Option<PathBuf>,
        /// Another daemon's program, an older one say, that has its turns too.
        #[arg(long, value_name = "FILE")]
        beside: Option<PathBuf>,
    },
    /// The store beside bare SQLite and a bare PostgreSQL client: reads, edits one by one, edits that share a
    /// transaction.
    #[command(after_help = "Example: stonevane bench store --rounds 3")]
    Store {
        /// Turns of each.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=50))]
        rounds: u64,
    },
    /// A stampede of misses on a fleet before a slow store of record, with and without shared fetches.
    #[command(after_help = "Example: stonevane bench stampede --rounds 3")]
    Stampede {
        /// Turns of each.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=50))]
        rounds: u64,
        /// The daemon's program; else the one beside this program.
        #[arg(long, value_name = "FILE")]
        node_program: Option<PathBuf>,
    },
    /// Writing a history down: events a second that the lab can tell of, and that its writer takes.
    #[command(after_help = "Example: stonevane bench record --events 1000000")]
    Record {
        /// Its events, about.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(4..=10_000_000))]
        events: u64,
    },
    /// The auditor on a history that is made up, honest and large.
    #[command(after_help = "Example: stonevane bench audit --events 1000000")]
    Audit {
        /// Its events, about.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(4..=100_000_000))]
        events: u64,
    },
}

impl Bench {
    pub fn run(self) -> Result<(), CommandError> {
        let measured = match self {
            Bench::Lab { rounds, for_s, connections, sockets, node_program, beside } => {
                let program = node_program::find(node_program.as_deref()).map_err(CommandError::not_run)?;
                let contestants = nodes::Contestant::list(program, beside);
                nodes::Comparison { rounds, for_s, connections: connections as usize, sockets }
                    .run(&contestants)
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

/// What ends a measurement. Whatever has failed, the command was not run to its end, and its text is printed.
type BenchResult<T = ()> = Result<T, Box<dyn std::error::Error>>;

/// The median of some figures; 0 of none.
fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
