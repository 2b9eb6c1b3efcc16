//! The datagram network between nodes. Each node reaches the others under separate addresses, and its
//! datagrams are lost, delayed, reordered or duplicated according to the active conditions. With the same
//! seed the n-th datagram of a pair of nodes gets the same random draws.

mod conditions;

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use oorandom::Rand64;
use tokio::net::UdpSocket;

use self::conditions::ActiveConditions;
use crate::server::lock;

pub use self::conditions::NetworkConditions;

/// Longest datagram that the network carries, in bytes.
pub const MAX_DATAGRAM: usize = 256;
/// Length of the receive buffer, in bytes; above [`MAX_DATAGRAM`], so that longer datagrams are detected.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Largest number of nodes for which each node reaches each other node under a separate address, as the
/// platform may do. In larger clusters all nodes reach a given node at the same address.
const MAX_NODES_WITH_SEPARATE_ADDRESSES: usize = 8;

/// Counts of datagrams by their outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams received for forwarding; a broadcast counts once for each receiver.
    pub sent: u64,
    /// Datagrams dropped by the active conditions.
    pub lost: u64,
    /// Datagrams forwarded twice.
    pub duplicated: u64,
    /// Datagrams dropped because they exceed [`MAX_DATAGRAM`].
    pub too_long: u64,
}

struct Network {
    names: Vec<String>,
    /// Address at which each node listens.
    targets: Vec<SocketAddr>,
    /// Nodes by the address from which they send.
    senders: HashMap<SocketAddr, usize>,
    /// `sockets[i][j]` is the socket at which node `i` reaches node `j`; with one row, `sockets[0][j]` for
    /// all nodes.
    sockets: Vec<Vec<Arc<UdpSocket>>>,
    conditions: Mutex<ActiveConditions>,
    counts: Mutex<Counts>,
    seed: u64,
    /// One random generator for each ordered pair of sender and receiver.
    generators: Mutex<HashMap<(usize, usize), Rand64>>,
}

/// The random numbers of one datagram.
struct Draws {
    loss: f64,
    duplicate: f64,
    /// One draw for the delay of the datagram and one for that of its duplicate.
    delays: [f64; 2],
}

impl Network {
    fn socket(&self, from: usize, to: usize) -> &Arc<UdpSocket> {
        &self.sockets[from.min(self.sockets.len() - 1)][to]
    }

    /// Draws all random numbers of a datagram whatever its outcome, so that later draws don't depend on it.
    fn draw(&self, from: usize, to: usize) -> Draws {
        let mut generators = lock(&self.generators);
        let pair = (from * self.names.len() + to) as u128;
        let generator =
            generators.entry((from, to)).or_insert_with(|| Rand64::new(u128::from(self.seed) << 32 | pair));
        let (loss, duplicate) = (generator.rand_float(), generator.rand_float());
        Draws { loss, duplicate, delays: [generator.rand_float(), generator.rand_float()] }
    }

    /// Forwards a datagram according to the active conditions.
    fn forward(&self, from: usize, to: usize, bytes: &[u8]) {
        let path = lock(&self.conditions).between(&self.names[from], &self.names[to]);
        let mut counts = lock(&self.counts);
        counts.sent += 1;
        let draws = self.draw(from, to);
        if bytes.len() > MAX_DATAGRAM {
            counts.too_long += 1;
            return;
        }
        if draws.loss >= path.delivery {
            counts.lost += 1;
            return;
        }
        let duplicated = draws.duplicate < path.duplicate;
        counts.duplicated += u64::from(duplicated);
        let copies = if duplicated { 2 } else { 1 };
        for draw in &draws.delays[..copies] {
            let delay = path.min_delay + path.max_delay.saturating_sub(path.min_delay).mul_f64(*draw);
            // The receiver must see the address at which it reaches the sender.
            let (socket, target, bytes) = (self.socket(to, from).clone(), self.targets[to], bytes.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.send_to(&bytes, target).await;
            });
        }
    }
}

