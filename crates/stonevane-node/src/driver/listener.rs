//! The listening socket: accepts clients' connections until the node drains or a newer process replaces this
//! one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use stonevane_core::Input;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::reading::PeerRole;
use super::{Connection, Driver};

/// While draining, accepting ends once the kernel's queue has been empty for this time.
const DRAIN_QUEUE_GRACE: Duration = Duration::from_millis(5);
/// Pause after a failed accept: a shortage of descriptors is short-lived.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether connections are accepted, as decided by the core.
#[derive(Default)]
pub(super) struct ListenerState {
    accepting: AtomicBool,
    accepting_resumed: Notify,
    /// Only connections that are already in the kernel's queue are accepted.
    draining: AtomicBool,
    /// A newer process has taken over the listening socket: nothing more is accepted.
    stopped: AtomicBool,
    /// Notified when `draining` or `stopped` is set.
    shutdown_requested: Notify,
}

impl ListenerState {
    /// Sets whether there is capacity for another connection.
    pub fn set_accepting(&self, accepting: bool) {
        let was_accepting = self.accepting.swap(accepting, Ordering::Relaxed);
        if accepting && !was_accepting {
            self.accepting_resumed.notify_one();
        }
    }

    /// Stops accepting once the kernel's queue is empty.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.shutdown_requested.notify_one();
    }

    /// Stops accepting at once.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.shutdown_requested.notify_one();
    }

    /// Waits for capacity for another connection. Meanwhile new connections wait in the kernel's queue.
    async fn until_accepting(&self) {
        while !self.accepting.load(Ordering::Relaxed) {
            self.accepting_resumed.notified().await;
        }
    }
}

impl Driver {
    /// Accepts connections until the node drains, then those that are already in the kernel's queue.
    pub(super) async fn accept_clients(self: Arc<Self>, listener: TcpListener) {
        loop {
            self.listener.until_accepting().await;
            if self.listener.stopped.load(Ordering::Relaxed) {
                return;
            }
            let draining = self.listener.draining.load(Ordering::Relaxed);
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = sleep(DRAIN_QUEUE_GRACE), if draining => return,
                () = self.listener.shutdown_requested.notified(), if !draining => continue,
            };
            match accepted {
                Ok((stream, _)) => self.register_client(stream),
                // Out of descriptors, or the client has left: the node keeps running in both cases.
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    fn register_client(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream = Arc::new(stream);
        let mut state = self.lock();
        let id = state.core.next_connection_id();
        let resume = Arc::new(Notify::new());
        let reader = self.clone().read_until_end(id, stream.clone(), resume.clone(), PeerRole::Client);
        let reader = tokio::spawn(reader).abort_handle();
        state.connections.insert(id, Connection::new(Some(stream), reader, resume));
        self.handle(&mut state, Input::Accepted(id));
        self.perform_outputs(&mut state);
    }
}
