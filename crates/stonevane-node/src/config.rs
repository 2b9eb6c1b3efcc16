//! `$ROUTER_CONFIG` and the variables beside it, read into typed settings.

use std::net::{SocketAddr, TcpListener};

use serde::Deserialize;
use stonevane_config::operator::Operator;
use stonevane_policy::settings::{self, Deployment};
use xxhash_rust::xxh3::xxh3_64;

use stonevane_core::EndpointList;

use crate::inherited_listener;

/// All that a node is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The listening socket that was passed on, where one was.
    pub inherited: Option<TcpListener>,
    /// The second address, where one is configured.
    pub mgmt: Option<SocketAddr>,
    /// Where discovery is asked.
    pub discovery: SocketAddr,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// Sockets that the node may hold, all counted.
    pub sockets: usize,
    /// Memory that the node may have in all, in megabytes.
    pub memory_mb: usize,
    /// The list of servers as this node last had it.
    pub known: EndpointList,
    /// The settings.
    pub deployment: Deployment,
    /// The file as it stood.
    pub text: serde_json::Value,
    /// Where datagrams of other nodes arrive, and where each of them is found, as the file has it.
    pub peer_listen: String,
    /// One address for each node, in the order of their numbers.
    pub peers: Vec<String>,
    /// What the operator file sets.
    pub operator: Operator,
}

