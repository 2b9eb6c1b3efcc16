//! One connection to a server. It carries one request at a time: servers reply in order, and a slow reply would delay
//! those behind it.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, MAX_VALUE};
use stonevane_policy::{Micros, ServerId};

use super::{cache, origin};
use crate::memory::MemoryReservation;
use crate::reply::{AttemptKey, ConnId, MalformedReply, Reply};
use crate::request::Command;
use crate::timers::ConnectionTimer;

/// Replies are read in chunks of this size, in bytes; a longer reply waits for memory.
const READ_CHUNK: usize = 4096;
/// Chunk size for a reply that has its memory, in bytes.
const LONG_READ_CHUNK: usize = 64 * 1024;
/// Buffer of a streamed value, in bytes: a chunk that is being written and one that arrives meanwhile.
pub const STREAM_BUFFER: usize = 2 * LONG_READ_CHUNK;
/// The longest value that is streamed, in bytes.
const MAX_STREAMED_VALUE: usize = 64 * 1024 * 1024;

/// The protocol spoken with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2, with a cache server.
    Cache,
    /// HTTP/1.1, with the origin.
    Origin,
    /// None: the driver calls the store of record.
    Store,
}

impl Protocol {
    /// Encodes a request; `None` for a call that the driver makes.
    pub fn encode(self, command: &Command, left_ms: u64, host: SocketAddr) -> Option<Bytes> {
        match self {
            Protocol::Cache => Some(cache::encode(command, left_ms)),
            Protocol::Origin => Some(origin::encode(command, left_ms, &host.to_string())),
            Protocol::Store => None,
        }
    }
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnState {
    /// It is being opened.
    Connecting,
    /// Nothing is in flight.
    Idle,
    /// An attempt waits until it has rested.
    Resting,
    /// The request is being written; no reply can have arrived.
    Writing,
    /// The reply is awaited.
    Reading,
    /// The reply's value is forwarded to a client while it arrives.
    Streaming,
}

/// The answer that a value is streamed into.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamTarget {
    /// The client connection.
    pub client: ConnId,
    /// Number of the answer's slot there.
    pub slot: u64,
}

/// A piece of a streamed value.
pub struct StreamPiece {
    pub bytes: Bytes,
    /// Whether it is the value's last one.
    pub is_last: bool,
    /// Once the complete reply has arrived: whether the connection can be used again.
    pub reply_end: Option<bool>,
}

/// What some bytes of a server amount to.
pub enum ReadOutcome {
    /// An incomplete reply.
    Incomplete,
    /// A complete reply.
    Reply(Reply),
    /// No valid reply: the request may have run, the server is up.
    Malformed,
    /// Bytes that belong to no request.
    Unsolicited,
    /// The head of a value of so many bytes, which is to be streamed; its memory is reserved.
    StreamBegins(usize),
    /// A piece of that value.
    Piece(StreamPiece),
}

/// How the bytes of a reply are decoded.
#[derive(Clone, Copy)]
pub struct DecodeOptions<'a> {
    /// Names of the values in a load report, in the order of the settings.
    pub load_names: &'a [String],
    /// The longest value that is buffered, in bytes.
    pub max_value: usize,
    /// A reply that has begun and brings nothing more for so long is malformed.
    pub stall_timeout: Micros,
    /// Keeps bytes behind a reply: a deliberate fault.
    pub keeps_surplus: bool,
}

/// Where a value stands in the bytes of a reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct ValueHead {
    /// Where it starts.
    pub start: usize,
    /// Its stated length, in bytes.
    pub length: usize,
    /// Whether the connection can be used after the reply.
    pub reusable: bool,
}

