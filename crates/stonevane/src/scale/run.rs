//! `stonevane scale run`: fleets of hollow nodes, one after the other, and a line of figures for each.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use stonevane_scale::budget::{Budget, excesses};
use stonevane_scale::coordinator::{self, Environment, RunError};
use stonevane_scale::figures::Figures;
use stonevane_scale::host::{self, Interrupt};
use stonevane_scale::layout::default_workers;
use stonevane_scale::limits::{MIB, MemoryCosts, memory_limit};
use stonevane_scale::plan::{Membership, Plan};
use stonevane_scale::worker;

use crate::arguments::positive;
use crate::error::{CommandError, require};

/// The most seconds of a window or phase.
const MAX_SECONDS: u64 = 24 * 60 * 60;

/// Runs fleets of hollow nodes.
#[derive(Args)]
#[command(
    after_help = "A hollow node is the daemon without clients and cache servers: its core with its list from \
discovery (TCP), and its membership machine (UDP), on loopback. Many share a process. Each fleet is started, measured \
at rest for --seconds, and loses one node; the last figure is when all others hold it dead.

Examples:
  stonevane scale run --nodes 16,64,300                       three fleets, one after the other
  stonevane scale run --nodes 1000 --csv hollow.csv --verbose
  stonevane scale run --nodes 1000 --regions 10 --membership-per-region

Exit codes: 0 all sizes are within the budget, 1 one is not, 2 the input can't be used (nothing was started), 3 it \
could not be run (nothing is left running)."
)]
pub struct Run {
    /// Hollow nodes of each fleet: one number, or several that rise.
    #[arg(long, value_delimiter = ',', required = true, value_name = "N[,N...]")]
    nodes: Vec<u32>,
    /// Regions: contiguous blocks of node numbers, of nearly equal size. Membership is flat: by itself this only numbers
    /// the nodes and changes no message (see --membership-per-region).
    #[arg(long, default_value_t = 1)]
    regions: u32,
    /// Makes each region a membership domain of its own: its nodes know of nobody outside it, and a death is to be known
    /// within the region only.
    #[arg(long)]
    membership_per_region: bool,
    /// The seed of every random choice.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Worker processes; else one for each 64 nodes, at most one for each processor.
    #[arg(long)]
    workers: Option<u32>,
    /// Cache servers in discovery's list.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=65_536))]
    caches: u32,
    /// The period of membership; the other settings are those of an operator file that names nothing else.
    #[arg(long, default_value_t = 1_000, value_name = "MS")]
    period_ms: u64,
    /// How long rates are measured, once the fleet is at rest.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=MAX_SECONDS))]
    seconds: u64,
    /// How long each phase may take: to converge, to come to rest, to learn of the death. What is not reached then is
    /// over the budget.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=MAX_SECONDS))]
    phase_seconds: u64,
    /// Memory that all processes may have together; else, and at most, half of the machine's.
    #[arg(long, value_name = "MB")]
    memory_mb: Option<u64>,
    /// Budget: microseconds of processor time a node and second.
    #[arg(long, default_value_t = 17_000, value_name = "US")]
    budget_cpu_us: u64,
    /// Budget: resident memory a node.
    #[arg(long, default_value_t = 64, value_name = "MB")]
    budget_memory_mb: u64,
    /// Budget: bytes of UDP and TCP a node and second.
    #[arg(long, default_value_t = 3_072, value_name = "BYTES")]
    budget_bytes: u64,
    /// Budget: seconds until a death is known to all.
    #[arg(long, default_value_t = 8.0, value_parser = positive, value_name = "SECONDS")]
    budget_death_s: f64,
    /// Each line as a JSON object.
    #[arg(long)]
    json: bool,
    /// The lines as CSV too.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Each step on standard error, with the numbers of the workers' processes.
    #[arg(long)]
    verbose: bool,
}

/// One process of a fleet of hollow nodes.
#[derive(Args)]
pub struct Worker {
    /// Ends, by SIGKILL, with the process of this number that started it.
    #[arg(long, value_name = "PID")]
    ends_with: Option<u32>,
}

