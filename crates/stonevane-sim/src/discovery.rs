//! Discovery: who there is, and since which version.

use stonevane_core::{Endpoint, EndpointList};
use stonevane_server_model::service::Turns;

use crate::servers::Server;

/// A call that has waited for so long fails, microseconds.
const WAITS: u64 = 2_000_000;
/// A call is turned away where those before it take more than so many times that.
const OVERBOOKED: u64 = 4;

/// One entry, and the version at which it last changed.
#[derive(Debug, Clone)]
pub struct Entry {
    pub name: String,
    pub address: String,
    pub origin: bool,
    pub status: &'static str,
    /// The moment of its start, 0 for long ago, in microseconds of the run.
    pub since: u64,
    pub index: u64,
}

/// What discovery knows.
pub struct Discovery {
    pub entries: Vec<Entry>,
    pub index: u64,
    /// It answers no calls.
    pub down: bool,
    /// It tells changes out of order.
    pub old_news: bool,
    turns: Turns,
}

impl Discovery {
    /// One that knows these servers, all active and started long ago.
    pub fn of(servers: &[Server]) -> Discovery {
        let entries = servers.iter().map(|server| Entry {
            name: server.name.clone(),
            address: server.address.to_string(),
            origin: server.origin,
            status: "active",
            since: 0,
            index: 1,
        });
        Discovery {
            entries: entries.collect(),
            index: 1,
            down: false,
            old_news: false,
            turns: Turns::default(),
        }
    }

    /// A call comes that it works on for so long, after those before it, also where their callers wait no more: when it
    /// is over, and whether it is answered.
    pub fn take(&mut self, now: u64, takes: u64) -> (u64, bool) {
        match self.turns.take(now, takes, OVERBOOKED * WAITS) {
            None => (now, false),
            Some(at) if at <= now + WAITS => (at, true),
            Some(_) => (now + WAITS, false),
        }
    }

    /// It learns of a change.
    pub fn change(&mut self, name: &str, status: &'static str, since: Option<u64>) {
        self.index += 1;
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.name == name) {
            (entry.status, entry.index) = (status, self.index);
            entry.since = since.unwrap_or(entry.since);
        }
    }

    /// What changed after a version, or all of it; `epoch`: the moment 0 of the run, Unix time in microseconds.
    pub fn listing(&self, after: u64, epoch: u64) -> (EndpointList, Vec<Entry>) {
        let told: Vec<Entry> =
            self.entries.iter().filter(|entry| after == 0 || entry.index > after).cloned().collect();
        let endpoints = told.iter().map(|entry| Endpoint {
            name: entry.name.clone(),
            address: entry.address.clone(),
            zone: "a".into(),
            kind: if entry.origin { "origin" } else { "cache" }.into(),
            group: 0,
            status: entry.status.into(),
            weight: 1.0,
            since_ms: if entry.since == 0 { 0 } else { (epoch + entry.since) / 1_000 },
        });
        let endpoints = endpoints.collect();
        (EndpointList { index: self.index, snapshot: after == 0, endpoints }, told)
    }
}
