//! Plays an experiment, run after run, into a folder: `experiment.toml` and `builds.json` say what it is,
//! `results.jsonl` holds what was found. The same command goes on where an earlier one stopped.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use stonevane_lab::{NodeKind, Options, Program, RunError, Scenario, run};
use stonevane_server_model::value::digest;

use crate::matrix::{Cell, Experiment, Search, Setting, per_mille};
use crate::results::{self, Build, Found};
use crate::stats::{Capacity, bisect};

/// A build, as the folder remembers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Built {
    /// Where it was.
    pub path: PathBuf,
    /// A digest of its program.
    pub digest: String,
}

/// The builds of an experiment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Builds {
    /// The first.
    pub a: Built,
    /// The one that it is compared with.
    pub b: Option<Built>,
}

impl Builds {
    /// Reads the programs.
    ///
    /// # Errors
    /// One line that names the build that isn't there.
    pub fn of(a: &Path, b: Option<&Path>) -> Result<Builds, String> {
        let built = |path: &Path| {
            let bytes = std::fs::read(path).map_err(|e| format!("the build {}: {e}", path.display()))?;
            Ok::<_, String>(Built { path: path.into(), digest: digest(&bytes) })
        };
        Ok(Builds { a: built(a)?, b: b.map(built).transpose()? })
    }

    /// Those that there are.
    pub fn all(&self) -> Vec<(Build, &Built)> {
        let first = [(Build::A, &self.a)];
        first.into_iter().chain(self.b.iter().map(|b| (Build::B, b))).collect()
    }
}

/// Why an experiment was not played to its end.
#[derive(Debug)]
pub enum ExperimentError {
    /// The folder holds something else.
    Unusable(String),
    /// A file can't be read or written.
    Io(PathBuf, io::Error),
    /// It was interrupted after so many runs of so many.
    Interrupted(usize, usize),
}

impl std::fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ExperimentError::Unusable(why) => write!(f, "{why}"),
            ExperimentError::Io(path, e) => write!(f, "{}: {e}", path.display()),
            ExperimentError::Interrupted(done, all) => {
                write!(f, "interrupted after {done} of {all} runs; the same command goes on")
            }
        }
    }
}

impl std::error::Error for ExperimentError {}

/// A folder of an experiment, and what is in it.
pub struct Folder {
    /// Where it is.
    pub path: PathBuf,
    /// Its builds.
    pub builds: Builds,
    /// What was found so far.
    pub found: Vec<Found>,
}

fn io_at<T>(path: &Path, result: io::Result<T>) -> Result<T, ExperimentError> {
    result.map_err(|e| ExperimentError::Io(path.into(), e))
}

/// The text of the experiment that a folder holds.
///
/// # Errors
/// Where there is none.
pub fn text(folder: &Path) -> Result<String, ExperimentError> {
    let path = folder.join("experiment.toml");
    io_at(&path, std::fs::read_to_string(&path))
}

impl Folder {
    /// Reads a folder for a report.
    ///
    /// # Errors
    /// Where a file is missing or is none of an experiment's.
    pub fn read(path: &Path) -> Result<Folder, ExperimentError> {
        let file = path.join("builds.json");
        let builds = io_at(&file, std::fs::read(&file))?;
        let builds = serde_json::from_slice(&builds)
            .map_err(|e| ExperimentError::Unusable(format!("{}: {e}", file.display())))?;
        let (found, _) = read_results(&path.join("results.jsonl"))?;
        Ok(Folder { path: path.into(), builds, found })
    }
}

fn read_results(path: &Path) -> Result<(Vec<Found>, usize), ExperimentError> {
    let text = match std::fs::read_to_string(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
        read => io_at(path, read)?,
    };
    results::read(&text)
        .map_err(|(line, why)| ExperimentError::Unusable(format!("{}: line {line}: {why}", path.display())))
}

