//! The HTTP protocol of the origin on one connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use stonevane_codec::http::{self, RequestHead};
use stonevane_server_model::value::digest;

use super::{Delivery, Origin};
use crate::request::Request;
use crate::server::{Arrival, Malformed, Protocol, Reply};

/// Longest value of a write, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

const HEALTHY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const BAD_REQUEST: &str = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
const METHOD_NOT_ALLOWED: &str = "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 0\r\n\r\n";

/// A connection from a node.
pub(super) struct Connection {
    pub(super) origin: Arc<Origin>,
    pub(super) node: String,
}

impl Protocol for Connection {
    fn take_request(&mut self, buffer: &mut BytesMut, arrival: Arrival) -> Result<Option<Reply>, Malformed> {
        let Some(head) = http::request_head(buffer).map_err(|_| Malformed)? else { return Ok(None) };
        let body_len = head.content_length.unwrap_or(0);
        if body_len > MAX_BODY_BYTES {
            return Err(Malformed);
        }
        if buffer.len() < head.length + body_len {
            return Ok(None);
        }
        buffer.advance(head.length);
        let body = buffer.split_to(body_len);
        let reply = match read_request(&head, &body) {
            Ok(request) => self.origin.serve(&self.node, request, arrival),
            Err(answer) => {
                let bytes = Bytes::from_static(answer.as_bytes());
                Reply { due_us: arrival.last_byte.latest, bytes, number: 0 }
            }
        };
        Ok(Some(reply))
    }

    fn on_reply(&mut self, reply: &Reply) -> Option<Bytes> {
        (reply.number > 0).then(|| self.origin.finish(reply.number, Delivery::Complete))
    }

    fn on_incomplete_reply(&mut self, reply: &Reply) -> Option<Bytes> {
        (reply.number > 0).then(|| self.origin.finish(reply.number, Delivery::Failed))
    }

    fn on_abandoned(&mut self, reply: &Reply) {
        if reply.number > 0 {
            self.origin.finish(reply.number, Delivery::Failed);
        }
    }

    fn idle_timeout(&self) -> Duration {
        IDLE_TIMEOUT
    }
}

/// Parses a read or a write; the error is the response to any other request.
fn read_request(head: &RequestHead, body: &[u8]) -> Result<Request, &'static str> {
    let write = match head.method.as_str() {
        "GET" if head.target == "/healthz" => return Err(HEALTHY),
        "GET" => false,
        "PUT" => true,
        _ => return Err(METHOD_NOT_ALLOWED),
    };
    let (Some(id), Some(facts)) = (head.header("x-correlation-id"), head.header("x-facts")) else {
        return Err(BAD_REQUEST);
    };
    let key = head.target.trim_start_matches('/').to_owned();
    let mut request = Request { key, id: id.into(), write, ..Request::default() };
    request.read_facts(facts);
    if write {
        request.digest = digest(body);
    }
    Ok(request)
}
