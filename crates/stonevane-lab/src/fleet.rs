//! A fleet: stand-ins, nodes and what can be done to them.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oorandom::Rand64;
use stonevane_audit::{
    ClassRule, Event, Kind as ClassKind, Line, MembershipRules, OriginRule, Rules, Scope, Span,
};
use stonevane_emulators::cache::{Cache, CacheSpec};
use stonevane_emulators::client::{Clients, key};
use stonevane_emulators::discovery::{Discovery, Entry, Trouble};
use stonevane_emulators::origin::{Origin, OriginSpec};
use stonevane_emulators::peers::{PeerNet, Weather};
use stonevane_emulators::postgres::{PgFault, Postgres};
use stonevane_emulators::{Fault, Mono, Recorder, lock};
use stonevane_membership::Setup;
use stonevane_server_model::value::padded;
use stonevane_store::{Edit, Sqlite, Store, postgres, sqlite};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::crooked::Little;
use crate::faults::Faults;
use crate::member::{Member, forged};
use crate::nodes::{Kind, Node, NotReady, Program, ping};
use crate::scenario::{
    Act, DISCOVERY, MembersSpec, Scenario, Step, StoreSpec, ToNode, Who, cache_name, node_name,
};
use crate::table::{Life, State, Table};

/// How long a keyed write's repeats are dropped, microseconds.
const KEYED_US: u64 = 200_000;

/// A node ends this long after SIGTERM at the latest: the longest deadline and 0.7 s, microseconds.
const EXIT_US: u64 = 3_700_000;

/// Nodes that are started at once.
const BATCH: usize = 32;
/// A slow process has its part of each of these.
const SLICE: Duration = Duration::from_millis(100);

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

/// The nodes of a fleet, each at its number's place for good.
pub struct Nodes {
    table: Table,
    all: Vec<Node>,
    /// The life of each in which it has been ready.
    served: Vec<Life>,
}

impl Nodes {
    /// Starts a node that is dead and held by nobody.
    fn start(&mut self, node: usize, config: &str) -> io::Result<Option<Life>> {
        let Some(life) = self.table.start(node) else { return Ok(None) };
        match self.all[node].start(config) {
            Ok(()) => Ok(Some(life)),
            Err(e) => {
                self.table.ended(node, life);
                Err(e)
            }
        }
    }

    /// Notes that a node has ended, where it has.
    fn look(&mut self, node: usize) {
        let (state, life) = self.table.get(node);
        if state == State::Dead {
            return;
        }
        if let Some((t, status)) = self.all[node].ended() {
            self.table.ended(node, life);
            let asked = state == State::Ending;
            let was_ready = self.served[node] == life;
            self.all[node].note_end(t, status.filter(|_| asked), was_ready);
        }
    }

    fn kill(&mut self, node: usize) {
        if self.table.kill(node).is_some() {
            self.all[node].kill();
        }
    }
}

/// A fleet on loopback. Dropping it ends every process that it started.
pub struct Fleet {
    /// The caches, the origin, discovery and the network between nodes.
    pub caches: Vec<Arc<Cache>>,
    /// The origin.
    pub origin: Arc<Origin>,
    /// What stands in the origin's place, where something does.
    pub store: Option<Arc<Postgres>>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// The datagram network between nodes.
    pub peers: PeerNet,
    /// The nodes, and the state of each: both are changed together.
    pub nodes: Mutex<Nodes>,
    /// What each is told at its start.
    configs: Vec<String>,
    /// Where clients connect.
    pub targets: Vec<(String, SocketAddr)>,
    faults: Mutex<Faults>,
    /// Successors that have not started yet, with the fault that keeps each down.
    standby: Mutex<BTreeMap<String, u64>>,
    late: Mutex<Duration>,
    recorder: Recorder,
    folder: Folder,
    /// Where each node listens for others, and where it is asked for its view.
    peer_listens: Vec<SocketAddr>,
    views: Vec<SocketAddr>,
    membership: Option<MembersSpec>,
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
        store: scenario.store.is_some(),
        visible_us: scenario.store.as_ref().filter(|store| !store.placement).map_or(0, |s| s.copy_ms * 1_000),
        exit_us: EXIT_US,
        max_attempts: scenario.max_attempts,
        second_copies: scenario.second_copies,
        membership: membership(scenario),
        ..Rules::default()
    }
}

fn membership(scenario: &Scenario) -> MembershipRules {
    let Some(spec) = &scenario.membership else { return MembershipRules::default() };
    let members = scenario.nodes + spec.strangers;
    let periods = spec.bounds(members).map(|periods| periods * spec.period.as_micros() as u64);
    let [detect_us, accuse_us, refute_us, converge_us] = periods;
    MembershipRules { members, detect_us, accuse_us, refute_us, converge_us }
}

