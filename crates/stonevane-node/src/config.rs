//! The configuration of a process: the JSON file that `$ROUTER_CONFIG` names, and the environment variables
//! that override parts of it.

mod error;
mod file;

use std::net::{SocketAddr, TcpListener};

use stonevane_config::operator::{Operator, Region};
use stonevane_core::EndpointList;
use stonevane_policy::settings::{self, Deployment};
use xxhash_rust::xxh3::xxh3_64;

pub use error::{ConfigError, RegionError};

use crate::inherited_listener;
use file::{File, first_missing_key};

/// Minimum of `limits.sockets`: fewer leave no capacity for clients and servers besides the node's own
/// sockets.
const MIN_SOCKETS: usize = 32;
/// Maximum number of sockets that the node uses; a larger `limits.sockets` is reduced to it.
const MAX_SOCKETS: usize = 1024;
/// Minimum of `limits.memory_mb`: less memory leaves no capacity besides the program itself.
const MIN_MEMORY_MB: usize = 16;

/// Configuration of a process, checked except for `peer_listen`, `peers` and the regions of `operator`.
#[derive(Debug)]
pub struct Config {
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Clients' listening socket, if the platform passed one on through `$ROUTER_LISTEN_FD`.
    pub inherited: Option<TcpListener>,
    /// Management address; `None`: the node has none.
    pub mgmt: Option<SocketAddr>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Maximum number of sockets that the node holds at once.
    pub sockets: usize,
    /// Maximum memory that the node uses, in megabytes.
    pub memory_mb: usize,
    /// Endpoint list that the node last had before this start, used until discovery delivers one.
    pub known_endpoints: EndpointList,
    /// Settings of the policy and the deployment.
    pub deployment: Deployment,
    /// The parsed file, which the next reload is compared with.
    pub document: serde_json::Value,
    /// Address on which datagrams of other nodes arrive, as written in the file.
    pub peer_listen: String,
    /// Address of each node in the order of their numbers, as written in the file.
    pub peers: Vec<String>,
    /// Settings of the operator file.
    pub operator: Operator,
}

impl Config {
    /// Reads the configuration at the start of a process.
    ///
    /// # Errors
    /// The configuration cannot be used.
    pub fn from_env() -> Result<Config, ConfigError> {
        Self::read(None)
    }

    /// Reads the configuration again. `previous` is the file in force; a new file that lacks a key of
    /// `previous` is rejected as a whole.
    ///
    /// # Errors
    /// The configuration cannot be used.
    pub fn reload(previous: &serde_json::Value) -> Result<Config, ConfigError> {
        Self::read(Some(previous))
    }

    fn read(previous: Option<&serde_json::Value>) -> Result<Config, ConfigError> {
        let path = variable("ROUTER_CONFIG").ok_or(ConfigError::Unset("ROUTER_CONFIG"))?;
        let text = std::fs::read(&path).map_err(|source| ConfigError::File { path, source })?;
        let document = serde_json::from_slice(&text).map_err(ConfigError::Json)?;
        if let Some(key) = previous.and_then(|previous| first_missing_key(previous, &document)) {
            return Err(ConfigError::MissingKey(key));
        }
        let file: File = serde_json::from_slice(&text).map_err(ConfigError::Json)?;
        let settings = file.settings.as_deref();
        let deployment = read_settings(settings.map(serde_json::value::RawValue::get))?;
        check_limits(&file.limits)?;
        // The environment keeps its values from the start of the process, so at a reload the file's discovery
        // takes precedence.
        let discovery = match variable("ROUTER_DISCOVERY") {
            Some(at_start) if previous.is_none() || file.discovery.is_empty() => at_start,
            _ => file.discovery,
        };
        // A reload keeps the clients' listening socket.
        let inherited = variable("ROUTER_LISTEN_FD").filter(|_| previous.is_none());
        let inherited = inherited.map(|number| inherited_listener::inherit(&number)).transpose()?;
        let mgmt = Some(variable("ROUTER_MGMT").unwrap_or(file.mgmt)).filter(|address| !address.is_empty());
        Ok(Config {
            listen: parse_address("listen", variable("ROUTER_LISTEN").unwrap_or(file.listen))?,
            inherited,
            mgmt: mgmt.map(|address| parse_address("mgmt", address)).transpose()?,
            discovery: parse_address("discovery", discovery)?,
            seed: parse_seed(&file.seed),
            sockets: file.limits.sockets.min(MAX_SOCKETS),
            memory_mb: file.limits.memory_mb,
            known_endpoints: file.known.unwrap_or_default(),
            deployment,
            document,
            peer_listen: file.peer_listen,
            peers: file.peers,
            operator: Operator::default(),
        })
    }

    /// Returns every mismatch between the regions of the operator file and the settings.
    pub fn region_errors(&self) -> Vec<RegionError> {
        let Some(regions) = &self.operator.regions else { return Vec::new() };
        let mut errors = Vec::new();
        let nodes = self.deployment.settings.nodes;
        if regions.nodes > nodes {
            errors.push(RegionError::TooManyNodes { region: regions.nodes, settings: nodes });
        }
        for region in std::iter::once(&regions.home).chain(&regions.others) {
            errors.extend(self.unknown_zones(region));
        }
        errors
    }

    fn unknown_zones<'c>(&'c self, region: &'c Region) -> impl Iterator<Item = RegionError> + 'c {
        let unknown = region.zones.iter().filter(|zone| !self.deployment.zones.contains(zone));
        unknown.map(|zone| RegionError::UnknownZone { region: region.name.clone(), zone: zone.clone() })
    }
}

/// Returns the value of an environment variable; an empty one counts as unset.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn parse_address(field: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::Field { field, value })
}

/// Parses a hexadecimal seed; any other text is hashed to one.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}

fn read_settings(settings: Option<&str>) -> Result<Deployment, ConfigError> {
    let missing = || ConfigError::Field { field: "settings", value: String::new() };
    let text = settings.ok_or_else(missing)?;
    let deployment = settings::read(text.as_bytes())?;
    if deployment.classes.is_empty() {
        return Err(ConfigError::NoClasses);
    }
    Ok(deployment)
}

fn check_limits(limits: &file::Limits) -> Result<(), ConfigError> {
    let field = |field, value: usize| Err(ConfigError::Field { field, value: value.to_string() });
    if limits.sockets < MIN_SOCKETS {
        return field("limits.sockets", limits.sockets);
    }
    if limits.memory_mb < MIN_MEMORY_MB {
        return field("limits.memory_mb", limits.memory_mb);
    }
    Ok(())
}
