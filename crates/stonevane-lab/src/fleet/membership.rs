//! Reads the nodes' views of the members for the history, and sends forged membership datagrams.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oorandom::Rand64;
use stonevane_audit::{Event, HistoryRecord, TimeInterval};
use stonevane_emulators::{MonotonicClock, lock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::Fleet;
use crate::faulty_member::forged_datagram;
use crate::lifecycle::State;
use crate::scenario::{NodeSelector, node_name};

/// Interval between bursts of forged datagrams.
const FORGE_INTERVAL: Duration = Duration::from_millis(5);
/// Bursts per second, the inverse of [`FORGE_INTERVAL`].
const FORGE_BURSTS_PER_S: u64 = 200;
/// Time limit for reading a view.
const VIEW_TIMEOUT: Duration = Duration::from_millis(500);
/// Smallest interval between two reads of the same node's view, for each node in the fleet: 100 nodes make
/// the interval 100 times as long. It limits the load of the reads on the nodes of a large fleet.
const MIN_VIEW_INTERVAL_PER_NODE: Duration = Duration::from_millis(2);

impl Fleet {
    /// Sends forged datagrams to nodes, `per_s` to each, until the future is dropped.
    pub(super) async fn forge(&self, nodes: &NodeSelector, per_s: u64) {
        let Ok(socket) = UdpSocket::bind((self.targets[0].1.ip(), 0)).await else { return };
        let mut rng = Rand64::new(u128::from(per_s));
        let members = self.peer_listens.len() as u16;
        let burst = (per_s / FORGE_BURSTS_PER_S).max(1);
        let mut ticks = tokio::time::interval(FORGE_INTERVAL);
        loop {
            ticks.tick().await;
            for node in nodes.numbers(self.targets.len()) {
                for _ in 0..burst {
                    let bytes = forged_datagram(&mut rng, node as u16, members);
                    let _ = socket.try_send_to(&bytes, self.peer_listens[node]);
                }
            }
        }
    }

    /// Records the nodes' views of the members until the future is dropped. Each view is read twice in a
    /// protocol period, or less often in a large fleet.
    pub async fn watch_views(self: Arc<Self>) {
        let Some(spec) = &self.membership else { return std::future::pending().await };
        let interval = (spec.period / 2).max(MIN_VIEW_INTERVAL_PER_NODE * self.targets.len() as u32);
        let faulty = spec.faulty_member.map(|faulty| faulty.node);
        let mut readers = JoinSet::new();
        for (node, address) in self.views.iter().copied().enumerate() {
            if faulty != Some(node) {
                readers.spawn(self.clone().watch_view(node, address, interval));
            }
        }
        while readers.join_next().await.is_some() {}
    }

    async fn watch_view(self: Arc<Self>, node: usize, address: SocketAddr, interval: Duration) {
        // Spread the reads over the interval, so that the nodes don't all answer at once.
        tokio::time::sleep(interval.mul_f64(node as f64 / self.views.len() as f64)).await;
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let (incarnation, was_ready) = {
                let nodes = lock(&self.nodes);
                (nodes.incarnation(node), nodes.state(node) == State::Ready)
            };
            let earliest = MonotonicClock::now();
            let view = tokio::time::timeout(VIEW_TIMEOUT, read_view(address)).await;
            // Record only a view of one incarnation that was ready throughout the read.
            let still_ready = lock(&self.nodes).is(node, incarnation, State::Ready);
            if let (Ok(Ok(view)), true, true) = (view, was_ready, still_ready) {
                self.recorder.record(HistoryRecord {
                    time: TimeInterval { earliest, latest: MonotonicClock::now() },
                    recorder: "lab".into(),
                    event: Event::View,
                    node: node_name(node),
                    state: view,
                    ..HistoryRecord::default()
                });
            }
        }
    }
}

/// Reads a node's view of the members from its management address.
async fn read_view(address: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"GET /fleet/view HTTP/1.1\r\nHost: lab\r\n\r\n").await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body);
    let value: Option<serde_json::Value> = body.and_then(|body| serde_json::from_str(body).ok());
    let view = value.as_ref().and_then(|value| value["view"].as_str());
    view.map(str::to_owned).ok_or_else(|| io::Error::other("the answer to GET /fleet/view has no `view`"))
}
