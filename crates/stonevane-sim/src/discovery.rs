//! Model of the discovery service: a versioned server list, and a queue that handles one call at a time.

use stonevane_core::{Endpoint, EndpointList};
use stonevane_server_model::service::CallQueue;

use crate::server::Server;

/// Time after which a node's call to discovery without an answer fails, microseconds.
const CALL_TIMEOUT_US: u64 = 2_000_000;
/// Maximum work queued ahead of a call, as a multiple of [`CALL_TIMEOUT_US`]; discovery rejects a call with
/// more work ahead of it.
const MAX_QUEUED_TIMEOUTS: u64 = 4;

/// An entry of the server list, and the list version at which it last changed.
#[derive(Debug, Clone)]
pub struct Entry {
    pub name: String,
    pub address: String,
    pub is_origin: bool,
    pub status: &'static str,
    /// Simulated time at which the server started, microseconds; 0 if it started long before the run.
    pub started_at: u64,
    pub version: u64,
}

/// Outcome of a call to discovery, with the simulated time of the outcome in microseconds.
pub enum CallOutcome {
    Answered { at: u64 },
    Failed { at: u64 },
}

/// State of the discovery service.
pub struct Discovery {
    pub entries: Vec<Entry>,
    pub version: u64,
    /// Whether an outage is in force, during which all calls fail.
    pub is_down: bool,
    /// Whether discovery sends a stale watch event after each new one.
    pub sends_stale_events: bool,
    calls: CallQueue,
}

impl Discovery {
    /// Creates the service with a list of `servers`, all of them active and started long before the run.
    pub fn new(servers: &[Server]) -> Discovery {
        let entries = servers.iter().map(|server| Entry {
            name: server.name.clone(),
            address: server.address.to_string(),
            is_origin: server.is_origin,
            status: "active",
            started_at: 0,
            version: 1,
        });
        Discovery {
            entries: entries.collect(),
            version: 1,
            is_down: false,
            sends_stale_events: false,
            calls: CallQueue::default(),
        }
    }

    /// Queues a call that takes `work_us` microseconds, and returns its outcome. The calls ahead of it are
    /// worked on even if their callers have timed out.
    pub fn take_call(&mut self, now: u64, work_us: u64) -> CallOutcome {
        match self.calls.enqueue(now, work_us, MAX_QUEUED_TIMEOUTS * CALL_TIMEOUT_US) {
            None => CallOutcome::Failed { at: now },
            Some(at) if at <= now + CALL_TIMEOUT_US => CallOutcome::Answered { at },
            Some(_) => CallOutcome::Failed { at: now + CALL_TIMEOUT_US },
        }
    }

    /// Changes a server's status, and its start time if one is given, and increments the list version.
    pub fn change(&mut self, name: &str, status: &'static str, started_at: Option<u64>) {
        self.version += 1;
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.name == name) {
            (entry.status, entry.version) = (status, self.version);
            entry.started_at = started_at.unwrap_or(entry.started_at);
        }
    }

    /// Returns the entries that changed after `version`, or all entries for version 0.
    pub fn changed_after(&self, version: u64) -> Vec<Entry> {
        let is_newer = |entry: &&Entry| version == 0 || entry.version > version;
        self.entries.iter().filter(is_newer).cloned().collect()
    }

    /// Returns the entries that changed after `version` in the form in which nodes read a server list.
    /// `epoch_us` is the Unix time of the run's start, microseconds.
    pub fn list_after(&self, version: u64, epoch_us: u64) -> EndpointList {
        let endpoints = self.changed_after(version).into_iter().map(|entry| Endpoint {
            name: entry.name,
            address: entry.address,
            zone: "a".into(),
            kind: if entry.is_origin { "origin" } else { "cache" }.into(),
            group: 0,
            status: entry.status.into(),
            weight: 1.0,
            since_ms: if entry.started_at == 0 { 0 } else { (epoch_us + entry.started_at) / 1_000 },
        });
        EndpointList { version: self.version, snapshot: version == 0, endpoints: endpoints.collect() }
    }
}
