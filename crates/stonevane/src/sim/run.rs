//! `stonevane sim run`.

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

/// How often progress is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Failing seeds that are printed one by one.
const MAX_PRINTED: usize = 10;
/// Findings that are printed of each.
const MAX_FINDINGS: usize = 2;

/// Seeds that are played.
#[derive(Args)]
pub struct Run {
    /// `A..B`, the last one included, or one seed.
    #[arg(long, value_parser = seeds, default_value = "1..200")]
    seeds: RangeInclusive<u64>,
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

/// What one seed showed.
struct Played {
    requests: usize,
    simulated_us: u64,
    failure: Option<Verdict>,
}

/// What all seeds showed.
struct Totals {
    seeds: usize,
    requests: usize,
    simulated_s: f64,
    took_s: f64,
    threads: u64,
}

impl Run {
    pub(super) fn run(self) -> Result<(), CommandError> {
        // A bad file is reported before anything is played.
        read_plan(self.scenario.as_deref(), *self.seeds.start())?;
        let threads = self.jobs.unwrap_or_else(default_threads);
        let count = self.seeds.end() - self.seeds.start() + 1;
        let failed = AtomicUsize::new(0);
        let begun = Instant::now();
        let played = map_with_progress(
            &self.seeds,
            threads,
            |seed| {
                let played = self.play(seed);
                failed.fetch_add(
                    usize::from(played.as_ref().is_some_and(|p| p.failure.is_some())),
                    Ordering::Relaxed,
                );
                played
            },
            PROGRESS_INTERVAL,
            |done| warn!("  {done} of {count} seeds, {} failed", failed.load(Ordering::Relaxed)),
        );
        let took_s = begun.elapsed().as_secs_f64().max(1e-6);
        let played: Vec<(u64, Played)> =
            played.into_iter().filter_map(|(seed, played)| Some((seed, played?))).collect();
        let totals = Totals {
            seeds: played.len(),
            requests: played.iter().map(|(_, played)| played.requests).sum(),
            simulated_s: played.iter().map(|(_, played)| played.simulated_us).sum::<u64>() as f64 / 1e6,
            took_s,
            threads,
        };
        let failures: Vec<(u64, Verdict)> =
            played.into_iter().filter_map(|(seed, played)| Some((seed, played.failure?))).collect();
        match self.json {
            true => print_json(&failures, &totals),
            false => print_lines(&failures, &totals),
        }
        require(failures.is_empty())
    }

    /// Plays a seed; `None` where the plan's file can no longer be read.
    fn play(&self, seed: u64) -> Option<Played> {
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
        Some(Played { requests, simulated_us, failure: (!verdict.holds()).then_some(verdict) })
    }
}

/// Prints the sums over a large fleet.
fn print_totals(seed: u64, verdict: &Verdict) {
    let totals = &verdict.totals;
    warn!(
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
    warn!("{simulated_s:.0} s simulated in {took_s:.1} s on {threads} threads");
    say!("{seeds} seeds, {requests} requests, {} failures", failures.len());
}

fn print_failure(seed: u64, verdict: &Verdict) {
    say!("seed {seed} fails:");
    for violation in &verdict.violations {
        say!("  {violation}");
    }
    let findings = verdict.report.findings.iter().map(ToString::to_string);
    let faults = verdict.report.faults.iter().map(ToString::to_string);
    for finding in findings.chain(faults).take(MAX_FINDINGS) {
        say!("  {}", finding.lines().next().unwrap_or_default());
    }
}

fn print_json(failures: &[(u64, Verdict)], totals: &Totals) {
    for (seed, verdict) in failures {
        let findings: Vec<_> = verdict.report.findings.iter().map(|finding| finding.code).collect();
        say!("{}", serde_json::json!({"seed": seed, "broken": verdict.violations, "findings": findings}));
    }
    let failed: Vec<_> = failures.iter().map(|(seed, _)| *seed).collect();
    let Totals { seeds, requests, simulated_s, took_s, threads } = totals;
    say!(
        "{}",
        serde_json::json!({"seeds": seeds, "requests": requests, "failures": failed.len(), "failed": failed,
            "simulated_s": simulated_s, "took_s": took_s, "jobs": threads})
    );
}
