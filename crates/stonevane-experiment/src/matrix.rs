//! The experiment file, and the matrix of runs that it describes. Does no I/O: the caller passes the texts of
//! files.

mod read;

use std::fmt;
use std::io;

use serde::{Deserialize, Serialize};
use stonevane_config::ConfigError;
use stonevane_lab::Scenario;
use stonevane_lab::scenario::Expectation;

/// Limit on the number of runs of an experiment.
pub const MAX_RUNS: usize = 100_000;
/// Name of the variant that stands for a run without an operator file.
pub const NO_OPERATOR: &str = "default";

/// An experiment, as read from its file.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// Scenarios, in the order of the file.
    pub scenarios: Vec<NamedScenario>,
    /// Digest of the texts of all scenarios. A folder that holds results for one digest is refused for an
    /// experiment with another digest.
    pub digest: String,
    /// Seeds with which each setting is run.
    pub seeds: Vec<u64>,
    /// Fleet sizes, in nodes; `None` for the size in the scenario.
    pub nodes: Vec<Option<usize>>,
    /// Loads, as multiples of the scenario's request rate.
    pub loads: Vec<f64>,
    /// Whether the short forms of the scenarios are run, see [`Scenario::shortened`].
    pub short: bool,
    /// Operator files; the single variant [`NO_OPERATOR`] if the experiment names none.
    pub operators: Vec<OperatorVariant>,
    /// Search for the load at which expectations begin to fail, in place of `loads`.
    pub search: Option<Search>,
}

/// A scenario of an experiment.
#[derive(Debug, Clone)]
pub struct NamedScenario {
    /// Name of a built-in scenario or path of a file, as given in the experiment file.
    pub name: String,
    /// The parsed scenario.
    pub scenario: Scenario,
    /// Text of the scenario file; `None` for a built-in scenario.
    pub file_text: Option<String>,
}

/// An operator file of an experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorVariant {
    /// Name by which [`Setting::operator`] refers to the file.
    pub name: String,
    /// Text of the operator file; empty for a run without one.
    pub text: String,
}

/// A search for the greatest load at which a fleet meets its expectations.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// Expectations that must hold besides the rules; if empty, those of the scenario.
    pub expects: Vec<Expectation>,
    /// Lower bound of the load, as a multiple of the scenario's request rate.
    pub least: f64,
    /// Upper bound of the load, in the same unit.
    pub most: f64,
    /// Precision of the result, in the same unit.
    pub within: f64,
}

/// Parameters of a run except the seed and the build.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Setting {
    /// Name of the scenario, as in the experiment file.
    pub scenario: String,
    /// Fleet size, in nodes; `None` for the size in the scenario.
    pub nodes: Option<usize>,
    /// Load in thousandths of the scenario's request rate.
    pub load_per_mille: u64,
    /// Name of the operator file; [`NO_OPERATOR`] for none.
    pub operator: String,
}

/// Load of a setting that runs at the scenario's request rate.
pub(crate) const UNIT_LOAD_PER_MILLE: u64 = 1_000;

impl Setting {
    /// Load as a multiple of the scenario's request rate.
    pub fn load(&self) -> f64 {
        self.load_per_mille as f64 / UNIT_LOAD_PER_MILLE as f64
    }

    /// Returns the setting with another load, a multiple of the scenario's request rate.
    pub fn with_load(&self, load: f64) -> Setting {
        Setting { load_per_mille: per_mille(load), ..self.clone() }
    }
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.scenario)?;
        if let Some(nodes) = self.nodes {
            write!(f, ", {nodes} nodes")?;
        }
        if self.load_per_mille != UNIT_LOAD_PER_MILLE {
            write!(f, ", load {:.3}", self.load())?;
        }
        if self.operator == NO_OPERATOR { Ok(()) } else { write!(f, ", {}", self.operator) }
    }
}

/// A setting and a seed. The runs of two builds are paired by cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Setting of the runs.
    pub setting: Setting,
    /// Seed of the runs.
    pub seed: u64,
}

/// Converts a load to thousandths, rounded to the nearest.
pub fn per_mille(load: f64) -> u64 {
    (load * UNIT_LOAD_PER_MILLE as f64).round() as u64
}

impl Experiment {
    /// Parses an experiment file; `find` returns the text of a scenario file by its name.
    ///
    /// # Errors
    /// All errors in the file, in the order of the text.
    pub fn parse(
        text: &str,
        find: &dyn Fn(&str) -> io::Result<String>,
    ) -> Result<Experiment, Vec<ConfigError>> {
        read::experiment(text, find)
    }

    /// All settings, in the order of the file. The settings of a search have load 1, the scenario's request
    /// rate.
    pub fn settings(&self) -> Vec<Setting> {
        let loads: &[f64] = if self.search.is_some() { &[1.0] } else { &self.loads };
        let mut settings = Vec::new();
        for scenario in &self.scenarios {
            for nodes in &self.nodes {
                for load in loads {
                    settings.extend(self.operators.iter().map(|operator| Setting {
                        scenario: scenario.name.clone(),
                        nodes: *nodes,
                        load_per_mille: per_mille(*load),
                        operator: operator.name.clone(),
                    }));
                }
            }
        }
        settings
    }

    /// All cells: every setting with the first seed, then every setting with the second, and so on, so that
    /// an interrupted experiment has results for every setting.
    pub fn cells(&self) -> Vec<Cell> {
        let settings = self.settings();
        let mut cells = Vec::new();
        for seed in &self.seeds {
            cells.extend(settings.iter().map(|setting| Cell { setting: setting.clone(), seed: *seed }));
        }
        cells
    }

    /// Returns a scenario by its name in the experiment file.
    pub fn scenario(&self, name: &str) -> Option<&Scenario> {
        self.scenarios.iter().find(|scenario| scenario.name == name).map(|scenario| &scenario.scenario)
    }

    /// Whether a scenario was read from a file, rather than built in.
    pub fn is_file(&self, scenario: &str) -> bool {
        self.scenarios.iter().any(|named| named.name == scenario && named.file_text.is_some())
    }

    /// Whether a variant has an operator file.
    pub fn has_operator_file(&self, variant: &str) -> bool {
        self.operators.iter().any(|operator| operator.name == variant && !operator.text.is_empty())
    }
}

#[cfg(test)]
mod tests;
