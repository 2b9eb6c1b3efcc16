//! A cache server. It stores copies, queues work, warms up after a restart, becomes overloaded if it receives
//! too much work while it warms up, drops repeats of an idempotency key, drains, and limits its connections.

mod connection;
mod copies;
mod spec;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use stonevane_audit::{Effect, Event, HistoryRecord, TimeInterval};
use stonevane_codec::resp;
use stonevane_server_model::value::padded;
use stonevane_server_model::work::{Cores, WorkWindow, request_work_us, work_capacity};

use self::connection::Connection;
use self::copies::{Copies, Fill, Lifetime};
use crate::record::{MonotonicClock, Recorder};
use crate::request::{Attempt, IdempotencyKeys, PendingAnswers, Request, text_argument};
use crate::server::{Arrival, ConnectionPermit, Fault, Listeners, Reply, lock};

pub use self::spec::CacheSpec;

/// The work of a miss is the work of a read that hits, divided by this.
const MISS_WORK_DIVISOR: u64 = 10;
/// Minimum share of the server's capacity that is available while it warms up.
const MIN_WARM_UP_SHARE: f64 = 0.01;
/// Maximum number of requests that missed and are remembered, so that the origin may fill their copies.
const MAX_MISSES: usize = 4096;

/// Event counts of a cache server since it was created; a restart keeps them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Attempts received.
    pub attempts: u64,
    /// Reads answered from a copy.
    pub hits: u64,
    /// Reads of keys without a copy.
    pub misses: u64,
    /// Attempts rejected with `BUSY`.
    pub busy: u64,
    /// Number of times that the server became overloaded.
    pub falls: u64,
}

/// An emulated cache server, with one listener for each node.
pub struct Cache {
    /// Capacity, limits and times of the server.
    pub spec: CacheSpec,
    state: Mutex<State>,
    counts: Mutex<Counts>,
    open_connections: Arc<AtomicUsize>,
    recorder: Recorder,
    listeners: Mutex<Option<Listeners>>,
}

/// State of one process of the server; a restart replaces it.
struct State {
    copies: Copies,
    cores: Cores,
    recent_work: WorkWindow,
    /// Start time of a process that warms up, in microseconds of the monotonic clock; `None` for a process
    /// that started warm.
    started_us: Option<u64>,
    draining: bool,
    overloaded: bool,
    /// Number of the newest attempt; a write's number is its version.
    number: u64,
    misses: Misses,
    idempotency: IdempotencyKeys,
    answers: PendingAnswers<Answer>,
}

/// Data of an answer that the history records once the answer is written.
struct Answer {
    request: String,
    value: String,
    version: u64,
}

/// The newest requests that missed, with their keys. Only for these may the origin fill a copy.
#[derive(Default)]
struct Misses {
    keys: HashMap<String, String>,
    oldest_first: VecDeque<String>,
}

impl Misses {
    fn insert(&mut self, request: &Request) {
        if self.keys.insert(request.id.clone(), request.key.clone()).is_none() {
            self.oldest_first.push_back(request.id.clone());
        }
        if self.oldest_first.len() > MAX_MISSES {
            let oldest = self.oldest_first.pop_front().unwrap_or_default();
            self.keys.remove(&oldest);
        }
    }

    /// Forgets a request and returns whether it missed this key.
    fn take(&mut self, request: &str, key: &str) -> bool {
        self.keys.remove(request).is_some_and(|missed| missed == key)
    }
}

/// Result of looking a request up before its work is scheduled.
struct Lookup {
    /// Version of the answer; `None` for a miss.
    version: Option<u64>,
    /// The value, if a node has filled the copy.
    filled: Option<Bytes>,
    effect: Effect,
}

/// An attempt that is being processed.
struct Work<'a> {
    request: &'a Request,
    now: u64,
    number: u64,
}

impl State {
    fn new(spec: &CacheSpec, started_us: Option<u64>) -> State {
        State {
            copies: Copies::new(spec.objects),
            cores: Cores::new(spec.cores),
            recent_work: WorkWindow::default(),
            started_us,
            draining: false,
            overloaded: false,
            // Versions of a restarted process must exceed those of the previous one.
            number: started_us.unwrap_or(0),
            misses: Misses::default(),
            idempotency: IdempotencyKeys::default(),
            answers: PendingAnswers::default(),
        }
    }

