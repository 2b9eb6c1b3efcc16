//! What runs showed, as JSON lines: one a run, appended when it has ended. A last line that was cut off, as by a
//! kill during its write, counts as not there.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stonevane_lab::scenario::FIGURES;
use stonevane_lab::summary::Interval;
use stonevane_lab::{Outcome, RunError};

use crate::matrix::Cell;

/// A build of the daemon in an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Build {
    /// The first.
    A,
    /// The one that it is compared with.
    B,
}

impl std::fmt::Display for Build {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Build::A => "A",
            Build::B => "B",
        })
    }
}

/// What one run showed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Found {
    /// Which run.
    pub cell: Cell,
    /// With which build.
    pub build: Build,
    /// Its figures, by the names that expectations use.
    pub figures: BTreeMap<String, f64>,
    /// Whether the rules and all expectations hold.
    pub holds: bool,
    /// Breaches of rules, and faults of stand-ins.
    pub broken: usize,
    /// Faults of stand-ins.
    pub faulty: usize,
    /// The ways in which rules were broken, each once.
    pub codes: Vec<String>,
    /// Steps of a quarter of a second.
    pub steps: Vec<Interval>,
    /// Each class's times in fiftieths, milliseconds.
    pub marks_ms: BTreeMap<String, Vec<f64>>,
    /// What went wrong, in seconds from the start.
    pub faults: Vec<(f64, String)>,
    /// Why it could not be run; all figures are missing then.
    pub error: Option<String>,
    /// How long it took, seconds.
    pub took_s: f64,
}

impl Found {
    /// What a run came to.
    pub fn of(cell: Cell, build: Build, run: Result<Outcome, RunError>, took_s: f64) -> Found {
        let mut found = Found {
            cell,
            build,
            figures: BTreeMap::new(),
            holds: false,
            broken: 0,
            faulty: 0,
            codes: Vec::new(),
            steps: Vec::new(),
            marks_ms: BTreeMap::new(),
            faults: Vec::new(),
            error: None,
            took_s,
        };
        match run {
            Ok(outcome) => {
                let figure =
                    |name: &&str| Some(((*name).to_owned(), outcome.summary.figure(name, &outcome.report)?));
                found.figures = FIGURES.iter().filter_map(figure).collect();
                found.holds = outcome.holds;
                (found.broken, found.faulty) = (outcome.report.broken, outcome.report.faulty);
                found.codes = outcome.report.findings.iter().map(|f| f.code.to_owned()).collect();
                found.codes.sort();
                found.codes.dedup();
                let classes = outcome.summary.classes;
                found.marks_ms = classes.into_iter().map(|(name, class)| (name, class.marks_ms)).collect();
                found.steps = outcome.summary.steps;
                found.faults = outcome.summary.faults;
            }
            Err(e) => found.error = Some(e.to_string()),
        }
        found
    }

    /// The line as it stands in a file, its end included.
    pub fn line(&self) -> String {
        let mut text = serde_json::to_string(self).unwrap_or_default();
        text.push('\n');
        text
    }
}

/// Reads the lines of a file; what is read, and how many bytes of it are whole.
///
/// # Errors
/// The number of a line, from 1, that is none of an experiment's, other than a last one that was cut off.
pub fn read(text: &str) -> Result<(Vec<Found>, usize), (usize, String)> {
    let (mut found, mut whole) = (Vec::new(), 0);
    for (number, line) in text.split_inclusive('\n').enumerate() {
        match serde_json::from_str(line) {
            Ok(run) if line.ends_with('\n') => found.push(run),
            Err(e) if line.ends_with('\n') => return Err((number + 1, e.to_string())),
            // It was cut off.
            _ => break,
        }
        whole += line.len();
    }
    Ok((found, whole))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::matrix::{NO_OPERATOR, Setting};

    #[test]
    fn results_are_read_back_up_to_where_they_were_cut_off() {
        let setting = Setting {
            scenario: "calm".into(),
            nodes: None,
            load_per_mille: 1_000,
            operator: NO_OPERATOR.into(),
        };
        let run = |seed| {
            let cell = Cell { setting: setting.clone(), seed };
            Found::of(cell, Build::A, Err(RunError::Interrupted), 0.5)
        };
        let text = format!("{}{}", run(1).line(), run(2).line());
        let first = run(1).line().len();
        for cut in 0..=text.len() {
            let (found, whole) = read(&text[..cut]).unwrap();
            let expected = usize::from(cut >= first) + usize::from(cut == text.len());
            assert_eq!((found.len(), whole), (expected, [0, first, text.len()][expected]), "cut at {cut}");
        }
        assert_eq!(read(&text).unwrap().0, [run(1), run(2)]);
        assert_eq!(read(&format!("{}nonsense\n", run(1).line())).unwrap_err().0, 2);
    }
}
