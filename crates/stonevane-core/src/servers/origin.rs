//! The HTTP/1.1 protocol of the origin: encodes attempts and decodes their replies.

use bytes::{BufMut, Bytes, BytesMut};
use stonevane_codec::http::{self, ChunkedDecoder, ResponseHead};
use stonevane_policy::AttemptStatus;

use super::cache;
use super::conn::ValuePosition;
use crate::reply::{MalformedReply, Reply};
use crate::request::Command;

/// Maximum number of interim responses (1xx) that are accepted ahead of the final one.
const MAX_INTERIM_RESPONSES: usize = 8;
/// Initial buffer capacity of an encoded request.
const REQUEST_CAPACITY_BYTES: usize = 512;

/// Encodes a client's command as a request to the origin. `left_ms` is the time until the client's deadline.
pub(super) fn encode(command: &Command, left_ms: u64, host: &str) -> Bytes {
    let mut out = BytesMut::with_capacity(REQUEST_CAPACITY_BYTES);
    out.put_slice(if command.write { b"PUT /" } else { b"GET /" });
    out.put_slice(&command.key);
    out.put_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nX-Correlation-Id: ").as_bytes());
    out.put_slice(&command.id);
    out.put_slice(format!("\r\nX-Facts: {}\r\n", command.parameters_with_time_left(left_ms)).as_bytes());
    let body: &[u8] = command.value.as_deref().unwrap_or(b"");
    if command.write {
        out.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out.freeze()
}

/// Removes a reply from the front of a buffer and decodes it; `None` while it is incomplete.
pub(super) fn decode(
    buffer: &mut BytesMut,
    load_names: &[String],
    max_value: usize,
) -> Result<Option<Reply>, MalformedReply> {
    let Some((interim_length, head)) = final_head(buffer)? else { return Ok(None) };
    let body_start = interim_length + head.length;
    let body = if head.chunked {
        take_chunked_body(buffer, body_start, max_value)?
    } else {
        take_sized_body(buffer, body_start, &head, max_value)?
    };
    let Some(Body { value, reusable }) = body else { return Ok(None) };
    let status = match head.status {
        200 => AttemptStatus::Served,
        503 | 504 if head.unprocessed => AttemptStatus::Rejected,
        _ => AttemptStatus::Error,
    };
    Ok(Some(Reply {
        status,
        cache_status: cache::parse_cache_status(head.lookup.as_deref().unwrap_or("")),
        load: cache::parse_load(head.load.as_deref().unwrap_or(""), load_names),
        value: (status == AttemptStatus::Served).then_some(value),
        min_version: 0,
        reusable: reusable && !head.close,
    }))
}

/// Finds the head of the final response, and the length of the interim responses ahead of it. The interim
/// responses stay in the buffer until the final head has arrived, so that each call counts all of them.
/// Without that count a server could send them endlessly.
fn final_head(buffer: &[u8]) -> Result<Option<(usize, ResponseHead)>, MalformedReply> {
    let mut interim_length = 0;
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = http::response_head(&buffer[interim_length..]).map_err(|_| MalformedReply)?;
        let Some(head) = head else { return Ok(None) };
        match head.status {
            100 | 102..200 => interim_length += head.length,
            200.. => return Ok(Some((interim_length, head))),
            // No request asks for a protocol upgrade (101), and codes below 100 do not exist.
            _ => return Err(MalformedReply),
        }
    }
    Err(MalformedReply)
}

struct Body {
    value: Bytes,
    /// Whether the connection can carry another request after the body.
    reusable: bool,
}

fn take_chunked_body(
    buffer: &mut BytesMut,
    start: usize,
    max_value: usize,
) -> Result<Option<Body>, MalformedReply> {
    let mut rest = BytesMut::from(&buffer[start..]);
    let mut value = BytesMut::new();
    let complete = ChunkedDecoder::default().take(&mut rest, &mut value).map_err(|_| MalformedReply)?;
    if !complete {
        let too_long = rest.len() + value.len() > 2 * max_value;
        return if too_long { Err(MalformedReply) } else { Ok(None) };
    }
    if value.len() > max_value {
        return Err(MalformedReply);
    }
    buffer.clear();
    // Trailers are not read, so the connection can't be used again.
    Ok(Some(Body { value: value.freeze(), reusable: false }))
}

fn take_sized_body(
    buffer: &mut BytesMut,
    start: usize,
    head: &ResponseHead,
    max_value: usize,
) -> Result<Option<Body>, MalformedReply> {
    let length = match head.content_length {
        Some(length) if length <= max_value => length,
        // A value that is delimited by the end of the connection might be truncated. A failure needs no body.
        None if head.status != 200 => 0,
        _ => return Err(MalformedReply),
    };
    if buffer.len() < start + length {
        return Ok(None);
    }
    let _ = buffer.split_to(start);
    let value = buffer.split_to(length).freeze();
    Ok(Some(Body { value, reusable: head.content_length.is_some() }))
}

/// Returns the position of a served reply's value; `None` while the head is incomplete or if no length is
/// stated.
pub(super) fn served_value_position(buffer: &[u8]) -> Option<ValuePosition> {
    let head = http::response_head(buffer).ok()??;
    let length = head.content_length.filter(|_| head.status == 200 && !head.chunked)?;
    Some(ValuePosition { start: head.length, length, reusable: !head.close })
}

/// Returns the stated length of a reply's value, in bytes, once the head has arrived.
pub(super) fn value_length(buffer: &[u8]) -> Option<usize> {
    http::response_head(buffer).ok().flatten().and_then(|head| head.content_length)
}
