//! Reading: passes received bytes and the end of a connection to the core.

use std::io::Result;
use std::sync::Arc;

use stonevane_core::{ConnId, Input};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;

use super::socket::{PEER_CLOSED, peer_has_closed, read_from_socket, read_if_ready, would_block};
use super::{Driver, READ_BUFFER_BYTES, State};

/// Size of the read that checks a connection for unexpected input.
const INPUT_CHECK_BYTES: usize = 4096;

/// Side of the node that a connection is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerRole {
    Client,
    Server,
}

/// Method of checking whether a connection has input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InputCheck {
    /// Uses the readiness that the runtime last reported, without a system call if it reported none.
    Readiness,
    /// Reads by a system call. The runtime's readiness can be as old as the start of the present turn; a
    /// client's request that arrived since would be lost with the connection.
    Socket,
}

/// Input that a read passed to the core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadEvent {
    Nothing,
    Bytes,
    Closed,
}

/// Condition under which the reader of a connection reads next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextRead {
    WhenReadable,
    /// After the tasks of other connections have had their turn: the read was full, so more input is likely.
    AfterOthers,
    /// After the core, which has paused reading, resumes it.
    WhenResumed,
    /// The connection no longer exists.
    Never,
}

impl Driver {
    /// Passes received bytes to the core until the connection ends. The departure of a client is noticed even
    /// while the core has paused reading and bytes of the client are still unread.
    pub(super) async fn read_until_end(
        self: Arc<Self>,
        id: ConnId,
        stream: Arc<TcpStream>,
        resume: Arc<Notify>,
        role: PeerRole,
    ) {
        loop {
            if std::future::poll_fn(|cx| stream.poll_read_ready(cx)).await.is_err() {
                return self.connection_ended(id);
            }
            match self.read_once(id, &stream) {
                NextRead::WhenReadable => {}
                NextRead::AfterOthers => yield_now().await,
                NextRead::WhenResumed => tokio::select! {
                    () = resume.notified() => {}
                    _ = stream.ready(PEER_CLOSED), if role == PeerRole::Client => {
                        return self.connection_ended(id);
                    }
                },
                NextRead::Never => return,
            }
        }
    }

    /// Makes the one read of a connection's turn. It is bounded by the core's read budget and the size of the
    /// read buffer, and so is the time for which other connections wait.
    fn read_once(self: &Arc<Self>, id: ConnId, stream: &TcpStream) -> NextRead {
        let mut state = self.lock();
        if !state.connections.contains_key(&id) {
            return NextRead::Never;
        }
        let limit = state.core.read_budget(id).min(READ_BUFFER_BYTES);
        let client_left = state.core.is_client(id) && peer_has_closed(stream);
        if limit == 0 && !client_left {
            return NextRead::WhenResumed;
        }
        let read = if client_left { Ok(0) } else { read_if_ready(stream, &mut state.read_buffer[..limit]) };
        let is_full = matches!(read, Ok(count) if count == limit);
        match self.handle_read(&mut state, id, read) {
            ReadEvent::Nothing => NextRead::WhenReadable,
            ReadEvent::Bytes => {
                self.perform_outputs(&mut state);
                if is_full { NextRead::AfterOthers } else { NextRead::WhenReadable }
            }
            ReadEvent::Closed => {
                self.perform_outputs(&mut state);
                NextRead::Never
            }
        }
    }

    /// Returns whether a connection exists and has no unread input. Input, or the end of the connection, is
    /// passed to the core.
    pub(super) fn has_no_input(&self, state: &mut State, id: ConnId, check: InputCheck) -> bool {
        let Some(stream) = state.stream(id) else { return false };
        let buffer = &mut state.read_buffer[..INPUT_CHECK_BYTES];
        let read = match check {
            InputCheck::Readiness => read_if_ready(&stream, buffer),
            InputCheck::Socket => read_from_socket(&stream, buffer),
        };
        self.handle_read(state, id, read) == ReadEvent::Nothing
    }

    /// Passes the result of a read into the buffer to the core.
    fn handle_read(&self, state: &mut State, id: ConnId, read: Result<usize>) -> ReadEvent {
        let (input, event) = match read {
            Ok(count) if count > 0 => (Input::Bytes(id, &state.read_buffer[..count]), ReadEvent::Bytes),
            read if would_block(&read) => return ReadEvent::Nothing,
            _ => {
                state.connections.remove(&id);
                (Input::Closed(id), ReadEvent::Closed)
            }
        };
        state.core.on_poll(self.last_poll.last());
        state.core.handle(self.clock.now(), input, &mut state.outputs);
        event
    }

    /// Removes a connection that its peer or an error has ended, and notifies the core.
    pub(super) fn connection_ended(self: &Arc<Self>, id: ConnId) {
        let mut state = self.lock();
        if state.connections.remove(&id).is_some() {
            self.handle(&mut state, Input::Closed(id));
            self.perform_outputs(&mut state);
        }
    }
}
