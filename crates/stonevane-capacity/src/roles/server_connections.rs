//! Connections that a cache server bears, against the number of nodes: the core's own pool of one node at the target's
//! rate, times the nodes that share the servers. Servers grow with nodes as at the target.

use super::node::{self, DrivenNode, SECOND};
use super::{Figure, MeasureError, listing};

/// More nodes than twice the target.
pub const LARGEST: u64 = 40_000;
/// Nodes at the target; their proportion to servers holds at every size.
const TARGET_NODES: u64 = 18_000;
/// Servers at the target.
const TARGET_SERVERS: u64 = 4_200;
/// Servers of a region.
const REGION_SERVERS: u64 = 150;
/// Nodes of a region.
const REGION_NODES: u64 = 643;
/// Requests a second at a node at the target.
const PER_SECOND: f64 = 778.0;
/// Keys that are asked for.
const KEYS: u64 = 1 << 40;
/// Simulated time until connections have settled, and in which they are counted.
const SETTLES: u64 = 16;
const COUNTED: u64 = 8;
/// The most sockets that the daemon takes, and as many as never run out.
const DAEMON_SOCKETS: usize = 1_024;
const ENOUGH_SOCKETS: usize = 65_536;
/// Clients of the node, and the bytes of an answer.
const CLIENTS: usize = 32;
const ANSWER: usize = 100;

/// Memory that a measurement needs.
pub fn needs(nodes: u64) -> u64 {
    (96 << 20) + servers(nodes) * 4_096
}

/// Servers before so many nodes.
fn servers(nodes: u64) -> u64 {
    (nodes * TARGET_SERVERS / TARGET_NODES).max(1)
}

/// Connections of one node.
struct ConnectionCount {
    /// To all servers.
    connections: f64,
    /// Opened in a second.
    opened: f64,
}

fn count_connections(
    nodes: u64,
    servers: u64,
    sockets: usize,
    seed: u64,
) -> Result<ConnectionCount, MeasureError> {
    let known = serde_json::from_str(&listing::whole(servers));
    let known = known.map_err(|e| MeasureError::Broken(format!("no list: {e}")))?;
    let setup = node::setup(node::deployment(nodes as u32), known, sockets, seed);
    let mut node = DrivenNode::new(setup, CLIENTS, ANSWER, seed);
    node.serve(PER_SECOND, SETTLES * SECOND, KEYS);
    let (opened, mut connections) = (node.tally.opened, 0);
    for _ in 0..COUNTED {
        node.serve(PER_SECOND, SECOND, KEYS);
        connections += node.core.count().server_connections;
    }
    let served = node.tally.attempts;
    if served * 10 < node.tally.asked * 9 {
        let asked = node.tally.asked;
        return Err(MeasureError::Broken(format!("{served} of {asked} requests went to a server")));
    }
    Ok(ConnectionCount {
        connections: connections as f64 / COUNTED as f64,
        opened: (node.tally.opened - opened) as f64 / COUNTED as f64,
    })
}

/// Measures one node of so many.
///
/// # Errors
/// Where its requests do not reach servers.
pub fn measure(nodes: u64, seed: u64) -> Result<Vec<Figure>, MeasureError> {
    let count = servers(nodes);
    let all = count_connections(nodes, count, DAEMON_SOCKETS, seed)?;
    let wanted = count_connections(nodes, count, ENOUGH_SOCKETS, seed)?;
    let subset = REGION_SERVERS.min(count);
    let region = count_connections(nodes, subset, DAEMON_SOCKETS, seed)?;
    let (nodes, count) = (nodes as f64, count as f64);
    let region_nodes = nodes.min(REGION_NODES as f64);
    Ok(vec![
        Figure::measured("node_connections", "1/node", all.connections),
        Figure::measured("node_opened", "1/node/s", all.opened),
        Figure::measured("node_wanted", "1/node", wanted.connections),
        Figure::measured("node_region", "1/node", region.connections),
        Figure::measured("node_region_opened", "1/node/s", region.opened),
        Figure::counted("server_connections", "1/server", all.connections * nodes / count),
        Figure::counted("server_opened", "1/server/s", all.opened * nodes / count),
        Figure::counted("server_wanted", "1/server", wanted.connections * nodes / count),
        Figure::counted("server_region", "1/server", region.connections * region_nodes / subset as f64),
        Figure::counted("server_region_opened", "1/server/s", region.opened * region_nodes / subset as f64),
    ])
}
