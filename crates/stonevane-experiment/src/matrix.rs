//! The experiment file: which runs there are. Pure: it reads no file but through the caller.

use std::io;

use stonevane_config::operator::Operator;
use stonevane_config::{ConfigError, Document, Table, suggest};
use stonevane_lab::scenario::Expectation;
use stonevane_lab::{BuiltInScenario, Scenario};
use stonevane_server_model::value::digest;

/// Runs of one experiment, at most.
pub const MOST_RUNS: usize = 100_000;

/// An experiment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Its scenarios, by the names or files that the experiment gives.
    pub scenarios: Vec<(String, Scenario)>,
    /// The texts of those that are files.
    pub files: Vec<(String, String)>,
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
    /// Operator files, by name; an empty text stands for none.
    pub operators: Vec<(String, String)>,
    /// Raises the load until an expectation breaks, in place of `loads`.
    pub search: Option<Search>,
}

/// A search for the load that a fleet bears.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// What must hold, besides the rules; empty: what the scenario expects.
    pub expects: Vec<Expectation>,
    /// The least and the most load, as multiples of the scenario's rate.
    pub least: f64,
    /// The most.
    pub most: f64,
    /// How close the answer is to be.
    pub within: f64,
}

/// What is the same for all runs of one setting.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
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

impl std::fmt::Display for Setting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.scenario)?;
        if let Some(nodes) = self.nodes {
            write!(f, ", {nodes} nodes")?;
        }
        if self.load_per_mille != 1_000 {
            write!(f, ", load {:.3}", self.load_per_mille as f64 / 1e3)?;
        }
        if self.operator == NO_OPERATOR { Ok(()) } else { write!(f, ", {}", self.operator) }
    }
}

/// The name of the variant without an operator file.
pub const NO_OPERATOR: &str = "default";

/// A setting and a seed: what the builds are paired by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Cell {
    /// The setting.
    pub setting: Setting,
    /// The seed.
    pub seed: u64,
}

/// A load in thousandths.
pub fn per_mille(load: f64) -> u64 {
    (load * 1e3).round() as u64
}

impl Experiment {
    /// Reads an experiment whole; `find` gives the text of a scenario's file, or says why not.
    ///
    /// # Errors
    /// All that is wrong with it, in the order of the text.
    pub fn parse(
        text: &str,
        find: &dyn Fn(&str) -> io::Result<String>,
    ) -> Result<Experiment, Vec<ConfigError>> {
        let document = Document::parse(text);
        let root = document.root();
        let name = root.required("name");
        let (mut scenarios, mut files, mut texts) = (Vec::new(), Vec::new(), String::new());
        let given = root.texts("scenarios");
        if given.is_empty() {
            root.error(root.place_of("scenarios"), "an empty matrix: `scenarios` names none");
        }
        for (name, place) in given {
            match scenario(&name, find) {
                Ok((scenario, text)) => {
                    texts.push_str(&text);
                    if BuiltInScenario::find(&name).is_none() {
                        files.push((name.clone(), text));
                    }
                    scenarios.push((name, scenario));
                }
                Err(what) => root.error(place, what),
            }
        }
        let count = root.integer("seeds", 5, 1..=10_000);
        let first = root.integer("first_seed", 1, 0..=u64::MAX >> 2);
        let nodes = root.numbers("nodes", 1.0..=64.0).into_iter().map(|n| Some(n as usize));
        let nodes: Vec<_> = nodes.collect();
        let loads = root.numbers("loads", 0.01..=100.0);
        if root.has("nodes") && nodes.is_empty() {
            root.error(root.place_of("nodes"), "an empty matrix: `nodes` has none");
        }
        if root.has("loads") && loads.is_empty() {
            root.error(root.place_of("loads"), "an empty matrix: `loads` has none");
        }
        let short = root.flag("short", false);
        let operators: Vec<_> = root.tables("operator").into_iter().map(operator).collect();
        let search = root.table("search").map(search);
        if search.is_some() && root.has("loads") {
            root.error(root.place_of("loads"), "a search finds the loads itself");
        }
        let experiment = Experiment {
            name,
            scenarios,
            files,
            digest: digest(texts.as_bytes()),
            seeds: (first..first + count).collect(),
            nodes: if nodes.is_empty() { vec![None] } else { nodes },
            loads: if loads.is_empty() { vec![1.0] } else { loads },
            short,
            operators: if operators.is_empty() {
                vec![(NO_OPERATOR.into(), String::new())]
            } else {
                operators
            },
            search,
        };
        if experiment.runs() > MOST_RUNS {
            root.error(root.place(), format!("{} runs; {MOST_RUNS} at the most", experiment.runs()));
        }
        root.finish();
        let faults = document.errors();
        if faults.is_empty() { Ok(experiment) } else { Err(faults) }
    }

    fn runs(&self) -> usize {
        self.settings().len().saturating_mul(self.seeds.len())
    }

