//! The discovery service: which servers there are, since which version, and how long calls take.

use stonevane_core::{Endpoint, EndpointList};
use stonevane_server_model::service::Turns;

use crate::server::Server;

/// A call that has waited for so long fails, microseconds.
const CALL_TIMEOUT_US: u64 = 2_000_000;
/// A call is rejected where those before it take more than so many timeouts.
const MAX_QUEUED_TIMEOUTS: u64 = 4;

/// One entry, and the version at which it last changed.
#[derive(Debug, Clone)]
pub struct Entry {
    pub name: String,
    pub address: String,
    pub is_origin: bool,
    pub status: &'static str,
    /// The moment of its start in the run, 0 for long ago, microseconds.
    pub started_at: u64,
    pub version: u64,
}

/// How a call to discovery ends, and when.
pub enum CallOutcome {
    Answered { at: u64 },
    Failed { at: u64 },
}

/// What discovery knows.
pub struct Discovery {
    pub entries: Vec<Entry>,
    pub version: u64,
    /// It answers no calls.
    pub is_down: bool,
    /// It sends watch events out of order.
    pub sends_stale_events: bool,
    calls: Turns,
}

impl Discovery {
    /// One that knows these servers, all active and started long ago.
    pub fn of(servers: &[Server]) -> Discovery {
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
            calls: Turns::default(),
        }
    }

    /// A call comes, to be worked on after those before it, also where their callers wait no more.
    pub fn take_call(&mut self, now: u64, work_us: u64) -> CallOutcome {
        match self.calls.take(now, work_us, MAX_QUEUED_TIMEOUTS * CALL_TIMEOUT_US) {
            None => CallOutcome::Failed { at: now },
            Some(at) if at <= now + CALL_TIMEOUT_US => CallOutcome::Answered { at },
            Some(_) => CallOutcome::Failed { at: now + CALL_TIMEOUT_US },
        }
    }

    /// It learns of a change.
    pub fn change(&mut self, name: &str, status: &'static str, started_at: Option<u64>) {
        self.version += 1;
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.name == name) {
            (entry.status, entry.version) = (status, self.version);
            entry.started_at = started_at.unwrap_or(entry.started_at);
        }
    }

    /// The entries that changed after a version, or all of them after version 0.
    pub fn changed_after(&self, version: u64) -> Vec<Entry> {
        let is_new = |entry: &&Entry| version == 0 || entry.version > version;
        self.entries.iter().filter(is_new).cloned().collect()
    }

    /// The same as nodes are sent it; `epoch_us`: the moment 0 of the run in Unix time.
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
        EndpointList { index: self.version, snapshot: version == 0, endpoints: endpoints.collect() }
    }
}
