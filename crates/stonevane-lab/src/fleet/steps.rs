//! Plays the steps of a scenario.

use std::sync::Arc;
use std::time::Duration;

use stonevane_emulators::client::Clients;
use stonevane_emulators::discovery::DiscoveryFault;
use stonevane_emulators::lock;
use stonevane_emulators::peers::NetworkConditions;
use stonevane_emulators::postgres::PgFault;
use tokio::net::TcpStream;

use super::Fleet;
use super::node_steps::StepTimes;
use crate::scenario::{Action, Step};

/// Duration of a step without an end: longer than any load.
const ENDLESS_STEP_DURATION: Duration = Duration::from_secs(3_600);
/// Time limit for opening each connection of a flood.
const FLOOD_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause after a connection of a flood failed to open.
const FLOOD_FAILURE_PAUSE: Duration = Duration::from_millis(5);

impl Fleet {
    /// Plays a step from its beginning to its end.
    pub async fn play_step(self: &Arc<Self>, step: &Step, clients: &Arc<Clients>) {
        self.record_fault_event(&step.label);
        let endless = step.duration.is_zero();
        let effective = if endless { ENDLESS_STEP_DURATION } else { step.duration };
        let times = StepTimes { configured: step.duration, effective };
        match &step.action {
            Action::Nodes { nodes, action, stagger } => {
                let nodes = nodes.numbers(self.targets.len());
                self.play_nodes(nodes, *action, *stagger, times, clients).await;
            }
            action => self.play_action(action, effective).await,
        }
        if !endless {
            self.record_fault_event(&format!("end of {}", step.label));
        }
    }

    async fn play_action(&self, action: &Action, duration: Duration) {
        match action {
            Action::ServerFault { server, fault, node } => {
                let number = self.begin_fault(server, node.as_deref(), *fault);
                tokio::time::sleep(duration).await;
                self.end_fault(server, number);
            }
            Action::Drain(name) => self.drain(name, duration).await,
            Action::Replace { server, successor } => {
                if self.start_successor(successor) {
                    self.drain(server, duration).await;
                }
            }
            Action::Cut { from, to } => {
                let cut = self.begin_cut(from, to);
                tokio::time::sleep(duration).await;
                self.end_cut(&cut);
            }
            Action::Partition(groups) => {
                let partition = self.begin_partition(groups);
                tokio::time::sleep(duration).await;
                self.end_partition(&partition);
            }
            Action::Forge { nodes, per_s } => {
                let _ = tokio::time::timeout(duration, self.forge(nodes, *per_s)).await;
            }
            Action::OldPeers { node, missing, moved } => {
                let moved = moved.numbers(self.targets.len());
                if let Err(error) = self.play_old_peers(*node, *missing, &moved, duration).await {
                    self.record_fault_event(&format!("no old list of peers: {error}"));
                }
            }
            Action::Network { from, to, loss, duplicate, min_delay, max_delay } => {
                let conditions = NetworkConditions {
                    from: from.names(self.targets.len()),
                    to: to.names(self.targets.len()),
                    loss: *loss,
                    duplicate: *duplicate,
                    min_delay: *min_delay,
                    max_delay: *max_delay,
                };
                self.play_conditions(conditions, duration).await;
            }
            Action::Flood { node, count } => {
                let connections = self.open_idle_connections(*node, *count).await;
                tokio::time::sleep(duration).await;
                drop(connections);
            }
            // Handled by `play_step`.
            Action::Nodes { .. } => {}
            Action::OriginStop
            | Action::StoreFault(_)
            | Action::DiscoveryFault(_)
            | Action::DiscoveryDelay(_)
            | Action::DiscoveryClock(_) => self.play_service_fault(action, duration).await,
        }
    }

    /// Plays a fault of the origin, the store of record or discovery.
    async fn play_service_fault(&self, action: &Action, duration: Duration) {
        match action {
            Action::OriginStop => {
                self.origin.stop(duration.as_micros() as u64);
                tokio::time::sleep(duration).await;
            }
            Action::StoreFault(fault) => {
                self.set_store_fault(*fault);
                tokio::time::sleep(duration).await;
                self.set_store_fault(PgFault::None);
            }
            Action::DiscoveryFault(fault) => {
                self.discovery.set_fault(*fault);
                tokio::time::sleep(duration).await;
                self.discovery.set_fault(DiscoveryFault::None);
            }
            Action::DiscoveryDelay(delay) => {
                let before = std::mem::replace(&mut *lock(&self.discovery_delay), *delay);
                tokio::time::sleep(duration).await;
                *lock(&self.discovery_delay) = before;
            }
            Action::DiscoveryClock(by_ms) => {
                self.discovery.step_clock(*by_ms);
                tokio::time::sleep(duration).await;
                self.discovery.step_clock(0);
            }
            _ => {}
        }
    }

    fn set_store_fault(&self, fault: PgFault) {
        if let Some(store) = &self.store {
            store.set_fault(fault);
        }
    }

    async fn open_idle_connections(&self, node: usize, count: usize) -> Vec<TcpStream> {
        let mut connections = Vec::new();
        for _ in 0..count {
            let connect = TcpStream::connect(self.targets[node].1);
            match tokio::time::timeout(FLOOD_CONNECT_TIMEOUT, connect).await {
                Ok(Ok(stream)) => connections.push(stream),
                _ => tokio::time::sleep(FLOOD_FAILURE_PAUSE).await,
            }
        }
        connections
    }
}
