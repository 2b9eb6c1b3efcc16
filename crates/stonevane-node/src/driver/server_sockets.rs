//! Connections to servers, and calls to the store in place of the origin.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use stonevane_core::{ConnId, Input, StoreCall};
use tokio::net::TcpStream;

use super::reading::{InputCheck, PeerRole};
use super::{Connection, Driver, State};

impl Driver {
    /// Starts opening a connection to a server.
    pub(super) fn open(self: &Arc<Self>, state: &mut State, id: ConnId, address: SocketAddr) {
        let task = tokio::spawn(self.clone().connect_and_read(id, address)).abort_handle();
        state.connections.insert(id, Connection::new(None, task, Arc::default()));
    }

    /// Connects and then reads until the connection ends. The attempt to connect has no timeout here: the
    /// core's connect timeout closes a connection that is not opened in time.
    async fn connect_and_read(self: Arc<Self>, id: ConnId, address: SocketAddr) {
        let Ok(stream) = TcpStream::connect(address).await else { return self.connection_ended(id) };
        let _ = stream.set_nodelay(true);
        let stream = Arc::new(stream);
        let resume = {
            let mut state = self.lock();
            let Some(connection) = state.connections.get_mut(&id) else { return };
            connection.stream = Some(stream.clone());
            let resume = connection.resume.clone();
            self.handle(&mut state, Input::Opened(id));
            self.perform_outputs(&mut state);
            resume
        };
        self.read_until_end(id, stream, resume, PeerRole::Server).await;
    }

    /// Writes the first bytes of a request, unless the connection has input or has ended. A request is never
    /// written to a connection that the server is known to have closed: a request that is not written has
    /// certainly not run.
    pub(super) fn write_request(
        self: &Arc<Self>,
        state: &mut State,
        id: ConnId,
        bytes: Bytes,
        check: InputCheck,
    ) {
        if self.has_no_input(state, id, check) {
            self.write(state, id, bytes);
        }
    }

    /// Starts a call to the store.
    pub(super) fn call_store(self: &Arc<Self>, state: &mut State, id: ConnId, call: Box<StoreCall>) {
        let Some(store) = self.store.clone() else { return };
        let driver = self.clone();
        let task = async move {
            let reply = store.call(*call).await;
            driver.input(Input::CallReplied(id, reply));
        };
        let task = tokio::spawn(task).abort_handle();
        state.connections.insert(id, Connection::new(None, task, Arc::default()));
    }
}
