//! The figures of the origin.

use std::collections::BTreeMap;

/// The figures of the origin. Times in microseconds.
#[derive(Debug, Clone)]
pub struct OriginSpec {
    /// Its name.
    pub name: String,
    /// Its machine kind.
    pub kind: String,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Work of a read.
    pub read_us: u64,
    /// Work of a write.
    pub write_us: u64,
    /// The coefficient of variation of both.
    pub work_cv: f64,
    /// The round trip to each node in another zone.
    pub far_us: BTreeMap<String, u64>,
    /// The longest wait in its queue.
    pub queue_us: u64,
    /// It stops when sent more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... over a window of this length ...
    pub fall_us: u64,
    /// ... and for this long.
    pub stop_us: u64,
    /// It drops repeats of an idempotency key for this long.
    pub dedup_us: u64,
    /// Length of its values, in bytes.
    pub value_len: usize,
}

impl OriginSpec {
    /// Work that it does in a second, in microseconds.
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
            far_us: BTreeMap::new(),
            queue_us: 2_000_000,
            fall_multiple: 2.5,
            fall_us: 3_000_000,
            stop_us: 3_000_000,
            dedup_us: 200_000,
            value_len: 64,
        }
    }
}
