//! `stonevane lab run`: runs one scenario and checks its outcome.

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

/// Index, from 0, of the node that a faulty member replaces.
const FAULTY_MEMBER: usize = 1;

/// Arguments of `stonevane lab run`.
#[derive(Args)]
#[command(after_help = "Examples:
  stonevane lab run calm
  stonevane lab run kill-cache --seed 7 --nodes 4 --history run.jsonl --chart run.svg
  stonevane lab run my-scenario.toml --json -

Exit codes: 0 the rules and all expectations hold, 1 one is broken, 2 the scenario can't be used, 3 the run could not
be completed.")]
pub struct Run {
    /// Name of a built-in scenario (see `lab list`), or a scenario file (TOML).
    scenario: String,
    /// Seed of all random choices [default: the scenario's].
    #[arg(long)]
    seed: Option<u64>,
    /// Number of nodes [default: the scenario's].
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=400))]
    nodes: Option<u64>,
    /// Factor on the scenario's request rate, for example 1.5.
    #[arg(long, value_name = "TIMES")]
    load: Option<f64>,
    /// Run the scenario's short form: the same events with all times scaled down, checked against the audit's
    /// rules and the expectations for the short form.
    #[arg(long)]
    short: bool,
    /// Operator file for all nodes.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Write the figures and the verdict to a JSON file; `-` writes them to standard output.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Record the history to this file (JSON lines).
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Write an SVG chart of goodput, refusals, origin load and the coldest server's load over time.
    #[arg(long, value_name = "FILE.svg")]
    chart: Option<PathBuf>,
    /// Path of the daemon's program [default: stonevane-node in the folder of this program].
    #[arg(long, value_name = "FILE")]
    node_program: Option<PathBuf>,
    /// Replace the nodes by stub nodes with this fault, to test whether the auditor detects it (`honest`:
    /// stub nodes without a fault; an unknown name prints the list).
    #[arg(long, value_name = "CRIME", value_parser = node_fault)]
    crooked: Option<NodeFault>,
    /// Control run: disable membership among the nodes, even if the scenario enables it.
    #[arg(long)]
    without_fleet: bool,
    /// Control run: disable the startup limit, which limits the first attempts of nodes that start together.
    #[arg(long)]
    without_ramp: bool,
    /// Replace one node by a member with this mutant (a deliberate fault of the membership machine), to test
    /// whether the auditor detects it; `fleet simulate --mutants` lists the mutants.
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

    /// Returns the scenario, with a faulty member if the arguments name one.
    fn scenario(&self) -> Result<Scenario, CommandError> {
        let text = self.scenario_text()?;
        let mut scenario = Scenario::parse(&text)
            .map_err(|errors| CommandError::Config { file: self.scenario.clone(), errors })?;
        if let Some(mutant) = self.crooked_member {
            let Some(spec) = &mut scenario.membership else {
                let cause =
                    format!("`{}` has no [membership] section, which --crooked-member needs", self.scenario);
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

    /// Prints the outcome and writes the requested files.
    fn output(&self, outcome: &Outcome) -> std::io::Result<()> {
        let json = || serde_json::to_string_pretty(outcome).unwrap_or_default();
        match self.json.as_deref() {
            Some(file) if file == Path::new("-") => outln!("{}", json()),
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
