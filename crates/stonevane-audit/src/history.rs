//! The history of a run: JSON lines, a record each, in the order in which they were written.
//!
//! A line's `t` is `[earliest, latest]` in microseconds of one monotonic clock for all processes of a machine: the
//! event happened at some moment between the two, both included. A last line that was cut off, as by a kill
//! during its write, is left out; any other line that can't be read is an error with its number.

use std::io::{BufRead, Read};

use serde::{Deserialize, Serialize};

use crate::interval::TimeInterval;
use crate::rules::Rules;

/// The longest line that is read, in bytes.
pub const MAX_LINE: usize = 1 << 20;

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The first line: the rules.
    #[default]
    Begin,
    /// A client has written a request's last byte to a node.
    #[serde(rename = "ask")]
    Request,
    /// A client has read a request's complete final answer.
    Answer,
    /// A client has left before its answer.
    #[serde(rename = "gone")]
    ClientLeft,
    /// A node closed a client's connection without a complete answer to this request.
    Closed,
    /// A node sent a response that answers no request; `request` is the last one answered on its connection.
    #[serde(rename = "stray")]
    UnsolicitedResponse,
    /// A server has received the last byte of an attempt.
    Attempt,
    /// A server writes the answer to an attempt.
    Reply,
    /// An attempt is no longer in flight though no complete answer was written: its connection has ended, or a fault
    /// spoilt the answer.
    #[serde(rename = "over")]
    AttemptEnded,
    /// A server has started, cold.
    Start,
    /// A server was killed, or fell over under its load.
    Down,
    /// Discovery knows of a change.
    Change,
    /// Discovery has notified a node of a server.
    #[serde(rename = "told")]
    Notified,
    /// A node has called discovery: `state` is `taken`, or `turned-away` where discovery sheds the call.
    Call,
    /// The state of a node's process has changed: `state` is `starting`, `ready`, `term`, `killed`, `exited`, or
    /// `crashed` where it exited with another code than 0 after SIGTERM, `paused` and `resumed` where it was stopped,
    /// `slowed` and `steady` where it was given a small part of its time. From `killed` or `exited` on until it is
    /// `ready` again there is no process that could take a request.
    Node,
    /// The store of record has committed a version of a key: `key`, `version`, `value` and, of an edit with an
    /// idempotency key, `token`.
    #[serde(rename = "stored")]
    Committed,
    /// A fault was injected or removed.
    Fault,
    /// A node's view of all others was read: `state` has a letter for each, `a`live, `s`uspect, `d`ead, `l`eft, `?`.
    View,
    /// Datagrams from `node` to `server`, another node, are all lost (`state` is `cut`) or pass again (`passes`).
    #[serde(rename = "cut")]
    Partition,
    /// Datagrams between nodes begin to be lost, duplicated or late, or no longer are: `state` is `mild` or `severe`, with
    /// `-ends` behind it at the end.
    #[serde(rename = "weather")]
    NetworkConditions,
    /// The last line.
    End,
}

/// A final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answered with a value or receipt.
    Served,
    /// Rejected: a retry does no harm.
    #[serde(rename = "refused")]
    Rejected,
    /// Failed: it may have run.
    Failed,
}

/// What a server did with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It ran, or began to run.
    Ran,
    /// A repeat, dropped by its idempotency key: the first receipt is given again.
    #[serde(rename = "dropped")]
    Deduplicated,
    /// The server lacks the key.
    Miss,
    /// Rejected before it was read.
    Busy,
    /// The server was dead or silent when the bytes came.
    #[serde(rename = "void")]
    NotReceived,
}

