//! Processor time of forwarding one request and its response through a node, by the length of the response.
//! It covers the core and the decision module for reads that a cache of the region answers, but not sockets,
//! the kernel or the driver's tasks.

use super::node::{self, DrivenNode, SECOND};
use super::{MeasureError, MetricValue, listing};

/// Largest response value that can be measured, in bytes: the longest that the node forwards.
pub const LARGEST: u64 = 4 * 1024 * 1024;
/// Cache servers of a region.
const REGION_SERVERS: u64 = 150;
/// Number of nodes in the fleet.
const NODES: u32 = 18_000;
/// Requests per second of one node at the peak.
const REQUESTS_PER_S: f64 = 778.0;
/// Time before the measurement in which the decision module gathers statistics of the servers, in seconds.
const WARMUP_S: u64 = 1;
/// Simulated time of the measurement, in seconds.
const MEASURED_S: u64 = 4;
/// Number of keys that requests draw from.
const KEY_COUNT: u64 = 1 << 40;
/// The daemon's limit on sockets.
const MAX_SOCKETS: usize = 1_024;
/// Client connections of the node.
const CLIENTS: usize = 64;

/// Estimated memory that a measurement needs, in bytes.
pub fn required_memory(bytes: u64) -> u64 {
    (256 << 20) + bytes * 4
}

/// Measures requests with responses of `bytes` bytes.
///
/// # Errors
/// If the generated list cannot be parsed, or fewer than 90 % of the response bytes arrive.
pub fn measure(bytes: u64, seed: u64) -> Result<Vec<MetricValue>, MeasureError> {
    let known = serde_json::from_str(&listing::full_list(REGION_SERVERS));
    let known = known.map_err(|e| {
        MeasureError::UnexpectedBehavior(format!("the generated server list cannot be parsed: {e}"))
    })?;
    let setup = node::setup(node::deployment(NODES), known, MAX_SOCKETS, seed);
    let mut node = DrivenNode::new(setup, CLIENTS, bytes as usize, seed);
    node.serve(REQUESTS_PER_S, WARMUP_S * SECOND, KEY_COUNT);
    let (before, cpu_before) = (node.counters, node.cpu.micros());
    node.serve(REQUESTS_PER_S, MEASURED_S * SECOND, KEY_COUNT);
    let requests = (node.counters.requests - before.requests) as f64;
    let response_bytes = (node.counters.response_bytes - before.response_bytes) as f64;
    if response_bytes < 0.9 * requests * bytes as f64 {
        return Err(MeasureError::UnexpectedBehavior(format!(
            "{response_bytes} response bytes arrived for {requests} requests of {bytes} bytes each"
        )));
    }
    let cpu = node.cpu.micros() - cpu_before;
    Ok(vec![
        MetricValue::measured("request_cpu", "us", cpu / requests),
        MetricValue::measured("answered", "B", response_bytes / requests),
        MetricValue::measured("attempts", "1", (node.counters.attempts - before.attempts) as f64 / requests),
    ])
}
