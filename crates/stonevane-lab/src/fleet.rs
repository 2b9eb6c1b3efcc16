//! A fleet: stand-ins, nodes and what can be done to them.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stonevane_audit::{ClassRule, Event, Kind as ClassKind, Line, OriginRule, Rules, Scope};
use stonevane_standin::cache::{Cache, CacheSpec};
use stonevane_standin::client::{Clients, key};
use stonevane_standin::discovery::{Discovery, Entry, Trouble};
use stonevane_standin::origin::Origin;
use stonevane_standin::peers::{PeerNet, Weather};
use stonevane_standin::{Fault, Mono, Recorder, lock};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::crooked::Little;
use crate::nodes::{Kind, Node, NotReady};
use crate::scenario::{Act, Scenario, Step, cache_name, node_name};

/// How long a keyed write's repeats are dropped, microseconds.
const KEYED_US: u64 = 200_000;

/// An address of this machine for one lab: no other lab that runs beside it has the same.
pub fn lab_ip() -> IpAddr {
    static LABS: AtomicU32 = AtomicU32::new(0);
    let lab = LABS.fetch_add(1, Ordering::Relaxed);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (lab % 64) as u8, high, low))
}

/// A folder that goes with its fleet.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A fleet on loopback. Dropping it ends every process that it started.
pub struct Fleet {
    /// The caches, the origin, discovery and the network between nodes.
    pub caches: Vec<Arc<Cache>>,
    /// The origin.
    pub origin: Arc<Origin>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// The datagram network between nodes.
    pub peers: PeerNet,
    /// The nodes.
    pub nodes: Mutex<Vec<Node>>,
    /// What each is told at its start.
    configs: Vec<String>,
    /// Where clients connect.
    pub targets: Vec<(String, SocketAddr)>,
    late: Mutex<Duration>,
    recorder: Recorder,
    folder: Folder,
}

/// The rules that a scenario's fleet is held to.
pub fn rules(scenario: &Scenario) -> Rules {
    let class =
        |name: &str, kind| ClassRule { name: name.into(), kind, scope: Scope::All, window_us: KEYED_US };
    let origin = &scenario.origin;
    Rules {
        fall_multiple: scenario.cache.fall_multiple,
        fall_us: scenario.cache.fall_us,
        classes: vec![
            class("zone-lookup", ClassKind::Safe),
            class("zone-edit", ClassKind::Keyed),
            class("zone-move", ClassKind::Unsafe),
        ],
        origin: OriginRule {
            capacity_us_per_s: origin.slots as f64 * 1e6,
            fall_multiple: origin.fall_multiple,
            fall_us: origin.fall_us,
            ..OriginRule::default()
        },
        ..Rules::default()
    }
}

/// The settings of a deployment, as a node's configuration holds them.
fn settings(scenario: &Scenario, me: usize) -> serde_json::Value {
    let cache = &scenario.cache;
    let aim = |deadline_us: u64| deadline_us / 2;
    let classes = scenario.load.classes.iter().map(|class| {
        let deadline = class.deadline_ms * 1_000;
        let effect = match (class.write, class.keyed) {
            (false, _) => "pure",
            (true, true) => "token",
            (true, false) => "side_effect",
        };
        serde_json::json!({"name": class.name, "goalTimeUs": aim(deadline), "deadlineUs": deadline, "gain": 1.0,
            "lateValue": 0.5, "effect": effect, "dedupScope": "all", "dedupWindowUs": KEYED_US})
    });
    let classes: Vec<_> = classes.collect();
    let tenants = scenario.load.tenants.iter().map(|(name, share)| {
        serde_json::json!({"name": name, "quotaPerS": (2.0 * share * scenario.load.per_s).max(20.0), "fraction": share})
    });
    let tenants: Vec<_> = tenants.collect();
    serde_json::json!({
        "balancers": scenario.nodes, "me": me, "zone": 0, "zones": ["a"], "classes": classes, "realms": tenants,
        "machineTypes": [cache.kind, scenario.origin.kind],
        "discovery": if scenario.pushed { "push" } else { "ask" },
        "specifics": {"mode": "aside", "originKind": 1},
        "limits": {"maxAttempts": 4, "mayCancel": true, "mayDuplicate": true, "connectTimeoutUs": 100_000,
            "idleCloseUs": cache.idle_us, "retryAfter": true, "maxRetryAfterUs": 1_500_000},
        "guarantees": {"askWithinUs": 6_000_000, "coldShare": cache.cold_share, "coldUs": cache.warm_us,
            "drainGraceUs": 500_000, "fallMultiple": cache.fall_multiple, "tipAfterUs": cache.fall_us},
        "periodUs": 2_000,
    })
}