/// Why a configuration can't be used.
#[derive(Debug)]
pub enum ConfigError {
    /// A variable that must be set is not.
    Unset(&'static str),
    /// The file can't be read.
    File(String, std::io::Error),
    /// It is not what it should be.
    Json(serde_json::Error),
    /// It lacks a key that the file before it had.
    Missing(String),
    /// What was passed on as the clients' socket is none.
    Inherited(std::io::Error),
    /// A field has no usable value.
    Field(&'static str, String),
    /// The settings can't be used.
    Settings(String),
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unset(name) => write!(f, "{name} is not set"),
            ConfigError::File(path, e) => write!(f, "cannot read {path}: {e}"),
            ConfigError::Json(e) => write!(f, "unreadable configuration: {e}"),
            ConfigError::Inherited(e) => write!(f, "ROUTER_LISTEN_FD {e}"),
            ConfigError::Missing(key) => write!(f, "the configuration lacks {key}, which the last one had"),
            ConfigError::Field(name, value) => write!(f, "unusable {name} in the configuration: {value:?}"),
            ConfigError::Settings(e) => write!(f, "{e}"),
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct File {
    listen: String,
    mgmt: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Option<EndpointList>,
    settings: Option<Box<serde_json::value::RawValue>>,
    peer_listen: String,
    peers: Vec<String>,
}

impl Default for File {
    fn default() -> Self {
        let (listen, mgmt, discovery, seed) = Default::default();
        File {
            listen,
            mgmt,
            discovery,
            seed,
            limits: Limits::default(),
            known: None,
            settings: None,
            peer_listen: String::new(),
            peers: Vec::new(),
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// Fewer sockets than this leave no room for clients and servers beside the node's own.
const LEAST_SOCKETS: usize = 32;

/// Less memory than this leaves no room beside the program itself.
const LEAST_MEMORY_MB: usize = 16;

impl Config {
    /// Reads the configuration that the environment names, at the start.
    pub fn from_env() -> Result<Config, ConfigError> {
        Self::read(None)
    }

    /// Reads it again. Against a reload that changes nothing: the environment is that of the start, so what
    /// the file says of discovery goes before it now.
    /// Nothing is taken of a file that lacks a key which the last one that was taken had.
    pub fn again(last: &serde_json::Value) -> Result<Config, ConfigError> {
        Self::read(Some(last))
    }

    /// What of the operator file's regions does not go with the settings, a line for each.
    pub fn regions_unfit(&self) -> Vec<String> {
        let Some(regions) = &self.operator.regions else { return Vec::new() };
        let mut lines = Vec::new();
        let balancers = self.deployment.settings.nodes;
        if regions.nodes > balancers {
            lines.push(format!(
                "[regions] `nodes` is {}, and the settings have {balancers} balancers",
                regions.nodes
            ));
        }
        for region in std::iter::once(&regions.home).chain(&regions.others) {
            let unknown = region.zones.iter().filter(|zone| !self.deployment.zones.contains(zone));
            lines.extend(unknown.map(|zone| {
                format!(
                    "[regions.zones] `{}` has the zone `{zone}`, which the settings do not have",
                    region.name
                )
            }));
        }
        lines
    }

    fn read(last: Option<&serde_json::Value>) -> Result<Config, ConfigError> {
        let var = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        let path = var("ROUTER_CONFIG").ok_or(ConfigError::Unset("ROUTER_CONFIG"))?;
        let text = std::fs::read(&path).map_err(|e| ConfigError::File(path, e))?;
        let value = serde_json::from_slice(&text).map_err(ConfigError::Json)?;
        if let Some(key) = last.and_then(|last| missing(last, &value)) {
            return Err(ConfigError::Missing(key));
        }
        let file: File = serde_json::from_slice(&text).map_err(ConfigError::Json)?;
        let address = |name, value: String| value.parse().map_err(|_| ConfigError::Field(name, value));
        let settings = file.settings.ok_or_else(|| ConfigError::Field("settings", String::new()))?;
        let deployment = settings::read(settings.get().as_bytes()).map_err(ConfigError::Settings)?;
        if deployment.classes.is_empty() {
            return Err(ConfigError::Settings("the settings name no class of requests".into()));
        }
        if file.limits.sockets < LEAST_SOCKETS {
            return Err(ConfigError::Field("limits.sockets", file.limits.sockets.to_string()));
        }
        if file.limits.memory_mb < LEAST_MEMORY_MB {
            return Err(ConfigError::Field("limits.memory_mb", file.limits.memory_mb.to_string()));
        }
        let discovery = match var("ROUTER_DISCOVERY") {
            Some(at_start) if last.is_none() || file.discovery.is_empty() => at_start,
            _ => file.discovery,
        };
        // Taken once: at a reload the clients' socket stays.
        let inherited = var("ROUTER_LISTEN_FD").filter(|_| last.is_none());
        let inherited = inherited
            .map(|number| inherited_listener::inherit(&number))
            .transpose()
            .map_err(ConfigError::Inherited)?;
        let mgmt = Some(var("ROUTER_MGMT").unwrap_or(file.mgmt)).filter(|at| !at.is_empty());
        let seed = u64::from_str_radix(&file.seed, 16);
        Ok(Config {
            listen: address("listen", var("ROUTER_LISTEN").unwrap_or(file.listen))?,
            inherited,
            mgmt: mgmt.map(|at| address("mgmt", at)).transpose()?,
            discovery: address("discovery", discovery)?,
            seed: seed.unwrap_or_else(|_| xxh3_64(file.seed.as_bytes())),
            sockets: file.limits.sockets.min(1024),
            memory_mb: file.limits.memory_mb,
            known: file.known.unwrap_or_default(),
            deployment,
            text: value,
            peer_listen: file.peer_listen,
            peers: file.peers,
            operator: Operator::default(),
        })
    }
}

/// The first key that one file has and a later one lacks. Entries of a list (classes, tenants) come and go; each has the
/// keys that all of them had before.
fn missing(last: &serde_json::Value, now: &serde_json::Value) -> Option<String> {
    use serde_json::Value;
    match (last, now) {
        (Value::Object(last), Value::Object(now)) => last.iter().find_map(|(key, last)| {
            // What discovery said before a start, and who the peers are, is news and no setting.
            if matches!(key.as_str(), "known" | "peers") {
                return None;
            }
            let Some(now) = now.get(key) else { return Some(key.clone()) };
            missing(last, now).map(|below| format!("{key}.{below}"))
        }),
        (Value::Object(_), _) => Some("an object that stood here".into()),
        (Value::Array(last), Value::Array(now)) => {
            let all = |key: &String| last.iter().all(|entry| entry.get(key).is_some());
            let keys = last.first().and_then(Value::as_object).into_iter().flat_map(|entry| entry.keys());
            let keys: Vec<_> = keys.filter(|key| all(key)).collect();
            now.iter()
                .find_map(|entry| keys.iter().find(|key| entry.get(key).is_none()).map(|key| (*key).clone()))
        }
        _ => None,
    }
}
