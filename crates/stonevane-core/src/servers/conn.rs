//! One connection to a server: it carries one request at a time, since it answers in order and a slow answer would
//! stall those behind it.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, MAX_VALUE};
use stonevane_policy::{Micros, ServerId};

use super::{cache, origin};
use crate::memory::Share;
use crate::reply::{AttemptKey, Broken, ConnId, Reply};
use crate::request::Command;
use crate::timers::Armed;

/// An answer that is longer than this has to wait for memory.
const PIECE: usize = 4096;
/// Read at once, where there is memory for it.
const LONG_PIECE: usize = 64 * 1024;
/// The buffer of a value that is passed on: a piece that is being written and one that comes meanwhile.
pub const PASSAGE: usize = 2 * LONG_PIECE;
/// The longest value that is passed on.
const LONGEST_PASSED: usize = 64 * 1024 * 1024;

/// What is spoken with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speaks {
    /// RESP2, with a cache server.
    Cache,
    /// HTTP/1.1, with the origin.
    Origin,
    /// Nothing: the driver makes the call.
    Call,
}

impl Speaks {
    /// The bytes of a request; `None` for a call.
    pub fn encode(self, command: &Command, left_ms: u64, host: SocketAddr) -> Option<Bytes> {
        match self {
            Speaks::Cache => Some(cache::encode(command, left_ms)),
            Speaks::Origin => Some(origin::encode(command, left_ms, &host.to_string())),
            Speaks::Call => None,
        }
    }
}

/// Where a connection stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It is being opened.
    Opening,
    /// It owes nothing.
    Idle,
    /// It has an attempt, whose request is written when it has rested.
    Resting,
    /// Its request is being written: no answer can have come.
    Writing,
    /// Its answer is awaited.
    Reading,
    /// Its answer's value is passed on to a client as it comes.
    Passing,
}

/// What came of some bytes.
pub enum Read {
    /// Nothing yet.
    More,
    /// A whole answer.
    Answer(Reply),
    /// What can't be understood: the request may have run, the server is well.
    Spoilt,
    /// Bytes that answer nothing.
    Unasked,
    /// The head of a long value, so long, which is to be passed on; there is memory for it.
    Begins(usize),
    /// A piece of that value; whether it is the last; and, where what stands behind it has come too, whether the connection
    /// can be used again.
    Piece(Bytes, bool, Option<bool>),
}

/// A connection.
pub struct Conn {
    pub server: ServerId,
    pub address: SocketAddr,
    pub speaks: Speaks,
    pub state: State,
    /// The attempt that it was opened for or carries.
    pub attempt: Option<AttemptKey>,
    pub idle_since: Micros,
    /// How many requests it has been given.
    pub carried: u64,
    /// When it must be up, or its answer go on.
    pub limit: Option<Micros>,
    pub armed: Armed,
    /// It was asked whether it may be read, and may not.
    pub paused: bool,
    /// Where its value goes: the client, and the place of the answer there.
    pub to: Option<(ConnId, u64)>,
    /// What of the value is still to come, and whether the connection may be used afterwards.
    left: usize,
    keeps: bool,
    buffer: BytesMut,
    share: Option<Share>,
    waits: bool,
}

impl Conn {
    /// One that is to be opened for an attempt, and up by a limit.
    pub fn new(
        server: ServerId,
        address: SocketAddr,
        speaks: Speaks,
        attempt: AttemptKey,
        limit: Micros,
    ) -> Conn {
        Conn {
            server,
            address,
            speaks,
            state: State::Opening,
            attempt: Some(attempt),
            idle_since: 0,
            carried: 0,
            limit: Some(limit),
            armed: Armed::default(),
            paused: false,
            to: None,
            left: 0,
            keeps: false,
            buffer: BytesMut::new(),
            share: None,
            waits: false,
        }
    }

    /// How many bytes may be read now.
    pub fn reads(&self) -> usize {
        match (self.state, &self.share) {
            (State::Opening | State::Writing, _) => 0,
            _ if self.waits => 0,
            (_, Some(_)) => LONG_PIECE,
            (State::Passing, None) => LONG_PIECE,
            (_, None) => PIECE,
        }
    }

    /// What has come of an answer that is not whole, where it is the beginning of a value.
    pub fn torn(&self) -> Option<Bytes> {
        let at = self.buffer.iter().rposition(|byte| *byte == b'\n')? + 1;
        (at < self.buffer.len()).then(|| Bytes::copy_from_slice(&self.buffer[at..]))
    }