/// A connection to a server.
pub struct ServerConn {
    pub server: ServerId,
    pub address: SocketAddr,
    pub protocol: Protocol,
    pub state: ConnState,
    /// The attempt that it was opened for or carries.
    pub attempt: Option<AttemptKey>,
    pub idle_since: Micros,
    /// How many requests have been written to it.
    pub requests_carried: u64,
    /// When its current state must have ended.
    pub deadline: Option<Micros>,
    pub timer: ConnectionTimer,
    /// The driver does not read it until [`crate::Output::Resume`].
    pub reading_paused: bool,
    /// Where its value is streamed to.
    pub stream_target: Option<StreamTarget>,
    /// Bytes of the streamed value that have not arrived.
    stream_remaining: usize,
    /// Whether it can be used after the streamed reply.
    reusable_after_stream: bool,
    buffer: BytesMut,
    reservation: Option<MemoryReservation>,
    awaits_memory: bool,
}

impl ServerConn {
    /// A connection that is to be opened for an attempt, by a deadline.
    pub fn new(
        server: ServerId,
        address: SocketAddr,
        protocol: Protocol,
        attempt: AttemptKey,
        deadline: Micros,
    ) -> ServerConn {
        ServerConn {
            server,
            address,
            protocol,
            state: ConnState::Connecting,
            attempt: Some(attempt),
            idle_since: 0,
            requests_carried: 0,
            deadline: Some(deadline),
            timer: ConnectionTimer::default(),
            reading_paused: false,
            stream_target: None,
            stream_remaining: 0,
            reusable_after_stream: false,
            buffer: BytesMut::new(),
            reservation: None,
            awaits_memory: false,
        }
    }

    /// How many bytes may be read now.
    pub fn read_budget(&self) -> usize {
        match self.state {
            ConnState::Connecting | ConnState::Writing => 0,
            _ if self.awaits_memory => 0,
            ConnState::Streaming => LONG_READ_CHUNK,
            _ if self.reservation.is_some() => LONG_READ_CHUNK,
            _ => READ_CHUNK,
        }
    }

    /// The part of a value that an incomplete reply has brought: for a deliberate fault.
    pub fn partial_value(&self) -> Option<Bytes> {
        let start = self.buffer.iter().rposition(|byte| *byte == b'\n')? + 1;
        (start < self.buffer.len()).then(|| Bytes::copy_from_slice(&self.buffer[start..]))
    }

