//! The command line: reads the configuration, runs the process and maps its result to an exit code.

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
use crate::process::{self, ProcessTime};
use crate::store::OriginStore;

/// Exit code if the configuration is unusable or the node cannot start.
const EXIT_CONFIGURATION: u8 = 2;
/// Exit code for a process whose parent (`--ends-with`) has already ended.
const EXIT_ORPHANED: u8 = 3;

/// Run one node between clients and cache servers. ROUTER_CONFIG names the platform's configuration file.
#[derive(Parser)]
#[command(
    name = "stonevane-node",
    version,
    after_help = "Examples:
  ROUTER_CONFIG=config.json stonevane-node
  ROUTER_CONFIG=config.json stonevane-node --operator deploy/operator.toml

SIGTERM drains the node, which then exits with 0. SIGHUP reloads the configuration.
An unusable configuration exits with 2."
)]
struct Args {
    /// Read operator settings from this TOML file; `stonevane config check FILE` validates it without
    /// starting a node.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Have the kernel kill this process when its parent, the process with this id, ends; labs use it so that
    /// no node outlives them.
    #[arg(long = "ends-with", value_name = "PID", hide = true)]
    parent: Option<u32>,
}

/// Reason why the process did not start or cannot serve.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("cannot read the operator file {}: {source}", path.display())]
    OperatorUnreadable { path: PathBuf, source: Error },
    #[error("{}: {} errors in the operator file", path.display(), errors.len())]
    OperatorInvalid { path: PathBuf, errors: Vec<stonevane_config::ConfigError> },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{} errors in [regions]", .0.len())]
    Regions(Vec<RegionError>),
    #[error("{} errors in the peers of [fleet]", .0.len())]
    Peers(Vec<PeersError>),
    #[error("cannot open the store {place}: {source}")]
    Store { place: operator::StoreLocation, source: StoreError },
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: Error },
}

impl StartError {
    /// Returns the log lines that report the error: one for each configuration error.
    fn lines(&self) -> Vec<String> {
        match self {
            StartError::OperatorInvalid { path, errors } => {
                errors.iter().map(|error| format!("{}: {error}", path.display())).collect()
            }
            StartError::Regions(errors) => errors.iter().map(ToString::to_string).collect(),
            StartError::Peers(errors) => errors.iter().map(ToString::to_string).collect(),
            error => vec![error.to_string()],
        }
    }
}

/// Runs a node until it has drained: reads the configuration that the environment names, serves, and drains
/// on SIGTERM.
///
/// Returns exit code 0 after a drain, 2 if the configuration is unusable or the node cannot start, with one
/// line on standard error for each error, and 3 if the parent of `--ends-with` has already ended.
pub fn main() -> ExitCode {
    let args = Args::parse();
    if args.parent.is_some_and(|parent| !die_with_parent(parent)) {
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

/// Has the kernel kill this process when its parent ends. Returns whether that is set up and the parent is
/// still alive.
fn die_with_parent(parent: u32) -> bool {
    use rustix::process::{Signal, getppid, set_parent_process_death_signal};
    let is_set = set_parent_process_death_signal(Some(Signal::KILL)).is_ok();
    let parent_is_alive = getppid().is_some_and(|pid| pid.as_raw_nonzero().get().unsigned_abs() == parent);
    is_set && parent_is_alive
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
    let time = ProcessTime::start();
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    time.last_poll.record(&mut runtime, time.clock);
    runtime
        .enable_all()
        .build()
        .and_then(|runtime| runtime.block_on(process::run(config, time, store, membership)))
        .map_err(|source| StartError::Listen { address, source })
}

fn read_operator_file(path: &Path) -> Result<Operator, StartError> {
    let path = path.to_owned();
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(StartError::OperatorUnreadable { path, source }),
    };
    Operator::parse(&text).map_err(|errors| StartError::OperatorInvalid { path, errors })
}

/// Returns the configuration of membership, or `None` if it is not configured or the settings do not allow
/// it.
fn membership_config(config: &Config) -> Result<Option<MembershipConfig>, StartError> {
    let Some(fleet) = &config.operator.fleet else { return Ok(None) };
    if !config.deployment.settings.may_message_peers {
        log("membership disabled: [fleet] needs `limits.peers` of the settings, which is off");
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
