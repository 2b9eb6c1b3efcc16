//! Discovery: a single service that applies server changes after a delay, handles calls one after another,
//! drops watches, and reports misleading data as far as the protocol allows (old lists, repeated changes,
//! clock steps).

mod connection;
mod list;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stonevane_audit::{Event, HistoryRecord, TimeInterval};
use stonevane_server_model::service::CallQueue;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use self::list::{Endpoints, Update};
use crate::record::{MonotonicClock, Recorder};
use crate::server::{REBIND_PAUSE, lock};

pub use self::list::Entry;

/// A fault of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DiscoveryFault {
    /// Discovery works as specified.
    #[default]
    None,
    /// Discovery is down: watches end, connections are refused, and changes wait until it is up again.
    Down,
    /// Calls are answered with 503.
    Failing,
    /// Connections stay open, but calls are not answered and watches send nothing.
    Silent,
    /// Every watch is closed after it has sent an update.
    Dropping,
}

/// The capacity of discovery, which handles calls one after another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoverySpec {
    /// Work of each call.
    pub work_per_call: Duration,
    /// Additional work of a call for each entry in its first answer.
    pub work_per_entry: Duration,
    /// Maximum work queued ahead of a call; a call with more ahead of it is rejected with 503.
    pub max_queued_work: Duration,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec {
            work_per_call: Duration::ZERO,
            work_per_entry: Duration::ZERO,
            max_queued_work: Duration::from_secs(8),
        }
    }
}

/// An emulated discovery service.
pub struct Discovery {
    endpoints: Mutex<Endpoints>,
    /// Index of the endpoint list. A change of the index wakes the watches.
    index: watch::Sender<u64>,
    fault: watch::Sender<DiscoveryFault>,
    /// Number of active cuts for each node; a node with at least one cut is cut off from discovery.
    cuts: watch::Sender<BTreeMap<String, usize>>,
    addresses: Mutex<BTreeMap<String, SocketAddr>>,
    calls: Mutex<CallQueue>,
    spec: DiscoverySpec,
    /// Number of changes announced so far; its value numbers each new change, so that an older change is not
    /// applied over a newer one.
    changes: AtomicU64,
    /// Offset of the clock with which discovery reports times, against the real Unix time, in milliseconds.
    skew_ms: Mutex<i64>,
    recorder: Recorder,
}

impl Discovery {
    /// Starts discovery with a listener for each node and an initial list.
    ///
    /// # Errors
    /// Fails if a listener can't be bound.
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
            calls: Mutex::default(),
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

    /// Returns the address at which a node reaches discovery.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        lock(&self.addresses).get(node).copied()
    }

    /// Returns the current list for a node, in the form of the initial list in the node's configuration.
    pub fn known(&self, node: &str) -> String {
        lock(&self.endpoints).snapshot(node, self.skew_ms()).body
    }

    /// Sets the offset of the clock with which discovery reports times, against the real Unix time, in
    /// milliseconds.
    pub fn step_clock(&self, offset_ms: i64) {
        *lock(&self.skew_ms) = offset_ms;
    }

    fn skew_ms(&self) -> i64 {
        *lock(&self.skew_ms)
    }

    /// Injects a fault, or clears it with [`DiscoveryFault::None`].
    pub fn set_fault(&self, fault: DiscoveryFault) {
        self.fault.send_replace(fault);
    }

    /// Adds a cut between a node and discovery, or lifts one if `cut` is `false`. While a node has cuts, its
    /// connections stay open and silent.
    pub fn set_cut(&self, node: &str, cut: bool) {
        self.cuts.send_modify(|cuts| {
            let count = cuts.entry(node.into()).or_default();
            *count = if cut { *count + 1 } else { count.saturating_sub(1) };
        });
    }

    /// Waits until a node has a cut if `cut` is `true`, or until it has none if `cut` is `false`.
    async fn wait_for_cut(&self, node: &str, cut: bool) {
        let is_cut = |cuts: &BTreeMap<String, usize>| cuts.get(node).is_some_and(|count| *count > 0);
        let _ = self.cuts.subscribe().wait_for(|cuts| is_cut(cuts) == cut).await;
    }

    /// Announces a change, which discovery applies after a delay and, if it is down then, when it is up
    /// again.
    pub fn change(self: &Arc<Self>, name: &str, status: &'static str, since: Option<u64>, delay: Duration) {
        let (discovery, name) = (self.clone(), name.to_owned());
        let order = 1 + self.changes.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let mut fault = discovery.fault.subscribe();
            let _ = fault.wait_for(|fault| *fault != DiscoveryFault::Down).await;
            discovery.apply_change(&name, status, since, order);
        });
    }

    /// Applies a change, unless a newer one of the same server has already been applied.
    fn apply_change(&self, name: &str, status: &str, since: Option<u64>, order: u64) {
        let mut endpoints = lock(&self.endpoints);
        if !endpoints.begin_change(name, order) {
            return;
        }
        let index = endpoints.index();
        if let Some(entry) = endpoints.change(name, status, since) {
            let (since, status) = (entry.since, entry.status.clone());
            tracing::debug!(server = name, status, index, "endpoint list changed");
            let (moment, recorder, server) =
                (MonotonicClock::moment(), "discovery".to_owned(), name.to_owned());
            let event = Event::Change;
            self.recorder.record(HistoryRecord {
                time: moment,
                recorder,
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

    /// Serves a connection until it ends; after a cut it stays open and silent until the cut is lifted.
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
        let (moment, recorder, node) = (MonotonicClock::moment(), "discovery".into(), node.to_owned());
        let state = if accepted { "taken" } else { "turned-away" }.into();
        self.recorder.record(HistoryRecord {
            time: moment,
            recorder,
            event: Event::Call,
            node,
            state,
            ..HistoryRecord::default()
        });
    }

    /// Records an update that was sent to a node, over the time in which it was written.
    fn record_update(&self, node: &str, interval: TimeInterval, update: Update) {
        let line = |server: String, status: String, since| HistoryRecord {
            time: interval,
            recorder: "discovery".into(),
            event: Event::Notified,
            node: node.into(),
            server,
            status,
            started_at: since,
            ..HistoryRecord::default()
        };
        if update.is_snapshot {
            // A server that is missing from a snapshot has left.
            for (name, since) in lock(&self.endpoints).missing_from(&update.entries) {
                self.recorder.record(line(name, "left".into(), since));
            }
        }
        for entry in update.entries {
            self.recorder.record(line(entry.name, entry.status, entry.since));
        }
    }
}
