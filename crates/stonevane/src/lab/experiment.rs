//! `stonevane lab experiment` and `stonevane lab report`: run a matrix of runs and report its results.

use std::path::{Path, PathBuf};

use clap::Args;
use stonevane_experiment::runner::ExperimentError;
use stonevane_experiment::{matrix, report, runner};

use crate::error::{CommandError, read_file, write_file};
use crate::node_program;

/// Arguments of `stonevane lab experiment`.
#[derive(Args)]
#[command(after_help = "Examples:
  stonevane lab experiment baseline.toml
  stonevane lab experiment mend.toml --node-program old/stonevane-node --against target/release/stonevane-node

To resume an interrupted experiment, run the same command again.

Exit codes: 0 all runs are complete (see the report for their results), 2 the file, a build or the folder can't be
used, 3 interrupted.")]
pub struct Experiment {
    /// Experiment file (TOML).
    file: PathBuf,
    /// Folder for the results [default: the experiment's name].
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// Path of the daemon's program [default: stonevane-node in the folder of this program].
    #[arg(long, value_name = "FILE")]
    node_program: Option<PathBuf>,
    /// Path of another build of the daemon, to compare with the first.
    #[arg(long, value_name = "FILE")]
    against: Option<PathBuf>,
}

impl Experiment {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let text = read_file(&self.file)?;
        let matrix = parse(&self.file, &text)?;
        let program = node_program::find(self.node_program.as_deref()).map_err(CommandError::unusable)?;
        let builds =
            runner::Builds::read(&program, self.against.as_deref()).map_err(CommandError::unusable)?;
        let folder = self.out.unwrap_or_else(|| PathBuf::from(&matrix.name));
        let results = runner::run(&matrix, &text, &builds, &folder, &mut |line| errln!("  {line}"));
        let results = results.map_err(|error| match error {
            ExperimentError::Unusable(_) => CommandError::unusable(error),
            ExperimentError::Io { .. } | ExperimentError::Interrupted { .. } => CommandError::not_run(error),
        })?;
        print_report(&matrix, &results, false)
    }
}

/// Parses an experiment. Scenario files are looked up in the experiment's folder, then in the working folder.
fn parse(file: &Path, text: &str) -> Result<matrix::Experiment, CommandError> {
    let folder = file.parent().unwrap_or(Path::new("."));
    let find = |name: &str| {
        // A results folder holds a copy of each scenario.
        std::fs::read_to_string(runner::scenario_path(folder, name))
            .or_else(|_| std::fs::read_to_string(folder.join(name)))
            .or_else(|_| std::fs::read_to_string(name))
    };
    matrix::Experiment::parse(text, &find)
        .map_err(|errors| CommandError::Config { file: file.display().to_string(), errors })
}

/// Prints the report of a results folder.
pub(super) fn report(folder: &Path, json: bool) -> Result<(), CommandError> {
    let text = runner::experiment_text(folder).map_err(CommandError::unusable)?;
    let results = runner::Folder::read(folder).map_err(CommandError::unusable)?;
    let matrix = parse(&folder.join("experiment.toml"), &text)?;
    print_report(&matrix, &results, json)
}

/// Prints the report and writes it as an HTML page into the results folder.
fn print_report(
    matrix: &matrix::Experiment,
    results: &runner::Folder,
    json: bool,
) -> Result<(), CommandError> {
    let report = report::report(matrix, results);
    if json {
        outln!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        outln!("{report}");
    }
    let page = results.path.join("report.html");
    write_file(&page, report::html(&report, results))?;
    errln!("report page: {}", page.display());
    Ok(())
}