    /// Keeps unsolicited bytes: for a deliberate fault.
    pub fn keep_surplus(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes bytes that arrived.
    pub fn on_bytes(&mut self, now: Micros, bytes: &[u8], options: &DecodeOptions<'_>) -> ReadOutcome {
        match self.state {
            ConnState::Streaming => {
                self.buffer.extend_from_slice(bytes);
                ReadOutcome::Piece(self.next_piece(options.max_value))
            }
            ConnState::Reading => {
                self.buffer.extend_from_slice(bytes);
                self.decode(now, options)
            }
            // A duplicate or noise behind a reply, which could be mistaken for the next request's reply.
            ConnState::Connecting | ConnState::Idle | ConnState::Resting | ConnState::Writing => {
                ReadOutcome::Unsolicited
            }
        }
    }

    fn decode(&mut self, now: Micros, options: &DecodeOptions<'_>) -> ReadOutcome {
        if let Some(head) = self.long_value_head() {
            return match self.reservation {
                _ if head.length > MAX_STREAMED_VALUE => ReadOutcome::Malformed,
                Some(_) => ReadOutcome::StreamBegins(head.length),
                None => ReadOutcome::Incomplete,
            };
        }
        let buffer = &mut self.buffer;
        let decoded = match self.protocol {
            Protocol::Origin => origin::decode(buffer, options.load_names, options.max_value),
            Protocol::Cache | Protocol::Store => cache::decode(buffer, options.load_names, options.max_value),
        };
        match decoded {
            Ok(Some(reply)) => ReadOutcome::Reply(self.finish_reply(reply, options.keeps_surplus)),
            Ok(None) => {
                self.deadline = (!self.buffer.is_empty()).then_some(now + options.stall_timeout);
                ReadOutcome::Incomplete
            }
            Err(MalformedReply) => ReadOutcome::Malformed,
        }
    }

    /// Bytes behind the reply belong to no request, and nothing after them could be matched to one.
    fn finish_reply(&mut self, reply: Reply, keeps_surplus: bool) -> Reply {
        let reusable = reply.reusable && (self.buffer.is_empty() || keeps_surplus);
        self.reservation = None;
        self.deadline = None;
        if !keeps_surplus {
            self.buffer = BytesMut::new();
        }
        Reply { reusable, ..reply }
    }

    /// The head of a value that is too long to be buffered.
    fn long_value_head(&self) -> Option<ValueHead> {
        let head = match self.protocol {
            Protocol::Origin => origin::value_head(&self.buffer),
            Protocol::Cache => resp::value_head(&self.buffer).map(|head| ValueHead {
                start: head.start,
                length: head.length,
                reusable: true,
            }),
            Protocol::Store => None,
        };
        head.filter(|head| head.length > MAX_VALUE)
    }

    /// Streams the value to a client from now on; returns the memory of its buffer there.
    pub fn begin_stream(&mut self, target: StreamTarget) -> Option<MemoryReservation> {
        let head = self.long_value_head()?;
        let _ = self.buffer.split_to(head.start);
        self.state = ConnState::Streaming;
        self.stream_target = Some(target);
        self.attempt = None;
        self.stream_remaining = head.length;
        self.reusable_after_stream = head.reusable;
        self.reservation.take()
    }

    /// Takes what has arrived of the streamed value, and of the reply's end behind it.
    pub fn next_piece(&mut self, max_value: usize) -> StreamPiece {
        let before = self.stream_remaining;
        let bytes = self.buffer.split_to(self.stream_remaining.min(self.buffer.len())).freeze();
        self.stream_remaining -= bytes.len();
        if self.stream_remaining > 0 {
            return StreamPiece { bytes, is_last: false, reply_end: None };
        }
        let ends_cleanly = match self.protocol {
            Protocol::Cache => match resp::reply_end(&self.buffer, max_value) {
                Ok(None) => None,
                Ok(Some(end)) => Some(end == self.buffer.len()),
                // The value is complete all the same.
                Err(_) => Some(false),
            },
            Protocol::Origin | Protocol::Store => Some(self.buffer.is_empty()),
        };
        if ends_cleanly.is_some() {
            self.buffer = BytesMut::new();
        }
        StreamPiece {
            bytes,
            is_last: before > 0,
            reply_end: ends_cleanly.map(|clean| clean && self.reusable_after_stream),
        }
    }

    /// How many bytes of memory it must be queued for before more of the reply is read: long replies together must not
    /// exceed the memory budget. It counts as queued from then on.
    pub fn must_queue_for_memory(&mut self, max_value: usize) -> Option<usize> {
        let streams = self.long_value_head().is_some();
        let fits_chunk = self.buffer.len() <= READ_CHUNK && !streams;
        if fits_chunk || self.reservation.is_some() || self.awaits_memory {
            return None;
        }
        self.awaits_memory = true;
        self.deadline = None;
        Some(if streams { STREAM_BUFFER } else { 2 * self.buffered_length(max_value) })
    }

    /// Takes the memory for a long reply, which must go on by a deadline.
    pub fn on_memory_granted(&mut self, reservation: MemoryReservation, max_value: usize, deadline: Micros) {
        self.reservation = Some(reservation);
        self.awaits_memory = false;
        self.deadline = Some(deadline);
        if self.long_value_head().is_some() {
            return;
        }
        let length = self.buffered_length(max_value);
        self.buffer.reserve(length.saturating_sub(self.buffer.len()));
    }

    /// Length to buffer for a reply, by the length that it states.
    fn buffered_length(&self, max_value: usize) -> usize {
        let stated = match self.protocol {
            Protocol::Origin => origin::stated_length(&self.buffer),
            Protocol::Cache | Protocol::Store => resp::stated_length(&self.buffer),
        };
        stated.unwrap_or(0).clamp(MAX_VALUE, max_value.max(MAX_VALUE))
    }
}
