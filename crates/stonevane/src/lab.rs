//! `stonevane lab`.

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

/// The lab's commands.
#[derive(Subcommand)]
pub enum Lab {
    /// Lists the scenarios that come along, one a line, the name first.
    List,
    /// Plays a scenario, and tells its figures and the verdict on the four rules.
    Run(run::Run),
    /// Plays a matrix of runs, of one build or of two side by side.
    Experiment(experiment::Experiment),
    /// Makes a page and a table of an experiment's results.
    #[command(after_help = "Example: stonevane lab report baseline")]
    Report {
        /// The experiment's folder.
        folder: PathBuf,
        /// The report as JSON on standard output.
        #[arg(long)]
        json: bool,
    },
    /// Audits a history that was kept.
    #[command(after_help = "Example: stonevane lab audit run.jsonl")]
    Audit {
        /// The history, JSON lines.
        history: PathBuf,
        /// The verdict as JSON on standard output.
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
        say!("{name:<14} {about}");
    }
}

fn audit_file(history: &Path, json: bool) -> Result<(), CommandError> {
    let file = File::open(history).map_err(HistoryError::Io);
    let report = file.and_then(|file| audit(BufReader::new(file)));
    let report = report.map_err(|error| CommandError::unusable_file(history, error))?;
    if json {
        say!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        say!("{report}");
    }
    require(report.holds())
}
