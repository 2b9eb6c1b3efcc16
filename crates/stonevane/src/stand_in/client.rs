//! `stonevane stand-in client`.

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

/// Clients of nodes.
#[derive(Args)]
pub struct Client {
    /// A node; may be given again.
    #[arg(long, value_name = "ADDRESS", required = true)]
    node: Vec<SocketAddr>,
    /// Requests a second.
    #[arg(long, default_value_t = 100.0)]
    per_s: f64,
    /// For so many seconds.
    #[arg(long, default_value_t = 5)]
    for_s: u64,
    /// Of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Keeps what it sees as a history.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
}

impl Client {
    pub(super) fn run(self, runtime: &Runtime) -> Result<(), CommandError> {
        let scenario = self.scenario()?;
        // The figures come from the history, also where nobody asked for that.
        let path = self.history.clone().unwrap_or_else(|| {
            std::env::temp_dir().join(format!("stonevane-client-{}.jsonl", std::process::id()))
        });
        self.play(&scenario, &path, runtime).map_err(CommandError::not_run)?;
        let summary = read_summary(&path);
        if self.history.is_none() {
            let _ = std::fs::remove_file(&path);
        }
        print(&summary?);
        Ok(())
    }

    /// A scenario of this load.
    fn scenario(&self) -> Result<Scenario, CommandError> {
        let (per_s, for_ms) = (self.per_s, self.for_s.saturating_mul(1_000));
        let text = format!("name = \"by hand\"\n[load]\nper_s = {per_s:?}\nfor_ms = {for_ms}\n");
        Scenario::parse(&text).map_err(|errors| CommandError::Config { file: "the load".into(), errors })
    }

    fn play(&self, scenario: &Scenario, path: &Path, runtime: &Runtime) -> io::Result<()> {
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
            warn!("{} requests in {} s ...", planned.len(), self.for_s);
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
        say!(
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
