//! One node: drives the core (`stonevane-core`) on sockets, with discovery, and with a store of record in the origin's
//! place where the operator says so.

mod cache_updates;
mod clock;
mod config;
pub mod discovery;
mod driver;
mod exclusions;
mod handover;
mod inherited_listener;
mod log;
mod management;
mod membership;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use stonevane_config::operator::Operator;
use stonevane_core::{Core, Input, Setup};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use clock::Clock;
use config::Config;
use driver::Driver;
use exclusions::Exclusions;
use handover::{Handover, HandoverTask};
use log::log;
use membership::{Membership, MembershipConfig};
use store::OriginStore;

/// Set to 1, each step of each request and each connection that is closed is a line of the log.
const TRACE: &str = "SPARDEAL_TRACE";

async fn run(
    config: Config,
    store: Option<Arc<OriginStore>>,
    part: Option<MembershipConfig>,
) -> std::io::Result<()> {
    let tmpdir = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty()).map(PathBuf::from);
    let exclusions = Exclusions::new(tmpdir.clone());
    let clock = Clock::start();
    let mut terms = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
    let mut hangup = signal(SignalKind::hangup())?;
    let replaced = config.inherited.is_some();
    let listener = match config.inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => TcpListener::bind(config.listen).await?,
    };
    log(&format!("listening on {}", listener.local_addr()?));
    let management = match config.mgmt {
        Some(address) => {
            let listener = TcpListener::bind(address).await;
            let listener =
                listener.map_err(|e| std::io::Error::new(e.kind(), format!("mgmt {address}: {e}")))?;
            log(&format!("the second address is {}", listener.local_addr()?));
            Some(listener)
        }
        None => None,
    };
    let fleet = match part {
        Some(part) => Some(Membership::start(part, clock).await?),
        None => None,
    };
    let others = management.as_ref().map_or(0, |_| management::SOCKETS) + usize::from(fleet.is_some());
    let excluded = if management.is_some() { exclusions.excluded() } else { Vec::new() };
    let mut deployment = config.deployment.clone();
    // Whoever takes the clients of a process over that runs meets no crowd that has waited for it.
    deployment.settings.startup_attempts_per_server = if replaced { 0.0 } else { config.operator.start.each };
    deployment.settings.coalesce_fetches = store.as_ref().is_some_and(|store| store.shares());
    let setup = Setup {
        deployment,
        seed: config.seed,
        sockets: config.sockets,
        memory_mb: config.memory_mb,
        known: config.known,
        discovery: config.discovery,
        clients: config.operator.clients,
        servers: config.operator.servers,
        store: store.is_some(),
        copies: store.as_ref().is_some_and(|store| store.copies()),
        others,
        excluded,
        replaced,
        regions: config.operator.regions.clone(),
    };
    let mut core = Core::new(clock.now(), setup);
    core.trace_requests(std::env::var_os(TRACE).is_some_and(|value| value == "1"));
    let driver = Driver::new(core, clock, exclusions, store.clone(), fleet.clone());
    // Before anything is taken: what a process that is to be replaced holds counts for both.
    let handover = match tmpdir
        .filter(|_| replaced)
        .map(|dir| Handover::join(&dir, (clock.now(), std::process::id())))
    {
        None => None,
        Some(Ok(mut handover)) => {
            handover.poll(&driver);
            Some(handover.spawn(driver.clone()))
        }
        Some(Err(e)) => {
            log(&format!("another process of this node can't be told from here: {e}"));
            None
        }
    };
    if let Some(fleet) = &fleet {
        let told = driver.clone();
        tokio::spawn(fleet.clone().run(move |sharers| told.input(Input::NodeCount(sharers))));
    }
    if let Some(listener) = management {
        tokio::spawn(management::serve(listener, driver.clone()));
    }
    let told_peers = fleet.clone();
    let signals = driver.clone();
    let poller = handover.as_ref().map(HandoverTask::poller);
    tokio::spawn(async move {
        let [term, int] = &mut terms;
        tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
        // Whether a newer process takes the clients over is to be known before anything is closed, and that one learns
        // at once that it takes them alone.
        if let Some(poller) = &poller {
            poller.poll_now().await;
        }
        fleet.iter().for_each(|fleet| fleet.leave());
        signals.input(Input::Terminate);
        if let Some(poller) = &poller {
            poller.poll_now().await;
        }
    });
    let reloads = driver.clone();
    let mut last = config.text;
    tokio::spawn(async move {
        // Against an end by SIGHUP, and against a file that can't be used: the old configuration stays.
        while hangup.recv().await.is_some() {
            match Config::again(&last) {
                Ok(again) => {
                    for line in told_peers.iter().filter_map(|fleet| fleet.readdress(&again).err()).flatten()
                    {
                        log(&format!("reload: {line}; the old peers stay"));
                    }
                    last = again.text;
                    let classes = again.deployment.classes.join(", ");
                    log(&format!("reload: discovery is at {}, classes are {classes}", again.discovery));
                    reloads.input(Input::Settings(Box::new(again.deployment)));
                    reloads.input(Input::DiscoveryMoved(again.discovery));
                }
                Err(e) => {
                    log(&format!("reload: {e}; the old configuration stays in force"));
                    reloads.input(Input::ReloadFailed);
                }
            }
        }
    });
    driver.run(listener).await;
    if let Some(handover) = handover {
        handover.stop().await;
    }
    if let Some(store) = store {
        log(&store.done());
    }
    Ok(())
}

