//! `stonevane sim`: fleets of the very core in one process, with faults drawn from seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use stonevane_sim::{Mutant, Options, Plan, Verdict, run, shrink};

use crate::{NOT_RUN, UNUSABLE, ended};

/// Progress is told this often.
const TELL: Duration = Duration::from_secs(2);
/// Failing seeds that are told of one by one.
const TOLD: usize = 10;

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
    Run(Run),
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

/// Seeds that are played.
#[derive(Args)]
pub struct Run {
    /// `A..B`, the last one included, or one seed.
    #[arg(long, value_parser = seeds, default_value = "1..200")]
    seeds: (u64, u64),
    /// Nodes, in the place of what is drawn.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=200))]
    nodes: Option<u64>,
    /// A plan, in the place of those of the seeds; each seed plays it with other random numbers.
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Large fleets, in the place of those of the seeds; the sums over each fleet are told.
    #[arg(long, conflicts_with_all = ["scenario", "nodes"])]
    large: bool,
    /// A deliberate fault.
    #[arg(long, value_parser = mutant)]
    mutant: Option<Mutant>,
    /// Threads; else one for each core.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=256))]
    jobs: Option<u64>,
    /// A JSON object for each seed that fails, and one at the end.
    #[arg(long)]
    json: bool,
}

/// Reads `A..B`, the last one included, or one seed.
pub fn seeds(text: &str) -> Result<(u64, u64), String> {
    let number = |text: &str| text.trim_start_matches('=').parse::<u64>().map_err(|e| e.to_string());
    let (from, to) = match text.split_once("..") {
        Some((from, to)) => (number(from)?, number(to)?),
        None => (number(text)?, number(text)?),
    };
    if from <= to { Ok((from, to)) } else { Err("the first seed is behind the last".into()) }
}

fn mutant(name: &str) -> Result<Mutant, String> {
    Mutant::by_name(name).ok_or_else(|| "no such mutant; `stonevane sim mutants` lists them".into())
}

fn plan(file: Option<&PathBuf>, seed: u64) -> Result<Plan, String> {
    let Some(file) = file else { return Ok(Plan::generate(seed)) };
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let plan = Plan::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(Plan { seed, ..plan })
}

impl Sim {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let done = match self {
            Sim::Run(run) => run.play(),
            Sim::Replay { seed, scenario, mutant, history } => {
                replay(seed, scenario.as_ref(), mutant, history.as_ref())
            }
            Sim::Shrink { seed, scenario, mutant, runs } => smallest(seed, scenario.as_ref(), mutant, runs),
            Sim::Mutants => {
                Mutant::ALL.iter().for_each(|(_, name, what)| say!("{name:<18} {what}"));
                Ok(true)
            }
        };
        ended(done)
    }
}

/// What a run shows, in lines.
fn told(seed: u64, verdict: &Verdict) -> String {
    let mut lines = format!("seed {seed} fails:");
    verdict.violations.iter().for_each(|what| lines.push_str(&format!("\n  {what}")));
    let findings = verdict.report.findings.iter().map(ToString::to_string);
    let faults = verdict.report.faults.iter().map(ToString::to_string);
    for finding in findings.chain(faults).take(2) {
        let first: Vec<_> = finding.lines().take(1).collect();
        lines.push_str(&format!("\n  {}", first.join("\n  ")));
    }
    lines
}

