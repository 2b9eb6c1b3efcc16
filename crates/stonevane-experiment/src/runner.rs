//! Executes the runs of an experiment one after the other and stores their results in a folder:
//! `experiment.toml` and `builds.json` identify the experiment, `results.jsonl` holds the results. The same
//! command resumes an interrupted experiment.

mod builds;
mod error;
mod folder;
mod player;

use std::path::Path;

use crate::matrix::{Experiment, Search};
use crate::results::RunResult;

pub use self::builds::{BuildError, BuildFile, Builds};
pub use self::error::ExperimentError;
pub use self::folder::{Folder, experiment_text, operator_path, scenario_path};

/// Executes the runs of an experiment that have no result in the folder yet, and returns the contents of the
/// folder. `report` receives one line per finished run or search.
///
/// # Errors
/// [`ExperimentError`]; the results so far stay in the folder.
pub fn run(
    experiment: &Experiment,
    text: &str,
    builds: &Builds,
    folder: &Path,
    report: &mut dyn FnMut(&str),
) -> Result<Folder, ExperimentError> {
    let (folder, results) = folder::prepare(experiment, text, builds, folder)?;
    player::Player::new(experiment, folder, results, report).run()
}

/// Whether a run meets the expectations of a search and violates no rule.
pub fn meets(search: &Search, run: &RunResult) -> bool {
    if search.expects.is_empty() {
        return run.holds;
    }
    let holds = |expectation: &stonevane_lab::scenario::Expectation| {
        run.figure(&expectation.figure).is_some_and(|figure| expectation.holds(figure))
    };
    run.error.is_none() && run.violations() == 0 && search.expects.iter().all(holds)
}
