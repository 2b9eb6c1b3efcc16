//! The list of servers in discovery's form.

use serde::Deserialize;

/// Tells what one discovery said from what the next one says: versions of different ones can't be compared.
pub type DiscoveryEpoch = u64;

/// A list of servers, or a change of it.
#[derive(Deserialize, Default, Debug)]
pub struct EndpointList {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// Whether it is whole.
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
    /// Where it is reached.
    #[serde(default)]
    pub address: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its machine kind.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub group: u16,
    /// `active`, `leaving` or `left`.
    pub status: String,
    /// Its weight.
    #[serde(default = "one")]
    pub weight: f32,
    /// When its process started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub since_ms: u64,
}

fn one() -> f32 {
    1.0
}
