//! `stonevane fleet`: membership among the nodes, in simulation and as running nodes tell it.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use clap::{Args, Subcommand};
use stonevane_fleet::Mutant;
use stonevane_sim::members::{MemberOptions, MemberPlan, MemberVerdict, play, shrink_members};

use crate::sim::seeds;
use crate::{BROKEN, UNUSABLE};

/// Failing seeds that are told of one by one.
const TOLD: usize = 10;

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
}

/// What is simulated.
#[derive(Args)]
pub struct Simulate {
    /// `A..B`, the last one included, or one seed.
    #[arg(long, value_parser = seeds, default_value = "1..200")]
    seeds: (u64, u64),
    /// Members, in the place of what is drawn.
    #[arg(long, value_parser = clap::value_parser!(u64).range(3..=2_000))]
    members: Option<u64>,
    /// A plan, in the place of those of the seeds.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// A deliberate fault.
    #[arg(long, value_parser = mutant)]
    mutant: Option<Mutant>,
    /// Members that do not heed their own health.
    #[arg(long)]
    without_health: bool,
    /// Cuts the first seed that fails down, and prints the plan.
    #[arg(long)]
    shrink: bool,
    /// Lists the deliberate faults, one a line, the name first.
    #[arg(long)]
    mutants: bool,
}

fn mutant(name: &str) -> Result<Mutant, String> {
    Mutant::named(name)
        .ok_or_else(|| "no such mutant; `stonevane fleet simulate --mutants` lists them".into())
}

impl Fleet {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let done = match self {
            Fleet::Simulate(simulate) => simulate.run(),
        };
        match done {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(BROKEN),
            Err((what, code)) => {
                warn!("stonevane: {what}");
                ExitCode::from(code)
            }
        }
    }
}

impl Simulate {
    fn plan(&self, seed: u64) -> Result<MemberPlan, String> {
        let plan = match (&self.plan, self.members) {
            (Some(file), _) => {
                let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
                MemberPlan::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?
            }
            (None, Some(members)) => MemberPlan::sized(seed, members as usize),
            (None, None) => MemberPlan::draw(seed),
        };
        Ok(MemberPlan { heeds_health: !self.without_health, ..plan })
    }

    fn run(self) -> Result<bool, (String, u8)> {
        if self.mutants {
            Mutant::ALL.iter().for_each(|(_, name, what)| say!("{name:<22} {what}"));
            return Ok(true);
        }
        let (first, last) = if self.plan.is_some() { (0, 0) } else { self.seeds };
        self.plan(first).map_err(|what| (what, UNUSABLE))?;
        let options = MemberOptions { mutant: self.mutant };
        let next = AtomicU64::new(first);
        let played: Mutex<Vec<(u64, MemberVerdict)>> = Mutex::default();
        let begun = Instant::now();
        let work = || {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > last {
                    return;
                }
                let Ok(plan) = self.plan(seed) else { return };
                let verdict = play(&plan, options);
                if let Ok(mut played) = played.lock() {
                    played.push((seed, verdict));
                }
            }
        };
        let jobs = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
        std::thread::scope(|scope| (0..jobs).for_each(|_| drop(scope.spawn(work))));
        let mut played = played.into_inner().unwrap_or_default();
        played.sort_by_key(|(seed, _)| *seed);
        let failed: Vec<_> = played.iter().filter(|(_, verdict)| !verdict.holds()).collect();
        for (seed, verdict) in failed.iter().take(TOLD) {
            let Some((at, breach)) = verdict.breaches.first() else { continue };
            let (observer, member) = (breach.observer, breach.member);
            let at = *at as f64 / 1e6;
            say!(
                "seed {seed} fails: {} at {at:.1} s, n{member} in n{observer}'s view: {}",
                breach.code,
                breach.what
            );
        }
        if self.shrink
            && let Some((seed, _)) = failed.first()
        {
            let plan = self.plan(*seed).map_err(|what| (what, UNUSABLE))?;
            if let Some((small, code)) = shrink_members(&plan, options, 1_000) {
                warn!(
                    "{code}: {} of {} faults, {} members",
                    small.faults.len(),
                    plan.faults.len(),
                    small.members
                );
                say!("{}", small.text());
            }
            return Ok(false);
        }
        let sum =
            |of: &dyn Fn(&MemberVerdict) -> f64| played.iter().map(|(_, verdict)| of(verdict)).sum::<f64>();
        let member_s = sum(&|v| v.member_s).max(1e-9);
        let deaths = played.iter().flat_map(|(_, verdict)| &verdict.detections);
        let last = |part: f64| {
            let mut took: Vec<u64> = deaths.clone().filter_map(|(_, last)| *last).collect();
            took.sort_unstable();
            took.get(((took.len() as f64 - 1.0) * part) as usize)
                .map_or("-".into(), |us| format!("{:.1}", *us as f64 / 1e6))
        };
        warn!(
            "{member_s:.0} member-seconds in {:.1} s; {:.2} datagrams and {:.0} bytes a member and second; a death is \
             seen by all after {} s (median), {} s (95 in a hundred), {} s (all); {} false deaths seen",
            begun.elapsed().as_secs_f64(),
            sum(&|v| v.datagrams as f64) / member_s,
            sum(&|v| v.bytes as f64) / member_s,
            last(0.5),
            last(0.95),
            last(1.0),
            sum(&|v| v.false_deaths as f64),
        );
        say!("{} seeds, {} failures", played.len(), failed.len());
        Ok(failed.is_empty())
    }
}
