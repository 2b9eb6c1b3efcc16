//! `stonevane sim`: fleets of the node's core in one process, with faults drawn from seeds.

mod run;

use std::path::{Path, PathBuf};

use clap::Subcommand;
use stonevane_sim::{Mutant, MutantInfo, Options, Plan, run as simulate, shrink};

use crate::arguments::ArgumentError;
use crate::error::{CommandError, read_file, require};

/// The simulator's commands.
#[derive(Subcommand)]
pub enum Sim {
    /// Plays the plans of some seeds, or one plan with other seeds; exit 1 where one fails.
    #[command(after_help = "Examples:
  stonevane sim run --seeds 1..2000
  stonevane sim run --seeds 1..40 --mutant reset-not-run         a deliberate fault of the core, to be found
  stonevane sim run --seeds 1..100 --scenario plan.json
  stonevane sim run --seeds 1..8 --large                         100 nodes, 60 caches, with the fleet's sums

The last line gives seeds, requests and failures.")]
    Run(run::Run),
    /// Plays one seed again, and writes its history and its plan.
    #[command(
        after_help = "Example: stonevane sim replay 17 --history 17.jsonl; stonevane lab audit 17.jsonl"
    )]
    Replay {
        /// The seed.
        seed: u64,
        /// A plan in the place of the seed's own.
        #[arg(long, value_name = "FILE")]
        scenario: Option<PathBuf>,
        /// A deliberate fault.
        #[arg(long, value_parser = mutant)]
        mutant: Option<Mutant>,
        /// Where the history goes.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// Cuts a seed that fails down to the smallest plan that still fails so, and prints that.
    #[command(
        after_help = "Example: stonevane sim shrink 17 > smallest.json; stonevane sim replay 17 --scenario smallest.json"
    )]
    Shrink {
        /// The seed.
        seed: u64,
        /// A plan in the place of the seed's own.
        #[arg(long, value_name = "FILE")]
        scenario: Option<PathBuf>,
        /// A deliberate fault.
        #[arg(long, value_parser = mutant)]
        mutant: Option<Mutant>,
        /// Runs, at most.
        #[arg(long, default_value_t = 2_000)]
        runs: usize,
    },
    /// Lists the deliberate faults of the core, one a line, the name first.
    Mutants,
}

fn mutant(name: &str) -> Result<Mutant, ArgumentError> {
    Mutant::by_name(name).ok_or(ArgumentError::UnknownMutant { command: "stonevane sim mutants" })
}

/// The plan of a file, with a seed; else the seed's own.
fn read_plan(file: Option<&Path>, seed: u64) -> Result<Plan, CommandError> {
    let Some(file) = file else { return Ok(Plan::generate(seed)) };
    let plan = Plan::parse(&read_file(file)?).map_err(|error| CommandError::unusable_file(file, error))?;
    Ok(Plan { seed, ..plan })
}

impl Sim {
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Sim::Run(run) => run.run(),
            Sim::Replay { seed, scenario, mutant, history } => {
                replay(seed, scenario.as_deref(), mutant, history.as_deref())
            }
            Sim::Shrink { seed, scenario, mutant, runs } => {
                print_smallest(seed, scenario.as_deref(), mutant, runs)
            }
            Sim::Mutants => {
                for MutantInfo { name, description, .. } in Mutant::ALL {
                    say!("{name:<18} {description}");
                }
                Ok(())
            }
        }
    }
}

fn replay(
    seed: u64,
    scenario: Option<&Path>,
    mutant: Option<Mutant>,
    history: Option<&Path>,
) -> Result<(), CommandError> {
    let plan = read_plan(scenario, seed)?;
    let verdict = simulate(&plan, Options { mutant, keeps_history: history.is_some() });
    if let Some(file) = history {
        std::fs::write(file, &verdict.history).map_err(|error| CommandError::unusable_file(file, error))?;
    }
    for fault in &plan.faults {
        let (start_s, duration_s) = (fault.start_us as f64 / 1e6, fault.duration_us as f64 / 1e6);
        say!("{start_s:>9.3} s  {duration_s:>7.3} s  {:?}", fault.kind);
    }
    for violation in &verdict.violations {
        say!("{violation}");
    }
    say!("{}", verdict.report);
    say!(
        "seed {seed}: {} nodes, {} caches, {} requests, {} served, {} steps, history {:016x}",
        plan.nodes,
        plan.caches,
        verdict.requests,
        verdict.served,
        verdict.steps,
        verdict.digest
    );
    require(verdict.holds())
}

fn print_smallest(
    seed: u64,
    scenario: Option<&Path>,
    mutant: Option<Mutant>,
    runs: usize,
) -> Result<(), CommandError> {
    let plan = read_plan(scenario, seed)?;
    let Some(shrunk) = shrink(&plan, Options { mutant, keeps_history: false }, runs) else {
        return Err(CommandError::Unusable(format!("seed {seed} does not fail")));
    };
    warn!(
        "{}: {} of {} faults, {} nodes, {} caches, {:.1} s, after {} runs",
        shrunk.code,
        shrunk.plan.faults.len(),
        plan.faults.len(),
        shrunk.plan.nodes,
        shrunk.plan.caches,
        shrunk.plan.load_duration_us as f64 / 1e6,
        shrunk.runs
    );
    say!("{}", shrunk.plan.to_json());
    Ok(())
}
