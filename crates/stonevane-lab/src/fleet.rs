//! A fleet of nodes and emulators on loopback, and the steps that act on it.

mod config;
mod cuts;
mod membership;
mod node_set;
mod node_steps;
mod rules;
mod servers;
mod start;
mod steps;
mod store;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stonevane_audit::{Event, HistoryRecord};
use stonevane_emulators::cache::Cache;
use stonevane_emulators::discovery::Discovery;
use stonevane_emulators::origin::Origin;
use stonevane_emulators::peers::PeerNetwork;
use stonevane_emulators::postgres::Postgres;
use stonevane_emulators::{MonotonicClock, Recorder, lock};

use self::node_set::NodeSet;
use crate::active_faults::ActiveFaults;
use crate::scenario::MembershipSpec;

pub use self::rules::rules;

/// Returns a loopback address for one fleet. The address is derived from the process id and a counter, so
/// that fleets that run at the same time don't share one.
pub fn lab_ip() -> IpAddr {
    static LABS: AtomicU32 = AtomicU32::new(0);
    let lab = LABS.fetch_add(1, Ordering::Relaxed);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (lab % 64) as u8, high, low))
}

/// Temporary folder of a fleet, deleted on drop.
struct Folder(PathBuf);

impl Folder {
    fn create(ip: IpAddr) -> std::io::Result<Folder> {
        let name = format!("stonevane-lab-{}-{}", std::process::id(), ip.to_string().replace('.', "-"));
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0)?;
        Ok(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A fleet on loopback. Dropping it ends every process that it started.
pub struct Fleet {
    /// Cache servers, including successors that have not started.
    pub caches: Vec<Arc<Cache>>,
    /// Emulator of the origin.
    pub origin: Arc<Origin>,
    /// Emulator of the store of record; `None` if the scenario has no store or uses SQLite.
    pub store: Option<Arc<Postgres>>,
    /// Emulator of discovery, from which nodes get the server list.
    pub discovery: Arc<Discovery>,
    /// Datagram network between the nodes.
    pub peers: PeerNetwork,
    /// Nodes and their states, under one lock because both change together.
    nodes: Mutex<NodeSet>,
    /// Configuration with which each node starts, by node number.
    configs: Vec<String>,
    /// Name of each node and the address to which its clients connect, by node number.
    pub targets: Vec<(String, SocketAddr)>,
    faults: Mutex<ActiveFaults>,
    /// Successors that have not started yet, each with the number of the fault that keeps it down.
    standby: Mutex<BTreeMap<String, u64>>,
    /// Delay after which discovery reports a change.
    discovery_delay: Mutex<Duration>,
    recorder: Recorder,
    folder: Folder,
    /// Address on which each member receives datagrams, by member number.
    peer_listens: Vec<SocketAddr>,
    /// Address on which each node serves its view of the members, by node number.
    views: Vec<SocketAddr>,
    membership: Option<MembershipSpec>,
}

impl Fleet {
    /// Returns the folder of the nodes' logs and configurations, which is deleted when the fleet is dropped.
    pub fn folder(&self) -> &Path {
        &self.folder.0
    }

    /// Returns the process ids of the running nodes.
    pub fn pids(&self) -> Vec<u32> {
        lock(&self.nodes).pids()
    }

    /// Records a fault, or the beginning or the end of a step or of the load.
    pub fn record_fault_event(&self, words: &str) {
        tracing::info!(words, "lab event recorded");
        self.record(Event::Fault, words);
    }

    /// Records an event that the lab itself observes.
    fn record(&self, event: Event, state: &str) {
        self.recorder.record(HistoryRecord {
            time: MonotonicClock::moment(),
            recorder: "lab".into(),
            event,
            state: state.to_owned(),
            ..HistoryRecord::default()
        });
    }

    fn cache(&self, name: &str) -> Option<&Arc<Cache>> {
        self.caches.iter().find(|cache| cache.spec.name == name)
    }

    fn discovery_delay(&self) -> Duration {
        *lock(&self.discovery_delay)
    }
}
