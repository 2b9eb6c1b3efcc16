//! Drives the core: opens, reads, writes, sleeps, and decides nothing. Each connection has a task that waits until it
//! can be read; whoever brings news to the core does at once what the core says, so that no channel and no other task
//! lies between a client's bytes and those for a server.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Waker};
use std::time::Duration;

use bytes::Bytes;
use foldhash::{HashMap, HashMapExt};
use rustix::io::retry_on_intr;
use rustix::net::RecvFlags;
use stonevane_core::handover::{Capacity, ProcessStage};
use stonevane_core::management::{Answer, Call};
use stonevane_core::{ConnId, Core, Input, LogLine, Output, Outputs};
use stonevane_policy::Micros;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, timeout};

use crate::clock::{Clock, log};
use crate::discovery::Discovery;
use crate::fleet::Fleet;
use crate::kept::Kept;
use crate::store::Record;

/// After an error that ends a connection, its client's input is read on for so long, and so much of it.
const LINGER: (Duration, usize) = (Duration::from_millis(200), 256 * 1024);
/// Read at once, at most.
const SCRATCH: usize = 64 * 1024;

/// One connection, or a call that is no stream. Dropped, it is closed.
struct Link {
    /// `None` while it is being opened, and where it is no stream.
    stream: Option<Arc<TcpStream>>,
    /// Waits for what it brings.
    task: Option<AbortHandle>,
    /// Writes what the machine did not take at once.
    writer: Option<AbortHandle>,
    /// Wakes the task, where the core would not have it read.
    resume: Arc<Notify>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.iter().chain(&self.writer).for_each(AbortHandle::abort);
    }
}

struct State {
    core: Core,
    outputs: Outputs,
    links: HashMap<ConnId, Link>,
    scratch: Box<[u8]>,
    discovery: Option<Discovery>,
    placement: Option<watch::Sender<Vec<SocketAddr>>>,
}

/// Drives one core.
pub struct Driver {
    state: Mutex<State>,
    clock: Clock,
    kept: Kept,
    /// The store in the origin's place.
    store: Option<Arc<Record>>,
    /// This node among the others, where it takes part.
    fleet: Option<Arc<Fleet>>,
    /// Version of the list held.
    index: Arc<AtomicU64>,
    /// When the core is woken next, in its time.
    armed: AtomicU64,
    /// That has become earlier.
    earlier: Notify,
    /// A client's connection may be taken.
    accept: Notify,
    accepts: AtomicBool,
    /// What is listened on takes no more, but what the machine has taken already.
    draining: Notify,
    drains: AtomicBool,
    /// A newer process takes what comes from now on.
    succeeded: AtomicBool,
    done: Notify,
}

/// What came of reading.
enum Received {
    /// Go on.
    Some,
    /// The core would not have it read now.
    Paused,
    /// The connection exists no more.
    Over,
}

/// Reads what has come, at most so much; `WouldBlock` where nothing has. A short read has emptied the socket: it is
/// not asked again before the machine tells of more (as tokio's own reads do).
fn receive(stream: &TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    let mut short = 0;
    let read = stream.try_io(Interest::READABLE, || {
        let (count, _) = retry_on_intr(|| rustix::net::recv(stream, &mut *buffer, RecvFlags::empty()))?;
        if count > 0 && count < buffer.len() {
            short = count;
            return Err(std::io::ErrorKind::WouldBlock.into());
        }
        Ok(count)
    });
    if short > 0 { Ok(short) } else { read }
}

/// What the runtime knows of the end of a stream's other side, whatever can still be read before it: it tells that
/// with the readiness for urgent data too, which nobody here sends or asks the machine for.
const END: Interest = Interest::PRIORITY;

fn has_ended(stream: &TcpStream) -> bool {
    let mut told = Context::from_waker(Waker::noop());
    pin!(stream.ready(END)).poll(&mut told).is_ready()
}