    fn lookup(&mut self, request: &Request, number: u64, now: u64) -> Lookup {
        if request.write {
            return match self.idempotency.version(&request.token, now) {
                Some(version) => {
                    Lookup { version: Some(version), filled: None, effect: Effect::Deduplicated }
                }
                None => Lookup { version: Some(number), filled: None, effect: Effect::Ran },
            };
        }
        match self.copies.get(&request.key, now) {
            Some((version, filled)) => Lookup { version: Some(version), filled, effect: Effect::Ran },
            None => Lookup { version: None, filled: None, effect: Effect::Miss },
        }
    }

    /// Returns the start time of the process and the length of its warm-up; zeros for a process that started
    /// warm.
    fn warm_up(&self, spec: &CacheSpec) -> (u64, u64) {
        self.started_us.map_or((0, 0), |started_us| (started_us, spec.warm_up_us))
    }

    /// Adds an attempt's work to the window. Returns whether the added work overloads the process, which is
    /// possible only while it warms up.
    fn becomes_overloaded(&mut self, spec: &CacheSpec, now: u64, work_us: u64) -> bool {
        let (started_us, warm_us) = self.warm_up(spec);
        let window_us = self.recent_work.add(now, work_us, spec.overload_window_us);
        let window_start = now.saturating_sub(spec.overload_window_us).max(started_us);
        let capacity_us = work_capacity(
            spec.capacity(),
            spec.slow_start_share,
            started_us,
            warm_us,
            window_start,
            spec.overload_window_us,
        );
        let warming_up = warm_us > 0 && now < started_us + warm_us;
        warming_up && window_us as f64 > spec.overload_multiple * capacity_us && !self.overloaded
    }

    /// Schedules the work of an attempt and returns the time at which it is done; `None` if it is rejected.
    fn schedule(&mut self, spec: &CacheSpec, now: u64, work_us: u64) -> Option<u64> {
        if self.draining || self.overloaded {
            return None;
        }
        let (started_us, warm_us) = self.warm_up(spec);
        let share =
            work_capacity(1e6, spec.slow_start_share, started_us, warm_us, now, 1).max(MIN_WARM_UP_SHARE);
        self.cores.take(now, (work_us as f64 / share) as u64, spec.queue_us)
    }

    /// Applies the effect of an attempt to the copies, the idempotency keys and the counts.
    fn apply(&mut self, spec: &CacheSpec, work: &Work<'_>, effect: Effect, counts: &mut Counts) {
        match effect {
            Effect::Busy => counts.busy += 1,
            Effect::Miss => {
                counts.misses += 1;
                self.misses.insert(work.request);
            }
            Effect::Ran if work.request.write => {
                self.idempotency.remember(&work.request.token, work.number, work.now, spec.dedup_us);
                self.copies.remove(&work.request.key);
            }
            Effect::Ran => counts.hits += 1,
            Effect::Deduplicated | Effect::NotReceived => {}
        }
    }

    /// Returns the bytes of an answer, and remembers its data until it is written.
    fn answer(&mut self, spec: &CacheSpec, work: &Work<'_>, lookup: &Lookup, effect: Effect) -> Bytes {
        if effect == Effect::Busy {
            return Bytes::from_static(b"-BUSY\r\n");
        }
        let request = work.request.id.clone();
        let Some(version) = lookup.version.filter(|_| matches!(effect, Effect::Ran | Effect::Deduplicated))
        else {
            let min_version = self.copies.min_version(&work.request.key, work.now);
            self.answers.insert(work.number, Answer { request, value: String::new(), version: 0 });
            return miss(min_version);
        };
        let value = match &lookup.filled {
            Some(filled) => unique_part(filled),
            None => work.request.value(version, &spec.name, work.number),
        };
        let bytes = hit(&padded(&value, spec.value_len));
        self.answers.insert(work.number, Answer { request, value, version });
        bytes
    }
}

/// Returns the unique part of a value: the text before the first space.
fn unique_part(value: &[u8]) -> String {
    String::from_utf8_lossy(value).split(' ').next().unwrap_or_default().to_owned()
}

fn hit(value: &str) -> Bytes {
    let mut out = BytesMut::from(&b"*3\r\n"[..]);
    resp::put_bulk(&mut out, value.as_bytes());
    out.extend_from_slice(b"$-1\r\n$-1\r\n");
    out.freeze()
}

