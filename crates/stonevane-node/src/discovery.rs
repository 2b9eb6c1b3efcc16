//! Discovery: the whole list, and the watch on its changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use stonevane_codec::http::{self, Chunks};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::clock::log;
use crate::hub::Input;
use crate::list::Era;

const CONNECT: Duration = Duration::from_secs(1);
/// Calls wait in turn at discovery: it is given this long to begin its answer.
const ANSWER: Duration = Duration::from_secs(4);
/// A watch brings a line every two seconds: one that is silent for longer is dead. What it had to tell counts
/// as told after six seconds, so that there must be time left to ask anew.
const SILENCE: Duration = Duration::from_secs(3);
/// Pauses before a watch on pushed lists is opened again: the first, and the longest.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// The longest list.
const MAX_LIST: usize = 4 * 1024 * 1024;

/// Where a call's news goes, and whose it is.
#[derive(Clone)]
struct Line {
    hub: mpsc::Sender<Input>,
    era: Era,
}

/// The calls to discovery that are out: one watch and one whole list at most.
pub struct Discovery {
    address: SocketAddr,
    /// Version of the list held.
    index: Arc<AtomicU64>,
    hub: mpsc::Sender<Input>,
    watch: Option<AbortHandle>,
    fetch: Option<AbortHandle>,
    /// Counts the moves from one discovery to another.
    era: Era,
}

impl Discovery {
    /// Discovery at an address, where a list of a version is held.
    pub fn new(address: SocketAddr, index: u64, hub: mpsc::Sender<Input>) -> Self {
        Discovery { address, index: Arc::new(AtomicU64::new(index)), hub, watch: None, fetch: None, era: 0 }
    }

    /// Discovery is at another address from now on; the watch is opened there at once. Against a list that
    /// stands still: the new one counts versions in its own way, so that the whole list is taken from it.
    pub fn move_to(&mut self, address: SocketAddr, pushed: bool) {
        self.fetch.take().inspect(AbortHandle::abort);
        self.watch.take().inspect(AbortHandle::abort);
        (self.address, self.index) = (address, Arc::default());
        self.era += 1;
        if pushed { self.follow() } else { self.subscribe(true) }
    }

    /// Where discovery is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether news is of the discovery that is in force.
    pub fn present(&self, era: Era) -> bool {
        era == self.era
    }

    fn line(&self) -> Line {
        Line { hub: self.hub.clone(), era: self.era }
    }

    /// Version of the list held.
    pub fn index(&self) -> u64 {
        self.index.load(Ordering::Relaxed)
    }

    /// A list of a version is held now.
    pub fn held(&self, index: u64) {
        self.index.store(index, Ordering::Relaxed);
    }

    /// Begins the watch, anew if there is one, or ends it.
    pub fn subscribe(&mut self, on: bool) {
        self.watch.take().inspect(AbortHandle::abort);
        let (address, line, index) = (self.address, self.line(), self.index.clone());
        let call = async move {
            report(watch(address, &index, &line).await);
            let _ = line.hub.send(Input::ListFailed(line.era)).await;
        };
        self.watch = on.then(|| tokio::spawn(call).abort_handle());
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self) {
        self.fetch.take().inspect(AbortHandle::abort);
        let (address, line) = (self.address, self.line());
        let call = async move {
            let called = lists(address, "/v1/servers", &line).await;
            if let Err(e) = called {
                log(&format!("discovery: {e}"));
                let _ = line.hub.send(Input::ListFailed(line.era)).await;
            }
        };
        self.fetch = Some(tokio::spawn(call).abort_handle());
    }

