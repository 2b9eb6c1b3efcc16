//! Ends of clients' connections: the last response with the close right behind it, and half-closed connections.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stonevane_core::{ConnId, Input};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::reading::InputCheck;
use super::socket::{shutdown_write, try_write, would_block};
use super::{Driver, State};

/// A half-closed connection is read for at most so long ...
const HALF_CLOSED_TIME: Duration = Duration::from_millis(200);
/// ... and at most so much of it.
const HALF_CLOSED_BYTES: usize = 256 * 1024;
/// Bytes that are discarded at once.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

impl Driver {
    /// Writes the last response to a client and closes right behind it, unless a further request has arrived: no request
    /// can be on its way to a connection whose end its client learns together with the response.
    pub(super) fn write_last(self: &Arc<Self>, state: &mut State, id: ConnId, bytes: Bytes) {
        if !self.has_no_input(state, id, InputCheck::Socket) {
            return self.write(state, id, bytes);
        }
        match state.stream(id).map(|stream| try_write(&stream, &bytes)) {
            Some(Ok(count)) if count == bytes.len() => {
                self.half_close(state, id);
                self.handle(state, Input::WriteClosed(id));
            }
            Some(Ok(count)) => self.write(state, id, bytes.slice(count..)),
            _ => self.write(state, id, bytes),
        }
    }

    /// Closes a client's connection on which nothing has arrived. The client learns of it at once, not when the
    /// connection's task has ended, and sends nothing more.
    pub(super) fn close_if_idle(&self, state: &mut State, id: ConnId) {
        if !state.core.is_closing(id) || !self.has_no_input(state, id, InputCheck::Socket) {
            return;
        }
        if let Some(connection) = state.connections.remove(&id) {
            if let Some(stream) = &connection.stream {
                shutdown_write(stream);
            }
            self.handle(state, Input::Closed(id));
        }
    }

    /// Ends this side of a connection, and reads on for a moment.
    pub(super) fn half_close(self: &Arc<Self>, state: &mut State, id: ConnId) {
        let Some(connection) = state.connections.get_mut(&id) else { return };
        let Some(stream) = connection.stream.clone() else { return };
        shutdown_write(&stream);
        connection.reader.take().inspect(AbortHandle::abort);
        let driver = self.clone();
        let reader = async move {
            let _ = timeout(HALF_CLOSED_TIME, discard_input(&stream)).await;
            driver.connection_ended(id);
        };
        connection.reader = Some(tokio::spawn(reader).abort_handle());
    }
}

/// Reads on after the last response: a close with unread input would reset the connection and could take the response
/// away from the client.
async fn discard_input(stream: &TcpStream) {
    let mut buffer = vec![0u8; DISCARD_BUFFER_BYTES];
    let mut remaining = HALF_CLOSED_BYTES;
    while remaining > 0 {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read(&mut buffer) {
            Ok(count) if count > 0 => remaining = remaining.saturating_sub(count),
            read if would_block(&read) => {}
            _ => return,
        }
    }
}