/// Returns the answer to a miss. If a node has invalidated the key, the answer names the lowest version that
/// a fetch may return.
fn miss(min_version: Option<u64>) -> Bytes {
    let mut out = BytesMut::from(&b"*3\r\n$-1\r\n"[..]);
    match min_version {
        Some(version) => resp::put_bulk(&mut out, format!("miss:{version}").as_bytes()),
        None => out.extend_from_slice(b"$-1\r\n"),
    }
    out.extend_from_slice(b"$-1\r\n");
    out.freeze()
}

impl Cache {
    /// Starts a warmed-up server with a listener for each node.
    ///
    /// # Errors
    /// Fails if a listener can't be bound.
    pub async fn start(
        spec: CacheSpec,
        nodes: &[(String, SocketAddr)],
        clock: &MonotonicClock,
        recorder: Recorder,
    ) -> std::io::Result<Arc<Cache>> {
        let cache = Arc::new(Cache {
            state: Mutex::new(State::new(&spec, None)),
            counts: Mutex::default(),
            open_connections: Arc::default(),
            listeners: Mutex::default(),
            recorder,
            spec,
        });
        cache.record_start(MonotonicClock::moment(), 0);
        let server = cache.clone();
        let connect = move |node: &str| {
            let permit = ConnectionPermit::acquire(&server.open_connections, server.spec.connections)?;
            Some(Connection { cache: server.clone(), node: node.into(), _permit: permit })
        };
        let listeners = Listeners::open(nodes, clock, connect).await?;
        *lock(&cache.listeners) = Some(listeners);
        Ok(cache)
    }

