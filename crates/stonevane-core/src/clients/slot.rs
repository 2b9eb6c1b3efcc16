//! Slots for the answers of one client connection. RESP2 requires answers in the order of the commands.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use stonevane_policy::RequestId;

use crate::memory::MemoryReservation;
use crate::reply::ConnId;
use crate::servers::{STREAM_BUFFER, STREAM_CHUNK_BYTES};

/// Slot for the answer of one command.
#[derive(Debug)]
pub enum Slot {
    /// The request is pending.
    Pending {
        /// Id of the request within the core.
        request: RequestId,
        /// Id of the request that the client chose.
        id: Bytes,
    },
    /// The answer is ready, and is written after those before it.
    Answered(Bytes, Option<MemoryReservation>),
    /// The value is forwarded as it arrives.
    Streaming(StreamedAnswer),
}

impl Slot {
    /// Whether the answer can still break off after a part of it has been written. The client's connection is
    /// then closed, and with it all answers behind this one are lost.
    pub fn can_break_off(&self) -> bool {
        matches!(self, Slot::Streaming(stream) if !stream.complete)
    }
}

/// When the pieces of a streamed answer are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStart {
    /// As they arrive.
    Immediate,
    /// Once the value, of this many bytes, is complete: answers behind it must not be lost with it.
    Complete(usize),
}

/// An answer whose value is forwarded as it arrives.
#[derive(Debug)]
pub struct StreamedAnswer {
    /// The server connection that the value arrives on.
    pub conn: ConnId,
    /// Id of the request that the client chose.
    pub id: Bytes,
    /// Index of the request's class in the counters.
    pub class_slot: usize,
    /// Pieces that have arrived and have not been handed out for writing.
    pieces: VecDeque<Bytes>,
    /// The received part of a value that is written only once it is complete.
    withheld: Option<BytesMut>,
    /// Number of bytes that have arrived and are not completely written.
    buffered_bytes: usize,
    /// Whether any piece has been handed out for writing.
    started: bool,
    /// Whether the last piece has arrived.
    complete: bool,
    /// Whether the server connection broke before the last piece.
    pub broken: bool,
    _reservation: Option<MemoryReservation>,
}

/// Next output of a streamed answer.
pub enum NextPiece {
    /// A piece to write.
    Piece(Bytes),
    /// The next piece has not arrived yet.
    Awaited,
    /// All pieces have been handed out.
    End,
}

impl StreamedAnswer {
    /// Creates an answer that begins with `head` and continues with the pieces from a server connection.
    pub fn new(
        conn: ConnId,
        id: Bytes,
        class_slot: usize,
        head: Bytes,
        start: StreamStart,
        reservation: Option<MemoryReservation>,
    ) -> StreamedAnswer {
        let withheld = match start {
            StreamStart::Immediate => None,
            StreamStart::Complete(length) => Some(BytesMut::with_capacity(length)),
        };
        StreamedAnswer {
            conn,
            id,
            class_slot,
            withheld,
            buffered_bytes: head.len(),
            pieces: VecDeque::from([head]),
            started: false,
            complete: false,
            broken: false,
            _reservation: reservation,
        }
    }

    /// Appends a piece that has arrived. After the last one, the line ending of the bulk string is appended.
    pub fn push(&mut self, piece: Bytes, last: bool) {
        self.buffered_bytes += piece.len();
        if let Some(withheld) = &mut self.withheld {
            withheld.extend_from_slice(&piece);
        } else if !piece.is_empty() {
            self.pieces.push_back(piece);
        }
        if last {
            self.release_withheld();
            self.pieces.push_back(Bytes::from_static(b"\r\n"));
            self.complete = true;
        }
    }

    /// Hands out a value that is complete, in pieces of which each can be written within the write timeout.
    fn release_withheld(&mut self) {
        let Some(withheld) = self.withheld.take() else { return };
        let mut value = withheld.freeze();
        while !value.is_empty() {
            self.pieces.push_back(value.split_to(value.len().min(STREAM_CHUNK_BYTES)));
        }
    }

    /// Takes the next piece for writing.
    pub fn next_piece(&mut self) -> NextPiece {
        if self.withheld.is_some() {
            return NextPiece::Awaited;
        }
        match self.pieces.pop_front() {
            Some(piece) => {
                self.started = true;
                NextPiece::Piece(piece)
            }
            None if self.complete => NextPiece::End,
            None => NextPiece::Awaited,
        }
    }

    /// Handles the completed write of `bytes` bytes.
    pub fn on_written(&mut self, bytes: usize) {
        self.buffered_bytes -= bytes.min(self.buffered_bytes);
    }

    /// Returns whether another piece may be read: less than half of [`STREAM_BUFFER`] is in use, or memory for
    /// the complete value is reserved.
    pub fn has_space(&self) -> bool {
        self.withheld.is_some() || self.buffered_bytes < STREAM_BUFFER / 2
    }

    /// Returns whether the client may have received a part of the answer.
    pub fn is_started(&self) -> bool {
        self.started
    }
}
