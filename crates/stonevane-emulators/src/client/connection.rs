//! A connection of a client, and the interpretation of the answers on it.

use bytes::{Bytes, BytesMut};
use stonevane_audit::{Event, HistoryRecord, Outcome};
use stonevane_codec::resp::{self, Reply};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Space reserved for each read, in bytes.
const READ_SIZE: usize = 4096;
/// Longest value of an answer, in bytes.
const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum length of a value in the history, in bytes.
const MAX_RECORDED_BYTES: usize = 200;
/// Prefix of an answer that rejects a request; a Retry-After in milliseconds may follow.
const BUSY: &[u8] = b"BUSY";

/// A connection to a node.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) input: BytesMut,
    /// Id of the last request answered on the connection; empty for a new connection.
    pub(super) last_request: String,
    pub(super) idle_since: u64,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Connection {
        Connection { stream, input: BytesMut::new(), last_request: String::new(), idle_since: 0 }
    }

    /// Whether a request has been answered on the connection before.
    pub(super) fn is_reused(&self) -> bool {
        !self.last_request.is_empty()
    }

    /// Reads one answer; `None` at the end of the connection.
    pub(super) async fn read_reply(&mut self) -> Option<Reply> {
        loop {
            match resp::take_reply(&mut self.input, MAX_VALUE_BYTES) {
                Ok(Some(reply)) => return Some(reply),
                Ok(None) => {}
                Err(_) => return Some(Reply::Error(Bytes::from_static(b"malformed"))),
            }
            self.input.reserve(READ_SIZE);
            if !matches!(self.stream.read_buf(&mut self.input).await, Ok(count) if count > 0) {
                return None;
            }
        }
    }
}

/// An answer as the client interprets it.
pub(super) struct Answer {
    pub(super) outcome: Outcome,
    /// The unique part of the value.
    value: String,
    /// Wait that a rejection requests, in milliseconds; 0 if it requests none.
    pub(super) retry_after_ms: u64,
}

impl Answer {
    /// Completes a history line with this answer.
    pub(super) fn history_line(&self, line: HistoryRecord) -> HistoryRecord {
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

impl From<Reply> for Answer {
    fn from(reply: Reply) -> Answer {
        match reply {
            Reply::Bulk(Some(value)) => Answer::served(&value),
            Reply::Array(items) => match items.into_iter().next() {
                Some(Reply::Bulk(Some(value))) => Answer::served(&value),
                _ => Answer::failed(),
            },
            Reply::Error(line) if line.starts_with(BUSY) => {
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

/// Returns the unique part of a value: the text before the first space, up to [`MAX_RECORDED_BYTES`].
fn unique_part(value: &[u8]) -> String {
    let end = value.iter().position(|byte| *byte == b' ').unwrap_or(value.len()).min(MAX_RECORDED_BYTES);
    String::from_utf8_lossy(&value[..end]).into_owned()
}
