//! Capacity, limits and times of a cache server.

use std::collections::BTreeMap;

/// Capacity, limits and times of a cache server. Times are in microseconds.
#[derive(Debug, Clone)]
pub struct CacheSpec {
    /// Name of the server, the same at every node.
    pub name: String,
    /// Zone in which the server runs.
    pub zone: String,
    /// Number of the server's cell.
    pub cell: u16,
    /// Machine type, as discovery reports it.
    pub kind: String,
    /// Number of requests that are processed concurrently.
    pub cores: usize,
    /// Mean work of a write and of a read that hits. A read that misses takes a tenth of this.
    pub work_us: u64,
    /// Coefficient of variation of the work.
    pub work_cv: f64,
    /// Round-trip time to each node in another zone, by the node's name.
    pub cross_zone_rtt_us: BTreeMap<String, u64>,
    /// Longest wait in the queue; an attempt that would wait longer is rejected.
    pub queue_us: u64,
    /// Share of the capacity that is available directly after a restart (slow start).
    pub slow_start_share: f64,
    /// Length of the warm-up after a restart.
    pub warm_up_us: u64,
    /// A server that warms up becomes overloaded when its work exceeds this multiple of its current capacity
    /// over a window of `overload_window_us`.
    pub overload_multiple: f64,
    /// Length of the window over which `overload_multiple` is measured.
    pub overload_window_us: u64,
    /// Number of copies that the server can hold.
    pub objects: usize,
    /// Maximum number of open connections, from all nodes together.
    pub connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_us: u64,
    /// Time for which repeats of an idempotency key are dropped.
    pub dedup_us: u64,
    /// Length of the values, in bytes.
    pub value_len: usize,
}

impl CacheSpec {
    /// Returns the work that a warmed-up server does per second, in microseconds.
    pub(super) fn capacity(&self) -> f64 {
        self.cores as f64 * 1e6
    }
}

impl Default for CacheSpec {
    fn default() -> Self {
        CacheSpec {
            name: "s-1".into(),
            zone: "a".into(),
            cell: 0,
            kind: "std".into(),
            cores: 8,
            work_us: 4_000,
            work_cv: 0.0,
            cross_zone_rtt_us: BTreeMap::new(),
            queue_us: 500_000,
            slow_start_share: 0.35,
            warm_up_us: 7_500_000,
            overload_multiple: 3.0,
            overload_window_us: 2_000_000,
            objects: 10_000,
            connections: 1_000,
            idle_us: 15_000_000,
            dedup_us: 200_000,
            value_len: 64,
        }
    }
}