    /// Returns the address at which a node reaches the server.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        lock(&self.listeners).as_ref().and_then(|listeners| listeners.address(node))
    }

    /// Returns the event counts so far.
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    /// Sets the fault for one node, or for all if `node` is `None`.
    pub fn set_fault(&self, node: Option<&str>, fault: Fault) {
        if fault == Fault::Dead && node.is_none() {
            let (moment, name) = (MonotonicClock::moment(), self.spec.name.clone());
            self.recorder.record(HistoryRecord {
                time: moment,
                recorder: name,
                event: Event::Down,
                ..HistoryRecord::default()
            });
        }
        self.set_listener_faults(node, fault);
    }

    fn set_listener_faults(&self, node: Option<&str>, fault: Fault) {
        if let Some(listeners) = &*lock(&self.listeners) {
            listeners.set_fault(node, fault);
        }
    }

    /// Restarts the process without copies and in slow start. Returns the time of the restart, in
    /// microseconds of the monotonic clock.
    pub fn restart(&self) -> u64 {
        let moment = MonotonicClock::moment();
        *lock(&self.state) = State::new(&self.spec, Some(moment.earliest));
        self.record_start(moment, self.spec.warm_up_us);
        self.set_listener_faults(None, Fault::None);
        moment.earliest
    }

    /// Starts or ends draining: new work is rejected, work in flight is finished.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.state).draining = draining;
    }

    /// Stores a copy before the run begins.
    pub fn preload(&self, key: &str, version: u64) {
        lock(&self.state).copies.insert(key, version);
    }

    /// Stores the copy that the origin returned for a request if the request missed here; returns whether it
    /// was stored.
    pub(crate) fn fill(&self, request: &str, key: &str, version: u64) -> bool {
        let mut state = lock(&self.state);
        let missed = state.misses.take(request, key);
        if missed {
            state.copies.insert(key, version);
        }
        missed
    }

    /// Removes the copy of a key that has been written at the origin.
    pub(crate) fn invalidate(&self, key: &str) {
        lock(&self.state).copies.remove(key);
    }

    /// Executes a command that fills or invalidates a copy; `None` for other commands, `Some(false)` for a
    /// malformed one.
    ///
    /// `LAB.FILL KEY REQUEST VERSION` and `LAB.VOID KEY` come from an origin in another process; `OBJ.FILL
    /// KEY VERSION MS VALUE` and `OBJ.VOID KEY VERSION MS` come from nodes that use a store of record.
    fn copy_command(&self, arguments: &[Bytes], now: u64) -> Option<bool> {
        let number =
            |index: usize| text_argument(arguments, index).and_then(|argument| argument.parse::<u64>().ok());
        let done = match (text_argument(arguments, 0)?, text_argument(arguments, 1)) {
            ("OBJ.VOID", Some(key)) => number(2).zip(number(3)).map(|(version, ms)| {
                let lifetime = Lifetime::from_ms(now, ms);
                lock(&self.state).copies.invalidate_below(key, version, lifetime);
            }),
            ("OBJ.FILL", Some(key)) => {
                number(2).zip(number(3)).zip(arguments.get(4)).map(|((version, ms), value)| {
                    let fill = Fill { version, value: value.clone(), lifetime: Lifetime::from_ms(now, ms) };
                    lock(&self.state).copies.fill(key, fill);
                })
            }
            ("LAB.VOID", Some(key)) => {
                self.invalidate(key);
                Some(())
            }
            ("LAB.FILL", Some(key)) => {
                text_argument(arguments, 2).zip(number(3)).map(|(request, version)| {
                    self.fill(request, key, version);
                })
            }
            ("LAB.FILL" | "LAB.VOID", None) => None,
            _ => return None,
        };
        Some(done.is_some())
    }

    /// Processes an attempt and returns its reply.
    fn serve(&self, node: &str, request: &Request, arrival: Arrival) -> Reply {
        let now = arrival.last_byte.latest;
        let spec = &self.spec;
        let mut state = lock(&self.state);
        let mut counts = lock(&self.counts);
        state.number += 1;
        counts.attempts += 1;
        let number = state.number;
        let lookup = state.lookup(request, number, now);
        let full_work_us = request_work_us(spec.work_us, spec.work_cv, &request.id);
        let work_us = if lookup.version.is_some() { full_work_us } else { full_work_us / MISS_WORK_DIVISOR };
        if state.becomes_overloaded(spec, now, work_us) {
            state.overloaded = true;
            counts.falls += 1;
            self.record_overload(arrival.last_byte);
        }
        let done_at_us = state.schedule(spec, now, work_us);
        let effect = if done_at_us.is_some() { lookup.effect } else { Effect::Busy };
        let work = Work { request, now, number };
        state.apply(spec, &work, effect, &mut counts);
        let attempt = Attempt { number, effect, work_us };
        self.recorder.record(request.attempt_line(&spec.name, node, arrival, attempt));
        let bytes = state.answer(spec, &work, &lookup, effect);
        let cross_zone_rtt_us = spec.cross_zone_rtt_us.get(node).copied().unwrap_or(0);
        Reply { due_us: done_at_us.unwrap_or(now) + cross_zone_rtt_us, bytes, number }
    }

    fn record_start(&self, interval: TimeInterval, warm_us: u64) {
        self.recorder.record(HistoryRecord {
            time: interval,
            recorder: self.spec.name.clone(),
            event: Event::Start,
            zone: self.spec.zone.clone(),
            cell: self.spec.cell.into(),
            capacity_us_per_s: self.spec.capacity(),
            cold_share: self.spec.slow_start_share,
            warm_us,
            started_at: if warm_us == 0 { 0 } else { interval.earliest },
            ..HistoryRecord::default()
        });
    }

    fn record_overload(&self, interval: TimeInterval) {
        tracing::warn!(server = self.spec.name, "cache server became overloaded");
        let (name, state) = (self.spec.name.clone(), "fell over".to_owned());
        self.recorder.record(HistoryRecord {
            time: interval,
            recorder: name,
            event: Event::Fault,
            state,
            ..HistoryRecord::default()
        });
    }

    /// Records that an answer has been written.
    fn record_reply(&self, number: u64) {
        let Some(Answer { request, value, version }) = lock(&self.state).answers.remove(number) else {
            return;
        };
        let line = self.answer_line(Event::Reply, request, number);
        self.recorder.record(HistoryRecord { value, version, ..line });
    }

    /// Records that an attempt ended without a complete answer.
    fn record_attempt_ended(&self, number: u64) {
        let Some(answer) = lock(&self.state).answers.remove(number) else { return };
        self.recorder.record(self.answer_line(Event::AttemptEnded, answer.request, number));
    }

    fn answer_line(&self, event: Event, request: String, number: u64) -> HistoryRecord {
        let (moment, name) = (MonotonicClock::moment(), self.spec.name.clone());
        HistoryRecord { time: moment, recorder: name, event, request, number, ..HistoryRecord::default() }
    }
}
