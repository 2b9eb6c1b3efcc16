//! `stonevane demo`: a whole fleet to speak to.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use stonevane_emulators::client::key;
use stonevane_emulators::{MonotonicClock, Recorder};
use stonevane_lab::scenario::StoreSpec;
use stonevane_lab::{Fleet, NodeKind, Scenario, interrupted};

use crate::{NOT_RUN, node};

/// Builds and serves a demo fleet until it is interrupted.
#[derive(Args)]
#[command(after_help = "Example: cargo run --release -p stonevane -- demo")]
pub struct Demo {
    /// Nodes.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=16))]
    nodes: u64,
    /// Ends by itself after so many seconds.
    #[arg(long)]
    for_s: Option<u64>,
    /// The daemon's program; else the one beside this program.
    #[arg(long, value_name = "FILE")]
    node_program: Option<PathBuf>,
}

const SCENARIO: &str = "name = \"demo\"\n[fleet]\ncaches = 4\nwarm_keys = 0.5\n";

impl Demo {
    /// Serves.
    pub fn run(self) -> ExitCode {
        let served = node::program(self.node_program.as_deref()).and_then(|program| self.serve(program));
        match served {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                warn!("stonevane: {e}");
                ExitCode::from(NOT_RUN)
            }
        }
    }

    fn serve(&self, program: PathBuf) -> Result<(), String> {
        let mut scenario = Scenario::parse(SCENARIO).map_err(|e| format!("{e:?}"))?;
        scenario.nodes = self.nodes as usize;
        // The main job on one machine: a real store in a file, caches that nodes fill and void.
        let base = StoreSpec {
            sqlite: true,
            call_timeout_ms: 500,
            copy_lifetime_ms: 60_000,
            waits_for_placement: true,
            preloaded_keys: 200,
            fills_caches: true,
            shares_fetches: true,
        };
        scenario.store = Some(base);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.map_err(|e| e.to_string())?.block_on(async {
            let mono = MonotonicClock::default();
            let _beat = tokio::spawn(mono.clone().run_heartbeat());
            warn!(
                "starting {} nodes, {} caches, a store in a file and discovery ...",
                scenario.nodes, scenario.caches
            );
            let fleet =
                Fleet::start(&scenario, &NodeKind::Process(program.into()), 1, &mono, &Recorder::none())
                    .await;
            let fleet = fleet.map_err(|e| e.to_string())?;
            say!("A fleet serves on this machine:");
            for (name, address) in &fleet.targets {
                say!("  node {name}    {address}");
            }
            for cache in &fleet.caches {
                let address = cache.address("n0").map(|a| a.to_string()).unwrap_or_default();
                say!("  {}   {address} (as n0 sees it)", cache.spec.name);
            }
            say!("  store     {} (stonevane store check FILE)", fleet.folder().join("zones.db").display());
            say!("  logs      {}", fleet.folder().display());
            let Some((_, first)) = fleet.targets.first() else { return Ok(()) };
            let at = format!("redis-cli -h {} -p {}", first.ip(), first.port());
            say!("\nSpeak to it with any RESP2 client. Each request needs an id of its own:");
            say!("  {at} PING");
            say!("  {at} OBJ.GET {:016x} id-1 c=zone-lookup,t=coastline,d=1500     (a hit)", key(0));
            say!(
                "  {at} OBJ.GET {:016x} id-2 c=zone-lookup,t=coastline,d=1500     (a miss, fetched and kept)",
                key(150)
            );
            say!("  {at} OBJ.SET {:016x} id-3 c=zone-edit,t=coastline,d=300,k=aa area-2", key(0));
            say!(
                "  {at} OBJ.GET {:016x} id-4 c=zone-lookup,t=coastline,d=1500     (area-2, on every node)",
                key(0)
            );
            say!("\nCtrl-C ends it.");
            let bound = self.for_s.map_or(Duration::MAX, Duration::from_secs);
            let _ = tokio::time::timeout(bound.min(Duration::from_secs(86_400 * 365)), interrupted()).await;
            warn!("ending ...");
            fleet.end().await;
            Ok(())
        })
    }
}
