//! Membership of this node: drives the state machine of `stonevane-membership` on the UDP socket at
//! `peer_listen`.
//!
//! Datagrams are read in bounded batches, so that a flood of them does not delay requests. Rejected datagrams
//! are counted, not logged.

mod config;
mod report;

use std::io::{Error, Result};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use stonevane_membership::{Input, Machine, MemberEvent, MemberId, Outputs, State};
use stonevane_policy::Micros;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

pub use config::{MembershipConfig, PeersError};

use crate::clock::Clock;
use crate::config::Config;
use crate::datagrams::{DatagramReader, PeerTable};

struct Inner {
    machine: Machine,
    outputs: Outputs,
    peers: PeerTable,
}

/// Membership of this node, shared by the tasks of the process.
pub struct Membership {
    inner: Mutex<Inner>,
    socket: UdpSocket,
    /// Protocol period, in microseconds.
    period: Micros,
    clock: Clock,
    /// Number of datagrams from addresses that are not peers.
    unknown_peer: AtomicU64,
    /// Number of datagrams that the kernel did not accept for sending.
    unsent: AtomicU64,
    /// Notified when another task has passed an input to the machine, whose next timeout may then be earlier.
    rescheduled: Notify,
}

impl Membership {
    /// Opens the socket and starts the state machine.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(config: MembershipConfig, clock: Clock) -> Result<Arc<Membership>> {
        let MembershipConfig { member_config, listen, peers } = config;
        let socket = UdpSocket::bind(listen).await;
        let socket = socket.map_err(|e| Error::new(e.kind(), format!("peer_listen {listen}: {e}")))?;
        let _ = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).try_init();
        tracing::info!(
            me = member_config.number,
            members = member_config.members,
            %listen,
            keyed = member_config.key.is_some(),
            "membership started"
        );
        let period = member_config.period;
        let machine = Machine::new(clock.now(), member_config);
        let inner = Inner { machine, outputs: Outputs::default(), peers: PeerTable::new(peers) };
        Ok(Arc::new(Membership {
            inner: Mutex::new(inner),
            socket,
            period,
            clock,
            unknown_peer: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
            rescheduled: Notify::new(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs membership until the process ends. Calls `on_node_count` with the number of nodes that share the
    /// fleet's limits whenever that changes.
    pub async fn run(self: Arc<Self>, on_node_count: impl Fn(u32)) {
        self.handle(Input::Wake);
        let mut node_count = 0;
        let mut reader = DatagramReader::new(&self.socket);
        loop {
            let next = self.lock().machine.next_wake_at();
            tokio::select! {
                ready = reader.ready() => {
                    reader.read(ready, |from, bytes| self.receive(from, bytes)).await;
                }
                () = sleep_until(self.clock.instant(next)) => self.handle(Input::Wake),
                () = self.rescheduled.notified() => {}
            }
            let known = self.lock().machine.not_left_count() as u32;
            if known != node_count {
                node_count = known;
                on_node_count(known);
            }
        }
    }

    /// Applies the peers of a newer configuration: members that have moved are reached at their new
    /// addresses, and new members start as unknown.
    ///
    /// # Errors
    /// All errors of the list; the one in force stays. Members keep their numbers, so a shorter list is
    /// rejected.
    pub fn update_peers(&self, config: &Config) -> std::result::Result<(), Vec<PeersError>> {
        let addresses = config::peer_addresses(config)?;
        let present = addresses.len();
        let previous = {
            let mut inner = self.lock();
            let previous = inner.peers.addresses().len();
            if present < previous {
                return Err(vec![PeersError::Fewer { present, previous }]);
            }
            std::mem::replace(&mut inner.peers, PeerTable::new(addresses.clone()))
        };
        let previous = previous.addresses();
        let moved = previous.iter().zip(&addresses).filter(|(before, now)| before != now).count();
        if moved > 0 || previous.len() < present {
            tracing::info!(members = present, moved, "membership peers updated");
            self.handle(Input::Members(present as MemberId));
            self.rescheduled.notify_one();
        }
        Ok(())
    }

    /// Announces to the other members that this node leaves.
    pub fn leave(&self) {
        self.handle(Input::Leave);
        self.rescheduled.notify_one();
    }

    /// Returns this node's view of the members as JSON. With `brief` it is one letter for each member.
    pub fn report(&self, now: Micros, brief: bool) -> String {
        let inner = self.lock();
        if brief {
            return report::brief(&inner.machine, inner.peers.addresses().len());
        }
        let (status, peers) = (inner.machine.status(), inner.peers.clone());
        drop(inner);
        let socket_counts = report::SocketCounts {
            unknown_peer: self.unknown_peer.load(Ordering::Relaxed),
            unsent: self.unsent.load(Ordering::Relaxed),
        };
        report::full(&status, peers.addresses(), self.period, now, &socket_counts)
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let number = self.lock().peers.number_of(from);
        match number {
            Some(number) => self.handle(Input::Datagram(number as MemberId, bytes)),
            None => drop(self.unknown_peer.fetch_add(1, Ordering::Relaxed)),
        }
    }

    /// Passes an input to the machine, sends the resulting datagrams and logs the resulting events.
    fn handle(&self, input: Input<'_>) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.machine.handle(self.clock.now(), input, &mut inner.outputs);
        while let Some((to, bytes)) = inner.outputs.sends.pop_front() {
            let Some(address) = inner.peers.address_of(u32::from(to)) else { continue };
            if self.socket.try_send_to(&bytes, address).is_err() {
                self.unsent.fetch_add(1, Ordering::Relaxed);
            }
        }
        for event in inner.outputs.events.drain(..) {
            log_event(&event);
        }
    }
}

fn log_event(event: &MemberEvent) {
    let record = event.record;
    tracing::info!(
        member = record.member,
        was = event.previous.map_or("unknown", State::name),
        now = record.state.name(),
        by = record.by,
        generation = record.instance.generation,
        draw = record.instance.nonce,
        incarnation = record.incarnation,
        "member state changed"
    );
}
