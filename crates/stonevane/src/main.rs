//! `stonevane`: the command line of the project. The daemon is a separate program, `stonevane-node`.

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

/// Check configuration, run the lab, audit histories and run emulators for the stonevane daemon.
#[derive(Parser)]
#[command(
    name = "stonevane",
    version,
    after_help = "Examples:
  stonevane demo                                       run a fleet and print example commands
  stonevane config check deploy/operator.toml          check an operator file
  stonevane lab list                                   list the built-in scenarios
  stonevane lab run kill-cache --chart run.svg         run a fleet with faults and check the four rules
  stonevane lab audit run.jsonl                        audit a recorded history
  stonevane sim run --seeds 1..2000                    simulate 2000 fleets with random faults
  stonevane scale run --nodes 16,64,300                measure the cost per node in fleets of stub nodes
  stonevane store import zones.db zones.csv            import zones into a store of record
  stonevane stand-in cache --listen 127.0.0.1:7001     run one emulator

Exit codes: 0 success, 1 a rule or an expectation is broken, 2 the input can't be used, 3 the command could not be
completed."
)]
struct Cli {
    /// Write logs to standard error: a level, or levels by package, for example `info` or
    /// `warn,stonevane_emulators=debug` [default: no logs].
    #[arg(long, global = true, value_name = "LEVELS", value_parser = arguments::log_levels)]
    log: Option<EnvFilter>,
    /// Write logs as JSON lines.
    #[arg(long, global = true, requires = "log")]
    log_json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check configuration without starting a node.
    #[command(subcommand)]
    Config(check::Config),
    /// Run real nodes among emulators with scripted faults, and audit the histories.
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Simulate fleets of the node's core (its decision logic without I/O) with faults drawn from seeds, to
    /// search for broken rules.
    #[command(subcommand)]
    Sim(sim::Sim),
    /// Simulate the membership protocol among the nodes, and show how running nodes see the other members.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Measure the cost of large fleets: one role of a node (for example membership) at several sizes, or
    /// whole fleets of stub nodes.
    #[command(subcommand)]
    Scale(scale::Scale),
    /// Run one emulator of a server, a bare relay or a load client in the foreground.
    #[command(subcommand)]
    StandIn(stand_in::StandIn),
    /// Create, check, import, export, monitor and crash-test a store of record.
    #[command(subcommand)]
    Store(store::Store),
    /// Build and run a demo fleet of nodes, caches, a store of record and discovery until interrupted.
    Demo(demo::Demo),
    /// Measure the node, the store, the history writer and the auditor, and compare the node with a bare
    /// relay and the store with bare database clients.
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

/// Starts logging to standard error if levels are given.
fn start_logs(levels: Option<EnvFilter>, json: bool) {
    let Some(levels) = levels else { return };
    let subscriber =
        tracing_subscriber::fmt().with_env_filter(levels).with_writer(std::io::stderr).with_ansi(false);
    if json { subscriber.json().init() } else { subscriber.init() }
}

/// Returns clap's error message in one line, without usage and hints.
fn one_line(error: &clap::Error) -> String {
    let text = error.render().to_string();
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    let message: Vec<&str> =
        lines.take_while(|line| !line.starts_with("Usage:") && !line.starts_with("For more")).collect();
    let line = message.join(" ");
    line.strip_prefix("error: ").unwrap_or(&line).to_owned()
}

/// Parses the command line; prints help in full, and an error in one line.
fn parse_arguments() -> Result<Cli, ExitCode> {
    Cli::try_parse().map_err(|error| {
        if !error.use_stderr() || error.kind() == DisplayHelpOnMissingArgumentOrSubcommand {
            error.exit();
        }
        errln!("stonevane: {}", one_line(&error));
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
