//! Plays an experiment, run after run, into a folder: `experiment.toml` and `builds.json` say what it is,
//! `results.jsonl` holds the results. The same command resumes where an earlier one stopped.

mod builds;
mod error;
mod folder;
mod player;

use std::path::Path;

use crate::matrix::{Experiment, Search};
use crate::results::RunResult;

pub use self::builds::{BuildError, BuildFile, Builds};
pub use self::error::ExperimentError;
pub use self::folder::{Folder, operator_path, scenario_path, text};

/// Plays an experiment into a folder, and returns all that is in the folder then.
///
/// # Errors
/// [`ExperimentError`]; results of before stay.
pub fn play(
    experiment: &Experiment,
    text: &str,
    builds: &Builds,
    folder: &Path,
    report: &mut dyn FnMut(&str),
) -> Result<Folder, ExperimentError> {
    let (folder, results) = folder::prepare(experiment, text, builds, folder)?;
    player::Player::new(experiment, folder, results, report).play()
}

/// Whether a run bears what a search asks.
pub fn bears(search: &Search, run: &RunResult) -> bool {
    if search.expects.is_empty() {
        return run.holds;
    }
    let met = |expectation: &stonevane_lab::scenario::Expectation| {
        run.figure(&expectation.figure).is_some_and(|figure| expectation.holds(figure))
    };
    run.error.is_none() && run.violations() == 0 && search.expects.iter().all(met)
}