impl Run {
    fn play(self) -> Result<bool, (String, u8)> {
        let unusable = |what| (what, UNUSABLE);
        // Read once, so that a bad file is told at once.
        plan(self.scenario.as_ref(), self.seeds.0).map_err(unusable)?;
        let (first, last) = self.seeds;
        let jobs =
            self.jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get() as u64));
        let (next, done, wishes, time) =
            (AtomicU64::new(first), AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
        let failures: Mutex<Vec<(u64, Verdict)>> = Mutex::default();
        let begun = Instant::now();
        let options = Options { mutant: self.mutant, history: false };
        let work = || {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > last {
                    return;
                }
                let drawn = if self.large {
                    Ok(Plan::generate_large(seed))
                } else {
                    plan(self.scenario.as_ref(), seed)
                };
                let Ok(mut plan) = drawn else { return };
                if let Some(nodes) = self.nodes {
                    plan.nodes = nodes as usize;
                    plan.clock_drifts.resize(plan.nodes, 0.0);
                    plan.faults.retain(|fault| fault.kind.node().is_none_or(|node| node < plan.nodes));
                }
                let verdict = run(&plan, options);
                if self.large {
                    let sums = &verdict.totals;
                    warn!(
                        "  seed {seed}: {} of {} requests served, {} connections opened, {} calls to the origin \
                         ({} turned away), {} to discovery ({} answered)",
                        verdict.served,
                        verdict.requests,
                        sums.connections_opened,
                        sums.origin_requests,
                        sums.origin_rejected,
                        sums.discovery_calls,
                        sums.discovery_answers
                    );
                }
                wishes.fetch_add(verdict.requests as u64, Ordering::Relaxed);
                time.fetch_add(verdict.simulated_us, Ordering::Relaxed);
                done.fetch_add(1, Ordering::Relaxed);
                if !verdict.holds()
                    && let Ok(mut failures) = failures.lock()
                {
                    failures.push((seed, verdict));
                }
            }
        };
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..jobs).map(|_| scope.spawn(work)).collect();
            let mut told = Instant::now();
            while threads.iter().any(|thread| !thread.is_finished()) {
                std::thread::sleep(Duration::from_millis(20));
                if told.elapsed() >= TELL {
                    told = Instant::now();
                    let failed = failures.lock().map_or(0, |failures| failures.len());
                    let done = done.load(Ordering::Relaxed);
                    warn!("  {done} of {} seeds, {failed} failed", last - first + 1);
                }
            }
        });
        let mut failures = failures.into_inner().map_err(|_| ("a thread has ended".to_owned(), NOT_RUN))?;
        failures.sort_by_key(|(seed, _)| *seed);
        for (seed, verdict) in failures.iter().take(if self.json { usize::MAX } else { TOLD }) {
            if self.json {
                let findings: Vec<_> = verdict.report.findings.iter().map(|f| f.code).collect();
                say!(
                    "{}",
                    serde_json::json!({"seed": seed, "broken": verdict.violations, "findings": findings})
                );
            } else {
                say!("{}", told(*seed, verdict))
            }
        }
        let (seeds, wishes) = (done.into_inner(), wishes.into_inner());
        let simulated = time.into_inner() as f64 / 1e6;
        let took = begun.elapsed().as_secs_f64().max(1e-6);
        if self.json {
            let failed: Vec<_> = failures.iter().map(|(seed, _)| *seed).collect();
            say!(
                "{}",
                serde_json::json!({"seeds": seeds, "requests": wishes, "failures": failed.len(), "failed": failed,
                    "simulated_s": simulated, "took_s": took, "jobs": jobs})
            );
        } else {
            warn!("{simulated:.0} s simulated in {took:.1} s on {jobs} threads");
            say!("{seeds} seeds, {wishes} requests, {} failures", failures.len());
        }
        Ok(failures.is_empty())
    }
}

fn replay(
    seed: u64,
    scenario: Option<&PathBuf>,
    mutant: Option<Mutant>,
    history: Option<&PathBuf>,
) -> Result<bool, (String, u8)> {
    let plan = plan(scenario, seed).map_err(|what| (what, UNUSABLE))?;
    let verdict = run(&plan, Options { mutant, history: history.is_some() });
    if let Some(file) = history {
        std::fs::write(file, &verdict.history).map_err(|e| (format!("{}: {e}", file.display()), UNUSABLE))?;
    }
    for fault in &plan.faults {
        say!(
            "{:>9.3} s  {:>7.3} s  {:?}",
            fault.start_us as f64 / 1e6,
            fault.duration_us as f64 / 1e6,
            fault.kind
        );
    }
    verdict.violations.iter().for_each(|what| say!("{what}"));
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
    Ok(verdict.holds())
}

fn smallest(
    seed: u64,
    scenario: Option<&PathBuf>,
    mutant: Option<Mutant>,
    runs: usize,
) -> Result<bool, (String, u8)> {
    let plan = plan(scenario, seed).map_err(|what| (what, UNUSABLE))?;
    let Some(shrunk) = shrink(&plan, Options { mutant, history: false }, runs) else {
        return Err((format!("seed {seed} does not fail"), UNUSABLE));
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
    Ok(true)
}
