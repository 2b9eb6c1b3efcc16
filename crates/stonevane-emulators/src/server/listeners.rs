//! The listeners of a server: an address for each node, with the fault injected for this node.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::connection::{Peer, Protocol, reset, serve};
use super::{Fault, REBIND_PAUSE};
use crate::record::MonotonicClock;

/// Connections that fill the accept queue under [`Fault::Silent`], so that no other one is established.
const QUEUE_FILLERS: usize = 3;

/// The listeners of a server, by node.
pub(crate) struct Listeners {
    by_node: BTreeMap<String, NodeListener>,
}

/// The address at which one node reaches the server, and the fault injected there.
struct NodeListener {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Listeners {
    /// Opens a listener for each node at an address of this machine (port 0: any free port) and serves its
    /// connections with the protocol that `protocol` returns; it returns `None` to reject a connection.
    pub(crate) async fn open<P: Protocol>(
        nodes: &[(String, SocketAddr)],
        clock: &MonotonicClock,
        protocol: impl Fn(&str) -> Option<P> + Send + Sync + Clone + 'static,
    ) -> io::Result<Listeners> {
        let mut by_node = BTreeMap::new();
        for (node, address) in nodes {
            let listener = TcpListener::bind(address).await?;
            let address = listener.local_addr()?;
            let (fault, observed_fault) = watch::channel(Fault::None);
            by_node.insert(node.clone(), NodeListener { address, fault });
            let acceptor = Acceptor {
                node: node.clone(),
                address,
                listener: Some(listener),
                fault: observed_fault,
                clock: clock.clone(),
                protocol: protocol.clone(),
                fillers: Vec::new(),
            };
            tokio::spawn(acceptor.run());
        }
        Ok(Listeners { by_node })
    }

    /// Returns the address at which a node reaches the server.
    pub(crate) fn address(&self, node: &str) -> Option<SocketAddr> {
        self.by_node.get(node).map(|listener| listener.address)
    }

    /// Sets the fault for one node, or for all if `node` is `None`; has no effect on nodes where the same
    /// fault is already active.
    pub(crate) fn set_fault(&self, node: Option<&str>, fault: Fault) {
        let selected = |name: &String| node.is_none_or(|node| node == name);
        for (_, listener) in self.by_node.iter().filter(|(name, _)| selected(name)) {
            if listener.fault.send_if_modified(|current| std::mem::replace(current, fault) != fault) {
                tracing::debug!(address = %listener.address, ?fault, "listener fault changed");
            }
        }
    }
}

/// Accepts connections of one node, subject to the active fault.
struct Acceptor<F> {
    node: String,
    address: SocketAddr,
    /// `None` while connections are refused.
    listener: Option<TcpListener>,
    fault: watch::Receiver<Fault>,
    clock: MonotonicClock,
    protocol: F,
    fillers: Vec<JoinHandle<io::Result<TcpStream>>>,
}

impl<F, P> Acceptor<F>
where
    F: Fn(&str) -> Option<P>,
    P: Protocol,
{
    async fn run(mut self) {
        loop {
            let fault = *self.fault.borrow_and_update();
            if !fault.accepts_connections() {
                match fault {
                    Fault::Silent => self.fill_queue(),
                    _ => self.listener = None,
                }
                if self.fault.changed().await.is_err() {
                    return;
                }
                continue;
            }
            if !self.fillers.is_empty() || self.listener.is_none() {
                self.reopen().await;
            }
            let Some(listener) = &self.listener else {
                tokio::time::sleep(REBIND_PAUSE).await;
                continue;
            };
            tokio::select! {
                biased;
                changed = self.fault.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        self.accept(stream);
                    }
                }
            }
        }
    }

    /// Fills the accept queue, so that new connections are neither established nor refused.
    fn fill_queue(&mut self) {
        let Some(listener) = &self.listener else { return };
        let _ = rustix::net::listen(listener, 0);
        if self.fillers.is_empty() {
            let address = self.address;
            self.fillers.extend((0..QUEUE_FILLERS).map(|_| tokio::spawn(TcpStream::connect(address))));
        }
    }

    /// Opens a new listener; connections in the accept queue of the old listener are reset.
    async fn reopen(&mut self) {
        for filler in self.fillers.drain(..) {
            filler.abort();
        }
        drop(self.listener.take());
        self.listener = TcpListener::bind(self.address).await.ok();
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Some(protocol) = (self.protocol)(&self.node) else {
            tracing::debug!(address = %self.address, node = self.node, "connection limit reached, rejected");
            reset(&stream);
            return;
        };
        let peer = Peer { stream, fault: self.fault.clone(), clock: self.clock.clone() };
        tokio::spawn(serve(peer, protocol));
    }
}
