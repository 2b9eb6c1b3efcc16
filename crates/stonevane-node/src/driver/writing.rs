//! Writing: bytes that the kernel takes are written at once, the rest by a task of the connection.

use std::sync::Arc;

use bytes::Bytes;
use stonevane_core::{ConnId, Input};
use tokio::net::TcpStream;

use super::socket::{try_write, would_block};
use super::{Driver, State};

impl Driver {
    /// Writes to a connection. The core is notified once everything is written.
    pub(super) fn write(self: &Arc<Self>, state: &mut State, id: ConnId, mut bytes: Bytes) {
        let Some(connection) = state.connections.get_mut(&id) else { return };
        let Some(stream) = connection.stream.clone() else { return };
        match try_write(&stream, &bytes) {
            Ok(count) if count == bytes.len() => return self.handle(state, Input::Flushed(id)),
            Ok(count) => drop(bytes.split_to(count)),
            written if would_block(&written) => {}
            _ => {
                state.connections.remove(&id);
                return self.handle(state, Input::Closed(id));
            }
        }
        let writer = tokio::spawn(self.clone().write_rest(id, stream, bytes));
        connection.writer = Some(writer.abort_handle());
    }

    /// Writes the remaining bytes as the kernel takes them. The state is locked during each write, so that no
    /// bytes are written after the core has closed the connection and the core is notified immediately of the
    /// completed write.
    async fn write_rest(self: Arc<Self>, id: ConnId, stream: Arc<TcpStream>, mut bytes: Bytes) {
        while stream.writable().await.is_ok() {
            let mut state = self.lock();
            if !state.connections.contains_key(&id) {
                return;
            }
            match try_write(&stream, &bytes) {
                Ok(count) if count == bytes.len() => {
                    self.handle(&mut state, Input::Flushed(id));
                    return self.perform_outputs(&mut state);
                }
                Ok(count) => drop(bytes.split_to(count)),
                written if would_block(&written) => {}
                _ => break,
            }
        }
        self.connection_ended(id);
    }
}
