//! Capacity, limits and times of the origin.

use std::collections::BTreeMap;

/// Capacity, limits and times of the origin. Times are in microseconds.
#[derive(Debug, Clone)]
pub struct OriginSpec {
    /// Name of the origin, as the history records it.
    pub name: String,
    /// Machine type of the origin.
    pub kind: String,
    /// Number of requests that are processed concurrently.
    pub slots: usize,
    /// Mean work of a read.
    pub read_us: u64,
    /// Mean work of a write; a dropped repeat takes a tenth of it.
    pub write_us: u64,
    /// Coefficient of variation of the work of reads and writes.
    pub work_cv: f64,
    /// Round-trip time to each node in another zone, by the node's name.
    pub cross_zone_rtt_us: BTreeMap<String, u64>,
    /// Longest wait in the queue; an attempt that would wait longer is rejected.
    pub queue_us: u64,
    /// The origin is overloaded and stops when its work exceeds this multiple of its capacity over a window
    /// of `overload_window_us`.
    pub overload_multiple: f64,
    /// Length of the window over which `overload_multiple` is measured.
    pub overload_window_us: u64,
    /// Time for which an overloaded origin stops all work.
    pub overload_stop_us: u64,
    /// Time for which repeats of an idempotency key are dropped.
    pub dedup_us: u64,
    /// Length of the values, in bytes.
    pub value_len: usize,
}

impl OriginSpec {
    /// Returns the work that the origin does per second, in microseconds.
    pub(super) fn capacity(&self) -> f64 {
        self.slots as f64 * 1e6
    }
}

impl Default for OriginSpec {
    fn default() -> Self {
        OriginSpec {
            name: "origin".into(),
            kind: "origin".into(),
            slots: 8,
            read_us: 60_000,
            write_us: 15_000,
            work_cv: 0.0,
            cross_zone_rtt_us: BTreeMap::new(),
            queue_us: 2_000_000,
            overload_multiple: 2.5,
            overload_window_us: 3_000_000,
            overload_stop_us: 3_000_000,
            dedup_us: 200_000,
            value_len: 64,
        }
    }
}
