//! `stonevane lab run`.

use std::path::{Path, PathBuf};

use clap::Args;
use stonevane_lab::scenario::FaultyMemberSpec;
use stonevane_lab::{
    BuiltInScenario, NodeFault, NodeKind, Options, Outcome, Program, RunError, Scenario, chart, run,
};
use stonevane_membership::Mutant;

use super::print::print;
use crate::arguments::ArgumentError;
use crate::error::{CommandError, read_file, require};
use crate::node_program;

/// The node whose place a faulty member takes.
const FAULTY_MEMBER: usize = 1;

/// One run.
#[derive(Args)]
#[command(after_help = "Examples:
  stonevane lab run calm
  stonevane lab run kill-cache --seed 7 --nodes 4 --history run.jsonl --chart run.svg
  stonevane lab run my-scenario.toml --json -

Exit codes: 0 the rules and all expectations hold, 1 they don't, 2 a bad scenario, 3 it could not be run.")]
pub struct Run {
    /// A scenario's name (see `lab list`), or a file.
    scenario: String,
    /// Another seed than the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Another number of nodes.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=400))]
    nodes: Option<u64>,
    /// A multiple of the scenario's rate.
    #[arg(long, value_name = "TIMES")]
    load: Option<f64>,
    /// Plays its short form: the same in a part of the time, held to the rules and to looser figures.
    #[arg(long)]
    short: bool,
    /// An operator file for each node.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Writes the figures and the verdict as JSON; `-` for standard output.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Keeps the history.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Draws goodput, refusals, the origin and the coldest server over time.
    #[arg(long, value_name = "FILE.svg")]
    chart: Option<PathBuf>,
    /// The daemon's program; else the one beside this program.
    #[arg(long, value_name = "FILE")]
    node_program: Option<PathBuf>,
    /// Little nodes that break a rule in the nodes' place, to see them caught.
    #[arg(long, value_name = "CRIME", value_parser = node_fault)]
    crooked: Option<NodeFault>,
    /// Nodes know nothing of one another, whatever the scenario says: the control.
    #[arg(long)]
    without_fleet: bool,
    /// Nodes that start together don't hold back: the control.
    #[arg(long)]
    without_ramp: bool,
    /// A member in a node's place that breaks a rule of membership (`fleet simulate --mutants` lists them), to see it
    /// caught.
    #[arg(long, value_name = "MUTANT", value_parser = crate::fleet::mutant)]
    crooked_member: Option<Mutant>,
}

fn node_fault(name: &str) -> Result<NodeFault, ArgumentError> {
    NodeFault::from_name(name).ok_or_else(|| {
        let names: Vec<_> = NodeFault::ALL.iter().map(|fault| fault.name()).collect();
        ArgumentError::UnknownName { known: names.join(", ") }
    })
}

impl Run {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let scenario = self.scenario()?;
        let outcome = run(&scenario, &self.options()?).map_err(|error| {
            let cause = format!("{}: {error}", scenario.name);
            match error {
                RunError::History(_) => CommandError::Unusable(cause),
                RunError::Io(_) | RunError::Interrupted => CommandError::NotRun(cause),
            }
        })?;
        self.output(&outcome)
            .map_err(|error| CommandError::not_run(format!("a file could not be written: {error}")))?;
        require(outcome.holds)
    }

    /// The scenario that is named, with a faulty member where one is asked for.
    fn scenario(&self) -> Result<Scenario, CommandError> {
        let text = self.scenario_text()?;
        let mut scenario = Scenario::parse(&text)
            .map_err(|errors| CommandError::Config { file: self.scenario.clone(), errors })?;
        if let Some(mutant) = self.crooked_member {
            let Some(spec) = &mut scenario.membership else {
                let cause = format!("`{}` has no [membership] for a crooked member", self.scenario);
                return Err(CommandError::Unusable(cause));
            };
            spec.faulty_member = Some(FaultyMemberSpec { node: FAULTY_MEMBER, mutant });
        }
        Ok(scenario)
    }

    fn scenario_text(&self) -> Result<String, CommandError> {
        if let Some(built_in) = BuiltInScenario::find(&self.scenario) {
            return Ok(built_in.text.to_owned());
        }
        let file = Path::new(&self.scenario);
        if !file.exists() {
            let hint = stonevane_config::suggest(&self.scenario, &BuiltInScenario::names());
            let cause = format!("there is no scenario or file `{}`{hint}", self.scenario);
            return Err(CommandError::Unusable(cause));
        }
        read_file(file)
    }

    fn options(&self) -> Result<Options, CommandError> {
        let kind = if let Some(fault) = self.crooked {
            NodeKind::Stub(fault)
        } else {
            let path = node_program::find(self.node_program.as_deref()).map_err(CommandError::not_run)?;
            NodeKind::Process(Program { path, operator: self.operator.clone() })
        };
        Ok(Options {
            seed: self.seed,
            nodes: self.nodes.map(|nodes| nodes as usize),
            load: self.load,
            short: self.short,
            kind,
            without_fleet: self.without_fleet,
            without_ramp: self.without_ramp,
            history: self.history.clone(),
            progress: true,
        })
    }

    /// Prints the outcome and writes the files that are asked for.
    fn output(&self, outcome: &Outcome) -> std::io::Result<()> {
        let json = || serde_json::to_string_pretty(outcome).unwrap_or_default();
        match self.json.as_deref() {
            Some(file) if file == Path::new("-") => say!("{}", json()),
            Some(file) => {
                print(outcome);
                std::fs::write(file, json())?;
            }
            None => print(outcome),
        }
        match &self.chart {
            Some(file) => std::fs::write(file, chart::svg(outcome)),
            None => Ok(()),
        }
    }
}
