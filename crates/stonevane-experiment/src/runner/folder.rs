//! The folder of an experiment.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use super::error::at;
use super::{Builds, ExperimentError};
use crate::matrix::{Experiment, Setting};
use crate::results::{self, Build, ResultsFile, RunResult};

const EXPERIMENT: &str = "experiment.toml";
const SCENARIOS_DIGEST: &str = "scenarios.digest";
const BUILDS: &str = "builds.json";
pub(super) const RESULTS: &str = "results.jsonl";

/// A folder of an experiment, and what is in it.
pub struct Folder {
    /// Where it is.
    pub path: PathBuf,
    /// Its builds.
    pub builds: Builds,
    /// The results so far.
    pub runs: Vec<RunResult>,
}

impl Folder {
    /// Reads a folder for a report.
    ///
    /// # Errors
    /// Where a file is missing or is none of an experiment's.
    pub fn read(path: &Path) -> Result<Folder, ExperimentError> {
        let file = path.join(BUILDS);
        let builds = at(&file, std::fs::read(&file))?;
        let builds = serde_json::from_slice(&builds)
            .map_err(|error| ExperimentError::Unusable(format!("{}: {error}", file.display())))?;
        let ResultsFile { runs, .. } = read_results(&path.join(RESULTS))?;
        Ok(Folder { path: path.into(), builds, runs })
    }

    /// The runs of a setting with a build.
    pub fn runs_of(&self, setting: &Setting, build: Build) -> Vec<&RunResult> {
        self.runs.iter().filter(|run| run.cell.setting == *setting && run.build == build).collect()
    }
}

/// The text of the experiment that a folder holds.
///
/// # Errors
/// Where there is none.
pub fn text(folder: &Path) -> Result<String, ExperimentError> {
    let path = folder.join(EXPERIMENT);
    at(&path, std::fs::read_to_string(&path))
}

fn read_results(path: &Path) -> Result<ResultsFile, ExperimentError> {
    let text = match std::fs::read_to_string(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        read => at(path, read)?,
    };
    results::read(&text).map_err(|error| ExperimentError::Unusable(format!("{}: {error}", path.display())))
}

/// Writes a file that is not there yet, or checks that it has this text.
fn write_once(path: &Path, text: &str, other: &str) -> Result<(), ExperimentError> {
    match std::fs::read_to_string(path) {
        Ok(existing) if existing == text => Ok(()),
        Ok(_) => {
            let cause = format!("{} holds {other}; name another folder with --out", path.display());
            Err(ExperimentError::Unusable(cause))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => at(path, std::fs::write(path, text)),
        Err(error) => Err(ExperimentError::Io { path: path.into(), error }),
    }
}

/// Prepares a folder for an experiment; returns it with its locked file of results.
pub(super) fn prepare(
    experiment: &Experiment,
    text: &str,
    builds: &Builds,
    folder: &Path,
) -> Result<(Folder, File), ExperimentError> {
    at(folder, std::fs::create_dir_all(folder))?;
    let path = at(folder, folder.canonicalize())?;
    write_once(&path.join(EXPERIMENT), text, "another experiment")?;
    write_once(&path.join(SCENARIOS_DIGEST), &experiment.digest, "results of other scenarios")?;
    let build_files = serde_json::to_string_pretty(builds).unwrap_or_default();
    write_once(&path.join(BUILDS), &build_files, "results of other builds")?;
    let results_path = path.join(RESULTS);
    let results = OpenOptions::new().create(true).append(true).open(&results_path);
    let results = at(&results_path, results)?;
    if results.try_lock().is_err() {
        let cause = format!("{} is being written by another", results_path.display());
        return Err(ExperimentError::Unusable(cause));
    }
    let ResultsFile { runs, complete_bytes } = read_results(&results_path)?;
    // Drops a last line that an interruption has cut off.
    at(&results_path, results.set_len(complete_bytes as u64))?;
    copy_inputs(experiment, &path)?;
    Ok((Folder { path, builds: builds.clone(), runs }, results))
}

/// Copies operator files and the files of scenarios into the folder.
fn copy_inputs(experiment: &Experiment, folder: &Path) -> Result<(), ExperimentError> {
    for operator in experiment.operators.iter().filter(|operator| !operator.text.is_empty()) {
        let path = operator_path(folder, &operator.name);
        at(&path, std::fs::write(&path, &operator.text))?;
    }
    for scenario in &experiment.scenarios {
        if let Some(text) = &scenario.file_text {
            let path = scenario_path(folder, &scenario.name);
            at(&path, std::fs::write(&path, text))?;
        }
    }
    Ok(())
}

/// Where a variant's operator file is.
pub fn operator_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("operator-{}.toml", file_name(name)))
}

/// Where the copy of a scenario's file is.
pub fn scenario_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("scenario-{}.toml", file_name(name.trim_end_matches(".toml"))))
}

/// A name with only what file names may have.
fn file_name(name: &str) -> String {
    let safe = |character: char| character.is_ascii_alphanumeric() || character == '-';
    name.chars().map(|character| if safe(character) { character } else { '_' }).collect()
}
