//! The history: JSON lines, one event each, in the order in which they were written down.
//!
//! A line's `t` is `[begun, ended]` in microseconds of one monotonic clock for all processes of a machine: the
//! event happened at some moment between the two, both included. A last line that was cut off, as by a kill
//! during its write, is left out; any other line that can't be read is an error with its number.

use std::collections::BinaryHeap;
use std::io::{BufRead, Read};

use serde::{Deserialize, Serialize};

use crate::auditor::Auditor;
use crate::report::Report;
use crate::rules::Rules;

/// The longest line that is read, in bytes.
pub const MAX_LINE: usize = 1 << 20;
/// Lines may stand this much out of order, in microseconds.
pub const REORDER_US: u64 = 500_000;

/// The moments between which an event happened, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct TimeInterval {
    /// It had not happened before this.
    pub earliest: u64,
    /// It had happened by this.
    pub latest: u64,
}

impl From<(u64, u64)> for TimeInterval {
    fn from((begun, ended): (u64, u64)) -> TimeInterval {
        TimeInterval { earliest: begun.min(ended), latest: ended }
    }
}

impl From<TimeInterval> for (u64, u64) {
    fn from(span: TimeInterval) -> (u64, u64) {
        (span.earliest, span.latest)
    }
}

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
    /// A client has read a request's final answer, whole.
    Answer,
    /// A client has left before its answer.
    #[serde(rename = "gone")]
    ClientLeft,
    /// A node ended a client's connection without a whole answer to this request.
    Closed,
    /// A node sent what answers nothing; `request` is the last one that its connection had answered.
    #[serde(rename = "stray")]
    UnsolicitedResponse,
    /// The last byte of an attempt has come to a server.
    Attempt,
    /// A server writes the answer to an attempt.
    Reply,
    /// An attempt is out no longer though no whole answer was written: its connection has ended, or a fault spoilt
    /// the answer.
    #[serde(rename = "over")]
    AttemptEnded,
    /// A server has started, cold.
    Start,
    /// A server was killed, or fell over.
    Down,
    /// Discovery knows of a change.
    Change,
    /// Discovery has told a node of a server.
    #[serde(rename = "told")]
    Notified,
    /// A node has called discovery: `state` is `taken`, or `turned-away` where it has too much to do.
    Call,
    /// Something became of a node's process: `state` is `starting`, `ready`, `term`, `killed`, `exited`, or
    /// `crashed` where it exited with another code than 0 after SIGTERM, `paused` and `resumed` where it was stopped,
    /// `slowed` and `steady` where it was given a small part of its time. From `killed` or `exited` on until it is
    /// `ready` again there is no process that could take a request.
    Node,
    /// The store of record has committed a version of a key: `key`, `version`, `value` and, of a keyed edit, `token`.
    #[serde(rename = "stored")]
    Committed,
    /// A fault was put in or taken away.
    Fault,
    /// What a node holds of all others was read: `state` has a letter for each, `a`live, `s`uspect, `d`ead, `l`eft, `?`.
    View,
    /// Datagrams from `node` to `server`, another node, are all lost (`state` is `cut`) or pass again (`passes`).
    #[serde(rename = "cut")]
    Partition,
    /// Datagrams between nodes begin to be lost, doubled or late, or no longer are: `state` is `mild` or `severe`, with
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
    /// With a value or receipt.
    Served,
    /// Turned away: a retry does no harm.
    #[serde(rename = "refused")]
    Rejected,
    /// No promise.
    Failed,
}

/// What a server did with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It ran, or began to.
    Ran,
    /// A repeat, dropped: the first receipt is given again.
    #[serde(rename = "dropped")]
    Deduplicated,
    /// It lacks the key.
    Miss,
    /// Turned away unseen.
    Busy,
    /// The server was dead or silent when the bytes came.
    #[serde(rename = "void")]
    NotReceived,
}

/// One line of a history. Fields that an event has no use for are left out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
pub struct HistoryRecord {
    /// When.
    #[serde(rename = "t")]
    pub time: TimeInterval,
    /// Who wrote it.
    #[serde(rename = "who")]
    pub recorder: String,
    /// What happened.
    pub event: Event,
    /// The request's id.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// The node concerned.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub node: String,
    /// The server concerned; where empty, `who` is meant.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub server: String,
    /// The request's class.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub class: String,
    /// The request's tenant.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// The request's key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// Its idempotency key.
    #[serde(skip_serializing_if = "String::is_empty")]
    #[serde(rename = "token")]
    pub idempotency_key: String,
    /// A digest of the value that an edit carries.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub digest: String,
    /// Until when its client waits.
    #[serde(skip_serializing_if = "zero")]
    #[serde(rename = "until")]
    pub deadline: u64,
    /// The final answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// When a refused client is to come back, milliseconds.
    #[serde(skip_serializing_if = "zero")]
    #[serde(rename = "advice_ms")]
    pub retry_after_ms: u64,
    /// What a server did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub effect: Option<Effect>,
    /// The value, or its beginning: unique to the request that it was made for.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub value: String,
    /// The version of the key that a value shows or an edit made.
    #[serde(skip_serializing_if = "zero")]
    pub version: u64,
    /// When an attempt's first byte came.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "first")]
    pub first_byte: Option<TimeInterval>,
    /// An attempt's number at its server, to tell attempts of one request apart.
    #[serde(skip_serializing_if = "zero")]
    pub number: u64,
    /// The work of an attempt, microseconds.
    #[serde(skip_serializing_if = "zero")]
    pub work_us: u64,
    /// A server's capacity when warm: microseconds of work a second.
    #[serde(skip_serializing_if = "zero_f64")]
    pub capacity_us_per_s: f64,
    /// The part of it that the server starts with.
    #[serde(skip_serializing_if = "zero_f64")]
    pub cold_share: f64,
    /// How long it takes to warm.
    #[serde(skip_serializing_if = "zero")]
    pub warm_us: u64,
    /// A server's zone.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// A server's cell.
    #[serde(skip_serializing_if = "zero")]
    pub cell: u64,
    /// `active`, `leaving` or `left`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub status: String,
    /// Which start of a server an entry of the list speaks of: the moment of that start, 0 for long ago.
    #[serde(skip_serializing_if = "zero")]
    #[serde(rename = "since")]
    pub started_at: u64,
    /// What became of a node, or which fault it is.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub state: String,
    /// Whether a request is sent once more because a node's close crossed it.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "again")]
    pub resent: bool,
    /// Whether the connection had answered a request before, or the node was ending.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "kept")]
    pub reused_connection: bool,
    /// Whether the server is the origin.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub origin: bool,
    /// Whether a client's retry.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub retry: bool,
    /// The rules.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rules: Option<Box<Rules>>,
}