impl Worker {
    pub fn run(self) -> Result<(), CommandError> {
        worker::run(self.ends_with).map_err(CommandError::not_run)
    }
}

fn run_error(error: &RunError) -> CommandError {
    if error.is_invalid_input() { CommandError::unusable(error) } else { CommandError::not_run(error) }
}

impl Run {
    pub fn run(self) -> Result<(), CommandError> {
        if self.nodes.windows(2).any(|pair| pair[0] >= pair[1]) {
            return Err(CommandError::unusable("--nodes is to rise from one size to the next"));
        }
        let host = host::read().map_err(CommandError::not_run)?;
        let plans: Vec<Plan> =
            self.nodes.iter().map(|nodes| self.plan(*nodes, host.processors)).collect::<Result<_, _>>()?;
        let environment = Environment {
            worker: worker_command().map_err(CommandError::not_run)?,
            memory_limit_bytes: memory_limit(&host, self.memory_mb.map(|mb| mb.saturating_mul(MIB)))
                .map_err(CommandError::unusable)?,
            max_descriptors: host.descriptors,
            costs: MemoryCosts::default(),
            interrupt: Interrupt::default(),
        };
        // All sizes before the first one starts.
        for plan in &plans {
            coordinator::check(plan, &environment).map_err(|error| run_error(&error))?;
        }
        let mut table = self.csv.as_deref().map(open_table).transpose()?;
        let environment =
            Environment { interrupt: Interrupt::listen().map_err(CommandError::not_run)?, ..environment };
        let mut all_within = true;
        for plan in &plans {
            let figures = self.measure(plan, &environment)?;
            all_within &= figures.within_budget;
            if self.json {
                say!("{}", serde_json::to_string(&figures).map_err(CommandError::not_run)?);
            } else {
                say!("{figures}");
            }
            if let Some(table) = &mut table {
                table.serialize(&figures).map_err(CommandError::not_run)?;
                table.flush().map_err(CommandError::not_run)?;
            }
        }
        require(all_within)
    }

    fn plan(&self, nodes: u32, processors: usize) -> Result<Plan, CommandError> {
        let period = Duration::from_millis(self.period_ms);
        Ok(Plan {
            nodes,
            regions: self.regions,
            domain_per_region: self.membership_per_region,
            workers: self.workers.unwrap_or_else(|| default_workers(nodes, processors)),
            seed: self.seed,
            caches: self.caches,
            membership: Membership::with_period(period).map_err(CommandError::unusable)?,
            window: Duration::from_secs(self.seconds),
            phase: Duration::from_secs(self.phase_seconds),
        })
    }

    fn budget(&self) -> Budget {
        Budget {
            cpu_us_s: self.budget_cpu_us as f64,
            memory_bytes: self.budget_memory_mb.saturating_mul(MIB),
            bytes_s: self.budget_bytes as f64,
            death_known_s: self.budget_death_s,
        }
    }

    /// Runs one fleet; what is over the budget is a line each on standard error.
    fn measure(&self, plan: &Plan, environment: &Environment) -> Result<Figures, CommandError> {
        let mut on_step = |step: String| {
            if self.verbose {
                warn!("  {} nodes: {step}", plan.nodes);
            }
        };
        let mut figures =
            coordinator::run(plan, environment, &mut on_step).map_err(|error| run_error(&error))?;
        let over = excesses(&self.budget(), &figures);
        figures.within_budget = over.is_empty();
        for excess in &over {
            warn!("stonevane: {} nodes: over budget: {excess}", plan.nodes);
        }
        Ok(figures)
    }
}

/// This program, as a worker that ends with this process.
fn worker_command() -> std::io::Result<(PathBuf, Vec<String>)> {
    let parent = std::process::id().to_string();
    let arguments = ["scale", "worker", "--ends-with", &parent].map(str::to_owned).to_vec();
    Ok((std::env::current_exe()?, arguments))
}

fn open_table(path: &Path) -> Result<csv::Writer<std::fs::File>, CommandError> {
    csv::Writer::from_path(path).map_err(|error| CommandError::unusable_file(path, error))
}
