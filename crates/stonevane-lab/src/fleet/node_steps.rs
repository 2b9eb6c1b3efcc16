//! Steps that act on nodes: kills, terminations, pauses, slowdowns, and restarts with old lists of peers.

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

/// Time between a node's shutdown limit and its kill, in microseconds.
const KILL_MARGIN_US: u64 = 50_000;
/// Time limit for a node to become ready, in microseconds.
const READY_TIMEOUT_US: u64 = 10_000_000;
/// Interval between checks of a node that starts or terminates.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Period of a slowdown: the process runs for its share of each period and is paused for the rest.
const SLOW_SLICE: Duration = Duration::from_millis(100);

/// Duration of a step that holds nodes.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepTimes {
    /// Duration as configured; zero if the step has no end.
    pub(super) configured: Duration,
    /// Duration as configured, or one longer than any load if the step has no end.
    pub(super) effective: Duration,
}

impl Fleet {
    /// Applies an action to nodes, each `stagger` after the previous one.
    pub(super) async fn play_nodes(
        self: &Arc<Self>,
        nodes: Vec<usize>,
        action: NodeAction,
        stagger: Duration,
        times: StepTimes,
        clients: &Arc<Clients>,
    ) {
        let mut actions = JoinSet::new();
        for (position, node) in nodes.into_iter().enumerate() {
            let (fleet, clients) = (self.clone(), clients.clone());
            let delay = stagger * position as u32;
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
                tokio::time::sleep(times.configured).await;
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

    /// Limits a node's process to a share of the time by pausing and resuming it, until `duration` is over or
    /// the incarnation ends.
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

    /// Terminates a node and waits until it has ended. Kills it if it exceeds its shutdown limit.
    async fn terminate(&self, node: usize) {
        let kill_at = MonotonicClock::now() + SHUTDOWN_LIMIT_US + KILL_MARGIN_US;
        let signalled = lock(&self.nodes).terminate(node);
        let Some(incarnation) = signalled else { return };
        loop {
            {
                let mut nodes = lock(&self.nodes);
                nodes.check(node);
                // Another step may have killed the node.
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

    /// Ends a step's hold on a node. The node starts again with `config` unless another step holds it.
    async fn release(&self, node: usize, config: &str) {
        let started = lock(&self.nodes).release(node, config);
        let name = &self.targets[node].0;
        match started {
            Ok(None) => {}
            Ok(Some(incarnation)) => {
                let ready = self.wait_until_ready(node, incarnation).await;
                if !ready && lock(&self.nodes).is(node, incarnation, State::Starting) {
                    self.record_fault_event(&format!("{name} was not ready within 10 s"));
                }
            }
            Err(error) => self.record_fault_event(&format!("{name} could not be started: {error}")),
        }
    }

    /// Waits for at most 10 s until an incarnation is ready. Returns `false` if it ended or the time is up.
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

    /// Restarts a node with an outdated list of peers, and makes it reload the current one after `duration`.
    ///
    /// The outdated list lacks the last `missing` nodes, and has unused addresses for the `moved` ones.
    pub(super) async fn play_old_peers(
        &self,
        node: usize,
        missing: usize,
        moved: &[usize],
        duration: Duration,
    ) -> io::Result<()> {
        let config = &self.configs[node];
        let mut old_config: serde_json::Value = serde_json::from_str(config)?;
        // These sockets stay bound until the end of the step, so that no other socket takes their addresses.
        let unused = moved.iter().map(|_| UdpSocket::bind((self.targets[node].1.ip(), 0)));
        let unused = unused.collect::<io::Result<Vec<_>>>()?;
        let peers = old_config["peers"]
            .as_array_mut()
            .ok_or_else(|| io::Error::other("the configuration of the node has no `peers` list"))?;
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

    /// Records nodes that have ended by themselves.
    pub fn check_nodes(&self) {
        lock(&self.nodes).check_all();
    }

    /// Terminates all nodes at the same time, and kills those that exceed their shutdown limit.
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
