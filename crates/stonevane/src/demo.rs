//! `stonevane demo`: runs a complete fleet on this machine for manual requests.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use stonevane_emulators::client::key;
use stonevane_emulators::{MonotonicClock, Recorder};
use stonevane_lab::scenario::StoreSpec;
use stonevane_lab::{Fleet, NodeKind, Scenario, interrupted};

use crate::error::CommandError;
use crate::node_program;

/// Build and run a demo fleet until interrupted.
#[derive(Args)]
#[command(after_help = "Example: cargo run --release -p stonevane -- demo")]
pub struct Demo {
    /// Number of nodes.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=16))]
    nodes: u64,
    /// Stop after this many seconds [default: run until interrupted].
    #[arg(long)]
    for_s: Option<u64>,
    /// Path of the daemon's program [default: stonevane-node in the folder of this program].
    #[arg(long, value_name = "FILE")]
    node_program: Option<PathBuf>,
}

const SCENARIO: &str = "name = \"demo\"\n[fleet]\ncaches = 4\nwarm_keys = 0.5\n";
const SEED: u64 = 1;
/// Upper bound of the running time: one year.
const MAX_DURATION: Duration = Duration::from_secs(365 * 86_400);
/// Popularity rank of a key that no cache holds at the start.
const COLD_RANK: usize = 150;

impl Demo {
    pub fn run(self) -> Result<(), CommandError> {
        let program = node_program::find(self.node_program.as_deref()).map_err(CommandError::not_run)?;
        let scenario = self.scenario()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.map_err(CommandError::not_run)?.block_on(self.serve(&scenario, program))
    }

    /// Returns the scenario: a SQLite store, and caches that nodes fill and invalidate.
    fn scenario(&self) -> Result<Scenario, CommandError> {
        let scenario =
            Scenario::parse(SCENARIO).map_err(|errors| CommandError::not_run(format!("{errors:?}")))?;
        let store = StoreSpec {
            sqlite: true,
            call_timeout_ms: 500,
            copy_lifetime_ms: 60_000,
            waits_for_placement: true,
            preloaded_keys: 200,
            fills_caches: true,
            shares_fetches: true,
        };
        Ok(Scenario { nodes: self.nodes as usize, store: Some(store), ..scenario })
    }

    async fn serve(&self, scenario: &Scenario, program: PathBuf) -> Result<(), CommandError> {
        let clock = MonotonicClock::default();
        let _heartbeat = tokio::spawn(clock.clone().run_heartbeat());
        errln!(
            "starting {} nodes, {} caches, a store in a file and discovery ...",
            scenario.nodes,
            scenario.caches
        );
        let kind = NodeKind::Process(program.into());
        let fleet = Fleet::start(scenario, &kind, SEED, &clock, &Recorder::none()).await;
        let fleet = fleet.map_err(CommandError::not_run)?;
        print_addresses(&fleet);
        print_commands(&fleet);
        let duration = self.for_s.map_or(MAX_DURATION, Duration::from_secs).min(MAX_DURATION);
        let _ = tokio::time::timeout(duration, interrupted()).await;
        errln!("stopping ...");
        fleet.end().await;
        Ok(())
    }
}

fn print_addresses(fleet: &Fleet) {
    outln!("The fleet is running on this machine:");
    for (name, address) in &fleet.targets {
        outln!("  node {name}    {address}");
    }
    for cache in &fleet.caches {
        let address = cache.address("n0").map(|address| address.to_string()).unwrap_or_default();
        outln!("  {}   {address} (as n0 sees it)", cache.spec.name);
    }
    outln!("  store     {} (stonevane store check FILE)", fleet.folder().join("zones.db").display());
    outln!("  logs      {}", fleet.folder().display());
}

/// Prints example commands.
fn print_commands(fleet: &Fleet) {
    let Some((_, node)) = fleet.targets.first() else { return };
    let client = format!("redis-cli -h {} -p {}", node.ip(), node.port());
    let (warm, cold) = (key(0), key(COLD_RANK));
    let read = "c=zone-lookup,t=coastline,d=1500";
    outln!("\nSend requests with any RESP2 client. Each request needs a unique id:");
    outln!("  {client} PING");
    outln!("  {client} OBJ.GET {warm:016x} id-1 {read}     (a hit)");
    outln!("  {client} OBJ.GET {cold:016x} id-2 {read}     (a miss, fetched and stored)");
    outln!("  {client} OBJ.SET {warm:016x} id-3 c=zone-edit,t=coastline,d=300,k=aa area-2");
    outln!("  {client} OBJ.GET {warm:016x} id-4 {read}     (area-2, on every node)");
    outln!("\nCtrl-C ends it.");
}