/// A running network between nodes.
pub struct PeerNetwork {
    network: Arc<Network>,
    addresses: Vec<Vec<SocketAddr>>,
    broadcast: SocketAddr,
}

impl PeerNetwork {
    /// Starts a network of nodes that listen at these addresses.
    ///
    /// # Errors
    /// Fails if a socket can't be bound.
    pub async fn start(nodes: &[(String, SocketAddr)], ip: IpAddr, seed: u64) -> io::Result<PeerNetwork> {
        let sockets = bind_all(nodes.len(), ip).await?;
        let local_addresses =
            |row: &Vec<Arc<UdpSocket>>| row.iter().map(|socket| socket.local_addr()).collect();
        let addresses = sockets.iter().map(local_addresses).collect::<io::Result<Vec<Vec<_>>>>()?;
        let broadcast_socket = UdpSocket::bind((ip, 0)).await?;
        let network = Arc::new(Network {
            names: nodes.iter().map(|(name, _)| name.clone()).collect(),
            targets: nodes.iter().map(|(_, target)| *target).collect(),
            senders: nodes.iter().enumerate().map(|(number, (_, target))| (*target, number)).collect(),
            sockets,
            conditions: Mutex::default(),
            counts: Mutex::default(),
            seed,
            generators: Mutex::default(),
        });
        for row in network.sockets.clone() {
            for (to, socket) in row.into_iter().enumerate() {
                tokio::spawn(forward_to_one(network.clone(), socket, to));
            }
        }
        let broadcast = broadcast_socket.local_addr()?;
        tokio::spawn(forward_to_all(network.clone(), broadcast_socket));
        Ok(PeerNetwork { network, addresses, broadcast })
    }

    /// Returns the addresses at which a node reaches each node, indexed by node number and including the node
    /// itself.
    pub fn peers(&self, node: usize) -> &[SocketAddr] {
        &self.addresses[node.min(self.addresses.len() - 1)]
    }

    /// Returns the address at which a node reaches all others at once.
    pub fn broadcast(&self) -> SocketAddr {
        self.broadcast
    }

    /// Activates network conditions and returns the identifier to pass to [`PeerNetwork::lift`].
    pub fn apply(&self, conditions: NetworkConditions) -> u64 {
        lock(&self.network.conditions).apply(conditions)
    }

    /// Deactivates network conditions by the identifier that [`PeerNetwork::apply`] returned.
    pub fn lift(&self, number: u64) {
        lock(&self.network.conditions).lift(number);
    }

    /// Returns the datagram counts so far.
    pub fn counts(&self) -> Counts {
        *lock(&self.network.counts)
    }
}

/// Binds a row of sockets for each node, or one row that all nodes share.
async fn bind_all(nodes: usize, ip: IpAddr) -> io::Result<Vec<Vec<Arc<UdpSocket>>>> {
    let rows = if nodes <= MAX_NODES_WITH_SEPARATE_ADDRESSES { nodes.max(1) } else { 1 };
    let mut sockets = Vec::new();
    for _ in 0..rows {
        let mut row = Vec::new();
        for _ in 0..nodes {
            row.push(Arc::new(UdpSocket::bind((ip, 0)).await?));
        }
        sockets.push(row);
    }
    Ok(sockets)
}

/// Forwards the datagrams for one node; those from unknown senders are dropped.
async fn forward_to_one(network: Arc<Network>, socket: Arc<UdpSocket>, to: usize) {
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        if let Some(from) = network.senders.get(&from) {
            network.forward(*from, to, &buffer[..length]);
        }
    }
}

/// Forwards broadcast datagrams to all nodes except the sender.
async fn forward_to_all(network: Arc<Network>, socket: UdpSocket) {
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let Some(from) = network.senders.get(&from).copied() else { continue };
        for to in (0..network.names.len()).filter(|to| *to != from) {
            network.forward(from, to, &buffer[..length]);
        }
    }
}
