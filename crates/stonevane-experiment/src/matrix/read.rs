//! Parser of the experiment file.

use std::io;

use stonevane_config::operator::Operator;
use stonevane_config::{ConfigError, Document, Table, suggest};
use stonevane_lab::scenario::Expectation;
use stonevane_lab::{BuiltInScenario, Scenario};
use stonevane_server_model::value::digest;

use super::{Experiment, MAX_RUNS, NO_OPERATOR, NamedScenario, OperatorVariant, Search};

/// Returns the text of a scenario file by its name.
type Find<'a> = &'a dyn Fn(&str) -> io::Result<String>;

/// An error in a scenario of an experiment.
#[derive(Debug, thiserror::Error)]
enum ScenarioError {
    #[error("there is no scenario `{name}` ({cause}){}", suggest(name, &BuiltInScenario::names()))]
    NotFound { name: String, cause: io::Error },
    #[error("`{name}` can't be used: {first}")]
    Unusable {
        name: String,
        /// First error in the scenario file.
        first: String,
    },
}

pub(super) fn experiment(text: &str, find: Find<'_>) -> Result<Experiment, Vec<ConfigError>> {
    let document = Document::parse(text);
    let root = document.root();
    let name = root.required("name");
    let (scenarios, digest) = read_scenarios(&root, find);
    let seed_count = root.integer("seeds", 5, 1..=10_000);
    let first_seed = root.integer("first_seed", 1, 0..=u64::MAX >> 2);
    let nodes = root.numbers("nodes", 1.0..=64.0).into_iter().map(|nodes| Some(nodes as usize)).collect();
    let nodes = non_empty(&root, "nodes", nodes, None);
    let loads = non_empty(&root, "loads", root.numbers("loads", 0.01..=100.0), 1.0);
    let short = root.flag("short", false);
    let mut operators: Vec<_> = root.tables("operator").into_iter().map(read_operator).collect();
    if operators.is_empty() {
        operators.push(OperatorVariant { name: NO_OPERATOR.into(), text: String::new() });
    }
    let search = root.table("search").map(read_search);
    if search.is_some() && root.has("loads") {
        root.error(
            root.span_of("loads"),
            "`loads` can't be combined with [search], which determines the loads",
        );
    }
    let seeds = (first_seed..first_seed + seed_count).collect();
    let experiment = Experiment { name, scenarios, digest, seeds, nodes, loads, short, operators, search };
    let runs = experiment.settings().len().saturating_mul(experiment.seeds.len());
    if runs > MAX_RUNS {
        root.error(root.span(), format!("the experiment has {runs} runs; at most {MAX_RUNS} are accepted"));
    }
    root.finish();
    let errors = document.errors();
    if errors.is_empty() { Ok(experiment) } else { Err(errors) }
}

/// Returns the list, or `[default]` if the key is missing; an empty list is reported as an error.
fn non_empty<T>(root: &Table<'_, '_>, key: &str, mut list: Vec<T>, default: T) -> Vec<T> {
    if list.is_empty() {
        if root.has(key) {
            root.error(root.span_of(key), format!("an empty matrix: `{key}` has no values"));
        }
        list.push(default);
    }
    list
}

/// Reads the scenarios, and returns them with a digest of their texts.
fn read_scenarios(root: &Table<'_, '_>, find: Find<'_>) -> (Vec<NamedScenario>, String) {
    let (mut scenarios, mut texts) = (Vec::new(), String::new());
    let names = root.texts("scenarios");
    if names.is_empty() {
        root.error(root.span_of("scenarios"), "an empty matrix: `scenarios` has no values");
    }
    for (name, span) in names {
        match read_scenario(&name, find) {
            Ok((scenario, text)) => {
                texts.push_str(&text);
                let file_text = BuiltInScenario::find(&name).is_none().then_some(text);
                scenarios.push(NamedScenario { name, scenario, file_text });
            }
            Err(error) => root.error(span, error.to_string()),
        }
    }
    (scenarios, digest(texts.as_bytes()))
}

/// Reads a scenario, and returns it with its text.
fn read_scenario(name: &str, find: Find<'_>) -> Result<(Scenario, String), ScenarioError> {
    let text = match BuiltInScenario::find(name) {
        Some(built_in) => built_in.text.to_owned(),
        None => find(name).map_err(|cause| ScenarioError::NotFound { name: name.to_owned(), cause })?,
    };
    match Scenario::parse(&text) {
        Ok(scenario) => Ok((scenario, text)),
        Err(errors) => {
            let first = errors.first().map(ToString::to_string).unwrap_or_default();
            Err(ScenarioError::Unusable { name: name.to_owned(), first })
        }
    }
}

fn read_operator(table: Table<'_, '_>) -> OperatorVariant {
    let name = table.required("name");
    let text = table.text("text").unwrap_or_default();
    if !text.is_empty()
        && let Err(errors) = Operator::parse(&text)
    {
        for error in errors {
            table.error(table.span_of("text"), format!("the operator file `{name}`: {error}"));
        }
    }
    table.finish();
    OperatorVariant { name, text }
}

fn read_search(table: Table<'_, '_>) -> Search {
    let mut expects = Vec::new();
    for (line, span) in table.texts("expect") {
        match Expectation::parse(&line) {
            Ok(expectation) => expects.push(expectation),
            Err(error) => table.error(span, error.to_string()),
        }
    }
    let least = table.number("least", 0.25, 0.01..=100.0);
    let most = table.number("most", 4.0, 0.01..=100.0);
    let within = table.number("within", 0.1, 0.001..=10.0);
    if least >= most {
        table.error(table.span_of("least"), "`least` must be less than `most`");
    }
    table.finish();
    Search { expects, least, most, within }
}
