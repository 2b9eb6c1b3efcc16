//! Server protocols: parses requests from a byte stream (RESP2 at caches, HTTP/1.1 at the origin) and encodes
//! answers.

use std::collections::BTreeMap;

use bytes::{Buf, Bytes, BytesMut};
use stonevane_audit::Effect;
use stonevane_codec::resp;
use stonevane_server_model::value::digest;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// Length of the parts of an endless answer, and their number.
const ENDLESS_PART_BYTES: usize = 40_000;
const ENDLESS_PARTS: usize = 14;

/// A request as a server parses it.
#[derive(Debug, Clone)]
pub struct ServerRequest {
    pub is_write: bool,
    pub key: String,
    pub id: String,
    pub class: String,
    pub idempotency_key: String,
    /// Digest of an edit's value; empty for reads.
    pub digest: String,
    /// Whether the request came over HTTP, the origin's protocol; otherwise it came over RESP2.
    pub is_http: bool,
}

/// Bytes from a node that are not a valid request.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The bytes are not a RESP2 command.
    #[error("a malformed RESP2 command: {0}")]
    Framing(String),
    /// A command that caches don't support.
    #[error("an unknown command, not OBJ.GET or OBJ.SET: {0:?}")]
    UnknownCommand(Vec<Bytes>),
    /// A command with the wrong number of arguments, which includes the command's name.
    #[error("a command of {0} arguments: OBJ.GET takes 4 and OBJ.SET takes 5, the name included")]
    WrongLength(usize),
    /// An invalid HTTP request line.
    #[error("an invalid request line, not GET or PUT with a path and HTTP/1.1: {0}")]
    RequestLine(String),
}

/// Takes a complete request off the front of the input; `None` if more bytes are needed.
pub fn take_request(input: &mut BytesMut, is_origin: bool) -> Result<Option<ServerRequest>, RequestError> {
    if is_origin { take_http(input) } else { take_resp(input) }
}

fn take_resp(input: &mut BytesMut) -> Result<Option<ServerRequest>, RequestError> {
    let command = resp::take_command(input).map_err(|error| RequestError::Framing(error.0.to_owned()))?;
    let Some(arguments) = command else { return Ok(None) };
    let (is_write, length) = match arguments.first().map(AsRef::as_ref) {
        Some(b"OBJ.GET") => (false, 4),
        Some(b"OBJ.SET") => (true, 5),
        _ => return Err(RequestError::UnknownCommand(arguments)),
    };
    if arguments.len() != length {
        return Err(RequestError::WrongLength(arguments.len()));
    }
    let metadata = text(&arguments[3]);
    Ok(Some(ServerRequest {
        is_write,
        key: text(&arguments[1]),
        id: text(&arguments[2]),
        class: metadata_value(&metadata, "c").into(),
        idempotency_key: metadata_value(&metadata, "k").into(),
        digest: arguments.get(4).map_or(String::new(), |value| digest(value)),
        is_http: false,
    }))
}

fn take_http(input: &mut BytesMut) -> Result<Option<ServerRequest>, RequestError> {
    let Some(end) = input.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) else {
        return Ok(None);
    };
    let head = text(&input[..end]);
    let mut lines = head.split("\r\n");
    let request_line = lines.next().unwrap_or("");
    let (is_write, key) = match request_line.split(' ').collect::<Vec<_>>()[..] {
        ["GET", path, "HTTP/1.1"] => (false, path.trim_start_matches('/').to_owned()),
        ["PUT", path, "HTTP/1.1"] => (true, path.trim_start_matches('/').to_owned()),
        _ => return Err(RequestError::RequestLine(request_line.to_owned())),
    };
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
    let length: usize = header("content-length").parse().unwrap_or(0);
    if input.len() < end + HEAD_END.len() + length {
        return Ok(None);
    }
    input.advance(end + HEAD_END.len());
    let body = input.split_to(length);
    let metadata = header("x-facts");
    Ok(Some(ServerRequest {
        is_write,
        key,
        id: header("x-correlation-id"),
        class: metadata_value(&metadata, "c").into(),
        idempotency_key: metadata_value(&metadata, "k").into(),
        digest: if is_write { digest(&body) } else { String::new() },
        is_http: true,
    }))
}

/// Returns the value of `name` from the comma-separated `name=value` pairs that a request carries; empty if
/// there is no such pair.
fn metadata_value<'a>(metadata: &'a str, name: &str) -> &'a str {
    let mut pairs = metadata.split(',').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Encodes an answer in the request's protocol.
pub fn answer(request: &ServerRequest, effect: Effect, value: Option<&str>) -> Vec<u8> {
    if request.is_http { http_answer(effect, value) } else { resp_answer(effect, value) }
}

/// Returns the beginning of an answer that has no end, in the protocol of a cache or of the origin: longer than
/// a node may buffer.
pub fn endless_answer(is_origin: bool) -> Vec<u8> {
    let part = vec![b'x'; ENDLESS_PART_BYTES];
    let (head, element) = if is_origin {
        (&b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..], format!("{ENDLESS_PART_BYTES:x}\r\n"))
    } else {
        (&b"*16\r\n*16\r\n"[..], format!("${ENDLESS_PART_BYTES}\r\n"))
    };
    let element = [element.as_bytes(), &part, b"\r\n"].concat();
    [head, &element.repeat(ENDLESS_PARTS)].concat()
}

fn http_answer(effect: Effect, value: Option<&str>) -> Vec<u8> {
    if effect == Effect::Busy {
        let head = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        return head.into();
    }
    let body = value.unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn resp_answer(effect: Effect, value: Option<&str>) -> Vec<u8> {
    if effect == Effect::Busy {
        return b"-BUSY\r\n".to_vec();
    }
    let Some(value) = value else { return b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec() };
    let mut out = BytesMut::from(&b"*3\r\n"[..]);
    resp::put_bulk(&mut out, value.as_bytes());
    out.extend_from_slice(b"$-1\r\n$-1\r\n");
    out.to_vec()
}
