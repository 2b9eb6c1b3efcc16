//! One client connection: takes commands from its input and answers them in order.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, MAX_COMMAND_BYTES, Malformed};
use stonevane_policy::Micros;

use super::ClientTimeouts;
use super::coalesced_write::CoalescedWrite;
use super::slot::{NextPiece, Slot, StreamStart, StreamedAnswer};
use crate::memory::{MemoryReservation, UNRESERVED_BYTES};
use crate::reply::ConnId;
use crate::timers::ConnectionTimer;

/// Maximum number of pending requests of one connection before its first answer, while the size of its
/// answers is unknown. Further requests stay unread.
const INITIAL_PIPELINE_LIMIT: usize = 16;
/// Maximum number of pending requests of one connection.
const MAX_PIPELINE_LIMIT: usize = 64;
/// Divisor of the memory budget: all pending answers of one connection together take at most the quotient.
const PIPELINE_MEMORY_DIVISOR: usize = 16;

/// Number of commands in a row that are rejected because of a full connection table before no more input of
/// their connection is read.
const MAX_REJECTED_COMMANDS: usize = 256;
/// Longest time for the rest of a command behind a rejected one: the connection is to be closed.
const REJECTED_COMMAND_TIMEOUT: Micros = 20_000;
/// Interval of the checks whether the operating system has sent everything to a client whose connection is to
/// be closed.
const UNSENT_CHECK_INTERVAL: Micros = 10_000;
/// Longest time from the end of a write until the operating system has sent it: about the time in which a slow
/// client reads what the operating system can hold for it.
pub const MAX_SEND_TIME: Micros = 10_000_000;

/// Reason why a connection may be evicted, in the order of eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    /// The last answer is written and the connection is half-closed.
    HalfClosed,
    /// The client has sent nothing yet.
    Silent,
    /// The client has been served and is between requests.
    Idle,
    /// The client has sent the beginning of a command.
    PartialCommand,
}

/// Position of a connection in the order of eviction: by class, then by the time since which it has been in
/// the class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evictability {
    /// Reason why the connection may be evicted.
    pub class: EvictionClass,
    /// Time since which the connection has been in the class.
    pub since: Micros,
}

/// The time limit of a connection that has expired.
pub enum SessionTimeout {
    /// An answer was not written in time.
    Write,
    /// No complete command arrived in time. An error reply is queued, and no more input is read.
    Command,
    /// It is to be checked again whether the operating system has sent everything.
    Unsent,
    /// The connection was idle for too long.
    Idle,
}

/// A write of answers in progress.
struct PendingWrite {
    deadline: Micros,
    /// Released when the write is complete.
    _reservations: Vec<MemoryReservation>,
}

/// A client connection.
pub struct Session {
    input: BytesMut,
    /// Memory for a long command.
    command_memory: Option<MemoryReservation>,
    /// Time since which the session has been queued for the memory of a long command.
    awaits_memory_since: Option<Micros>,
    /// Time for which the present command was not read because its memory was not free.
    memory_wait: Micros,
    pending_write: Option<PendingWrite>,
    /// Slots for answers, in the order of the commands.
    pub slots: VecDeque<Slot>,
    /// Sequence number of the first slot.
    pub first_slot: u64,
    /// Whether no more input is read, because the framing of the input is invalid, a time limit has expired,
    /// or the connection table is full.
    pub input_closed: bool,
    /// Whether only the connections reserved for rejections were left when this connection was accepted.
    /// Cleared by the first request that is not rejected because of the full table.
    pub over_capacity: bool,
    /// Number of requests that were rejected because of the full table since the last one that was not.
    table_full_rejections: usize,
    /// Size of the longest answer so far, in bytes.
    longest_answer_bytes: usize,
    /// Time by which the awaited command must be complete; `None` if no command has begun.
    command_deadline: Option<Micros>,
    /// Time at which the last write ended; before the first write, time of accepting.
    pub idle_since: Micros,
    pub timer: ConnectionTimer,
    /// Whether the driver has stopped reading until [`crate::Output::Resume`].
    pub reading_paused: bool,
    /// Whether the connection is being closed, unless input arrives first.
    pub closing: bool,
    /// Whether the connection is half-closed after its last answer. Further input is discarded.
    pub half_closed: bool,
    /// Whether the reason of the present close has been counted.
    pub close_noted: bool,
    /// Whether the operating system had not sent everything at the last check since the last write.
    has_unsent: bool,
    /// Time of the next check whether the operating system has sent everything; `None` if none is due.
    unsent_check_at: Option<Micros>,
    last_input_at: Micros,
    /// The session's current entry in the order of eviction.
    pub listed_evictability: Option<Evictability>,
    /// Whether the session accepted no request at the last check.
    was_blocked: bool,
    /// Bytes of the first slot's streamed answer within the pending write.
    streamed_bytes_in_write: usize,
    /// Streamed answers that are completely written.
    finished_streams: Vec<StreamedAnswer>,
}

