//! `stonevane fleet`: membership among the nodes, in simulation and as running nodes report it.

mod measure;
mod simulate;
mod status;

use std::time::Duration;

use clap::Subcommand;
use stonevane_membership::Mutant;

use self::measure::Measure;
use self::simulate::Simulate;
use self::status::Ask;
use crate::arguments::ArgumentError;
use crate::error::CommandError;

/// The fleet's commands.
#[derive(Subcommand)]
pub enum Fleet {
    /// Plays simulated fleets of members with faults drawn from seeds; exit 1 where a rule is broken.
    #[command(after_help = "Examples:
  stonevane fleet simulate --seeds 1..2000
  stonevane fleet simulate --seeds 1..40 --mutant no-repair     a deliberate fault, to be found
  stonevane fleet simulate --seeds 17 --shrink                  the smallest plan that still fails so
  stonevane fleet simulate --plan smallest.json
  stonevane fleet simulate --seeds 1..5 --members 1000
  stonevane fleet simulate --mutants                            the deliberate faults, one a line")]
    Simulate(Simulate),
    /// Measures simulated fleets: time to detection and false deaths against loss and slow members, and what it costs.
    #[command(
        after_help = "Example: stonevane fleet measure --members 16,64,300,1000 --seconds 600 --csv fleet.csv"
    )]
    Measure(Measure),
    /// Asks a node what it knows of the others: a table, worst first.
    #[command(after_help = "Example: stonevane fleet status 127.0.0.1:7950")]
    Status(Ask),
    /// The same again and again: a line for each change.
    #[command(after_help = "Example: stonevane fleet watch 127.0.0.1:7950 --every-ms 500")]
    Watch {
        /// What is asked.
        #[command(flatten)]
        ask: Ask,
        /// The time between two looks.
        #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(50..=3_600_000))]
        every_ms: u64,
        /// Looks, and then the end; 0: until it is stopped.
        #[arg(long, default_value_t = 0)]
        looks: u64,
    },
    /// All that nodes know of one of them, in sentences: ask several, and each cut in one direction shows.
    #[command(after_help = "Example: stonevane fleet explain n7 127.0.0.1:7950 127.0.0.1:7951")]
    Explain {
        /// The member: its number, `n7`, or its address in `peers`.
        node: String,
        /// What is asked.
        #[command(flatten)]
        ask: Ask,
    },
}

/// Reads the name of a deliberate fault of a member.
pub fn mutant(name: &str) -> Result<Mutant, ArgumentError> {
    Mutant::named(name).ok_or(ArgumentError::UnknownMutant { command: "stonevane fleet simulate --mutants" })
}

impl Fleet {
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Fleet::Simulate(simulate) => simulate.run(),
            Fleet::Measure(measure) => measure.run(),
            Fleet::Status(ask) => ask.status(),
            Fleet::Watch { ask, every_ms, looks } => ask.watch(Duration::from_millis(every_ms), looks),
            Fleet::Explain { node, ask } => ask.explain(&node),
        }
    }
}

/// A time in seconds, where there is one.
fn seconds(us: Option<u64>) -> String {
    us.map_or("-".into(), |us| format!("{:.1}", us as f64 / 1e6))
}
