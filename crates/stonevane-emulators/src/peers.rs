//! The datagram network between nodes: each sees the others under addresses of its own, and what it sends is lost,
//! delayed, reordered or duplicated as the conditions say. The same seed treats the n-th datagram of a pair alike.

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

/// The longest datagram that the network carries, in bytes.
pub const MAX_DATAGRAM: usize = 256;
/// Space for a datagram that may be too long, in bytes.
const RECEIVE_BUFFER: usize = 2048;
/// Up to this number of nodes each sees each other under an address of its own, as the platform may have it; in larger
/// clusters a node has one address at which all others find it.
const MAX_NODES_WITH_OWN_ADDRESSES: usize = 8;

/// What became of datagrams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams lost.
    pub lost: u64,
    /// Datagrams duplicated.
    pub doubled: u64,
    /// Datagrams longer than the network carries.
    pub too_long: u64,
}

struct Network {
    names: Vec<String>,
    /// Where each node listens.
    targets: Vec<SocketAddr>,
    /// Nodes by the address that they send from.
    senders: HashMap<SocketAddr, usize>,
    /// `sockets[i][j]`, or `sockets[0][j]`: where node `i` finds node `j`.
    sockets: Vec<Vec<Arc<UdpSocket>>>,
    conditions: Mutex<ActiveConditions>,
    counts: Mutex<Counts>,
    seed: u64,
    /// One generator for each ordered pair that has sent.
    generators: Mutex<HashMap<(usize, usize), Rand64>>,
}

/// The random numbers of one datagram.
struct Draws {
    loss: f64,
    duplicate: f64,
    /// For the datagram and its duplicate.
    delays: [f64; 2],
}

impl Network {
    fn socket(&self, from: usize, to: usize) -> &Arc<UdpSocket> {
        &self.sockets[from.min(self.sockets.len() - 1)][to]
    }

    /// Draws for a datagram whatever becomes of it, so that its fate does not change the next one's.
    fn draw(&self, from: usize, to: usize) -> Draws {
        let mut generators = lock(&self.generators);
        let pair = (from * self.names.len() + to) as u128;
        let generator =
            generators.entry((from, to)).or_insert_with(|| Rand64::new(u128::from(self.seed) << 32 | pair));
        let (loss, duplicate) = (generator.rand_float(), generator.rand_float());
        Draws { loss, duplicate, delays: [generator.rand_float(), generator.rand_float()] }
    }

    /// Forwards a datagram.
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
        counts.doubled += u64::from(duplicated);
        let copies = if duplicated { 2 } else { 1 };
        for draw in &draws.delays[..copies] {
            let delay = path.min_delay + path.max_delay.saturating_sub(path.min_delay).mul_f64(*draw);
            // The receiver sees as the sender's address the one where it finds that node.
            let (socket, target, bytes) = (self.socket(to, from).clone(), self.targets[to], bytes.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.send_to(&bytes, target).await;
            });
        }
    }
}

/// The network.
pub struct PeerNetwork {
    network: Arc<Network>,
    addresses: Vec<Vec<SocketAddr>>,
    broadcast: SocketAddr,
}

impl PeerNetwork {
    /// Starts a network of nodes that listen at these addresses.
    ///
    /// # Errors
    /// Where no port is free.
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

    /// The peers of a node as it finds them, in the order of their numbers, its own among them.
    pub fn peers(&self, node: usize) -> &[SocketAddr] {
        &self.addresses[node.min(self.addresses.len() - 1)]
    }

    /// Where a node reaches all others.
    pub fn broadcast(&self) -> SocketAddr {
        self.broadcast
    }

    /// Puts conditions in force; returns the number by which they are lifted.
    pub fn apply(&self, conditions: NetworkConditions) -> u64 {
        lock(&self.network.conditions).apply(conditions)
    }

    /// Lifts conditions.
    pub fn lift(&self, number: u64) {
        lock(&self.network.conditions).lift(number);
    }

    /// What became of datagrams so far.
    pub fn counts(&self) -> Counts {
        *lock(&self.network.counts)
    }
}

/// A row of sockets for each node, or one row that all share.
async fn bind_all(nodes: usize, ip: IpAddr) -> io::Result<Vec<Vec<Arc<UdpSocket>>>> {
    let rows = if nodes <= MAX_NODES_WITH_OWN_ADDRESSES { nodes.max(1) } else { 1 };
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

/// Forwards what arrives for one node; datagrams of unknown senders are dropped.
async fn forward_to_one(network: Arc<Network>, socket: Arc<UdpSocket>, to: usize) {
    let mut buffer = [0; RECEIVE_BUFFER];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        if let Some(from) = network.senders.get(&from) {
            network.forward(*from, to, &buffer[..length]);
        }
    }
}

/// Forwards what arrives for all nodes to each but its sender.
async fn forward_to_all(network: Arc<Network>, socket: UdpSocket) {
    let mut buffer = [0; RECEIVE_BUFFER];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let Some(from) = network.senders.get(&from).copied() else { continue };
        for to in (0..network.names.len()).filter(|to| *to != from) {
            network.forward(from, to, &buffer[..length]);
        }
    }
}
