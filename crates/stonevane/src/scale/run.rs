//! `stonevane scale run`: runs fleets of stub nodes one after another and prints a line of figures for each.

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

/// Upper bound of --seconds and --phase-seconds: one day.
const MAX_SECONDS: u64 = 24 * 60 * 60;

/// Run fleets of stub nodes and check their cost against a budget.
#[derive(Args)]
#[command(
    after_help = "A stub node (in messages: hollow node) is the daemon without clients and cache servers: its core with the server \
list from discovery (TCP), and its membership machine (UDP), on loopback. Many share a process. Each fleet is started, \
measured at rest for --seconds, and then one node is killed; the last figure is the time until all others consider it \
dead.

Examples:
  stonevane scale run --nodes 16,64,300                       three fleets, one after another
  stonevane scale run --nodes 1000 --csv hollow.csv --verbose
  stonevane scale run --nodes 1000 --regions 10 --membership-per-region

Exit codes: 0 all sizes are within the budget, 1 one is not, 2 the input can't be used (nothing was started), 3 the \
run could not be completed (nothing is left running)."
)]
pub struct Run {
    /// Number of stub nodes: one number, or several in increasing order, each for a fleet of its own.
    #[arg(long, value_delimiter = ',', required = true, value_name = "N[,N...]")]
    nodes: Vec<u32>,
    /// Number of regions: contiguous blocks of node numbers of nearly equal size. Without
    /// --membership-per-region, membership spans all regions, and the number of regions has no effect on the
    /// messages sent.
    #[arg(long, default_value_t = 1)]
    regions: u32,
    /// Make each region a separate membership domain: its nodes know only the nodes of their region, and a
    /// death must become known only there.
    #[arg(long)]
    membership_per_region: bool,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of worker processes [default: one for each 64 nodes, at most one per processor].
    #[arg(long)]
    workers: Option<u32>,
    /// Number of cache servers in the server list from discovery.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=65_536))]
    caches: u32,
    /// Protocol period of membership, in milliseconds: a node probes one member per period. All other
    /// membership settings have the defaults of the operator file.
    #[arg(long, default_value_t = 1_000, value_name = "MS")]
    period_ms: u64,
    /// Time for which rates are measured once the fleet is at rest, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=MAX_SECONDS))]
    seconds: u64,
    /// Time limit of each phase (converging, coming to rest, learning of the death), in seconds. A phase that
    /// exceeds it is over the budget.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=MAX_SECONDS))]
    phase_seconds: u64,
    /// Memory limit of all processes together, in MiB; half of the machine's memory is the default and the
    /// maximum.
    #[arg(long, value_name = "MB")]
    memory_mb: Option<u64>,
    /// Budget: maximum CPU time per node and second, in microseconds.
    #[arg(long, default_value_t = 17_000, value_name = "US")]
    budget_cpu_us: u64,
    /// Budget: maximum resident memory per node, in MiB.
    #[arg(long, default_value_t = 64, value_name = "MB")]
    budget_memory_mb: u64,
    /// Budget: maximum of UDP and TCP bytes per node and second.
    #[arg(long, default_value_t = 3_072, value_name = "BYTES")]
    budget_bytes: u64,
    /// Budget: maximum time until all nodes know of a death, in seconds.
    #[arg(long, default_value_t = 8.0, value_parser = positive, value_name = "SECONDS")]
    budget_death_s: f64,
    /// Print each line as a JSON object.
    #[arg(long)]
    json: bool,
    /// Write the lines to a CSV file as well.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Print each step on standard error, with the process ids of the workers.
    #[arg(long)]
    verbose: bool,
}

/// Run one worker process of a fleet of stub nodes.
#[derive(Args)]
pub struct Worker {
    /// Process id of the parent; the worker is killed (SIGKILL) when the parent ends.
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
            return Err(CommandError::unusable("--nodes: each size must be greater than the one before it"));
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
        // All sizes are checked before the first fleet starts.
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
                outln!("{}", serde_json::to_string(&figures).map_err(CommandError::not_run)?);
            } else {
                outln!("{figures}");
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

    /// Runs one fleet and prints a line on standard error for each figure over the budget.
    fn measure(&self, plan: &Plan, environment: &Environment) -> Result<Figures, CommandError> {
        let mut on_step = |step: String| {
            if self.verbose {
                errln!("  {} nodes: {step}", plan.nodes);
            }
        };
        let mut figures =
            coordinator::run(plan, environment, &mut on_step).map_err(|error| run_error(&error))?;
        let over = excesses(&self.budget(), &figures);
        figures.within_budget = over.is_empty();
        for excess in &over {
            errln!("stonevane: {} nodes: over budget: {excess}", plan.nodes);
        }
        Ok(figures)
    }
}

/// Returns the command line of a worker that ends with this process.
fn worker_command() -> std::io::Result<(PathBuf, Vec<String>)> {
    let parent = std::process::id().to_string();
    let arguments = ["scale", "worker", "--ends-with", &parent].map(str::to_owned).to_vec();
    Ok((std::env::current_exe()?, arguments))
}

fn open_table(path: &Path) -> Result<csv::Writer<std::fs::File>, CommandError> {
    csv::Writer::from_path(path).map_err(|error| CommandError::unusable_file(path, error))
}
