//! The history of a run: JSON lines, one record per line, in the order of writing.
//!
//! The key `t` of a line is `[earliest, latest]` in microseconds of one monotonic clock for all processes of
//! a machine: the event happened at some moment between the two, both included. A truncated last line, as a
//! kill during the write leaves it, is skipped; any other line that can't be read is an error with its line
//! number.

use std::io::{BufRead, Read};

use serde::{Deserialize, Serialize};

use crate::interval::TimeInterval;
use crate::rules::Rules;

/// Maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// Kind of event that a record describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The first line of a history; its record carries the rules.
    #[default]
    Begin,
    /// A client has written the last byte of a request to a node.
    #[serde(rename = "ask")]
    Request,
    /// A client has read the complete final answer to a request.
    Answer,
    /// A client has left without waiting for its answer.
    #[serde(rename = "gone")]
    ClientLeft,
    /// A node closed a client's connection without a complete answer to this request.
    Closed,
    /// A node sent a response that belongs to no request; `request` is the last one answered on the
    /// connection.
    #[serde(rename = "stray")]
    UnsolicitedResponse,
    /// A server has received the last byte of an attempt.
    Attempt,
    /// A server writes the answer to an attempt.
    Reply,
    /// An attempt has ended without a complete answer: its connection was closed, or an injected fault made
    /// the response malformed.
    #[serde(rename = "over")]
    AttemptEnded,
    /// A server has started; `capacity_us_per_s`, `cold_share` and `warm_us` describe its warm-up.
    Start,
    /// A server was killed, or stopped because it was overloaded.
    Down,
    /// Discovery has registered a change of a server's status.
    Change,
    /// Discovery has notified a node of a server's status.
    #[serde(rename = "told")]
    Notified,
    /// A node has called discovery: `state` is `taken`, or `turned-away` if discovery rejected the call.
    Call,
    /// The state of a node's process has changed. `state` is one of `starting`, `ready`, `term`, `killed`,
    /// `exited`; `crashed` for an exit code other than 0 after SIGTERM; `paused` and `resumed` for a stopped
    /// process; `slowed` and `steady` for a process limited to a small share of CPU time. From `killed` or
    /// `exited` until the next `ready` no process can accept a request.
    Node,
    /// The store of record has committed a version of a key: `key`, `version`, `value` and, for an edit with
    /// an idempotency key, `token`.
    #[serde(rename = "stored")]
    Committed,
    /// A fault was injected or removed.
    Fault,
    /// The member table of a node was read: `state` has one letter per member, `a`live, `s`uspect, `d`ead,
    /// `l`eft or `?` for unknown.
    View,
    /// All datagrams from `node` to `server`, another node, are lost (`state` is `cut`) or pass again
    /// (`passes`).
    #[serde(rename = "cut")]
    Partition,
    /// Loss, duplication and delay of datagrams between nodes begin or end: `state` is `mild` or `severe`,
    /// with the suffix `-ends` at the end.
    #[serde(rename = "weather")]
    NetworkConditions,
    /// The last line of a complete history.
    End,
}

/// Outcome of a request, as its final answer states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answered with a value or receipt.
    Served,
    /// Rejected; a retry is safe.
    #[serde(rename = "refused")]
    Rejected,
    /// Failed; the request may have run.
    Failed,
}

/// Effect of an attempt at its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The attempt ran, or started to run.
    Ran,
    /// A repeat, deduplicated by its idempotency key: the server returned the first receipt again.
    #[serde(rename = "dropped")]
    Deduplicated,
    /// A cache miss: the server does not have the key.
    Miss,
    /// The server rejected the attempt before reading it.
    Busy,
    /// The server was down or unresponsive when the bytes arrived.
    #[serde(rename = "void")]
    NotReceived,
}