/// Keeps a file as it is, or finds that another text stands there.
fn keep(path: &Path, text: &str, what: &str) -> Result<(), ExperimentError> {
    match std::fs::read_to_string(path) {
        Ok(there) if there == text => Ok(()),
        Ok(_) => {
            let line = format!("{} holds {what}; name another folder with --out", path.display());
            Err(ExperimentError::Unusable(line))
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => io_at(path, std::fs::write(path, text)),
        Err(e) => Err(ExperimentError::Io(path.into(), e)),
    }
}

/// An experiment that is being played.
struct Player<'a> {
    experiment: &'a Experiment,
    folder: Folder,
    out: File,
    known: HashMap<(Cell, Build), usize>,
    say: &'a mut dyn FnMut(&str),
    begun: Instant,
    /// Runs that were played now, what they took beyond their load's time, and what all will have been.
    played: usize,
    beyond: Duration,
    all: usize,
}

/// Plays an experiment into a folder, and returns all that stands there then.
///
/// # Errors
/// [`ExperimentError`]; what was found before stays.
pub fn play(
    experiment: &Experiment,
    text: &str,
    builds: &Builds,
    folder: &Path,
    say: &mut dyn FnMut(&str),
) -> Result<Folder, ExperimentError> {
    io_at(folder, std::fs::create_dir_all(folder))?;
    let folder = io_at(folder, folder.canonicalize())?;
    keep(&folder.join("experiment.toml"), text, "another experiment")?;
    keep(&folder.join("scenarios.digest"), &experiment.digest, "results of other scenarios")?;
    let built = serde_json::to_string_pretty(builds).unwrap_or_default();
    keep(&folder.join("builds.json"), &built, "results of other builds")?;
    let path = folder.join("results.jsonl");
    let out = io_at(&path, OpenOptions::new().create(true).append(true).open(&path))?;
    if out.try_lock().is_err() {
        return Err(ExperimentError::Unusable(format!("{} is being written by another", path.display())));
    }
    let (found, whole) = read_results(&path)?;
    // What an interruption left of a line goes.
    io_at(&path, out.set_len(whole as u64))?;
    let known = found.iter().enumerate().map(|(at, f)| ((f.cell.clone(), f.build), at)).collect();
    for (name, text) in &experiment.operators {
        if !text.is_empty() {
            let path = operator_path(&folder, name);
            io_at(&path, std::fs::write(&path, text))?;
        }
    }
    for (name, text) in &experiment.files {
        let path = scenario_path(&folder, name);
        io_at(&path, std::fs::write(&path, text))?;
    }
    let folder = Folder { path: folder, builds: builds.clone(), found };
    let (begun, beyond) = (Instant::now(), Duration::ZERO);
    let mut player = Player { experiment, folder, out, known, say, begun, played: 0, beyond, all: 0 };
    player.play()?;
    Ok(player.folder)
}

/// Where a variant's operator file stands.
pub fn operator_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("operator-{}.toml", safe(name)))
}

/// Where a copy of a scenario's file stands.
pub fn scenario_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("scenario-{}.toml", safe(name.trim_end_matches(".toml"))))
}

fn safe(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect()
}

