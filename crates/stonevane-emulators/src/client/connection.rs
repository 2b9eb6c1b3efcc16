//! A connection of a client, and what an answer on it means.

use bytes::{Bytes, BytesMut};
use stonevane_audit::{Event, HistoryRecord, Outcome};
use stonevane_codec::resp::{self, Value};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Space for each read, in bytes.
const READ_SIZE: usize = 4096;
/// The longest value of an answer, in bytes.
const MAX_VALUE: usize = 16 * 1024 * 1024;
/// What is recorded of a value at the most, in bytes.
const MAX_RECORDED: usize = 200;
/// Begins an answer that rejects a request; its Retry-After may follow.
const BUSY: &[u8] = b"BUSY";

/// A connection to a node.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) input: BytesMut,
    /// The last request that it answered, empty for none.
    pub(super) last_request: String,
    pub(super) idle_since: u64,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Connection {
        Connection { stream, input: BytesMut::new(), last_request: String::new(), idle_since: 0 }
    }

    /// Whether it has answered a request before.
    pub(super) fn is_reused(&self) -> bool {
        !self.last_request.is_empty()
    }

    /// Reads one answer; `None` at the connection's end.
    pub(super) async fn read_value(&mut self) -> Option<Value> {
        loop {
            match resp::take_value(&mut self.input, MAX_VALUE) {
                Ok(Some(value)) => return Some(value),
                Ok(None) => {}
                Err(_) => return Some(Value::Error(Bytes::from_static(b"malformed"))),
            }
            self.input.reserve(READ_SIZE);
            if !matches!(self.stream.read_buf(&mut self.input).await, Ok(count) if count > 0) {
                return None;
            }
        }
    }
}

/// What an answer means to a client.
pub(super) struct Answer {
    pub(super) outcome: Outcome,
    /// The unique part of the value.
    value: String,
    /// The wait that a rejection asks for, in milliseconds; 0 for none.
    pub(super) retry_after_ms: u64,
}

impl Answer {
    /// The history line of this answer.
    pub(super) fn line(&self, line: HistoryRecord) -> HistoryRecord {
        HistoryRecord {
            event: Event::Answer,
            outcome: Some(self.outcome),
            value: self.value.clone(),
            retry_after_ms: self.retry_after_ms,
            ..line
        }
    }

    fn served(value: &[u8]) -> Answer {
        Answer { outcome: Outcome::Served, value: unique_part(value), retry_after_ms: 0 }
    }

    fn failed() -> Answer {
        Answer { outcome: Outcome::Failed, value: String::new(), retry_after_ms: 0 }
    }
}

impl From<Value> for Answer {
    fn from(value: Value) -> Answer {
        match value {
            Value::Bulk(Some(value)) => Answer::served(&value),
            Value::Array(items) => match items.into_iter().next() {
                Some(Value::Bulk(Some(value))) => Answer::served(&value),
                _ => Answer::failed(),
            },
            Value::Error(line) if line.starts_with(BUSY) => {
                let retry_after = unique_part(line.get(BUSY.len() + 1..).unwrap_or(b""));
                Answer {
                    outcome: Outcome::Rejected,
                    value: String::new(),
                    retry_after_ms: retry_after.parse().unwrap_or(0),
                }
            }
            _ => Answer::failed(),
        }
    }
}

/// What is unique of a value stands first, up to a space.
fn unique_part(value: &[u8]) -> String {
    let end = value.iter().position(|byte| *byte == b' ').unwrap_or(value.len()).min(MAX_RECORDED);
    String::from_utf8_lossy(&value[..end]).into_owned()
}