    /// Keeps bytes that nobody asked for: only a core that does so on purpose.
    pub fn noise(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes bytes that came. `half_told`: an answer that has begun and brings nothing more for so long is spoilt.
    /// `keeps`: what is beyond an answer stays, on purpose.
    pub fn bytes(
        &mut self,
        now: Micros,
        bytes: &[u8],
        names: &[String],
        longest: usize,
        half_told: Micros,
        keeps: bool,
    ) -> Read {
        if self.state == State::Passing {
            self.buffer.extend_from_slice(bytes);
            return self.piece(longest);
        }
        if self.state != State::Reading {
            // Against a second copy or noise behind a good answer: the next request's answer could not be told from it.
            return Read::Unasked;
        }
        self.buffer.extend_from_slice(bytes);
        if let Some((_, length, _)) = self.long() {
            if length > LONGEST_PASSED {
                return Read::Spoilt;
            }
            return if self.share.is_some() { Read::Begins(length) } else { Read::More };
        }
        let decoded = match self.speaks {
            Speaks::Origin => origin::decode(&mut self.buffer, names, longest),
            Speaks::Cache | Speaks::Call => cache::decode(&mut self.buffer, names, longest),
        };
        match decoded {
            Ok(Some(reply)) => {
                // Bytes beyond the answer belong to no request: nothing after them could be matched.
                let keep = reply.keep && (self.buffer.is_empty() || keeps);
                (self.share, self.limit) = (None, None);
                if !keeps {
                    self.buffer = BytesMut::new();
                }
                Read::Answer(Reply { keep, ..reply })
            }
            // The rest of an answer comes with its beginning. Against lines and values that never end: one that stands
            // still half told is spoilt, and its request can still go elsewhere.
            Ok(None) => {
                self.limit = (!self.buffer.is_empty()).then_some(now + half_told);
                Read::More
            }
            Err(Broken) => Read::Spoilt,
        }
    }

    /// Where the value of a long answer begins, how long it is, and whether the connection may be used afterwards.
    fn long(&self) -> Option<(usize, usize, bool)> {
        let begins = match self.speaks {
            Speaks::Origin => origin::value_begins(&self.buffer),
            Speaks::Cache => resp::value_begins(&self.buffer).map(|(at, length)| (at, length, true)),
            Speaks::Call => None,
        };
        begins.filter(|(_, length, _)| *length > MAX_VALUE)
    }

    /// From now on the value is passed on; the memory that its buffer there takes.
    pub fn begin(&mut self, to: (ConnId, u64)) -> Option<Share> {
        let (at, length, keeps) = self.long()?;
        let _ = self.buffer.split_to(at);
        (self.state, self.to, self.attempt, self.left, self.keeps) =
            (State::Passing, Some(to), None, length, keeps);
        self.share.take()
    }

    /// Takes what has come of the value, and its end.
    pub fn piece(&mut self, longest: usize) -> Read {
        let before = self.left;
        let piece = self.buffer.split_to(self.left.min(self.buffer.len())).freeze();
        self.left -= piece.len();
        if self.left > 0 {
            return Read::Piece(piece, false, None);
        }
        let end = match self.speaks {
            Speaks::Cache => match resp::value_ends(&self.buffer, longest) {
                Ok(None) => None,
                Ok(Some(end)) => Some(end == self.buffer.len()),
                // The value is whole all the same.
                Err(_) => Some(false),
            },
            Speaks::Origin | Speaks::Call => Some(self.buffer.is_empty()),
        };
        if end.is_some() {
            self.buffer = BytesMut::new();
        }
        Read::Piece(piece, before > 0, end.map(|end| end && self.keeps))
    }

    /// How much memory the answer wants before more of it is read. Against long answers that together are more than the
    /// memory: they wait their turn.
    pub fn wants(&mut self, longest: usize) -> Option<usize> {
        let long = self.long().is_some();
        if (self.buffer.len() <= PIECE && !long) || self.share.is_some() || self.waits {
            return None;
        }
        self.waits = true;
        self.limit = None;
        Some(if long { PASSAGE } else { 2 * self.stated(longest) })
    }

    /// It has the memory that it wanted.
    pub fn granted(&mut self, share: Share, longest: usize, until: Micros) {
        (self.share, self.waits, self.limit) = (Some(share), false, Some(until));
        if self.long().is_some() {
            return;
        }
        let stated = self.stated(longest);
        self.buffer.reserve(stated.saturating_sub(self.buffer.len()));
    }

    fn stated(&self, longest: usize) -> usize {
        let stated = match self.speaks {
            Speaks::Origin => origin::stated(&self.buffer),
            Speaks::Cache | Speaks::Call => resp::stated(&self.buffer),
        };
        stated.unwrap_or(0).clamp(MAX_VALUE, longest.max(MAX_VALUE))
    }
}
