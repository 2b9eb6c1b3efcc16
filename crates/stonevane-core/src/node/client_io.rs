//! Events on client connections: input, writes, time limits, disconnects.

use std::collections::VecDeque;

use stonevane_codec::resp::{MAX_COMMAND_BYTES, Malformed};

use super::Core;
use super::drain::Phase;
use crate::clients::{Session, SessionTimeout, Slot};
use crate::faults::Faults;
use crate::io::Output;
use crate::memory::MemoryReservation;
use crate::reply::ConnId;
use crate::trace::CloseReason;

/// Memory reserved for a long command, in bytes: the received bytes and the arguments that are copied out of
/// them. The session reads no more of it than [`MAX_COMMAND_BYTES`].
const LONG_COMMAND_MEMORY: usize = 2 * MAX_COMMAND_BYTES;

impl<F: Faults> Core<F> {
    pub(super) fn on_accepted(&mut self, id: ConnId) {
        let clients = &mut self.connections.clients;
        clients.sessions.insert(id, Session::new(self.now, &clients.timeouts));
        self.evict_for_accepted(id);
        self.process_client(id);
    }

    pub(super) fn on_bytes(&mut self, id: ConnId, bytes: &[u8]) {
        let clients = &mut self.connections.clients;
        let Some(session) = clients.sessions.get_mut(&id) else {
            return self.on_server_bytes(id, bytes);
        };
        session.closing = false;
        if !session.input_closed {
            session.on_input(self.now, bytes, &clients.timeouts);
        }
        self.process_client(id);
    }

    pub(super) fn on_flushed(&mut self, id: ConnId) {
        let Some(session) = self.connections.clients.sessions.get_mut(&id) else {
            return self.on_request_written(id);
        };
        session.on_write_complete(self.now);
        self.process_client(id);
    }

    /// Handles that a connection was not closed because the operating system has not sent everything. The close
    /// is tried again later, unless the client has not read for too long.
    pub(super) fn on_unsent(&mut self, id: ConnId) {
        let Some(session) = self.connections.clients.sessions.get_mut(&id) else { return };
        if !session.on_unsent(self.now) {
            self.close_connection(id, CloseReason::TimeLimit);
            return self.remove_client(id);
        }
        self.resume_client(id);
        self.connections.clients.update_eviction_order(id);
    }

    /// Handles the completed write of a client's last answer and of the end of stream after it.
    pub(super) fn on_write_closed(&mut self, id: ConnId) {
        if let Some(session) = self.connections.clients.sessions.get_mut(&id) {
            session.on_write_complete(self.now);
            session.half_closed = true;
            self.connections.clients.update_eviction_order(id);
        }
    }

    pub(super) fn on_closed(&mut self, id: ConnId) {
        if self.is_client(id) {
            self.remove_client(id);
        } else {
            self.on_server_connection_lost(id);
        }
    }

    pub(super) fn on_memory_granted(&mut self, id: ConnId, reservation: MemoryReservation) {
        if let Some(session) = self.connections.clients.sessions.get_mut(&id) {
            session.on_memory_granted(self.now, reservation);
            self.process_client(id);
        } else {
            self.on_reply_memory_granted(id, reservation);
        }
    }

    /// Handles the timer of a client or server connection. The connection's time limit may have moved since
    /// the timer was set.
    pub(super) fn on_connection_limit(&mut self, id: ConnId) {
        let memory = self.connections.memory.capacity();
        let clients = &mut self.connections.clients;
        let Some(session) = clients.sessions.get_mut(&id) else {
            return self.on_server_connection_limit(id);
        };
        let limit = session.next_timeout(memory, &clients.timeouts);
        if !session.timer.fire(limit, self.now, id, &mut self.timers) {
            return;
        }
        match session.on_timeout(self.now, memory) {
            SessionTimeout::Write => {
                self.close_connection(id, CloseReason::TimeLimit);
                self.remove_client(id);
            }
            SessionTimeout::Command | SessionTimeout::Unsent => self.process_client(id),
            SessionTimeout::Idle => self.close_if_idle(id, CloseReason::TimeLimit),
        }
    }

    /// Takes the commands that a client's session accepts and writes the answers that are ready.
    pub(super) fn process_client(&mut self, id: ConnId) {
        self.take_commands(id);
        self.write_answers(id);
        let Some(session) = self.connections.clients.sessions.get(&id) else { return };
        let stream_conn = session.front_stream_connection();
        self.count_finished_streams(id);
        let must_close = self.close_write_if_done(id);
        self.resume_client(id);
        if let Some(conn) = stream_conn {
            self.resume_server_connection(conn);
        }
        if must_close {
            self.note_client_close(id, CloseReason::AfterError);
        }
        let Some(session) = self.connections.clients.sessions.get(&id) else { return };
        let may_close = session.has_been_served() || !self.handover.replaced;
        if self.drain.phase == Phase::Draining && session.is_between_requests() && may_close {
            self.close_if_idle(id, CloseReason::Drain);
        } else if session.closes_between_requests() && session.is_between_requests() {
            self.close_if_idle(id, CloseReason::AfterError);
        }
        self.connections.clients.update_eviction_order(id);
    }