impl Session {
    /// Creates the session of a connection that was just accepted.
    pub fn new(now: Micros, timeouts: &ClientTimeouts) -> Session {
        Session {
            input: BytesMut::new(),
            command_memory: None,
            awaits_memory_since: None,
            memory_wait: 0,
            pending_write: None,
            slots: VecDeque::new(),
            first_slot: 0,
            input_closed: false,
            over_capacity: false,
            table_full_rejections: 0,
            longest_answer_bytes: 0,
            command_deadline: Some(now + timeouts.first_command),
            idle_since: now,
            timer: ConnectionTimer::default(),
            reading_paused: false,
            closing: false,
            half_closed: false,
            close_noted: false,
            has_unsent: false,
            unsent_check_at: None,
            last_input_at: now,
            listed_evictability: None,
            was_blocked: false,
            streamed_bytes_in_write: 0,
            finished_streams: Vec::new(),
        }
    }

    /// Maximum number of requests that may be pending at once: a client that does not read its answers must
    /// not fill the memory budget.
    fn pipeline_limit(&self, memory: usize) -> usize {
        match self.longest_answer_bytes {
            0 => INITIAL_PIPELINE_LIMIT,
            longest => (memory / PIPELINE_MEMORY_DIVISOR / longest).clamp(1, MAX_PIPELINE_LIMIT),
        }
    }

    /// Whether another request is accepted now. None is accepted behind an answer that can break off: the
    /// request would run, and its answer would be lost with the connection.
    fn accepts_request(&self, memory: usize) -> bool {
        !self.input_closed
            && !self.half_closed
            && self.pending_write.is_none()
            && self.slots.len() < self.pipeline_limit(memory)
            && !self.slots.iter().any(Slot::can_break_off)
    }

    /// Returns how many bytes may be read now.
    pub fn read_budget(&self, memory: usize) -> usize {
        if !self.accepts_request(memory) {
            return 0;
        }
        // The rest of a long command that waits for memory stays in the socket and the client's buffers.
        let max_buffered = if self.command_memory.is_some() { MAX_COMMAND_BYTES } else { UNRESERVED_BYTES };
        max_buffered.saturating_sub(self.input.len())
    }

    /// Returns whether the session needs memory for a long command and is not queued for it yet. After `true`
    /// the session counts as queued.
    pub fn must_queue_for_memory(&mut self, now: Micros, memory: usize) -> bool {
        let must_queue = self.accepts_request(memory)
            && self.command_memory.is_none()
            && self.input.len() >= UNRESERVED_BYTES
            && self.awaits_memory_since.is_none();
        if must_queue {
            self.awaits_memory_since = Some(now);
        }
        must_queue
    }

    /// Keeps the granted memory if input still waits for it; otherwise the memory is released.
    pub fn on_memory_granted(&mut self, now: Micros, reservation: MemoryReservation) {
        let waiting_since = self.awaits_memory_since.take().unwrap_or(now);
        self.memory_wait = now - waiting_since;
        if !self.input.is_empty() && !self.input_closed {
            self.command_memory = Some(reservation);
        }
    }

    /// Appends input. The time limit of a command starts with its first byte.
    pub fn on_input(&mut self, now: Micros, bytes: &[u8], timeouts: &ClientTimeouts) {
        if self.input.is_empty() && self.command_deadline.is_none() {
            self.command_deadline = Some(now + timeouts.command);
        }
        self.last_input_at = now;
        self.close_noted = false;
        self.input.extend_from_slice(bytes);
    }

