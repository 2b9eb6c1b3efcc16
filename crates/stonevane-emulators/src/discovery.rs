//! Discovery: one service that learns late which servers run, handles calls one after another, loses watches, and
//! misleads within what the protocol allows (old lists, repeated changes, steps of the clock in its reports).

mod connection;
mod list;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stonevane_audit::{Event, HistoryRecord, TimeInterval};
use stonevane_server_model::service::Turns;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use self::list::{Endpoints, Update};
use crate::record::{MonotonicClock, Recorder};
use crate::server::{REBIND_PAUSE, lock};

pub use self::list::Entry;

/// What is wrong with discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DiscoveryFault {
    /// Nothing.
    #[default]
    None,
    /// It is down: watches end, calls are refused, and it learns of nothing.
    Down,
    /// Calls are answered with 503.
    Failing,
    /// Connections stay open and silent.
    Silent,
    /// Every watch ends after a change was sent.
    Dropping,
}

/// The capacity of discovery, which handles calls one after another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoverySpec {
    /// The work of each call ...
    pub call: Duration,
    /// ... and of each line of its first answer.
    pub line: Duration,
    /// A call with more work than this ahead of it is rejected.
    pub most_ahead: Duration,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { call: Duration::ZERO, line: Duration::ZERO, most_ahead: Duration::from_secs(8) }
    }
}

/// Discovery.
pub struct Discovery {
    endpoints: Mutex<Endpoints>,
    /// The index of the endpoint list, for watches.
    index: watch::Sender<u64>,
    fault: watch::Sender<DiscoveryFault>,
    /// Nodes that are cut off from it, each by how many cuts.
    cuts: watch::Sender<BTreeMap<String, usize>>,
    addresses: Mutex<BTreeMap<String, SocketAddr>>,
    turns: Mutex<Turns>,
    spec: DiscoverySpec,
    /// Changes announced so far.
    changes: AtomicU64,
    /// The step of the clock in its reports, in milliseconds.
    skew_ms: Mutex<i64>,
    recorder: Recorder,
}

