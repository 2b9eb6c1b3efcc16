//! Folder of an experiment: its inputs and the results of its runs.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use super::error::with_path;
use super::{Builds, ExperimentError};
use crate::matrix::{Experiment, Setting};
use crate::results::{self, Build, ResultsFile, RunResult};

const EXPERIMENT_FILE: &str = "experiment.toml";
const SCENARIOS_DIGEST_FILE: &str = "scenarios.digest";
const BUILDS_FILE: &str = "builds.json";
pub(super) const RESULTS_FILE: &str = "results.jsonl";

/// Folder of an experiment, with its contents.
pub struct Folder {
    /// Path of the folder.
    pub path: PathBuf,
    /// Builds that the experiment runs.
    pub builds: Builds,
    /// Results so far, in the order of `results.jsonl`.
    pub runs: Vec<RunResult>,
}

impl Folder {
    /// Reads a folder without changing it, as for a report.
    ///
    /// # Errors
    /// `builds.json` is missing, or a file can't be read or is malformed.
    pub fn read(path: &Path) -> Result<Folder, ExperimentError> {
        let file = path.join(BUILDS_FILE);
        let builds = with_path(&file, std::fs::read(&file))?;
        let builds = serde_json::from_slice(&builds)
            .map_err(|error| ExperimentError::Unusable(format!("{}: {error}", file.display())))?;
        let ResultsFile { runs, .. } = read_results(&path.join(RESULTS_FILE))?;
        Ok(Folder { path: path.into(), builds, runs })
    }

    /// Returns the results of all runs of a setting with a build, one per seed.
    pub fn runs_of(&self, setting: &Setting, build: Build) -> Vec<&RunResult> {
        self.runs.iter().filter(|run| run.cell.setting == *setting && run.build == build).collect()
    }
}

/// Returns the text of the experiment file in a folder.
///
/// # Errors
/// The folder has no experiment file, or it can't be read.
pub fn experiment_text(folder: &Path) -> Result<String, ExperimentError> {
    let path = folder.join(EXPERIMENT_FILE);
    with_path(&path, std::fs::read_to_string(&path))
}

fn read_results(path: &Path) -> Result<ResultsFile, ExperimentError> {
    let text = match std::fs::read_to_string(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => String::new(),
        read => with_path(path, read)?,
    };
    results::read(&text).map_err(|error| ExperimentError::Unusable(format!("{}: {error}", path.display())))
}

/// Writes a file that does not exist yet, or checks that an existing one has the same text. `conflict`
/// describes a file with another text in the error.
fn write_once(path: &Path, text: &str, conflict: &str) -> Result<(), ExperimentError> {
    match std::fs::read_to_string(path) {
        Ok(existing) if existing == text => Ok(()),
        Ok(_) => {
            let cause = format!("{} holds {conflict}; name another folder with --out", path.display());
            Err(ExperimentError::Unusable(cause))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => with_path(path, std::fs::write(path, text)),
        Err(error) => Err(ExperimentError::Io { path: path.into(), error }),
    }
}

/// Prepares a folder for an experiment, and returns it with its results file, which is locked and open for
/// appending.
pub(super) fn prepare(
    experiment: &Experiment,
    text: &str,
    builds: &Builds,
    folder: &Path,
) -> Result<(Folder, File), ExperimentError> {
    with_path(folder, std::fs::create_dir_all(folder))?;
    let path = with_path(folder, folder.canonicalize())?;
    write_once(&path.join(EXPERIMENT_FILE), text, "another experiment")?;
    write_once(&path.join(SCENARIOS_DIGEST_FILE), &experiment.digest, "results of other scenarios")?;
    let build_files = serde_json::to_string_pretty(builds).unwrap_or_default();
    write_once(&path.join(BUILDS_FILE), &build_files, "results of other builds")?;
    let results_path = path.join(RESULTS_FILE);
    let results = OpenOptions::new().create(true).append(true).open(&results_path);
    let results = with_path(&results_path, results)?;
    if results.try_lock().is_err() {
        let cause =
            format!("{} is locked by another process that runs this experiment", results_path.display());
        return Err(ExperimentError::Unusable(cause));
    }
    let ResultsFile { runs, complete_bytes } = read_results(&results_path)?;
    // Removes a truncated last line, as left by a kill during its write.
    with_path(&results_path, results.set_len(complete_bytes as u64))?;
    copy_inputs(experiment, &path)?;
    Ok((Folder { path, builds: builds.clone(), runs }, results))
}

/// Copies the operator files and the scenario files into the folder.
fn copy_inputs(experiment: &Experiment, folder: &Path) -> Result<(), ExperimentError> {
    for operator in experiment.operators.iter().filter(|operator| !operator.text.is_empty()) {
        let path = operator_path(folder, &operator.name);
        with_path(&path, std::fs::write(&path, &operator.text))?;
    }
    for scenario in &experiment.scenarios {
        if let Some(text) = &scenario.file_text {
            let path = scenario_path(folder, &scenario.name);
            with_path(&path, std::fs::write(&path, text))?;
        }
    }
    Ok(())
}

/// Path of the operator file of a variant in the folder.
pub fn operator_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("operator-{}.toml", file_name(name)))
}

/// Path of the copy of a scenario file in the folder.
pub fn scenario_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("scenario-{}.toml", file_name(name.trim_end_matches(".toml"))))
}

/// Replaces each character of a name that is not an ASCII letter, digit or hyphen by an underscore.
fn file_name(name: &str) -> String {
    let safe = |character: char| character.is_ascii_alphanumeric() || character == '-';
    name.chars().map(|character| if safe(character) { character } else { '_' }).collect()
}
