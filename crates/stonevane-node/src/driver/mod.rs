//! Drives the core ([`stonevane_core::Core`]): opens, reads, writes and closes sockets and runs timers. All
//! decisions are the core's.
//!
//! Each connection has a task that waits until the connection is readable. A task that passes an input to the
//! core performs the resulting outputs itself, so that no channel and no other task lies between a client's
//! bytes and the server's socket.

mod client_sockets;
mod listener;
mod operator_calls;
mod reading;
mod server_sockets;
mod socket;
#[cfg(test)]
mod tests;
mod timers;
mod writing;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use foldhash::{HashMap, HashMapExt};
use stonevane_core::{ConnId, Core, HandoverStatus, Input, LogLine, Output, Outputs};
use stonevane_policy::Micros;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;

use crate::clock::Clock;
use crate::discovery::Discovery;
use crate::exclusions::Exclusions;
use crate::log::log;
use crate::membership::Membership;
use crate::poll_time::PollTime;
use crate::store::OriginStore;

use listener::ListenerState;
use reading::InputCheck;
use socket::is_everything_sent;
use timers::WakeTimer;

/// Size of the buffer for one read of a connection.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// A connection, or a call to the store, which has no stream. Dropping it closes the connection or abandons
/// the call.
struct Connection {
    /// `None` while the connection is being opened, and for a call to the store.
    stream: Option<Arc<TcpStream>>,
    /// Task that reads the connection, or waits for the store's reply.
    reader: Option<AbortHandle>,
    /// Task that writes the bytes that the kernel did not take at once.
    writer: Option<AbortHandle>,
    /// Notified when the core, which had paused reading, resumes it.
    resume: Arc<Notify>,
}

impl Connection {
    fn new(stream: Option<Arc<TcpStream>>, reader: AbortHandle, resume: Arc<Notify>) -> Connection {
        Connection { stream, reader: Some(reader), writer: None, resume }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        for task in self.reader.iter().chain(&self.writer) {
            task.abort();
        }
    }
}

/// The core, its pending outputs, and the objects that they act on.
struct State {
    core: Core,
    outputs: Outputs,
    connections: HashMap<ConnId, Connection>,
    read_buffer: Box<[u8]>,
    discovery: Option<Discovery>,
    /// Publishes the addresses of the caches if these receive fills and invalidations.
    caches: Option<watch::Sender<Vec<SocketAddr>>>,
}

impl State {
    fn stream(&self, id: ConnId) -> Option<Arc<TcpStream>> {
        self.connections.get(&id)?.stream.clone()
    }

    /// Returns whether the kernel has sent everything that was written to a connection.
    fn has_sent_everything(&self, id: ConnId) -> bool {
        self.stream(id).is_none_or(|stream| is_everything_sent(&stream))
    }
}

/// Drives one core. Shared by all tasks of the process.
pub struct Driver {
    state: Mutex<State>,
    clock: Clock,
    last_poll: PollTime,
    exclusions: Exclusions,
    /// Store of record that replaces the origin, if the operator configures one.
    store: Option<Arc<OriginStore>>,
    membership: Option<Arc<Membership>>,
    /// Version of the endpoint list in use; 0 without a list.
    list_version: Arc<AtomicU64>,
    timer: WakeTimer,
    listener: ListenerState,
    finished: Notify,
}

