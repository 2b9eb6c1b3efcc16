//! State of each server: zone and cell, warm-up, load and executed idempotency keys.

use std::collections::{HashMap, VecDeque};

use super::Auditor;
use super::evidence::NumberedRecord;
use super::load_window::LoadWindow;
use crate::rules::work_capacity;

/// Maximum number of idempotency keys that are kept per server.
const MAX_KEYS_PER_SERVER: usize = 4_096;

/// Warm-up of a server; times in microseconds.
pub(super) struct WarmUp {
    pub started_at: u64,
    pub duration_us: u64,
    /// Capacity of the warm server, in microseconds of work per second.
    capacity_us_per_s: f64,
    /// Capacity at the start of the warm-up, as a share of `capacity_us_per_s`, 0 to 1.
    initial_share: f64,
}

impl WarmUp {
    /// Returns the work that the server can do from the moment `from` on within `window_us`, in microseconds.
    pub fn capacity_within(&self, from: u64, window_us: u64) -> f64 {
        let (capacity, share) = (self.capacity_us_per_s, self.initial_share);
        work_capacity(capacity, share, self.started_at, self.duration_us, from, window_us)
    }

    pub fn ends_after(&self, time: u64) -> bool {
        time < self.started_at + self.duration_us
    }

    pub fn includes(&self, time: u64) -> bool {
        time >= self.started_at && self.ends_after(time)
    }
}

/// State of a server since its last start.
#[derive(Default)]
pub(super) struct Server {
    pub zone: String,
    pub cell: u64,
    pub start: Option<NumberedRecord>,
    pub load: LoadWindow,
    /// Moment of the last overload that was counted and not attributed to nodes, in microseconds.
    pub last_unattributed_overload: Option<u64>,
    pub highest_attempt_number: u64,
    /// Last execution of each idempotency key on this server since its start.
    executed: HashMap<String, NumberedRecord>,
    /// Keys of `executed`, the oldest first.
    executed_order: VecDeque<String>,
}

impl Server {
    /// Returns the server's warm-up; `None` if it starts warm or its capacity is unknown.
    pub fn warm_up(&self) -> Option<WarmUp> {
        let start = self.start.as_ref()?;
        let warms = start.warm_us > 0 && start.capacity_us_per_s > 0.0;
        warms.then_some(WarmUp {
            // The earliest possible start gives the highest capacity, so it favors the nodes.
            started_at: start.time.earliest,
            duration_us: start.warm_us,
            capacity_us_per_s: start.capacity_us_per_s,
            initial_share: start.cold_share,
        })
    }

    pub fn is_cold_at(&self, time: u64) -> bool {
        self.warm_up().is_some_and(|warm_up| warm_up.ends_after(time))
    }

    /// Records an execution of an idempotency key; returns the previous execution of the key on this server.
    pub fn record_execution(&mut self, attempt: &NumberedRecord) -> Option<NumberedRecord> {
        let key = &attempt.idempotency_key;
        let before = self.executed.insert(key.clone(), attempt.clone());
        if before.is_none() {
            self.executed_order.push_back(key.clone());
            if self.executed_order.len() > MAX_KEYS_PER_SERVER {
                let oldest = self.executed_order.pop_front().unwrap_or_default();
                self.executed.remove(&oldest);
            }
        }
        before
    }
}

impl Auditor {
    /// Returns the state of the server that a record names.
    pub(super) fn server_of(&mut self, record: &NumberedRecord) -> &mut Server {
        self.servers.entry(record.server_name().into()).or_default()
    }

    pub(super) fn server_started(&mut self, record: NumberedRecord) {
        let server = self.server_of(&record);
        *server = Server {
            zone: record.zone.clone(),
            cell: record.cell,
            last_unattributed_overload: server.last_unattributed_overload,
            start: Some(record),
            ..Server::default()
        };
    }

    pub(super) fn server_down(&mut self, record: &NumberedRecord) {
        if let Some(server) = self.servers.get_mut(record.server_name()) {
            server.load.clear();
        }
    }
}
