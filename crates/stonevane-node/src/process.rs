//! The process of a node, from its configuration to the end of its drain.

use std::io::{Error, Result};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use stonevane_core::{Core, CoreConfig, Input};
use tokio::net::TcpListener;

use crate::clock::Clock;
use crate::config::Config;
use crate::driver::Driver;
use crate::exclusions::Exclusions;
use crate::handover::{Handover, HandoverTask};
use crate::log::log;
use crate::management;
use crate::membership::{Membership, MembershipConfig};
use crate::poll_time::PollTime;
use crate::signals::{Reloader, Signals, Termination};
use crate::store::OriginStore;

/// Environment variable that, if set to 1, logs each step of each request and each closed connection.
const TRACE_VARIABLE: &str = "SPARDEAL_TRACE";

/// The process's clock and the time of its runtime's last poll.
pub struct ProcessTime {
    /// The clock.
    pub clock: Clock,
    /// The time of the last poll by `clock`.
    pub last_poll: PollTime,
}

impl ProcessTime {
    /// Starts the clock.
    pub fn start() -> ProcessTime {
        ProcessTime { clock: Clock::start(), last_poll: PollTime::default() }
    }
}

/// Runs a node until it has drained.
///
/// # Errors
/// A socket cannot be opened or a signal handler cannot be installed.
pub async fn run(
    mut config: Config,
    time: ProcessTime,
    store: Option<Arc<OriginStore>>,
    membership: Option<MembershipConfig>,
) -> Result<()> {
    let tmpdir = temporary_folder();
    let exclusions = Exclusions::new(tmpdir.clone());
    let ProcessTime { clock, last_poll } = time;
    let signals = Signals::install()?;
    let inherited = config.inherited.take();
    let inherits_listener = inherited.is_some();
    let listener = open_client_listener(inherited, config.listen).await?;
    let management = open_management_listener(config.mgmt).await?;
    let membership = match membership {
        Some(membership) => Some(Membership::start(membership, clock).await?),
        None => None,
    };

    let sockets_in_use =
        management.as_ref().map_or(0, |_| management::SOCKETS) + usize::from(membership.is_some());
    let excluded = if management.is_some() { exclusions.excluded() } else { Vec::new() };
    let document = std::mem::take(&mut config.document);
    let core_config = core_config(config, store.as_deref(), sockets_in_use, excluded, inherits_listener);
    let mut core = Core::new(clock.now(), core_config);
    core.trace_requests(std::env::var_os(TRACE_VARIABLE).is_some_and(|value| value == "1"));
    let driver = Driver::new(core, clock, last_poll, exclusions, store.clone(), membership.clone());

    let handover_folder = tmpdir.filter(|_| inherits_listener);
    let handover = handover_folder.and_then(|tmpdir| join_handover(&tmpdir, clock, &driver));
    if let Some(membership) = &membership {
        spawn_membership(membership.clone(), driver.clone());
    }
    if let Some(listener) = management {
        tokio::spawn(management::serve(listener, driver.clone()));
    }
    let termination = Termination {
        handover: handover.as_ref().map(HandoverTask::poller),
        membership: membership.clone(),
        driver: driver.clone(),
    };
    let reloader = Reloader { document, membership, driver: driver.clone() };
    signals.spawn_handlers(termination, reloader);

    driver.run(listener).await;
    if let Some(handover) = handover {
        handover.stop().await;
    }
    if let Some(store) = store {
        log(&store.summary());
    }
    Ok(())
}

/// Returns the folder (`$TMPDIR`) in which processes of this node meet and exclusions are persisted.
fn temporary_folder() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from)
}

async fn open_client_listener(inherited: Option<StdListener>, address: SocketAddr) -> Result<TcpListener> {
    let listener = match inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => TcpListener::bind(address).await?,
    };
    log(&format!("listening on {}", listener.local_addr()?));
    Ok(listener)
}

async fn open_management_listener(address: Option<SocketAddr>) -> Result<Option<TcpListener>> {
    let Some(address) = address else { return Ok(None) };
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| Error::new(error.kind(), format!("mgmt {address}: {error}")))?;
    log(&format!("management address listening on {}", listener.local_addr()?));
    Ok(Some(listener))
}

fn core_config(
    config: Config,
    store: Option<&OriginStore>,
    sockets_in_use: usize,
    excluded: Vec<String>,
    inherits_listener: bool,
) -> CoreConfig {
    let mut deployment = config.deployment;
    // A process that takes over from another receives its clients gradually and needs no start-up limit.
    deployment.settings.startup_attempts_per_server =
        if inherits_listener { 0.0 } else { config.operator.start.attempts_per_server };
    deployment.settings.coalesce_fetches = store.is_some_and(OriginStore::coalesces_fetches);
    CoreConfig {
        deployment,
        seed: config.seed,
        max_sockets: config.sockets,
        memory_mb: config.memory_mb,
        cached_list: config.known_endpoints,
        discovery: config.discovery,
        clients: config.operator.clients,
        servers: config.operator.servers,
        has_store: store.is_some(),
        notifies_caches: store.is_some_and(OriginStore::updates_caches),
        other_sockets: sockets_in_use,
        excluded,
        can_be_replaced: inherits_listener,
        regions: config.operator.regions,
    }
}

/// Joins the processes of this node. The first poll precedes the first accepted connection, because the
/// process to be replaced still holds a part of the node's capacity.
fn join_handover(tmpdir: &Path, clock: Clock, driver: &Arc<Driver>) -> Option<HandoverTask> {
    match Handover::join(tmpdir, (clock.now(), std::process::id())) {
        Ok(mut handover) => {
            handover.poll(driver);
            Some(handover.spawn(driver.clone()))
        }
        Err(error) => {
            log(&format!("handover disabled: cannot register among the processes of this node: {error}"));
            None
        }
    }
}

/// Runs membership, and reports to the core how many nodes share the fleet's limits.
fn spawn_membership(membership: Arc<Membership>, driver: Arc<Driver>) {
    tokio::spawn(membership.run(move |nodes| driver.input(Input::NodeCount(nodes))));
}