    /// Where lists are pushed, an agent on this machine has them: its watch is opened again by itself.
    pub fn follow(&mut self) {
        let (address, line, index) = (self.address, self.line(), self.index.clone());
        let call = async move {
            let mut pause = BACKOFF.0;
            loop {
                let before = index.load(Ordering::Relaxed);
                let _ = watch(address, &index, &line).await;
                let heard = index.load(Ordering::Relaxed) != before;
                pause = if heard { BACKOFF.0 } else { (pause * 2).min(BACKOFF.1) };
                tokio::time::sleep(pause).await;
            }
        };
        self.watch = Some(tokio::spawn(call).abort_handle());
    }
}

/// Why a call to discovery ended.
enum CallError {
    /// It broke, or could not be made.
    Io(std::io::Error),
    /// It was silent for too long.
    Silent,
    /// It was turned away.
    Status(u16),
    /// It brought what is no list; the list held stays in force.
    Garbage,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::Io(e) => write!(f, "{e}"),
            CallError::Silent => write!(f, "silent for too long"),
            CallError::Status(status) => write!(f, "answered with status {status}"),
            CallError::Garbage => write!(f, "brought no list, or one that was cut off"),
        }
    }
}

impl From<std::io::Error> for CallError {
    fn from(e: std::io::Error) -> Self {
        CallError::Io(e)
    }
}

async fn watch(address: SocketAddr, index: &AtomicU64, line: &Line) -> Result<(), CallError> {
    let path = match index.load(Ordering::Relaxed) {
        0 => "/v1/servers?watch=1".into(),
        held => format!("/v1/servers?watch=1&after={held}"),
    };
    lists(address, &path, line).await
}

fn report(called: Result<(), CallError>) {
    match called {
        Ok(()) => log("discovery: the watch has ended"),
        Err(e) => log(&format!("discovery: {e}")),
    }
}

/// Makes a call and passes on each line of its answer that holds a list, until the answer ends.
async fn lists(address: SocketAddr, path: &str, to: &Line) -> Result<(), CallError> {
    let silent = |_| CallError::Silent;
    let mut stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await.map_err(silent)??;
    let _ = stream.set_nodelay(true);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let (mut raw, mut body) = (BytesMut::new(), BytesMut::new());
    let head = loop {
        raw.reserve(4096);
        let count = tokio::time::timeout(ANSWER, stream.read_buf(&mut raw)).await.map_err(silent)??;
        match http::head(&raw).map_err(|_| CallError::Garbage)? {
            Some(head) => break head,
            None if count == 0 => return Err(CallError::Garbage),
            None => {}
        }
    };
    if head.status != 200 {
        return Err(CallError::Status(head.status));
    }
    let _ = raw.split_to(head.length);
    let mut chunks = Chunks::default();
    let mut left = head.content_length.unwrap_or(usize::MAX);
    let mut ended = false;
    let mut patience = ANSWER;
    loop {
        if head.chunked {
            ended |= chunks.take(&mut raw, &mut body).map_err(|_| CallError::Garbage)?;
        } else {
            let part = raw.split_to(raw.len().min(left));
            left -= part.len();
            body.extend_from_slice(&part);
            ended |= left == 0;
        }
        // A body of a stated length is one list, on however many lines; else each line is one.
        let whole = head.content_length.is_some();
        while !whole && let Some(end) = body.iter().position(|byte| *byte == b'\n') {
            pass_on(&body.split_to(end + 1), to).await?;
            patience = SILENCE;
        }
        if ended {
            return pass_on(&body, to).await;
        }
        if body.len() > MAX_LIST {
            return Err(CallError::Garbage);
        }
        raw.reserve(4096);
        if tokio::time::timeout(patience, stream.read_buf(&mut raw)).await.map_err(silent)?? == 0 {
            // What is left over is a line that was cut off.
            return Err(CallError::Garbage);
        }
    }
}

async fn pass_on(line: &[u8], to: &Line) -> Result<(), CallError> {
    if !line.trim_ascii().is_empty() {
        let listing = serde_json::from_slice(line).map_err(|_| CallError::Garbage)?;
        let _ = to.hub.send(Input::List(to.era, listing)).await;
    }
    Ok(())
}
