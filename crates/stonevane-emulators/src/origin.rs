//! The origin: a slow store of fixed capacity that queues work, and stops for a time when it is overloaded.

mod connection;
mod remote;
mod spec;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};

use bytes::Bytes;
use stonevane_audit::{Effect, Event, HistoryRecord, TimeInterval};
use stonevane_server_model::value::padded;
use stonevane_server_model::work::{Cores, WorkWindow, request_work_us};

use self::connection::Connection;
use self::remote::RemoteCaches;
use crate::cache::Cache;
use crate::record::{MonotonicClock, Recorder};
use crate::request::{Attempt, IdempotencyKeys, PendingAnswers, Request};
use crate::server::{Arrival, Fault, Listeners, Reply, lock};

pub use self::spec::OriginSpec;

/// Divisor of a write's work that gives the work of a repeat that is dropped.
const REPEAT_WORK_DIVISOR: u64 = 10;
/// Maximum number of cache servers that one fetch fills; only cache servers that missed for the same request
/// are filled.
const FILLED_CACHES: usize = 2;

struct State {
    cores: Cores,
    recent_work: WorkWindow,
    /// Version of each key that has been written; all other keys have version 0.
    versions: HashMap<String, u64>,
    newest_version: u64,
    idempotency: IdempotencyKeys,
    number: u64,
    answers: PendingAnswers<Answer>,
    falls: u64,
    reads: u64,
    writes: u64,
    /// Time until which the origin answers nothing, not even with a rejection, in microseconds.
    stopped_until: u64,
}

/// Data from which an answer is produced when it is due.
struct Answer {
    request: Request,
    version: u64,
    effect: Effect,
}

/// Whether an answer reaches the node complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Complete,
    /// A fault or the end of the connection keeps the answer from arriving complete.
    Failed,
}

/// Event counts of the origin since its start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Reads received.
    pub reads: u64,
    /// Writes received, including dropped repeats.
    pub writes: u64,
    /// Number of times that overload stopped the origin.
    pub falls: u64,
    /// Highest work within one overload window, as a multiple of the origin's capacity.
    pub peak: f64,
}

/// An emulated origin.
pub struct Origin {
    /// Capacity, limits and times of the origin.
    pub spec: OriginSpec,
    state: Mutex<State>,
    caches: Mutex<Vec<Weak<Cache>>>,
    remote_caches: Mutex<RemoteCaches>,
    recorder: Recorder,
    listeners: Mutex<Option<Listeners>>,
}

impl State {
    fn new(spec: &OriginSpec) -> State {
        State {
            cores: Cores::new(spec.slots),
            recent_work: WorkWindow::default(),
            versions: HashMap::new(),
            newest_version: 0,
            idempotency: IdempotencyKeys::default(),
            number: 0,
            answers: PendingAnswers::default(),
            falls: 0,
            reads: 0,
            writes: 0,
            stopped_until: 0,
        }
    }

    fn stop_until(&mut self, until: u64) {
        self.stopped_until = self.stopped_until.max(until);
        self.cores.stop_until(until);
    }

    /// Returns the version of an earlier write with the same idempotency key.
    fn repeated_version(&self, request: &Request, now: u64) -> Option<u64> {
        if !request.write || request.token.is_empty() {
            return None;
        }
        self.idempotency.version(&request.token, now)
    }

    /// Adds work to the window and returns whether it overloads the origin, which then stops for a time.
    fn overloads(&mut self, spec: &OriginSpec, now: u64, work_us: u64) -> bool {
        let window_us = self.recent_work.add(now, work_us, spec.overload_window_us) as f64;
        let overloaded =
            window_us > spec.overload_multiple * spec.capacity() / 1e6 * spec.overload_window_us as f64;
        if overloaded {
            self.stop_until(now + spec.overload_stop_us);
            self.recent_work.clear();
            self.falls += 1;
        }
        overloaded
    }

    /// Applies a write and returns its version.
    fn write(&mut self, request: &Request, now: u64, dedup_us: u64) -> u64 {
        self.newest_version += 1;
        let version = self.newest_version;
        self.versions.insert(request.key.clone(), version);
        if !request.token.is_empty() {
            self.idempotency.remember(&request.token, version, now, dedup_us);
        }
        version
    }
}

impl Origin {
    /// Starts the origin with a listener for each node.
    ///
    /// # Errors
    /// Fails if a listener can't be bound.
    pub async fn start(
        spec: OriginSpec,
        nodes: &[(String, SocketAddr)],
        clock: &MonotonicClock,
        recorder: Recorder,
    ) -> std::io::Result<Arc<Origin>> {
        let origin = Arc::new(Origin {
            state: Mutex::new(State::new(&spec)),
            spec,
            caches: Mutex::default(),
            remote_caches: Mutex::default(),
            recorder,
            listeners: Mutex::default(),
        });
        let server = origin.clone();
        let connect = move |node: &str| Some(Connection { origin: server.clone(), node: node.into() });
        let listeners = Listeners::open(nodes, clock, connect).await?;
        *lock(&origin.listeners) = Some(listeners);
        Ok(origin)
    }

    /// Attaches cache servers of this process: a fetch fills those that missed, and a write invalidates their
    /// copies.
    pub fn attach(&self, caches: &[Arc<Cache>]) {
        *lock(&self.caches) = caches.iter().map(Arc::downgrade).collect();
    }

    /// Attaches cache servers of other processes, which receive fills and invalidations as commands.
    pub fn attach_remote(&self, caches: &[SocketAddr]) {
        *lock(&self.remote_caches) = RemoteCaches::connect(caches);
    }