/// One line of a history. Fields that an event has no use for are left out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct HistoryRecord {
    /// When it happened.
    #[serde(rename = "t")]
    pub time: TimeInterval,
    /// Which process wrote it.
    #[serde(rename = "who")]
    pub recorder: String,
    /// What happened.
    pub event: Event,
    /// The request's id.
    #[serde(skip_serializing_if = "is_default")]
    pub request: String,
    /// The node concerned.
    #[serde(skip_serializing_if = "is_default")]
    pub node: String,
    /// The server concerned; where empty, the recorder.
    #[serde(skip_serializing_if = "is_default")]
    pub server: String,
    /// The request's class.
    #[serde(skip_serializing_if = "is_default")]
    pub class: String,
    /// The request's tenant.
    #[serde(skip_serializing_if = "is_default")]
    pub tenant: String,
    /// The request's key.
    #[serde(skip_serializing_if = "is_default")]
    pub key: String,
    /// Its idempotency key.
    #[serde(rename = "token", skip_serializing_if = "is_default")]
    pub idempotency_key: String,
    /// A digest of the value that an edit carries.
    #[serde(skip_serializing_if = "is_default")]
    pub digest: String,
    /// Until when its client waits for an answer.
    #[serde(rename = "until", skip_serializing_if = "is_default")]
    pub deadline: u64,
    /// The final answer.
    #[serde(skip_serializing_if = "is_default")]
    pub outcome: Option<Outcome>,
    /// When a rejected client is to retry, milliseconds.
    #[serde(rename = "advice_ms", skip_serializing_if = "is_default")]
    pub retry_after_ms: u64,
    /// What a server did with an attempt.
    #[serde(skip_serializing_if = "is_default")]
    pub effect: Option<Effect>,
    /// The value, or its beginning: unique to the request that it was made for.
    #[serde(skip_serializing_if = "is_default")]
    pub value: String,
    /// The version of the key that a value shows or an edit made.
    #[serde(skip_serializing_if = "is_default")]
    pub version: u64,
    /// When a server received an attempt's first byte.
    #[serde(rename = "first", skip_serializing_if = "is_default")]
    pub first_byte: Option<TimeInterval>,
    /// An attempt's number at its server, to tell attempts of one request apart.
    #[serde(skip_serializing_if = "is_default")]
    pub number: u64,
    /// The work of an attempt, microseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub work_us: u64,
    /// A server's capacity when warm: microseconds of work a second.
    #[serde(skip_serializing_if = "is_default")]
    pub capacity_us_per_s: f64,
    /// The share of it that the server starts with.
    #[serde(skip_serializing_if = "is_default")]
    pub cold_share: f64,
    /// How long it warms up, microseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub warm_us: u64,
    /// A server's zone.
    #[serde(skip_serializing_if = "is_default")]
    pub zone: String,
    /// A server's cell.
    #[serde(skip_serializing_if = "is_default")]
    pub cell: u64,
    /// `active`, `leaving` or `left`.
    #[serde(skip_serializing_if = "is_default")]
    pub status: String,
    /// Which start of a server an entry of the list speaks of: the moment of that start, 0 for long ago.
    #[serde(rename = "since", skip_serializing_if = "is_default")]
    pub started_at: u64,
    /// The state of a node's process, a view, or which fault it is.
    #[serde(skip_serializing_if = "is_default")]
    pub state: String,
    /// Whether a request is sent once more because a node's close crossed it on the network.
    #[serde(rename = "again", skip_serializing_if = "is_default")]
    pub resent: bool,
    /// Whether the connection had answered a request before, or the node was ending.
    #[serde(rename = "kept", skip_serializing_if = "is_default")]
    pub reused_connection: bool,
    /// Whether the server is the origin.
    #[serde(skip_serializing_if = "is_default")]
    pub origin: bool,
    /// Whether it is a client's retry.
    #[serde(skip_serializing_if = "is_default")]
    pub retry: bool,
    /// The rules.
    #[serde(skip_serializing_if = "is_default")]
    pub rules: Option<Box<Rules>>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl HistoryRecord {
    /// The line as it stands in a history, with its newline.
    pub fn to_json_line(&self) -> String {
        let mut text = serde_json::to_string(self).unwrap_or_default();
        text.push('\n');
        text
    }

    /// The server concerned.
    pub fn server_name(&self) -> &str {
        if self.server.is_empty() { &self.recorder } else { &self.server }
    }
}

/// Why a history can't be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// Its file can't be read.
    #[error("cannot be read: {0}")]
    Io(#[from] std::io::Error),
    /// A line, counted from 1, is no record; other than a last one that was cut off.
    #[error("line {line}: {reason}")]
    Malformed {
        /// Its number.
        line: usize,
        /// What is wrong with it.
        reason: MalformedLine,
    },
    /// It has no line at all.
    #[error("line 1: an empty history")]
    Empty,
    /// It does not begin with the rules.
    #[error("line 1: a history begins with the event `begin` and its rules")]
    NoRules,
}

/// Why a line is no record.
#[derive(Debug, thiserror::Error)]
pub enum MalformedLine {
    /// It is longer than [`MAX_LINE`].
    #[error("longer than {MAX_LINE} bytes")]
    TooLong,
    /// It is no JSON, or lacks a field or has one too many.
    #[error("column {}: {}", .0.column(), without_position(.0))]
    Json(#[source] serde_json::Error),
}

/// The parser's message; its own line number counts from the record's start.
fn without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or("").to_owned()
}

/// Reads a history line by line, each with its number from 1. A last line that was cut off, as by a kill during
/// its write, is left out: what stands before it is complete.
///
/// # Errors
/// [`HistoryError`] where the text can't be read or is no history.
pub fn read(mut text: impl BufRead, mut each: impl FnMut(usize, HistoryRecord)) -> Result<(), HistoryError> {
    let mut buffer = Vec::new();
    let mut line = 0;
    let mut has_rules = false;
    loop {
        buffer.clear();
        if (&mut text).take(MAX_LINE as u64 + 1).read_until(b'\n', &mut buffer)? == 0 {
            return if has_rules { Ok(()) } else { Err(HistoryError::Empty) };
        }
        line += 1;
        if buffer.len() > MAX_LINE {
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
