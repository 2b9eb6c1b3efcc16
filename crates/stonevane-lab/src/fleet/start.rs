//! Starts the emulators and then the nodes of a fleet.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use stonevane_emulators::cache::{Cache, CacheSpec};
use stonevane_emulators::client::key;
use stonevane_emulators::discovery::{Discovery, Entry};
use stonevane_emulators::origin::{Origin, OriginSpec};
use stonevane_emulators::peers::PeerNetwork;
use stonevane_emulators::{MonotonicClock, Recorder, lock};
use stonevane_membership::MemberConfig;
use tokio::net::{TcpListener, UdpSocket};

use super::config::{KEY_BYTE, KEY_LEN_BYTES, membership_section, settings};
use super::node_set::NodeSet;
use super::store::StoreOfRecord;
use super::{Fleet, Folder, lab_ip};
use crate::faulty_member::FaultyMember;
use crate::node::{Node, NodeKind, Program};
use crate::scenario::{MembershipSpec, Scenario, cache_name, node_name};
use crate::stub::{KnownCache, StubNode};

/// Number of nodes that are started at the same time.
const START_BATCH: usize = 32;
/// Number of cache servers in a cell.
const CELL_SIZE: usize = 4;
/// Cell number of the origin, which is in no cell.
const NO_CELL: u16 = u16::MAX;

/// Parameters for starting a fleet.
struct Launch<'a> {
    scenario: &'a Scenario,
    seed: u64,
    ip: IpAddr,
    folder: &'a Path,
    clock: &'a MonotonicClock,
    recorder: &'a Recorder,
    /// Names of the nodes, by number.
    names: Vec<String>,
}

/// Emulators with which the nodes communicate.
struct Servers {
    caches: Vec<Arc<Cache>>,
    origin: Arc<Origin>,
    discovery: Arc<Discovery>,
}

/// Addresses of the nodes. The sockets stay bound until the nodes start, so that no other socket of the lab
/// takes one of the addresses. After that no other program can take them, because no other lab uses this
/// lab's IP address.
struct ReservedAddresses {
    /// Name of each node and the address to which clients connect.
    clients: Vec<(String, SocketAddr)>,
    /// Name of each member and the address on which it receives datagrams.
    peers: Vec<(String, SocketAddr)>,
    /// Address on which each node serves its view of the members.
    views: Vec<SocketAddr>,
    listeners: Vec<TcpListener>,
    sockets: Vec<UdpSocket>,
}

/// Kinds of nodes, one for each membership version, each with its own operator file.
struct NodeKinds {
    current: NodeKind,
    /// Kind of the nodes that send only membership messages of version 1.
    version_1: NodeKind,
    version_1_nodes: Vec<usize>,
}

fn no_listener() -> io::Error {
    io::Error::other("an emulator has no listener for one of the nodes")
}

impl Fleet {
    /// Starts the emulators and the nodes, and waits until all are ready.
    ///
    /// # Errors
    /// If a port, a file or a process is not available, or a node does not become ready.
    pub async fn start(
        scenario: &Scenario,
        kind: &NodeKind,
        seed: u64,
        clock: &MonotonicClock,
        recorder: &Recorder,
    ) -> io::Result<Arc<Fleet>> {
        let ip = lab_ip();
        let folder = Folder::create(ip)?;
        let names = (0..scenario.nodes).map(node_name).collect();
        let launch = Launch { scenario, seed, ip, folder: &folder.0, clock, recorder, names };
        let servers = launch.start_servers().await?;
        let addresses = launch.reserve_addresses().await?;
        let peers = PeerNetwork::start(&addresses.peers, ip, seed).await?;
        let (store, kinds) = launch.start_store(kind).await?;
        let configs = launch.node_configs(&servers, &addresses, &peers)?;
        let nodes = launch.nodes(&servers, &addresses, &peers, &kinds)?;
        let ReservedAddresses { clients, peers: peer_listens, views, listeners, sockets } = addresses;
        let fleet = Fleet {
            caches: servers.caches,
            origin: servers.origin,
            store,
            discovery: servers.discovery,
            peers,
            nodes: Mutex::new(NodeSet::new(nodes)),
            configs,
            targets: clients,
            faults: Mutex::default(),
            standby: Mutex::default(),
            discovery_delay: Mutex::new(scenario.discovery_delay),
            recorder: recorder.clone(),
            folder,
            peer_listens: peer_listens.into_iter().map(|(_, listen)| listen).collect(),
            views,
            membership: scenario.membership.clone(),
        };
        for successor in scenario.successors() {
            fleet.put_on_standby(&successor.name);
        }
        drop((listeners, sockets));
        fleet.start_nodes().await?;
        Ok(Arc::new(fleet))
    }

