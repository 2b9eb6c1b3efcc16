//! A connection to a server. It carries one request at a time: servers reply in order, and a slow reply would
//! delay the replies behind it.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, MAX_ARG_BYTES};
use stonevane_policy::{Micros, ServerId};

use super::decoder::{LongValue, ReplyDecoder, ReplyProgress};
use super::{cache, origin};
use crate::memory::{MemoryReservation, UNRESERVED_BYTES};
use crate::reply::{AttemptKey, ConnId, MalformedReply, Reply};
use crate::request::Command;
use crate::timers::ConnectionTimer;

/// Maximum number of received bytes of a reply with a buffered value that are kept with a reservation. Those that
/// need no reservation have space for all but the value.
const MAX_BUFFERED_REPLY_BYTES: usize = MAX_ARG_BYTES + UNRESERVED_BYTES;
/// Memory reserved for a reply with a buffered value, in bytes: the received value and its copy.
const BUFFERED_REPLY_MEMORY: usize = 2 * MAX_ARG_BYTES;
/// Chunk size of reads of a streamed value, in bytes.
pub const STREAM_CHUNK_BYTES: usize = 64 * 1024;
/// Buffer size of a streamed value, in bytes: one chunk that is being written and one that is arriving.
pub const STREAM_BUFFER: usize = 2 * STREAM_CHUNK_BYTES;
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
pub enum StreamPiece {
    /// A piece that is not the last one. It may be empty.
    Part(Bytes),
    /// The last piece, once the complete reply has arrived.
    End {
        bytes: Bytes,
        /// Whether the connection can be used again.
        reusable: bool,
    },
    /// What follows the value is not the end of a reply, so the stated length of the value is wrong.
    Malformed,
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

/// Memory that must be reserved before more of a reply is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryDemand {
    /// No more memory is needed.
    Satisfied,
    /// The connection must be queued for this many bytes, and counts as queued from now on.
    Queue(usize),
    /// The reservation must grow by this many bytes at once. A reply that has memory does not wait for more:
    /// replies that wait for each other's memory would keep it until their requests expire.
    Grow(usize),
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
    /// Bytes of the streamed value that have not been forwarded yet.
    stream_remaining: usize,
    /// Whether the connection can be used after the streamed reply.
    reusable_after_stream: bool,
    /// Received bytes that are not decoded or forwarded yet.
    buffer: BytesMut,
    decoder: ReplyDecoder,
    /// The value of the current reply, if it is streamed.
    long_value: Option<LongValue>,
    /// Whether any byte of the current reply has arrived.
    reply_has_begun: bool,
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
            decoder: ReplyDecoder::new(protocol),
            long_value: None,
            reply_has_begun: false,
            reservation: None,
            awaits_memory: false,
        }
    }

    /// Number of bytes that may be read now.
    pub fn read_budget(&self) -> usize {
        match self.state {
            ConnState::Connecting | ConnState::Writing => 0,
            _ if self.awaits_memory => 0,
            ConnState::Streaming => STREAM_CHUNK_BYTES,
            _ => self.max_buffered_bytes().saturating_sub(self.buffered_bytes()),
        }
    }

    /// Maximum number of received bytes that may be buffered now.
    fn max_buffered_bytes(&self) -> usize {
        match &self.reservation {
            None => UNRESERVED_BYTES,
            Some(reservation) if self.decoder.has_unknown_length() => UNRESERVED_BYTES + reservation.bytes(),
            Some(_) => MAX_BUFFERED_REPLY_BYTES,
        }
    }

    /// Number of received bytes of a reply that is not complete yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() + self.decoder.decoded_bytes()
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
                ReadOutcome::Piece(self.next_piece())
            }
            ConnState::Reading => {
                self.buffer.extend_from_slice(bytes);
                self.reply_has_begun |= !bytes.is_empty();
                self.decode(now, options)
            }
            // A duplicate reply or stray bytes behind a reply could be mistaken for the next request's reply.
            ConnState::Connecting | ConnState::Idle | ConnState::Resting | ConnState::Writing => {
                ReadOutcome::Unsolicited
            }
        }
    }

    fn decode(&mut self, now: Micros, options: &DecodeOptions<'_>) -> ReadOutcome {
        if let Some(long_value) = self.long_value {
            return self.begin_long_value(long_value);
        }
        match self.decoder.decode(&mut self.buffer, options) {
            Ok(ReplyProgress::Complete(reply)) => {
                ReadOutcome::Reply(self.finish_reply(reply, options.keeps_surplus))
            }
            Ok(ReplyProgress::LongValue(long_value)) => {
                self.long_value = Some(long_value);
                self.begin_long_value(long_value)
            }
            Ok(ReplyProgress::Incomplete) => {
                self.deadline = self.reply_has_begun.then_some(now + options.stall_timeout);
                ReadOutcome::Incomplete
            }
            Err(MalformedReply) => ReadOutcome::Malformed,
        }
    }

    fn begin_long_value(&self, long_value: LongValue) -> ReadOutcome {
        match self.reservation {
            _ if long_value.length > MAX_STREAMED_VALUE_BYTES => ReadOutcome::Malformed,
            Some(_) => ReadOutcome::StreamBegins(long_value.length),
            None => ReadOutcome::Incomplete,
        }
    }

    /// Completes a reply. Bytes behind it belong to no request, and later bytes could not be matched to one,
    /// so the connection is then not reusable.
    fn finish_reply(&mut self, reply: Reply, keeps_surplus: bool) -> Reply {
        let reusable = reply.reusable && (self.buffer.is_empty() || keeps_surplus);
        self.reservation = None;
        self.deadline = None;
        self.reset_decoder();
        if !keeps_surplus {
            self.buffer = BytesMut::new();
        }
        Reply { reusable, ..reply }
    }

    /// Prepares the decoder for the next reply.
    fn reset_decoder(&mut self) {
        self.decoder = ReplyDecoder::new(self.protocol);
        self.long_value = None;
        self.reply_has_begun = false;
    }

    /// Begins to stream the value to a client, and returns the memory reservation for the client's buffer of
    /// the value.
    pub fn begin_stream(&mut self, target: StreamTarget) -> Option<MemoryReservation> {
        let long_value = self.long_value?;
        self.reset_decoder();
        self.state = ConnState::Streaming;
        self.stream_target = Some(target);
        self.attempt = None;
        self.stream_remaining = long_value.length;
        self.reusable_after_stream = long_value.reusable;
        self.reservation.take()
    }

    /// Removes and returns the received part of the streamed value. Its last byte is held back until the end of
    /// the reply behind it has arrived: only that end shows that the value is complete.
    pub fn next_piece(&mut self) -> StreamPiece {
        let Some(rest) = self.buffer.get(self.stream_remaining..) else {
            return StreamPiece::Part(self.take_streamed(self.buffer.len()));
        };
        let rest_length = match self.protocol {
            Protocol::Cache => resp::served_reply_rest_length(rest),
            Protocol::Origin | Protocol::Store => Ok(Some(0)),
        };
        match rest_length {
            Err(_) => StreamPiece::Malformed,
            Ok(None) => StreamPiece::Part(self.take_streamed(self.stream_remaining.saturating_sub(1))),
            Ok(Some(length)) => {
                let reusable = self.reusable_after_stream && rest.len() == length;
                let bytes = self.take_streamed(self.stream_remaining);
                self.buffer = BytesMut::new();
                StreamPiece::End { bytes, reusable }
            }
        }
    }

    fn take_streamed(&mut self, length: usize) -> Bytes {
        self.stream_remaining -= length;
        self.buffer.split_to(length).freeze()
    }

    /// Returns the memory that must be reserved before more of the reply is read, so that replies together stay
    /// within the memory budget. `max_value` is the maximum length of a buffered value, in bytes.
    pub fn memory_demand(&mut self, max_value: usize) -> MemoryDemand {
        if self.awaits_memory || self.state != ConnState::Reading {
            return MemoryDemand::Satisfied;
        }
        let is_full = self.buffered_bytes() >= self.max_buffered_bytes();
        match &self.reservation {
            None if self.long_value.is_some() => self.queue_for_memory(STREAM_BUFFER),
            None if is_full => self.queue_for_memory(BUFFERED_REPLY_MEMORY),
            Some(reservation) if is_full => {
                // More than the longest value, so that a longer one is found to be too long.
                let longest = max_value + UNRESERVED_BYTES;
                let doubled = (2 * reservation.bytes()).min(longest.max(reservation.bytes()));
                MemoryDemand::Grow(doubled - reservation.bytes())
            }
            _ => MemoryDemand::Satisfied,
        }
    }

    fn queue_for_memory(&mut self, bytes: usize) -> MemoryDemand {
        self.awaits_memory = true;
        self.deadline = None;
        MemoryDemand::Queue(bytes)
    }

    /// The memory reservation of the reply.
    pub fn reservation_mut(&mut self) -> Option<&mut MemoryReservation> {
        self.reservation.as_mut()
    }

    /// Stores the memory reservation for a long reply. More of the reply must arrive by the deadline.
    pub fn on_memory_granted(&mut self, reservation: MemoryReservation, deadline: Micros) {
        self.reservation = Some(reservation);
        self.awaits_memory = false;
        self.deadline = Some(deadline);
        if self.long_value.is_none() {
            self.buffer.reserve(MAX_BUFFERED_REPLY_BYTES.saturating_sub(self.buffer.len()));
        }
    }
}
