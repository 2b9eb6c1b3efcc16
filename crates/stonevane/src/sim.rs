//! `stonevane sim`: simulates fleets of the node's core in one process, with faults drawn from seeds.

mod run;

use std::path::{Path, PathBuf};

use clap::Subcommand;
use stonevane_sim::{Mutant, MutantInfo, Options, Plan, run as simulate, shrink};

use crate::arguments::ArgumentError;
use crate::error::{CommandError, read_file, require};

/// Subcommands of `stonevane sim`.
#[derive(Subcommand)]
pub enum Sim {
    /// Simulate the plan (fleet, load and faults) generated from each seed, or one plan from a file with each
    /// seed; exit with code 1 if a seed fails.
    #[command(after_help = "Examples:
  stonevane sim run --seeds 1..2000
  stonevane sim run --seeds 1..40 --mutant reset-not-run         a mutant of the core, which must be detected
  stonevane sim run --seeds 1..100 --scenario plan.json
  stonevane sim run --seeds 1..8 --large                         100 nodes, 60 caches, with totals for each fleet

The last line gives the numbers of seeds, requests and failures.")]
    Run(run::Run),
    /// Replay one seed, print its faults and verdict, and write its history.
    #[command(
        after_help = "Example: stonevane sim replay 17 --history 17.jsonl; stonevane lab audit 17.jsonl"
    )]
    Replay {
        /// Seed of the simulation.
        seed: u64,
        /// Use the plan in this JSON file instead of the one generated from the seed.
        #[arg(long, value_name = "FILE")]
        scenario: Option<PathBuf>,
        /// Inject a mutant (a deliberate fault of the core; see `sim mutants`).
        #[arg(long, value_parser = mutant)]
        mutant: Option<Mutant>,
        /// Write the history to this file (JSON lines).
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// Shrink the plan of a failing seed and print the smallest plan with the same failure.
    #[command(
        after_help = "Example: stonevane sim shrink 17 > smallest.json; stonevane sim replay 17 --scenario smallest.json"
    )]
    Shrink {
        /// Seed of the simulation.
        seed: u64,
        /// Use the plan in this JSON file instead of the one generated from the seed.
        #[arg(long, value_name = "FILE")]
        scenario: Option<PathBuf>,
        /// Inject a mutant (a deliberate fault of the core; see `sim mutants`).
        #[arg(long, value_parser = mutant)]
        mutant: Option<Mutant>,
        /// Maximum number of simulation runs in the search.
        #[arg(long, default_value_t = 2_000)]
        runs: usize,
    },
    /// List the mutants (deliberate faults of the core), one per line, the name first.
    Mutants,
}

fn mutant(name: &str) -> Result<Mutant, ArgumentError> {
    Mutant::by_name(name).ok_or(ArgumentError::UnknownMutant { command: "stonevane sim mutants" })
}

/// Reads the plan from a file and sets its seed; without a file, generates the plan from the seed.
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
                    outln!("{name:<18} {description}");
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
        outln!("{start_s:>9.3} s  {duration_s:>7.3} s  {:?}", fault.kind);
    }
    for violation in &verdict.violations {
        outln!("{violation}");
    }
    outln!("{}", verdict.report);
    outln!(
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
    errln!(
        "{}: {} of {} faults, {} nodes, {} caches, {:.1} s, after {} runs",
        shrunk.code,
        shrunk.plan.faults.len(),
        plan.faults.len(),
        shrunk.plan.nodes,
        shrunk.plan.caches,
        shrunk.plan.load_duration_us as f64 / 1e6,
        shrunk.runs
    );
    outln!("{}", shrunk.plan.to_json());
    Ok(())
}
