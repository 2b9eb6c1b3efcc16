//! The listeners of a server: an address for each node, with the fault that this node sees.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::connection::{Peer, Protocol, reset, serve};
use super::{Fault, REBIND_PAUSE};
use crate::record::MonotonicClock;

/// Connections that fill the accept queue of a machine that has vanished, so that no other comes up.
const QUEUE_FILLERS: usize = 3;

/// The listeners of a server.
pub(crate) struct Listeners {
    by_node: BTreeMap<String, Entrance>,
}

/// Where one node reaches the server.
struct Entrance {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Listeners {
    /// Opens a listener for each node at an address of this machine (port 0: any) and serves its connections by
    /// `protocol`, which returns `None` where no further connection is accepted.
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
            by_node.insert(node.clone(), Entrance { address, fault });
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

    /// The address that a node knows.
    pub(crate) fn address(&self, node: &str) -> Option<SocketAddr> {
        self.by_node.get(node).map(|entrance| entrance.address)
    }

    /// Changes the fault for one node or for all; nothing happens where it is in force already.
    pub(crate) fn set_fault(&self, node: Option<&str>, fault: Fault) {
        let meant = |name: &String| node.is_none_or(|node| node == name);
        for (_, entrance) in self.by_node.iter().filter(|(name, _)| meant(name)) {
            if entrance.fault.send_if_modified(|now| std::mem::replace(now, fault) != fault) {
                tracing::debug!(address = %entrance.address, ?fault, "door");
            }
        }
    }
}

/// Accepts connections of one node as the fault in force allows.
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

    /// Keeps new connections from coming up, without refusing them.
    fn fill_queue(&mut self) {
        let Some(listener) = &self.listener else { return };
        let _ = rustix::net::listen(listener, 0);
        if self.fillers.is_empty() {
            let address = self.address;
            self.fillers.extend((0..QUEUE_FILLERS).map(|_| tokio::spawn(TcpStream::connect(address))));
        }
    }

    /// Opens the listener anew; connections that came up meanwhile are reset.
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
            tracing::debug!(address = %self.address, node = self.node, "its table of connections is full");
            reset(&stream);
            return;
        };
        let peer = Peer { stream, fault: self.fault.clone(), clock: self.clock.clone() };
        tokio::spawn(serve(peer, protocol));
    }
}
