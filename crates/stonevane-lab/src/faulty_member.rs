//! Runs a faulty member of a fleet: the nodes' membership state machine with a deliberate fault, on a socket
//! of its own. Also generates forged datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand64;
use stonevane_emulators::MonotonicClock;
use stonevane_membership::wire::{Kind, Message};
use stonevane_membership::{Input, Instance, Machine, MemberConfig, Mutant, Outputs, Record, State};
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Size of the buffer for a received datagram.
const RECEIVE_BUFFER_BYTES: usize = 512;
/// Exclusive upper bound on the length of forged noise. Some of it is longer than the network carries.
const MAX_NOISE_BYTES: u64 = 300;
/// Nonce of forged instances; no real member uses it.
const FORGED_NONCE: u32 = 666;
/// Number of forged records of dead members in a datagram.
const FORGED_DEAD_RECORDS: usize = 5;

/// A member with a deliberate fault.
#[derive(Debug, Clone)]
pub struct FaultyMember {
    /// Configuration of the membership state machine.
    pub config: MemberConfig,
    /// Address on which the member receives datagrams.
    pub listen: SocketAddr,
    /// Addresses of the members, indexed by number.
    pub peers: Vec<SocketAddr>,
    /// Fault of the membership state machine.
    pub mutant: Mutant,
}

impl FaultyMember {
    /// Takes part in membership until `terminate` changes.
    pub async fn run(self, mut terminate: watch::Receiver<bool>) {
        let Ok(socket) = UdpSocket::bind(self.listen).await else { return };
        let FaultyMember { config, peers, mutant, .. } = self;
        let mut machine = Machine::with(MonotonicClock::now(), config, Some(mutant));
        let (mut outputs, mut buffer) = (Outputs::default(), [0; RECEIVE_BUFFER_BYTES]);
        loop {
            let wait = Duration::from_micros(machine.next_wake_at().saturating_sub(MonotonicClock::now()));
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

/// Returns the number of the peer at an address.
fn number_of(address: SocketAddr, peers: &[SocketAddr]) -> Option<u16> {
    peers.iter().position(|peer| *peer == address).map(|number| number as u16)
}

/// Returns a datagram that no member has sent: noise, or a well-formed message with false records.
pub fn forged_datagram(rng: &mut Rand64, to: u16, members: u16) -> Vec<u8> {
    let mut draw = || rng.rand_u64();
    if draw() % 2 == 0 {
        let length = draw() % MAX_NOISE_BYTES;
        return (0..length).map(|_| draw() as u8).collect();
    }
    let mut member = || (draw() % u64::from(members.max(1))) as u16;
    let (from, about) = (member(), member());
    let false_record = |member: u16, state| {
        let instance = Instance { generation: u32::MAX / 2, nonce: FORGED_NONCE };
        Record { member, instance, incarnation: u32::MAX, state, by: from }
    };
    let dead = (0..FORGED_DEAD_RECORDS).map(|_| false_record(member(), State::Dead));
    let records = dead.chain([false_record(members - 1, State::Alive)]).collect();
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
