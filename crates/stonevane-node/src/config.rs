//! `$ROUTER_CONFIG` and the variables beside it, read into typed settings.

use std::net::SocketAddr;

use serde::Deserialize;
use spardeal::settings::{self, Deployment};
use stonevane_config::operator::Operator;
use xxhash_rust::xxh3::xxh3_64;

use stonevane_core::Listing;

/// All that a node is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is asked.
    pub discovery: SocketAddr,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// Sockets that the node may hold, all counted.
    pub sockets: usize,
    /// Memory that the node may have in all, in megabytes.
    pub memory_mb: usize,
    /// The list of servers as this node last had it.
    pub known: Listing,
    /// The settings.
    pub deployment: Deployment,
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
            ConfigError::Field(name, value) => write!(f, "unusable {name} in the configuration: {value:?}"),
            ConfigError::Settings(e) => write!(f, "{e}"),
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct File {
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Option<Listing>,
    settings: Option<Box<serde_json::value::RawValue>>,
}

impl Default for File {
    fn default() -> Self {
        let (listen, discovery, seed) = (String::new(), String::new(), String::new());
        File { listen, discovery, seed, limits: Limits::default(), known: None, settings: None }
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
        Self::read(false)
    }

    /// Reads it again. Against a reload that changes nothing: the environment is that of the start, so what
    /// the file says of discovery goes before it now.
    pub fn again() -> Result<Config, ConfigError> {
        Self::read(true)
    }

    fn read(again: bool) -> Result<Config, ConfigError> {
        let var = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        let path = var("ROUTER_CONFIG").ok_or(ConfigError::Unset("ROUTER_CONFIG"))?;
        let text = std::fs::read(&path).map_err(|e| ConfigError::File(path, e))?;
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
            Some(at_start) if !again || file.discovery.is_empty() => at_start,
            _ => file.discovery,
        };
        let seed = u64::from_str_radix(&file.seed, 16);
        Ok(Config {
            listen: address("listen", var("ROUTER_LISTEN").unwrap_or(file.listen))?,
            discovery: address("discovery", discovery)?,
            seed: seed.unwrap_or_else(|_| xxh3_64(file.seed.as_bytes())),
            sockets: file.limits.sockets.min(1024),
            memory_mb: file.limits.memory_mb,
            known: file.known.unwrap_or_default(),
            deployment,
            operator: Operator::default(),
        })
    }
}
