//! The RESP2 protocol of cache servers: encodes attempts and decodes their replies.

use bytes::{Buf, Bytes, BytesMut};
use stonevane_codec::resp::{self, ServerReply, ServerReplyDecoder, ServerReplyProgress, ValuePosition};
use stonevane_policy::{AttemptStatus, CacheStatus, LoadReport};

use super::decoder::{LongValue, ReplyProgress};
use crate::reply::{MalformedReply, Reply};
use crate::request::Command;

/// Encodes a client's command as a request to a cache server. `left_ms` is the time until the client's
/// deadline.
pub(super) fn encode(command: &Command, left_ms: u64) -> Bytes {
    let parameters = command.parameters_with_time_left(left_ms);
    let name: &[u8] = if command.write { b"OBJ.SET" } else { b"OBJ.GET" };
    match &command.value {
        Some(value) => resp::encode_command(&[name, &command.key, &command.id, parameters.as_bytes(), value]),
        None => resp::encode_command(&[name, &command.key, &command.id, parameters.as_bytes()]),
    }
}

/// Decoder of one reply of a cache server.
#[derive(Debug, Default)]
pub(super) struct ReplyDecoder {
    decoder: ServerReplyDecoder,
}

impl ReplyDecoder {
    /// Decodes the reply at the front of a buffer, and removes it once it is complete. Any deviation from the
    /// protocol makes the reply malformed, so that no corrupted value is forwarded.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        load_names: &[String],
    ) -> Result<ReplyProgress, MalformedReply> {
        match self.decoder.decode(buffer).map_err(|_| MalformedReply)? {
            ServerReplyProgress::Incomplete => Ok(ReplyProgress::Incomplete),
            ServerReplyProgress::LongValue(position) => {
                let ValuePosition { start, length } = position;
                buffer.advance(start);
                Ok(ReplyProgress::LongValue(LongValue { length, reusable: true }))
            }
            ServerReplyProgress::Complete { reply, length } => {
                let reply = decode_reply(reply, load_names)?;
                buffer.advance(length);
                Ok(ReplyProgress::Complete(reply))
            }
        }
    }
}

fn decode_reply(reply: ServerReply<'_>, load_names: &[String]) -> Result<Reply, MalformedReply> {
    match reply {
        ServerReply::Error(line) => decode_error(line, load_names),
        ServerReply::Served { value, lookup, load_report } => {
            Ok(decode_served(value, lookup, load_report, load_names))
        }
    }
}

/// Decodes value, lookup result and load report. An invalid lookup result or load report is ignored, and the
/// reply is still valid.
fn decode_served(value: Option<&[u8]>, lookup: &[u8], load_report: &[u8], load_names: &[String]) -> Reply {
    let lookup = std::str::from_utf8(lookup).unwrap_or("");
    let load_report = std::str::from_utf8(load_report).unwrap_or("");
    Reply {
        status: if value.is_some() { AttemptStatus::Served } else { AttemptStatus::Miss },
        cache_status: parse_cache_status(lookup),
        load: parse_load(load_report, load_names),
        value: value.map(Bytes::copy_from_slice),
        min_version: lookup.strip_prefix("miss:").and_then(|version| version.parse().ok()).unwrap_or(0),
        reusable: true,
    }
}

fn decode_error(line: &[u8], load_names: &[String]) -> Result<Reply, MalformedReply> {
    let line = std::str::from_utf8(line).map_err(|_| MalformedReply)?;
    if line.chars().any(char::is_control) {
        return Err(MalformedReply);
    }
    let status = match line.split(' ').next() {
        Some("BUSY") => AttemptStatus::Rejected,
        Some("ERR") => AttemptStatus::Error,
        _ => return Err(MalformedReply),
    };
    let report = line.rsplit(' ').next().unwrap_or("");
    Ok(Reply { load: parse_load(report, load_names), ..Reply::of_status(status, true) })
}

/// Parses the result of a read's lookup. Caches that are notified of writes append to a miss the newest
/// version of the key that they have been notified of (`miss:41`).
pub(super) fn parse_cache_status(word: &str) -> CacheStatus {
    match word.split(':').next().unwrap_or_default() {
        "hit" => CacheStatus::Hit,
        "miss" => CacheStatus::Miss,
        "pending" => CacheStatus::MissBeingFetched,
        _ => CacheStatus::None,
    }
}

/// Parses a load report of `name=value` pairs and orders the values by `names`. A value that is missing,
/// negative or not finite makes the whole report invalid, and an empty report is returned.
pub(super) fn parse_load(text: &str, names: &[String]) -> LoadReport {
    let mut load = LoadReport::default();
    for (slot, name) in names.iter().take(load.values.len()).enumerate() {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| key == name).find_map(|(_, value)| value.parse::<f32>().ok());
        let Some(value) = value.filter(|value| value.is_finite() && *value >= 0.0) else {
            return LoadReport::default();
        };
        load.values[slot] = value;
        load.count += 1;
    }
    load
}
