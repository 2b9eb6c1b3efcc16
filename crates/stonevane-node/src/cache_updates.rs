//! Tells caches of copies, where the operator's caches take that from nodes: after a fetch the value goes to those that
//! missed, after an edit all of the placement drop theirs. What is to be told, and until when, is
//! `stonevane_store::copies`' to say; here are its clock and its connections, one to each cache.
//!
//! `OBJ.FILL KEY VERSION LIFETIME-MS VALUE` and `OBJ.VOID KEY VERSION LIFETIME-MS`, each answered by one line: a cache
//! keeps what is newest, by its version, and remembers a void for a copy's lifetime.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use stonevane_codec::resp;
use stonevane_policy::Micros;
use stonevane_store::copies::{Copies, EditId, Limits};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, timeout};

use crate::log::log;

/// Orders that wait, and what waits before one cache.
const QUEUE: usize = 1_024;
/// A cache that has not answered by then is told again on a new connection.
const PATIENCE: Duration = Duration::from_millis(200);
/// The longest line that a cache answers with.
const MAX_LINE: usize = 256;

/// What reaches the teller.
enum Order {
    Fill {
        caches: Vec<SocketAddr>,
        key: String,
        version: u64,
        value: Bytes,
    },
    Edited {
        edit: EditId,
        key: String,
        version: u64,
        done: oneshot::Sender<()>,
    },
    /// Nobody waits for an edit's copies any more.
    Forgotten(EditId),
    Acknowledged {
        cache: SocketAddr,
        key: String,
        version: u64,
    },
    /// Its process is gone: it takes no connection.
    Ended(SocketAddr),
}

/// One command for a cache; a void is to be acknowledged.
struct Told {
    command: Bytes,
    void: Option<(String, u64)>,
}

/// The way to the teller.
#[derive(Clone)]
pub struct Teller {
    orders: mpsc::Sender<Order>,
    next: Arc<AtomicU64>,
}

/// One who waits for the end of an edit's older copies. Dropped, it waits no longer.
pub struct Gone {
    edit: EditId,
    told: oneshot::Receiver<()>,
    orders: mpsc::Sender<Order>,
}

impl Gone {
    /// Waits; `false` where it will never be known.
    pub async fn wait(mut self) -> bool {
        (&mut self.told).await.is_ok()
    }
}

impl Drop for Gone {
    fn drop(&mut self) {
        // Without room it stands until its copies are settled, which has a bound.
        if !self.told.is_terminated() {
            let _ = self.orders.try_send(Order::Forgotten(self.edit));
        }
    }
}

impl Teller {
    /// Starts one; `caches` is the placement as discovery has it, and `lifetime` a copy's longest life.
    pub fn start(caches: watch::Receiver<Vec<SocketAddr>>, lifetime: Duration) -> Teller {
        let (orders, take) = mpsc::channel(QUEUE);
        tokio::spawn(run(take, orders.clone(), caches, lifetime));
        Teller { orders, next: Arc::new(AtomicU64::new(1)) }
    }

    /// Gives caches that missed a copy; one that can't be told goes without.
    pub fn fill(&self, caches: Vec<SocketAddr>, key: String, version: u64, value: Bytes) {
        let _ = self.orders.try_send(Order::Fill { caches, key, version, value });
    }

    /// All copies of a key that are older than a version are to go; the answer comes when they have.
    pub async fn edited(&self, key: String, version: u64) -> Gone {
        let (done, told) = oneshot::channel();
        let edit = self.next.fetch_add(1, Ordering::Relaxed);
        let _ = self.orders.send(Order::Edited { edit, key, version, done }).await;
        Gone { edit, told, orders: self.orders.clone() }
    }
}

