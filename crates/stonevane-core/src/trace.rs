//! Why connections are closed, and the trace: a line for each step of each request, off unless it is asked for.

use std::fmt;

/// Why a connection is closed by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// A client's: it was asked for its place.
    MadeRoom,
    /// A client's: it said nothing for too long, or was too slow.
    TimeLimit,
    /// A client's: it had its last answer, and this process ends.
    Drain,
    /// A client's: its last answer was an error that ends the connection, for a spoilt command or a full table.
    AfterError,
    /// A client's: a value that it had seen a part of has broken off.
    ValueBroken,
    /// A server's: its place was wanted.
    PlaceWanted,
    /// A server's: it stood idle for too long.
    Idle,
    /// A server's: the server wants nothing new, is gone, or is elsewhere now.
    NotWanted,
    /// A server's: an attempt on it was given up.
    GivenUp,
    /// A server's: what it brought is no answer.
    Spoilt,
    /// A server's: it broke, ended, or did not come up.
    Lost,
    /// A server's: its answer says that it ends, or nobody waits for the rest of it.
    AnswerEnds,
}

impl CloseReason {
    /// Its name in logs and counts.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::MadeRoom => "made-room",
            CloseReason::TimeLimit => "time-limit",
            CloseReason::Drain => "drain",
            CloseReason::AfterError => "after-error",
            CloseReason::ValueBroken => "value-broken",
            CloseReason::PlaceWanted => "place-wanted",
            CloseReason::Idle => "idle",
            CloseReason::NotWanted => "not-wanted",
            CloseReason::GivenUp => "given-up",
            CloseReason::Spoilt => "spoilt",
            CloseReason::Lost => "lost",
            CloseReason::AnswerEnds => "answer-ends",
        }
    }
}

/// The log's lines for single requests and connections. While it is off nothing is formatted.
#[derive(Debug, Default)]
pub struct Trace {
    on: bool,
}

impl Trace {
    /// Switches it on or off.
    pub fn switch(&mut self, on: bool) {
        self.on = on;
    }

    /// Whether it is on.
    pub fn is_on(&self) -> bool {
        self.on
    }

    /// A line, where it is on.
    pub fn line(&self, text: fmt::Arguments<'_>) -> Option<String> {
        self.on.then(|| format!("trace: {text}"))
    }
}
