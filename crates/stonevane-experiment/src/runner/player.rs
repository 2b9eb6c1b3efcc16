//! Executes the runs of an experiment that have no result yet.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use stonevane_lab::{NodeKind, Options, Program, RunError, Scenario, run};

use super::error::with_path;
use super::folder::{RESULTS_FILE, operator_path};
use super::{ExperimentError, Folder, meets};
use crate::matrix::{Cell, Experiment, Search, Setting};
use crate::results::{Build, RunResult};
use crate::stats::{Capacity, bisect};

/// Executes the runs of an experiment.
pub(super) struct Player<'a> {
    experiment: &'a Experiment,
    folder: Folder,
    results: File,
    /// Indices into `folder.runs`, by cell and build.
    result_indices: HashMap<(Cell, Build), usize>,
    report: &'a mut dyn FnMut(&str),
    started_at: Instant,
    /// Number of runs executed since `started_at`.
    executed: usize,
    /// Time that the runs executed since `started_at` took beyond the length of their load, in total.
    overhead: Duration,
    /// Number of all runs of the experiment; for a search, the number of runs at a single load, since the
    /// number of loads is not known in advance.
    total: usize,
}

impl<'a> Player<'a> {
    pub(super) fn new(
        experiment: &'a Experiment,
        folder: Folder,
        results: File,
        report: &'a mut dyn FnMut(&str),
    ) -> Player<'a> {
        let runs = folder.runs.iter().enumerate();
        let result_indices = runs.map(|(index, run)| ((run.cell.clone(), run.build), index)).collect();
        Player {
            experiment,
            folder,
            results,
            result_indices,
            report,
            started_at: Instant::now(),
            executed: 0,
            overhead: Duration::ZERO,
            total: 0,
        }
    }

    /// Executes all missing runs, or the search, and returns the folder with the results.
    pub(super) fn run(mut self) -> Result<Folder, ExperimentError> {
        let builds: Vec<(Build, PathBuf)> =
            self.folder.builds.all().into_iter().map(|(build, file)| (build, file.path.clone())).collect();
        let cells = self.experiment.cells();
        self.total = cells.len() * builds.len();
        match self.experiment.search.clone() {
            Some(search) => self.search_all(&search, &builds)?,
            None => {
                for cell in &cells {
                    for (build, program) in &builds {
                        self.execute_run(cell, *build, program)?;
                    }
                }
            }
        }
        Ok(self.folder)
    }

    fn search_all(&mut self, search: &Search, builds: &[(Build, PathBuf)]) -> Result<(), ExperimentError> {
        for setting in self.experiment.settings() {
            for (build, program) in builds {
                let capacity = self.search(search, &setting, *build, program)?;
                (self.report)(&format!("{setting}, {build}: {capacity}"));
            }
        }
        Ok(())
    }

    /// Finds the greatest load at which more than half of the seeds of a setting meet the expectations of the
    /// search.
    fn search(
        &mut self,
        search: &Search,
        setting: &Setting,
        build: Build,
        program: &Path,
    ) -> Result<Capacity, ExperimentError> {
        let seeds = self.experiment.seeds.clone();
        bisect(search.least, search.most, search.within, |load| {
            let setting = setting.with_load(load);
            let mut holding = 0;
            for seed in &seeds {
                let cell = Cell { setting: setting.clone(), seed: *seed };
                let index = self.execute_run(&cell, build, program)?;
                holding += usize::from(meets(search, &self.folder.runs[index]));
            }
            Ok(2 * holding > seeds.len())
        })
    }

    /// Executes one run, unless it has a result, and returns the index of its result in `folder.runs`.
    fn execute_run(&mut self, cell: &Cell, build: Build, program: &Path) -> Result<usize, ExperimentError> {
        if let Some(index) = self.result_indices.get(&(cell.clone(), build)) {
            return Ok(*index);
        }
        let Some(scenario) = self.experiment.scenario(&cell.setting.scenario).cloned() else {
            return Err(ExperimentError::Unusable(format!(
                "the experiment has no scenario `{}`",
                cell.setting.scenario
            )));
        };
        let options = self.options(cell, program);
        let run_started_at = Instant::now();
        let outcome = run(&scenario, &options);
        let took = run_started_at.elapsed();
        if matches!(outcome, Err(RunError::Interrupted)) {
            let done = self.folder.runs.len();
            return Err(ExperimentError::Interrupted { done, total: self.total.max(done) });
        }
        let result = RunResult::new(cell.clone(), build, outcome, took.as_secs_f64());
        let written = self.results.write_all(result.line().as_bytes()).and_then(|()| self.results.flush());
        with_path(&self.folder.path.join(RESULTS_FILE), written)?;
        self.executed += 1;
        self.overhead += took.saturating_sub(load_length(&scenario, self.experiment.short));
        let index = self.folder.runs.len();
        self.result_indices.insert((cell.clone(), build), index);
        self.report_run(&result);
        self.folder.runs.push(result);
        Ok(index)
    }

    fn options(&self, cell: &Cell, program: &Path) -> Options {
        let variant = &cell.setting.operator;
        let has_file = self.experiment.has_operator_file(variant);
        let operator = has_file.then(|| operator_path(&self.folder.path, variant));
        Options {
            seed: Some(cell.seed),
            nodes: cell.setting.nodes,
            load: Some(cell.setting.load()),
            short: self.experiment.short,
            ..Options::of(NodeKind::Process(Program { path: program.into(), operator }))
        }
    }

    fn report_run(&mut self, run: &RunResult) {
        let done = self.folder.runs.len() + 1;
        let verdict = match (&run.error, run.violations(), run.holds) {
            (Some(error), ..) => format!("could not be run: {}", error.lines().next().unwrap_or_default()),
            (None, 0, true) => "holds".to_owned(),
            (None, 0, false) => "an expectation is broken".to_owned(),
            (None, violations, _) => format!("{violations} violations: {}", run.codes.join(", ")),
        };
        let served = run.figure("served").map_or(String::new(), |served| format!("served {served:.3}, "));
        let (cell, build, time_left) = (&run.cell, run.build, self.time_left());
        (self.report)(&format!(
            "{done} of {}: {}, seed {}, {build}: {served}{verdict}{time_left}",
            self.total.max(done),
            cell.setting,
            cell.seed,
        ));
    }

    /// Returns the time that the remaining runs are expected to take, as text for a progress line: estimated
    /// from the length of their load and the average overhead of the runs executed so far. The number of runs
    /// of a search is not known in advance: for a search the text gives the elapsed time instead.
    fn time_left(&self) -> String {
        if self.experiment.search.is_some() {
            return format!(" ({:.0} s so far)", self.started_at.elapsed().as_secs_f64());
        }
        let overhead = self.overhead / self.executed.max(1) as u32;
        let mut left = Duration::ZERO;
        for cell in self.experiment.cells() {
            let scenario = self.experiment.scenario(&cell.setting.scenario);
            let length =
                scenario.map_or(Duration::ZERO, |scenario| load_length(scenario, self.experiment.short));
            let missing = self.folder.builds.all().into_iter();
            let missing =
                missing.filter(|(build, _)| !self.result_indices.contains_key(&(cell.clone(), *build)));
            left += (length + overhead) * missing.count() as u32;
        }
        match left.as_secs() {
            0 => String::new(),
            seconds => format!(" (about {} min {} s left)", seconds / 60, seconds % 60),
        }
    }
}

/// Length of the load of a scenario.
fn load_length(scenario: &Scenario, short: bool) -> Duration {
    Duration::from_millis(scenario.load.duration_ms).mul_f64(if short { scenario.short } else { 1.0 })
}
