//! `stonevane fleet simulate`: checks the rules of membership in simulated fleets.

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

/// Maximum number of failing seeds that are printed.
const MAX_PRINTED: usize = 10;
/// Maximum number of simulation runs in the search for a smaller plan.
const MAX_SHRINK_RUNS: usize = 1_000;

/// Arguments of `stonevane fleet simulate`.
#[derive(Args)]
pub struct Simulate {
    /// Seeds to simulate: an inclusive range `A..B`, or a single seed.
    #[arg(long, value_parser = seeds, default_value = "1..200")]
    seeds: RangeInclusive<u64>,
    /// Number of members, instead of the number drawn from the seed.
    #[arg(long, value_parser = clap::value_parser!(u64).range(3..=2_000))]
    members: Option<u64>,
    /// Simulate the plan in this JSON file instead of plans generated from seeds.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Inject a mutant (a deliberate fault of the membership machine; see --mutants).
    #[arg(long, value_parser = mutant)]
    mutant: Option<Mutant>,
    /// Disable the Lifeguard extensions, which lengthen a member's timeouts, for example if its own health is
    /// poor.
    #[arg(long)]
    without_health: bool,
    /// Shrink the plan of the first failing seed and print the smallest plan with the same failure.
    #[arg(long)]
    shrink: bool,
    /// List the mutants, one per line, the name first, and exit.
    #[arg(long)]
    mutants: bool,
}

impl Simulate {
    pub(super) fn run(self) -> Result<(), CommandError> {
        if self.mutants {
            for (_, name, description) in Mutant::ALL {
                outln!("{name:<22} {description}");
            }
            return Ok(());
        }
        let seeds = if self.plan.is_some() { 0..=0 } else { self.seeds.clone() };
        // A bad plan file is reported before the first simulation starts.
        self.plan(*seeds.start())?;
        let options = MemberOptions { mutant: self.mutant };
        let begun = Instant::now();
        let results = parallel::map(&seeds, |seed| Some(run_simulation(&self.plan(seed).ok()?, options)));
        let results: Vec<(u64, MemberVerdict)> =
            results.into_iter().filter_map(|(seed, verdict)| Some((seed, verdict?))).collect();
        let failed: Vec<_> = results.iter().filter(|(_, verdict)| !verdict.holds()).collect();
        for (seed, verdict) in failed.iter().take(MAX_PRINTED) {
            print_failure(*seed, verdict);
        }
        if let Some((seed, _)) = failed.first()
            && self.shrink
        {
            self.print_smallest(*seed, options)?;
            return Err(CommandError::Broken);
        }
        print_costs(&results, begun.elapsed().as_secs_f64());
        outln!("{} seeds, {} failures", results.len(), failed.len());
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
            let (remaining, total) = (small.faults.len(), plan.faults.len());
            errln!("{code}: {remaining} of {total} faults, {} members", small.members);
            outln!("{}", small.to_json());
        }
        Ok(())
    }
}

fn print_failure(seed: u64, verdict: &MemberVerdict) {
    let Some(first) = verdict.violations.first() else { return };
    let breach = &first.violation;
    let (observer, member) = (breach.observer, breach.member);
    let at_s = first.at_us as f64 / 1e6;
    outln!(
        "seed {seed} fails: {} at {at_s:.1} s, n{member} in n{observer}'s view: {}",
        breach.code,
        breach.description
    );
}

/// Prints the traffic of membership and the time to detect a death, over all simulated fleets.
fn print_costs(results: &[(u64, MemberVerdict)], took_s: f64) {
    let sum = |figure: &dyn Fn(&MemberVerdict) -> f64| {
        results.iter().map(|(_, verdict)| figure(verdict)).sum::<f64>()
    };
    let member_s = sum(&|verdict| verdict.member_seconds).max(1e-9);
    let deaths: Vec<u64> =
        results.iter().flat_map(|(_, verdict)| verdict.statistics.last_us.iter().copied()).collect();
    let seen_by_all = |quantile: f64| seconds(MembershipMeasurements::quantile(&deaths, quantile));
    errln!(
        "{member_s:.0} member-seconds in {took_s:.1} s; {:.2} datagrams and {:.0} bytes per member and second; \
         time until all see a death: {} s (median), {} s (95th percentile), {} s (maximum); {} false deaths seen",
        sum(&|verdict| verdict.datagrams as f64) / member_s,
        sum(&|verdict| verdict.bytes as f64) / member_s,
        seen_by_all(0.5),
        seen_by_all(0.95),
        seen_by_all(1.0),
        sum(&|verdict| verdict.statistics.false_deaths as f64),
    );
}
