//! Datagrams between nodes: bounded batches of them read from a socket, and the addresses of the nodes.

use std::collections::HashMap;
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Datagrams that are read at once; a flood waits in the kernel or is dropped there, and delays no request.
const BATCH_DATAGRAMS: usize = 32;
/// Pause after a full batch, and after a failure of the socket.
const BATCH_PAUSE: Duration = Duration::from_millis(2);
/// Longer than any valid datagram, so that one that is too long is recognized.
const BUFFER_BYTES: usize = 512;

/// Reads a socket in batches.
pub struct DatagramReader<'s> {
    socket: &'s UdpSocket,
    /// The last batch was full: there may be more.
    batch_was_full: bool,
}

impl DatagramReader<'_> {
    /// A reader of a socket.
    pub fn new(socket: &UdpSocket) -> DatagramReader<'_> {
        DatagramReader { socket, batch_was_full: false }
    }

    /// Waits until a batch may be read. Nothing is lost where the wait is given up.
    ///
    /// # Errors
    /// The runtime has lost the socket.
    pub async fn ready(&self) -> Result<()> {
        if self.batch_was_full {
            sleep(BATCH_PAUSE).await;
        }
        self.socket.readable().await
    }

    /// Reads a batch once [`DatagramReader::ready`] has returned.
    pub async fn read(&mut self, ready: Result<()>, on_datagram: impl FnMut(SocketAddr, &[u8])) {
        self.batch_was_full = ready.is_ok() && self.read_batch(on_datagram);
        if ready.is_err() {
            sleep(BATCH_PAUSE).await;
        }
    }

    /// Reads what has arrived, a batch at most. Returns whether the batch is full.
    fn read_batch(&self, mut on_datagram: impl FnMut(SocketAddr, &[u8])) -> bool {
        let mut buffer = [0; BUFFER_BYTES];
        for _ in 0..BATCH_DATAGRAMS {
            let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) else { return false };
            on_datagram(from, &buffer[..length]);
        }
        true
    }
}

/// The addresses of all nodes. A node's number is its place among them.
#[derive(Debug, Clone)]
pub struct PeerTable {
    addresses: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u32>,
}

impl PeerTable {
    /// The addresses, in the order of the nodes' numbers.
    pub fn new(addresses: Vec<SocketAddr>) -> PeerTable {
        let numbers = addresses.iter().zip(0..).map(|(address, number)| (*address, number)).collect();
        PeerTable { addresses, numbers }
    }

    /// All addresses, in the order of the nodes' numbers.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// The address of a node.
    pub fn address_of(&self, number: u32) -> Option<SocketAddr> {
        self.addresses.get(number as usize).copied()
    }

    /// The number of the node at an address.
    pub fn number_of(&self, address: SocketAddr) -> Option<u32> {
        self.numbers.get(&address).copied()
    }
}