/// One node between clients and zone caches. The platform's configuration is named by ROUTER_CONFIG.
#[derive(Parser)]
#[command(
    name = "stonevane-node",
    version,
    after_help = "Examples:
  ROUTER_CONFIG=config.json stonevane-node
  ROUTER_CONFIG=config.json stonevane-node --operator deploy/operator.toml

SIGTERM drains and exits 0; SIGHUP reads the configuration again; a bad configuration is exit 2."
)]
struct Args {
    /// What is configured beside the platform's pages; `stonevane config check FILE` checks it without a node.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Ends, by SIGKILL, with the process of this number that started it: for labs, which leave nothing behind.
    #[arg(long, value_name = "PID", hide = true)]
    ends_with: Option<u32>,
}

/// Has the machine kill this process when its parent ends; whether the parent is there yet.
fn ends_with(parent: u32) -> bool {
    use rustix::process::{Signal, getppid, set_parent_process_death_signal};
    let set = set_parent_process_death_signal(Some(Signal::KILL)).is_ok();
    let there = getppid().is_some_and(|pid| pid.as_raw_nonzero().get().unsigned_abs() == parent);
    set && there
}

/// Reads an operator file; or a line for each fault.
fn read_operator(path: &Path) -> Result<Operator, Vec<String>> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{name}: {e}")])?;
    Operator::parse(&text).map_err(|faults| faults.iter().map(|fault| format!("{name}: {fault}")).collect())
}

/// Runs a node to its end: reads the configuration that the environment names, serves, and drains on SIGTERM.
///
/// Exit code 0 after a drain; 2, with one line on standard error, for a configuration that can't be used.
pub fn main() -> ExitCode {
    let args = Args::parse();
    if args.ends_with.is_some_and(|parent| !ends_with(parent)) {
        return ExitCode::from(3);
    }
    let operator = match args.operator.as_deref().map(read_operator).transpose() {
        Ok(operator) => operator.unwrap_or_default(),
        Err(lines) => {
            lines.iter().for_each(|line| log(line));
            return ExitCode::from(2);
        }
    };
    let config = match Config::from_env() {
        Ok(config) => Config { operator, ..config },
        Err(e) => {
            log(&e.to_string());
            return ExitCode::from(2);
        }
    };
    let unfit = config.regions_unfit();
    if !unfit.is_empty() {
        unfit.iter().for_each(|line| log(line));
        return ExitCode::from(2);
    }
    let told = config.operator.fleet.as_ref();
    let allowed = config.deployment.settings.may_message_peers;
    if told.is_some() && !allowed {
        log("the settings allow no messages between nodes: [fleet] stays off");
    }
    let part = told.filter(|_| allowed).map(|told| MembershipConfig::new(told, &config)).transpose();
    let part = match part {
        Ok(part) => part,
        Err(lines) => {
            lines.iter().for_each(|line| log(line));
            return ExitCode::from(2);
        }
    };
    let store = match config.operator.store.as_ref().map(|told| (told, OriginStore::open(told, config.seed)))
    {
        None => None,
        Some((_, Ok(store))) => Some(Arc::new(store)),
        Some((told, Err(e))) => {
            log(&format!("the store {}: {e}", told.place));
            return ExitCode::from(2);
        }
    };
    let listen = config.listen;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(run(config, store, part))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log(&format!("cannot listen on {listen}: {e}"));
            ExitCode::from(2)
        }
    }
}