fn zero(figure: &u64) -> bool {
    *figure == 0
}

fn zero_f64(figure: &f64) -> bool {
    *figure == 0.0
}

impl HistoryRecord {
    /// The line as it stands in a history, its end included.
    pub fn to_json_line(&self) -> String {
        let mut text = serde_json::to_string(self).unwrap_or_default();
        text.push('\n');
        text
    }

    /// The server that it speaks of.
    pub fn server_name(&self) -> &str {
        if self.server.is_empty() { &self.recorder } else { &self.server }
    }
}

/// Why a history can't be audited.
#[derive(Debug)]
pub enum HistoryError {
    /// It can't be read.
    Io(std::io::Error),
    /// A line, counted from 1, is none of a history; other than a last one that was cut off.
    Line(usize, String),
    /// It has no line at all.
    Empty,
    /// It does not begin with the rules.
    NoRules,
}

impl std::fmt::Display for HistoryError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HistoryError::Io(e) => write!(f, "cannot be read: {e}"),
            HistoryError::Line(number, why) => write!(f, "line {number}: {why}"),
            HistoryError::Empty => write!(f, "line 1: an empty history"),
            HistoryError::NoRules => {
                write!(f, "line 1: a history begins with the event `begin` and its rules")
            }
        }
    }
}

impl std::error::Error for HistoryError {}

/// A line on its way to the auditor, the earliest end first.
struct Waiting(u64, usize, Box<HistoryRecord>);

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// Reads a history line by line, each with its number from 1. A last line that was cut off, as by a kill during
/// its write, is left out: what stands before it is whole.
///
/// # Errors
/// [`HistoryError`] where the text can't be read or is no history.
pub fn read(mut text: impl BufRead, mut each: impl FnMut(usize, HistoryRecord)) -> Result<(), HistoryError> {
    let mut buffer = Vec::new();
    let mut number = 0;
    let mut begun = false;
    loop {
        buffer.clear();
        let got = (&mut text).take(MAX_LINE as u64 + 1).read_until(b'\n', &mut buffer);
        if got.map_err(HistoryError::Io)? == 0 {
            return if begun { Ok(()) } else { Err(HistoryError::Empty) };
        }
        number += 1;
        if buffer.len() > MAX_LINE {
            return Err(HistoryError::Line(number, format!("longer than {MAX_LINE} bytes")));
        }
        if buffer.trim_ascii().is_empty() {
            continue;
        }
        let line: HistoryRecord = match serde_json::from_slice(&buffer) {
            Ok(line) => line,
            Err(_) if begun && buffer.last() != Some(&b'\n') => return Ok(()),
            Err(e) => {
                let text = e.to_string();
                let why = text.split(" at line ").next().unwrap_or("");
                return Err(HistoryError::Line(number, format!("column {}: {why}", e.column())));
            }
        };
        if !begun && (line.event != Event::Begin || line.rules.is_none()) {
            return Err(HistoryError::NoRules);
        }
        begun = true;
        each(number, line);
    }
}

/// Audits a history from its text. Memory grows with what is open, not with the history.
///
/// # Errors
/// [`HistoryError`] where the text can't be read or is no history.
pub fn audit(text: impl BufRead) -> Result<Report, HistoryError> {
    let mut auditor: Option<Auditor> = None;
    let mut waiting: BinaryHeap<Waiting> = BinaryHeap::new();
    let mut latest = 0;
    read(text, |number, mut line| {
        let Some(auditor) = &mut auditor else {
            auditor = Some(Auditor::new(*line.rules.take().unwrap_or_default()));
            return;
        };
        latest = latest.max(line.time.latest);
        waiting.push(Waiting(line.time.latest, number, Box::new(line)));
        while waiting.peek().is_some_and(|w| w.0 + REORDER_US < latest) {
            let Some(Waiting(_, number, line)) = waiting.pop() else { break };
            auditor.line(number, *line);
        }
    })?;
    let mut auditor = auditor.ok_or(HistoryError::Empty)?;
    while let Some(Waiting(_, number, line)) = waiting.pop() {
        auditor.line(number, *line);
    }
    Ok(auditor.finish())
}
