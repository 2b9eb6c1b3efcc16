//! `stonevane lab experiment` and `stonevane lab report`.

use std::path::{Path, PathBuf};

use clap::Args;
use stonevane_experiment::runner::ExperimentError;
use stonevane_experiment::{matrix, report, runner};

use crate::error::{CommandError, read_file, write_file};
use crate::node_program;

/// An experiment.
#[derive(Args)]
#[command(after_help = "Examples:
  stonevane lab experiment baseline.toml
  stonevane lab experiment mend.toml --node-program old/stonevane-node --against target/release/stonevane-node

The same command goes on where an interrupted one stopped. Exit codes: 0 all runs were played (what they showed is
the report's), 2 the file, a build or the folder can't be used, 3 interrupted.")]
pub struct Experiment {
    /// The experiment's file.
    file: PathBuf,
    /// Where results go; else a folder named like the experiment.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// The daemon's program; else the one beside this program.
    #[arg(long, value_name = "FILE")]
    node_program: Option<PathBuf>,
    /// Another build, to be compared with it.
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
        let played = runner::run(&matrix, &text, &builds, &folder, &mut |line| warn!("  {line}"));
        let played = played.map_err(|error| match error {
            ExperimentError::Unusable(_) => CommandError::unusable(error),
            ExperimentError::Io { .. } | ExperimentError::Interrupted { .. } => CommandError::not_run(error),
        })?;
        show(&matrix, &played, false)
    }
}

/// Reads an experiment; scenarios that are files stand beside it, or in the working folder.
fn parse(file: &Path, text: &str) -> Result<matrix::Experiment, CommandError> {
    let beside = file.parent().unwrap_or(Path::new("."));
    let find = |name: &str| {
        // In the folder of an experiment, its own copy.
        std::fs::read_to_string(runner::scenario_path(beside, name))
            .or_else(|_| std::fs::read_to_string(beside.join(name)))
            .or_else(|_| std::fs::read_to_string(name))
    };
    matrix::Experiment::parse(text, &find)
        .map_err(|errors| CommandError::Config { file: file.display().to_string(), errors })
}

/// Makes the report of a folder.
pub(super) fn report(folder: &Path, json: bool) -> Result<(), CommandError> {
    let text = runner::experiment_text(folder).map_err(CommandError::unusable)?;
    let played = runner::Folder::read(folder).map_err(CommandError::unusable)?;
    let matrix = parse(&folder.join("experiment.toml"), &text)?;
    show(&matrix, &played, json)
}

/// Prints a report, and writes its page into the folder.
fn show(matrix: &matrix::Experiment, played: &runner::Folder, json: bool) -> Result<(), CommandError> {
    let report = report::report(matrix, played);
    if json {
        say!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        say!("{report}");
    }
    let page = played.path.join("report.html");
    write_file(&page, report::html(&report, played))?;
    warn!("the page: {}", page.display());
    Ok(())
}