    /// Returns the address at which a node reaches the origin.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        lock(&self.listeners).as_ref().and_then(|listeners| listeners.address(node))
    }

    /// Sets the fault for one node, or for all if `node` is `None`.
    pub fn set_fault(&self, node: Option<&str>, fault: Fault) {
        if let Some(listeners) = &*lock(&self.listeners) {
            listeners.set_fault(node, fault);
        }
    }

    /// Stops all work for `for_us` microseconds.
    pub fn stop(&self, for_us: u64) {
        lock(&self.state).stop_until(MonotonicClock::now() + for_us);
    }

    /// Returns the event counts so far.
    pub fn counts(&self) -> Counts {
        let state = lock(&self.state);
        let window_capacity_us = self.spec.capacity() / 1e6 * self.spec.overload_window_us as f64;
        let peak = state.recent_work.peak_us as f64 / window_capacity_us;
        Counts { reads: state.reads, writes: state.writes, falls: state.falls, peak }
    }

    /// Processes an attempt; the bytes of the reply are produced when it is due.
    fn serve(&self, node: &str, request: Request, arrival: Arrival) -> Reply {
        let now = arrival.last_byte.latest;
        let spec = &self.spec;
        let mut state = lock(&self.state);
        state.number += 1;
        let number = state.number;
        let repeated = state.repeated_version(&request, now);
        let mean_work_us = match (request.write, repeated) {
            (false, _) => spec.read_us,
            (true, None) => spec.write_us,
            (true, Some(_)) => spec.write_us / REPEAT_WORK_DIVISOR,
        };
        let work_us = request_work_us(mean_work_us, spec.work_cv, &request.id);
        if state.overloads(spec, now, work_us) {
            self.record_stop(arrival.last_byte);
        }
        let done_at_us = state.cores.take(now, work_us, spec.queue_us);
        let effect = match (done_at_us, repeated) {
            (None, _) => Effect::Busy,
            (_, Some(_)) => Effect::Deduplicated,
            _ => Effect::Ran,
        };
        match request.write {
            true => state.writes += 1,
            false => state.reads += 1,
        }
        let mut version = repeated.unwrap_or(0);
        if effect == Effect::Ran && request.write {
            // A write takes effect when it is accepted: copies filled from now on have the new version.
            version = state.write(&request, now, spec.dedup_us);
            self.invalidate_copies(&request.key);
        }
        let attempt = Attempt { number, effect, work_us };
        let line = request.attempt_line(&spec.name, node, arrival, attempt);
        self.recorder.record(HistoryRecord { origin: true, ..line });
        state.answers.insert(number, Answer { request, version, effect });
        let cross_zone_rtt_us = spec.cross_zone_rtt_us.get(node).copied().unwrap_or(0);
        let due_us = done_at_us.unwrap_or(now.max(state.stopped_until)) + cross_zone_rtt_us;
        Reply { due_us, bytes: Bytes::new(), number }
    }

    fn invalidate_copies(&self, key: &str) {
        for cache in lock(&self.caches).iter().filter_map(Weak::upgrade) {
            cache.invalidate(key);
        }
        lock(&self.remote_caches).invalidate(key);
    }

    fn fill_copies(&self, request: &Request, version: u64) {
        let caches = lock(&self.caches);
        let fills = |cache: &Arc<Cache>| cache.fill(&request.id, &request.key, version);
        let _ = caches.iter().filter_map(Weak::upgrade).filter(fills).take(FILLED_CACHES).count();
        drop(caches);
        lock(&self.remote_caches).fill(&request.key, &request.id, version);
    }

    /// Returns the bytes of an answer, and fills the copies if a read is delivered.
    fn finish(&self, number: u64, delivery: Delivery) -> Bytes {
        let mut state = lock(&self.state);
        let Some(Answer { request, mut version, effect }) = state.answers.remove(number) else {
            return Bytes::new();
        };
        if effect == Effect::Ran && !request.write {
            // A read returns the version that is current when its answer is written.
            version = state.versions.get(&request.key).copied().unwrap_or(0);
        }
        drop(state);
        let busy = effect == Effect::Busy;
        if delivery == Delivery::Complete && !request.write && !busy {
            self.fill_copies(&request, version);
        }
        let value = request.value(version, &self.spec.name, number);
        let recorded_value = if busy { String::new() } else { value.clone() };
        self.record_answer(request.id, number, delivery, recorded_value, version);
        if busy {
            return Bytes::from_static(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
            );
        }
        let body = padded(&value, self.spec.value_len);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into()
    }

    fn record_stop(&self, interval: TimeInterval) {
        tracing::warn!(server = self.spec.name, "origin overloaded, work stopped");
        let (name, state) = (self.spec.name.clone(), "stopped".to_owned());
        self.recorder.record(HistoryRecord {
            time: interval,
            recorder: name,
            event: Event::Fault,
            state,
            ..HistoryRecord::default()
        });
    }

    fn record_answer(&self, request: String, number: u64, delivery: Delivery, value: String, version: u64) {
        let (moment, name) = (MonotonicClock::moment(), self.spec.name.clone());
        let line = HistoryRecord {
            time: moment,
            recorder: name,
            request,
            number,
            event: Event::AttemptEnded,
            ..HistoryRecord::default()
        };
        self.recorder.record(match delivery {
            Delivery::Complete => HistoryRecord { event: Event::Reply, value, version, ..line },
            Delivery::Failed => line,
        });
    }
}
