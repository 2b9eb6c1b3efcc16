//! `stonevane`: the command line beside the daemon.

#[macro_use]
mod output;

mod arguments;
mod bench;
mod check;
mod demo;
mod error;
mod fleet;
mod lab;
mod node_program;
mod parallel;
mod scale;
mod sim;
mod stand_in;
mod store;

use std::process::ExitCode;

use clap::error::ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand;
use clap::{Parser, Subcommand};
use tracing_subscriber::EnvFilter;

use crate::error::{CommandError, UNUSABLE};

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
    #[arg(long, global = true, value_name = "LEVELS", value_parser = arguments::log_levels)]
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
    Config(check::Config),
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
    StandIn(stand_in::StandIn),
    /// The store of record: make, check, import, export, torture.
    #[command(subcommand)]
    Store(store::Store),
    /// Builds and serves a demo fleet: nodes, caches, origin and discovery, to be spoken to.
    Demo(demo::Demo),
    /// Measures the lab itself: the node and a bare relay in its place, side by side.
    #[command(subcommand)]
    Bench(bench::Bench),
}

impl Command {
    fn run(self) -> Result<(), CommandError> {
        match self {
            Command::Config(config) => config.run(),
            Command::Lab(lab) => lab.run(),
            Command::Sim(sim) => sim.run(),
            Command::Fleet(fleet) => fleet.run(),
            Command::Scale(scale) => scale.run(),
            Command::StandIn(stand_in) => stand_in.run(),
            Command::Store(store) => store.run(),
            Command::Demo(demo) => demo.run(),
            Command::Bench(bench) => bench.run(),
        }
    }
}

/// Sends logs to standard error, where they are asked for.
fn start_logs(levels: Option<EnvFilter>, json: bool) {
    let Some(levels) = levels else { return };
    let subscriber =
        tracing_subscriber::fmt().with_env_filter(levels).with_writer(std::io::stderr).with_ansi(false);
    if json { subscriber.json().init() } else { subscriber.init() }
}

/// What clap says is wrong with the arguments, in one line.
fn one_line(error: &clap::Error) -> String {
    let text = error.render().to_string();
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let message: Vec<&str> =
        lines.take_while(|line| !line.starts_with("Usage:") && !line.starts_with("For more")).collect();
    let line = message.join(" ");
    line.strip_prefix("error: ").unwrap_or(&line).to_owned()
}

/// Reads the command line; help is printed in full, an error in one line.
fn parse_arguments() -> Result<Cli, ExitCode> {
    Cli::try_parse().map_err(|error| {
        if !error.use_stderr() || error.kind() == DisplayHelpOnMissingArgumentOrSubcommand {
            error.exit();
        }
        warn!("stonevane: {}", one_line(&error));
        ExitCode::from(UNUSABLE)
    })
}

fn main() -> ExitCode {
    let cli = match parse_arguments() {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    start_logs(cli.log, cli.log_json);
    match cli.command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report(),
    }
}
