//! The figures of a cache server.

use std::collections::BTreeMap;

/// The figures of a cache server. Times in microseconds.
#[derive(Debug, Clone)]
pub struct CacheSpec {
    /// Its name, the same at every node.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u16,
    /// Its machine kind.
    pub kind: String,
    /// Requests that it works on at once.
    pub cores: usize,
    /// Mean work of a read that hits; a miss takes a tenth.
    pub work_us: u64,
    /// The work's coefficient of variation.
    pub work_cv: f64,
    /// The round trip to each node in another zone.
    pub far_us: BTreeMap<String, u64>,
    /// The longest wait in its queue.
    pub queue_us: u64,
    /// The share of its capacity that it starts with after a restart.
    pub cold_share: f64,
    /// How long it takes to warm up.
    pub warm_us: u64,
    /// While it warms up, it becomes overloaded by more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... over a window of this length.
    pub fall_us: u64,
    /// Keys that it can hold.
    pub objects: usize,
    /// Connections that it accepts, for all nodes together.
    pub connections: usize,
    /// It closes a connection that stands idle for this long.
    pub idle_us: u64,
    /// It drops repeats of an idempotency key for this long.
    pub dedup_us: u64,
    /// Length of its values, in bytes.
    pub value_len: usize,
}

impl CacheSpec {
    /// Work that it does in a second when warm, in microseconds.
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
            far_us: BTreeMap::new(),
            queue_us: 500_000,
            cold_share: 0.35,
            warm_us: 7_500_000,
            fall_multiple: 3.0,
            fall_us: 2_000_000,
            objects: 10_000,
            connections: 1_000,
            idle_us: 15_000_000,
            dedup_us: 200_000,
            value_len: 64,
        }
    }
}
