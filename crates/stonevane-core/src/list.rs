//! The endpoint list in the form in which discovery sends it.

use serde::Deserialize;

/// Distinguishes one discovery service from the next: their list versions can't be compared.
pub type DiscoveryEpoch = u64;

/// A full endpoint list, or a delta.
#[derive(Deserialize, Default, Debug)]
pub struct EndpointList {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// Whether it is the full list.
    #[serde(default)]
    pub snapshot: bool,
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
}

/// A server of the list.
#[derive(Deserialize, Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its address; empty where it is unchanged.
    #[serde(default)]
    pub address: String,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Name of its machine type.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Number of its cell.
    #[serde(default)]
    pub group: u16,
    /// `active`, `leaving` or `left`.
    pub status: String,
    /// Its weight.
    #[serde(default = "default_weight")]
    pub weight: f32,
    /// When its process started, Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub since_ms: u64,
}

fn default_weight() -> f32 {
    1.0
}
