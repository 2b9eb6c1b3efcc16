//! Reading: brings what arrives on a connection, and its end, to the core.

use std::io::Result;
use std::sync::Arc;

use stonevane_core::{ConnId, Input};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::socket::{PEER_CLOSED, peer_has_closed, read_from_socket, read_if_ready, would_block};
use super::{Driver, READ_BUFFER_BYTES, State};

/// At most so much is read where nothing is expected.
const UNEXPECTED_INPUT_BYTES: usize = 4096;

/// Which side of the node a connection is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerRole {
    Client,
    Server,
}

/// How to find out whether a connection has input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InputCheck {
    /// As the runtime last reported it, with no system call where that was nothing.
    Readiness,
    /// By a system call. What the runtime knows may be as old as the present turn, and a client's request that arrived
    /// since would be lost with the connection.
    Socket,
}

/// What a read brought to the core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadEvent {
    Nothing,
    Bytes,
    Closed,
}

/// How the reader of a connection goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextRead {
    WhenReadable,
    /// The core has paused reading.
    WhenResumed,
    /// The connection exists no more.
    Never,
}

impl Driver {
    /// Brings what arrives on a connection to the core until the connection ends. A client that leaves is noticed even
    /// while the core has paused reading, and whatever the client had sent before.
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
        match self.handle_read(&mut state, id, read) {
            ReadEvent::Nothing => NextRead::WhenReadable,
            ReadEvent::Bytes => {
                self.perform_outputs(&mut state);
                NextRead::WhenReadable
            }
            ReadEvent::Closed => {
                self.perform_outputs(&mut state);
                NextRead::Never
            }
        }
    }

    /// Whether a connection exists and has no unread input. Its input or its end is brought to the core.
    pub(super) fn has_no_input(&self, state: &mut State, id: ConnId, check: InputCheck) -> bool {
        let Some(stream) = state.stream(id) else { return false };
        let buffer = &mut state.read_buffer[..UNEXPECTED_INPUT_BYTES];
        let read = match check {
            InputCheck::Readiness => read_if_ready(&stream, buffer),
            InputCheck::Socket => read_from_socket(&stream, buffer),
        };
        self.handle_read(state, id, read) == ReadEvent::Nothing
    }

    /// Brings the result of a read into the buffer to the core.
    fn handle_read(&self, state: &mut State, id: ConnId, read: Result<usize>) -> ReadEvent {
        let (input, event) = match read {
            Ok(count) if count > 0 => (Input::Bytes(id, &state.read_buffer[..count]), ReadEvent::Bytes),
            read if would_block(&read) => return ReadEvent::Nothing,
            _ => {
                state.connections.remove(&id);
                (Input::Closed(id), ReadEvent::Closed)
            }
        };
        state.core.handle(self.clock.now(), input, &mut state.outputs);
        event
    }

    /// A connection has ended by itself.
    pub(super) fn connection_ended(self: &Arc<Self>, id: ConnId) {
        let mut state = self.lock();
        if state.connections.remove(&id).is_some() {
            self.handle(&mut state, Input::Closed(id));
            self.perform_outputs(&mut state);
        }
    }
}
