//! The datagram network between nodes: each sees the others under addresses of its own, and what it sends is
//! lost, late, out of order or doubled as told. The same seed treats the n-th datagram of a pair alike.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oorandom::Rand64;
use tokio::net::UdpSocket;

use crate::server::lock;

/// The longest datagram.
pub const MAX_DATAGRAM: usize = 256;

/// What is wrong between some nodes. Several may be in force: what one of them loses is lost, delays add up.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Weather {
    /// From whom; empty: from all.
    pub from: Vec<String>,
    /// To whom; empty: to all.
    pub to: Vec<String>,
    /// Part that is lost; 1: the way is cut.
    pub loss: f64,
    /// Part that is doubled.
    pub duplicate: f64,
    /// The shortest and the longest delay; one that is longer lets later ones pass.
    pub delay: (Duration, Duration),
}

impl Weather {
    fn holds(&self, from: &str, to: &str) -> bool {
        let among =
            |names: &[String], name: &str| names.is_empty() || names.iter().any(|known| known == name);
        among(&self.from, from) && among(&self.to, to)
    }
}

/// The way of a datagram where nothing is wrong.
const WAY: Duration = Duration::from_millis(1);

/// What is in force for one ordered pair.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Fate {
    passes: f64,
    duplicate: f64,
    delay: (Duration, Duration),
}

/// All that is wrong, by the numbers under which it was put in.
#[derive(Debug, Default)]
struct Weathers {
    next: u64,
    active: BTreeMap<u64, Weather>,
}

impl Weathers {
    fn at(&self, from: &str, to: &str) -> Fate {
        let mut fate = Fate { passes: 1.0, duplicate: 0.0, delay: (WAY, WAY) };
        for weather in self.active.values().filter(|weather| weather.holds(from, to)) {
            fate.passes *= 1.0 - weather.loss;
            fate.duplicate = 1.0 - (1.0 - fate.duplicate) * (1.0 - weather.duplicate);
            fate.delay.0 += weather.delay.0;
            fate.delay.1 += weather.delay.1.max(weather.delay.0);
        }
        fate
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

/// Up to so many nodes each sees each other under an address of its own, as the platform may have it; in larger fleets
/// a node has one address at which all others find it.
const OWN_DOORS: usize = 8;

struct Net {
    names: Vec<String>,
    targets: Vec<SocketAddr>,
    /// By the address that it sends from.
    senders: HashMap<SocketAddr, usize>,
    /// `doors[i][j]`, or `doors[0][j]`: where node `i` finds node `j`.
    doors: Vec<Vec<Arc<UdpSocket>>>,
    weathers: Mutex<Weathers>,
    counts: Mutex<Counts>,
    seed: u64,
    /// One for each ordered pair that has sent.
    chances: Mutex<HashMap<(usize, usize), Rand64>>,
}

impl Net {
    fn door(&self, from: usize, to: usize) -> &Arc<UdpSocket> {
        &self.doors[from.min(self.doors.len() - 1)][to]
    }

    /// Takes a datagram on its way.
    fn carry(self: &Arc<Self>, from: usize, to: usize, bytes: &[u8]) {
        let fate = lock(&self.weathers).at(&self.names[from], &self.names[to]);
        let mut counts = lock(&self.counts);
        counts.sent += 1;
        // Drawn for each, whatever becomes of it: one datagram's fate does not change the next one's.
        let mut chances = lock(&self.chances);
        let number = (from * self.names.len() + to) as u128;
        let rng =
            chances.entry((from, to)).or_insert_with(|| Rand64::new(u128::from(self.seed) << 32 | number));
        let (passes, doubled) = (rng.rand_float(), rng.rand_float());
        let delays = [rng.rand_float(), rng.rand_float()];
        if bytes.len() > MAX_DATAGRAM {
            counts.too_long += 1;
            return;
        }
        if passes >= fate.passes {
            counts.lost += 1;
            return;
        }
        let copies = if doubled < fate.duplicate { 2 } else { 1 };
        counts.doubled += copies - 1;
        let (least, most) = fate.delay;
        for delay in &delays[..copies as usize] {
            let delay = least + most.saturating_sub(least).mul_f64(*delay);
            // What it sees as the sender is where it finds that one.
            let (door, target, bytes) = (self.door(to, from).clone(), self.targets[to], bytes.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = door.send_to(&bytes, target).await;
            });
        }
    }
}

/// The network.
pub struct PeerNet {
    net: Arc<Net>,
    doors: Vec<Vec<SocketAddr>>,
    all: SocketAddr,
}

impl PeerNet {
    /// A network of nodes that listen at these addresses.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn start(nodes: &[(String, SocketAddr)], ip: IpAddr, seed: u64) -> std::io::Result<PeerNet> {
        let rows = if nodes.len() <= OWN_DOORS { nodes.len() } else { 1 };
        let mut doors = Vec::new();
        for _ in 0..rows.max(1) {
            let mut row = Vec::new();
            for _ in nodes {
                row.push(Arc::new(UdpSocket::bind((ip, 0)).await?));
            }
            doors.push(row);
        }
        let mut addresses = Vec::new();
        for row in &doors {
            addresses.push(row.iter().map(|s| s.local_addr()).collect::<std::io::Result<Vec<_>>>()?);
        }
        let all = UdpSocket::bind((ip, 0)).await?;
        let net = Arc::new(Net {
            names: nodes.iter().map(|(name, _)| name.clone()).collect(),
            targets: nodes.iter().map(|(_, target)| *target).collect(),
            senders: nodes.iter().enumerate().map(|(number, (_, target))| (*target, number)).collect(),
            doors,
            weathers: Mutex::default(),
            counts: Mutex::default(),
            seed,
            chances: Mutex::default(),
        });
        for row in net.doors.clone() {
            for (to, door) in row.into_iter().enumerate() {
                let net = net.clone();
                tokio::spawn(async move {
                    let mut buffer = [0; 2048];
                    while let Ok((length, from)) = door.recv_from(&mut buffer).await {
                        // Whoever is none of the nodes has no way through here.
                        if let Some(from) = net.senders.get(&from) {
                            net.carry(*from, to, &buffer[..length]);
                        }
                    }
                });
            }
        }
        let address = all.local_addr()?;
        let own = net.clone();
        tokio::spawn(async move {
            let mut buffer = [0; 2048];
            while let Ok((length, from)) = all.recv_from(&mut buffer).await {
                let Some(from) = own.senders.get(&from).copied() else { continue };
                (0..own.names.len())
                    .filter(|to| *to != from)
                    .for_each(|to| own.carry(from, to, &buffer[..length]));
            }
        });
        Ok(PeerNet { net, doors: addresses, all: address })
    }

