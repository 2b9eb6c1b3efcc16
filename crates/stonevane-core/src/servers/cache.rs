//! What is said to cache servers and what their answers mean.

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, Value};
use stonevane_policy::{AttemptStatus, CacheStatus, LoadReport};

use crate::reply::{Broken, Reply};
use crate::request::Command;

/// The command of a client as an attempt sends it to a cache server.
pub(crate) fn encode(command: &Command, left_ms: u64) -> Bytes {
    let facts = command.facts_with_time_left(left_ms);
    let name: &[u8] = if command.write { b"OBJ.SET" } else { b"OBJ.GET" };
    match &command.value {
        Some(value) => resp::command(&[name, &command.key, &command.id, facts.as_bytes(), value]),
        None => resp::command(&[name, &command.key, &command.id, facts.as_bytes()]),
    }
}

/// Takes an answer off the front of what a connection brought; `None` while it is not all there. Against
/// spoilt answers passed on: whatever is not just as the protocol has it is broken.
pub(crate) fn decode(
    buffer: &mut BytesMut,
    load_names: &[String],
    longest: usize,
) -> Result<Option<Reply>, Broken> {
    let Some(value) = resp::take_value(buffer, longest).map_err(|_| Broken)? else { return Ok(None) };
    let reply = |status| Reply::bare(status, true);
    Ok(Some(match value {
        Value::Array(items) => {
            let Ok([Value::Bulk(value), Value::Bulk(how), Value::Bulk(report)]) =
                <[Value; 3]>::try_from(items)
            else {
                return Err(Broken);
            };
            // A report or a word that can't be read tells nothing, and the answer is good all the same.
            fn text(word: &Option<Bytes>) -> &str {
                word.as_ref().and_then(|word| std::str::from_utf8(word).ok()).unwrap_or("")
            }
            let how = text(&how);
            let (note, load) = (note(how), load(text(&report), load_names));
            let status = if value.is_some() { AttemptStatus::Served } else { AttemptStatus::Miss };
            let at_least = how.strip_prefix("miss:").and_then(|version| version.parse().ok()).unwrap_or(0);
            Reply { note, load, value, at_least, ..reply(status) }
        }
        Value::Error(line) => {
            let line = std::str::from_utf8(&line).map_err(|_| Broken)?;
            let status = match line.split(' ').next() {
                _ if line.chars().any(char::is_control) => return Err(Broken),
                Some("BUSY") => AttemptStatus::Rejected,
                Some("ERR") => AttemptStatus::Error,
                _ => return Err(Broken),
            };
            let last = line.rsplit(' ').next().unwrap_or("");
            Reply { load: load(last, load_names), ..reply(status) }
        }
        // Nothing of the protocol: what this connection brings next can't be matched to anything.
        _ => return Err(Broken),
    }))
}

/// How a read went, in a server's words. Caches that take voids from nodes say of a miss which version they were told
/// of last (`miss:41`).
pub fn note(word: &str) -> CacheStatus {
    match word.split(':').next().unwrap_or_default() {
        "hit" => CacheStatus::Hit,
        "miss" => CacheStatus::Miss,
        "pending" => CacheStatus::MissBeingFetched,
        _ => CacheStatus::None,
    }
}

/// A load report in a server's words: names and values, put in the order that the settings name them.
pub fn load(text: &str, names: &[String]) -> LoadReport {
    let mut load = LoadReport::default();
    for (slot, name) in names.iter().take(load.values.len()).enumerate() {
        let pair = text.split(',').filter_map(|pair| pair.split_once('='));
        let value = pair.filter(|(key, _)| key == name).find_map(|(_, value)| value.parse::<f32>().ok());
        // Against reports that parse and tell nothing: not a number, endless or negative.
        let Some(value) = value.filter(|value| value.is_finite() && *value >= 0.0) else {
            return LoadReport::default();
        };
        load.values[slot] = value;
        load.count += 1;
    }
    load
}