async fn run(
    mut take: mpsc::Receiver<Order>,
    orders: mpsc::Sender<Order>,
    mut placement: watch::Receiver<Vec<SocketAddr>>,
    lifetime: Duration,
) {
    let epoch = Instant::now();
    let now = || epoch.elapsed().as_micros() as Micros;
    let lifetime_ms = lifetime.as_millis().to_string();
    let mut copies: Copies<SocketAddr> =
        Copies::new(Limits { lifetime: lifetime.as_micros() as Micros, ..Limits::default() });
    let mut waiting: HashMap<EditId, oneshot::Sender<()>> = HashMap::new();
    let mut ways: HashMap<SocketAddr, mpsc::Sender<Told>> = HashMap::new();
    loop {
        for void in copies.due(now()) {
            let version = void.version.to_string();
            let words = ["OBJ.VOID", &void.key, &version, &lifetime_ms].map(str::as_bytes);
            let told = Told { command: resp::command(&words), void: Some((void.key.clone(), void.version)) };
            tell(&mut ways, void.cache, told, &orders);
        }
        for edit in copies.done() {
            if let Some(done) = waiting.remove(&edit) {
                let _ = done.send(());
            }
        }
        let due = copies.next().map(|at| epoch + Duration::from_micros(at));
        let wake = async {
            match due {
                Some(at) => sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            order = take.recv() => match order {
                None => return,
                Some(Order::Fill { caches, key, version, value }) => {
                    let version = version.to_string();
                    let words = [b"OBJ.FILL", key.as_bytes(), version.as_bytes(), lifetime_ms.as_bytes(), &value];
                    let command = resp::command(&words);
                    for cache in caches {
                        tell(&mut ways, cache, Told { command: command.clone(), void: None }, &orders);
                    }
                }
                Some(Order::Edited { edit, key, version, done }) => {
                    let caches = placement.borrow().clone();
                    // Without room its receipt waits for nothing that could come: it is told so by the drop.
                    if copies.edited(now(), edit, &key, version, &caches) {
                        waiting.insert(edit, done);
                    }
                }
                Some(Order::Acknowledged { cache, key, version }) => copies.acknowledged(cache, &key, version),
                Some(Order::Ended(cache)) => copies.ended(cache),
                Some(Order::Forgotten(edit)) => {
                    if waiting.remove(&edit).is_some() {
                        copies.forget(edit);
                    }
                }
            },
            changed = placement.changed() => {
                if changed.is_err() {
                    return;
                }
                // No request goes to a cache that has left, and what comes back is cold.
                let caches = placement.borrow_and_update().clone();
                let left: Vec<_> = ways.keys().filter(|cache| !caches.contains(cache)).copied().collect();
                for cache in left {
                    ways.remove(&cache);
                    copies.ended(cache);
                }
            }
            () = wake => {}
        }
    }
}

/// Hands a command to a cache's connection; where too much waits there it is lost, and a void comes again.
fn tell(
    ways: &mut HashMap<SocketAddr, mpsc::Sender<Told>>,
    cache: SocketAddr,
    told: Told,
    orders: &mpsc::Sender<Order>,
) {
    let way = ways.entry(cache).or_insert_with(|| {
        let (way, take) = mpsc::channel(QUEUE);
        tokio::spawn(speak(cache, take, orders.clone()));
        way
    });
    let _ = way.try_send(told);
}

async fn speak(cache: SocketAddr, mut take: mpsc::Receiver<Told>, orders: mpsc::Sender<Order>) {
    let mut stream: Option<BufReader<TcpStream>> = None;
    let mut complained = false;
    while let Some(told) = take.recv().await {
        let said = match timeout(PATIENCE, exchange(&mut stream, cache, &told.command)).await {
            Ok(said) => said,
            Err(_) => Err(ErrorKind::TimedOut.into()),
        };
        let order = match (said, told.void) {
            (Ok(true), None) => continue,
            (Ok(true), Some((key, version))) => Order::Acknowledged { cache, key, version },
            (Ok(false), _) => {
                if !std::mem::replace(&mut complained, true) {
                    log(&format!("cache {cache} takes no fills and voids from nodes"));
                }
                continue;
            }
            (Err(e), void) => {
                stream = None;
                match (e.kind(), void) {
                    (ErrorKind::ConnectionRefused, Some(_)) => Order::Ended(cache),
                    _ => continue,
                }
            }
        };
        if orders.send(order).await.is_err() {
            return;
        }
    }
}

/// Sends a command and reads its one line; whether it was done. A line that says neither, or has more behind it, ends
/// the connection: what stands there would be read as the next command's, and a void would count as acknowledged.
async fn exchange(
    stream: &mut Option<BufReader<TcpStream>>,
    cache: SocketAddr,
    command: &[u8],
) -> std::io::Result<bool> {
    // Taken while it is in use: given up half-way, its answers would be read as another command's.
    let mut open = match stream.take() {
        // Nor may anything have come that was not asked for.
        Some(open) if matches!(open.get_ref().try_read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock) => {
            open
        }
        _ => {
            let open = TcpStream::connect(cache).await?;
            open.set_nodelay(true)?;
            BufReader::new(open)
        }
    };
    open.write_all(command).await?;
    open.flush().await?;
    let mut line = Vec::new();
    loop {
        let buffer = open.fill_buf().await?;
        if buffer.is_empty() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let end = buffer.iter().position(|byte| *byte == b'\n');
        let take = end.map_or(buffer.len(), |end| end + 1);
        line.extend_from_slice(&buffer[..take]);
        open.consume(take);
        if end.is_some() {
            break;
        }
        if line.len() > MAX_LINE {
            return Err(ErrorKind::InvalidData.into());
        }
    }
    let done = line == b"+OK\r\n";
    if !open.buffer().is_empty() || !done && !line.starts_with(b"-") {
        return Err(ErrorKind::InvalidData.into());
    }
    *stream = Some(open);
    Ok(done)
}
