//! `stonevane fleet simulate`.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Instant;

use clap::Args;
use stonevane_audit::MembershipMeasurements;
use stonevane_membership::Mutant;
use stonevane_sim::members::{
    MemberOptions, MemberPlan, MemberVerdict, run as run_simulation, shrink_members,
};

use super::{mutant, seconds};
use crate::arguments::seeds;
use crate::error::{CommandError, read_file, require};
use crate::parallel;

/// Failing seeds that are printed one by one.
const MAX_PRINTED: usize = 10;
/// Runs for a smaller plan, at most.
const MAX_SHRINK_RUNS: usize = 1_000;

/// What is simulated.
#[derive(Args)]
pub struct Simulate {
    /// `A..B`, the last one included, or one seed.
    #[arg(long, value_parser = seeds, default_value = "1..200")]
    seeds: RangeInclusive<u64>,
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

impl Simulate {
    pub(super) fn run(self) -> Result<(), CommandError> {
        if self.mutants {
            for (_, name, what) in Mutant::ALL {
                say!("{name:<22} {what}");
            }
            return Ok(());
        }
        let seeds = if self.plan.is_some() { 0..=0 } else { self.seeds.clone() };
        // A bad file is reported before anything is played.
        self.plan(*seeds.start())?;
        let options = MemberOptions { mutant: self.mutant };
        let begun = Instant::now();
        let played = parallel::map(&seeds, |seed| Some(run_simulation(&self.plan(seed).ok()?, options)));
        let played: Vec<(u64, MemberVerdict)> =
            played.into_iter().filter_map(|(seed, verdict)| Some((seed, verdict?))).collect();
        let failed: Vec<_> = played.iter().filter(|(_, verdict)| !verdict.holds()).collect();
        for (seed, verdict) in failed.iter().take(MAX_PRINTED) {
            print_failure(*seed, verdict);
        }
        if let Some((seed, _)) = failed.first()
            && self.shrink
        {
            self.print_smallest(*seed, options)?;
            return Err(CommandError::Broken);
        }
        print_costs(&played, begun.elapsed().as_secs_f64());
        say!("{} seeds, {} failures", played.len(), failed.len());
        require(failed.is_empty())
    }

    fn plan(&self, seed: u64) -> Result<MemberPlan, CommandError> {
        let plan = match (&self.plan, self.members) {
            (Some(file), _) => MemberPlan::parse(&read_file(file)?)
                .map_err(|error| CommandError::unusable_file(file, error))?,
            (None, Some(members)) => MemberPlan::generate_sized(seed, members as usize),
            (None, None) => MemberPlan::generate(seed),
        };
        Ok(MemberPlan { uses_local_health: !self.without_health, ..plan })
    }

    fn print_smallest(&self, seed: u64, options: MemberOptions) -> Result<(), CommandError> {
        let plan = self.plan(seed)?;
        if let Some((small, code)) = shrink_members(&plan, options, MAX_SHRINK_RUNS) {
            let (left, all) = (small.faults.len(), plan.faults.len());
            warn!("{code}: {left} of {all} faults, {} members", small.members);
            say!("{}", small.to_json());
        }
        Ok(())
    }
}

fn print_failure(seed: u64, verdict: &MemberVerdict) {
    let Some(first) = verdict.violations.first() else { return };
    let breach = &first.violation;
    let (observer, member) = (breach.observer, breach.member);
    let at_s = first.at_us as f64 / 1e6;
    say!(
        "seed {seed} fails: {} at {at_s:.1} s, n{member} in n{observer}'s view: {}",
        breach.code,
        breach.description
    );
}

/// Prints what membership costs, and how long it takes to detect a death.
fn print_costs(played: &[(u64, MemberVerdict)], took_s: f64) {
    let sum = |figure: &dyn Fn(&MemberVerdict) -> f64| {
        played.iter().map(|(_, verdict)| figure(verdict)).sum::<f64>()
    };
    let member_s = sum(&|verdict| verdict.member_seconds).max(1e-9);
    let deaths: Vec<u64> =
        played.iter().flat_map(|(_, verdict)| verdict.statistics.last_us.iter().copied()).collect();
    let last = |quantile: f64| seconds(MembershipMeasurements::quantile(&deaths, quantile));
    warn!(
        "{member_s:.0} member-seconds in {took_s:.1} s; {:.2} datagrams and {:.0} bytes a member and second; a death is \
         seen by all after {} s (median), {} s (95 in a hundred), {} s (all); {} false deaths seen",
        sum(&|verdict| verdict.datagrams as f64) / member_s,
        sum(&|verdict| verdict.bytes as f64) / member_s,
        last(0.5),
        last(0.95),
        last(1.0),
        sum(&|verdict| verdict.statistics.false_deaths as f64),
    );
}
