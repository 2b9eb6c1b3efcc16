//! Servers' protocols: requests taken off a byte stream, and the bytes of answers.

use std::collections::BTreeMap;

use bytes::{Buf, Bytes, BytesMut};
use stonevane_audit::Effect;
use stonevane_codec::resp;
use stonevane_server_model::value::digest;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// A request at a server.
#[derive(Debug, Clone)]
pub struct ServerRequest {
    pub is_write: bool,
    pub key: String,
    pub id: String,
    pub class: String,
    pub idempotency_key: String,
    /// Of the value that an edit carries.
    pub digest: String,
    /// Whether it came over HTTP, as the origin has it.
    pub is_http: bool,
}

/// Bytes that are no request: the node sent what no server understands.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The framing is wrong.
    #[error("{0}")]
    Framing(String),
    /// A command that caches don't know.
    #[error("a command that caches don't know: {0:?}")]
    UnknownCommand(Vec<Bytes>),
    /// A command with too many or too few arguments.
    #[error("{0} words")]
    WrongLength(usize),
    /// A request line that is none.
    #[error("no request: {0}")]
    RequestLine(String),
}

/// Takes a complete request off the front of what came; `None` where more has to come.
pub fn take_request(input: &mut BytesMut, is_origin: bool) -> Result<Option<ServerRequest>, RequestError> {
    if is_origin { take_http(input) } else { take_resp(input) }
}

fn take_resp(input: &mut BytesMut) -> Result<Option<ServerRequest>, RequestError> {
    let command = resp::take_command(input).map_err(|error| RequestError::Framing(error.0.to_owned()))?;
    let Some(words) = command else { return Ok(None) };
    let (is_write, length) = match words.first().map(AsRef::as_ref) {
        Some(b"OBJ.GET") => (false, 4),
        Some(b"OBJ.SET") => (true, 5),
        _ => return Err(RequestError::UnknownCommand(words)),
    };
    if words.len() != length {
        return Err(RequestError::WrongLength(words.len()));
    }
    let facts = text(&words[3]);
    Ok(Some(ServerRequest {
        is_write,
        key: text(&words[1]),
        id: text(&words[2]),
        class: fact(&facts, "c").into(),
        idempotency_key: fact(&facts, "k").into(),
        digest: words.get(4).map_or(String::new(), |value| digest(value)),
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
    let facts = header("x-facts");
    Ok(Some(ServerRequest {
        is_write,
        key,
        id: header("x-correlation-id"),
        class: fact(&facts, "c").into(),
        idempotency_key: fact(&facts, "k").into(),
        digest: if is_write { digest(&body) } else { String::new() },
        is_http: true,
    }))
}

fn fact<'a>(facts: &'a str, name: &str) -> &'a str {
    let mut pairs = facts.split(',').filter_map(|fact| fact.split_once('='));
    pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The bytes of an answer, with a value where there is one.
pub fn answer(request: &ServerRequest, effect: Effect, value: Option<&str>) -> Vec<u8> {
    if request.is_http { http_answer(effect, value) } else { resp_answer(effect, value) }
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
