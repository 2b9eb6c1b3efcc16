//! What is said to cache servers and what their answers mean.

use bytes::{Bytes, BytesMut};
use spardeal::{Load, Note, Status};

use crate::clients::Command;
use crate::resp::{self, Value};
use crate::upstreams::{Broken, Reply};

/// The command of a client as it goes on to a cache server: all unchanged but `d`, the time left now.
pub fn encode(command: &Command, left_ms: u64) -> Bytes {
    let facts = command.facts.split(',').map(|fact| match fact.split_once('=') {
        Some(("d", _)) => format!("d={left_ms}"),
        _ => fact.into(),
    });
    let facts = facts.collect::<Vec<_>>().join(",");
    let name: &[u8] = if command.write { b"OBJ.SET" } else { b"OBJ.GET" };
    match &command.value {
        Some(value) => resp::command(&[name, &command.key, &command.id, facts.as_bytes(), value]),
        None => resp::command(&[name, &command.key, &command.id, facts.as_bytes()]),
    }
}

/// Takes an answer off the front of what a connection brought; `None` while it is not all there.
pub fn decode(buffer: &mut BytesMut, load_names: &[String]) -> Result<Option<Reply>, Broken> {
    let Some(value) = resp::take_value(buffer).map_err(|_| Broken)? else { return Ok(None) };
    let reply = |status| Reply { status, note: Note::None, load: Load::default(), value: None, keep: true };
    Ok(Some(match value {
        Value::Array(items) => {
            let text = |at: usize| match items.get(at) {
                Some(Value::Bulk(Some(text)) | Value::Line(text)) => std::str::from_utf8(text).unwrap_or(""),
                _ => "",
            };
            let (note, load) = (note(text(1)), load(text(2), load_names));
            match items.first() {
                Some(Value::Bulk(Some(value))) => {
                    Reply { note, load, value: Some(value.clone()), ..reply(Status::Served) }
                }
                Some(Value::Bulk(None)) => Reply { note, load, ..reply(Status::Miss) },
                _ => return Err(Broken),
            }
        }
        Value::Error(line) => {
            let line = std::str::from_utf8(&line).unwrap_or("");
            let status = if line.split(' ').next() == Some("BUSY") { Status::Full } else { Status::Error };
            let last = line.rsplit(' ').next().unwrap_or("");
            Reply { load: load(last, load_names), ..reply(status) }
        }
        // Nothing of the protocol: what this connection brings next can't be matched to anything.
        _ => return Err(Broken),
    }))
}

/// How a read went, in a server's words.
pub fn note(word: &str) -> Note {
    match word {
        "hit" => Note::Hit,
        "miss" => Note::Miss,
        "pending" => Note::MissBeingFetched,
        _ => Note::None,
    }
}

/// A load report in a server's words: names and values, put in the order that the settings name them.
pub fn load(text: &str, names: &[String]) -> Load {
    let mut load = Load::default();
    for (slot, name) in names.iter().take(load.values.len()).enumerate() {
        let pair = text.split(',').filter_map(|pair| pair.split_once('='));
        let Some(value) = pair.filter(|(key, _)| key == name).find_map(|(_, value)| value.parse().ok())
        else {
            return Load::default();
        };
        load.values[slot] = value;
        load.count += 1;
    }
    load
}
