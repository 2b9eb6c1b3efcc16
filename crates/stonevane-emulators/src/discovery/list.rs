//! The endpoint list and its form on the wire.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::record::MonotonicClock;

/// A server in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its address at each node.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub group: u16,
    /// `active`, `leaving` or `left`.
    pub status: String,
    /// Its weight.
    pub weight: f32,
    /// When it last started, in microseconds of the monotonic clock; 0 for long ago.
    pub since: u64,
    /// The index of the list at its last change.
    pub index: u64,
}

impl Entry {
    /// The entry as one node is sent it.
    fn json(&self, node: &str, skew_ms: i64) -> String {
        let address = self.addresses.get(node).map(SocketAddr::to_string).unwrap_or_default();
        serde_json::json!({
            "name": self.name, "address": address, "zone": self.zone, "type": self.kind, "group": self.group,
            "status": self.status, "weight": self.weight, "since_ms": unix_ms(self.since, skew_ms),
        })
        .to_string()
    }
}

/// A moment of the monotonic clock as Unix time of a clock that is off by `skew_ms`; 0 stays 0.
fn unix_ms(moment_us: u64, skew_ms: i64) -> u64 {
    if moment_us == 0 {
        return 0;
    }
    let ago_ms = MonotonicClock::now().saturating_sub(moment_us) / 1_000;
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    now_ms.saturating_sub(ago_ms).saturating_add_signed(skew_ms)
}

/// A message for a node: the list, or what has changed in it.
pub(super) struct Update {
    /// The index of the list.
    pub(super) index: u64,
    pub(super) is_snapshot: bool,
    /// The message.
    pub(super) text: String,
    /// The entries in it.
    pub(super) entries: Vec<Entry>,
}

/// The list and its changes.
pub(super) struct Endpoints {
    entries: BTreeMap<String, Entry>,
    index: u64,
    /// The order of the newest change of each server that was learnt.
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

    /// Begins a change of a server; `false` where a newer one was learnt before.
    pub(super) fn begin_change(&mut self, name: &str, order: u64) -> bool {
        let newest = self.newest_changes.entry(name.to_owned()).or_default();
        if *newest > order {
            return false;
        }
        *newest = order;
        self.index += 1;
        true
    }

    /// Changes a server, where it is known.
    pub(super) fn change(&mut self, name: &str, status: &str, since: Option<u64>) -> Option<&Entry> {
        let entry = self.entries.get_mut(name)?;
        status.clone_into(&mut entry.status);
        entry.index = self.index;
        entry.since = since.unwrap_or(entry.since);
        Some(entry)
    }

    /// The list for a node.
    pub(super) fn snapshot(&self, node: &str, skew_ms: i64) -> Update {
        self.update(None, node, skew_ms)
    }

    /// What has changed after an index, or the list where there is none.
    pub(super) fn update(&self, after: Option<u64>, node: &str, skew_ms: i64) -> Update {
        let is_snapshot = after.is_none();
        let index = self.index;
        let entries: Vec<_> = self.entries_after(after).cloned().collect();
        let json: Vec<_> = entries.iter().map(|entry| entry.json(node, skew_ms)).collect();
        let text =
            format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, json.join(","));
        Update { index, is_snapshot, text, entries }
    }

    /// Lines of an update.
    pub(super) fn update_lines(&self, after: Option<u64>) -> u32 {
        self.entries_after(after).count() as u32
    }

    fn entries_after(&self, after: Option<u64>) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |entry| match after {
            None => entry.status != "left",
            Some(after) => entry.index > after,
        })
    }

    /// Servers that a snapshot lacks, with their starts.
    pub(super) fn missing_from(&self, snapshot: &[Entry]) -> Vec<(String, u64)> {
        let missing = |entry: &&Entry| !snapshot.iter().any(|sent| sent.name == entry.name);
        self.entries.values().filter(missing).map(|entry| (entry.name.clone(), entry.since)).collect()
    }
}
