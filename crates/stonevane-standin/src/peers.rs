//! The datagram network between nodes: each sees the others under addresses of its own, and what it sends is
//! lost, late, out of order or doubled as told. The same seed treats the n-th datagram of a pair alike.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oorandom::Rand64;
use tokio::net::UdpSocket;

use crate::server::lock;

/// The longest datagram.
pub const MAX_DATAGRAM: usize = 256;

/// How datagrams are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Weather {
    /// Part that is lost.
    pub loss: f64,
    /// Part that is doubled.
    pub duplicate: f64,
    /// The shortest and the longest delay; one that is longer lets later ones pass.
    pub delay: (Duration, Duration),
    /// Groups of nodes that can't reach each other; empty: all can.
    pub parts: Vec<Vec<String>>,
}

impl Default for Weather {
    fn default() -> Self {
        let delay = (Duration::from_millis(1), Duration::from_millis(1));
        Weather { loss: 0.0, duplicate: 0.0, delay, parts: Vec::new() }
    }
}

impl Weather {
    /// Whether one node can reach another.
    pub fn reaches(&self, from: &str, to: &str) -> bool {
        let part = |node: &str| self.parts.iter().position(|part| part.iter().any(|name| name == node));
        self.parts.is_empty() || part(from) == part(to)
    }
}

/// What became of datagrams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Lost, or cut off.
    pub lost: u64,
    /// Doubled.
    pub doubled: u64,
    /// Longer than the platform carries.
    pub too_long: u64,
}

struct Pair {
    from: String,
    to: String,
    /// What `from` sends to; what `to` sees as the sender.
    door: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    target: SocketAddr,
}

/// The network.
pub struct PeerNet {
    weather: Arc<Mutex<Weather>>,
    counts: Arc<Mutex<Counts>>,
    /// `doors[i][j]`: where node `i` finds node `j`.
    doors: Vec<Vec<SocketAddr>>,
    all: Vec<SocketAddr>,
}

impl PeerNet {
    /// A network of nodes that listen at these addresses.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn start(nodes: &[(String, SocketAddr)], ip: IpAddr, seed: u64) -> std::io::Result<PeerNet> {
        let (weather, counts) = (Arc::new(Mutex::default()), Arc::new(Mutex::default()));
        let mut sockets = Vec::new();
        for _ in nodes {
            let mut row = Vec::new();
            for _ in nodes {
                row.push(Arc::new(UdpSocket::bind((ip, 0)).await?));
            }
            sockets.push(row);
        }
        let mut doors = Vec::new();
        for row in &sockets {
            doors.push(row.iter().map(|s| s.local_addr()).collect::<std::io::Result<Vec<_>>>()?);
        }
        let mut all = Vec::new();
        for (i, (from, _)) in nodes.iter().enumerate() {
            let pair = |j: usize| Pair {
                from: from.clone(),
                to: nodes[j].0.clone(),
                door: sockets[i][j].clone(),
                back: sockets[j][i].clone(),
                target: nodes[j].1,
            };
            let mut pairs = Vec::new();
            for j in 0..nodes.len() {
                let number = (i * nodes.len() + j) as u128;
                let rng = Arc::new(Mutex::new(Rand64::new(u128::from(seed) << 32 | number)));
                let pair = Arc::new(pair(j));
                if i != j {
                    pairs.push((pair.clone(), rng.clone()));
                }
                let (weather, counts) = (weather.clone(), counts.clone());
                tokio::spawn(async move {
                    let mut buffer = [0; 2048];
                    while let Ok((length, _)) = pair.door.recv_from(&mut buffer).await {
                        carry(&pair, &buffer[..length], &weather, &counts, &rng);
                    }
                });
            }
            let socket = UdpSocket::bind((ip, 0)).await?;
            all.push(socket.local_addr()?);
            let (weather, counts) = (weather.clone(), counts.clone());
            tokio::spawn(async move {
                let mut buffer = [0; 2048];
                while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                    for (pair, rng) in &pairs {
                        carry(pair, &buffer[..length], &weather, &counts, rng);
                    }
                }
            });
        }
        Ok(PeerNet { weather, counts, doors, all })
    }

    /// The peers of a node, in the order of their numbers, its own among them.
    pub fn peers(&self, node: usize) -> &[SocketAddr] {
        &self.doors[node]
    }

    /// Where a node reaches all others.
    pub fn peers_all(&self, node: usize) -> SocketAddr {
        self.all[node]
    }

    /// Changes the weather.
    pub fn set(&self, weather: Weather) {
        *lock(&self.weather) = weather;
    }

    /// What became of datagrams.
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }
}

fn carry(
    pair: &Arc<Pair>,
    bytes: &[u8],
    weather: &Mutex<Weather>,
    counts: &Mutex<Counts>,
    rng: &Mutex<Rand64>,
) {
    let weather = lock(weather).clone();
    let mut counts = lock(counts);
    let mut rng = lock(rng);
    counts.sent += 1;
    // Drawn for each, whatever becomes of it: one datagram's fate does not change the next one's.
    let (lost, doubled) = (rng.rand_float(), rng.rand_float());
    let delays = [rng.rand_float(), rng.rand_float()];
    if bytes.len() > MAX_DATAGRAM {
        counts.too_long += 1;
        return;
    }
    if lost < weather.loss || !weather.reaches(&pair.from, &pair.to) {
        counts.lost += 1;
        return;
    }
    let copies = if doubled < weather.duplicate { 2 } else { 1 };
    counts.doubled += copies - 1;
    for delay in &delays[..copies as usize] {
        let (least, most) = weather.delay;
        let delay = least + most.saturating_sub(least).mul_f64(*delay);
        let (pair, bytes) = (pair.clone(), bytes.to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = pair.back.send_to(&bytes, pair.target).await;
        });
    }
}
