//! `stonevane lab`.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use stonevane_audit::{HistoryError, Report, audit};
use stonevane_lab::{Crime, Kind, Options, Outcome, Program, RunError, SCENARIOS, Scenario, chart, run};

use crate::{BROKEN, NOT_RUN, UNUSABLE, faults, node, read};

/// The lab's commands.
#[derive(Subcommand)]
pub enum Lab {
    /// Lists the scenarios that come along, one a line, the name first.
    List,
    /// Plays a scenario, and tells its figures and the verdict on the four rules.
    Run(Run),
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
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=64))]
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
    #[arg(long, value_name = "CRIME", value_parser = crime)]
    crooked: Option<Crime>,
}

fn crime(name: &str) -> Result<Crime, String> {
    let names: Vec<_> = Crime::NAMES.iter().map(|(known, _)| *known).collect();
    let found = Crime::NAMES.iter().find(|(known, _)| *known == name);
    found.map(|(_, crime)| *crime).ok_or_else(|| format!("one of {}", names.join(", ")))
}

impl Lab {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        match self {
            Lab::List => {
                for (name, text) in SCENARIOS {
                    let about = Scenario::parse(text).map(|s| s.about).unwrap_or_default();
                    say!("{name:<14} {about}");
                }
                ExitCode::SUCCESS
            }
            Lab::Run(run) => run.run(),
            Lab::Audit { history, json } => audited(&history, json),
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
        let named = SCENARIOS.iter().find(|(name, _)| *name == self.scenario);
        let text = match named {
            Some((_, text)) => (*text).to_owned(),
            None if !Path::new(&self.scenario).exists() => {
                let names: Vec<_> = SCENARIOS.iter().map(|(name, _)| *name).collect();
                let hint = stonevane_config::suggest(&self.scenario, &names);
                warn!("stonevane: there is no scenario or file `{}`{hint}", self.scenario);
                return ExitCode::from(UNUSABLE);
            }
            None => match read(Path::new(&self.scenario)) {
                Ok(text) => text,
                Err(code) => return code,
            },
        };
        let scenario = match Scenario::parse(&text) {
            Ok(scenario) => scenario,
            Err(wrong) => return faults(&self.scenario, &wrong),
        };
        let kind = match self.crooked {
            Some(crime) => Kind::Little(crime),
            None => match node::program(self.node_program.as_deref()) {
                Ok(path) => Kind::Process(Program { path, operator: self.operator.clone() }),
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
    say!("");
    for expect in &outcome.expects {
        let found = expect.found.map_or("nothing to measure".into(), |found| format!("{found:.4}"));
        say!("{} {:<28} found {found}", if expect.holds { "holds " } else { "BROKEN" }, expect.line);
    }
    say!("{}", outcome.report);
}
