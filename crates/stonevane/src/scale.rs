//! `stonevane scale`: what fleets of many thousands of nodes cost.

mod measure;
mod run;
mod table;

use clap::Subcommand;

use crate::error::CommandError;

/// The commands on the size of fleets.
#[derive(Subcommand)]
pub enum Scale {
    /// Measures what one role costs at several sizes, and how that grows.
    Measure(measure::Measure),
    /// Prints the tables of capacity from kept measurements.
    Table(table::Table),
    /// Runs fleets of hollow nodes on this machine: a line of figures for each size.
    Run(run::Run),
    /// One process of such a fleet; started by `run` only.
    #[command(hide = true)]
    Worker(run::Worker),
}

impl Scale {
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Scale::Measure(measure) => measure.run(),
            Scale::Table(table) => table.run(),
            Scale::Run(run) => run.run(),
            Scale::Worker(worker) => worker.run(),
        }
    }
}