/// What an operator writes of membership.
fn fleet_section(spec: &MembersSpec, speaks: u8) -> String {
    let (period, answer) = (spec.period.as_millis(), spec.period.as_millis() / 2);
    let key = if spec.keyed { format!("key = \"{}\"\n", "5a".repeat(32)) } else { String::new() };
    let health = spec.heeds_health;
    format!(
        "[fleet]\nperiod_ms = {period}\nanswer_ms = {answer}\nheeds_health = {health}\nspeaks = {speaks}\n{key}"
    )
}

/// Starts a store of record with zones in it, and writes the operator file by which nodes use it.
async fn stored(
    spec: &StoreSpec,
    scenario: &Scenario,
    folder: &Path,
    recorder: &Recorder,
    ip: IpAddr,
) -> io::Result<(Option<Arc<Postgres>>, PathBuf)> {
    let mut server = None;
    let (place, store): (String, Box<dyn Store>) = if spec.sqlite {
        let file = folder.join("zones.db");
        let store = Sqlite::open(&file, &sqlite::Options::default()).map_err(io::Error::other)?;
        (format!("sqlite = {:?}", file.display().to_string()), Box::new(store))
    } else {
        let started = Postgres::start(ip).await?;
        started.record(recorder.clone());
        let url = started.url();
        let store = stonevane_store::Postgres::new(&url, postgres::Options::default());
        server = Some(started);
        (format!("postgres = {url:?}"), Box::new(store.map_err(io::Error::other)?))
    };
    for rank in 0..spec.holds.min(scenario.load.keys) {
        let key = format!("{:016x}", key(rank));
        let value = padded(&format!("{key}.first"), 24).into_bytes();
        store.edit(Edit { key, value, token: None, remember_ms: 0 }).await.map_err(io::Error::other)?;
    }
    let path = folder.join("operator.toml");
    let visibility = if spec.placement { "placement" } else { "store" };
    let text = format!(
        "[store]\n{place}\nstall_ms = {}\nfills = {}\nshare_fetches = {}\nedit_visibility = \"{visibility}\"\ncopy_ms = {}\n",
        spec.stall_ms, spec.fills, spec.shares, spec.copy_ms
    );
    std::fs::write(&path, text)?;
    Ok((server, path))
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
    let tenants = scenario.load.tenants.iter().zip(&scenario.shares).map(|((name, _), share)| {
        let quota = (scenario.quota * share * scenario.load.per_s).max(20.0);
        serde_json::json!({"name": name, "quotaPerS": quota, "fraction": share})
    });
    let tenants: Vec<_> = tenants.collect();
    let attempts = if scenario.max_attempts == 0 { 100 } else { scenario.max_attempts };
    serde_json::json!({
        "balancers": scenario.nodes, "me": me, "zone": me % scenario.sites.len().max(1),
        "zones": scenario.zones(), "classes": classes, "realms": tenants,
        "machineTypes": [cache.kind, scenario.origin.kind],
        "discovery": if scenario.pushed { "push" } else { "ask" },
        "specifics": {"mode": "aside", "originKind": 1},
        "limits": {"maxAttempts": attempts, "peers": scenario.membership.is_some(), "mayCancel": true, "mayDuplicate": scenario.second_copies, "connectTimeoutUs": 100_000,
            "idleCloseUs": cache.idle_us, "retryAfter": true, "maxRetryAfterUs": 1_500_000},
        "guarantees": {"askWithinUs": 6_000_000, "coldShare": cache.cold_share, "coldUs": cache.warm_us,
            "drainGraceUs": 500_000, "fallMultiple": cache.fall_multiple, "tipAfterUs": cache.fall_us},
        "periodUs": 2_000,
    })
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
    ) -> io::Result<Arc<Fleet>> {
        let ip = lab_ip();
        let name = format!("stonevane-lab-{}-{}", std::process::id(), ip.to_string().replace('.', "-"));
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0)?;
        let names: Vec<String> = (0..scenario.nodes).map(node_name).collect();
        let doors: Vec<(String, SocketAddr)> =
            names.iter().map(|name| (name.clone(), (ip, 0).into())).collect();
        let missing = || io::Error::other("a stand-in has no door for a node");
        let mut caches = Vec::new();
        let mut entries: Vec<Entry> = Vec::new();
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
        // Those that serve at the start, and successors whose machines are there already.
        let names_of = (0..scenario.caches).map(|number| (number, cache_name(number), true));
        let later = scenario.successors().into_iter().map(|(number, name)| (number, name, false));
        for (number, name, serves) in names_of.chain(later) {
            let zone = scenario.zone(number);
            let far_us = scenario.far(&zone, &names);
            let spec = CacheSpec { name, zone, far_us, cell: number as u16 / 4, ..scenario.cache.clone() };
            let cache = Cache::start(spec, &doors, mono, recorder.clone()).await?;
            let addresses = at(&|node| cache.address(node));
            entries.push(entry(
                &cache.spec.name,
                &cache.spec.zone,
                &cache.spec.kind,
                cache.spec.cell,
                addresses,
            ));
            if !serves {
                // Nobody has heard of it, and nothing answers at its address.
                "left".clone_into(&mut entries.last_mut().ok_or_else(missing)?.status);
                caches.push(cache);
                continue;
            }
            for rank in 0..(scenario.load.keys as f64 * scenario.warm_keys) as usize {
                cache.hold(&format!("{:016x}", key(rank)), 0);
            }
            caches.push(cache);
        }
        let far_us = scenario.far(&scenario.zone(0), &names);
        let spec = OriginSpec { far_us, ..scenario.origin.clone() };
        let origin = Origin::start(spec, &doors, mono, recorder.clone()).await?;
        origin.attach(&caches);
        let addresses = at(&|node| origin.address(node));
        entries.push(entry(&origin.spec.name, &scenario.zone(0), &origin.spec.kind, u16::MAX, addresses));
        let discovery = Discovery::start(&doors, recorder.clone(), entries, scenario.list_service).await?;
        let mut targets = Vec::new();
        let (mut peer_listens, mut views) = (Vec::new(), Vec::new());
        // Against two nodes, or a node and a stand-in, with one port: each is held until the nodes start. The address
        // is this lab's own, so that nobody else takes it then.
        let (mut held, mut held_for_peers) = (Vec::new(), Vec::new());
        for name in &names {
            let listener = TcpListener::bind((ip, 0)).await?;
            targets.push((name.clone(), listener.local_addr()?));
            held.push(listener);
            if scenario.membership.is_some() {
                let listener = TcpListener::bind((ip, 0)).await?;
                views.push(listener.local_addr()?);
                held.push(listener);
            }
            let socket = UdpSocket::bind((ip, 0)).await?;
            peer_listens.push((name.clone(), socket.local_addr()?));
            held_for_peers.push(socket);
        }
        let strangers = scenario.membership.as_ref().map_or(0, |spec| spec.strangers);
        for number in 0..strangers {
            let socket = UdpSocket::bind((ip, 0)).await?;
            peer_listens.push((node_name(scenario.nodes + number), socket.local_addr()?));
            held_for_peers.push(socket);
        }
        let peers = PeerNet::start(&peer_listens, ip, seed).await?;
        let mut kind = kind.clone();
        // An operator file that the caller gives says itself whether nodes know of one another.
        let given = matches!(&kind, Kind::Process(Program { operator: Some(_), .. }));
        let mut store = None;
        if let Some(spec) = &scenario.store {
            let (server, path) = stored(spec, scenario, &folder.0, recorder, ip).await?;
            store = server;
            match &mut kind {
                Kind::Process(Program { operator: operator @ None, .. }) => *operator = Some(path),
                _ => return Err(io::Error::other("a scenario with a store brings its own operator file")),
            }
        }
        let members = scenario.membership.as_ref().filter(|_| !given);
        let mut older = kind.clone();
        for (kind, speaks) in [(&mut kind, 2), (&mut older, 1)] {
            let mut sections = members.map_or(String::new(), |spec| fleet_section(spec, speaks));
            if !scenario.ramp {
                sections += "[start]\nramp = false\n";
            }
            if let (false, Kind::Process(Program { operator, .. })) = (sections.is_empty(), kind) {
                // Behind what the scenario's store has written, or what the caller gives.
                let text = operator.as_ref().map(std::fs::read_to_string).transpose()?.unwrap_or_default();
                let path = folder.0.join(format!("operator-of-form-{speaks}.toml"));
                std::fs::write(&path, format!("{text}\n{sections}"))?;
                *operator = Some(path);
            }
        }
        let first = members.map_or(Vec::new(), |spec| spec.speak_first.numbers(scenario.nodes));
        let (mut nodes, mut configs) = (Vec::new(), Vec::new());
        for (number, (name, listen)) in targets.iter().enumerate() {
            let known: Box<serde_json::value::RawValue> = serde_json::from_str(&discovery.known(name))?;
            let discovered = discovery.address(name).ok_or_else(missing)?;
            let config = serde_json::json!({
                "name": name, "listen": listen.to_string(), "discovery": discovered.to_string(),
                "seed": format!("{:016x}", seed.wrapping_mul(31).wrapping_add(number as u64)),
                "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.sockets},
                "peer_listen": peer_listens[number].1.to_string(),
                "peers": peers.peers(number).iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
                "peers_all": peers.peers_all().to_string(),
                "mgmt": views.get(number).map_or(String::new(), SocketAddr::to_string),
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
            let crooked = scenario.membership.as_ref().and_then(|spec| Some((spec, spec.crooked?)));
            let kind = match crooked.filter(|(_, (at, _))| *at == number) {
                None if first.contains(&number) => older.clone(),
                None => kind.clone(),
                Some((spec, (_, mutant))) => Kind::Member(Member {
                    setup: Setup {
                        number: number as u16,
                        members: peer_listens.len() as u16,
                        period: spec.period.as_micros() as u64,
                        probe_timeout: spec.period.as_micros() as u64 / 2,
                        key: spec.keyed.then_some([0x5a; 32]),
                        seed,
                        nonce: 1 + number as u32,
                        ..Setup::default()
                    },
                    listen: peer_listens[number].1,
                    peers: peers.peers(number).to_vec(),
                    mutant,
                }),
            };
            nodes.push(Node::new(kind, little, &folder.0, recorder.clone()));
        }
        let count = nodes.len();
        let nodes = Nodes { table: Table::new(count), all: nodes, served: vec![0; count] };
        let fleet = Fleet {
            caches,
            origin,
            store,
            discovery,
            peers,
            nodes: Mutex::new(nodes),
            configs,
            targets,
            faults: Mutex::default(),
            standby: Mutex::default(),
            late: Mutex::new(scenario.late),
            recorder: recorder.clone(),
            folder,
            peer_listens: peer_listens.into_iter().map(|(_, listen)| listen).collect(),
            views,
            membership: scenario.membership.clone(),
        };
        for (_, name) in scenario.successors() {
            let mut faults = lock(&fleet.faults);
            let number = faults.begin(&name, None, Fault::Dead);
            fleet.show(&name, &faults);
            lock(&fleet.standby).insert(name, number);
        }
        drop((held, held_for_peers));
        for first in (0..count).step_by(BATCH) {
            let batch = first..count.min(first + BATCH);
            let mut lives = Vec::new();
            for node in batch.clone() {
                lives.push(lock(&fleet.nodes).start(node, &fleet.configs[node])?);
            }
            for (node, life) in batch.zip(lives) {
                if !fleet.ready(node, life.unwrap_or(0)).await {
                    return Err(not_ready(lock(&fleet.nodes).all[node].not_ready()));
                }
            }
            tracing::info!(ready = count.min(first + BATCH), of = count, "nodes");
        }
        Ok(Arc::new(fleet))
    }

    /// Waits until a life of a node is ready, for ten seconds at the most; whether it is, and has not ended
    /// meanwhile.
    async fn ready(&self, node: usize, life: Life) -> bool {
        let (listen, end) = (self.targets[node].1, Mono::now() + 10_000_000);
        while Mono::now() < end {
            let begun = Mono::now();
            let answers = ping(listen).await.unwrap_or(false);
            if let Some(ready) = self.settle(node, life, answers.then_some(begun)) {
                return ready;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        false
    }

    /// What became of a life that starts, and has answered to a question of that moment: whether it is ready, or
    /// `None` where it still starts.
    fn settle(&self, node: usize, life: Life, answered: Option<u64>) -> Option<bool> {
        let mut nodes = lock(&self.nodes);
        nodes.look(node);
        if !nodes.table.is(node, life, State::Starting) {
            return Some(false);
        }
        let begun = answered?;
        nodes.table.ready(node, life);
        nodes.served[node] = life;
        nodes.all[node].is_ready(Span { begun, ended: Mono::now() });
        Some(true)
    }

    /// Where the logs of its nodes are, for as long as it lives.
    pub fn folder(&self) -> &Path {
        &self.folder.0
    }

    /// Processes of its nodes.
    pub fn pids(&self) -> Vec<u32> {
        lock(&self.nodes).all.iter().filter_map(Node::pid).collect()
    }

    /// Writes down that something was done.
    pub fn note(&self, words: &str) {
        tracing::info!(words, "lab");
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
    pub async fn step(self: &Arc<Self>, step: &Step, clients: &Arc<Clients>) {
        self.note(&step.words);
        let lasts = if step.lasts.is_zero() { Duration::from_secs(3_600) } else { step.lasts };
        match &step.what {
            Act::Server { server, fault, node } => {
                let number = self.begin(server, node.as_deref(), *fault);
                tokio::time::sleep(lasts).await;
                self.end_fault(server, number);
            }
            Act::Drain(name) => {
                self.drained(name, lasts).await;
                self.begin(name, None, Fault::Dead);
            }
            Act::Replace { server, successor } => {
                // Its successor is a machine of its own, which starts cold when the old one wants nothing new.
                let Some(number) = lock(&self.standby).remove(successor) else { return };
                self.end_fault(successor, number);
                self.drained(server, lasts).await;
                self.begin(server, None, Fault::Dead);
            }
            Act::OriginStop => {
                self.origin.stop(lasts.as_micros() as u64);
                tokio::time::sleep(lasts).await;
            }
            Act::Store(fault) => {
                let set = |fault| self.store.iter().for_each(|store| store.fault(fault));
                set(*fault);
                tokio::time::sleep(lasts).await;
                set(PgFault::None);
            }
            Act::Nodes { who, what, stagger } => {
                let mut each = tokio::task::JoinSet::new();
                for (turn, node) in who.numbers(self.targets.len()).into_iter().enumerate() {
                    let (own, clients, what) = (self.clone(), clients.clone(), *what);
                    let (stagger, step) = (*stagger * turn as u32, step.lasts);
                    each.spawn(async move {
                        tokio::time::sleep(stagger).await;
                        own.to_node(node, what, lasts, step, &clients).await;
                    });
                }
                while each.join_next().await.is_some() {}
            }
            Act::Cut { from, to } => {
                let cut = self.cut(from, to);
                tokio::time::sleep(lasts).await;
                self.uncut(cut);
            }
            Act::Forge { who, per_s } => {
                let _ = tokio::time::timeout(lasts, self.forge(who, *per_s)).await;
            }
            Act::OldPeers { node, misses, moved } => {
                let moved = moved.numbers(self.targets.len());
                if let Err(e) = self.old_peers(*node, *misses, &moved, lasts).await {
                    self.note(&format!("no old list of peers: {e}"));
                }
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
            Act::Peers { from, to, loss, duplicate, delay_ms } => {
                let delay = (Duration::from_millis(delay_ms.0), Duration::from_millis(delay_ms.1));
                let names = |who: &Who| who.numbers(self.targets.len()).into_iter().map(node_name).collect();
                let (from, to) = (names(from), names(to));
                let period = self.membership.as_ref().map_or(delay.1, |spec| spec.period);
                let mild = *loss <= 0.1 && delay.1 <= period / 20;
                let number =
                    self.peers.begin(Weather { from, to, loss: *loss, duplicate: *duplicate, delay });
                self.weather(if mild { "mild" } else { "severe" });
                tokio::time::sleep(lasts).await;
                self.peers.end(number);
                self.weather(if mild { "mild-ends" } else { "severe-ends" });
            }
            Act::Partition(groups) => {
                let silent = |(node, server): &(String, String)| {
                    (server.clone(), self.begin(server, Some(node), Fault::Silent))
                };
                let cut: Vec<_> = self.apart(groups).iter().map(silent).collect();
                let named = |name: &String| self.targets.iter().any(|(node, _)| node == name);
                let nodes = |group: &Vec<String>| group.iter().filter(|name| named(name)).cloned().collect();
                let nodes: Vec<Vec<String>> = groups.iter().map(nodes).collect();
                let pairs = (0..nodes.len()).flat_map(|one| (0..nodes.len()).map(move |other| (one, other)));
                let pairs = pairs.filter(|(one, other)| one != other);
                let cuts: Vec<Cuts> =
                    pairs.map(|(one, other)| self.cut(&nodes[one], &nodes[other])).collect();
                tokio::time::sleep(lasts).await;
                cuts.into_iter().for_each(|cut| self.uncut(cut));
                cut.iter().for_each(|(server, number)| self.end_fault(server, *number));
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

    /// Does something to a node, for as long as it lasts.
    async fn to_node(&self, node: usize, what: ToNode, lasts: Duration, step: Duration, clients: &Clients) {
        match what {
            ToNode::Kill => {
                lock(&self.nodes).kill(node);
                tokio::time::sleep(lasts).await;
                self.release(node, &self.configs[node]).await;
            }
            ToNode::Term => {
                clients.ending(node, true);
                self.term(node).await;
                tokio::time::sleep(step).await;
                self.release(node, &self.configs[node]).await;
                clients.ending(node, false);
            }
            ToNode::Pause => {
                let Some(life) = self.stop(node, true) else { return };
                tokio::time::sleep(lasts).await;
                self.go_on(node, life, true);
            }
            ToNode::Slow(share) => {
                let life = {
                    let nodes = lock(&self.nodes);
                    nodes.all[node].slowed(true);
                    nodes.table.get(node).1
                };
                let end = Mono::now() + lasts.as_micros() as u64;
                while Mono::now() < end && lock(&self.nodes).table.get(node).1 == life {
                    if self.stop(node, false) != Some(life) {
                        break;
                    }
                    tokio::time::sleep(SLICE.mul_f64(1.0 - share)).await;
                    self.go_on(node, life, false);
                    tokio::time::sleep(SLICE.mul_f64(share)).await;
                }
                lock(&self.nodes).all[node].slowed(false);
            }
        }
    }

    /// Stops a node's process; the life that it is.
    fn stop(&self, node: usize, told: bool) -> Option<Life> {
        let mut nodes = lock(&self.nodes);
        let (life, ran) = nodes.table.stop(node)?;
        if ran || told {
            nodes.all[node].stop(true, told);
        }
        Some(life)
    }

    /// Lets a life go on, where no other step has it stopped.
    fn go_on(&self, node: usize, life: Life, told: bool) {
        let mut nodes = lock(&self.nodes);
        let goes = nodes.table.go_on(node, life);
        if nodes.table.get(node).1 != life || nodes.table.get(node).0 == State::Dead {
            return;
        }
        match goes {
            true => nodes.all[node].stop(false, told),
            false if told => nodes.all[node].resumed(),
            false => {}
        }
    }

    /// Cuts what some send off from others.
    fn cut(&self, from_names: &[String], to_names: &[String]) -> Cuts {
        let (from, to) = (from_names, to_names);
        let nodes = self.targets.len();
        let servers = |names: &[String]| -> Vec<String> {
            let known = |name: &&String| self.cache(name).is_some() || **name == self.origin.spec.name;
            names.iter().filter(known).cloned().collect()
        };
        let members = |names: &[String]| Who(names.to_vec()).numbers(nodes);
        let mut faults = Vec::new();
        // What a node sends to a server does not come: nothing of it works. What a server answers does not come: the
        // work is done, and its answer breaks off.
        let ways = [(members(from), servers(to), Fault::Silent), (members(to), servers(from), Fault::Stall)];
        for (members, servers, fault) in ways {
            for (node, server) in members.iter().flat_map(|m| servers.iter().map(move |s| (*m, s))) {
                faults.push((server.clone(), self.begin(server, Some(&node_name(node)), fault)));
            }
        }
        let (from, to) = (members(from), members(to));
        let names = |numbers: &[usize]| numbers.iter().map(|number| node_name(*number)).collect::<Vec<_>>();
        let weather = (!from.is_empty() && !to.is_empty()).then(|| {
            self.peers.begin(Weather { from: names(&from), to: names(&to), loss: 1.0, ..Weather::default() })
        });
        self.tell_cut(&from, &to, "cut");
        // What a node asks does not come to discovery, or what that answers does not come back: it hears nothing.
        let apart = |asks: &[usize], other: &[String]| match other.iter().any(|name| name == DISCOVERY) {
            true => names(asks),
            false => Vec::new(),
        };
        let silent = [apart(&from, to_names), apart(&to, from_names)].concat();
        silent.iter().for_each(|node| self.discovery.cut(node, true));
        Cuts { faults, weather, from, to, silent }
    }

    fn uncut(&self, cuts: Cuts) {
        cuts.faults.iter().for_each(|(server, number)| self.end_fault(server, *number));
        cuts.weather.iter().for_each(|number| self.peers.end(*number));
        cuts.silent.iter().for_each(|node| self.discovery.cut(node, false));
        self.tell_cut(&cuts.from, &cuts.to, "passes");
    }

    fn tell_cut(&self, from: &[usize], to: &[usize], state: &str) {
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
            if from != to {
                let (t, who, event) = (Mono::at(), "lab".into(), Event::Cut);
                let (node, server, state) = (node_name(from), node_name(to), state.to_owned());
                self.recorder.line(Line { t, who, event, node, server, state, ..Line::default() });
            }
        }
    }

    fn weather(&self, state: &str) {
        let (t, who, event, state) = (Mono::at(), "lab".into(), Event::Weather, state.to_owned());
        self.recorder.line(Line { t, who, event, state, ..Line::default() });
    }

    /// Sends nodes datagrams that nobody in the fleet has sent.
    async fn forge(&self, who: &Who, per_s: u64) {
        let Ok(socket) = UdpSocket::bind((self.targets[0].1.ip(), 0)).await else { return };
        let mut rng = Rand64::new(u128::from(per_s));
        let members = self.peer_listens.len() as u16;
        let mut ticks = tokio::time::interval(Duration::from_millis(5));
        loop {
            ticks.tick().await;
            for node in who.numbers(self.targets.len()) {
                for _ in 0..(per_s / 200).max(1) {
                    let bytes = forged(&mut rng, node as u16, members);
                    let _ = socket.try_send_to(&bytes, self.peer_listens[node]);
                }
            }
        }
    }

    /// Reads what nodes hold of one another, twice in a protocol period or as often as their number allows, until it is
    /// dropped.
    pub async fn watch_views(self: Arc<Self>) {
        let Some(spec) = &self.membership else { return std::future::pending().await };
        let every = (spec.period / 2).max(Duration::from_millis(2 * self.targets.len() as u64));
        let mut readers = tokio::task::JoinSet::new();
        for (number, address) in self.views.iter().copied().enumerate() {
            let crooked = spec.crooked.is_some_and(|(node, _)| node == number);
            if crooked {
                continue;
            }
            let own = self.clone();
            readers.spawn(async move {
                tokio::time::sleep(every.mul_f64(number as f64 / own.views.len() as f64)).await;
                let mut ticks = tokio::time::interval(every);
                ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
                loop {
                    ticks.tick().await;
                    let (state, life) = lock(&own.nodes).table.get(number);
                    let begun = Mono::now();
                    let view = tokio::time::timeout(Duration::from_millis(500), read_view(address)).await;
                    // A view of the same life, read while it ran all the time.
                    let same = lock(&own.nodes).table.is(number, life, state) && state == State::Ready;
                    if let (Ok(Ok(state)), true) = (view, same) {
                        let t = Span { begun, ended: Mono::now() };
                        let (who, event, node) = ("lab".into(), Event::View, node_name(number));
                        own.recorder.line(Line { t, who, event, node, state, ..Line::default() });
                    }
                }
            });
        }
        while readers.join_next().await.is_some() {}
    }

    /// Puts a fault of a server in; a process that goes is learnt of late.
    fn begin(&self, server: &str, node: Option<&str>, fault: Fault) -> u64 {
        let mut faults = lock(&self.faults);
        let lived = !faults.dead(server);
        let number = faults.begin(server, node, fault);
        if lived && faults.dead(server) {
            match self.cache(server) {
                Some(cache) => cache.fault(None, Fault::Dead),
                None => self.origin.fault(None, Fault::Dead),
            }
            self.discovery.change(server, "left", None, self.late());
        }
        self.show(server, &faults);
        number
    }

    /// Takes a fault of a server away; a process that comes back is cold.
    fn end_fault(&self, server: &str, number: u64) {
        let mut faults = lock(&self.faults);
        let was_dead = faults.dead(server);
        faults.end(number);
        if was_dead && !faults.dead(server) {
            let since = self.cache(server).map(|cache| cache.restart());
            self.discovery.change(server, "active", since, self.late());
        }
        self.show(server, &faults);
    }

    /// Sets the doors of a server to what is in force.
    fn show(&self, server: &str, faults: &Faults) {
        for (node, _) in &self.targets {
            match self.cache(server) {
                Some(cache) => cache.fault(Some(node), faults.at(server, node)),
                None => self.origin.fault(Some(node), faults.at(server, node)),
            }
        }
    }

    /// A cache drains, and finishes what it has; what nodes may still send within their grace is worked on.
    async fn drained(&self, name: &str, lasts: Duration) {
        self.discovery.change(name, "leaving", None, self.late());
        let graced = self.late() + Duration::from_millis(700);
        tokio::time::sleep(graced.min(lasts)).await;
        if let Some(cache) = self.cache(name) {
            cache.drain(true);
        }
        tokio::time::sleep(lasts.saturating_sub(graced)).await;
    }

    /// Nodes and servers that can't reach each other, each pair once.
    fn apart(&self, groups: &[Vec<String>]) -> Vec<(String, String)> {
        let part = |name: &str| groups.iter().position(|group| group.iter().any(|other| other == name));
        let servers = self.caches.iter().map(|cache| &cache.spec.name).chain([&self.origin.spec.name]);
        let servers: Vec<_> = servers.collect();
        let pairs = self.targets.iter().flat_map(|(node, _)| servers.iter().map(move |s| (node, *s)));
        let apart = pairs.filter(|(node, server)| match (part(node), part(server)) {
            (Some(one), Some(other)) => one != other,
            _ => false,
        });
        apart.map(|(node, server)| (node.clone(), server.clone())).collect()
    }

    /// Asks a node to end, and waits until it has; one that has not by then is killed.
    async fn term(&self, node: usize) {
        let end = Mono::now() + EXIT_US + 50_000;
        let life = {
            let mut nodes = lock(&self.nodes);
            nodes.look(node);
            let life = nodes.table.term(node);
            if life.is_some() {
                nodes.all[node].term();
            }
            life
        };
        let Some(life) = life else { return };
        loop {
            {
                let mut nodes = lock(&self.nodes);
                nodes.look(node);
                // Another step may have killed it.
                if !nodes.table.is(node, life, State::Ending) {
                    return;
                }
                if Mono::now() >= end {
                    nodes.table.ended(node, life);
                    return nodes.all[node].kill();
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// A node begins a new life with an old list of peers, and hears of the present one later, by SIGHUP.
    async fn old_peers(
        &self,
        node: usize,
        misses: usize,
        moved: &[usize],
        lasts: Duration,
    ) -> io::Result<()> {
        let now = &self.configs[node];
        let mut old: serde_json::Value = serde_json::from_str(now)?;
        // Held, so that nobody is at that address.
        let nobody = moved.iter().map(|_| std::net::UdpSocket::bind((self.targets[node].1.ip(), 0)));
        let nobody = nobody.collect::<io::Result<Vec<_>>>()?;
        let peers = old["peers"].as_array_mut().ok_or_else(|| io::Error::other("it has no peers"))?;
        for (peer, socket) in moved.iter().zip(&nobody) {
            peers[*peer] = socket.local_addr()?.to_string().into();
        }
        let listed = peers.len().saturating_sub(misses).max(node + 1);
        peers.truncate(listed);
        let missed = (listed..self.targets.len()).chain(moved.iter().copied()).filter(|peer| *peer != node);
        let missed: Vec<usize> = missed.collect();
        lock(&self.nodes).kill(node);
        let tell = |state| {
            self.tell_cut(&[node], &missed, state);
            self.tell_cut(&missed, &[node], state);
        };
        tell("cut");
        self.release(node, &old.to_string()).await;
        tokio::time::sleep(lasts).await;
        {
            let mut nodes = lock(&self.nodes);
            nodes.look(node);
            if nodes.table.get(node).0 == State::Ready {
                nodes.all[node].reload(now)?;
            }
        }
        tell("passes");
        Ok(())
    }

    /// A step lets a node go: it starts again with the list of the fleet's start, which may be old by now, unless
    /// another step holds it.
    async fn release(&self, node: usize, config: &str) {
        let started = {
            let mut nodes = lock(&self.nodes);
            match nodes.table.release(node) {
                true => nodes.start(node, config),
                false => Ok(None),
            }
        };
        let name = &self.targets[node].0;
        match started {
            Ok(None) => {}
            Ok(Some(life)) => {
                let ready = self.ready(node, life).await;
                if !ready && lock(&self.nodes).table.is(node, life, State::Starting) {
                    self.note(&format!("{name} was not ready within 10 s"));
                }
            }
            Err(e) => self.note(&format!("{name} could not be started: {e}")),
        }
    }

    /// Notes nodes that have ended though nobody asked them to.
    pub fn look(&self) {
        let mut nodes = lock(&self.nodes);
        (0..nodes.table.len()).for_each(|node| nodes.look(node));
    }

    /// Nodes that serve, or start.
    pub fn up(&self) -> usize {
        let nodes = lock(&self.nodes);
        let up = |node: &usize| matches!(nodes.table.get(*node).0, State::Starting | State::Ready);
        (0..nodes.table.len()).filter(up).count()
    }

    /// Ends all nodes by SIGTERM, all at once, and those that don't end by SIGKILL.
    pub async fn end(self: &Arc<Self>) {
        for node in 0..self.targets.len() {
            let mut nodes = lock(&self.nodes);
            if nodes.table.stopped(node) {
                nodes.all[node].stop(false, false);
            }
        }
        let mut ends = tokio::task::JoinSet::new();
        for node in 0..self.targets.len() {
            let own = self.clone();
            ends.spawn(async move { own.term(node).await });
        }
        while ends.join_next().await.is_some() {}
    }
}

/// What a cut has put in.
struct Cuts {
    faults: Vec<(String, u64)>,
    weather: Option<u64>,
    from: Vec<usize>,
    to: Vec<usize>,
    /// Nodes to which discovery is silent.
    silent: Vec<String>,
}

/// Asks a node for its view.
async fn read_view(address: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET /fleet/view HTTP/1.1\r\nHost: lab\r\n\r\n").await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body);
    let value: Option<serde_json::Value> = body.and_then(|body| serde_json::from_str(body).ok());
    let view = value.as_ref().and_then(|value| value["view"].as_str());
    view.map(str::to_owned).ok_or_else(|| io::Error::other("no view"))
}

fn not_ready(e: NotReady) -> io::Error {
    io::Error::other(format!("node {} did not become ready within 10 s; its log ends: {}", e.node, e.log))
}
