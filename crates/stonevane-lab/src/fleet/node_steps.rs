//! What steps do to nodes: kills, terminations, pauses, and starts with old configurations.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use stonevane_emulators::client::Clients;
use stonevane_emulators::{MonotonicClock, lock};
use tokio::task::JoinSet;

use super::Fleet;
use super::rules::SHUTDOWN_LIMIT_US;
use crate::lifecycle::{Incarnation, State};
use crate::node::{PauseRecord, ping};
use crate::scenario::NodeAction;

/// A node is killed this long after its shutdown limit, in microseconds.
const KILL_MARGIN_US: u64 = 50_000;
/// The time limit for becoming ready, in microseconds.
const READY_TIMEOUT_US: u64 = 10_000_000;
/// The pause between looks at a node that starts or terminates.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A slowed process gets its share of each of these.
const SLOW_SLICE: Duration = Duration::from_millis(100);

/// How long a step holds on to nodes.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepTimes {
    /// The duration of the step; zero where it has no end.
    pub(super) given: Duration,
    /// The same, or longer than any load where it has no end.
    pub(super) effective: Duration,
}

impl Fleet {
    /// Does something to nodes, each a while after the one before.
    pub(super) async fn play_nodes(
        self: &Arc<Self>,
        nodes: Vec<usize>,
        action: NodeAction,
        stagger: Duration,
        times: StepTimes,
        clients: &Arc<Clients>,
    ) {
        let mut actions = JoinSet::new();
        for (turn, node) in nodes.into_iter().enumerate() {
            let (fleet, clients) = (self.clone(), clients.clone());
            let delay = stagger * turn as u32;
            actions.spawn(async move {
                tokio::time::sleep(delay).await;
                fleet.play_node(node, action, times, &clients).await;
            });
        }
        while actions.join_next().await.is_some() {}
    }

    async fn play_node(&self, node: usize, action: NodeAction, times: StepTimes, clients: &Clients) {
        match action {
            NodeAction::Kill => {
                lock(&self.nodes).kill(node);
                tokio::time::sleep(times.effective).await;
                self.release(node, &self.configs[node]).await;
            }
            NodeAction::Terminate => {
                clients.set_terminating(node, true);
                self.terminate(node).await;
                tokio::time::sleep(times.given).await;
                self.release(node, &self.configs[node]).await;
                clients.set_terminating(node, false);
            }
            NodeAction::Pause => {
                let paused = lock(&self.nodes).pause(node, PauseRecord::Recorded);
                let Some(incarnation) = paused else { return };
                tokio::time::sleep(times.effective).await;
                lock(&self.nodes).resume(node, incarnation, PauseRecord::Recorded);
            }
            NodeAction::Slow(share) => self.slow(node, share, times.effective).await,
        }
    }

    /// Gives an incarnation a share of its time.
    async fn slow(&self, node: usize, share: f64, duration: Duration) {
        let incarnation = {
            let nodes = lock(&self.nodes);
            nodes.record_slowed(node, true);
            nodes.incarnation(node)
        };
        let end = MonotonicClock::now() + duration.as_micros() as u64;
        while MonotonicClock::now() < end && lock(&self.nodes).incarnation(node) == incarnation {
            let paused = lock(&self.nodes).pause(node, PauseRecord::Silent);
            if paused != Some(incarnation) {
                break;
            }
            tokio::time::sleep(SLOW_SLICE.mul_f64(1.0 - share)).await;
            lock(&self.nodes).resume(node, incarnation, PauseRecord::Silent);
            tokio::time::sleep(SLOW_SLICE.mul_f64(share)).await;
        }
        lock(&self.nodes).record_slowed(node, false);
    }

