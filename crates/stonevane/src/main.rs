//! `stonevane`: the command line beside the daemon.

/// Prints a line; nobody who closes its end is a reason to stop.
macro_rules! say {
    ($($part:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($part)*);
    }};
}

/// The same on standard error.
macro_rules! warn {
    ($($part:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}

mod bench;
mod demo;
mod fleet;
mod lab;
mod node;
mod scale;
mod sim;
mod standin;
mod store;
mod top;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use stonevane_config::operator::Operator;
use tracing_subscriber::EnvFilter;

/// The command line beside the daemon: check configuration, run the lab, audit histories, run stand-ins.
#[derive(Parser)]
#[command(
    name = "stonevane",
    version,
    after_help = "Examples:
  stonevane demo                                       a whole fleet to speak to, with the commands to try
  stonevane config check deploy/operator.toml          what is wrong with an operator file
  stonevane lab list                                   the scenarios that come along
  stonevane lab run kill-cache --chart run.svg         a fleet with faults, and the verdict on the four rules
  stonevane lab audit run.jsonl                        the verdict on a kept history
  stonevane sim run --seeds 1..2000                    thousands of simulated fleets, each with its own faults
  stonevane scale run --nodes 16,64,300                what a node costs in fleets of hollow nodes
  stonevane store import zones.db zones.csv            zones into a store of record
  stonevane stand-in cache --listen 127.0.0.1:7001     one stand-in by hand

Exit codes: 0 all holds, 1 a rule or an expectation is broken, 2 the input can't be used, 3 it could not be run."
)]
struct Cli {
    /// Logs of the lab and its stand-ins on standard error: a level, or levels by package
    /// (`info`, `warn,stonevane_emulators=debug`).
    #[arg(long, global = true, value_name = "LEVELS", value_parser = levels)]
    log: Option<EnvFilter>,
    /// Logs as JSON lines.
    #[arg(long, global = true, requires = "log")]
    log_json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Configuration, without a node.
    #[command(subcommand)]
    Config(Config),
    /// The lab: real nodes between stand-ins, faults by script, the auditor's verdict.
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Simulated fleets of the node's very core, with faults drawn from seeds: searches for broken rules.
    #[command(subcommand)]
    Sim(sim::Sim),
    /// Membership among the nodes: simulated fleets, and what running nodes tell of it.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Fleets of many thousands of nodes: what each role costs at several sizes.
    #[command(subcommand)]
    Scale(scale::Scale),
    /// Runs one stand-in by hand, until it is interrupted.
    #[command(subcommand)]
    StandIn(standin::StandIn),
    /// The store of record: make, check, import, export, torture.
    #[command(subcommand)]
    Store(store::Store),
    /// Builds and serves a demo fleet: nodes, caches, origin and discovery, to be spoken to.
    Demo(demo::Demo),
    /// Measures the lab itself: the node and a bare relay in its place, side by side.
    #[command(subcommand)]
    Bench(bench::Bench),
}

#[derive(Subcommand)]
enum Config {
    /// Checks an operator file, and lists all that is wrong with it.
    #[command(after_help = "Example: stonevane config check deploy/operator.toml")]
    Check {
        /// The file.
        file: PathBuf,
    },
}

/// Exit code: a rule or an expectation is broken.
const BROKEN: u8 = 1;
/// Exit code: the input can't be used.
const UNUSABLE: u8 = 2;
/// Exit code: it could not be run to its end.
const NOT_RUN: u8 = 3;

/// The exit code of a command that says whether all holds, or why it could not.
fn ended(done: Result<bool, (String, u8)>) -> ExitCode {
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err((what, code)) => {
            warn!("stonevane: {what}");
            ExitCode::from(code)
        }
    }
}

/// Reads a file, or says in one line why it can't be.
fn read(file: &std::path::Path) -> Result<String, ExitCode> {
    std::fs::read_to_string(file).map_err(|e| {
        warn!("stonevane: {}: {e}", file.display());
        ExitCode::from(UNUSABLE)
    })
}

/// Says what is wrong with a file, a line for each fault.
fn faults(file: &str, faults: &[stonevane_config::ConfigError]) -> ExitCode {
    faults.iter().for_each(|fault| warn!("stonevane: {file}: {fault}"));
    ExitCode::from(UNUSABLE)
}

fn check(file: &std::path::Path) -> ExitCode {
    let text = match read(file) {
        Ok(text) => text,
        Err(code) => return code,
    };
    match Operator::parse(&text) {
        Ok(_) => {
            say!("{}: good", file.display());
            ExitCode::SUCCESS
        }
        Err(wrong) => faults(&file.display().to_string(), &wrong),
    }
}

fn levels(text: &str) -> Result<EnvFilter, String> {
    text.parse().map_err(|e| format!("{e}"))
}

/// Sends logs to standard error, where they are asked for.
fn log(levels: Option<EnvFilter>, json: bool) {
    let Some(levels) = levels else { return };
    let made =
        tracing_subscriber::fmt().with_env_filter(levels).with_writer(std::io::stderr).with_ansi(false);
    if json { made.json().init() } else { made.init() }
}

/// What clap says is wrong with the arguments, in one line.
fn in_one_line(error: &clap::Error) -> String {
    let text = error.render().to_string();
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let told: Vec<&str> =
        lines.take_while(|line| !line.starts_with("Usage:") && !line.starts_with("For more")).collect();
    let line = told.join(" ");
    line.strip_prefix("error: ").unwrap_or(&line).to_owned()
}

/// Reads the command line; help goes out whole, what is wrong in one line.
fn arguments() -> Result<Cli, ExitCode> {
    use clap::error::ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand as NoCommand;
    Cli::try_parse().map_err(|error| {
        if !error.use_stderr() || error.kind() == NoCommand {
            error.exit();
        }
        warn!("stonevane: {}", in_one_line(&error));
        ExitCode::from(UNUSABLE)
    })
}

fn main() -> ExitCode {
    let cli = match arguments() {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    log(cli.log, cli.log_json);
    match cli.command {
        Command::Config(Config::Check { file }) => check(&file),
        Command::Lab(lab) => lab.run(),
        Command::Sim(sim) => sim.run(),
        Command::Fleet(fleet) => fleet.run(),
        Command::Scale(scale) => scale.run(),
        Command::StandIn(standin) => standin.run(),
        Command::Store(store) => store.run(),
        Command::Demo(demo) => demo.run(),
        Command::Bench(bench) => bench.run(),
    }
}
