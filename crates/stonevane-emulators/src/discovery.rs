//! Discovery: one service that knows late which servers run, answers calls in turn, loses watches, and lies
//! within what the protocol allows (old lists, changes told twice, steps of the clock in its reports).

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use stonevane_audit::{Event, HistoryRecord, TimeInterval};
use stonevane_codec::http;
use stonevane_server_model::service::Turns;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::record::{Mono, Recorder};
use crate::server::lock;

/// A server in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its address at each node.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub group: u16,
    /// `active`, `leaving` or `left`.
    pub status: String,
    /// Its weight.
    pub weight: f32,
    /// When it last started, microseconds of the monotonic clock; 0 for long ago.
    pub since: u64,
    /// The version of the list that it last changed in.
    pub index: u64,
}

/// What is wrong with discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Trouble {
    /// Nothing.
    #[default]
    None,
    /// It is down: watches end, calls are refused, and it learns of nothing.
    Down,
    /// Calls are answered with 503.
    Failing,
    /// Connections stay open and silent.
    Silent,
    /// Every watch ends after a change was told.
    Dropping,
}

/// What it can do: it works calls off in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoverySpec {
    /// What each call costs it ...
    pub call: Duration,
    /// ... and each line of its first answer.
    pub line: Duration,
    /// A call with more work than this ahead of it is turned away.
    pub most_ahead: Duration,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { call: Duration::ZERO, line: Duration::ZERO, most_ahead: Duration::from_secs(8) }
    }
}

struct State {
    entries: BTreeMap<String, Entry>,
    index: u64,
    /// The newest change of each server that it has learnt of: an older one that comes behind it is no news.
    learnt: BTreeMap<String, u64>,
}

/// Discovery.
pub struct Discovery {
    state: Mutex<State>,
    version: watch::Sender<u64>,
    trouble: watch::Sender<Trouble>,
    /// Nodes that are cut off from it, and by how many cuts; told of each change.
    cuts: watch::Sender<BTreeMap<String, usize>>,
    doors: Mutex<BTreeMap<String, SocketAddr>>,
    turns: Mutex<Turns>,
    spec: DiscoverySpec,
    /// Changes so far.
    changes: AtomicU64,
    /// Steps of the clock of its reports, in milliseconds.
    skew_ms: Mutex<i64>,
    recorder: Recorder,
}

/// The entry of a server as it stands in a list, for one node.
fn text(entry: &Entry, node: &str, skew_ms: i64) -> String {
    let address = entry.addresses.get(node).map(SocketAddr::to_string).unwrap_or_default();
    let since = match entry.since {
        0 => 0,
        at => {
            let ago = Mono::now().saturating_sub(at) / 1_000;
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
            unix.saturating_sub(ago).saturating_add_signed(skew_ms)
        }
    };
    serde_json::json!({
        "name": entry.name, "address": address, "zone": entry.zone, "type": entry.kind, "group": entry.group,
        "status": entry.status, "weight": entry.weight, "since_ms": since,
    })
    .to_string()
}