    fn take_commands(&mut self, id: ConnId) {
        let memory = self.connections.memory.capacity();
        loop {
            let clients = &mut self.connections.clients;
            let Some(session) = clients.sessions.get_mut(&id) else { return };
            match session.next_command(self.now, &clients.timeouts, memory) {
                Some(Ok(arguments)) => self.on_command(id, &arguments),
                Some(Err(Malformed(what))) => {
                    session.push_answer(format!("-ERR protocol error: {what}\r\n"));
                }
                None => return,
            }
        }
    }

    /// Writes the answers that are ready, and queues the session for memory if a long command needs it.
    fn write_answers(&mut self, id: ConnId) {
        let clients = &mut self.connections.clients;
        let Some(session) = clients.sessions.get_mut(&id) else { return };
        if let Some(bytes) = session.poll_write(self.now, &clients.timeouts) {
            // A drain and a full table close the connection together with an answer, while the client cannot
            // have sent another request.
            let is_drained = self.drain.phase == Phase::Draining && !session.input_closed;
            let closes = (is_drained || session.closes_between_requests()) && session.is_last_write();
            let write = if closes { Output::WriteAndClose(id, bytes) } else { Output::Write(id, bytes) };
            self.out.push_back(write);
        }
        if session.must_queue_for_memory(self.now, self.connections.memory.capacity()) {
            self.connections.memory.enqueue(id, LONG_COMMAND_MEMORY);
        }
    }

    fn count_finished_streams(&mut self, id: ConnId) {
        let clients = &mut self.connections.clients;
        let Some(session) = clients.sessions.get_mut(&id) else { return };
        for stream in session.take_finished_streams() {
            clients.pending_ids.remove(&stream.id);
            self.reporter.metrics.class_mut(stream.class_slot).served += 1;
            self.requests.unanswered -= 1;
        }
    }

    /// Half-closes a session that reads no more input once its last answer is written. Returns whether it was
    /// half-closed.
    fn close_write_if_done(&mut self, id: ConnId) -> bool {
        let Some(session) = self.connections.clients.sessions.get_mut(&id) else { return false };
        if !session.input_closed || session.has_pending_answers() || session.half_closed {
            return false;
        }
        session.half_closed = true;
        self.out.push_back(Output::CloseWrite(id));
        true
    }

    /// Resumes reading from a client if its session has a read budget, and sets its timer.
    fn resume_client(&mut self, id: ConnId) {
        let memory = self.connections.memory.capacity();
        let clients = &mut self.connections.clients;
        let Some(session) = clients.sessions.get_mut(&id) else { return };
        if session.reading_paused && session.read_budget(memory) > 0 {
            session.reading_paused = false;
            self.out.push_back(Output::Resume(id));
        }
        let limit = session.next_timeout(memory, &clients.timeouts);
        session.timer.arm(limit, id, &mut self.timers);
    }

    /// Closes a client connection that is between requests, unless input arrives before the driver closes it.
    pub(super) fn close_if_idle(&mut self, id: ConnId, reason: CloseReason) {
        let Some(session) = self.connections.clients.sessions.get_mut(&id) else { return };
        let was_closing = std::mem::replace(&mut session.closing, true);
        if !was_closing {
            self.note_client_close(id, reason);
            self.out.push_back(Output::CloseIfIdle(id));
        }
        self.connections.clients.update_eviction_order(id);
    }

    /// Counts and traces the reason for closing a client connection, once for all tries.
    fn note_client_close(&mut self, id: ConnId, reason: CloseReason) {
        let session = self.connections.clients.sessions.get_mut(&id);
        let was_noted = session.is_some_and(|session| std::mem::replace(&mut session.close_noted, true));
        if !was_noted {
            self.note_close(id, reason);
        }
    }

    /// Ends a client connection at a streamed answer that broke off after a part of it was written. What the
    /// client has not read yet of earlier answers must still reach it.
    pub(super) fn end_at_broken_stream(&mut self, id: ConnId, slot: u64) {
        let Some(session) = self.connections.clients.sessions.get_mut(&id) else { return };
        let slots = session.end_at_broken_stream(slot);
        self.note_client_close(id, CloseReason::StreamBroken);
        self.abandon_slots(slots);
        self.process_client(id);
    }

    /// Removes a client that has disconnected or been closed, and abandons its requests.
    pub(super) fn remove_client(&mut self, id: ConnId) {
        let Some(session) = self.connections.clients.remove(id) else { return };
        self.connections.memory.cancel(id);
        self.abandon_slots(session.slots);
    }

    fn abandon_slots(&mut self, slots: VecDeque<Slot>) {
        for slot in slots {
            match slot {
                Slot::Pending { request, id } => self.abandon_request(request, &id),
                Slot::Streaming(stream) => self.abandon_stream(&stream),
                Slot::Answered(..) => {}
            }
        }
    }
}
