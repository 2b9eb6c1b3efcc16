//! A connection to a server. It carries one request at a time: servers reply in order, and a slow reply would
//! delay the replies behind it.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, MAX_ARG_BYTES};
use stonevane_policy::{Micros, ServerId};

use super::{cache, origin};
use crate::memory::MemoryReservation;
use crate::reply::{AttemptKey, ConnId, MalformedReply, Reply};
use crate::request::Command;
use crate::timers::ConnectionTimer;

/// Chunk size in which replies are read. Before more of a longer reply is read, memory must be reserved for
/// it.
const READ_CHUNK_BYTES: usize = 4096;
/// Chunk size for a reply whose memory is reserved.
const LONG_READ_CHUNK_BYTES: usize = 64 * 1024;
/// Buffer size of a streamed value, in bytes: one chunk that is being written and one that is arriving.
pub const STREAM_BUFFER: usize = 2 * LONG_READ_CHUNK_BYTES;
/// The longest value that is streamed, in bytes. A reply with a longer one is malformed.
const MAX_STREAMED_VALUE_BYTES: usize = 64 * 1024 * 1024;

/// The protocol spoken with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2, with a cache server.
    Cache,
    /// HTTP/1.1, with the origin.
    Origin,
    /// No protocol: the driver calls the store of record.
    Store,
}

impl Protocol {
    /// Encodes a request; `None` for a call to the store of record, which the driver makes.
    pub fn encode(self, command: &Command, left_ms: u64, host: SocketAddr) -> Option<Bytes> {
        match self {
            Protocol::Cache => Some(cache::encode(command, left_ms)),
            Protocol::Origin => Some(origin::encode(command, left_ms, &host.to_string())),
            Protocol::Store => None,
        }
    }
}

/// State of a server connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnState {
    /// The connection is being opened.
    Connecting,
    /// No request is in flight.
    Idle,
    /// An attempt has reserved the connection and waits until its reuse delay has passed.
    Resting,
    /// The request is being written; no reply can have arrived.
    Writing,
    /// The request has been written; the reply is pending.
    Reading,
    /// The reply's value is being forwarded to a client as it arrives.
    Streaming,
}

/// Destination of a streamed value: an answer to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamTarget {
    /// The client connection.
    pub client: ConnId,
    /// Number of the answer's slot on that connection.
    pub slot: u64,
}

/// A piece of a streamed value.
pub struct StreamPiece {
    pub bytes: Bytes,
    /// Whether it is the last piece of the value.
    pub is_last: bool,
    /// Whether the connection can be used again; `None` until the complete reply has arrived.
    pub reply_end: Option<bool>,
}

/// Result of decoding received bytes.
pub enum ReadOutcome {
    /// The reply is not complete yet.
    Incomplete,
    /// The reply is complete.
    Reply(Reply),
    /// The reply is invalid: the request may have run, and the server is up.
    Malformed,
    /// The bytes belong to no request.
    Unsolicited,
    /// The head of a reply whose value, of this many bytes, must be streamed. Memory for the stream's buffer
    /// is reserved.
    StreamBegins(usize),
    /// A piece of a streamed value.
    Piece(StreamPiece),
}

/// Options of the decoding of replies.
#[derive(Clone, Copy)]
pub struct DecodeOptions<'a> {
    /// Names of the values in a load report, in the order of the settings.
    pub load_names: &'a [String],
    /// The longest value that is buffered, in bytes.
    pub max_value: usize,
    /// A reply that has begun and receives no more bytes for this long is malformed.
    pub stall_timeout: Micros,
    /// Whether bytes behind a reply are kept; a deliberate fault.
    pub keeps_surplus: bool,
}

/// Position and length of a value in the bytes of a reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct ValuePosition {
    /// Offset of the value's first byte.
    pub start: usize,
    /// Stated length of the value, in bytes.
    pub length: usize,
    /// Whether the connection can carry another request after the reply.
    pub reusable: bool,
}

/// A connection to a server.
pub struct ServerConn {
    pub server: ServerId,
    pub address: SocketAddr,
    pub protocol: Protocol,
    pub state: ConnState,
    /// The attempt that the connection was opened for, carries, or is reserved for.
    pub attempt: Option<AttemptKey>,
    pub idle_since: Micros,
    /// Number of requests written to the connection.
    pub requests_carried: u64,
    /// Time by which the current state must have ended; `None`: no limit.
    pub deadline: Option<Micros>,
    pub timer: ConnectionTimer,
    /// Whether the driver does not read the connection until [`crate::Output::Resume`].
    pub reading_paused: bool,
    /// Destination of the value that is being streamed.
    pub stream_target: Option<StreamTarget>,
    /// Bytes of the streamed value that have not arrived yet.
    stream_remaining: usize,
    /// Whether the connection can be used after the streamed reply.
    reusable_after_stream: bool,
    buffer: BytesMut,
    reservation: Option<MemoryReservation>,
    awaits_memory: bool,
}

impl ServerConn {
    /// Creates the state of a connection that is to be opened for an attempt before a deadline.
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

    /// Number of bytes that may be read now.
    pub fn read_budget(&self) -> usize {
        match self.state {
            ConnState::Connecting | ConnState::Writing => 0,
            _ if self.awaits_memory => 0,
            ConnState::Streaming => LONG_READ_CHUNK_BYTES,
            _ if self.reservation.is_some() => LONG_READ_CHUNK_BYTES,
            _ => READ_CHUNK_BYTES,
        }
    }