impl Driver {
    /// Returns a driver of a core that has not handled any input yet.
    pub fn new(
        core: Core,
        clock: Clock,
        last_poll: PollTime,
        exclusions: Exclusions,
        store: Option<Arc<OriginStore>>,
        membership: Option<Arc<Membership>>,
    ) -> Arc<Driver> {
        let list_version = Arc::new(AtomicU64::new(core.list_version().unwrap_or(0)));
        let state = State {
            core,
            outputs: Outputs::new(),
            connections: HashMap::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES].into(),
            discovery: None,
            caches: None,
        };
        let driver = Arc::new(Driver {
            state: Mutex::new(state),
            clock,
            last_poll,
            exclusions,
            store,
            membership,
            list_version,
            timer: WakeTimer::default(),
            listener: ListenerState::default(),
            finished: Notify::new(),
        });
        driver.connect_discovery();
        driver.connect_store();
        driver
    }

    /// Connects discovery to the core: whatever discovery receives becomes an input.
    fn connect_discovery(self: &Arc<Self>) {
        let driver = Arc::downgrade(self);
        let sink = Arc::new(move |input: Input<'static>| {
            if let Some(driver) = driver.upgrade() {
                driver.input(input);
            }
        });
        let mut state = self.lock();
        let memory = state.core.memory_account();
        state.discovery = Some(Discovery::new(self.list_version.clone(), sink).with_memory(memory));
    }

    /// Starts the store, which notifies the core while it is unavailable.
    fn connect_store(self: &Arc<Self>) {
        let Some(store) = &self.store else { return };
        let driver = Arc::downgrade(self);
        let unavailable = Box::new(move |duration| {
            if let Some(driver) = driver.upgrade() {
                driver.input(Input::OriginUnavailable(duration));
            }
        });
        let memory = self.lock().core.memory_account();
        self.lock().caches = store.start(unavailable, memory);
    }

    /// Accepts clients and runs timers until the node has drained, then closes all connections.
    pub async fn run(self: &Arc<Self>, listener: TcpListener) {
        let accepting = tokio::spawn(self.clone().accept_clients(listener));
        let timer = tokio::spawn(self.clone().run_timer());
        self.input(Input::Wake);
        self.finished.notified().await;
        accepting.abort();
        timer.abort();
        self.lock().connections.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an input to the core and performs the outputs.
    pub fn input(self: &Arc<Self>, input: Input<'_>) {
        let mut state = self.lock();
        self.handle(&mut state, input);
        self.perform_outputs(&mut state);
    }

    /// Returns the part of the node's capacity that this process uses, and its stage in the handover.
    pub fn handover_status(&self) -> HandoverStatus {
        self.lock().core.handover_status()
    }

    fn handle(&self, state: &mut State, input: Input<'_>) {
        state.core.on_poll(self.last_poll.last());
        state.core.handle(self.clock.now(), input, &mut state.outputs);
    }

    /// Performs all outputs, including those that result from performing them. Then applies the core's
    /// current state: list version, accepting, next timeout.
    fn perform_outputs(self: &Arc<Self>, state: &mut State) {
        while let Some(output) = state.outputs.pop_front() {
            self.perform(state, output);
        }
        self.list_version.store(state.core.list_version().unwrap_or(0), Ordering::Relaxed);
        self.listener.set_accepting(state.core.accepts());
        self.timer.wake_by(state.core.next_timeout().unwrap_or(Micros::MAX));
    }

    fn perform(self: &Arc<Self>, state: &mut State, output: Output) {
        match output {
            Output::Write(id, bytes) => self.write(state, id, bytes),
            Output::WriteAndClose(id, bytes) => self.write_last(state, id, bytes),
            Output::WriteRequest { id, bytes, check_socket } => {
                let check = if check_socket { InputCheck::Socket } else { InputCheck::Readiness };
                self.write_request(state, id, bytes, check);
            }
            Output::Open(id, address) => self.open(state, id, address),
            Output::CallStore(id, call) => self.call_store(state, id, call),
            Output::Close(id) => drop(state.connections.remove(&id)),
            Output::CloseIfIdle(id) => self.close_if_idle(state, id),
            Output::CloseWrite(id) => self.close_write(state, id),
            Output::Resume(id) => {
                if let Some(connection) = state.connections.get(&id) {
                    connection.resume.notify_one();
                }
            }
            Output::Discovery(call) => {
                if let Some(discovery) = &mut state.discovery {
                    discovery.call(call);
                }
            }
            Output::CachesChanged(addresses) => {
                if let Some(caches) = &state.caches {
                    caches.send_replace(addresses);
                }
            }
            Output::Draining => self.listener.drain(),
            Output::Replaced => self.listener.stop(),
            Output::Log(LogLine::Info(line)) => log(&line),
            Output::Log(LogLine::Error(line)) => log(&format!("error: {line}")),
            Output::Done => self.finished.notify_one(),
        }
    }
}
