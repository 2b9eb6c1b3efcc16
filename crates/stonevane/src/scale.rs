//! `stonevane scale`: measures the cost of fleets of many thousands of nodes.

mod measure;
mod run;
mod table;

use clap::Subcommand;

use crate::error::CommandError;

/// Subcommands of `stonevane scale`.
#[derive(Subcommand)]
pub enum Scale {
    /// Measure the cost of one role of a node (for example membership) at several sizes, and how the cost
    /// grows.
    Measure(measure::Measure),
    /// Print the capacity tables from recorded measurements.
    Table(table::Table),
    /// Run fleets of stub nodes on this machine and print a line of figures for each size.
    Run(run::Run),
    /// Run one worker process of a fleet of stub nodes; only `scale run` starts it.
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
