//! The endpoint list as discovery sends it, in JSON.

use serde::Deserialize;

/// Identifier of the discovery service in use, incremented when the address of discovery changes. List
/// versions of different epochs are not comparable.
pub type DiscoveryEpoch = u64;

/// A full endpoint list or a delta.
#[derive(Deserialize, Default, Debug)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(default, rename = "index")]
    pub version: u64,
    /// Whether this is the full list; `false` for a delta.
    #[serde(default)]
    pub snapshot: bool,
    /// The listed servers; in a delta, those that have changed.
    pub endpoints: Vec<Endpoint>,
}

/// Entry of a server in the list.
#[derive(Deserialize, Debug)]
pub struct Endpoint {
    /// Name of the server.
    pub name: String,
    /// Socket address; empty if it is unchanged.
    #[serde(default)]
    pub address: String,
    /// Name of the server's zone.
    #[serde(default)]
    pub zone: String,
    /// Name of the server's machine type.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Identifier of the server's cell.
    #[serde(default)]
    pub group: u16,
    /// `active`, `leaving` or `left`.
    pub status: String,
    /// Relative weight in the placement, 1 by default.
    #[serde(default = "default_weight")]
    pub weight: f32,
    /// Start time of the server's process, Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub since_ms: u64,
}

fn default_weight() -> f32 {
    1.0
}
