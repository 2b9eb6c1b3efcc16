//! `stonevane lab`.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use stonevane_audit::{HistoryError, Report, audit};
use stonevane_experiment::{matrix, report, runner};
use stonevane_lab::{
    BuiltInScenario, NodeFault, NodeKind, Options, Outcome, Program, RunError, SCENARIOS, Scenario, chart,
    run,
};

use stonevane_lab::scenario::FaultyMemberSpec;

use crate::{BROKEN, NOT_RUN, UNUSABLE, faults, node, read};

/// The lab's commands.
#[derive(Subcommand)]
pub enum Lab {
    /// Lists the scenarios that come along, one a line, the name first.
    List,
    /// Plays a scenario, and tells its figures and the verdict on the four rules.
    Run(Run),
    /// Plays a matrix of runs, of one build or of two side by side.
    Experiment(Experiment),
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
    crooked_member: Option<stonevane_membership::Mutant>,
}

fn node_fault(name: &str) -> Result<NodeFault, String> {
    NodeFault::from_name(name).ok_or_else(|| {
        let names: Vec<_> = NodeFault::ALL.iter().map(|fault| fault.name()).collect();
        format!("one of {}", names.join(", "))
    })
}

impl Lab {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        match self {
            Lab::List => {
                for BuiltInScenario { name, text } in SCENARIOS {
                    let about = Scenario::parse(text).map(|scenario| scenario.about).unwrap_or_default();
                    say!("{name:<14} {about}");
                }
                ExitCode::SUCCESS
            }
            Lab::Run(run) => run.run(),
            Lab::Experiment(experiment) => experiment.run(),
            Lab::Report { folder, json } => reported(&folder, json),
            Lab::Audit { history, json } => audited(&history, json),
        }
    }
}

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

/// Reads an experiment; scenarios that are files stand beside it, or where it is run.
fn experiment(file: &Path, text: &str) -> Result<matrix::Experiment, ExitCode> {
    let beside = file.parent().unwrap_or(Path::new(".")).to_owned();
    let find = |name: &str| {
        // In an experiment's folder, its own copy.
        let text = std::fs::read_to_string(runner::scenario_path(&beside, name))
            .or_else(|_| std::fs::read_to_string(beside.join(name)))
            .or_else(|_| std::fs::read_to_string(name));
        text.map_err(|e| e.to_string())
    };
    matrix::Experiment::parse(text, &find).map_err(|wrong| faults(&file.display().to_string(), &wrong))
}

fn failed(e: &runner::ExperimentError) -> ExitCode {
    warn!("stonevane: {e}");
    let unusable = matches!(e, runner::ExperimentError::Unusable(_));
    ExitCode::from(if unusable { UNUSABLE } else { NOT_RUN })
}

impl Experiment {
    fn run(self) -> ExitCode {
        let text = match read(&self.file) {
            Ok(text) => text,
            Err(code) => return code,
        };
        let matrix = match experiment(&self.file, &text) {
            Ok(matrix) => matrix,
            Err(code) => return code,
        };
        let builds = node::program(self.node_program.as_deref())
            .and_then(|program| runner::Builds::of(&program, self.against.as_deref()));
        let builds = match builds {
            Ok(builds) => builds,
            Err(e) => {
                warn!("stonevane: {e}");
                return ExitCode::from(UNUSABLE);
            }
        };
        let folder = self.out.clone().unwrap_or_else(|| PathBuf::from(&matrix.name));
        match runner::play(&matrix, &text, &builds, &folder, &mut |line| warn!("  {line}")) {
            Ok(played) => shown(&matrix, &played, false),
            Err(e) => failed(&e),
        }
    }
}

fn reported(folder: &Path, json: bool) -> ExitCode {
    let read = runner::text(folder).and_then(|text| Ok((text, runner::Folder::read(folder)?)));
    match read {
        Ok((text, played)) => match experiment(&folder.join("experiment.toml"), &text) {
            Ok(matrix) => shown(&matrix, &played, json),
            Err(code) => code,
        },
        Err(e) => {
            warn!("stonevane: {e}");
            ExitCode::from(UNUSABLE)
        }
    }
}

/// Prints a report, and writes its page into the folder.
fn shown(matrix: &matrix::Experiment, played: &runner::Folder, json: bool) -> ExitCode {
    let made = report::report(matrix, played);
    if json {
        say!("{}", serde_json::to_string_pretty(&made).unwrap_or_default())
    } else {
        say!("{made}")
    }
    let page = played.path.join("report.html");
    match std::fs::write(&page, report::html(&made, played)) {
        Ok(()) => {
            warn!("the page: {}", page.display());
            ExitCode::SUCCESS
        }
        Err(e) => {
            warn!("stonevane: {}: {e}", page.display());
            ExitCode::from(NOT_RUN)
        }
    }
}

fn audited(history: &Path, json: bool) -> ExitCode {
    let report = File::open(history).map_err(HistoryError::Io).and_then(|file| audit(BufReader::new(file)));
    match report {
        Ok(report) => {
            if json {
                say!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
            } else {
                say!("{report}");
            }
            verdict(&report)
        }
        Err(e) => {
            warn!("stonevane: {}: {e}", history.display());
            ExitCode::from(UNUSABLE)
        }
    }
}