impl Discovery {
    /// Starts it with a listener for each node, holding a list.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn start(
        nodes: &[(String, SocketAddr)],
        recorder: Recorder,
        entries: Vec<Entry>,
        spec: DiscoverySpec,
    ) -> std::io::Result<Arc<Discovery>> {
        let endpoints = Endpoints::new(entries);
        let discovery = Arc::new(Discovery {
            index: watch::channel(endpoints.index()).0,
            endpoints: Mutex::new(endpoints),
            fault: watch::channel(DiscoveryFault::None).0,
            cuts: watch::channel(BTreeMap::new()).0,
            addresses: Mutex::default(),
            turns: Mutex::default(),
            spec,
            changes: AtomicU64::new(0),
            skew_ms: Mutex::default(),
            recorder,
        });
        for (node, listen) in nodes {
            let listener = TcpListener::bind(listen).await?;
            let address = listener.local_addr()?;
            lock(&discovery.addresses).insert(node.clone(), address);
            tokio::spawn(discovery.clone().listen(Some(listener), address, node.clone()));
        }
        Ok(discovery)
    }

    /// Where a node reaches it.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        lock(&self.addresses).get(node).copied()
    }

    /// The present list for a node, as its configuration holds a list that it knows.
    pub fn known(&self, node: &str) -> String {
        lock(&self.endpoints).snapshot(node, self.skew_ms()).text
    }

    /// Steps the clock of its reports.
    pub fn step_clock(&self, by_ms: i64) {
        *lock(&self.skew_ms) = by_ms;
    }

    fn skew_ms(&self) -> i64 {
        *lock(&self.skew_ms)
    }

    /// Changes its fault.
    pub fn set_fault(&self, fault: DiscoveryFault) {
        self.fault.send_replace(fault);
    }

    /// Cuts a node off, in both directions, or lifts one cut. Connections of before stay open and silent.
    pub fn set_cut(&self, node: &str, cut: bool) {
        self.cuts.send_modify(|cuts| {
            let count = cuts.entry(node.into()).or_default();
            *count = if cut { *count + 1 } else { count.saturating_sub(1) };
        });
    }

    /// Waits until a node is cut off, or is no longer.
    async fn wait_for_cut(&self, node: &str, cut: bool) {
        let is_cut = |cuts: &BTreeMap<String, usize>| cuts.get(node).is_some_and(|count| *count > 0);
        let _ = self.cuts.subscribe().wait_for(|cuts| is_cut(cuts) == cut).await;
    }

    /// Announces a change, which it learns of after a delay, or when it is up again.
    pub fn change(self: &Arc<Self>, name: &str, status: &'static str, since: Option<u64>, delay: Duration) {
        let (discovery, name) = (self.clone(), name.to_owned());
        let order = 1 + self.changes.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let mut fault = discovery.fault.subscribe();
            let _ = fault.wait_for(|fault| *fault != DiscoveryFault::Down).await;
            discovery.learn(&name, status, since, order);
        });
    }

    /// Learns of a change, unless a newer one of the same server was learnt before.
    fn learn(&self, name: &str, status: &str, since: Option<u64>, order: u64) {
        let mut endpoints = lock(&self.endpoints);
        if !endpoints.begin_change(name, order) {
            return;
        }
        let index = endpoints.index();
        if let Some(entry) = endpoints.change(name, status, since) {
            let (since, status) = (entry.since, entry.status.clone());
            tracing::debug!(server = name, status, index, "change");
            let (t, who, server) = (MonotonicClock::moment(), "discovery".to_owned(), name.to_owned());
            let event = Event::Change;
            self.recorder.line(HistoryRecord {
                time: t,
                recorder: who,
                event,
                server,
                status,
                started_at: since,
                ..HistoryRecord::default()
            });
        }
        drop(endpoints);
        self.index.send_replace(index);
    }

    async fn listen(self: Arc<Self>, mut listener: Option<TcpListener>, address: SocketAddr, node: String) {
        let mut fault = self.fault.subscribe();
        loop {
            if *fault.borrow_and_update() == DiscoveryFault::Down {
                listener = None;
                if fault.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(address).await.ok();
                if listener.is_none() {
                    tokio::time::sleep(REBIND_PAUSE).await;
                }
                continue;
            };
            tokio::select! {
                changed = fault.changed() => if changed.is_err() { return },
                accepted = open.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().accept(stream, node.clone()));
                    }
                }
            }
        }
    }

    /// Serves a connection until discovery goes down.
    async fn accept(self: Arc<Self>, stream: TcpStream, node: String) {
        let mut fault = self.fault.subscribe();
        tokio::select! {
            _ = fault.wait_for(|fault| *fault == DiscoveryFault::Down) => {}
            () = self.serve_until_cut(stream, &node) => {}
        }
    }

    /// Serves a connection; one that a cut strikes stays open and silent until the cut is lifted.
    async fn serve_until_cut(&self, mut stream: TcpStream, node: &str) {
        tokio::select! {
            biased;
            () = self.wait_for_cut(node, true) => {}
            _ = self.serve(&mut stream, node) => return,
        }
        self.wait_for_cut(node, false).await;
    }

    /// Records a call and whether it was accepted.
    fn record_call(&self, node: &str, accepted: bool) {
        let (t, who, node) = (MonotonicClock::moment(), "discovery".into(), node.to_owned());
        let state = if accepted { "taken" } else { "turned-away" }.into();
        self.recorder.line(HistoryRecord {
            time: t,
            recorder: who,
            event: Event::Call,
            node,
            state,
            ..HistoryRecord::default()
        });
    }

    /// Records what a node was sent.
    fn record_update(&self, node: &str, t: TimeInterval, update: Update) {
        let line = |server: String, status: String, since| HistoryRecord {
            time: t,
            recorder: "discovery".into(),
            event: Event::Notified,
            node: node.into(),
            server,
            status,
            started_at: since,
            ..HistoryRecord::default()
        };
        if update.is_snapshot {
            // A server that a snapshot lacks has left.
            for (name, since) in lock(&self.endpoints).missing_from(&update.entries) {
                self.recorder.line(line(name, "left".into(), since));
            }
        }
        for entry in update.entries {
            self.recorder.line(line(entry.name, entry.status, entry.since));
        }
    }
}
