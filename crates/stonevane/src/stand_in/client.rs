//! `stonevane stand-in client`: sends load to running nodes and prints a summary.

use std::fs::File;
use std::io::{self, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::Args;
use stonevane_emulators::MonotonicClock;
use stonevane_emulators::client::{Clients, plan};
use stonevane_lab::{Scenario, Summary, summarise};
use tokio::runtime::Runtime;

use super::{finish, recorder};
use crate::error::CommandError;

/// Arguments of `stonevane stand-in client`.
#[derive(Args)]
pub struct Client {
    /// Address of a node to send requests to (repeatable).
    #[arg(long, value_name = "ADDRESS", required = true)]
    node: Vec<SocketAddr>,
    /// Requests per second over all nodes.
    #[arg(long, default_value_t = 100.0)]
    per_s: f64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 5)]
    for_s: u64,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Record a history of the requests to this file (JSON lines).
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
}

impl Client {
    pub(super) fn run(self, runtime: &Runtime) -> Result<(), CommandError> {
        let scenario = self.scenario()?;
        // The summary is computed from the history, so one is recorded to a temporary file if none is
        // requested.
        let path = self.history.clone().unwrap_or_else(|| {
            std::env::temp_dir().join(format!("stonevane-client-{}.jsonl", std::process::id()))
        });
        self.run_load(&scenario, &path, runtime).map_err(CommandError::not_run)?;
        let summary = read_summary(&path);
        if self.history.is_none() {
            let _ = std::fs::remove_file(&path);
        }
        print(&summary?);
        Ok(())
    }

    /// Returns a scenario with the load that the arguments describe.
    fn scenario(&self) -> Result<Scenario, CommandError> {
        let (per_s, for_ms) = (self.per_s, self.for_s.saturating_mul(1_000));
        let text = format!("name = \"by hand\"\n[load]\nper_s = {per_s:?}\nfor_ms = {for_ms}\n");
        Scenario::parse(&text).map_err(|errors| CommandError::Config { file: "the load".into(), errors })
    }

    fn run_load(&self, scenario: &Scenario, path: &Path, runtime: &Runtime) -> io::Result<()> {
        let (recorder, writer) = recorder(path)?;
        runtime.block_on(async {
            let clock = MonotonicClock::default();
            let _heartbeat = tokio::spawn(clock.clone().run_heartbeat());
            let targets: Vec<_> = self
                .node
                .iter()
                .enumerate()
                .map(|(number, address)| (format!("n{number}"), *address))
                .collect();
            let clients = Clients::new(&targets, scenario.load.clone(), self.seed, &clock, recorder);
            let planned = plan(&scenario.load, targets.len(), self.seed);
            errln!("{} requests in {} s ...", planned.len(), self.for_s);
            clients.run_planned(planned, MonotonicClock::now()).await;
        });
        finish(writer)
    }
}

fn read_summary(path: &Path) -> Result<Summary, CommandError> {
    let file = File::open(path).map_err(CommandError::not_run)?;
    summarise(BufReader::new(file)).map_err(CommandError::not_run)
}

fn print(summary: &Summary) {
    for (name, class) in &summary.classes {
        outln!(
            "{name}: {} asked, {} served, {} refused, {} failed; p50 {:.1} ms, p99 {:.1} ms",
            class.asked,
            class.served,
            class.refused,
            class.failed,
            class.p50_ms,
            class.p99_ms
        );
    }
}
