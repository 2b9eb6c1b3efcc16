//! Report of an experiment: a text table, and an HTML page with embedded charts.

mod command;
mod html;
mod pictures;
mod text;

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::matrix::{Experiment, Setting};
use crate::results::{Build, RunResult};
use crate::runner::{Folder, meets};
use crate::stats::{Capacity, Estimate, bisect, estimate, paired_difference};

pub use self::html::html;

/// Names of the figures in a report, in the order of its rows.
pub const FIGURES: [&str; 15] = [
    "served",
    "served_first",
    "served_after",
    "served_worst_10s",
    "served_reads",
    "served_edits",
    "refused",
    "failed",
    "recovery_ms",
    "p50_ms",
    "p99_ms",
    "attempts_per_request",
    "origin_peak",
    "origin_falls",
    "cold_peak",
];
/// Number of worst runs listed per setting.
const MAX_WORST_RUNS: usize = 3;
/// Seed of the bootstrap; it is constant so that the same results give the same report.
const BOOTSTRAP_SEED: u64 = 95;
/// Absolute value of a median from which it is printed without decimals.
const MIN_WITHOUT_DECIMALS: f64 = 100.0;

/// A median with its 95 % bootstrap interval.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Median {
    /// Median over the runs.
    pub median: f64,
    /// Lower bound of the interval.
    pub low: f64,
    /// Upper bound of the interval.
    pub high: f64,
    /// Number of runs, or of pairs of runs, that have the figure.
    pub runs: usize,
}

impl From<Estimate> for Median {
    fn from(estimate: Estimate) -> Median {
        Median { median: estimate.median, low: estimate.low, high: estimate.high, runs: estimate.count }
    }
}

impl fmt::Display for Median {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = if self.median.abs() >= MIN_WITHOUT_DECIMALS { 0 } else { 3 };
        write!(f, "{:.digits$} [{:.digits$}, {:.digits$}]", self.median, self.low, self.high)
    }
}

/// One figure of one setting.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the figure.
    pub figure: String,
    /// Median of each build, A first; `None` if no run has the figure.
    pub builds: Vec<Option<Median>>,
    /// Median of the differences B - A, paired by seed; `None` with a single build.
    pub difference: Option<Median>,
    /// Whether the difference is distinguishable from noise.
    pub distinguishable: bool,
}

/// Numbers of runs of a build. Serialized as a list in this order.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "[usize; 4]")]
pub struct RunCounts {
    /// Runs with a result, including those that failed with an error.
    pub played: usize,
    /// Runs in which all rules and expectations hold.
    pub holds: usize,
    /// Runs with rule violations or emulator faults.
    pub broken: usize,
    /// Runs that failed with an error.
    pub not_run: usize,
}

impl From<RunCounts> for [usize; 4] {
    fn from(counts: RunCounts) -> [usize; 4] {
        [counts.played, counts.holds, counts.broken, counts.not_run]
    }
}

impl RunCounts {
    fn of(runs: &[&RunResult]) -> RunCounts {
        let count = |counts: &dyn Fn(&RunResult) -> bool| runs.iter().filter(|run| counts(run)).count();
        RunCounts {
            played: runs.len(),
            holds: count(&|run| run.holds),
            broken: count(&|run| run.violations() > 0),
            not_run: count(&|run| run.error.is_some()),
        }
    }
}

/// One of the worst runs of a setting. Serialized as a list in this order.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(into = "(u64, Build, String, String)")]
pub struct WorstRun {
    /// Seed of the run.
    pub seed: u64,
    /// Build of the run.
    pub build: Build,
    /// First line of the error, codes of the violated rules, or fraction of the requests served.
    pub what: String,
    /// Command that repeats the run.
    pub command: String,
}

impl From<WorstRun> for (u64, Build, String, String) {
    fn from(run: WorstRun) -> (u64, Build, String, String) {
        (run.seed, run.build, run.what, run.command)
    }
}

/// Results of one setting.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Section {
    /// Scenario, fleet size, load and operator file of the runs.
    pub setting: Setting,
    /// Numbers of runs of each build, A first.
    pub runs: Vec<RunCounts>,
    /// Codes of the rule violations, sorted and without duplicates.
    pub codes: Vec<String>,
    /// Figures that at least one run has.
    pub rows: Vec<Row>,
    /// Worst runs, the worst first.
    pub worst: Vec<WorstRun>,
}

/// Result of a search. Serialized as a list in this order.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(into = "(Setting, Build, String)")]
pub struct SearchResult {
    /// Setting that was searched, with load 1.
    pub setting: Setting,
    /// Build that was searched.
    pub build: Build,
    /// Bounds of the greatest load at which the expectations hold, as text, in multiples of the scenario's
    /// request rate.
    pub capacity: String,
}

impl From<SearchResult> for (Setting, Build, String) {
    fn from(result: SearchResult) -> (Setting, Build, String) {
        (result.setting, result.build, result.capacity)
    }
}

/// Progress of an experiment. Serialized as a list in this order.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct Played {
    /// Number of runs with a result.
    pub runs: usize,
    /// Number of all runs; 0 for a search, which does not know it in advance.
    pub total: usize,
}

impl From<Played> for (usize, usize) {
    fn from(played: Played) -> (usize, usize) {
        (played.runs, played.total)
    }
}