/// One line of a history. A line omits the fields that its event does not use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct HistoryRecord {
    /// Bounds on the moment of the event.
    #[serde(rename = "t")]
    pub time: TimeInterval,
    /// Name of the process that wrote the record.
    #[serde(rename = "who")]
    pub recorder: String,
    /// Kind of event, which determines the fields that the record uses.
    pub event: Event,
    /// Id of the request; a client's retry is a request with a new id.
    #[serde(skip_serializing_if = "is_default")]
    pub request: String,
    /// Name of the node concerned, such as `n0`.
    #[serde(skip_serializing_if = "is_default")]
    pub node: String,
    /// Name of the server concerned; if empty, the recorder is the server.
    #[serde(skip_serializing_if = "is_default")]
    pub server: String,
    /// Class of the request; see [`Rules::classes`].
    #[serde(skip_serializing_if = "is_default")]
    pub class: String,
    /// Name of the tenant that the request belongs to.
    #[serde(skip_serializing_if = "is_default")]
    pub tenant: String,
    /// Key that the request reads or edits.
    #[serde(skip_serializing_if = "is_default")]
    pub key: String,
    /// Idempotency key of the request.
    #[serde(rename = "token", skip_serializing_if = "is_default")]
    pub idempotency_key: String,
    /// Digest of the value that an edit carries.
    #[serde(skip_serializing_if = "is_default")]
    pub digest: String,
    /// Moment until which the client waits for the final answer, in microseconds.
    #[serde(rename = "until", skip_serializing_if = "is_default")]
    pub deadline: u64,
    /// Outcome of the final answer.
    #[serde(skip_serializing_if = "is_default")]
    pub outcome: Option<Outcome>,
    /// Delay after which a rejected client should retry, in milliseconds.
    #[serde(rename = "advice_ms", skip_serializing_if = "is_default")]
    pub retry_after_ms: u64,
    /// Effect of an attempt at its server.
    #[serde(skip_serializing_if = "is_default")]
    pub effect: Option<Effect>,
    /// The served or written value, or a prefix of the value that is unique to the request for which it was
    /// produced.
    #[serde(skip_serializing_if = "is_default")]
    pub value: String,
    /// Version of the key that a value belongs to or that an edit created.
    #[serde(skip_serializing_if = "is_default")]
    pub version: u64,
    /// Bounds on the moment at which a server received the first byte of an attempt.
    #[serde(rename = "first", skip_serializing_if = "is_default")]
    pub first_byte: Option<TimeInterval>,
    /// Number of an attempt at its server; it distinguishes the attempts of one request.
    #[serde(skip_serializing_if = "is_default")]
    pub number: u64,
    /// Work that an attempt costs its server, in microseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub work_us: u64,
    /// Capacity of a warm server, in microseconds of work per second.
    #[serde(skip_serializing_if = "is_default")]
    pub capacity_us_per_s: f64,
    /// Share of the warm capacity that the server starts with, 0 to 1.
    #[serde(skip_serializing_if = "is_default")]
    pub cold_share: f64,
    /// Duration of the warm-up, in microseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub warm_us: u64,
    /// Name of a server's zone; see [`crate::DedupScope::Zone`].
    #[serde(skip_serializing_if = "is_default")]
    pub zone: String,
    /// Number of a server's cell; see [`crate::DedupScope::Cell`].
    #[serde(skip_serializing_if = "is_default")]
    pub cell: u64,
    /// Status of a server in discovery: `active`, `leaving` or `left`.
    #[serde(skip_serializing_if = "is_default")]
    pub status: String,
    /// Moment of the server start that an entry of the server list refers to, in microseconds; 0 for a server
    /// that started before the run.
    #[serde(rename = "since", skip_serializing_if = "is_default")]
    pub started_at: u64,
    /// State of a node's process, of a discovery call, of a partition or of the network; the letters of a
    /// view; or the description of a fault.
    #[serde(skip_serializing_if = "is_default")]
    pub state: String,
    /// Whether a request is sent again because the node's close of the connection crossed it on the network.
    #[serde(rename = "again", skip_serializing_if = "is_default")]
    pub resent: bool,
    /// Whether the connection had already carried an answer, or the node was shutting down.
    #[serde(rename = "kept", skip_serializing_if = "is_default")]
    pub reused_connection: bool,
    /// Whether the server is the origin.
    #[serde(skip_serializing_if = "is_default")]
    pub origin: bool,
    /// Whether the request is a client's retry.
    #[serde(skip_serializing_if = "is_default")]
    pub retry: bool,
    /// Rules of the run; only the first record, [`Event::Begin`], carries them.
    #[serde(skip_serializing_if = "is_default")]
    pub rules: Option<Box<Rules>>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl HistoryRecord {
    /// Returns the record as a line of a history, with its newline.
    pub fn to_json_line(&self) -> String {
        let mut text = serde_json::to_string(self).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Returns `server`, the name of the server concerned; if `server` is empty, returns the recorder's name.
    pub fn server_name(&self) -> &str {
        if self.server.is_empty() { &self.recorder } else { &self.server }
    }
}

/// Error of reading a history.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The text can't be read.
    #[error("cannot be read: {0}")]
    Io(#[from] std::io::Error),
    /// A line is not a valid record; a truncated last line is not an error.
    #[error("line {line}: {reason}")]
    Malformed {
        /// Line number, from 1.
        line: usize,
        /// Reason why the line is not a valid record.
        reason: MalformedLine,
    },
    /// The history has no lines.
    #[error("line 1: the history is empty; its first line must be the event `begin` with the rules")]
    Empty,
    /// The first record is not `begin` with the rules.
    #[error("line 1: the first line of a history must be the event `begin` with the rules")]
    NoRules,
}

/// Reason why a line is not a valid record.
#[derive(Debug, thiserror::Error)]
pub enum MalformedLine {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not JSON, or has a missing, unknown or invalid field.
    #[error("column {}: {}", .0.column(), without_position(.0))]
    Json(#[source] serde_json::Error),
}

/// Returns the parser's message without its position: the parser counts lines from the start of the record.
fn without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or("").to_owned()
}

/// Reads a history line by line and passes each record with its line number, from 1, to `each`. A truncated
/// last line, as a kill during the write leaves it, is skipped; the lines before it are complete.
///
/// # Errors
/// [`HistoryError`] if the text can't be read or is not a valid history.
pub fn read(mut text: impl BufRead, mut each: impl FnMut(usize, HistoryRecord)) -> Result<(), HistoryError> {
    let mut buffer = Vec::new();
    let mut line = 0;
    let mut has_rules = false;
    loop {
        buffer.clear();
        if (&mut text).take(MAX_LINE_BYTES as u64 + 1).read_until(b'\n', &mut buffer)? == 0 {
            return if has_rules { Ok(()) } else { Err(HistoryError::Empty) };
        }
        line += 1;
        if buffer.len() > MAX_LINE_BYTES {
            return Err(HistoryError::Malformed { line, reason: MalformedLine::TooLong });
        }
        if buffer.trim_ascii().is_empty() {
            continue;
        }
        let record: HistoryRecord = match serde_json::from_slice(&buffer) {
            Ok(record) => record,
            Err(_) if has_rules && buffer.last() != Some(&b'\n') => return Ok(()),
            Err(error) => {
                return Err(HistoryError::Malformed { line, reason: MalformedLine::Json(error) });
            }
        };
        if !has_rules && (record.event != Event::Begin || record.rules.is_none()) {
            return Err(HistoryError::NoRules);
        }
        has_rules = true;
        each(line, record);
    }
}
