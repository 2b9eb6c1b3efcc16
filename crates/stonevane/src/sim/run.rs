//! `stonevane sim run`: simulates many seeds on several threads and reports the failing ones.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use clap::Args;
use stonevane_sim::{Mutant, Options, Plan, Verdict, run as simulate};

use super::{mutant, read_plan};
use crate::arguments::seeds;
use crate::error::{CommandError, require};
use crate::parallel::{default_threads, map_with_progress};

/// Interval between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of failing seeds that are printed.
const MAX_PRINTED: usize = 10;
/// Maximum number of findings printed for a failing seed.
const MAX_FINDINGS: usize = 2;

/// Arguments of `stonevane sim run`.
#[derive(Args)]
pub struct Run {
    /// Seeds to simulate: an inclusive range `A..B`, or a single seed.
    #[arg(long, value_parser = seeds, default_value = "1..200")]
    seeds: RangeInclusive<u64>,
    /// Number of nodes, instead of the number in the plan; faults of nodes beyond it are dropped.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=200))]
    nodes: Option<u64>,
    /// Simulate the plan in this JSON file instead of plans generated from the seeds; each seed runs it with
    /// different random numbers.
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Simulate large fleets (100 nodes, 60 caches) and print totals for each fleet.
    #[arg(long, conflicts_with_all = ["scenario", "nodes"])]
    large: bool,
    /// Inject a mutant (a deliberate fault of the core; see `sim mutants`).
    #[arg(long, value_parser = mutant)]
    mutant: Option<Mutant>,
    /// Number of threads [default: one per core].
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=256))]
    jobs: Option<u64>,
    /// Print a JSON object for each failing seed, and one with the totals at the end.
    #[arg(long)]
    json: bool,
}

/// Result of one seed.
struct SeedResult {
    requests: usize,
    simulated_us: u64,
    failure: Option<Verdict>,
}

/// Totals over all seeds.
struct Totals {
    seeds: usize,
    requests: usize,
    simulated_s: f64,
    took_s: f64,
    threads: u64,
}

impl Run {
    pub(super) fn run(self) -> Result<(), CommandError> {
        // A bad plan file is reported before the first simulation starts.
        read_plan(self.scenario.as_deref(), *self.seeds.start())?;
        let threads = self.jobs.unwrap_or_else(default_threads);
        let count = self.seeds.end() - self.seeds.start() + 1;
        let failed = AtomicUsize::new(0);
        let begun = Instant::now();
        let results = map_with_progress(
            &self.seeds,
            threads,
            |seed| {
                let result = self.run_seed(seed);
                failed.fetch_add(
                    usize::from(result.as_ref().is_some_and(|p| p.failure.is_some())),
                    Ordering::Relaxed,
                );
                result
            },
            PROGRESS_INTERVAL,
            |done| errln!("  {done} of {count} seeds, {} failed", failed.load(Ordering::Relaxed)),
        );
        let took_s = begun.elapsed().as_secs_f64().max(1e-6);
        let results: Vec<(u64, SeedResult)> =
            results.into_iter().filter_map(|(seed, result)| Some((seed, result?))).collect();
        let totals = Totals {
            seeds: results.len(),
            requests: results.iter().map(|(_, result)| result.requests).sum(),
            simulated_s: results.iter().map(|(_, result)| result.simulated_us).sum::<u64>() as f64 / 1e6,
            took_s,
            threads,
        };
        let failures: Vec<(u64, Verdict)> =
            results.into_iter().filter_map(|(seed, result)| Some((seed, result.failure?))).collect();
        match self.json {
            true => print_json(&failures, &totals),
            false => print_lines(&failures, &totals),
        }
        require(failures.is_empty())
    }

    /// Simulates a seed; returns `None` if the plan's file can no longer be read.
    fn run_seed(&self, seed: u64) -> Option<SeedResult> {
        let mut plan = match self.large {
            true => Plan::generate_large(seed),
            false => read_plan(self.scenario.as_deref(), seed).ok()?,
        };
        if let Some(nodes) = self.nodes {
            plan.nodes = nodes as usize;
            plan.clock_drifts.resize(plan.nodes, 0.0);
            plan.faults.retain(|fault| fault.kind.node().is_none_or(|node| node < plan.nodes));
        }
        let verdict = simulate(&plan, Options { mutant: self.mutant, keeps_history: false });
        if self.large {
            print_totals(seed, &verdict);
        }
        let (requests, simulated_us) = (verdict.requests, verdict.simulated_us);
        Some(SeedResult { requests, simulated_us, failure: (!verdict.holds()).then_some(verdict) })
    }
}

/// Prints the totals of a large fleet.
fn print_totals(seed: u64, verdict: &Verdict) {
    let totals = &verdict.totals;
    errln!(
        "  seed {seed}: {} of {} requests served, {} connections opened, {} calls to the origin \
         ({} turned away), {} to discovery ({} answered)",
        verdict.served,
        verdict.requests,
        totals.connections_opened,
        totals.origin_requests,
        totals.origin_rejected,
        totals.discovery_calls,
        totals.discovery_answers
    );
}

fn print_lines(failures: &[(u64, Verdict)], totals: &Totals) {
    for (seed, verdict) in failures.iter().take(MAX_PRINTED) {
        print_failure(*seed, verdict);
    }
    let Totals { seeds, requests, simulated_s, took_s, threads } = totals;
    errln!("{simulated_s:.0} s simulated in {took_s:.1} s on {threads} threads");
    outln!("{seeds} seeds, {requests} requests, {} failures", failures.len());
}

fn print_failure(seed: u64, verdict: &Verdict) {
    outln!("seed {seed} fails:");
    for violation in &verdict.violations {
        outln!("  {violation}");
    }
    let findings = verdict.report.findings.iter().map(ToString::to_string);
    let faults = verdict.report.faults.iter().map(ToString::to_string);
    for finding in findings.chain(faults).take(MAX_FINDINGS) {
        outln!("  {}", finding.lines().next().unwrap_or_default());
    }
}

fn print_json(failures: &[(u64, Verdict)], totals: &Totals) {
    for (seed, verdict) in failures {
        let findings: Vec<_> = verdict.report.findings.iter().map(|finding| finding.code).collect();
        outln!("{}", serde_json::json!({"seed": seed, "broken": verdict.violations, "findings": findings}));
    }
    let failed: Vec<_> = failures.iter().map(|(seed, _)| *seed).collect();
    let Totals { seeds, requests, simulated_s, took_s, threads } = totals;
    outln!(
        "{}",
        serde_json::json!({"seeds": seeds, "requests": requests, "failures": failed.len(), "failed": failed,
            "simulated_s": simulated_s, "took_s": took_s, "jobs": threads})
    );
}