    /// Number of received bytes that are not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.input.len()
    }

    /// Takes the next complete command if another request is accepted.
    pub fn next_command(
        &mut self,
        now: Micros,
        timeouts: &ClientTimeouts,
        memory: usize,
    ) -> Option<Result<Vec<Bytes>, Malformed>> {
        let accepts = self.accepts_request(memory);
        let was_blocked = std::mem::replace(&mut self.was_blocked, !accepts);
        if was_blocked && accepts && self.command_deadline.is_some() {
            // The rest of the command could not arrive while reading was paused.
            self.command_deadline = Some(now + timeouts.command);
        }
        let command = if accepts && !self.input.is_empty() {
            resp::take_command(&mut self.input).transpose()
        } else {
            None
        };
        match &command {
            Some(Ok(_)) => {
                self.command_deadline = (!self.input.is_empty()).then(|| now + timeouts.command);
            }
            Some(Err(_)) => self.input_closed = true,
            None if self.closes_between_requests() && accepts => {
                let deadline = now + REJECTED_COMMAND_TIMEOUT;
                self.command_deadline = self.command_deadline.map(|current| current.min(deadline));
            }
            None => {}
        }
        if self.input.is_empty() || self.input_closed {
            self.discard_input();
        }
        command
    }

    /// Handles that a request was rejected because the connection table is full.
    pub fn on_table_full(&mut self) {
        self.table_full_rejections += 1;
        self.input_closed |= self.table_full_rejections >= MAX_REJECTED_COMMANDS;
    }

    /// Handles that a request was not rejected because of a full connection table.
    pub fn on_within_capacity(&mut self) {
        self.over_capacity = false;
        self.table_full_rejections = 0;
    }

    /// Whether the connection is to be closed once every command that has arrived is answered, because its
    /// requests are rejected.
    pub fn closes_between_requests(&self) -> bool {
        self.table_full_rejections > 0 && !self.input_closed
    }

    /// Takes the time for which the command that was taken last waited for memory. The client may have sent all
    /// of it before, so this time counts toward the time that the client waits.
    pub fn take_memory_wait(&mut self) -> Micros {
        std::mem::take(&mut self.memory_wait)
    }

    fn discard_input(&mut self) {
        self.input = BytesMut::new();
        self.command_memory = None;
    }

    /// Returns the sequence number of the next slot.
    pub fn next_slot(&self) -> u64 {
        self.first_slot + self.slots.len() as u64
    }

    fn slot_index(&self, slot: u64) -> Option<usize> {
        slot.checked_sub(self.first_slot).map(|index| index as usize)
    }

    /// Queues an answer without a pending request.
    pub fn push_answer(&mut self, answer: impl Into<Bytes>) {
        self.slots.push_back(Slot::Answered(answer.into(), None));
    }

    /// Answers the request of a slot. Returns the request's id, which is no longer pending, or `None` if the
    /// slot's request was not pending.
    pub fn answer(
        &mut self,
        slot: u64,
        bytes: Bytes,
        reservation: Option<MemoryReservation>,
    ) -> Option<Bytes> {
        let index = self.slot_index(slot)?;
        let entry = self.slots.get_mut(index)?;
        let Slot::Pending { id, .. } = entry else { return None };
        let id = std::mem::take(id);
        self.longest_answer_bytes = self.longest_answer_bytes.max(bytes.len());
        *entry = Slot::Answered(bytes, reservation);
        Some(id)
    }

    /// Begins a streamed answer of a pending request. Returns `false` if the slot's request is not pending.
    pub fn begin_stream(
        &mut self,
        slot: u64,
        conn: ConnId,
        class_slot: usize,
        head: Bytes,
        start: StreamStart,
        reservation: Option<MemoryReservation>,
    ) -> bool {
        let Some(entry) = self.slot_index(slot).and_then(|index| self.slots.get_mut(index)) else {
            return false;
        };
        let Slot::Pending { id, .. } = entry else { return false };
        let id = std::mem::take(id);
        *entry = Slot::Streaming(StreamedAnswer::new(conn, id, class_slot, head, start, reservation));
        true
    }

    /// Returns whether a later command of the connection has a slot.
    pub fn has_slots_behind(&self, slot: u64) -> bool {
        slot + 1 < self.next_slot()
    }

    fn stream_mut(&mut self, slot: u64) -> Option<&mut StreamedAnswer> {
        let index = self.slot_index(slot)?;
        match self.slots.get_mut(index)? {
            Slot::Streaming(stream) => Some(stream),
            Slot::Pending { .. } | Slot::Answered(..) => None,
        }
    }

    /// Adds a piece to a streamed answer. Returns whether there is space for more.
    pub fn push_piece(&mut self, slot: u64, piece: Bytes, last: bool) -> bool {
        let Some(stream) = self.stream_mut(slot) else { return false };
        stream.push(piece, last);
        stream.has_space()
    }

    /// Returns whether a streamed answer has space for another piece.
    pub fn has_stream_space(&mut self, slot: u64) -> bool {
        self.stream_mut(slot).is_some_and(|stream| stream.has_space())
    }

    /// Returns the server connection of the first slot's streamed answer.
    pub fn front_stream_connection(&self) -> Option<ConnId> {
        match self.slots.front() {
            Some(Slot::Streaming(stream)) => Some(stream.conn),
            _ => None,
        }
    }

    /// Replaces a streamed answer if nothing of it has been handed out for writing, and returns the replaced
    /// one. Otherwise changes nothing and returns `None`.
    pub fn replace_unstarted_stream(&mut self, slot: u64, answer: Bytes) -> Option<StreamedAnswer> {
        let index = self.slot_index(slot)?;
        let entry = self.slots.get_mut(index)?;
        if !matches!(entry, Slot::Streaming(stream) if !stream.is_started()) {
            return None;
        }
        match std::mem::replace(entry, Slot::Answered(answer, None)) {
            Slot::Streaming(stream) => Some(stream),
            Slot::Pending { .. } | Slot::Answered(..) => None,
        }
    }

    /// Ends the session behind a streamed answer that broke off after the client may have received a part of it.
    /// Returns the slots from that answer on: nothing can be written behind a partial value.
    pub fn end_at_broken_stream(&mut self, slot: u64) -> VecDeque<Slot> {
        if let Some(stream) = self.stream_mut(slot) {
            stream.broken = true;
        }
        self.end_input();
        let index = self.slot_index(slot).unwrap_or(0);
        self.slots.split_off(index.min(self.slots.len()))
    }

    /// Takes the streamed answers that have been completely written since the last call.
    pub fn take_finished_streams(&mut self) -> Vec<StreamedAnswer> {
        std::mem::take(&mut self.finished_streams)
    }

    /// Takes the bytes to write now: the answers that are ready in order, joined up to a size limit.
    pub fn poll_write(&mut self, now: Micros, timeouts: &ClientTimeouts) -> Option<Bytes> {
        if self.pending_write.is_some() || self.half_closed {
            return None;
        }
        let mut write = CoalescedWrite::default();
        let mut reservations = Vec::new();
        while write.has_space() {
            let Some(bytes) = self.next_output(&mut reservations) else { break };
            write.push(bytes);
        }
        let bytes = write.finish()?;
        let deadline = now + timeouts.write;
        self.pending_write = Some(PendingWrite { deadline, _reservations: reservations });
        Some(bytes)
    }

    /// The next bytes in the order of the slots; `None` while the first slot has no bytes.
    fn next_output(&mut self, reservations: &mut Vec<MemoryReservation>) -> Option<Bytes> {
        loop {
            match self.slots.front_mut()? {
                Slot::Pending { .. } => return None,
                Slot::Answered(bytes, reservation) => {
                    let bytes = std::mem::take(bytes);
                    reservations.extend(reservation.take());
                    self.slots.pop_front();
                    self.first_slot += 1;
                    return Some(bytes);
                }
                Slot::Streaming(stream) => match stream.next_piece() {
                    NextPiece::Piece(piece) => {
                        self.streamed_bytes_in_write += piece.len();
                        return Some(piece);
                    }
                    NextPiece::Awaited => return None,
                    NextPiece::End => self.finish_front_stream(),
                },
            }
        }
    }

    fn finish_front_stream(&mut self) {
        if let Some(Slot::Streaming(stream)) = self.slots.pop_front() {
            self.finished_streams.push(stream);
        }
        self.first_slot += 1;
        self.streamed_bytes_in_write = 0;
    }

    /// Releases the memory of the completed write, restarts the idle time, and frees the written part of a
    /// streamed answer's buffer.
    pub fn on_write_complete(&mut self, now: Micros) {
        self.pending_write = None;
        self.has_unsent = false;
        self.idle_since = now;
        let written = std::mem::take(&mut self.streamed_bytes_in_write);
        if let Some(Slot::Streaming(stream)) = self.slots.front_mut() {
            stream.on_written(written);
        }
    }

    /// Handles that the connection cannot be closed yet, because the operating system has not sent everything.
    /// Returns whether it may still take time to do so.
    pub fn on_unsent(&mut self, now: Micros) -> bool {
        self.closing = false;
        self.half_closed = false;
        self.has_unsent = true;
        self.unsent_check_at = Some(now + UNSENT_CHECK_INTERVAL);
        now < self.idle_since + MAX_SEND_TIME
    }

    /// Returns whether a part of an answer has been written that the client may not have received whole.
    pub fn is_sending(&self) -> bool {
        let has_started = matches!(self.slots.front(), Some(Slot::Streaming(stream)) if stream.is_started());
        has_started || self.pending_write.is_some() || self.has_unsent
    }

    /// Takes no further input, and discards what is no complete command.
    pub fn end_input(&mut self) {
        self.input_closed = true;
        self.discard_input();
    }

    /// Returns whether an answer is pending or being written.
    pub fn has_pending_answers(&self) -> bool {
        !self.slots.is_empty() || self.pending_write.is_some()
    }

    /// Returns whether neither answers nor input are left after the current write.
    pub fn is_last_write(&self) -> bool {
        self.slots.is_empty() && self.input.is_empty()
    }

    /// Returns whether the connection is between requests.
    pub fn is_between_requests(&self) -> bool {
        !self.has_pending_answers() && self.input.is_empty() && !self.input_closed && !self.half_closed
    }

    /// Returns whether any command on this connection has been answered.
    pub fn has_been_served(&self) -> bool {
        self.first_slot > 0
    }

    /// Returns the session's position in the order of eviction; `None` if it must not be evicted.
    pub fn evictability(&self) -> Option<Evictability> {
        let entry = |class, since| Some(Evictability { class, since });
        if self.closing {
            None
        } else if self.half_closed {
            entry(EvictionClass::HalfClosed, self.idle_since)
        } else if self.has_pending_answers() || self.input_closed || self.unsent_check_at.is_some() {
            None
        } else if !self.input.is_empty() {
            entry(EvictionClass::PartialCommand, self.last_input_at)
        } else if self.has_been_served() {
            entry(EvictionClass::Idle, self.idle_since)
        } else {
            entry(EvictionClass::Silent, self.idle_since)
        }
    }

    /// Returns the time at which the earliest time limit expires.
    pub fn next_timeout(&self, memory: usize, timeouts: &ClientTimeouts) -> Option<Micros> {
        let command = self.command_deadline.filter(|_| self.accepts_request(memory));
        let write = self.pending_write.as_ref().map(|write| write.deadline);
        let is_idle = self.has_been_served() && self.is_between_requests();
        let idle = is_idle.then_some(self.idle_since + timeouts.idle);
        [command, write, idle.filter(|_| self.unsent_check_at.is_none()), self.unsent_check_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns which time limit has expired. If it is that of a command, input ends and an error reply is
    /// queued.
    pub fn on_timeout(&mut self, now: Micros, memory: usize) -> SessionTimeout {
        if self.pending_write.as_ref().is_some_and(|write| write.deadline <= now) {
            return SessionTimeout::Write;
        }
        if self.accepts_request(memory) && self.command_deadline.is_some_and(|deadline| deadline <= now) {
            // Complete commands that arrived earlier are still answered.
            self.end_input();
            self.push_answer("-ERR no whole command in time\r\n");
            return SessionTimeout::Command;
        }
        if self.unsent_check_at.take_if(|check_at| *check_at <= now).is_some() {
            return SessionTimeout::Unsent;
        }
        SessionTimeout::Idle
    }
}