/// Writes what the machine takes at once. A signal that comes meanwhile ends no connection.
fn try_write(stream: &TcpStream, bytes: &[u8]) -> std::io::Result<usize> {
    loop {
        match stream.try_write(bytes) {
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}

fn would_block<T>(result: &std::io::Result<T>) -> bool {
    matches!(result, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

impl Driver {
    /// A driver of a core that has done nothing yet.
    pub fn new(
        core: Core,
        clock: Clock,
        kept: Kept,
        store: Option<Arc<Record>>,
        fleet: Option<Arc<Fleet>>,
    ) -> Arc<Driver> {
        let index = Arc::new(AtomicU64::new(core.list_version().unwrap_or(0)));
        let state = State {
            core,
            outputs: Outputs::new(),
            links: HashMap::new(),
            scratch: vec![0; SCRATCH].into(),
            discovery: None,
            placement: None,
        };
        let driver = Arc::new(Driver {
            state: Mutex::new(state),
            clock,
            kept,
            store,
            fleet,
            index: index.clone(),
            armed: AtomicU64::new(Micros::MAX),
            earlier: Notify::new(),
            accept: Notify::new(),
            accepts: AtomicBool::new(false),
            draining: Notify::new(),
            drains: AtomicBool::new(false),
            succeeded: AtomicBool::new(false),
            done: Notify::new(),
        });
        let (weak, shut) = (Arc::downgrade(&driver), Arc::downgrade(&driver));
        let tell = Arc::new(move |input: Input<'static>| {
            if let Some(driver) = weak.upgrade() {
                driver.input(input);
            }
        });
        let shut = Box::new(move |lasts| {
            if let Some(driver) = shut.upgrade() {
                driver.input(Input::OriginUnavailable(lasts));
            }
        });
        {
            let mut state = driver.lock();
            state.discovery = Some(Discovery::new(index, tell));
            state.placement = driver.store.as_ref().and_then(|store| store.start(shut));
        }
        driver
    }

    /// Runs until the node has drained.
    pub async fn run(self: &Arc<Self>, listener: TcpListener) {
        let listens = tokio::spawn(self.clone().listen(listener));
        let sleeps = tokio::spawn(self.clone().sleep());
        self.input(Input::Wake);
        self.done.notified().await;
        listens.abort();
        sleeps.abort();
        self.lock().links.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the core, and does what it says.
    pub fn input(self: &Arc<Self>, input: Input<'_>) {
        let mut state = self.lock();
        self.tell(&mut state, input);
        self.perform(&mut state);
    }

    /// A call on the second address. What must outlive this process is kept before it is answered.
    pub fn called(self: &Arc<Self>, call: Call) -> Answer {
        let mut state = self.lock();
        match call {
            Call::Ready if state.core.ready() => Answer::line(200, "ready"),
            Call::Ready => Answer::line(503, "this process takes no clients"),
            Call::Metrics => match serde_json::to_string(&state.core.report()) {
                Ok(report) => Answer::object(report),
                Err(e) => Answer::line(503, e.to_string()),
            },
            Call::Fleet { brief } => match &self.fleet {
                Some(fleet) => Answer::object(fleet.told(self.clock.now(), brief)),
                None => Answer::line(
                    404,
                    "this node takes no part in a fleet: [fleet] of the operator file is not set",
                ),
            },
            Call::Exclude { name, .. } if !state.core.has_cache_server(&name) => {
                Answer::line(404, "there is no cache server of that name")
            }
            Call::Exclude { name, out } => {
                if let Err(e) = self.kept.exclude(&name, out) {
                    return Answer::line(503, format!("it can't be kept, and is not done: {e}"));
                }
                let done = if out { "out" } else { "back" };
                log(&format!("cache server {name} is {done} by hand"));
                self.tell(&mut state, Input::Exclude(name, out));
                self.perform(&mut state);
                Answer::line(200, done)
            }
        }
    }

    /// What it holds of what all processes of the node may hold together, what is open, how far it has come, and that
    /// whole.
    pub fn standing(&self) -> (Capacity, usize, ProcessStage, Capacity) {
        let status = self.lock().core.handover_status();
        (status.used, status.in_flight, status.stage, status.node_capacity)
    }

    /// Takes up what people have said to another process of this node.
    pub fn recall(self: &Arc<Self>) {
        let out = self.kept.excluded();
        let mut state = self.lock();
        let known = state.core.excluded();
        for name in known.iter().filter(|name| !out.contains(name)) {
            self.tell(&mut state, Input::Exclude(name.clone(), false));
        }
        for name in out.iter().filter(|name| !known.contains(name)) {
            self.tell(&mut state, Input::Exclude(name.clone(), true));
        }
        self.perform(&mut state);
    }

    fn tell(&self, state: &mut State, input: Input<'_>) {
        state.core.handle(self.clock.now(), input, &mut state.outputs);
    }

    /// Does what is to be done, and what follows from that.
    fn perform(self: &Arc<Self>, state: &mut State) {
        while let Some(output) = state.outputs.pop_front() {
            match output {
                Output::Write(id, bytes) => self.write(state, id, bytes),
                Output::WriteAndClose(id, bytes) => {
                    if self.drained(state, id, true) {
                        self.write_last(state, id, bytes);
                    } else {
                        self.write(state, id, bytes);
                    }
                }
                Output::WriteRequest { id, bytes, check_socket: sure } => {
                    // First: a connection that the server has ended is not written to, so that its request surely
                    // never ran.
                    if self.drained(state, id, sure) {
                        self.write(state, id, bytes);
                    }
                }
                Output::Open(id, address) => {
                    let task = tokio::spawn(self.clone().open(id, address)).abort_handle();
                    self.link(state, id, None, task);
                }
                Output::CallStore(id, job) => {
                    let Some(store) = self.store.clone() else { continue };
                    let own = self.clone();
                    let call = async move {
                        let reply = store.call(*job).await;
                        own.input(Input::CallReplied(id, reply));
                    };
                    let task = tokio::spawn(call).abort_handle();
                    self.link(state, id, None, task);
                }
                Output::Close(id) => drop(state.links.remove(&id)),
                Output::CloseIfIdle(id) => {
                    if state.core.is_closing(id)
                        && self.drained(state, id, true)
                        && let Some(link) = state.links.remove(&id)
                    {
                        // Its end is told at once, not when its task has gone: a client that learns of it sends nothing more.
                        if let Some(stream) = &link.stream {
                            let _ = rustix::net::shutdown(stream, rustix::net::Shutdown::Write);
                        }
                        self.tell(state, Input::Closed(id));
                    }
                }
                Output::CloseWrite(id) => {
                    self.linger(state, id);
                }
                Output::Resume(id) => {
                    if let Some(link) = state.links.get(&id) {
                        link.resume.notify_one();
                    }
                }
                Output::Discovery(call) => {
                    if let Some(discovery) = &mut state.discovery {
                        discovery.call(call);
                    }
                }
                Output::CachesChanged(caches) => {
                    if let Some(placement) = &state.placement {
                        placement.send_replace(caches);
                    }
                }
                Output::Draining => {
                    self.drains.store(true, Ordering::Relaxed);
                    self.draining.notify_one();
                }
                Output::Replaced => {
                    self.succeeded.store(true, Ordering::Relaxed);
                    self.draining.notify_one();
                }
                Output::Log(LogLine::Info(line)) => log(&line),
                Output::Log(LogLine::Error(line)) => log(&format!("fault: {line}")),
                Output::Done => self.done.notify_one(),
            }
        }
        self.index.store(state.core.list_version().unwrap_or(0), Ordering::Relaxed);
        let accepts = state.core.accepts();
        if accepts && !self.accepts.swap(accepts, Ordering::Relaxed) {
            self.accept.notify_one();
        } else if !accepts {
            self.accepts.store(false, Ordering::Relaxed);
        }
        let next = state.core.next_timeout().unwrap_or(Micros::MAX);
        if next < self.armed.load(Ordering::Relaxed) {
            self.armed.store(next, Ordering::Relaxed);
            self.earlier.notify_one();
        }
    }

    fn link(&self, state: &mut State, id: ConnId, stream: Option<Arc<TcpStream>>, task: AbortHandle) {
        let link = Link { stream, task: Some(task), writer: None, resume: Arc::default() };
        state.links.insert(id, link);
    }

    // Time.

    async fn sleep(self: Arc<Self>) {
        loop {
            let at = self.lock().core.next_timeout().unwrap_or_else(|| self.clock.now() + 1_000_000);
            self.armed.store(at, Ordering::Relaxed);
            tokio::select! {
                () = sleep_until(self.clock.instant(at)) => {
                    self.armed.store(Micros::MAX, Ordering::Relaxed);
                    self.input(Input::Wake);
                }
                () = self.earlier.notified() => {}
            }
        }
    }

    // Connections.

    /// Takes connections until the node drains, then those that the machine has already taken.
    async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            // A table with no place left at all leaves newcomers waiting with the machine until one is free.
            while !self.accepts.load(Ordering::Relaxed) {
                self.accept.notified().await;
            }
            if self.succeeded.load(Ordering::Relaxed) {
                return;
            }
            let draining = self.drains.load(Ordering::Relaxed);
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = sleep(Duration::from_millis(5)), if draining => return,
                () = self.draining.notified(), if !draining => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let stream = Arc::new(stream);
                    let mut state = self.lock();
                    let id = state.core.next_connection_id();
                    let resume = Arc::new(Notify::new());
                    let task = tokio::spawn(self.clone().read(id, stream.clone(), resume.clone(), true));
                    let task = Some(task.abort_handle());
                    state.links.insert(id, Link { stream: Some(stream), task, writer: None, resume });
                    self.tell(&mut state, Input::Accepted(id));
                    self.perform(&mut state);
                }
                // Out of descriptors, or the client has left: neither ends the node.
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn open(self: Arc<Self>, id: ConnId, address: SocketAddr) {
        // The core has a time-out of its own for it, and closes it then.
        let Ok(stream) = TcpStream::connect(address).await else { return self.ended(id) };
        let _ = stream.set_nodelay(true);
        let stream = Arc::new(stream);
        let resume = {
            let mut state = self.lock();
            let Some(link) = state.links.get_mut(&id) else { return };
            link.stream = Some(stream.clone());
            let resume = link.resume.clone();
            self.tell(&mut state, Input::Opened(id));
            self.perform(&mut state);
            resume
        };
        self.read(id, stream, resume, false).await;
    }

    /// A connection has ended by itself.
    fn ended(self: &Arc<Self>, id: ConnId) {
        let mut state = self.lock();
        if state.links.remove(&id).is_some() {
            self.tell(&mut state, Input::Closed(id));
            self.perform(&mut state);
        }
    }

    /// Brings what comes on a connection to the core, until one of them ends it. A client that leaves is seen to have
    /// left although the core would not have it read, and whatever it had sent before.
    async fn read(self: Arc<Self>, id: ConnId, stream: Arc<TcpStream>, resume: Arc<Notify>, client: bool) {
        loop {
            if std::future::poll_fn(|cx| stream.poll_read_ready(cx)).await.is_err() {
                return self.ended(id);
            }
            match self.receive(id, &stream) {
                Received::Some => {}
                Received::Paused => tokio::select! {
                    () = resume.notified() => {}
                    _ = stream.ready(END), if client => return self.ended(id),
                },
                Received::Over => return,
            }
        }
    }

    fn receive(self: &Arc<Self>, id: ConnId, stream: &TcpStream) -> Received {
        let mut state = self.lock();
        if !state.links.contains_key(&id) {
            return Received::Over;
        }
        let limit = state.core.read_budget(id).min(SCRATCH);
        let left = state.core.is_client(id) && has_ended(stream);
        if limit == 0 && !left {
            return Received::Paused;
        }
        let state = &mut *state;
        let read = if left { Ok(0) } else { receive(stream, &mut state.scratch[..limit]) };
        let input = match read {
            Ok(count) if count > 0 => Input::Bytes(id, &state.scratch[..count]),
            read if would_block(&read) => return Received::Some,
            _ => {
                state.links.remove(&id);
                Input::Closed(id)
            }
        };
        let over = matches!(input, Input::Closed(_));
        state.core.handle(self.clock.now(), input, &mut state.outputs);
        self.perform(state);
        if over { Received::Over } else { Received::Some }
    }

    /// Whether a connection has brought nothing; the core is told of what it has, or of its end. `surely`: asked of the
    /// socket itself. What the runtime knows of it may be as old as this turn, which a machine with a part of a core can
    /// make long: a client's request that came meanwhile would be lost with the connection.
    fn drained(&self, state: &mut State, id: ConnId, surely: bool) -> bool {
        let Some(stream) = state.links.get(&id).and_then(|link| link.stream.clone()) else { return false };
        // Else with no look at the socket where the machine has told of nothing.
        let piece = &mut state.scratch[..4096];
        let read = match surely {
            true => retry_on_intr(|| rustix::net::recv(&stream, &mut *piece, RecvFlags::DONTWAIT))
                .map(|(count, _)| count)
                .map_err(Into::into),
            false => receive(&stream, piece),
        };
        let input = match read {
            Ok(count) if count > 0 => Input::Bytes(id, &state.scratch[..count]),
            read if would_block(&read) => return true,
            _ => {
                state.links.remove(&id);
                Input::Closed(id)
            }
        };
        state.core.handle(self.clock.now(), input, &mut state.outputs);
        false
    }

    /// Ends a connection's sending, and reads on for a moment.
    fn linger(self: &Arc<Self>, state: &mut State, id: ConnId) {
        let Some(link) = state.links.get_mut(&id) else { return };
        let Some(stream) = link.stream.clone() else { return };
        let _ = rustix::net::shutdown(&stream, rustix::net::Shutdown::Write);
        link.task.take().inspect(AbortHandle::abort);
        let own = self.clone();
        let lingers = async move {
            let _ = timeout(LINGER.0, linger(&stream)).await;
            own.ended(id);
        };
        link.task = Some(tokio::spawn(lingers).abort_handle());
    }

    /// Writes the last answer, with the end right behind it: no request can be on its way to a connection that its
    /// client learns is closed as soon as it has the answer.
    fn write_last(self: &Arc<Self>, state: &mut State, id: ConnId, bytes: Bytes) {
        let stream = state.links.get(&id).and_then(|link| link.stream.clone());
        match stream.map(|stream| try_write(&stream, &bytes)) {
            Some(Ok(count)) if count == bytes.len() => {
                self.linger(state, id);
                self.tell(state, Input::WriteClosed(id));
            }
            Some(Ok(count)) => self.write(state, id, bytes.slice(count..)),
            _ => self.write(state, id, bytes),
        }
    }

    fn write(self: &Arc<Self>, state: &mut State, id: ConnId, mut bytes: Bytes) {
        let Some(link) = state.links.get_mut(&id) else { return };
        let Some(stream) = link.stream.clone() else { return };
        let written = try_write(&stream, &bytes);
        match written {
            Ok(count) if count == bytes.len() => return self.tell(state, Input::Flushed(id)),
            Ok(count) => drop(bytes.split_to(count)),
            written if would_block(&written) => {}
            _ => {
                state.links.remove(&id);
                return self.tell(state, Input::Closed(id));
            }
        }
        let own = self.clone();
        let rest = async move {
            while stream.writable().await.is_ok() {
                // Nothing is written that the core takes back, and what is written it learns at once.
                let mut state = own.lock();
                if !state.links.contains_key(&id) {
                    return;
                }
                match try_write(&stream, &bytes) {
                    Ok(count) if count == bytes.len() => {
                        own.tell(&mut state, Input::Flushed(id));
                        return own.perform(&mut state);
                    }
                    Ok(count) => drop(bytes.split_to(count)),
                    written if would_block(&written) => {}
                    _ => break,
                }
            }
            own.ended(id);
        };
        link.writer = Some(tokio::spawn(rest).abort_handle());
    }
}

/// Reads on for a moment after the last answer: a close with input unread would reset the connection and
/// could take the answer away from the client.
async fn linger(stream: &TcpStream) {
    let mut sink = vec![0u8; 16 * 1024];
    let mut left = LINGER.1;
    while left > 0 {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read(&mut sink) {
            Ok(count) if count > 0 => left = left.saturating_sub(count),
            read if would_block(&read) => {}
            _ => return,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Read;

    use stonevane_config::operator;
    use stonevane_core::{CoreConfig, EndpointList};
    use stonevane_policy::settings::Deployment;
    use stonevane_policy::{RequestClass, Settings, Tenant};

    fn core(clock: Clock) -> Core {
        let one = |name: &str| vec![name.to_owned()];
        let settings = Settings {
            classes: vec![RequestClass::default()],
            tenants: vec![Tenant { quota_per_s: 1e3 }],
            ..Settings::default()
        };
        let deployment = Deployment {
            settings,
            classes: one("read"),
            tenants: one("all"),
            zones: one("a"),
            machine_types: one("cache"),
            connect_timeout: 100_000,
            idle_close: 10_000_000,
            max_open: 100,
            load_metric_names: Vec::new(),
        };
        let setup = CoreConfig {
            deployment,
            seed: 1,
            max_sockets: 64,
            memory_mb: 16,
            cached_list: EndpointList::default(),
            discovery: SocketAddr::from(([127, 0, 0, 1], 9)),
            clients: operator::Clients::default(),
            servers: operator::Servers::default(),
            has_store: false,
            notifies_caches: false,
            other_sockets: 0,
            can_be_replaced: false,
            excluded: Vec::new(),
            regions: None,
        };
        Core::new(clock.now(), setup)
    }

    #[test]
    fn a_client_between_requests_learns_of_its_connections_end_in_the_turn_that_decides_it() {
        // Found where the turn after went into slow files: clients wrote to connections that were closed over it.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let clock = Clock::start();
            let driver = Driver::new(core(clock), clock, Kept::new(None), None, None);
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            let listens = tokio::spawn(driver.clone().listen(listener));
            driver.input(Input::Wake);
            while driver.standing().0.connections == 0 {
                tokio::task::yield_now().await;
            }
            driver.input(Input::Terminate);
            // From here on the runtime gets no turn.
            std::thread::sleep(Duration::from_millis(600));
            driver.input(Input::Wake);
            assert_eq!(driver.standing().0.connections, 0, "it is closed");
            client.set_nonblocking(true).unwrap();
            assert_eq!(client.read(&mut [0]).map_err(|e| e.kind()), Ok(0), "and its client knows");
            listens.abort();
        });
    }
}
