//! A fleet: emulators, nodes, and what can be done to them.

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

/// An address of this machine for one lab: no other lab that runs beside it has the same.
pub fn lab_ip() -> IpAddr {
    static LABS: AtomicU32 = AtomicU32::new(0);
    let lab = LABS.fetch_add(1, Ordering::Relaxed);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (lab % 64) as u8, high, low))
}

/// A folder that is deleted with its fleet.
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
    /// The cache servers.
    pub caches: Vec<Arc<Cache>>,
    /// The origin.
    pub origin: Arc<Origin>,
    /// The store of record in the origin's place, where it is an emulator.
    pub store: Option<Arc<Postgres>>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// The datagram network between nodes.
    pub peers: PeerNetwork,
    /// The nodes and the state of each: both change together.
    nodes: Mutex<NodeSet>,
    /// The configuration of each node at its start.
    configs: Vec<String>,
    /// The nodes by name, and where clients connect.
    pub targets: Vec<(String, SocketAddr)>,
    faults: Mutex<ActiveFaults>,
    /// Successors that have not started yet, with the fault that keeps each down.
    standby: Mutex<BTreeMap<String, u64>>,
    /// The delay after which discovery learns of a change.
    discovery_delay: Mutex<Duration>,
    recorder: Recorder,
    folder: Folder,
    /// Where each member listens for others.
    peer_listens: Vec<SocketAddr>,
    /// Where each node serves its view of the members.
    views: Vec<SocketAddr>,
    membership: Option<MembershipSpec>,
}

impl Fleet {
    /// Where the logs of its nodes are, for as long as it lives.
    pub fn folder(&self) -> &Path {
        &self.folder.0
    }

    /// The ids of its nodes' processes.
    pub fn pids(&self) -> Vec<u32> {
        lock(&self.nodes).pids()
    }

    /// Records that something was done.
    pub fn note(&self, words: &str) {
        tracing::info!(words, "lab");
        self.record(Event::Fault, words);
    }

    /// Records an event of the lab itself.
    fn record(&self, event: Event, state: &str) {
        self.recorder.line(HistoryRecord {
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
