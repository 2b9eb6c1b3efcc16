//! Generated server lists in the JSON form of the discovery service.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Serialize;

/// Zones that the servers are distributed over.
const ZONES: u64 = 57;
/// Servers in each cell.
const SERVERS_PER_CELL: u64 = 16;
/// Unix time at which the first server last started, in milliseconds; each following server started one
/// millisecond after the one before.
const FIRST_START_MS: u64 = 1_790_000_000_000;

/// List entry of one server.
#[derive(Serialize)]
struct Entry {
    name: String,
    address: String,
    zone: String,
    #[serde(rename = "type")]
    kind: &'static str,
    group: u64,
    status: &'static str,
    weight: f32,
    since_ms: u64,
}

#[derive(Serialize)]
struct List {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Entry>,
}

fn entry(number: u64, status: &'static str) -> Entry {
    let zone = number % ZONES;
    let address = Ipv4Addr::from((10u32 << 24) + number as u32);
    Entry {
        name: format!("cache-{zone:02}-{number:05}"),
        address: SocketAddr::from((address, 7001)).to_string(),
        zone: format!("zone-{zone:02}"),
        kind: "cache",
        group: number / SERVERS_PER_CELL,
        status,
        weight: 1.0,
        since_ms: FIRST_START_MS + number,
    }
}

fn to_json(list: &List) -> String {
    // The types have no value that JSON cannot represent.
    serde_json::to_string(list).unwrap_or_default()
}

/// Full list of `servers` servers, as JSON.
pub fn full_list(servers: u64) -> String {
    let endpoints = (0..servers).map(|number| entry(number, "active")).collect();
    to_json(&List { index: 1, snapshot: true, endpoints })
}

/// List update that sets the status of one server to draining or active, as JSON.
pub fn server_change(index: u64, server: u64, draining: bool) -> String {
    let status = if draining { "leaving" } else { "active" };
    to_json(&List { index, snapshot: false, endpoints: vec![entry(server, status)] })
}

/// Names of all zones in the generated lists, `zone-00` first.
pub fn zone_names() -> Vec<String> {
    (0..ZONES).map(|zone| format!("zone-{zone:02}")).collect()
}