fn verdict(report: &Report) -> ExitCode {
    if report.holds() { ExitCode::SUCCESS } else { ExitCode::from(BROKEN) }
}

impl Run {
    fn run(self) -> ExitCode {
        let named = BuiltInScenario::find(&self.scenario);
        let text = match named {
            Some(scenario) => scenario.text.to_owned(),
            None if !Path::new(&self.scenario).exists() => {
                let hint = stonevane_config::suggest(&self.scenario, &BuiltInScenario::names());
                warn!("stonevane: there is no scenario or file `{}`{hint}", self.scenario);
                return ExitCode::from(UNUSABLE);
            }
            None => match read(Path::new(&self.scenario)) {
                Ok(text) => text,
                Err(code) => return code,
            },
        };
        let mut scenario = match Scenario::parse(&text) {
            Ok(scenario) => scenario,
            Err(wrong) => return faults(&self.scenario, &wrong),
        };
        if let Some(mutant) = self.crooked_member {
            let Some(spec) = &mut scenario.membership else {
                warn!("stonevane: `{}` has no [membership] for a crooked member", self.scenario);
                return ExitCode::from(UNUSABLE);
            };
            spec.faulty_member = Some(FaultyMemberSpec { node: 1, mutant });
        }
        let kind = match self.crooked {
            Some(fault) => NodeKind::Stub(fault),
            None => match node::program(self.node_program.as_deref()) {
                Ok(path) => NodeKind::Process(Program { path, operator: self.operator.clone() }),
                Err(e) => {
                    warn!("stonevane: {e}");
                    return ExitCode::from(NOT_RUN);
                }
            },
        };
        let options = Options {
            seed: self.seed,
            nodes: self.nodes.map(|nodes| nodes as usize),
            load: self.load,
            short: self.short,
            kind,
            without_fleet: self.without_fleet,
            without_ramp: self.without_ramp,
            history: self.history.clone(),
            progress: true,
        };
        let outcome = match run(&scenario, &options) {
            Ok(outcome) => outcome,
            Err(e) => {
                warn!("stonevane: {}: {e}", scenario.name);
                return ExitCode::from(if matches!(e, RunError::History(_)) { UNUSABLE } else { NOT_RUN });
            }
        };
        let to_stdout = self.json.as_deref() == Some(Path::new("-"));
        if !to_stdout {
            print(&outcome);
        }
        let json = serde_json::to_string_pretty(&outcome).unwrap_or_default();
        let mut written = Ok(());
        match &self.json {
            Some(_) if to_stdout => say!("{json}"),
            Some(file) => written = std::fs::write(file, json),
            None => {}
        }
        if let Some(file) = &self.chart {
            written = written.and_then(|()| std::fs::write(file, chart::svg(&outcome)));
        }
        if let Err(e) = written {
            warn!("stonevane: a file could not be written: {e}");
            return ExitCode::from(NOT_RUN);
        }
        if outcome.holds { ExitCode::SUCCESS } else { ExitCode::from(BROKEN) }
    }
}

fn print(outcome: &Outcome) {
    say!("{}, seed {}, load {}", outcome.scenario, outcome.seed, outcome.load);
    say!(
        "\n{:<14} {:>7} {:>7} {:>7} {:>7} {:>9} {:>9} {:>9}",
        "class",
        "asked",
        "served",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "p99.9 ms"
    );
    for (name, class) in &outcome.summary.classes {
        say!(
            "{name:<14} {:>7} {:>7} {:>7} {:>7} {:>9.1} {:>9.1} {:>9.1}",
            class.asked,
            class.served,
            class.refused,
            class.failed,
            class.p50_ms,
            class.p99_ms,
            class.p999_ms
        );
    }
    say!(
        "\n{:<14} {:>8} {:>7} {:>7} {:>11} {:>11} {:>6}",
        "server",
        "attempts",
        "busy",
        "misses",
        "peak load",
        "cold/limit",
        "falls"
    );
    for (name, server) in &outcome.summary.servers {
        say!(
            "{name:<14} {:>8} {:>7} {:>7} {:>11.2} {:>11.2} {:>6}",
            server.attempts,
            server.busy,
            server.misses,
            server.peak,
            server.cold_peak,
            server.falls
        );
    }
    let members = &outcome.report.membership;
    if members.views > 0 {
        let part = |times: &[u64], part| {
            let us = stonevane_audit::MembershipFigures::quantile(times, part);
            us.map_or("-".into(), |us| format!("{:.1}", us as f64 / 1e6))
        };
        say!(
            "\nmembership: {} views, {} deaths; seen by the first after {} s (median), {} s (most), by all after {} s, \
             {} s ({} of them); {} false deaths",
            members.views,
            members.deaths,
            part(&members.first_us, 0.5),
            part(&members.first_us, 1.0),
            part(&members.last_us, 0.5),
            part(&members.last_us, 1.0),
            members.last_us.len(),
            members.false_deaths
        );
    }
    say!("");
    for expect in &outcome.expects {
        let found = expect.found.map_or("nothing to measure".into(), |found| format!("{found:.4}"));
        say!("{} {:<28} found {found}", if expect.holds { "holds " } else { "BROKEN" }, expect.line);
    }
    say!("{}", outcome.report);
}
