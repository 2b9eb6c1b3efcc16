//! Runs a [`StubNode`] on its sockets, with the datagram reader and the discovery client of the daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use stonevane_core::Input as CoreInput;
use stonevane_node::datagrams::{DatagramReader, PeerTable};
use stonevane_node::discovery::{Discovery, Traffic};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use crate::Micros;
use crate::clock::Clock;
use crate::convergence::Reached;
use crate::message::Progress;
use crate::stub_node::{Input, NodeProgress, Outputs, Setup, StubNode};

/// Counters summed over the nodes of a worker.
#[derive(Debug, Default)]
pub struct Totals {
    /// Datagrams sent.
    pub datagrams: AtomicU64,
    /// Bytes of the datagrams sent, without IP and UDP headers.
    pub udp_bytes: AtomicU64,
}

/// State that all nodes of a worker share.
pub struct Shared {
    /// Clock of the worker.
    pub clock: Clock,
    /// Addresses of all nodes of the fleet.
    peers: PeerTable,
    /// Datagrams sent by all nodes of the worker.
    pub totals: Totals,
    /// Bytes that all nodes of the worker exchange with discovery.
    pub traffic: Arc<Traffic>,
    progress: Mutex<Progress>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Creates the shared state and starts the clock.
    pub fn new(peers: PeerTable) -> Shared {
        Shared {
            clock: Clock::start(),
            peers,
            totals: Totals::default(),
            traffic: Arc::default(),
            progress: Mutex::default(),
        }
    }

    /// Progress of the nodes of the worker.
    pub fn progress(&self) -> Progress {
        *lock(&self.progress)
    }

    /// Updates the counts after the progress of one node has changed. A count also decreases: a node may
    /// leave a state that it had reached.
    fn count_change(&self, before: NodeProgress, after: NodeProgress) {
        let now = self.clock.now();
        let mut progress = lock(&self.progress);
        let count = |reached: &mut Reached, before: bool, after: bool| {
            if before != after {
                reached.nodes = reached.nodes + u32::from(after) - u32::from(before);
                reached.changed = now;
            }
        };
        count(&mut progress.complete, before.complete, after.complete);
        count(&mut progress.rested, before.rested, after.rested);
        count(&mut progress.informed, before.informed, after.informed);
    }
}

/// Counts of events that do not occur in a node while its machine keeps up with the load.
#[derive(Debug, Clone, Copy)]
pub struct Anomalies {
    /// Number of times the node declared a live node dead.
    pub false_deaths: u64,
    /// Wake-ups of the node's membership state machine that were late by more than half of the protocol
    /// period.
    pub stalls: u64,
}

/// Runs one stub node.
pub struct StubDriver {
    state: Mutex<State>,
    socket: UdpSocket,
    shared: Arc<Shared>,
    /// Notified when the node has handled an input from discovery: its next timeout may now be earlier than
    /// the one that [`StubDriver::run`] sleeps for.
    rescheduled: Notify,
}

struct State {
    node: StubNode,
    outputs: Outputs,
    discovery: Discovery,
    progress: NodeProgress,
}

impl StubDriver {
    /// Creates the driver of a node that starts at `start_at`.
    pub fn new(start_at: Micros, setup: Setup, socket: UdpSocket, shared: Arc<Shared>) -> Arc<StubDriver> {
        let node = StubNode::new(start_at, setup);
        Arc::new_cyclic(|driver: &Weak<StubDriver>| {
            let driver = driver.clone();
            let on_input = move |input: CoreInput<'static>| {
                if let Some(driver) = driver.upgrade() {
                    driver.handle(Input::Discovery(input));
                    driver.rescheduled.notify_one();
                }
            };
            let discovery =
                Discovery::new(Arc::default(), Arc::new(on_input)).with_traffic(shared.traffic.clone());
            let (outputs, progress) = (Outputs::default(), NodeProgress::default());
            let state = Mutex::new(State { node, outputs, discovery, progress });
            StubDriver { state, socket, shared, rescheduled: Notify::new() }
        })
    }

    /// Runs the node from its start time until the task is aborted.
    pub async fn run(self: Arc<Self>, start_at: Micros) {
        sleep_until(self.shared.clock.instant(start_at)).await;
        self.handle(Input::Wake);
        let mut reader = DatagramReader::new(&self.socket);
        loop {
            let next = lock(&self.state).node.next();
            tokio::select! {
                ready = reader.ready() => {
                    reader.read(ready, |from, bytes| self.receive(from, bytes)).await;
                }
                () = sleep_until(self.shared.clock.instant(next)) => self.handle(Input::Wake),
                () = self.rescheduled.notified() => {}
            }
        }
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        if let Some(number) = self.shared.peers.number_of(from) {
            self.handle(Input::Datagram(number, bytes));
        }
    }

    /// Passes an input to the node and performs its outputs.
    fn handle(&self, input: Input<'_>) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        state.node.handle(self.shared.clock.now(), input, &mut state.outputs);
        while let Some((to, bytes)) = state.outputs.datagrams.pop_front() {
            self.send(to, &bytes);
        }
        while let Some(call) = state.outputs.calls.pop_front() {
            state.discovery.call(call);
        }
        self.update_progress(state);
    }

    fn send(&self, to: u32, bytes: &[u8]) {
        let Some(address) = self.shared.peers.address_of(to) else { return };
        if self.socket.try_send_to(bytes, address).is_ok() {
            self.shared.totals.datagrams.fetch_add(1, Ordering::Relaxed);
            self.shared.totals.udp_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
    }

    /// Anomalies of the node since its start.
    pub fn anomalies(&self) -> Anomalies {
        let state = lock(&self.state);
        Anomalies { false_deaths: state.node.false_deaths(), stalls: state.node.stalls() }
    }

    fn update_progress(&self, state: &mut State) {
        let after = state.node.progress();
        let before = std::mem::replace(&mut state.progress, after);
        if before != after {
            self.shared.count_change(before, after);
        }
    }

    /// Marks the node `victim` as killed, see [`StubNode::watch_for`], and updates the progress counts.
    pub fn watch_for(&self, victim: u32) {
        let mut state = lock(&self.state);
        state.node.watch_for(victim);
        self.update_progress(&mut state);
    }

    /// Cancels the node's calls to discovery and removes the node from the progress counts.
    pub fn stop(&self) {
        let mut state = lock(&self.state);
        state.discovery.cancel_all();
        let before = std::mem::take(&mut state.progress);
        self.shared.count_change(before, NodeProgress::default());
    }
}