    /// Starts the nodes in batches, and waits until all are ready.
    async fn start_nodes(&self) -> io::Result<()> {
        let count = self.configs.len();
        for first in (0..count).step_by(START_BATCH) {
            let batch = first..count.min(first + START_BATCH);
            let mut incarnations = Vec::new();
            for node in batch.clone() {
                incarnations.push(lock(&self.nodes).start(node, &self.configs[node])?);
            }
            for (node, incarnation) in batch.clone().zip(incarnations) {
                if !self.wait_until_ready(node, incarnation.unwrap_or(0)).await {
                    return Err(io::Error::other(lock(&self.nodes).not_ready(node)));
                }
            }
            tracing::info!(ready = batch.end, of = count, "nodes ready");
        }
        Ok(())
    }
}

impl Launch<'_> {
    async fn start_servers(&self) -> io::Result<Servers> {
        let scenario = self.scenario;
        let listens: Vec<(String, SocketAddr)> =
            self.names.iter().map(|name| (name.clone(), (self.ip, 0).into())).collect();
        let mut caches = Vec::new();
        let mut entries = Vec::new();
        for number in 0..scenario.caches {
            let cache = self.start_cache(number, cache_name(number), &listens).await?;
            self.preload(&cache);
            entries.push(self.cache_entry(&cache, "active"));
            caches.push(cache);
        }
        // Successors have addresses from the start, but discovery lists them as left and nothing answers
        // there.
        for successor in scenario.successors() {
            let cache = self.start_cache(successor.replaces, successor.name, &listens).await?;
            entries.push(self.cache_entry(&cache, "left"));
            caches.push(cache);
        }
        let zone = scenario.zone(0);
        let cross_zone_rtt_us = scenario.round_trips(&zone, &self.names);
        let spec = OriginSpec { cross_zone_rtt_us, ..scenario.origin.clone() };
        let origin = Origin::start(spec, &listens, self.clock, self.recorder.clone()).await?;
        origin.attach(&caches);
        let addresses = self.addresses(|node| origin.address(node));
        entries.push(entry(&origin.spec.name, zone, &origin.spec.kind, NO_CELL, addresses, "active"));
        let discovery =
            Discovery::start(&listens, self.recorder.clone(), entries, scenario.discovery).await?;
        Ok(Servers { caches, origin, discovery })
    }

    async fn start_cache(
        &self,
        number: usize,
        name: String,
        listens: &[(String, SocketAddr)],
    ) -> io::Result<Arc<Cache>> {
        let zone = self.scenario.zone(number);
        let cross_zone_rtt_us = self.scenario.round_trips(&zone, &self.names);
        let cell = (number / CELL_SIZE) as u16;
        let spec = CacheSpec { name, zone, cross_zone_rtt_us, cell, ..self.scenario.cache.clone() };
        Cache::start(spec, listens, self.clock, self.recorder.clone()).await
    }

    /// Stores the most popular keys in a cache, up to the share that the scenario's `warm_keys` sets.
    fn preload(&self, cache: &Cache) {
        for rank in 0..(self.scenario.load.keys as f64 * self.scenario.warm_keys) as usize {
            cache.preload(&format!("{:016x}", key(rank)), 0);
        }
    }

    fn cache_entry(&self, cache: &Cache, status: &str) -> Entry {
        let spec = &cache.spec;
        let addresses = self.addresses(|node| cache.address(node));
        entry(&spec.name, spec.zone.clone(), &spec.kind, spec.cell, addresses, status)
    }

    /// Returns the address at which each node reaches a server, by node name.
    fn addresses(&self, address: impl Fn(&str) -> Option<SocketAddr>) -> BTreeMap<String, SocketAddr> {
        self.names.iter().filter_map(|node| Some((node.clone(), address(node)?))).collect()
    }

    async fn reserve_addresses(&self) -> io::Result<ReservedAddresses> {
        let (mut listeners, mut sockets) = (Vec::new(), Vec::new());
        let (mut clients, mut peers, mut views) = (Vec::new(), Vec::new(), Vec::new());
        for name in &self.names {
            let listener = TcpListener::bind((self.ip, 0)).await?;
            clients.push((name.clone(), listener.local_addr()?));
            listeners.push(listener);
            if self.scenario.membership.is_some() {
                let listener = TcpListener::bind((self.ip, 0)).await?;
                views.push(listener.local_addr()?);
                listeners.push(listener);
            }
        }
        let absent = self.scenario.membership.as_ref().map_or(0, |spec| spec.absent_members);
        for number in 0..self.scenario.nodes + absent {
            let socket = UdpSocket::bind((self.ip, 0)).await?;
            peers.push((node_name(number), socket.local_addr()?));
            sockets.push(socket);
        }
        Ok(ReservedAddresses { clients, peers, views, listeners, sockets })
    }

    /// Starts the store of record, if the scenario has one, and writes the operator files.
    async fn start_store(
        &self,
        kind: &NodeKind,
    ) -> io::Result<(Option<Arc<stonevane_emulators::postgres::Postgres>>, NodeKinds)> {
        // An operator file given by the caller decides whether membership is enabled.
        let has_operator_file = matches!(kind, NodeKind::Process(Program { operator: Some(_), .. }));
        let members = self.scenario.membership.as_ref().filter(|_| !has_operator_file);
        let mut kind = kind.clone();
        let mut server = None;
        if let Some(spec) = &self.scenario.store {
            let store =
                StoreOfRecord::start(spec, self.scenario, self.folder, self.recorder, self.ip).await?;
            server = store.server;
            match &mut kind {
                NodeKind::Process(Program { operator: operator @ None, .. }) => {
                    *operator = Some(store.operator);
                }
                _ => {
                    return Err(io::Error::other(
                        "a scenario with a [store] section writes the operator file itself: run it on daemon processes without an operator file",
                    ));
                }
            }
        }
        let version_1_nodes =
            members.map_or(Vec::new(), |spec| spec.version_1_nodes.numbers(self.scenario.nodes));
        let kinds = NodeKinds {
            current: self.with_operator_sections(kind.clone(), members, 2)?,
            version_1: self.with_operator_sections(kind, members, 1)?,
            version_1_nodes,
        };
        Ok((server, kinds))
    }

    /// Appends the lab's sections to a copy of the operator file of a daemon.
    fn with_operator_sections(
        &self,
        mut kind: NodeKind,
        members: Option<&MembershipSpec>,
        version: u8,
    ) -> io::Result<NodeKind> {
        let mut sections = members.map_or(String::new(), |spec| membership_section(spec, version));
        if !self.scenario.startup_limit {
            sections += "[start]\nramp = false\n";
        }
        if let (false, NodeKind::Process(Program { operator, .. })) = (sections.is_empty(), &mut kind) {
            let text = operator.as_ref().map(std::fs::read_to_string).transpose()?.unwrap_or_default();
            let path: PathBuf = self.folder.join(format!("operator-of-form-{version}.toml"));
            std::fs::write(&path, format!("{text}\n{sections}"))?;
            *operator = Some(path);
        }
        Ok(kind)
    }

    /// Returns the configuration of each node as JSON.
    fn node_configs(
        &self,
        servers: &Servers,
        addresses: &ReservedAddresses,
        peers: &PeerNetwork,
    ) -> io::Result<Vec<String>> {
        let scenario = self.scenario;
        let config = |(number, (name, listen)): (usize, &(String, SocketAddr))| {
            let known: Box<serde_json::value::RawValue> =
                serde_json::from_str(&servers.discovery.known(name))?;
            let discovery = servers.discovery.address(name).ok_or_else(no_listener)?;
            let config = serde_json::json!({
                "name": name, "listen": listen.to_string(), "discovery": discovery.to_string(),
                "seed": format!("{:016x}", self.seed.wrapping_mul(31).wrapping_add(number as u64)),
                "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.sockets},
                "peer_listen": addresses.peers[number].1.to_string(),
                "peers": peers.peers(number).iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
                "peers_all": peers.broadcast().to_string(),
                "mgmt": addresses.views.get(number).map_or(String::new(), SocketAddr::to_string),
                "known": known, "settings": settings(scenario, number),
            });
            Ok(config.to_string())
        };
        addresses.clients.iter().enumerate().map(config).collect()
    }

    fn nodes(
        &self,
        servers: &Servers,
        addresses: &ReservedAddresses,
        peers: &PeerNetwork,
        kinds: &NodeKinds,
    ) -> io::Result<Vec<Node>> {
        let node = |(number, (name, listen)): (usize, &(String, SocketAddr))| {
            let known_cache = |cache: &Arc<Cache>| {
                Some(KnownCache { name: cache.spec.name.clone(), address: cache.address(name)? })
            };
            let stub = StubNode {
                name: name.clone(),
                listen: *listen,
                caches: servers.caches.iter().filter_map(known_cache).collect(),
                origin: servers.origin.address(name).ok_or_else(no_listener)?,
                discovery: servers.discovery.address(name).ok_or_else(no_listener)?,
            };
            let kind = match self.faulty_member(number, addresses, peers) {
                Some(member) => NodeKind::FaultyMember(member),
                None if kinds.version_1_nodes.contains(&number) => kinds.version_1.clone(),
                None => kinds.current.clone(),
            };
            Ok(Node::new(kind, stub, self.folder, self.recorder.clone()))
        };
        addresses.clients.iter().enumerate().map(node).collect()
    }

    /// Returns the faulty member that runs in a node's place, if the scenario has one there.
    fn faulty_member(
        &self,
        number: usize,
        addresses: &ReservedAddresses,
        peers: &PeerNetwork,
    ) -> Option<FaultyMember> {
        let spec = self.scenario.membership.as_ref()?;
        let faulty = spec.faulty_member.filter(|faulty| faulty.node == number)?;
        let period_us = spec.period.as_micros() as u64;
        let config = MemberConfig {
            number: number as u16,
            members: addresses.peers.len() as u16,
            period: period_us,
            probe_timeout: period_us / 2,
            key: spec.authenticated.then_some([KEY_BYTE; KEY_LEN_BYTES]),
            seed: self.seed,
            nonce: 1 + number as u32,
            ..MemberConfig::default()
        };
        let listen = addresses.peers[number].1;
        Some(FaultyMember { config, listen, peers: peers.peers(number).to_vec(), mutant: faulty.mutant })
    }
}

fn entry(
    name: &str,
    zone: String,
    kind: &str,
    group: u16,
    addresses: BTreeMap<String, SocketAddr>,
    status: &str,
) -> Entry {
    Entry {
        name: name.into(),
        addresses,
        zone,
        kind: kind.into(),
        group,
        status: status.into(),
        weight: 1.0,
        since: 0,
        index: 1,
    }
}
