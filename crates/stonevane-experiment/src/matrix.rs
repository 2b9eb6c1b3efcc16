//! The experiment file: which runs there are. Pure: it reads no file but through the caller.

mod read;

use std::fmt;
use std::io;

use serde::{Deserialize, Serialize};
use stonevane_config::ConfigError;
use stonevane_lab::Scenario;
use stonevane_lab::scenario::Expectation;

/// Runs of one experiment, at most.
pub const MAX_RUNS: usize = 100_000;
/// The name of the variant without an operator file.
pub const NO_OPERATOR: &str = "default";

/// An experiment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Its scenarios.
    pub scenarios: Vec<NamedScenario>,
    /// A digest of all their texts: results of others are not mixed with these.
    pub digest: String,
    /// The seeds that each is played with.
    pub seeds: Vec<u64>,
    /// Fleet sizes; `None` as the scenario has it.
    pub nodes: Vec<Option<usize>>,
    /// Multiples of the scenario's rate.
    pub loads: Vec<f64>,
    /// Whether the short forms are played.
    pub short: bool,
    /// Operator files.
    pub operators: Vec<OperatorVariant>,
    /// Raises the load until an expectation breaks, in place of `loads`.
    pub search: Option<Search>,
}

/// A scenario of an experiment.
#[derive(Debug, Clone)]
pub struct NamedScenario {
    /// Its name or file, as the experiment gives it.
    pub name: String,
    /// The scenario.
    pub scenario: Scenario,
    /// The text of one that is a file.
    pub file_text: Option<String>,
}

/// An operator file of an experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorVariant {
    /// Its name.
    pub name: String,
    /// Its text; empty for none.
    pub text: String,
}

/// A search for the load that a fleet bears.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// What must hold, besides the rules; empty: what the scenario expects.
    pub expects: Vec<Expectation>,
    /// The least load, as a multiple of the scenario's rate.
    pub least: f64,
    /// The most.
    pub most: f64,
    /// How close the answer is to be.
    pub within: f64,
}

/// What is the same for all runs of one setting.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Setting {
    /// The scenario, as the experiment names it.
    pub scenario: String,
    /// The number of nodes; `None` as the scenario has it.
    pub nodes: Option<usize>,
    /// Thousandths of the scenario's rate.
    pub load_per_mille: u64,
    /// The operator file's name.
    pub operator: String,
}

/// The load of a setting that leaves the scenario's rate as it is.
pub(crate) const FULL_LOAD: u64 = 1_000;

impl Setting {
    /// The load as a multiple of the scenario's rate.
    pub fn load(&self) -> f64 {
        self.load_per_mille as f64 / FULL_LOAD as f64
    }

    /// The same setting with another load.
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
        if self.load_per_mille != FULL_LOAD {
            write!(f, ", load {:.3}", self.load())?;
        }
        if self.operator == NO_OPERATOR { Ok(()) } else { write!(f, ", {}", self.operator) }
    }
}

/// A setting and a seed: what the builds are paired by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The setting.
    pub setting: Setting,
    /// The seed.
    pub seed: u64,
}

/// A load in thousandths.
pub fn per_mille(load: f64) -> u64 {
    (load * FULL_LOAD as f64).round() as u64
}

impl Experiment {
    /// Reads an experiment; `find` gives the text of a scenario's file.
    ///
    /// # Errors
    /// All that is wrong with it, in the order of the text.
    pub fn parse(
        text: &str,
        find: &dyn Fn(&str) -> io::Result<String>,
    ) -> Result<Experiment, Vec<ConfigError>> {
        read::experiment(text, find)
    }

    /// All settings, in the order of the file; those of a search at the scenario's rate.
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

    /// All cells: seed by seed, so that an interrupted experiment has some of each setting.
    pub fn cells(&self) -> Vec<Cell> {
        let settings = self.settings();
        let mut cells = Vec::new();
        for seed in &self.seeds {
            cells.extend(settings.iter().map(|setting| Cell { setting: setting.clone(), seed: *seed }));
        }
        cells
    }

    /// A scenario by the name that the experiment gives it.
    pub fn scenario(&self, name: &str) -> Option<&Scenario> {
        self.scenarios.iter().find(|scenario| scenario.name == name).map(|scenario| &scenario.scenario)
    }

    /// Whether a scenario is a file.
    pub fn is_file(&self, scenario: &str) -> bool {
        self.scenarios.iter().any(|known| known.name == scenario && known.file_text.is_some())
    }

    /// Whether a variant has an operator file.
    pub fn has_operator_file(&self, variant: &str) -> bool {
        self.operators.iter().any(|operator| operator.name == variant && !operator.text.is_empty())
    }
}

#[cfg(test)]
mod tests;
