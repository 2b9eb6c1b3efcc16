//! Connections of a cache server by the number of nodes. The connection pool of one node's core is measured
//! at the target's request rate and multiplied by the nodes that share the servers. The number of servers is
//! proportional to the number of nodes, as at the target.

use super::node::{self, DrivenNode, SECOND};
use super::{MeasureError, MetricValue, listing};

/// Maximum number of nodes that can be measured: more than twice the target.
pub const LARGEST: u64 = 40_000;
/// Nodes at the target; the ratio of nodes to servers is the same at every size.
const TARGET_NODES: u64 = 18_000;
/// Servers at the target.
const TARGET_SERVERS: u64 = 4_200;
/// Servers of a region.
const REGION_SERVERS: u64 = 150;
/// Nodes of a region.
const REGION_NODES: u64 = 643;
/// Requests per second of one node at the target.
const REQUESTS_PER_S: f64 = 778.0;
/// Number of keys that requests draw from.
const KEY_COUNT: u64 = 1 << 40;
/// Simulated time before the count, in seconds; by its end the number of connections is stable.
const SETTLING_S: u64 = 16;
/// Simulated time in which connections are counted, in seconds.
const COUNTED_S: u64 = 8;
/// The daemon's limit on sockets.
const DAEMON_SOCKETS: usize = 1_024;
/// Limit on sockets that is never reached.
const UNLIMITED_SOCKETS: usize = 65_536;
/// Client connections of the node.
const CLIENTS: usize = 32;
/// Length of a value in a response, in bytes.
const RESPONSE_BYTES: usize = 100;

/// Estimated memory that a measurement needs, in bytes.
pub fn required_memory(nodes: u64) -> u64 {
    (96 << 20) + servers(nodes) * 4_096
}

/// Number of servers for `nodes` nodes.
fn servers(nodes: u64) -> u64 {
    (nodes * TARGET_SERVERS / TARGET_NODES).max(1)
}

/// Connections of one node to all cache servers, averaged over [`COUNTED_S`].
struct ConnectionCount {
    /// Mean number of open connections, to all servers together.
    connections: f64,
    /// Mean number of connections opened per second.
    opened: f64,
}

fn count_connections(
    nodes: u64,
    servers: u64,
    sockets: usize,
    seed: u64,
) -> Result<ConnectionCount, MeasureError> {
    let known = serde_json::from_str(&listing::full_list(servers));
    let known = known.map_err(|e| {
        MeasureError::UnexpectedBehavior(format!("the generated server list cannot be parsed: {e}"))
    })?;
    let setup = node::setup(node::deployment(nodes as u32), known, sockets, seed);
    let mut node = DrivenNode::new(setup, CLIENTS, RESPONSE_BYTES, seed);
    node.serve(REQUESTS_PER_S, SETTLING_S * SECOND, KEY_COUNT);
    let (opened, mut connections) = (node.counters.opened, 0);
    for _ in 0..COUNTED_S {
        node.serve(REQUESTS_PER_S, SECOND, KEY_COUNT);
        connections += node.core.resource_counts().server_connections;
    }
    let attempts = node.counters.attempts;
    if attempts * 10 < node.counters.requests * 9 {
        let requests = node.counters.requests;
        return Err(MeasureError::UnexpectedBehavior(format!(
            "only {attempts} attempts were made for {requests} requests"
        )));
    }
    Ok(ConnectionCount {
        connections: connections as f64 / COUNTED_S as f64,
        opened: (node.counters.opened - opened) as f64 / COUNTED_S as f64,
    })
}

/// Measures one node of a fleet of `nodes` nodes.
///
/// # Errors
/// If the generated list cannot be parsed, or the number of attempts is below 90 % of the number of requests.
pub fn measure(nodes: u64, seed: u64) -> Result<Vec<MetricValue>, MeasureError> {
    let server_count = servers(nodes);
    let all = count_connections(nodes, server_count, DAEMON_SOCKETS, seed)?;
    let unlimited = count_connections(nodes, server_count, UNLIMITED_SOCKETS, seed)?;
    let subset = REGION_SERVERS.min(server_count);
    let region = count_connections(nodes, subset, DAEMON_SOCKETS, seed)?;
    let (nodes, server_count) = (nodes as f64, server_count as f64);
    let region_nodes = nodes.min(REGION_NODES as f64);
    Ok(vec![
        MetricValue::measured("node_connections", "1/node", all.connections),
        MetricValue::measured("node_opened", "1/node/s", all.opened),
        MetricValue::measured("node_wanted", "1/node", unlimited.connections),
        MetricValue::measured("node_region", "1/node", region.connections),
        MetricValue::measured("node_region_opened", "1/node/s", region.opened),
        MetricValue::counted("server_connections", "1/server", all.connections * nodes / server_count),
        MetricValue::counted("server_opened", "1/server/s", all.opened * nodes / server_count),
        MetricValue::counted("server_wanted", "1/server", unlimited.connections * nodes / server_count),
        MetricValue::counted("server_region", "1/server", region.connections * region_nodes / subset as f64),
        MetricValue::counted(
            "server_region_opened",
            "1/server/s",
            region.opened * region_nodes / subset as f64,
        ),
    ])
}
