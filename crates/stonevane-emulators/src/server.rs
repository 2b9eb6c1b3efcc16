//! What all servers have in common: a listener for each node, faults, and connections that end in the ways
//! that real ones do.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_audit::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::record::Mono;

/// The pause before a listener tries again to bind its address.
pub(crate) const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// What is wrong with a server, as one node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The process is gone: connections are reset and refused.
    Dead,
    /// The machine has vanished or is cut off: connections stay open and silent, new ones never come up.
    Silent,
    /// New connections are refused; open ones are reset.
    Refuse,
    /// Each connection is reset when a request has come.
    Reset,
    /// Half of each answer comes, and then nothing more.
    Stall,
    /// Answers come a byte at a time.
    Slow,
    /// Half of each answer comes, and the connection ends.
    Truncate,
    /// Answers are noise.
    Noise,
    /// Other bytes come behind each answer.
    Tail,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 9] = [
        Fault::Dead,
        Fault::Silent,
        Fault::Refuse,
        Fault::Reset,
        Fault::Stall,
        Fault::Slow,
        Fault::Truncate,
        Fault::Noise,
        Fault::Tail,
    ];

    /// The name that scenarios use.
    pub fn name(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::Dead => "kill",
            Fault::Silent => "vanish",
            Fault::Refuse => "refuse",
            Fault::Reset => "reset",
            Fault::Stall => "stall",
            Fault::Slow => "slow",
            Fault::Truncate => "truncate",
            Fault::Noise => "noise",
            Fault::Tail => "tail",
        }
    }

    /// The fault of a name that scenarios use.
    pub fn from_name(name: &str) -> Option<Fault> {
        Fault::ALL.into_iter().find(|fault| fault.name() == name)
    }

    fn takes_connections(self) -> bool {
        !matches!(self, Fault::Dead | Fault::Silent | Fault::Refuse)
    }
}

/// The doors of a server: an address for each node, with what is wrong there.
pub struct Ports {
    doors: BTreeMap<String, Door>,
}

struct Door {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
}

/// One connection, as the server's protocol sees it.
pub struct Peer {
    /// The node at the other end.
    pub node: String,
    pub stream: TcpStream,
    pub fault: watch::Receiver<Fault>,
    pub mono: Mono,
}

/// What a protocol makes of the bytes that came.
pub trait Speaker: Send + 'static {
    /// Takes one whole request off the front, and says when its answer is due, and what it is. `None` while
    /// none is whole. The spans tell when its first and its last byte came.
    ///
    /// # Errors
    /// Where the bytes are no request: the connection is closed.
    fn take(&mut self, buffer: &mut BytesMut, first: Span, last: Span) -> Result<Option<Due>, ()>;

    /// The answer is being written; its bytes, where they were not known before.
    fn says(&mut self, due: &Due) -> Option<Bytes>;

    /// The same for an answer that a fault keeps from arriving whole.
    fn unsaid(&mut self, _due: &Due) -> Option<Bytes> {
        None
    }

    /// The connection ended before this answer was written: nobody waits for it any more.
    fn over(&mut self, _due: &Due) {}

    /// Whether one more connection may be open, and how long it may stand idle.
    fn idle(&self) -> Duration;
}

/// An answer and its moment.
pub struct Due {
    pub at: u64,
    pub bytes: Bytes,
    /// Names the attempt for [`Speaker::says`].
    pub number: u64,
    /// Closes the connection behind the answer.
    pub close: bool,
}

impl Ports {
    /// Opens a door for each node at an address of this machine (port 0: any), and serves what comes through it.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn open<S: Speaker>(
        nodes: &[(String, SocketAddr)],
        mono: &Mono,
        speaker: impl Fn(&str) -> Option<S> + Send + Sync + Clone + 'static,
    ) -> io::Result<Ports> {
        let mut doors = BTreeMap::new();
        for (node, at) in nodes {
            let listener = TcpListener::bind(at).await?;
            let address = listener.local_addr()?;
            let (fault, see) = watch::channel(Fault::None);
            let (speaker, node, mono) = (speaker.clone(), node.clone(), mono.clone());
            doors.insert(node.clone(), Door { address, fault });
            tokio::spawn(listen(Some(listener), address, see, node, mono, speaker));
        }
        Ok(Ports { doors })
    }

    /// The address that a node knows.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.doors.get(node).map(|door| door.address)
    }

    /// Changes what is wrong, for one node or for all; where it is wrong already nothing happens.
    pub fn set(&self, node: Option<&str>, fault: Fault) {
        let doors = self.doors.iter().filter(|(name, _)| node.is_none_or(|node| node == *name));
        for (_, door) in doors {
            if door.fault.send_if_modified(|now| std::mem::replace(now, fault) != fault) {
                tracing::debug!(address = %door.address, ?fault, "door");
            }
        }
    }

    /// What is wrong at a node's door.
    pub fn wrong(&self, node: &str) -> Option<Fault> {
        self.doors.get(node).map(|door| *door.fault.borrow())
    }

    /// Whether the process runs, for a node.
    pub fn runs(&self, node: &str) -> bool {
        self.doors.get(node).is_some_and(|door| *door.fault.borrow() != Fault::Dead)
    }
}