/// Report of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: String,
    /// Digests of the builds, A first.
    pub builds: Vec<String>,
    /// Results of each setting, in the order of their first run.
    pub sections: Vec<Section>,
    /// Results of the search; empty for an experiment without one.
    pub capacities: Vec<SearchResult>,
    /// Progress of the experiment.
    pub played: Played,
}

/// Builds the report from the results in a folder.
pub fn report(experiment: &Experiment, folder: &Folder) -> Report {
    let mut settings: Vec<&Setting> = Vec::new();
    for run in &folder.runs {
        if !settings.contains(&&run.cell.setting) {
            settings.push(&run.cell.setting);
        }
    }
    let builds: Vec<Build> = folder.builds.all().into_iter().map(|(build, _)| build).collect();
    let total = if experiment.search.is_some() { 0 } else { experiment.cells().len() * builds.len() };
    Report {
        name: experiment.name.clone(),
        builds: folder.builds.all().into_iter().map(|(_, file)| file.digest.clone()).collect(),
        sections: settings.into_iter().map(|setting| section(experiment, folder, setting, &builds)).collect(),
        capacities: capacities(experiment, folder, &builds),
        played: Played { runs: folder.runs.len(), total },
    }
}

fn section(experiment: &Experiment, folder: &Folder, setting: &Setting, builds: &[Build]) -> Section {
    let by_build: Vec<Vec<&RunResult>> = builds.iter().map(|build| folder.runs_of(setting, *build)).collect();
    let all: Vec<&RunResult> = by_build.iter().flatten().copied().collect();
    let mut codes: Vec<String> = all.iter().flat_map(|run| run.codes.clone()).collect();
    codes.sort();
    codes.dedup();
    let rows = FIGURES.iter().map(|name| row(name, &by_build));
    Section {
        setting: setting.clone(),
        runs: by_build.iter().map(|runs| RunCounts::of(runs)).collect(),
        codes,
        rows: rows.filter(|row| row.builds.iter().any(Option::is_some)).collect(),
        worst: worst_runs(experiment, folder, all),
    }
}

/// Returns the worst runs, ordered by kind (failed with an error, violated a rule, missed an expectation, all
/// others) and then by the part of the requests served, lowest first.
fn worst_runs(experiment: &Experiment, folder: &Folder, mut runs: Vec<&RunResult>) -> Vec<WorstRun> {
    let served = |run: &RunResult| run.figure("served").unwrap_or(-1.0);
    let rank = |run: &RunResult| (run.error.is_none(), run.violations() == 0, run.holds);
    runs.sort_by(|a, b| rank(a).cmp(&rank(b)).then(served(a).total_cmp(&served(b))));
    let worst = runs.into_iter().take(MAX_WORST_RUNS).map(|run| WorstRun {
        seed: run.cell.seed,
        build: run.build,
        what: match &run.error {
            Some(error) => error.lines().next().unwrap_or_default().to_owned(),
            None if run.violations() > 0 => format!("broken: {}", run.codes.join(", ")),
            None if run.holds => format!("served {:.3}", served(run)),
            None => format!("served {:.3}, an expectation is broken", served(run)),
        },
        command: command::repeat(experiment, folder, &run.cell, run.build),
    });
    worst.collect()
}

fn row(name: &str, by_build: &[Vec<&RunResult>]) -> Row {
    let figures = |runs: &Vec<&RunResult>| runs.iter().filter_map(|run| run.figure(name)).collect::<Vec<_>>();
    let builds =
        by_build.iter().map(|runs| estimate(&figures(runs), BOOTSTRAP_SEED).map(Median::from)).collect();
    let difference = match by_build {
        [a, b] => paired_difference(&pairs(name, a, b), BOOTSTRAP_SEED),
        _ => None,
    };
    Row {
        figure: name.into(),
        builds,
        difference: difference.map(|difference| Median::from(difference.estimate)),
        distinguishable: difference.is_some_and(|difference| difference.distinguishable),
    }
}

/// Returns the values of a figure in two builds, paired by seed.
fn pairs(name: &str, a: &[&RunResult], b: &[&RunResult]) -> Vec<(f64, f64)> {
    let figure = |run: &&RunResult| Some((run.cell.seed, run.figure(name)?));
    let by_seed: BTreeMap<u64, f64> = a.iter().filter_map(figure).collect();
    let pair = |(seed, figure): (u64, f64)| Some((*by_seed.get(&seed)?, figure));
    b.iter().filter_map(figure).filter_map(pair).collect()
}

/// Repeats the search on the stored results, without executing a run.
fn capacities(experiment: &Experiment, folder: &Folder, builds: &[Build]) -> Vec<SearchResult> {
    let Some(search) = &experiment.search else { return Vec::new() };
    let mut results = Vec::new();
    for setting in experiment.settings() {
        for build in builds {
            let holds = |load: f64| {
                let runs = folder.runs_of(&setting.with_load(load), *build);
                let holding = runs.iter().filter(|run| meets(search, run)).count();
                let complete = runs.len() >= experiment.seeds.len();
                complete.then_some(2 * holding > runs.len()).ok_or(())
            };
            let capacity: Result<Capacity, ()> = bisect(search.least, search.most, search.within, holds);
            let capacity = capacity.map_or("search incomplete".into(), |capacity| capacity.to_string());
            results.push(SearchResult { setting: setting.clone(), build: *build, capacity });
        }
    }
    results
}
