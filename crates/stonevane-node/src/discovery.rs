//! Discovery: the whole list, and the watch on its changes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use stonevane_codec::http::{self, Chunks, Head};
use stonevane_codec::lines::ObjectReader;
use stonevane_core::discovery_timeouts::{Awaited, CallEnd, DiscoveryTimeouts};
use stonevane_core::{DiscoveryCall, DiscoveryEpoch, DiscoveryRequest, Input};
use stonevane_policy::Micros;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::log::log;

/// The longest list.
const MAX_LIST: usize = 4 * 1024 * 1024;

/// Where what a call brings goes.
pub type Tell = Arc<dyn Fn(Input<'static>) + Send + Sync>;

/// Bytes of calls to discovery, without the headers of IP and TCP.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Of requests.
    pub sent: AtomicU64,
    /// Of answers.
    pub received: AtomicU64,
}

impl Traffic {
    fn add(counter: &AtomicU64, bytes: usize) {
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A call's era, how long it waits, where its news goes, and where its bytes are counted.
#[derive(Clone)]
struct Line {
    tell: Tell,
    era: DiscoveryEpoch,
    patience: DiscoveryTimeouts,
    traffic: Arc<Traffic>,
}

/// A call whose answer has not begun in time. Discovery works calls off in turn: this one keeps its turn beside the next,
/// which would have to queue behind it.
#[derive(Clone, Default)]
struct Unanswered(Arc<Mutex<Option<(DiscoveryEpoch, Asked)>>>);

impl Unanswered {
    /// Keeps a call, in place of an older one.
    fn keep(&self, era: DiscoveryEpoch, call: Option<Asked>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = call.map(|call| (era, call));
    }

    /// Takes the call that is kept, where it was made to the discovery of this era.
    fn take(&self, era: DiscoveryEpoch) -> Option<Asked> {
        let kept = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        kept.filter(|(of, _)| *of == era).map(|(_, call)| call)
    }
}

/// The calls to discovery that are out: one watch, one that was to be it and is not answered yet, and one whole list at
/// most.
pub struct Discovery {
    /// Version of the list held.
    index: Arc<AtomicU64>,
    tell: Tell,
    traffic: Arc<Traffic>,
    watch: Option<AbortHandle>,
    unanswered: Unanswered,
    fetch: Option<AbortHandle>,
}

impl Discovery {
    /// No call yet; `index` is kept at the version of the list held.
    pub fn new(index: Arc<AtomicU64>, tell: Tell) -> Self {
        Discovery {
            index,
            tell,
            traffic: Arc::default(),
            watch: None,
            unanswered: Unanswered::default(),
            fetch: None,
        }
    }

    /// The same, with its bytes counted where others may be counted too.
    pub fn counted(self, traffic: Arc<Traffic>) -> Self {
        Discovery { traffic, ..self }
    }

    /// Makes a call, or ends some.
    pub fn call(&mut self, call: DiscoveryCall) {
        let (tell, patience) = (self.tell.clone(), call.timeouts);
        let traffic = self.traffic.clone();
        let (address, line) = (call.address, Line { tell, era: call.epoch, patience, traffic });
        match call.request {
            DiscoveryRequest::Watch { after } => {
                self.watch.take().inspect(AbortHandle::abort);
                let unanswered = self.unanswered.clone();
                let call = async move {
                    let mut heard = Instant::now();
                    let ended = watch_in_turn(address, after, &line, &unanswered, &mut heard).await;
                    let end = call_end(&ended);
                    report(ended);
                    let quiet = heard.elapsed().as_micros() as Micros;
                    (line.tell)(Input::call_ended(end, line.era, quiet));
                };
                self.watch = Some(tokio::spawn(call).abort_handle());
            }
            DiscoveryRequest::StopWatch => self.end_watch(),
            DiscoveryRequest::FetchList => {
                self.fetch.take().inspect(AbortHandle::abort);
                let call = async move {
                    if let Err(e) = lists(address, "/v1/servers", &line).await {
                        log(&format!("discovery: {e}"));
                        (line.tell)(Input::ListFailed(line.era));
                    }
                };
                self.fetch = Some(tokio::spawn(call).abort_handle());
            }
            // Where lists are pushed, an agent on this machine has them, and they count as told whether or not a watch is
            // open: however quiet the last ones were, the next is opened without delay.
            DiscoveryRequest::WatchAgent => {
                self.watch.take().inspect(AbortHandle::abort);
                let index = self.index.clone();
                let call = async move {
                    loop {
                        let held = index.load(Ordering::Relaxed);
                        let path = watch_path((held > 0).then_some(held));
                        let _ = lists(address, &path, &line).await;
                        tokio::time::sleep(micros(patience.reconnect_delay)).await;
                    }
                };
                self.watch = Some(tokio::spawn(call).abort_handle());
            }
            DiscoveryRequest::CancelAll => self.leave(),
        }
    }

    /// Ends all calls.
    pub fn leave(&mut self) {
        self.fetch.take().inspect(AbortHandle::abort);
        self.end_watch();
    }

    fn end_watch(&mut self) {
        self.watch.take().inspect(AbortHandle::abort);
        self.unanswered.keep(0, None);
    }
}

/// Why a call to discovery ended.
enum CallError {
    /// It broke, or could not be made.
    Io(std::io::Error),
    /// It was not answered in time.
    Unanswered,
    /// It was answered, and fell silent; whether it had brought a line before, be it an empty one.
    Silent { stood: bool },
    /// It was turned away.
    Status(u16),
    /// It brought what is no list; the list held stays in force.
    Garbage,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::Io(e) => write!(f, "{e}"),
            CallError::Unanswered => write!(f, "no answer in time"),
            CallError::Silent { .. } => write!(f, "silent for too long"),
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

fn watch_path(after: Option<u64>) -> String {
    match after {
        None => "/v1/servers?watch=1".into(),
        Some(held) => format!("/v1/servers?watch=1&after={held}"),
    }
}

/// A watch on lists that discovery is asked for. The call before it may be answered first, and is the watch then.
async fn watch_in_turn(
    address: SocketAddr,
    after: Option<u64>,
    to: &Line,
    unanswered: &Unanswered,
    heard: &mut Instant,
) -> Result<(), CallError> {
    let mut earlier = unanswered.take(to.era);
    let mut asked = None;
    let path = watch_path(after);
    let next = async {
        let call = asked.insert(Asked::make(address, &path, to, heard).await?);
        call.head(Some(to.patience), heard).await
    };
    let before = async {
        if let Some(call) = &mut earlier
            && let Ok(head) = call.head(None, &mut Instant::now()).await
        {
            return head;
        }
        // However it failed, the next call goes on.
        earlier = None;
        std::future::pending().await
    };
    let (call, head) = tokio::select! {
        biased;
        head = before => (earlier, Ok(head)),
        head = next => {
            if head.is_err() {
                let waits = matches!(head, Err(CallError::Unanswered));
                unanswered.keep(to.era, asked.take_if(|_| waits).or(earlier));
            }
            (asked, head)
        }
    };
    let head = head?;
    match call {
        Some(call) => call.lists(head, to, heard).await,
        None => Ok(()),
    }
}

/// What the end of a call means to the core.
fn call_end(called: &Result<(), CallError>) -> CallEnd {
    match called {
        Err(CallError::Unanswered) => CallEnd::Unanswered,
        Err(CallError::Silent { stood }) => CallEnd::TimedOut { was_established: *stood },
        _ => CallEnd::Broken,
    }
}

fn micros(time: Micros) -> Duration {
    Duration::from_micros(time)
}

fn report(called: Result<(), CallError>) {
    match called {
        Ok(()) => log("discovery: the watch has ended"),
        Err(e) => log(&format!("discovery: {e}")),
    }
}

/// Makes a call and passes on each line of its answer that holds a list, until the answer ends.
async fn lists(address: SocketAddr, path: &str, to: &Line) -> Result<(), CallError> {
    let mut heard = Instant::now();
    let mut call = Asked::make(address, path, to, &mut heard).await?;
    let head = call.head(Some(to.patience), &mut heard).await?;
    call.lists(head, to, &mut heard).await
}

/// A call that has been written, and what has come of its answer. `heard` is when discovery last said anything.
struct Asked {
    stream: TcpStream,
    raw: BytesMut,
    traffic: Arc<Traffic>,
}

impl Asked {
    async fn make(
        address: SocketAddr,
        path: &str,
        to: &Line,
        heard: &mut Instant,
    ) -> Result<Asked, CallError> {
        let connect =
            timeout(micros(to.patience.limit(Awaited::Connection)), TcpStream::connect(address)).await;
        let mut stream = connect.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        *heard = Instant::now();
        let _ = stream.set_nodelay(true);
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        Traffic::add(&to.traffic.sent, request.len());
        Ok(Asked { stream, raw: BytesMut::new(), traffic: to.traffic.clone() })
    }

    /// The head of its answer, waited for without end where there is no patience. What has come of it is kept where this
    /// is dropped.
    async fn head(
        &mut self,
        patience: Option<DiscoveryTimeouts>,
        heard: &mut Instant,
    ) -> Result<Head, CallError> {
        loop {
            if let Some(head) = http::head(&self.raw).map_err(|_| CallError::Garbage)? {
                return if head.status == 200 { Ok(head) } else { Err(CallError::Status(head.status)) };
            }
            self.raw.reserve(4096);
            let read = self.stream.read_buf(&mut self.raw);
            let count = match patience {
                Some(waits) => timeout(micros(waits.limit(Awaited::Answer)), read)
                    .await
                    .map_err(|_| CallError::Unanswered)??,
                None => read.await?,
            };
            Traffic::add(&self.traffic.received, count);
            if count == 0 {
                return Err(CallError::Garbage);
            }
            *heard = Instant::now();
        }
    }

    /// Passes on each line that holds a list, until the answer ends.
    async fn lists(mut self, head: Head, to: &Line, heard: &mut Instant) -> Result<(), CallError> {
        *heard = Instant::now();
        let raw = &mut self.raw;
        let mut body = BytesMut::new();
        let _ = raw.split_to(head.length);
        let (mut chunks, mut objects) = (Chunks::default(), ObjectReader::default());
        let mut left = head.content_length.unwrap_or(usize::MAX);
        let (mut ended, mut stood) = (false, false);
        loop {
            if head.chunked {
                ended |= chunks.take(raw, &mut body).map_err(|_| CallError::Garbage)?;
            } else {
                let part = raw.split_to(raw.len().min(left));
                left -= part.len();
                body.extend_from_slice(&part);
                ended |= left == 0;
            }
            // A body of a stated length is one list, on however many lines; else they come one after another.
            let whole = head.content_length.is_some();
            while !whole && let Some(list) = objects.take(&mut body) {
                stood = true;
                pass_on(&list, to)?;
            }
            if ended {
                return pass_on(&body, to);
            }
            if body.len() > MAX_LIST {
                return Err(CallError::Garbage);
            }
            raw.reserve(4096);
            let read = timeout(micros(to.patience.limit(Awaited::Line)), self.stream.read_buf(raw));
            let count = read.await.map_err(|_| CallError::Silent { stood })??;
            Traffic::add(&self.traffic.received, count);
            if count == 0 {
                // What is left over is a line that was cut off.
                return Err(CallError::Garbage);
            }
            *heard = Instant::now();
        }
    }
}

fn pass_on(line: &[u8], to: &Line) -> Result<(), CallError> {
    if !line.trim_ascii().is_empty() {
        let listing = serde_json::from_slice(line).map_err(|_| CallError::Garbage)?;
        (to.tell)(Input::List(to.era, listing));
    }
    Ok(())
}