    /// Number of received bytes of a reply that is not complete yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the received part of the value of an incomplete reply; used by a deliberate fault.
    pub fn partial_value(&self) -> Option<Bytes> {
        let start = self.buffer.iter().rposition(|byte| *byte == b'\n')? + 1;
        (start < self.buffer.len()).then(|| Bytes::copy_from_slice(&self.buffer[start..]))
    }

    /// Keeps unsolicited bytes in the buffer; used by a deliberate fault.
    pub fn keep_surplus(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes received bytes. In a state in which no reply is expected, they count as unsolicited.
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
            // A duplicate reply or stray bytes behind a reply could be mistaken for the next request's reply.
            ConnState::Connecting | ConnState::Idle | ConnState::Resting | ConnState::Writing => {
                ReadOutcome::Unsolicited
            }
        }
    }

    fn decode(&mut self, now: Micros, options: &DecodeOptions<'_>) -> ReadOutcome {
        if let Some(position) = self.long_value_position() {
            return match self.reservation {
                _ if position.length > MAX_STREAMED_VALUE_BYTES => ReadOutcome::Malformed,
                Some(_) => ReadOutcome::StreamBegins(position.length),
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

    /// Completes a reply. Bytes behind it belong to no request, and later bytes could not be matched to one,
    /// so the connection is then not reusable.
    fn finish_reply(&mut self, reply: Reply, keeps_surplus: bool) -> Reply {
        let reusable = reply.reusable && (self.buffer.is_empty() || keeps_surplus);
        self.reservation = None;
        self.deadline = None;
        if !keeps_surplus {
            self.buffer = BytesMut::new();
        }
        Reply { reusable, ..reply }
    }

    /// Returns the position of a value that is too long to be buffered; `None` if it is shorter or not known yet.
    fn long_value_position(&self) -> Option<ValuePosition> {
        let position = match self.protocol {
            Protocol::Origin => origin::served_value_position(&self.buffer),
            Protocol::Cache => resp::served_value_position(&self.buffer).map(|position| ValuePosition {
                start: position.start,
                length: position.length,
                reusable: true,
            }),
            Protocol::Store => None,
        };
        position.filter(|position| position.length > MAX_ARG_BYTES)
    }

    /// Begins to stream the value to a client, and returns the memory reservation for the client's buffer of
    /// the value.
    pub fn begin_stream(&mut self, target: StreamTarget) -> Option<MemoryReservation> {
        let position = self.long_value_position()?;
        let _ = self.buffer.split_to(position.start);
        self.state = ConnState::Streaming;
        self.stream_target = Some(target);
        self.attempt = None;
        self.stream_remaining = position.length;
        self.reusable_after_stream = position.reusable;
        self.reservation.take()
    }

    /// Removes and returns the received part of the streamed value. After the value, checks the end of the
    /// reply.
    pub fn next_piece(&mut self, max_value: usize) -> StreamPiece {
        let before = self.stream_remaining;
        let bytes = self.buffer.split_to(self.stream_remaining.min(self.buffer.len())).freeze();
        self.stream_remaining -= bytes.len();
        if self.stream_remaining > 0 {
            return StreamPiece { bytes, is_last: false, reply_end: None };
        }
        let ends_cleanly = match self.protocol {
            Protocol::Cache => match resp::served_reply_rest_length(&self.buffer, max_value) {
                Ok(None) => None,
                Ok(Some(end)) => Some(end == self.buffer.len()),
                // The value is still complete.
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

    /// Returns the memory, in bytes, that must be reserved before more of the reply is read, so that long
    /// replies together stay within the memory budget. The caller must queue the connection for that memory:
    /// from now on the connection counts as queued.
    pub fn must_queue_for_memory(&mut self, max_value: usize) -> Option<usize> {
        let streams = self.long_value_position().is_some();
        let fits_chunk = self.buffer.len() <= READ_CHUNK_BYTES && !streams;
        if fits_chunk || self.reservation.is_some() || self.awaits_memory {
            return None;
        }
        self.awaits_memory = true;
        self.deadline = None;
        Some(if streams { STREAM_BUFFER } else { 2 * self.buffered_length(max_value) })
    }

    /// Stores the memory reservation for a long reply. More of the reply must arrive by the deadline.
    pub fn on_memory_granted(&mut self, reservation: MemoryReservation, max_value: usize, deadline: Micros) {
        self.reservation = Some(reservation);
        self.awaits_memory = false;
        self.deadline = Some(deadline);
        if self.long_value_position().is_some() {
            return;
        }
        let length = self.buffered_length(max_value);
        self.buffer.reserve(length.saturating_sub(self.buffer.len()));
    }

    /// Returns the number of bytes to buffer for a reply: the stated length of its value, between
    /// `MAX_ARG_BYTES` and `max_value`.
    fn buffered_length(&self, max_value: usize) -> usize {
        let stated = match self.protocol {
            Protocol::Origin => origin::value_length(&self.buffer),
            Protocol::Cache | Protocol::Store => resp::value_length(&self.buffer),
        };
        stated.unwrap_or(0).clamp(MAX_ARG_BYTES, max_value.max(MAX_ARG_BYTES))
    }
}