    /// Terminates a node and waits until it has ended; one that takes too long is killed.
    async fn terminate(&self, node: usize) {
        let kill_at = MonotonicClock::now() + SHUTDOWN_LIMIT_US + KILL_MARGIN_US;
        let signalled = lock(&self.nodes).terminate(node);
        let Some(incarnation) = signalled else { return };
        loop {
            {
                let mut nodes = lock(&self.nodes);
                nodes.check(node);
                // Another step may have killed it.
                if !nodes.is(node, incarnation, State::Ending) {
                    return;
                }
                if MonotonicClock::now() >= kill_at {
                    return nodes.kill_overdue(node, incarnation);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// A step lets a node go: it starts again with a configuration, unless another step holds it.
    async fn release(&self, node: usize, config: &str) {
        let started = lock(&self.nodes).release(node, config);
        let name = &self.targets[node].0;
        match started {
            Ok(None) => {}
            Ok(Some(incarnation)) => {
                let ready = self.wait_until_ready(node, incarnation).await;
                if !ready && lock(&self.nodes).is(node, incarnation, State::Starting) {
                    self.note(&format!("{name} was not ready within 10 s"));
                }
            }
            Err(error) => self.note(&format!("{name} could not be started: {error}")),
        }
    }

    /// Waits until an incarnation is ready, for ten seconds at the most; `false` where it has ended before.
    pub(super) async fn wait_until_ready(&self, node: usize, incarnation: Incarnation) -> bool {
        let (listen, end) = (self.targets[node].1, MonotonicClock::now() + READY_TIMEOUT_US);
        while MonotonicClock::now() < end {
            let pinged_at = MonotonicClock::now();
            let answers = ping(listen).await.unwrap_or(false);
            let settled = lock(&self.nodes).settle_start(node, incarnation, answers.then_some(pinged_at));
            if let Some(ready) = settled {
                return ready;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Restarts a node with an old list of peers, and has it reload the present one at the end.
    ///
    /// The old list lacks the last `missing` nodes, and has the `moved` ones at addresses where nobody is.
    pub(super) async fn play_old_peers(
        &self,
        node: usize,
        missing: usize,
        moved: &[usize],
        duration: Duration,
    ) -> io::Result<()> {
        let config = &self.configs[node];
        let mut old_config: serde_json::Value = serde_json::from_str(config)?;
        // Bound until the end, so that nobody else is at these addresses.
        let unused = moved.iter().map(|_| UdpSocket::bind((self.targets[node].1.ip(), 0)));
        let unused = unused.collect::<io::Result<Vec<_>>>()?;
        let peers = old_config["peers"].as_array_mut().ok_or_else(|| io::Error::other("it has no peers"))?;
        for (peer, socket) in moved.iter().zip(&unused) {
            peers[*peer] = socket.local_addr()?.to_string().into();
        }
        let listed = peers.len().saturating_sub(missing).max(node + 1);
        peers.truncate(listed);
        let unreachable = (listed..self.targets.len()).chain(moved.iter().copied());
        let unreachable: Vec<usize> = unreachable.filter(|peer| *peer != node).collect();
        lock(&self.nodes).kill(node);
        self.record_cut(&[node], &unreachable, "cut");
        self.record_cut(&unreachable, &[node], "cut");
        self.release(node, &old_config.to_string()).await;
        tokio::time::sleep(duration).await;
        lock(&self.nodes).reload(node, config)?;
        self.record_cut(&[node], &unreachable, "passes");
        self.record_cut(&unreachable, &[node], "passes");
        Ok(())
    }

    /// Notes nodes that have ended though no step told them to.
    pub fn check_nodes(&self) {
        lock(&self.nodes).check_all();
    }

    /// Terminates all nodes at once, and kills those that take too long.
    pub async fn end(self: &Arc<Self>) {
        for node in 0..self.targets.len() {
            lock(&self.nodes).resume_paused(node);
        }
        let mut ends = JoinSet::new();
        for node in 0..self.targets.len() {
            let fleet = self.clone();
            ends.spawn(async move { fleet.terminate(node).await });
        }
        while ends.join_next().await.is_some() {}
    }
}
