//! A hollow node on its sockets: the thin driver of [`crate::hollow`], as the daemon's drivers are of its machines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use stonevane_core::Input as CoreInput;
use stonevane_emulators::MonotonicClock;
use stonevane_node::discovery::{Discovery, Traffic};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

use crate::Micros;
use crate::convergence::Reached;
use crate::hollow::{Hollow, Input, Outputs, Setup, Standing};
use crate::message::Progress;

/// Datagrams that a node reads in a turn, and how long its next turn waits after a full one, as in the daemon.
const TURN: (usize, Duration) = (32, Duration::from_millis(2));
/// Longer datagrams than the platform carries are seen to be too long, and no more of them is read.
const SCRATCH: usize = 512;
/// The farthest time that is slept for: a day.
const FAR: Micros = 86_400_000_000;

/// The clock of a worker: the machine's monotonic one.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    begun: Micros,
}

impl Clock {
    /// A clock of this process.
    pub fn start() -> Clock {
        Clock { start: Instant::now(), begun: MonotonicClock::now() }
    }

    /// The time.
    pub fn now(self) -> Micros {
        self.begun + self.start.elapsed().as_micros() as Micros
    }

    fn instant(self, at: Micros) -> tokio::time::Instant {
        // Some machines want nothing for ever, which no instant stands for.
        let at = at.min(self.now() + FAR);
        (self.start + Duration::from_micros(at.saturating_sub(self.begun))).into()
    }
}

/// Sums over the nodes of a worker.
#[derive(Debug, Default)]
pub struct Totals {
    /// Datagrams sent.
    pub datagrams: AtomicU64,
    /// Bytes of those.
    pub udp_bytes: AtomicU64,
}

/// The addresses of all nodes of the fleet, which the nodes of a worker share.
#[derive(Debug)]
pub struct Peers {
    addresses: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u32>,
}

impl Peers {
    /// Their addresses, in the order of their numbers.
    pub fn new(addresses: Vec<SocketAddr>) -> Peers {
        let numbers = addresses.iter().zip(0..).map(|(address, number)| (*address, number)).collect();
        Peers { addresses, numbers }
    }
}

/// What all nodes of a worker share.
pub struct Shared {
    /// The clock.
    pub clock: Clock,
    /// All nodes of the fleet.
    peers: Peers,
    /// Datagrams of all nodes of the worker.
    pub totals: Totals,
    /// Their calls to discovery.
    pub traffic: Arc<Traffic>,
    progress: Mutex<Progress>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// For the nodes of a worker, which start now.
    pub fn new(peers: Peers) -> Shared {
        Shared {
            clock: Clock::start(),
            peers,
            totals: Totals::default(),
            traffic: Arc::default(),
            progress: Mutex::default(),
        }
    }

    /// How far the nodes have come.
    pub fn progress(&self) -> Progress {
        *lock(&self.progress)
    }

    /// A node has come further, or fallen back.
    fn moved(&self, was: Standing, is: Standing) {
        let now = self.clock.now();
        let mut progress = lock(&self.progress);
        let count = |reached: &mut Reached, was: bool, is: bool| {
            if was != is {
                reached.nodes = reached.nodes + u32::from(is) - u32::from(was);
                reached.changed = now;
            }
        };
        count(&mut progress.complete, was.complete, is.complete);
        count(&mut progress.rested, was.rested, is.rested);
        count(&mut progress.informed, was.informed, is.informed);
    }
}

/// What should not happen to a node.
#[derive(Debug, Clone, Copy)]
pub struct Mishaps {
    /// Times that it held a living node dead.
    pub false_deaths: u64,
    /// Times that its membership machine was woken late by more than half of its period.
    pub stalls: u64,
}

/// A hollow node on its sockets.
pub struct Node {
    state: Mutex<NodeState>,
    socket: UdpSocket,
    shared: Arc<Shared>,
    /// Something was heard from discovery, which may be due earlier than what is slept for.
    changed: Notify,
}