impl Player<'_> {
    fn play(&mut self) -> Result<(), ExperimentError> {
        let builds: Vec<(Build, PathBuf)> =
            self.folder.builds.all().into_iter().map(|(build, built)| (build, built.path.clone())).collect();
        let cells = self.experiment.cells();
        self.all = cells.len() * builds.len();
        let Some(search) = self.experiment.search.clone() else {
            for cell in &cells {
                for (build, program) in &builds {
                    self.one(cell, *build, program)?;
                }
            }
            return Ok(());
        };
        for setting in self.experiment.settings() {
            for (build, program) in &builds {
                let found = self.search(&search, &setting, *build, program)?;
                (self.say)(&format!("{setting}, {build}: {found}"));
            }
        }
        Ok(())
    }

    fn search(
        &mut self,
        search: &Search,
        setting: &Setting,
        build: Build,
        program: &Path,
    ) -> Result<Capacity, ExperimentError> {
        let seeds = self.experiment.seeds.clone();
        bisect(search.least, search.most, search.within, |load| {
            let setting = Setting { load_per_mille: per_mille(load), ..setting.clone() };
            let mut holds = 0;
            for seed in &seeds {
                let cell = Cell { setting: setting.clone(), seed: *seed };
                let at = self.one(&cell, build, program)?;
                holds += usize::from(bears(search, &self.folder.found[at]));
            }
            Ok(2 * holds > seeds.len())
        })
    }

    /// Plays one run, where it was not played before; where its result stands.
    fn one(&mut self, cell: &Cell, build: Build, program: &Path) -> Result<usize, ExperimentError> {
        if let Some(at) = self.known.get(&(cell.clone(), build)) {
            return Ok(*at);
        }
        let Some(scenario) = self.experiment.scenario(&cell.setting.scenario).cloned() else {
            return Err(ExperimentError::Unusable(format!("no scenario `{}`", cell.setting.scenario)));
        };
        let operator = self.experiment.operators.iter().find(|(name, _)| *name == cell.setting.operator);
        let operator = operator.filter(|(_, text)| !text.is_empty());
        let operator = operator.map(|(name, _)| operator_path(&self.folder.path, name));
        let kind = NodeKind::Process(Program { path: program.into(), operator });
        let options = Options {
            seed: Some(cell.seed),
            nodes: cell.setting.nodes,
            load: Some(cell.setting.load_per_mille as f64 / 1e3),
            short: self.experiment.short,
            ..Options::of(kind)
        };
        let begun = Instant::now();
        let ran = run(&scenario, &options);
        let took = begun.elapsed();
        if matches!(ran, Err(RunError::Interrupted)) {
            let done = self.folder.found.len();
            return Err(ExperimentError::Interrupted(done, self.all.max(done)));
        }
        let found = Found::of(cell.clone(), build, ran, took.as_secs_f64());
        let path = self.folder.path.join("results.jsonl");
        io_at(&path, self.out.write_all(found.line().as_bytes()).and_then(|()| self.out.flush()))?;
        self.played += 1;
        self.beyond += took.saturating_sub(length(&scenario, self.experiment.short));
        let at = self.folder.found.len();
        self.known.insert((cell.clone(), build), at);
        self.tell(&found);
        self.folder.found.push(found);
        Ok(at)
    }

    fn tell(&mut self, found: &Found) {
        let done = self.folder.found.len() + 1;
        let verdict = match (&found.error, found.broken + found.faulty, found.holds) {
            (Some(e), ..) => format!("could not be run: {}", e.lines().next().unwrap_or_default()),
            (None, 0, true) => "holds".to_owned(),
            (None, 0, false) => "an expectation is broken".to_owned(),
            (None, broken, _) => format!("{broken} breaches: {}", found.codes.join(", ")),
        };
        let served =
            found.figures.get("served").map_or(String::new(), |served| format!("served {served:.3}, "));
        let cell = &found.cell;
        let left = self.left();
        (self.say)(&format!(
            "{done} of {}: {}, seed {}, {}: {served}{verdict}{left}",
            self.all.max(done),
            cell.setting,
            cell.seed,
            found.build
        ));
    }

    /// The time that the runs that are left will take, as those that were played did.
    fn left(&self) -> String {
        if self.experiment.search.is_some() {
            return format!(" ({:.0} s so far)", self.begun.elapsed().as_secs_f64());
        }
        let builds = self.folder.builds.all().len();
        let cells = self.experiment.cells();
        let to_come = cells.iter().flat_map(|cell| {
            [Build::A, Build::B].into_iter().take(builds).map(move |build| (cell.clone(), build))
        });
        let to_come = to_come.filter(|run| !self.known.contains_key(run));
        let each = self.beyond / self.played.max(1) as u32;
        let time = |(cell, _): (Cell, Build)| {
            let scenario = self.experiment.scenario(&cell.setting.scenario);
            scenario.map_or(Duration::ZERO, |s| length(s, self.experiment.short)) + each
        };
        let left: Duration = to_come.map(time).sum();
        match left.as_secs() {
            0 => String::new(),
            seconds => format!(" (about {} min {} s left)", seconds / 60, seconds % 60),
        }
    }
}

/// Whether a run bears what a search asks.
pub fn bears(search: &Search, found: &Found) -> bool {
    if search.expects.is_empty() {
        return found.holds;
    }
    let met =
        |e: &stonevane_lab::scenario::Expectation| found.figures.get(&e.figure).is_some_and(|f| e.holds(*f));
    found.error.is_none() && found.broken + found.faulty == 0 && search.expects.iter().all(met)
}

/// How long a scenario's load lasts.
fn length(scenario: &Scenario, short: bool) -> Duration {
    Duration::from_millis(scenario.load.for_ms).mul_f64(if short { scenario.short } else { 1.0 })
}
