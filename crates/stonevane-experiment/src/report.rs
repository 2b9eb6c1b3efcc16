//! What an experiment showed: a table, and one page of HTML with its pictures inside.

mod command;
mod html;
mod pictures;
mod text;

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::matrix::{Experiment, Setting};
use crate::results::{Build, RunResult};
use crate::runner::{Folder, bears};
use crate::stats::{Capacity, Estimate, bisect, estimate, paired};

pub use self::html::html;

/// The figures that a report shows, in its order.
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
/// Worst runs that are listed for each setting.
const MAX_WORST: usize = 3;
/// The bootstrap's seed: the same results give the same report.
const SEED: u64 = 95;
/// Medians of this and more are printed without decimals.
const NO_DECIMALS: f64 = 100.0;

/// A median with its interval.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Median {
    /// The median.
    pub median: f64,
    /// The interval's lower end.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
    /// Runs that have the figure.
    pub runs: usize,
}

impl From<Estimate> for Median {
    fn from(estimate: Estimate) -> Median {
        Median { median: estimate.median, low: estimate.low, high: estimate.high, runs: estimate.count }
    }
}

impl fmt::Display for Median {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = if self.median.abs() >= NO_DECIMALS { 0 } else { 3 };
        write!(f, "{:.digits$} [{:.digits$}, {:.digits$}]", self.median, self.low, self.high)
    }
}

/// One figure of one setting.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Its name.
    pub figure: String,
    /// Of each build, A first; `None` where no run has it.
    pub builds: Vec<Option<Median>>,
    /// B less A, seed by seed.
    pub difference: Option<Median>,
    /// Whether that is more than noise.
    pub distinguishable: bool,
}

/// Runs of a build. Serialized as a list in this order.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "[usize; 4]")]
pub struct RunCounts {
    /// Played.
    pub played: usize,
    /// With all rules and expectations kept.
    pub holds: usize,
    /// With rules broken.
    pub broken: usize,
    /// Not run.
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
    /// Its seed.
    pub seed: u64,
    /// Its build.
    pub build: Build,
    /// What it showed.
    pub what: String,
    /// The command that plays it again.
    pub command: String,
}

impl From<WorstRun> for (u64, Build, String, String) {
    fn from(run: WorstRun) -> (u64, Build, String, String) {
        (run.seed, run.build, run.what, run.command)
    }
}

/// What one setting showed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Section {
    /// The setting.
    pub setting: Setting,
    /// Runs of each build.
    pub runs: Vec<RunCounts>,
    /// The ways in which rules were broken.
    pub codes: Vec<String>,
    /// Its figures.
    pub rows: Vec<Row>,
    /// Its worst runs, the worst first.
    pub worst: Vec<WorstRun>,
}

/// What a search found. Serialized as a list in this order.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(into = "(Setting, Build, String)")]
pub struct SearchResult {
    /// The setting.
    pub setting: Setting,
    /// The build.
    pub build: Build,
    /// The load that holds, as a multiple of the scenario's.
    pub capacity: String,
}

impl From<SearchResult> for (Setting, Build, String) {
    fn from(result: SearchResult) -> (Setting, Build, String) {
        (result.setting, result.build, result.capacity)
    }
}

/// How far an experiment is played. Serialized as a list in this order.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct Played {
    /// Runs that have a result.
    pub runs: usize,
    /// All runs; 0 for a search.
    pub total: usize,
}

impl From<Played> for (usize, usize) {
    fn from(played: Played) -> (usize, usize) {
        (played.runs, played.total)
    }
}

/// A report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub name: String,
    /// Digests of the builds.
    pub builds: Vec<String>,
    /// Its settings.
    pub sections: Vec<Section>,
    /// What a search found.
    pub capacities: Vec<SearchResult>,
    /// How far it is played.
    pub played: Played,
}

/// Makes a report of a folder.
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
        worst: worst(experiment, folder, all),
    }
}

/// The worst runs: first those that could not be run, then those that break rules, then expectations; of these the ones
/// that served least.
fn worst(experiment: &Experiment, folder: &Folder, mut runs: Vec<&RunResult>) -> Vec<WorstRun> {
    let served = |run: &RunResult| run.figure("served").unwrap_or(-1.0);
    let rank = |run: &RunResult| (run.error.is_none(), run.violations() == 0, run.holds);
    runs.sort_by(|one, other| rank(one).cmp(&rank(other)).then(served(one).total_cmp(&served(other))));
    let worst = runs.into_iter().take(MAX_WORST).map(|run| WorstRun {
        seed: run.cell.seed,
        build: run.build,
        what: match &run.error {
            Some(error) => error.lines().next().unwrap_or_default().to_owned(),
            None if run.violations() > 0 => format!("broken: {}", run.codes.join(", ")),
            None if run.holds => format!("served {:.3}", served(run)),
            None => format!("served {:.3}, an expectation is broken", served(run)),
        },
        command: command::replay(experiment, folder, &run.cell, run.build),
    });
    worst.collect()
}

fn row(name: &str, by_build: &[Vec<&RunResult>]) -> Row {
    let figures = |runs: &Vec<&RunResult>| runs.iter().filter_map(|run| run.figure(name)).collect::<Vec<_>>();
    let builds = by_build.iter().map(|runs| estimate(&figures(runs), SEED).map(Median::from)).collect();
    let difference = match by_build {
        [a, b] => paired(&pairs(name, a, b), SEED),
        _ => None,
    };
    Row {
        figure: name.into(),
        builds,
        difference: difference.map(|difference| Median::from(difference.estimate)),
        distinguishable: difference.is_some_and(|difference| difference.distinguishable),
    }
}

/// A figure of two builds, paired by seed.
fn pairs(name: &str, a: &[&RunResult], b: &[&RunResult]) -> Vec<(f64, f64)> {
    let figure = |run: &&RunResult| Some((run.cell.seed, run.figure(name)?));
    let by_seed: BTreeMap<u64, f64> = a.iter().filter_map(figure).collect();
    let pair = |(seed, figure): (u64, f64)| Some((*by_seed.get(&seed)?, figure));
    b.iter().filter_map(figure).filter_map(pair).collect()
}

/// Repeats a search on the results, without playing anything.
fn capacities(experiment: &Experiment, folder: &Folder, builds: &[Build]) -> Vec<SearchResult> {
    let Some(search) = &experiment.search else { return Vec::new() };
    let mut results = Vec::new();
    for setting in experiment.settings() {
        for build in builds {
            let holds = |load: f64| {
                let runs = folder.runs_of(&setting.with_load(load), *build);
                let holding = runs.iter().filter(|run| bears(search, run)).count();
                let complete = runs.len() >= experiment.seeds.len();
                complete.then_some(2 * holding > runs.len()).ok_or(())
            };
            let found: Result<Capacity, ()> = bisect(search.least, search.most, search.within, holds);
            let capacity = found.map_or("not searched to its end".into(), |found| found.to_string());
            results.push(SearchResult { setting: setting.clone(), build: *build, capacity });
        }
    }
    results
}