async fn free_port(ip: IpAddr) -> io::Result<SocketAddr> {
    // The address is this lab's own, so that nobody takes the port meanwhile.
    TcpListener::bind((ip, 0)).await?.local_addr()
}

impl Fleet {
    /// Starts the stand-ins and the nodes, and waits until all are ready.
    ///
    /// # Errors
    /// Where a port, a file or a process can't be had, or a node does not become ready.
    pub async fn start(
        scenario: &Scenario,
        kind: &Kind,
        seed: u64,
        mono: &Mono,
        recorder: &Recorder,
    ) -> io::Result<Fleet> {
        let ip = lab_ip();
        let name = format!("stonevane-lab-{}-{}", std::process::id(), ip.to_string().replace('.', "-"));
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0)?;
        let names: Vec<String> = (0..scenario.nodes).map(node_name).collect();
        let doors: Vec<(String, SocketAddr)> =
            names.iter().map(|name| (name.clone(), (ip, 0).into())).collect();
        let mut caches = Vec::new();
        let mut entries = Vec::new();
        let entry = |name: &str, zone: &str, kind: &str, group, addresses| Entry {
            name: name.into(),
            addresses,
            zone: zone.into(),
            kind: kind.into(),
            group,
            status: "active".into(),
            weight: 1.0,
            since: 0,
            index: 1,
        };
        let at = |address: &dyn Fn(&str) -> Option<SocketAddr>| -> BTreeMap<String, SocketAddr> {
            names.iter().filter_map(|node| Some((node.clone(), address(node)?))).collect()
        };
        for number in 0..scenario.caches {
            let spec =
                CacheSpec { name: cache_name(number), cell: number as u16 / 4, ..scenario.cache.clone() };
            let cache = Cache::start(spec, &doors, mono, recorder.clone()).await?;
            let addresses = at(&|node| cache.address(node));
            entries.push(entry(
                &cache.spec.name,
                &cache.spec.zone,
                &cache.spec.kind,
                cache.spec.cell,
                addresses,
            ));
            for rank in 0..(scenario.load.keys as f64 * scenario.warm_keys) as usize {
                cache.hold(&format!("{:016x}", key(rank)), 0);
            }
            caches.push(cache);
        }
        let origin = Origin::start(scenario.origin.clone(), &doors, mono, recorder.clone()).await?;
        origin.attach(&caches);
        let addresses = at(&|node| origin.address(node));
        entries.push(entry(&origin.spec.name, "a", &origin.spec.kind, u16::MAX, addresses));
        let discovery = Discovery::start(&doors, recorder.clone(), entries, scenario.call).await?;
        let mut targets = Vec::new();
        let mut peer_listens = Vec::new();
        for name in &names {
            targets.push((name.clone(), free_port(ip).await?));
            peer_listens.push((name.clone(), UdpSocket::bind((ip, 0)).await?.local_addr()?));
        }
        let peers = PeerNet::start(&peer_listens, ip, seed).await?;
        let (mut nodes, mut configs) = (Vec::new(), Vec::new());
        for (number, (name, listen)) in targets.iter().enumerate() {
            let missing = || io::Error::other("a stand-in has no door for a node");
            let known: Box<serde_json::value::RawValue> = serde_json::from_str(&discovery.known(name))?;
            let discovered = discovery.address(name).ok_or_else(missing)?;
            let config = serde_json::json!({
                "name": name, "listen": listen.to_string(), "discovery": discovered.to_string(),
                "seed": format!("{:016x}", seed.wrapping_mul(31).wrapping_add(number as u64)),
                "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.sockets},
                "peer_listen": peer_listens[number].1.to_string(),
                "peers": peers.peers(number).iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
                "peers_all": peers.peers_all(number).to_string(),
                "known": known, "settings": settings(scenario, number),
            });
            configs.push(config.to_string());
            let cached = caches.iter().filter_map(|c| Some((c.spec.name.clone(), c.address(name)?)));
            let little = Little {
                name: name.clone(),
                listen: *listen,
                caches: cached.collect(),
                origin: origin.address(name).ok_or_else(missing)?,
                discovery: discovered,
            };
            nodes.push(Node::new(kind.clone(), little, &folder.0, recorder.clone()));
        }
        for (node, config) in nodes.iter_mut().zip(&configs) {
            node.start(config).await?;
        }
        for node in &mut nodes {
            node.ready().await.map_err(not_ready)?;
        }
        Ok(Fleet {
            caches,
            origin,
            discovery,
            peers,
            nodes: Mutex::new(nodes),
            configs,
            targets,
            late: Mutex::new(scenario.late),
            recorder: recorder.clone(),
            folder,
        })
    }

    /// Where the logs of its nodes are, for as long as it lives.
    pub fn folder(&self) -> &Path {
        &self.folder.0
    }

    /// Processes of its nodes.
    pub fn pids(&self) -> Vec<u32> {
        lock(&self.nodes).iter().filter_map(Node::pid).collect()
    }

    /// Writes down that something was done.
    pub fn note(&self, words: &str) {
        let (t, who, event, state) = (Mono::at(), "lab".into(), Event::Fault, words.to_owned());
        self.recorder.line(Line { t, who, event, state, ..Line::default() });
    }

    fn cache(&self, name: &str) -> Option<&Arc<Cache>> {
        self.caches.iter().find(|cache| cache.spec.name == name)
    }

    fn late(&self) -> Duration {
        *lock(&self.late)
    }

    /// Does a step, waits for as long as it lasts, and takes it back.
    pub async fn step(&self, step: &Step, clients: &Clients) {
        self.note(&step.words);
        let lasts = if step.lasts.is_zero() { Duration::from_secs(3_600) } else { step.lasts };
        match &step.what {
            Act::Server { server, fault, node } => {
                let cache = self.cache(server);
                let set = |fault| match cache {
                    Some(cache) => cache.fault(node.as_deref(), fault),
                    None => self.origin.fault(node.as_deref(), fault),
                };
                set(*fault);
                let dies = *fault == Fault::Dead && node.is_none();
                if dies {
                    self.discovery.change(server, "left", None, self.late());
                }
                tokio::time::sleep(lasts).await;
                match cache.filter(|_| dies) {
                    Some(cache) => {
                        let since = cache.restart();
                        self.discovery.change(server, "active", Some(since), self.late());
                    }
                    None => {
                        set(Fault::None);
                        if dies {
                            self.discovery.change(server, "active", None, self.late());
                        }
                    }
                }
            }
            Act::Drain(name) => {
                self.discovery.change(name, "leaving", None, self.late());
                // What nodes may still send within their grace is worked on.
                tokio::time::sleep((self.late() + Duration::from_millis(700)).min(lasts)).await;
                let Some(cache) = self.cache(name) else { return };
                cache.drain(true);
                tokio::time::sleep(lasts.saturating_sub(self.late() + Duration::from_millis(700))).await;
                cache.fault(None, Fault::Dead);
                self.discovery.change(name, "left", None, self.late());
            }
            Act::OriginStop => self.origin.stop(lasts.as_micros() as u64),
            Act::NodeKill(node) => {
                lock(&self.nodes)[*node].kill();
                tokio::time::sleep(lasts).await;
                self.again(*node).await;
            }
            Act::NodeTerm(node) => {
                clients.ending(*node, true);
                lock(&self.nodes)[*node].term();
                self.wait_end(*node, Duration::from_millis(3_700)).await;
                tokio::time::sleep(step.lasts).await;
                self.again(*node).await;
                clients.ending(*node, false);
            }
            Act::Discovery(trouble) => {
                self.discovery.trouble(*trouble);
                tokio::time::sleep(lasts).await;
                self.discovery.trouble(Trouble::None);
            }
            Act::Late(late) => {
                let before = std::mem::replace(&mut *lock(&self.late), *late);
                tokio::time::sleep(lasts).await;
                *lock(&self.late) = before;
            }
            Act::Clock(by) => {
                self.discovery.step(*by);
                tokio::time::sleep(lasts).await;
                self.discovery.step(0);
            }
            Act::Peers { loss, duplicate, delay_ms } => {
                let delay = (Duration::from_millis(delay_ms.0), Duration::from_millis(delay_ms.1));
                self.peers.set(Weather { loss: *loss, duplicate: *duplicate, delay, ..Weather::default() });
                tokio::time::sleep(lasts).await;
                self.peers.set(Weather::default());
            }
            Act::Partition(groups) => {
                self.partition(groups, Fault::Silent);
                self.peers.set(Weather { parts: groups.clone(), ..Weather::default() });
                tokio::time::sleep(lasts).await;
                self.peers.set(Weather::default());
                self.partition(groups, Fault::None);
            }
            Act::Flood { node, count } => {
                let mut idle = Vec::new();
                for _ in 0..*count {
                    let connect = TcpStream::connect(self.targets[*node].1);
                    match tokio::time::timeout(Duration::from_millis(50), connect).await {
                        Ok(Ok(stream)) => idle.push(stream),
                        _ => tokio::time::sleep(Duration::from_millis(5)).await,
                    }
                }
                tokio::time::sleep(lasts).await;
            }
        }
        if !step.lasts.is_zero() {
            self.note(&format!("end of {}", step.words));
        }
    }

    fn partition(&self, groups: &[Vec<String>], fault: Fault) {
        let part = |name: &str| groups.iter().position(|group| group.iter().any(|other| other == name));
        for (node, _) in &self.targets {
            let apart = |server: &str| {
                let (one, other) = (part(node), part(server));
                one.is_some() && other.is_some() && one != other
            };
            for cache in self.caches.iter().filter(|cache| apart(&cache.spec.name)) {
                cache.fault(Some(node), fault);
            }
            if apart(&self.origin.spec.name) {
                self.origin.fault(Some(node), fault);
            }
        }
    }

    async fn wait_end(&self, node: usize, limit: Duration) {
        let end = Mono::now() + limit.as_micros() as u64;
        loop {
            let ended = lock(&self.nodes)[node].ended();
            if let Some(status) = ended {
                return lock(&self.nodes)[node].note_end(status);
            }
            if Mono::now() >= end {
                return lock(&self.nodes)[node].kill();
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// A node starts again with the list of the fleet's start, which may be old by now.
    async fn again(&self, node: usize) {
        let Some(mut taken) = ({
            let mut nodes = lock(&self.nodes);
            (node < nodes.len()).then(|| nodes.remove(node))
        }) else {
            return;
        };
        let started = taken.start(&self.configs[node]).await;
        if started.is_err() || taken.ready().await.is_err() {
            self.note(&format!("{} did not come back", taken.name));
        }
        lock(&self.nodes).insert(node, taken);
    }

    /// Notes nodes that have ended though nobody asked them to.
    pub fn look(&self) {
        for node in lock(&self.nodes).iter_mut().filter(|node| node.lives()) {
            if let Some(status) = node.ended() {
                node.note_end(status);
            }
        }
    }

    /// Ends all nodes by SIGTERM, and those that don't end by SIGKILL.
    pub async fn end(&self) {
        lock(&self.nodes).iter_mut().for_each(Node::term);
        for node in 0..self.targets.len() {
            self.wait_end(node, Duration::from_millis(3_700)).await;
        }
    }
}

fn not_ready(e: NotReady) -> io::Error {
    io::Error::other(format!("node {} did not become ready within 10 s; its log ends: {}", e.node, e.log))
}