impl Discovery {
    /// Starts one with a door for each node, holding a list.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn start(
        nodes: &[(String, SocketAddr)],
        recorder: Recorder,
        entries: Vec<Entry>,
        spec: DiscoverySpec,
    ) -> std::io::Result<Arc<Discovery>> {
        let entries = entries.into_iter().map(|e| (e.name.clone(), e)).collect();
        let discovery = Arc::new(Discovery {
            state: Mutex::new(State { entries, index: 1, learnt: BTreeMap::new() }),
            version: watch::channel(1).0,
            trouble: watch::channel(Trouble::None).0,
            cuts: watch::channel(BTreeMap::new()).0,
            doors: Mutex::default(),
            turns: Mutex::default(),
            spec,
            changes: AtomicU64::new(0),
            skew_ms: Mutex::default(),
            recorder,
        });
        for (node, listen) in nodes {
            let listener = TcpListener::bind(listen).await?;
            let address = listener.local_addr()?;
            lock(&discovery.doors).insert(node.clone(), address);
            let (own, node) = (discovery.clone(), node.clone());
            tokio::spawn(async move { own.listen(Some(listener), address, node).await });
        }
        Ok(discovery)
    }

    /// Where a node asks.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        lock(&self.doors).get(node).copied()
    }

    /// What a node would be told now, as its configuration holds a list that it knows.
    pub fn known(&self, node: &str) -> String {
        let state = lock(&self.state);
        let there: Vec<_> = state.entries.values().filter(|e| e.status != "left").collect();
        self.list(state.index, true, &there, node)
    }

    /// Steps the clock of its reports.
    pub fn step(&self, by_ms: i64) {
        *lock(&self.skew_ms) = by_ms;
    }

    /// Puts trouble in, or takes it away.
    pub fn trouble(&self, trouble: Trouble) {
        self.trouble.send_replace(trouble);
    }

    /// Cuts a node off: nothing that it sends comes, and no answer; or lets it through again. Connections of before stay
    /// open and silent.
    pub fn cut(&self, node: &str, cut: bool) {
        self.cuts.send_modify(|cuts| {
            let count = cuts.entry(node.into()).or_default();
            *count = if cut { *count + 1 } else { count.saturating_sub(1) };
        });
    }

    /// Waits until a node is cut off, or is so no longer.
    async fn until(&self, node: &str, cut: bool) {
        let is = |cuts: &BTreeMap<String, usize>| cuts.get(node).is_some_and(|count| *count > 0) == cut;
        let _ = self.cuts.subscribe().wait_for(is).await;
    }

    /// Learns of a change after a delay, or when it is up again.
    pub fn change(self: &Arc<Self>, name: &str, status: &'static str, since: Option<u64>, late: Duration) {
        let (own, name) = (self.clone(), name.to_owned());
        let order = 1 + self.changes.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            let mut trouble = own.trouble.subscribe();
            let _ = trouble.wait_for(|t| *t != Trouble::Down).await;
            let mut state = lock(&own.state);
            let learnt = state.learnt.entry(name.clone()).or_default();
            if *learnt > order {
                return;
            }
            *learnt = order;
            state.index += 1;
            let index = state.index;
            if let Some(entry) = state.entries.get_mut(&name) {
                (entry.status, entry.index) = (status.into(), index);
                entry.since = since.unwrap_or(entry.since);
                let (since, status) = (entry.since, entry.status.clone());
                tracing::debug!(server = name, status, index, "change");
                let (event, who) = (Event::Change, "discovery".to_owned());
                let line = HistoryRecord {
                    time: Mono::at(),
                    recorder: who,
                    event,
                    server: name,
                    status,
                    started_at: since,
                    ..HistoryRecord::default()
                };
                own.recorder.line(line);
            }
            drop(state);
            own.version.send_replace(index);
        });
    }

    fn list(&self, index: u64, snapshot: bool, entries: &[&Entry], node: &str) -> String {
        let skew = *lock(&self.skew_ms);
        let entries: Vec<_> = entries.iter().map(|entry| text(entry, node, skew)).collect();
        format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
    }

    /// The whole list, or what changed after a version; with the entries that it tells.
    fn since(&self, after: Option<u64>, node: &str) -> (u64, String, Vec<Entry>) {
        let state = lock(&self.state);
        let snapshot = after.is_none();
        let told = state.entries.values().filter(|e| match after {
            None => e.status != "left",
            Some(after) => e.index > after,
        });
        let told: Vec<_> = told.collect();
        let list = self.list(state.index, snapshot, &told, node);
        (state.index, list, told.into_iter().cloned().collect())
    }

    fn tell(&self, node: &str, t: TimeInterval, told: Vec<Entry>, snapshot: bool) {
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
        if snapshot {
            // What is not in a whole list is gone.
            let state = lock(&self.state);
            let gone = state.entries.values().filter(|e| !told.iter().any(|t| t.name == e.name));
            gone.for_each(|e| self.recorder.line(line(e.name.clone(), "left".into(), e.since)));
        }
        told.into_iter().for_each(|e| self.recorder.line(line(e.name, e.status, e.since)));
    }

    async fn listen(self: Arc<Self>, mut listener: Option<TcpListener>, address: SocketAddr, node: String) {
        let mut trouble = self.trouble.subscribe();
        loop {
            if *trouble.borrow_and_update() == Trouble::Down {
                listener = None;
                if trouble.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(address).await.ok();
                if listener.is_none() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                continue;
            };
            tokio::select! {
                changed = trouble.changed() => if changed.is_err() { return },
                accepted = open.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let (own, node, mut trouble) = (self.clone(), node.clone(), self.trouble.subscribe());
                    tokio::spawn(async move {
                        let mut stream = stream;
                        let served = async {
                            tokio::select! {
                                biased;
                                () = own.until(&node, true) => {}
                                _ = own.serve(&mut stream, &node) => return,
                            }
                            // Nothing more on this connection: it stays open and silent until the way is there again.
                            own.until(&node, false).await;
                        };
                        tokio::select! {
                            _ = trouble.wait_for(|t| *t == Trouble::Down) => {}
                            () = served => {}
                        }
                    });
                }
            }
        }
    }

    async fn serve(&self, stream: &mut TcpStream, node: &str) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        let mut trouble = self.trouble.subscribe();
        loop {
            let head = loop {
                match http::request_head(&buffer) {
                    Ok(Some(head)) => break head,
                    Ok(None) => {}
                    Err(_) => return stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await,
                }
                if stream.read_buf(&mut buffer).await? == 0 {
                    return Ok(());
                }
            };
            let _ = buffer.split_to(head.length);
            // One after the other, for all nodes, also where the caller waits no more.
            let lines = self.lines(&head.target);
            let takes = self.spec.call + self.spec.line * lines;
            let us = |time: Duration| time.as_micros() as u64;
            let done = lock(&self.turns).take(Mono::now(), us(takes), us(self.spec.most_ahead));
            self.called(node, done.is_some());
            let Some(done) = done else {
                let text = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                return stream.write_all(text).await;
            };
            tokio::time::sleep(Duration::from_micros(done.saturating_sub(Mono::now()))).await;
            let now = *trouble.borrow_and_update();
            match now {
                Trouble::Silent => {
                    let _ = trouble.changed().await;
                    return Ok(());
                }
                Trouble::Failing => {
                    let text = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    return stream.write_all(text).await;
                }
                _ => {}
            }
            if !head.target.starts_with("/v1/servers") {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            if head.target.contains("watch=1") {
                return self.watch(stream, node, after(&head.target)).await;
            }
            let (_, list, told) = self.since(None, node);
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            let begun = Mono::now();
            stream.write_all(text.as_bytes()).await?;
            self.tell(node, TimeInterval { earliest: begun, latest: Mono::now() }, told, true);
        }
    }

    /// Lines that a call's first answer has.
    fn lines(&self, target: &str) -> u32 {
        let held = after(target).filter(|_| target.contains("watch=1"));
        let state = lock(&self.state);
        let told = |entry: &&Entry| held.map_or(entry.status != "left", |held| entry.index > held);
        state.entries.values().filter(told).count() as u32
    }

    fn called(&self, node: &str, taken: bool) {
        let (t, who, event, node) = (Mono::at(), "discovery".into(), Event::Call, node.to_owned());
        let state = if taken { "taken" } else { "turned-away" }.into();
        self.recorder.line(HistoryRecord {
            time: t,
            recorder: who,
            event,
            node,
            state,
            ..HistoryRecord::default()
        });
    }

    async fn watch(&self, stream: &mut TcpStream, node: &str, mut held: Option<u64>) -> std::io::Result<()> {
        let mut version = self.version.subscribe();
        let mut trouble = self.trouble.subscribe();
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            version.borrow_and_update();
            let now = *trouble.borrow_and_update();
            if now == Trouble::Silent {
                let _ = trouble.changed().await;
                return Ok(());
            }
            let (index, list, told) = self.since(held, node);
            let snapshot = held.is_none();
            if snapshot || !told.is_empty() {
                let begun = Mono::now();
                stream.write_all(chunk(&(list + "\n")).as_bytes()).await?;
                self.tell(node, TimeInterval { earliest: begun, latest: Mono::now() }, told, snapshot);
                if now == Trouble::Dropping {
                    return Ok(());
                }
            }
            held = Some(index);
            tokio::select! {
                _ = version.changed() => {}
                _ = trouble.changed() => {}
                () = tokio::time::sleep(Duration::from_secs(2)) => stream.write_all(chunk("\n").as_bytes()).await?,
            }
        }
    }
}

fn after(target: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    let pair = query.split('&').find_map(|pair| pair.strip_prefix("after="))?;
    pair.parse().ok()
}

fn chunk(text: &str) -> String {
    let mut out = String::new();
    let _ = write!(out, "{:x}\r\n{text}\r\n", text.len());
    out
}
