//! The RESP protocol of a cache server on one connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp;

use super::Cache;
use crate::request::Request;
use crate::server::{Arrival, ConnectionPermit, Malformed, Protocol, Reply};

/// A connection from a node.
pub(super) struct Connection {
    pub(super) cache: Arc<Cache>,
    pub(super) node: String,
    pub(super) _permit: ConnectionPermit,
}

impl Protocol for Connection {
    fn take_request(&mut self, buffer: &mut BytesMut, arrival: Arrival) -> Result<Option<Reply>, Malformed> {
        let Some(arguments) = resp::take_command(buffer).map_err(|_| Malformed)? else { return Ok(None) };
        if let Some(request) = Request::from_command(&arguments) {
            return Ok(Some(self.cache.serve(&self.node, &request, arrival)));
        }
        let now = arrival.last_byte.latest;
        let answer: &'static [u8] = match self.cache.copy_command(&arguments, now) {
            Some(true) => b"+OK\r\n",
            Some(false) => b"-ERR copy\r\n",
            None => other_command(&arguments),
        };
        Ok(Some(Reply { due_us: now, bytes: Bytes::from_static(answer), number: 0 }))
    }

    fn on_reply(&mut self, reply: &Reply) -> Option<Bytes> {
        self.cache.record_reply(reply.number);
        None
    }

    fn on_incomplete_reply(&mut self, reply: &Reply) -> Option<Bytes> {
        self.cache.record_attempt_ended(reply.number);
        None
    }

    fn on_abandoned(&mut self, reply: &Reply) {
        self.cache.record_attempt_ended(reply.number);
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_micros(self.cache.spec.idle_us)
    }
}

/// Returns the answer to a command that is neither a valid read or write nor a command for copies.
fn other_command(arguments: &[Bytes]) -> &'static [u8] {
    let command = arguments.first().map(|name| name.to_ascii_uppercase()).unwrap_or_default();
    match command.as_slice() {
        b"PING" => b"+PONG\r\n",
        b"CLIENT" | b"SELECT" => b"+OK\r\n",
        b"INFO" => b"-NOPERM\r\n",
        b"OBJ.GET" | b"OBJ.SET" => b"-SYNTAX\r\n",
        _ => b"-ERR unknown command\r\n",
    }
}
