//! Reasons for closing connections, and the trace of single requests, which is off by default.

use std::fmt;

/// Why this process closes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// A client: evicted from a full table.
    Evicted,
    /// A client: one of the connection's time limits has passed. A server: the connection was not opened in
    /// time.
    TimeLimit,
    /// A client: this process drains, and the connection is between requests.
    Drain,
    /// A client: its last answer was an error that ends the connection, because of a malformed command or a
    /// full table.
    AfterError,
    /// A client: a streamed value broke off after a part of it was sent. A server: a streamed value stalled.
    StreamBroken,
    /// A server: its idle connection was closed to make capacity for another connection.
    CapacityNeeded,
    /// A server: its connection was idle for too long.
    Idle,
    /// A server: it is draining, removed, no longer used, or has another address.
    ServerUnavailable,
    /// A server: the attempt on the connection was abandoned.
    GivenUp,
    /// A server: its reply was malformed.
    Malformed,
    /// A server: the connection broke, was closed by the server, or could not be opened.
    Lost,
    /// A server: its reply ends the connection, or the rest of the reply is not needed.
    ReplyEndsConnection,
}

impl CloseReason {
    /// The reason's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Evicted => "made-room",
            CloseReason::TimeLimit => "time-limit",
            CloseReason::Drain => "drain",
            CloseReason::AfterError => "after-error",
            CloseReason::StreamBroken => "value-broken",
            CloseReason::CapacityNeeded => "place-wanted",
            CloseReason::Idle => "idle",
            CloseReason::ServerUnavailable => "not-wanted",
            CloseReason::GivenUp => "given-up",
            CloseReason::Malformed => "spoilt",
            CloseReason::Lost => "lost",
            CloseReason::ReplyEndsConnection => "answer-ends",
        }
    }
}

/// Trace of single requests and connections as log lines. Nothing is formatted while it is off.
#[derive(Debug, Default)]
pub struct Trace {
    on: bool,
}

impl Trace {
    /// Switches the trace on or off.
    pub fn switch(&mut self, on: bool) {
        self.on = on;
    }

    /// Whether the trace is on.
    pub fn is_on(&self) -> bool {
        self.on
    }

    /// Formats a log line if the trace is on; `None` otherwise.
    pub fn line(&self, text: fmt::Arguments<'_>) -> Option<String> {
        self.on.then(|| format!("trace: {text}"))
    }
}
