//! The endpoint list and its JSON form on the wire.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::record::MonotonicClock;

/// A server in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Name of the server, unique in the list.
    pub name: String,
    /// Address of the server as each node reaches it, by the node's name.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Zone in which the server runs.
    pub zone: String,
    /// Machine type of the server, `type` on the wire.
    pub kind: String,
    /// Number of the server's cell.
    pub group: u16,
    /// Status of the server: `active`, `leaving` or `left`.
    pub status: String,
    /// Relative weight of the server in load balancing.
    pub weight: f32,
    /// Time at which the server last started, in microseconds of the monotonic clock; 0 if it has run since
    /// before the scenario.
    pub since: u64,
    /// Index of the list at the entry's last change.
    pub index: u64,
}

impl Entry {
    /// Returns the entry as it is sent to one node.
    fn json(&self, node: &str, skew_ms: i64) -> String {
        let address = self.addresses.get(node).map(SocketAddr::to_string).unwrap_or_default();
        serde_json::json!({
            "name": self.name, "address": address, "zone": self.zone, "type": self.kind, "group": self.group,
            "status": self.status, "weight": self.weight, "since_ms": unix_ms(self.since, skew_ms),
        })
        .to_string()
    }
}

/// Converts a time of the monotonic clock to Unix time of a clock that is off by `skew_ms`; 0 stays 0.
fn unix_ms(moment_us: u64, skew_ms: i64) -> u64 {
    if moment_us == 0 {
        return 0;
    }
    let ago_ms = MonotonicClock::now().saturating_sub(moment_us) / 1_000;
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    now_ms.saturating_sub(ago_ms).saturating_add_signed(skew_ms)
}

/// A message for a node: the list, or the entries that have changed.
pub(super) struct Update {
    /// Index of the list.
    pub(super) index: u64,
    pub(super) is_snapshot: bool,
    /// The message, as JSON.
    pub(super) body: String,
    /// The entries in the message.
    pub(super) entries: Vec<Entry>,
}

/// The endpoint list, with the order of the changes applied to it.
pub(super) struct Endpoints {
    entries: BTreeMap<String, Entry>,
    index: u64,
    /// Order of the newest change applied to each server.
    newest_changes: BTreeMap<String, u64>,
}

impl Endpoints {
    pub(super) fn new(entries: Vec<Entry>) -> Endpoints {
        let entries = entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        Endpoints { entries, index: 1, newest_changes: BTreeMap::new() }
    }

    pub(super) fn index(&self) -> u64 {
        self.index
    }

    /// Begins a change of a server; returns `false` if a newer change of this server has already been
    /// applied.
    pub(super) fn begin_change(&mut self, name: &str, order: u64) -> bool {
        let newest = self.newest_changes.entry(name.to_owned()).or_default();
        if *newest > order {
            return false;
        }
        *newest = order;
        self.index += 1;
        true
    }

    /// Changes the entry of a server; `None` if the list has none.
    pub(super) fn change(&mut self, name: &str, status: &str, since: Option<u64>) -> Option<&Entry> {
        let entry = self.entries.get_mut(name)?;
        status.clone_into(&mut entry.status);
        entry.index = self.index;
        entry.since = since.unwrap_or(entry.since);
        Some(entry)
    }

    /// Returns the list for a node.
    pub(super) fn snapshot(&self, node: &str, skew_ms: i64) -> Update {
        self.update(None, node, skew_ms)
    }

    /// Returns the entries that have changed after an index, or the list if `after` is `None`.
    pub(super) fn update(&self, after: Option<u64>, node: &str, skew_ms: i64) -> Update {
        let is_snapshot = after.is_none();
        let index = self.index;
        let entries: Vec<_> = self.entries_after(after).cloned().collect();
        let json: Vec<_> = entries.iter().map(|entry| entry.json(node, skew_ms)).collect();
        let body =
            format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, json.join(","));
        Update { index, is_snapshot, body, entries }
    }

    /// Returns the number of entries in an update.
    pub(super) fn update_entries(&self, after: Option<u64>) -> u32 {
        self.entries_after(after).count() as u32
    }

    fn entries_after(&self, after: Option<u64>) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |entry| match after {
            None => entry.status != "left",
            Some(after) => entry.index > after,
        })
    }

    /// Returns the servers that are missing from a snapshot, with the times of their last starts.
    pub(super) fn missing_from(&self, snapshot: &[Entry]) -> Vec<(String, u64)> {
        let missing = |entry: &&Entry| !snapshot.iter().any(|sent| sent.name == entry.name);
        self.entries.values().filter(missing).map(|entry| (entry.name.clone(), entry.since)).collect()
    }
}
