//! Slots for the answers of one client connection: RESP2 answers commands in their order.

use std::collections::VecDeque;

use bytes::Bytes;
use stonevane_policy::RequestId;

use crate::memory::MemoryReservation;
use crate::reply::ConnId;
use crate::servers::STREAM_BUFFER;

/// The place of one answer.
#[derive(Debug)]
pub enum Slot {
    /// Its request is pending.
    Pending {
        /// The request.
        request: RequestId,
        /// Its id, as the client names it.
        id: Bytes,
    },
    /// The answer waits for those before it.
    Answered(Bytes, Option<MemoryReservation>),
    /// The value is forwarded while it arrives.
    Streaming(StreamedAnswer),
}

/// An answer whose value is forwarded while it arrives.
#[derive(Debug)]
pub struct StreamedAnswer {
    /// The server connection that it comes from.
    pub conn: ConnId,
    /// The id of its request, as the client names it.
    pub id: Bytes,
    /// Position of the request's class among the counts.
    pub class_slot: usize,
    /// Pieces that have arrived and are not being written yet.
    pieces: VecDeque<Bytes>,
    /// Bytes that have arrived and are not written.
    buffered: usize,
    /// Whether any piece has been handed out for writing.
    started: bool,
    /// Whether the last piece has arrived.
    complete: bool,
    /// Whether the server connection broke before the last piece.
    pub broken: bool,
    _reservation: Option<MemoryReservation>,
}

/// What a streamed answer has for its client.
pub enum NextPiece {
    /// A piece to write.
    Piece(Bytes),
    /// The next piece has not arrived yet.
    Awaited,
    /// All is written.
    End,
}

impl StreamedAnswer {
    /// An answer that begins with `head` and goes on with what a server connection brings.
    pub fn new(
        conn: ConnId,
        id: Bytes,
        class_slot: usize,
        head: Bytes,
        reservation: Option<MemoryReservation>,
    ) -> StreamedAnswer {
        StreamedAnswer {
            conn,
            id,
            class_slot,
            buffered: head.len(),
            pieces: VecDeque::from([head]),
            started: false,
            complete: false,
            broken: false,
            _reservation: reservation,
        }
    }

    /// Adds a piece that has arrived.
    pub fn push(&mut self, piece: Bytes, last: bool) {
        self.buffered += piece.len();
        if !piece.is_empty() {
            self.pieces.push_back(piece);
        }
        if last {
            self.pieces.push_back(Bytes::from_static(b"\r\n"));
            self.complete = true;
        }
    }

    /// Takes the next piece for writing.
    pub fn next_piece(&mut self) -> NextPiece {
        match self.pieces.pop_front() {
            Some(piece) => {
                self.started = true;
                NextPiece::Piece(piece)
            }
            None if self.complete => NextPiece::End,
            None => NextPiece::Awaited,
        }
    }

    /// So many bytes have been written.
    pub fn on_written(&mut self, bytes: usize) {
        self.buffered -= bytes.min(self.buffered);
    }

    /// Whether there is space for another piece.
    pub fn has_space(&self) -> bool {
        self.buffered < STREAM_BUFFER / 2
    }

    /// Whether the client may have seen a part of it.
    pub fn is_started(&self) -> bool {
        self.started
    }
}