struct NodeState {
    hollow: Hollow,
    outputs: Outputs,
    discovery: Discovery,
    standing: Standing,
}

impl Node {
    /// A node that starts at a time.
    pub fn new(starts: Micros, setup: Setup, socket: UdpSocket, shared: Arc<Shared>) -> Arc<Node> {
        let hollow = Hollow::new(starts, setup);
        Arc::new_cyclic(|node: &Weak<Node>| {
            let node = node.clone();
            let hear = move |input: CoreInput<'static>| {
                if let Some(node) = node.upgrade() {
                    node.handle(Input::Discovery(input));
                    node.changed.notify_one();
                }
            };
            let discovery = Discovery::new(Arc::default(), Arc::new(hear)).counted(shared.traffic.clone());
            let (outputs, standing) = (Outputs::default(), Standing::default());
            let state = Mutex::new(NodeState { hollow, outputs, discovery, standing });
            Node { state, socket, shared, changed: Notify::new() }
        })
    }

    /// Takes part from its start until its task is ended.
    pub async fn run(self: Arc<Node>, starts: Micros) {
        sleep_until(self.shared.clock.instant(starts)).await;
        self.handle(Input::Wake);
        let mut full = false;
        loop {
            let next = lock(&self.state).hollow.next();
            tokio::select! {
                ready = async {
                    if full {
                        sleep(TURN.1).await;
                    }
                    self.socket.readable().await
                } => {
                    full = ready.is_ok() && self.receive();
                    if ready.is_err() {
                        sleep(TURN.1).await;
                    }
                }
                () = sleep_until(self.shared.clock.instant(next)) => self.handle(Input::Wake),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Reads what has come, a bounded number; whether there may be more.
    fn receive(&self) -> bool {
        let mut scratch = [0; SCRATCH];
        for _ in 0..TURN.0 {
            let Ok((length, from)) = self.socket.try_recv_from(&mut scratch) else { return false };
            if let Some(number) = self.shared.peers.numbers.get(&from) {
                self.handle(Input::Datagram(*number, &scratch[..length]));
            }
        }
        true
    }

    /// Tells the machine, and does what it says.
    fn handle(&self, input: Input<'_>) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        state.hollow.handle(self.shared.clock.now(), input, &mut state.outputs);
        while let Some((to, bytes)) = state.outputs.datagrams.pop_front() {
            self.send(to, &bytes);
        }
        while let Some(call) = state.outputs.calls.pop_front() {
            state.discovery.call(call);
        }
        self.stand(state);
    }

    fn send(&self, to: u32, bytes: &[u8]) {
        let Some(address) = self.shared.peers.addresses.get(to as usize) else { return };
        if self.socket.try_send_to(bytes, *address).is_ok() {
            self.shared.totals.datagrams.fetch_add(1, Ordering::Relaxed);
            self.shared.totals.udp_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        }
    }

    /// Times that it held a living node dead, and times that it was woken late.
    pub fn mishaps(&self) -> Mishaps {
        let state = lock(&self.state);
        Mishaps { false_deaths: state.hollow.false_deaths(), stalls: state.hollow.stalls() }
    }

    fn stand(&self, state: &mut NodeState) {
        let is = state.hollow.standing();
        let was = std::mem::replace(&mut state.standing, is);
        if was != is {
            self.shared.moved(was, is);
        }
    }

    /// Watches for the death of a node.
    pub fn watch_for(&self, victim: u32) {
        let mut state = lock(&self.state);
        state.hollow.watch_for(victim);
        self.stand(&mut state);
    }

    /// Ends its calls to discovery, and takes it out of what is counted.
    pub fn leave(&self) {
        let mut state = lock(&self.state);
        state.discovery.cancel_all();
        let was = std::mem::take(&mut state.standing);
        self.shared.moved(was, Standing::default());
    }
}