async fn listen<S: Speaker>(
    mut listener: Option<TcpListener>,
    address: SocketAddr,
    mut fault: watch::Receiver<Fault>,
    node: String,
    mono: Mono,
    speaker: impl Fn(&str) -> Option<S> + Send + Sync + Clone + 'static,
) {
    // Connections that fill the queue of a machine that has vanished, so that no other comes up.
    let mut fill: Vec<tokio::task::JoinHandle<io::Result<TcpStream>>> = Vec::new();
    loop {
        let now = *fault.borrow_and_update();
        if !now.takes_connections() {
            if now == Fault::Silent {
                if let Some(listener) = &listener {
                    let _ = rustix::net::listen(listener, 0);
                    if fill.is_empty() {
                        fill.extend((0..3).map(|_| tokio::spawn(TcpStream::connect(address))));
                    }
                }
            } else {
                listener = None;
            }
            if fault.changed().await.is_err() {
                return;
            }
            continue;
        }
        if !fill.is_empty() || listener.is_none() {
            // It is back: what came up meanwhile is reset.
            fill.drain(..).for_each(|task| task.abort());
            drop(listener.take());
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(REBIND_PAUSE).await;
                continue;
            }
        }
        let Some(open) = &listener else { continue };
        tokio::select! {
            biased;
            changed = fault.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            accepted = open.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let peer = Peer { node: node.clone(), stream, fault: fault.clone(), mono: mono.clone() };
                match speaker(&peer.node) {
                    Some(speaker) => drop(tokio::spawn(serve(peer, speaker))),
                    // Its table of connections is full.
                    None => {
                        tracing::debug!(%address, node = peer.node, "its table of connections is full");
                        reset(peer.stream);
                    }
                }
            }
        }
    }
}

fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Serves one connection until it ends, and tells what was still owed on it then.
async fn serve(peer: Peer, mut speaker: impl Speaker) {
    let mut owed = VecDeque::new();
    exchange(peer, &mut speaker, &mut owed).await;
    owed.iter().for_each(|due| speaker.over(due));
}

async fn exchange(mut peer: Peer, speaker: &mut impl Speaker, owed: &mut VecDeque<Due>) {
    let mut buffer = BytesMut::new();
    // When the first byte of what stands in the buffer came.
    let mut first: Option<Span> = None;
    // Since when nothing was read, where something else held this task up.
    let mut blind: Option<u64> = None;
    let mut idle_since = Mono::now();
    loop {
        let fault = *peer.fault.borrow_and_update();
        match fault {
            Fault::Dead | Fault::Refuse => return reset(peer.stream),
            Fault::Silent => {
                let _ = peer.fault.changed().await;
                return reset(peer.stream);
            }
            _ => {}
        }
        let now = Mono::now();
        if owed.front().is_some_and(|due| due.at <= now) {
            let Some(mut due) = owed.pop_front() else { continue };
            let whole = !matches!(fault, Fault::Stall | Fault::Truncate | Fault::Noise);
            let said = if whole { speaker.says(&due) } else { speaker.unsaid(&due) };
            due.bytes = said.unwrap_or(due.bytes);
            let before = Mono::now();
            if write(&mut peer, &due, fault).await.is_err() || due.close {
                return;
            }
            blind = Some(blind.unwrap_or(before).min(before));
            idle_since = Mono::now();
            continue;
        }
        let idle = speaker.idle().as_micros() as u64;
        let wake = owed.front().map_or(idle_since + idle, |due| due.at);
        let sleep = Duration::from_micros(wake.saturating_sub(now));
        buffer.reserve(4096);
        tokio::select! {
            biased;
            changed = peer.fault.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            read = peer.stream.read_buf(&mut buffer) => {
                if !matches!(read, Ok(count) if count > 0) {
                    return;
                }
                let mut came = peer.mono.seen();
                came.begun = came.begun.min(blind.take().unwrap_or(u64::MAX));
                let began = *first.get_or_insert(came);
                let mut starts = began;
                loop {
                    match speaker.take(&mut buffer, starts, came) {
                        Ok(Some(due)) => {
                            owed.push_back(due);
                            if fault == Fault::Reset {
                                return reset(peer.stream);
                            }
                            starts = came;
                        }
                        Ok(None) => break,
                        Err(()) => return,
                    }
                }
                first = (!buffer.is_empty()).then_some(starts);
            }
            () = tokio::time::sleep(sleep) => {
                if owed.is_empty() && Mono::now() >= idle_since + idle {
                    return;
                }
            }
        }
    }
}

async fn write(peer: &mut Peer, due: &Due, fault: Fault) -> io::Result<()> {
    let half = due.bytes.len() / 2;
    match fault {
        Fault::Stall => {
            peer.stream.write_all(&due.bytes[..half]).await?;
            let _ = peer.fault.changed().await;
            Err(io::ErrorKind::TimedOut.into())
        }
        Fault::Truncate => {
            peer.stream.write_all(&due.bytes[..half]).await?;
            Err(io::ErrorKind::UnexpectedEof.into())
        }
        Fault::Slow => {
            for byte in due.bytes.chunks(1) {
                peer.stream.write_all(byte).await?;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Ok(())
        }
        Fault::Noise => peer.stream.write_all(b"\x00\xffwhat is this?\r\n\r\n").await,
        Fault::Tail => {
            peer.stream.write_all(&due.bytes).await?;
            peer.stream.write_all(b"$5\r\nother\r\n").await
        }
        _ => peer.stream.write_all(&due.bytes).await,
    }
}

/// Locks what is only held for moments; a panic elsewhere is no reason to stop.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A count that is given back when dropped.
pub struct Place(pub Arc<std::sync::atomic::AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}
