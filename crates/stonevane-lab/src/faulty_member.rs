//! A faulty member of a fleet: the nodes' own membership machine with a deliberate fault, on a socket of its own; and
//! forged datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand64;
use stonevane_emulators::MonotonicClock;
use stonevane_membership::wire::{Kind, Message};
use stonevane_membership::{Input, Instance, Machine, Mutant, Outputs, Record, Setup, State};
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Space for a datagram, in bytes.
const RECEIVE_BUFFER: usize = 512;
/// Forged noise is shorter than this, in bytes: some of it is longer than the network carries.
const MAX_NOISE: u64 = 300;
/// The nonce of instances that never were.
const FORGED_NONCE: u32 = 666;
/// Forged records of dead members in one datagram.
const FORGED_DEATHS: usize = 5;

/// A member and its fault.
#[derive(Debug, Clone)]
pub struct FaultyMember {
    /// The configuration of its machine.
    pub setup: Setup,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it finds the others, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Its fault.
    pub mutant: Mutant,
}

impl FaultyMember {
    /// Takes part in membership until it is terminated.
    pub async fn run(self, mut terminate: watch::Receiver<bool>) {
        let Ok(socket) = UdpSocket::bind(self.listen).await else { return };
        let FaultyMember { setup, peers, mutant, .. } = self;
        let mut machine = Machine::with(MonotonicClock::now(), setup, Some(mutant));
        let (mut outputs, mut buffer) = (Outputs::default(), [0; RECEIVE_BUFFER]);
        loop {
            let wait = Duration::from_micros(machine.next().saturating_sub(MonotonicClock::now()));
            let received = tokio::select! {
                received = socket.recv_from(&mut buffer) => received.ok(),
                () = tokio::time::sleep(wait) => None,
                _ = terminate.changed() => return,
            };
            let datagram = received.and_then(|(length, from)| Some((length, number_of(from, &peers)?)));
            let input = match datagram {
                Some((length, from)) => Input::Datagram(from, &buffer[..length]),
                None => Input::Wake,
            };
            machine.handle(MonotonicClock::now(), input, &mut outputs);
            outputs.events.clear();
            while let Some((to, bytes)) = outputs.sends.pop_front() {
                let _ = socket.send_to(&bytes, peers[usize::from(to)]).await;
            }
        }
    }
}

/// The number of the peer at an address.
fn number_of(address: SocketAddr, peers: &[SocketAddr]) -> Option<u16> {
    peers.iter().position(|peer| *peer == address).map(|number| number as u16)
}

/// A datagram that no member has sent: noise, or a well-formed message of false claims.
pub fn forged_datagram(rng: &mut Rand64, to: u16, members: u16) -> Vec<u8> {
    let mut draw = || rng.rand_u64();
    if draw() % 2 == 0 {
        let length = draw() % MAX_NOISE;
        return (0..length).map(|_| draw() as u8).collect();
    }
    let mut member = || (draw() % u64::from(members.max(1))) as u16;
    let (from, about) = (member(), member());
    let false_claim = |member: u16, state| {
        let instance = Instance { generation: u32::MAX / 2, nonce: FORGED_NONCE };
        Record { member, instance, incarnation: u32::MAX, state, by: from }
    };
    let deaths = (0..FORGED_DEATHS).map(|_| false_claim(member(), State::Dead));
    let records = deaths.chain([false_claim(members - 1, State::Alive)]).collect();
    let message = Message {
        version: 2,
        max_version: 2,
        kind: Kind::Ping,
        from,
        to,
        instance: Instance { generation: 9, nonce: FORGED_NONCE },
        incarnation: 1,
        sequence: u64::MAX / 2,
        probe: 1,
        about,
        digest: 0,
        health: 0,
        digests: None,
        records,
    };
    message.bytes(None)
}
