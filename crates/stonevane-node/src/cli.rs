//! The command line: reads the configuration, runs the process, and turns its end into an exit code.

use std::io::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use stonevane_config::operator::{self, Operator};
use stonevane_store::StoreError;

use crate::config::{Config, ConfigError, RegionError};
use crate::log::log;
use crate::membership::{MembershipConfig, PeersError};
use crate::process;
use crate::store::OriginStore;

/// Exit code of a configuration that cannot be used.
const EXIT_CONFIGURATION: u8 = 2;
/// Exit code of a process whose parent has already ended.
const EXIT_ORPHANED: u8 = 3;

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
    /// Is killed when the process of this id, its parent, ends: for labs, which leave nothing behind.
    #[arg(long = "ends-with", value_name = "PID", hide = true)]
    parent: Option<u32>,
}

/// Why the process did not start, or could not serve.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{}: {source}", path.display())]
    OperatorUnreadable { path: PathBuf, source: Error },
    #[error("{}: {} faults", path.display(), faults.len())]
    OperatorInvalid { path: PathBuf, faults: Vec<stonevane_config::ConfigError> },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{} faults in [regions]", .0.len())]
    Regions(Vec<RegionError>),
    #[error("{} faults in the peers", .0.len())]
    Peers(Vec<PeersError>),
    #[error("the store {place}: {source}")]
    Store { place: operator::Place, source: StoreError },
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: Error },
}

impl StartError {
    /// The lines of the log that report it: one for each fault.
    fn lines(&self) -> Vec<String> {
        match self {
            StartError::OperatorInvalid { path, faults } => {
                faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect()
            }
            StartError::Regions(errors) => errors.iter().map(ToString::to_string).collect(),
            StartError::Peers(errors) => errors.iter().map(ToString::to_string).collect(),
            error => vec![error.to_string()],
        }
    }
}

/// Runs a node to its end: reads the configuration that the environment names, serves, and drains on SIGTERM.
///
/// Exit code 0 after a drain; 2, with a line on standard error for each fault, for a configuration that cannot be used.
pub fn main() -> ExitCode {
    let args = Args::parse();
    if args.parent.is_some_and(|parent| !die_with(parent)) {
        return ExitCode::from(EXIT_ORPHANED);
    }
    match serve(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for line in error.lines() {
                log(&line);
            }
            ExitCode::from(EXIT_CONFIGURATION)
        }
    }
}

/// Has the kernel kill this process when its parent ends. Returns whether the parent still lives.
fn die_with(parent: u32) -> bool {
    use rustix::process::{Signal, getppid, set_parent_process_death_signal};
    let is_set = set_parent_process_death_signal(Some(Signal::KILL)).is_ok();
    let lives = getppid().is_some_and(|pid| pid.as_raw_nonzero().get().unsigned_abs() == parent);
    is_set && lives
}

fn serve(args: &Args) -> Result<(), StartError> {
    let operator = args.operator.as_deref().map(read_operator_file).transpose()?;
    let config = Config { operator: operator.unwrap_or_default(), ..Config::from_env()? };
    let region_errors = config.region_errors();
    if !region_errors.is_empty() {
        return Err(StartError::Regions(region_errors));
    }
    let membership = membership_config(&config)?;
    let store = config.operator.store.as_ref().map(|store| open_store(store, config.seed)).transpose()?;
    let address = config.listen;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime
        .and_then(|runtime| runtime.block_on(process::run(config, store, membership)))
        .map_err(|source| StartError::Listen { address, source })
}

fn read_operator_file(path: &Path) -> Result<Operator, StartError> {
    let path = path.to_owned();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(StartError::OperatorUnreadable { path, source }),
    };
    Operator::parse(&text).map_err(|faults| StartError::OperatorInvalid { path, faults })
}

/// The configuration of membership; `None` where it is not configured, or not allowed.
fn membership_config(config: &Config) -> Result<Option<MembershipConfig>, StartError> {
    let Some(fleet) = &config.operator.fleet else { return Ok(None) };
    if !config.deployment.settings.may_message_peers {
        log("the settings allow no messages between nodes: [fleet] stays off");
        return Ok(None);
    }
    MembershipConfig::new(fleet, config).map(Some).map_err(StartError::Peers)
}

fn open_store(config: &operator::Store, seed: u64) -> Result<Arc<OriginStore>, StartError> {
    match OriginStore::open(config, seed) {
        Ok(store) => Ok(Arc::new(store)),
        Err(source) => Err(StartError::Store { place: config.place.clone(), source }),
    }
}
