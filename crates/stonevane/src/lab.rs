//! `stonevane lab`: runs scenarios and experiments, and audits histories.

mod experiment;
mod print;
mod run;

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use stonevane_audit::{HistoryError, audit};
use stonevane_lab::{BuiltInScenario, SCENARIOS, Scenario};

use crate::error::{CommandError, require};

/// Subcommands of `stonevane lab`.
#[derive(Subcommand)]
pub enum Lab {
    /// List the built-in scenarios, one per line, the name first.
    List,
    /// Run a scenario, audit its history, and print its figures, its expectations and the verdict of the
    /// audit.
    Run(run::Run),
    /// Run all combinations of the scenarios, seeds, loads and operator files in an experiment file, with one
    /// build of the daemon or with two to compare.
    Experiment(experiment::Experiment),
    /// Print the report of an experiment and write it to report.html in its folder.
    #[command(after_help = "Example: stonevane lab report baseline")]
    Report {
        /// Folder with the experiment's results.
        folder: PathBuf,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Audit a recorded history: check it against the rules for nodes, for example that each request gets
    /// exactly one final answer, in time.
    #[command(after_help = "Example: stonevane lab audit run.jsonl")]
    Audit {
        /// History file (JSON lines).
        history: PathBuf,
        /// Print the verdict as JSON.
        #[arg(long)]
        json: bool,
    },
}

impl Lab {
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Lab::List => {
                list();
                Ok(())
            }
            Lab::Run(run) => run.run(),
            Lab::Experiment(experiment) => experiment.run(),
            Lab::Report { folder, json } => experiment::report(&folder, json),
            Lab::Audit { history, json } => audit_file(&history, json),
        }
    }
}

fn list() {
    for BuiltInScenario { name, text } in SCENARIOS {
        let about = Scenario::parse(text).map(|scenario| scenario.about).unwrap_or_default();
        outln!("{name:<14} {about}");
    }
}

fn audit_file(history: &Path, json: bool) -> Result<(), CommandError> {
    let file = File::open(history).map_err(HistoryError::Io);
    let report = file.and_then(|file| audit(BufReader::new(file)));
    let report = report.map_err(|error| CommandError::unusable_file(history, error))?;
    if json {
        outln!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        outln!("{report}");
    }
    require(report.holds())
}