    /// All settings, in the order of the file; those of a search at the load 1.
    pub fn settings(&self) -> Vec<Setting> {
        let loads: &[f64] = if self.search.is_some() { &[1.0] } else { &self.loads };
        let mut settings = Vec::new();
        for (scenario, _) in &self.scenarios {
            for nodes in &self.nodes {
                for load in loads {
                    for (operator, _) in &self.operators {
                        let (scenario, operator) = (scenario.clone(), operator.clone());
                        let load_per_mille = per_mille(*load);
                        settings.push(Setting { scenario, nodes: *nodes, load_per_mille, operator });
                    }
                }
            }
        }
        settings
    }

    /// All cells: seed by seed, so that an interrupted experiment has something of each setting.
    pub fn cells(&self) -> Vec<Cell> {
        let settings = self.settings();
        let cells = self.seeds.iter().flat_map(|seed| settings.iter().map(|s| (s.clone(), *seed)));
        cells.map(|(setting, seed)| Cell { setting, seed }).collect()
    }

    /// A scenario by the name that the experiment gives it.
    pub fn scenario(&self, name: &str) -> Option<&Scenario> {
        self.scenarios.iter().find(|(known, _)| known == name).map(|(_, scenario)| scenario)
    }
}

fn scenario(name: &str, find: &dyn Fn(&str) -> io::Result<String>) -> Result<(Scenario, String), String> {
    let known = BuiltInScenario::find(name);
    let text = match known {
        Some(scenario) => scenario.text.to_owned(),
        None => find(name).map_err(|why| {
            format!("there is no scenario `{name}` ({why}){}", suggest(name, &BuiltInScenario::names()))
        })?,
    };
    match Scenario::parse(&text) {
        Ok(scenario) => Ok((scenario, text)),
        Err(faults) => {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            Err(format!("`{name}` can't be used: {first}"))
        }
    }
}

fn operator(table: Table<'_, '_>) -> (String, String) {
    let name = table.required("name");
    let text = table.text("text").unwrap_or_default();
    if !text.is_empty()
        && let Err(faults) = Operator::parse(&text)
    {
        for fault in faults {
            table.error(table.place_of("text"), format!("the operator file `{name}`: {fault}"));
        }
    }
    table.finish();
    (name, text)
}

fn search(table: Table<'_, '_>) -> Search {
    let mut expects = Vec::new();
    for (line, place) in table.texts("expect") {
        match Expectation::parse(&line) {
            Ok(expect) => expects.push(expect),
            Err(error) => table.error(place, error.to_string()),
        }
    }
    let least = table.number("least", 0.25, 0.01..=100.0);
    let most = table.number("most", 4.0, 0.01..=100.0);
    let within = table.number("within", 0.1, 0.001..=10.0);
    if least >= most {
        table.error(table.place_of("least"), "`least` is to be less than `most`");
    }
    table.finish();
    Search { expects, least, most, within }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<Experiment, Vec<String>> {
        let find = |_: &str| Err(io::Error::other("no such file"));
        Experiment::parse(text, &find).map_err(|faults| faults.iter().map(ToString::to_string).collect())
    }

    #[test]
    fn a_matrix_has_a_cell_for_each_setting_and_seed_and_pairs_stand_together() {
        let text = "name = 'm'\nscenarios = ['calm', 'drain']\nseeds = 3\nnodes = [2, 4]\nloads = [1, 1.5]\n\
                    [[operator]]\nname = 'a'\n[[operator]]\nname = 'b'\ntext = '''version = 1\n[servers]\nrest_ms = 5\n'''\n";
        let experiment = parse(text).unwrap();
        let cells = experiment.cells();
        assert_eq!(cells.len(), 2 * 2 * 2 * 2 * 3);
        let mut unique = cells.clone();
        unique.sort();
        unique.dedup();
        assert_eq!(unique.len(), cells.len());
        assert!(cells[..16].iter().all(|cell| cell.seed == 1), "seed by seed");
        let last = &cells[15].setting;
        assert_eq!(last.to_string(), "drain, 4 nodes, load 1.500, b");
    }

    #[test]
    fn every_fault_of_a_bad_experiment_is_told_with_its_place() {
        let faults = parse(
            "scenarios = ['clam']\nsedes = 3\nloads = []\nnodes = [0]\n[[operator]]\nname = 'x'\ntext = 'rest = 1'\n\
             [search]\nleast = 2\nmost = 1\nexpect = ['srved >= 1']\n",
        )
        .unwrap_err();
        let has = |part: &str| assert!(faults.iter().any(|f| f.contains(part)), "{part}: {faults:#?}");
        has("`name` is missing");
        has("line 1, column 14: there is no scenario `clam` (no such file); did you mean `calm`?");
        has("unknown key `sedes` in the file; did you mean `seeds`?");
        has("line 3, column 9: an empty matrix: `loads` has none");
        has("line 4, column 10: `nodes` is to be from 1 to 64");
        has("the operator file `x`: line 1, column 1: unknown key `rest`");
        has("`least` is to be less than `most`");
        has("there is no figure `srved`");
        has("a search finds the loads itself");
        assert!(parse("name = 'e'\nscenarios = []\n").unwrap_err()[0].contains("an empty matrix"));
    }
}
