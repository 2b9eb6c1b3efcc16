//! `stonevane fleet`: membership among the nodes, in simulation and as reported by running nodes.

mod measure;
mod simulate;
mod status;

use std::time::Duration;

use clap::Subcommand;
use stonevane_membership::Mutant;

use self::measure::Measure;
use self::simulate::Simulate;
use self::status::NodeQuery;
use crate::arguments::ArgumentError;
use crate::error::CommandError;

/// Subcommands of `stonevane fleet`.
#[derive(Subcommand)]
pub enum Fleet {
    /// Simulate the membership protocol with faults drawn from seeds; exit with code 1 if a rule of
    /// membership is broken.
    #[command(after_help = "Examples:
  stonevane fleet simulate --seeds 1..2000
  stonevane fleet simulate --seeds 1..40 --mutant no-repair     a mutant, which must be detected
  stonevane fleet simulate --seeds 17 --shrink                  the smallest plan with the same failure
  stonevane fleet simulate --plan smallest.json
  stonevane fleet simulate --seeds 1..5 --members 1000
  stonevane fleet simulate --mutants                            the mutants, one per line")]
    Simulate(Simulate),
    /// Measure simulated fleets: time to detect a death, false deaths (healthy members declared dead) and
    /// traffic, by packet loss and share of slow members.
    #[command(
        after_help = "Example: stonevane fleet measure --members 16,64,300,1000 --seconds 600 --csv fleet.csv"
    )]
    Measure(Measure),
    /// Show what nodes report of the other members: a table for each node, dead and suspected members first.
    #[command(after_help = "Example: stonevane fleet status 127.0.0.1:7950")]
    Status(NodeQuery),
    /// Poll nodes and print a line for each change of a member's state or of the link to it.
    #[command(after_help = "Example: stonevane fleet watch 127.0.0.1:7950 --every-ms 500")]
    Watch {
        #[command(flatten)]
        query: NodeQuery,
        /// Interval between two polls, in milliseconds.
        #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(50..=3_600_000))]
        every_ms: u64,
        /// Number of polls before exiting; 0 polls until interrupted.
        #[arg(long, default_value_t = 0)]
        looks: u64,
    },
    /// Explain the state of one member in sentences, as each queried node sees it. Query several nodes to
    /// find a link that is broken in one direction.
    #[command(after_help = "Example: stonevane fleet explain n7 127.0.0.1:7950 127.0.0.1:7951")]
    Explain {
        /// Member to explain: its number (for example `n7`), or its address as in the `peers` setting.
        node: String,
        #[command(flatten)]
        query: NodeQuery,
    },
}

/// Parses the name of a mutant of the membership machine.
pub fn mutant(name: &str) -> Result<Mutant, ArgumentError> {
    Mutant::named(name).ok_or(ArgumentError::UnknownMutant { command: "stonevane fleet simulate --mutants" })
}

impl Fleet {
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Fleet::Simulate(simulate) => simulate.run(),
            Fleet::Measure(measure) => measure.run(),
            Fleet::Status(query) => query.status(),
            Fleet::Watch { query, every_ms, looks } => query.watch(Duration::from_millis(every_ms), looks),
            Fleet::Explain { node, query } => query.explain(&node),
        }
    }
}

/// Formats microseconds as seconds; `-` for `None`.
fn seconds(us: Option<u64>) -> String {
    us.map_or("-".into(), |us| format!("{:.1}", us as f64 / 1e6))
}
