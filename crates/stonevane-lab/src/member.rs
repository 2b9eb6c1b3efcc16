//! A crooked member of a fleet: the very machine of the nodes, with a deliberate fault, on a socket of its own. And
//! datagrams that are forged.

use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand64;
use stonevane_emulators::Mono;
use stonevane_membership::wire::{Kind, Message};
use stonevane_membership::{Input, Instance, Machine, Mutant, Outputs, Record, Setup, State};
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// A member, and what is wrong with it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it is told.
    pub setup: Setup,
    /// Where it listens, and where it finds the others.
    pub listen: SocketAddr,
    /// Where it finds the others.
    pub peers: Vec<SocketAddr>,
    /// What it does wrong.
    pub mutant: Mutant,
}

impl Member {
    /// Takes part until it is ended.
    pub async fn run(self, mut ended: watch::Receiver<bool>) {
        let Ok(socket) = UdpSocket::bind(self.listen).await else { return };
        let mut machine = Machine::with(Mono::now(), self.setup, Some(self.mutant));
        let (mut outputs, mut buffer) = (Outputs::default(), [0; 512]);
        loop {
            let wait = Duration::from_micros(machine.next().saturating_sub(Mono::now()));
            let heard = tokio::select! {
                heard = socket.recv_from(&mut buffer) => heard.ok(),
                () = tokio::time::sleep(wait) => None,
                _ = ended.changed() => return,
            };
            let from = heard.and_then(|(length, from)| {
                Some((length, self.peers.iter().position(|peer| *peer == from)? as u16))
            });
            let input = match from {
                Some((length, from)) => Input::Datagram(from, &buffer[..length]),
                None => Input::Wake,
            };
            machine.handle(Mono::now(), input, &mut outputs);
            outputs.events.clear();
            while let Some((to, bytes)) = outputs.sends.pop_front() {
                let _ = socket.send_to(&bytes, self.peers[usize::from(to)]).await;
            }
        }
    }
}

/// A datagram of nobody in the fleet: noise, or in good form and full of lies.
pub fn forged(rng: &mut Rand64, to: u16, members: u16) -> Vec<u8> {
    let mut word = || rng.rand_u64();
    if word() % 2 == 0 {
        let length = word() % 300;
        return (0..length).map(|_| word() as u8).collect();
    }
    let mut member = || (word() % u64::from(members.max(1))) as u16;
    let (from, about) = (member(), member());
    let lie = |member: u16, state| {
        let instance = Instance { generation: u32::MAX / 2, nonce: 666 };
        Record { member, instance, incarnation: u32::MAX, state, by: from }
    };
    let records =
        (0..5).map(|_| lie(member(), State::Dead)).chain([lie(members - 1, State::Alive)]).collect();
    let message = Message {
        version: 2,
        max_version: 2,
        kind: Kind::Ping,
        from,
        to,
        instance: Instance { generation: 9, nonce: 666 },
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
