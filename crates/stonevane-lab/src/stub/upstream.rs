//! Calls of a stub node to caches, the origin and discovery.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use stonevane_codec::{http, resp};
use stonevane_emulators::lock;
use stonevane_emulators::request::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::memory::StubState;

/// Outcome of a read sent to a cache.
pub(super) enum CacheAnswer {
    Value(Bytes),
    /// A miss or an error reply.
    NoValue,
    /// The connection failed, or the reply was malformed or incomplete.
    Unreachable,
}

/// Sends a read to a cache.
pub(super) async fn send_to_cache(server: SocketAddr, words: &[Bytes]) -> CacheAnswer {
    read_from_cache(server, words).await.unwrap_or(CacheAnswer::Unreachable)
}

async fn read_from_cache(server: SocketAddr, words: &[Bytes]) -> Option<CacheAnswer> {
    let mut stream = TcpStream::connect(server).await.ok()?;
    let words: Vec<&[u8]> = words.iter().map(Bytes::as_ref).collect();
    stream.write_all(&resp::encode_command(&words)).await.ok()?;
    let mut buffer = BytesMut::new();
    loop {
        match resp::take_reply(&mut buffer, resp::MAX_ARG_BYTES).ok()? {
            Some(resp::Reply::Array(items)) => match items.into_iter().next() {
                Some(resp::Reply::Bulk(Some(value))) => return Some(CacheAnswer::Value(value)),
                Some(resp::Reply::Bulk(None)) => return Some(CacheAnswer::NoValue),
                _ => return None,
            },
            Some(_) => return Some(CacheAnswer::NoValue),
            None => {}
        }
        if stream.read_buf(&mut buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Sends a read or a write to the origin. Returns the body of an answer with status 200.
pub(super) async fn send_to_origin(
    origin: SocketAddr,
    request: &Request,
    facts: &str,
    body: &[u8],
) -> Option<Bytes> {
    let mut stream = TcpStream::connect(origin).await.ok()?;
    let method = if request.write { "PUT" } else { "GET" };
    let head = format!(
        "{method} /{} HTTP/1.1\r\nHost: origin\r\nX-Correlation-Id: {}\r\nX-Facts: {facts}\r\nContent-Length: {}\r\n\r\n",
        request.key,
        request.id,
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body).await.ok()?;
    let mut buffer = BytesMut::new();
    loop {
        if let Some(head) = http::response_head(&buffer).ok()? {
            let length = head.content_length?;
            if buffer.len() >= head.length + length {
                let _ = buffer.split_to(head.length);
                return (head.status == 200).then(|| buffer.split_to(length).freeze());
            }
        }
        if stream.read_buf(&mut buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Watches the endpoint list and records which servers are unavailable.
pub(super) async fn follow_endpoints(
    discovery: SocketAddr,
    state: Arc<Mutex<StubState>>,
) -> std::io::Result<()> {
    loop {
        let mut stream = TcpStream::connect(discovery).await?;
        stream.write_all(b"GET /v1/servers?watch=1 HTTP/1.1\r\nHost: d\r\n\r\n").await?;
        let mut text = BytesMut::new();
        while stream.read_buf(&mut text).await? > 0 {
            while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
                let line = text.split_to(end + 1);
                if let Ok(list) = serde_json::from_slice::<serde_json::Value>(&line) {
                    record_statuses(&list, &mut lock(&state));
                }
            }
        }
    }
}

fn record_statuses(list: &serde_json::Value, state: &mut StubState) {
    for entry in list["endpoints"].as_array().into_iter().flatten() {
        let name = entry["name"].as_str().unwrap_or("").to_owned();
        state.unavailable.retain(|other| *other != name);
        if entry["status"] != "active" {
            state.unavailable.push(name);
        }
    }
}