    /// The peers of a node, in the order of their numbers, its own among them.
    pub fn peers(&self, node: usize) -> &[SocketAddr] {
        &self.doors[node.min(self.doors.len() - 1)]
    }

    /// Where a node reaches all others.
    pub fn peers_all(&self) -> SocketAddr {
        self.all
    }

    /// Puts something wrong in; the number by which it is taken away.
    pub fn begin(&self, weather: Weather) -> u64 {
        let mut weathers = lock(&self.net.weathers);
        weathers.next += 1;
        let number = weathers.next;
        weathers.active.insert(number, weather);
        number
    }

    /// Takes something wrong away.
    pub fn end(&self, number: u64) {
        lock(&self.net.weathers).active.remove(&number);
    }

    /// What became of datagrams.
    pub fn counts(&self) -> Counts {
        *lock(&self.net.counts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_overlaps_adds_up_and_a_direction_is_one_direction() {
        let mut weathers = Weathers::default();
        let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
        weathers.active.insert(1, Weather { loss: 0.5, duplicate: 0.5, ..Weather::default() });
        let late = Duration::from_millis(10);
        let one = Weather { from: names(&["n0"]), to: names(&["n1", "n2"]), ..Weather::default() };
        weathers.active.insert(2, Weather { loss: 0.5, delay: (late, late), ..one.clone() });
        let (there, back) = (weathers.at("n0", "n1"), weathers.at("n1", "n0"));
        assert_eq!((there.passes, there.delay.0), (0.25, WAY + late));
        assert_eq!((back.passes, back.duplicate, back.delay.1), (0.5, 0.5, WAY));
        weathers.active.insert(3, Weather { loss: 1.0, ..one });
        assert_eq!((weathers.at("n0", "n2").passes, weathers.at("n2", "n0").passes), (0.0, 0.5));
        assert_eq!(weathers.at("n0", "n3").passes, 0.5);
    }
}
