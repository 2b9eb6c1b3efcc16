//! Ends of clients' connections: the last response followed immediately by the close, and half-closed
//! connections.

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

/// Maximum time for which a half-closed connection is read.
const HALF_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of bytes that are read from a half-closed connection.
const HALF_CLOSE_MAX_BYTES: usize = 256 * 1024;

impl Driver {
    /// Writes the last response to a client and closes the connection immediately after it, unless a further
    /// request has arrived. The client learns of the close together with the response, so it cannot have a
    /// request on its way.
    pub(super) fn write_last(self: &Arc<Self>, state: &mut State, id: ConnId, bytes: Bytes) {
        if !self.has_no_input(state, id, InputCheck::Socket) {
            return self.write(state, id, bytes);
        }
        match state.stream(id).map(|stream| try_write(&stream, &bytes)) {
            Some(Ok(count)) if count == bytes.len() => {
                if !state.has_sent_everything(id) {
                    return self.handle(state, Input::Flushed(id));
                }
                self.half_close(state, id);
                self.handle(state, Input::WriteClosed(id));
            }
            Some(Ok(count)) => self.write(state, id, bytes.slice(count..)),
            _ => self.write(state, id, bytes),
        }
    }

    /// Closes a client's connection on which nothing has arrived and whose answers are sent. The stream is shut
    /// down here and not when the connection's task has ended: the client is notified at once and sends nothing
    /// more.
    pub(super) fn close_if_idle(&self, state: &mut State, id: ConnId) {
        if !state.core.is_closing(id) || !self.has_no_input(state, id, InputCheck::Socket) {
            return;
        }
        if !state.has_sent_everything(id) {
            return self.handle(state, Input::Unsent(id));
        }
        if let Some(connection) = state.connections.remove(&id) {
            if let Some(stream) = &connection.stream {
                shutdown_write(stream);
            }
            self.handle(state, Input::Closed(id));
        }
    }

    /// Half-closes a connection whose answers are sent.
    pub(super) fn close_write(self: &Arc<Self>, state: &mut State, id: ConnId) {
        if state.has_sent_everything(id) {
            self.half_close(state, id);
        } else {
            self.handle(state, Input::Unsent(id));
        }
    }

    /// Half-closes a connection: ends this side and reads on for up to [`HALF_CLOSE_TIMEOUT`].
    fn half_close(self: &Arc<Self>, state: &mut State, id: ConnId) {
        let Some(connection) = state.connections.get_mut(&id) else { return };
        let Some(stream) = connection.stream.clone() else { return };
        shutdown_write(&stream);
        connection.reader.take().inspect(AbortHandle::abort);
        let driver = self.clone();
        let reader = async move {
            let _ = timeout(HALF_CLOSE_TIMEOUT, driver.discard_input(&stream)).await;
            driver.connection_ended(id);
        };
        connection.reader = Some(tokio::spawn(reader).abort_handle());
    }

    /// Discards input after the last response: a close with unread input would reset the connection, and the
    /// reset could destroy the response before the client has read it. The input goes to the buffer that all
    /// connections share, so that a half-closed connection needs no memory.
    async fn discard_input(&self, stream: &TcpStream) {
        let mut remaining = HALF_CLOSE_MAX_BYTES;
        while remaining > 0 {
            if stream.readable().await.is_err() {
                return;
            }
            match stream.try_read(&mut self.lock().read_buffer) {
                Ok(count) if count > 0 => remaining = remaining.saturating_sub(count),
                read if would_block(&read) => {}
                _ => return,
            }
        }
    }
}
