//! Calls to discovery: the whole endpoint list, and the watch on its changes.

mod call;
mod error;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stonevane_core::{DiscoveryCall, DiscoveryRequest, Input, MemoryAccount};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

use crate::clock::to_micros;
use crate::log::log;
use call::{CallContext, receive_lists};
use error::{CallError, call_end};
use watch::{UnansweredWatch, run_watch, watch_path};

/// Path of the whole endpoint list.
const LIST_PATH: &str = "/v1/servers";

/// Callback that passes endpoint lists, and the ends of calls, to the core.
pub type InputSink = Arc<dyn Fn(Input<'static>) + Send + Sync>;

/// Byte counts of calls to discovery, without the headers of IP and TCP.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes of requests.
    pub sent: AtomicU64,
    /// Bytes of responses.
    pub received: AtomicU64,
}

impl Traffic {
    fn add(counter: &AtomicU64, bytes: usize) {
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Calls to discovery that are in flight: at most one watch, one earlier watch that was not answered in time,
/// and one call for the whole list.
pub struct Discovery {
    /// Version of the endpoint list in use; 0 without a list.
    list_version: Arc<AtomicU64>,
    sink: InputSink,
    traffic: Arc<Traffic>,
    memory: Option<MemoryAccount>,
    watch: Option<AbortHandle>,
    unanswered: UnansweredWatch,
    fetch: Option<AbortHandle>,
}

impl Discovery {
    /// Returns a client without calls. The caller keeps `list_version` at the version of the list in use; 0
    /// without a list.
    pub fn new(list_version: Arc<AtomicU64>, sink: InputSink) -> Self {
        Discovery {
            list_version,
            sink,
            traffic: Arc::default(),
            memory: None,
            watch: None,
            unanswered: UnansweredWatch::default(),
            fetch: None,
        }
    }

    /// Counts bytes in `traffic`, which several clients can share.
    pub fn with_traffic(self, traffic: Arc<Traffic>) -> Self {
        Discovery { traffic, ..self }
    }

    /// Counts long lists in the memory budget while they are received.
    pub fn with_memory(self, memory: MemoryAccount) -> Self {
        Discovery { memory: Some(memory), ..self }
    }

    /// Makes the requested call, or ends calls.
    pub fn call(&mut self, call: DiscoveryCall) {
        let context = CallContext {
            sink: self.sink.clone(),
            epoch: call.epoch,
            timeouts: call.timeouts,
            traffic: self.traffic.clone(),
            memory: self.memory.clone(),
        };
        match call.request {
            DiscoveryRequest::Watch { after } => self.watch(call.address, after, context),
            DiscoveryRequest::StopWatch => self.stop_watch(),
            DiscoveryRequest::FetchList => self.fetch_list(call.address, context),
            DiscoveryRequest::WatchAgent => self.watch_agent(call.address, context),
            DiscoveryRequest::CancelAll => self.cancel_all(),
        }
    }

    /// Ends all calls.
    pub fn cancel_all(&mut self) {
        self.fetch.take().inspect(AbortHandle::abort);
        self.stop_watch();
    }

    fn stop_watch(&mut self) {
        self.watch.take().inspect(AbortHandle::abort);
        self.unanswered.cancel();
    }

    fn watch(&mut self, address: SocketAddr, after: Option<u64>, context: CallContext) {
        self.watch.take().inspect(AbortHandle::abort);
        let unanswered = self.unanswered.clone();
        let task = async move {
            let mut last_received = Instant::now();
            let result = run_watch(address, after, &context, &unanswered, &mut last_received).await;
            let end = call_end(&result);
            log_watch_end(result);
            let silence = to_micros(last_received.elapsed());
            (context.sink)(Input::call_ended(end, context.epoch, silence));
        };
        self.watch = Some(tokio::spawn(task).abort_handle());
    }

    fn fetch_list(&mut self, address: SocketAddr, context: CallContext) {
        self.fetch.take().inspect(AbortHandle::abort);
        let task = async move {
            if let Err(error) = receive_lists(address, LIST_PATH, &context).await {
                log(&format!("discovery: {error}"));
                (context.sink)(Input::ListFailed(context.epoch));
            }
        };
        self.fetch = Some(tokio::spawn(task).abort_handle());
    }

    /// Watches an agent on this machine, to which lists are pushed. A list counts as delivered once the agent
    /// has it, whether or not a watch is open, so the next watch is opened after a constant delay.
    fn watch_agent(&mut self, address: SocketAddr, context: CallContext) {
        self.watch.take().inspect(AbortHandle::abort);
        let list_version = self.list_version.clone();
        let reconnect_delay = Duration::from_micros(context.timeouts.reconnect_delay);
        let task = async move {
            loop {
                let version = list_version.load(Ordering::Relaxed);
                let path = watch_path((version > 0).then_some(version));
                let _ = receive_lists(address, &path, &context).await;
                sleep(reconnect_delay).await;
            }
        };
        self.watch = Some(tokio::spawn(task).abort_handle());
    }
}

fn log_watch_end(result: Result<(), CallError>) {
    match result {
        Ok(()) => log("discovery: the watch has ended"),
        Err(error) => log(&format!("discovery: {error}")),
    }
}
