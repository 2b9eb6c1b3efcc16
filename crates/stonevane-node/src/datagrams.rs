//! Datagrams between nodes: bounded batches of them read from a socket, and the addresses of the nodes.

use std::collections::HashMap;
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Maximum number of datagrams in a batch. A flood waits in the kernel or is dropped there, and does not
/// delay requests.
const BATCH_DATAGRAMS: usize = 32;
/// Pause after a full batch, and after an error of the socket.
const BATCH_PAUSE: Duration = Duration::from_millis(2);
/// Size of the receive buffer: longer than any valid datagram, so that an overlong one is recognized.
const BUFFER_BYTES: usize = 512;

/// Reads datagrams from a socket in bounded batches.
pub struct DatagramReader<'s> {
    socket: &'s UdpSocket,
    /// The last batch was full: more datagrams may be waiting.
    batch_was_full: bool,
}

impl DatagramReader<'_> {
    /// Returns a reader of a socket.
    pub fn new(socket: &UdpSocket) -> DatagramReader<'_> {
        DatagramReader { socket, batch_was_full: false }
    }

    /// Waits until a batch may be read. Cancel safe: no datagram is lost.
    ///
    /// # Errors
    /// The runtime no longer drives the socket.
    pub async fn ready(&self) -> Result<()> {
        if self.batch_was_full {
            sleep(BATCH_PAUSE).await;
        }
        self.socket.readable().await
    }

    /// Reads a batch and calls `on_datagram` for each datagram. `ready` is the result of
    /// [`DatagramReader::ready`].
    pub async fn read(&mut self, ready: Result<()>, on_datagram: impl FnMut(SocketAddr, &[u8])) {
        self.batch_was_full = ready.is_ok() && self.read_batch(on_datagram);
        if ready.is_err() {
            sleep(BATCH_PAUSE).await;
        }
    }

    /// Reads the datagrams that have arrived, at most one batch. Returns whether the batch was full.
    fn read_batch(&self, mut on_datagram: impl FnMut(SocketAddr, &[u8])) -> bool {
        let mut buffer = [0; BUFFER_BYTES];
        for _ in 0..BATCH_DATAGRAMS {
            let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) else { return false };
            on_datagram(from, &buffer[..length]);
        }
        true
    }
}

/// Addresses of all nodes. A node's number is its index among them.
#[derive(Debug, Clone)]
pub struct PeerTable {
    addresses: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u32>,
}

impl PeerTable {
    /// Builds the table from the addresses in the order of the nodes' numbers.
    pub fn new(addresses: Vec<SocketAddr>) -> PeerTable {
        let numbers = addresses.iter().zip(0..).map(|(address, number)| (*address, number)).collect();
        PeerTable { addresses, numbers }
    }

    /// Returns all addresses, in the order of the nodes' numbers.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the address of a node; `None` for a number without a node.
    pub fn address_of(&self, number: u32) -> Option<SocketAddr> {
        self.addresses.get(number as usize).copied()
    }

    /// Returns the number of the node at an address; `None` for an unknown address.
    pub fn number_of(&self, address: SocketAddr) -> Option<u32> {
        self.numbers.get(&address).copied()
    }
}
