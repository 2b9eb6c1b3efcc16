//! The schema of the configuration file, and the comparison of two versions of it.

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use stonevane_core::EndpointList;

/// Keys that a reloaded file may omit, because they are not settings: the endpoint list known before the
/// start, and the peers.
const TRANSIENT_KEYS: [&str; 2] = ["known", "peers"];

/// The configuration file.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct File {
    pub listen: String,
    pub mgmt: String,
    pub discovery: String,
    pub seed: String,
    pub limits: Limits,
    pub known: Option<EndpointList>,
    pub settings: Option<Box<RawValue>>,
    pub peer_listen: String,
    pub peers: Vec<String>,
}

/// Limits of the process: number of sockets, and memory in megabytes.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// Returns the first key that the previous file has and the present one lacks, as a path of keys.
pub(super) fn first_missing_key(previous: &Value, present: &Value) -> Option<String> {
    match (previous, present) {
        (Value::Object(previous), Value::Object(present)) => {
            let required = previous.iter().filter(|(key, _)| !TRANSIENT_KEYS.contains(&key.as_str()));
            required.into_iter().find_map(|(key, value)| match present.get(key) {
                None => Some(key.clone()),
                Some(present) => first_missing_key(value, present).map(|nested| format!("{key}.{nested}")),
            })
        }
        (Value::Object(_), _) => Some("an object that stood here".into()),
        (Value::Array(previous), Value::Array(present)) => first_missing_entry_key(previous, present),
        _ => None,
    }
}

/// Entries of a list (classes, tenants) come and go; each new entry must have the keys that all previous
/// entries had.
fn first_missing_entry_key(previous: &[Value], present: &[Value]) -> Option<String> {
    let first = previous.first()?.as_object()?;
    let in_all = |key: &&String| previous.iter().all(|entry| entry.get(*key).is_some());
    let common: Vec<&String> = first.keys().filter(in_all).collect();
    let missing = |entry: &Value| common.iter().find(|key| entry.get(*key).is_none());
    present.iter().find_map(missing).map(|key| (*key).clone())
}
