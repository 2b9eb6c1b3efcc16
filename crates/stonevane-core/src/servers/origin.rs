//! What is said to the origin, in HTTP/1.1, and what its answers mean.

use bytes::{BufMut, Bytes, BytesMut};
use stonevane_codec::http::{self, Chunks};
use stonevane_policy::AttemptStatus;

use super::cache;
use crate::reply::{Broken, Reply};
use crate::request::Command;

/// Interim answers (1xx) ahead of the final one, at most.
const MAX_INTERIM: usize = 8;

/// The command of a client as an attempt sends it to the origin.
pub(super) fn encode(command: &Command, left_ms: u64, host: &str) -> Bytes {
    let mut out = BytesMut::with_capacity(512);
    out.put_slice(if command.write { b"PUT /" } else { b"GET /" });
    out.put_slice(&command.key);
    out.put_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nX-Correlation-Id: ").as_bytes());
    out.put_slice(&command.id);
    out.put_slice(format!("\r\nX-Facts: {}\r\n", command.facts_with_time_left(left_ms)).as_bytes());
    let body: &[u8] = command.value.as_deref().unwrap_or(b"");
    if command.write {
        out.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out.freeze()
}

/// Takes an answer off the front of what a connection brought; `None` while it is not all there.
pub(super) fn decode(
    buffer: &mut BytesMut,
    load_names: &[String],
    longest: usize,
) -> Result<Option<Reply>, Broken> {
    // Interim answers come ahead of the final one. They stay in the buffer until that has come, so that the
    // few that are allowed are counted anew each time: against a server that sends them without end.
    let mut ahead = 0;
    let mut heads = 0..=MAX_INTERIM;
    let head = loop {
        heads.next().ok_or(Broken)?;
        let Some(head) = http::head(&buffer[ahead..]).map_err(|_| Broken)? else { return Ok(None) };
        match head.status {
            100 | 102..200 => ahead += head.length,
            200.. => break head,
            // Nobody asked for another protocol, and there are no codes under 100.
            _ => return Err(Broken),
        }
    };
    let start = ahead + head.length;
    let mut keep = !head.close;
    let value = if head.chunked {
        let (mut rest, mut body) = (BytesMut::from(&buffer[start..]), BytesMut::new());
        if !Chunks::default().take(&mut rest, &mut body).map_err(|_| Broken)? {
            return if rest.len() + body.len() > 2 * longest { Err(Broken) } else { Ok(None) };
        }
        keep = false;
        if body.len() > longest {
            return Err(Broken);
        }
        buffer.clear();
        body.freeze()
    } else {
        let length = match head.content_length {
            Some(length) if length <= longest => length,
            // A value that ends with its connection can't be told from one that was cut off; of an answer
            // without one, the head tells all.
            None if head.status != 200 => {
                keep = false;
                0
            }
            _ => return Err(Broken),
        };
        if buffer.len() < start + length {
            return Ok(None);
        }
        let _ = buffer.split_to(start);
        buffer.split_to(length).freeze()
    };
    let status = match head.status {
        200 => AttemptStatus::Served,
        503 | 504 if head.unprocessed => AttemptStatus::Rejected,
        _ => AttemptStatus::Error,
    };
    let value = (status == AttemptStatus::Served).then_some(value);
    let load = cache::load(head.load.as_deref().unwrap_or(""), load_names);
    let note = cache::note(head.note.as_deref().unwrap_or(""));
    Ok(Some(Reply { status, note, load, value, at_least: 0, keep }))
}

/// Where an answer's value begins, how long it is stated to be, and whether the connection can be used again: of a served
/// answer whose head is all there.
pub(super) fn value_begins(buffer: &[u8]) -> Option<(usize, usize, bool)> {
    let head = http::head(buffer).ok()??;
    let length = head.content_length.filter(|_| head.status == 200 && !head.chunked)?;
    Some((head.length, length, !head.close))
}

/// The length that an answer states for its value, once it has.
pub(super) fn stated(buffer: &[u8]) -> Option<usize> {
    http::head(buffer).ok().flatten().and_then(|head| head.content_length)
}
