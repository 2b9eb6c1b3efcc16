//! What is known of each server: its place, its warm-up, its load and the edits it has run.

use std::collections::{HashMap, VecDeque};

use super::Auditor;
use super::evidence::NumberedRecord;
use super::load_window::LoadWindow;
use crate::rules::work_capacity;

/// Idempotency keys that are remembered for a server, at most.
const MAX_KEYS_PER_SERVER: usize = 4_096;

/// How a server warms up.
pub(super) struct WarmUp {
    pub started_at: u64,
    pub duration_us: u64,
    /// Microseconds of work a second when warm.
    capacity_us_per_s: f64,
    initial_share: f64,
}

impl WarmUp {
    /// Work that it can do within a window, microseconds.
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

/// A server.
#[derive(Default)]
pub(super) struct Server {
    pub zone: String,
    pub cell: u64,
    pub start: Option<NumberedRecord>,
    pub load: LoadWindow,
    /// When its last overload began that no node is to blame for.
    pub unblamed_overload: Option<u64>,
    pub highest_attempt: u64,
    /// Idempotency keys that ran here since it started.
    executed: HashMap<String, NumberedRecord>,
    executed_order: VecDeque<String>,
}

impl Server {
    /// Its warm-up; `None` for one that starts warm or has no known capacity.
    pub fn warm_up(&self) -> Option<WarmUp> {
        let start = self.start.as_ref()?;
        let warms = start.warm_us > 0 && start.capacity_us_per_s > 0.0;
        warms.then_some(WarmUp {
            // The earliest possible start leaves it the most capacity.
            started_at: start.time.earliest,
            duration_us: start.warm_us,
            capacity_us_per_s: start.capacity_us_per_s,
            initial_share: start.cold_share,
        })
    }

    pub fn is_cold_at(&self, time: u64) -> bool {
        self.warm_up().is_some_and(|warm_up| warm_up.ends_after(time))
    }

    /// Notes that an idempotency key ran here; returns the last time that it did.
    pub fn note_execution(&mut self, attempt: &NumberedRecord) -> Option<NumberedRecord> {
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
    /// The server that a record speaks of.
    pub(super) fn server_of(&mut self, record: &NumberedRecord) -> &mut Server {
        self.servers.entry(record.server_name().into()).or_default()
    }

    pub(super) fn server_started(&mut self, record: NumberedRecord) {
        let server = self.server_of(&record);
        *server = Server {
            zone: record.zone.clone(),
            cell: record.cell,
            unblamed_overload: server.unblamed_overload,
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
