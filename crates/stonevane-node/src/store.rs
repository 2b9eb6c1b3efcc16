//! The store of record in the origin's place: a fetch or an edit is a call to SQLite or PostgreSQL. All fetches of a
//! key that are out at once share one query, whoever of them leaves. Before the store stands a breaker: when it stops
//! answering, the decision module is told for how long calls are no use.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use oorandom::Rand64;
use stonevane_config::operator;
use stonevane_core::{Reply, StoreCall};
use stonevane_policy::{AttemptStatus, Idempotency, Micros};
use stonevane_store::breaker::{self, Breaker, State, Word};
use stonevane_store::flight::{FlightId, Flights, Joined, JoinerId, Limits};
use stonevane_store::{Change, Edit, Postgres, Sqlite, Store, StoreError, postgres, quick, sqlite};
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::cache_updates::Teller;
use crate::log::log;

/// Repeats of a keyed edit are known for this long at the least, milliseconds.
const REMEMBER_MS: u64 = 60_000;

/// Own receipts, and own edits without an answer, of which the store's word on the change is awaited.
const AWAITED: usize = 256;

/// A value that a fetch brought, with its version; 0 where the store holds nothing.
#[derive(Clone)]
struct Value {
    bytes: Bytes,
    version: u64,
    /// Whether caches may keep it.
    keep: bool,
}

/// Whom the breaker tells for how long calls are no use, microseconds; 0: it answers again.
pub type Shut = Box<dyn Fn(Micros) + Send + Sync>;

/// What a fetch brought: the value, or why there is none.
type Fetched = Result<Value, StoreError>;

/// What it has counted.
#[derive(Debug, Default)]
struct Counts {
    queries: AtomicU64,
    joined: AtomicU64,
    edits: AtomicU64,
    stops: AtomicU64,
    again: AtomicU64,
    heard: AtomicU64,
    settled: AtomicU64,
}

/// Own edits whose changes the store will tell of, the oldest first; bounded by [`AWAITED`].
#[derive(Default)]
struct Own {
    /// Versions of receipts: their fences are over.
    receipts: VecDeque<u64>,
    /// Keys of edits that may have been done, and had no answer.
    unanswered: VecDeque<String>,
    /// Changes that were heard of: an edit's own can come before it is known that it has no answer.
    heard: VecDeque<Change>,
}

/// Takes an element out of a queue; whether it was there.
fn taken<T: PartialEq>(queue: &mut VecDeque<T>, element: &T) -> bool {
    let at = queue.iter().position(|other| other == element);
    at.is_some_and(|at| queue.remove(at).is_some())
}

fn noted<T>(queue: &mut VecDeque<T>, element: T) {
    if queue.len() == AWAITED {
        queue.pop_front();
    }
    queue.push_back(element);
}

/// Fetches that are out, and those who wait for them.
struct Sharing {
    flights: Flights<String>,
    waiting: HashMap<JoinerId, oneshot::Sender<Fetched>>,
    fetching: HashMap<FlightId, AbortHandle>,
    next: JoinerId,
}

/// The breaker, and what it needs: a clock and chance.
struct Guard {
    breaker: Breaker,
    epoch: Instant,
    chance: Rand64,
}

struct Inner {
    store: Box<dyn Store>,
    /// A call that has no answer after this counts as none.
    stall: Duration,
    sharing: Mutex<Sharing>,
    guard: Mutex<Guard>,
    counts: Counts,
    own: Mutex<Own>,
    /// Tells the decision module for how long calls are no use.
    shut: OnceLock<Shut>,
    /// Whether fetches of one key share a query.
    shares: bool,
    /// Where caches take copies from nodes.
    teller: OnceLock<Teller>,
    copies: Option<operator::Copies>,
}

/// The store, shared by all calls.
pub struct OriginStore(Arc<Inner>);

impl OriginStore {
    /// Opens the file that the operator names, or makes ready to call the server.
    ///
    /// # Errors
    /// Why it can't be used.
    pub fn open(told: &operator::Store, seed: u64) -> Result<OriginStore, StoreError> {
        let micros = |time: Duration| time.as_micros() as Micros;
        let store: Box<dyn Store> = match &told.place {
            operator::Place::Sqlite { file, readers, busy, here } => {
                let base = sqlite::Options::default();
                let here = here.map(|slow| quick::Limits { slow: micros(slow), ..quick::Limits::default() });
                let options =
                    sqlite::Options { readers: *readers, queue: told.queue, busy: *busy, here, ..base };
                Box::new(Sqlite::open(file, &options)?)
            }
            operator::Place::Postgres { url, connections } => {
                let options = postgres::Options {
                    connections: *connections,
                    queue: told.queue,
                    stall: told.stall,
                    seed,
                    ..postgres::Options::default()
                };
                Box::new(Postgres::new(url, options)?)
            }
        };
        let flights = Flights::new(Limits::default());
        let sharing = Sharing { flights, waiting: HashMap::new(), fetching: HashMap::new(), next: 1 };
        let limits = breaker::Limits {
            failures: told.failures,
            shortest: micros(told.probe.0),
            longest: micros(told.probe.1),
            ..breaker::Limits::default()
        };
        let guard =
            Guard { breaker: Breaker::new(limits), epoch: Instant::now(), chance: Rand64::new(seed.into()) };
        Ok(OriginStore(Arc::new(Inner {
            store,
            stall: told.stall,
            sharing: Mutex::new(sharing),
            guard: Mutex::new(guard),
            counts: Counts::default(),
            own: Mutex::default(),
            shut: OnceLock::new(),
            shares: told.shares,
            teller: OnceLock::new(),
            copies: told.copies,
        })))
    }

    /// Whether caches are told of copies.
    pub fn copies(&self) -> bool {
        self.0.copies.is_some()
    }

    /// Whether fetches of one key that are out at once share a query.
    pub fn shares(&self) -> bool {
        self.0.shares
    }

    /// Begins to follow the store's changes, where it tells of them, and to tell caches of copies, where the operator
    /// has it so; the placement is told by what is returned.
    pub fn start(&self, shut: Shut) -> Option<watch::Sender<Vec<SocketAddr>>> {
        let _ = self.0.shut.set(shut);
        if let Some(mut changes) = self.0.store.follow() {
            let inner = self.0.clone();
            tokio::spawn(async move {
                while let Some(change) = changes.recv().await {
                    inner.changed(change).await;
                }
            });
        }
        let copies = self.0.copies?;
        let (tell, placement) = watch::channel(Vec::new());
        self.0.teller.set(Teller::start(placement, copies.lifetime)).ok()?;
        Some(tell)
    }

    /// What it has done, in a line for the log.
    pub fn done(&self) -> String {
        let counts = &self.0.counts;
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "store: {} queries, {} more fetches that shared one, {} of them again after an edit, {} edits, stopped {} times, \
             {} changes heard of, {} of them own edits that had no answer",
            count(&counts.queries),
            count(&counts.joined),
            count(&counts.again),
            count(&counts.edits),
            count(&counts.stops),
            count(&counts.heard),
            count(&counts.settled)
        )
    }
}

impl OriginStore {
    /// Carries a fetch or an edit out. Dropped, it is given up.
    pub async fn call(&self, job: StoreCall) -> Reply {
        let (status, value) = match job.command.write {
            true => edit(&self.0, job).await,
            false => fetch(&self.0, job).await,
        };
        Reply { value, ..Reply::bare(status, true) }
    }
}

/// What a call's end means: whether it may have run is the store's word.
fn failed(e: &StoreError, edit: bool) -> (AttemptStatus, Option<Bytes>) {
    match e {
        // Sent again it would end so again.
        StoreError::Bounds(_) | StoreError::Conflict => (AttemptStatus::Error, None),
        e if !edit || e.proves_not_done() => (AttemptStatus::Rejected, None),
        _ => (AttemptStatus::Error, None),
    }
}

fn text(bytes: &Bytes) -> Result<String, StoreError> {
    String::from_utf8(bytes.to_vec()).map_err(|_| StoreError::Bounds("the key"))
}

// The breaker.

/// A call that the breaker has let pass. Dropped with no word, it was given up; a probe then tells nothing.
struct Passed {
    inner: Arc<Inner>,
    probe: bool,
    /// How many calls the store had answered when this one was made.
    answered: u64,
}

impl Drop for Passed {
    fn drop(&mut self) {
        if self.probe {
            let mut guard = self.inner.guard();
            let now = guard.now();
            guard.breaker.abandoned(now);
        }
    }
}

impl Guard {
    fn now(&self) -> Micros {
        self.epoch.elapsed().as_micros() as Micros
    }
}

impl Passed {
    /// What the call's end says of the store; the decision module is told where that changes how it stands.
    fn ended<T>(mut self, result: &Result<T, StoreError>) {
        self.probe = false;
        // Against a call that only waits too long, for a row's lock or a place in the pool: a store that has answered
        // others meanwhile has not stopped.
        let stopped = matches!(result, Err(e) if e.is_silence())
            && (self.inner.store.answered() == self.answered || matches!(result, Err(StoreError::Behind)));
        let shut = {
            let mut guard = self.inner.guard();
            let (now, drawn, was) = (guard.now(), guard.chance.rand_float(), guard.breaker.state());
            match result {
                Err(_) if stopped => guard.breaker.failed(now, drawn),
                _ => guard.breaker.answered(),
            }
            match (was, guard.breaker.state()) {
                (State::Open { .. }, State::Open { .. }) | (State::Closed { .. }, State::Closed { .. }) => {
                    None
                }
                (_, State::Open { until, .. }) => Some(until.saturating_sub(now)),
                _ => Some(0),
            }
        };
        let Some(lasts) = shut else { return };
        match result {
            Err(e) if stopped => {
                self.inner.counts.stops.fetch_add(1, Ordering::Relaxed);
                log(&format!("store: {e}; no call for {} ms", lasts / 1_000));
            }
            _ => log("store: it answers again"),
        }
        if let Some(shut) = self.inner.shut.get() {
            shut(lasts);
        }
    }
}

impl Inner {
    fn guard(&self) -> MutexGuard<'_, Guard> {
        self.guard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the breaker for one call.
    fn pass(self: &Arc<Self>) -> Result<Passed, StoreError> {
        let word = {
            let mut guard = self.guard();
            let now = guard.now();
            guard.breaker.call(now)
        };
        match word {
            Word::Refuse { .. } => Err(StoreError::Stopped),
            passes => {
                let probe = passes == Word::Probe;
                let answered = self.store.answered();
                Ok(Passed { inner: self.clone(), probe, answered })
            }
        }
    }
}

// Fetches.

/// One who waits. Dropped, it has left; the last one to leave ends the fetch.
struct Waiter {
    inner: Arc<Inner>,
    joiner: JoinerId,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut sharing = self.inner.sharing();
        sharing.waiting.remove(&self.joiner);
        if let Some(flight) = sharing.flights.leave(self.joiner)
            && let Some(fetch) = sharing.fetching.remove(&flight)
        {
            fetch.abort();
        }
    }
}

impl Inner {
    fn sharing(&self) -> MutexGuard<'_, Sharing> {
        self.sharing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own(&self) -> MutexGuard<'_, Own> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The store tells of a change, this node's or another's.
    async fn changed(&self, Change { key, version }: Change) {
        self.counts.heard.fetch_add(1, Ordering::Relaxed);
        let unanswered = {
            let mut own = self.own();
            if taken(&mut own.receipts, &version) {
                return; // Its fence is over, and its copies' end is under way.
            }
            noted(&mut own.heard, Change { key: key.clone(), version });
            taken(&mut own.unanswered, &key)
        };
        self.sharing().flights.changed(&key);
        // An edit of this node's that had no answer has been done after all, or another's came behind it: either way
        // caches hold what is older.
        if unanswered {
            self.settle(key, version).await;
        }
    }

    /// An edit that may have been done had no answer: its older copies go when the store tells of a change of its key,
    /// or at once where it has.
    async fn unanswered(&self, key: &str) {
        let heard = {
            let mut own = self.own();
            noted(&mut own.unanswered, key.to_owned());
            own.heard.iter().rfind(|change| change.key == key).map(|change| change.version)
        };
        if let Some(version) = heard {
            self.settle(key.to_owned(), version).await;
        }
    }

    async fn settle(&self, key: String, version: u64) {
        self.counts.settled.fetch_add(1, Ordering::Relaxed);
        if let Some(teller) = self.teller.get() {
            // Nobody waits for it.
            drop(teller.edited(key, version).await);
        }
    }

    /// Waits for the value of a key with all others that do.
    async fn shared(self: &Arc<Self>, key: String) -> Fetched {
        if !self.shares {
            let fetched = self.ask(&key).await;
            // With no flight there is no fence: no cache may keep it.
            return fetched.map(|value| Value { keep: false, ..value });
        }
        let (tell, told) = oneshot::channel();
        let waiter = {
            let mut sharing = self.sharing();
            let joiner = sharing.next;
            sharing.next += 1;
            match sharing.flights.join(&key, joiner, u64::MAX) {
                Joined::NoRoom => return Err(StoreError::Busy),
                Joined::Waits(_) => drop(self.counts.joined.fetch_add(1, Ordering::Relaxed)),
                Joined::Begins(flight) => {
                    // A task of its own: whoever asked first may leave.
                    let fetch = tokio::spawn(self.clone().fly(flight, key));
                    sharing.fetching.insert(flight, fetch.abort_handle());
                }
            }
            sharing.waiting.insert(joiner, tell);
            Waiter { inner: self.clone(), joiner }
        };
        let fetched = told.await.unwrap_or(Err(StoreError::Closed));
        drop(waiter);
        fetched
    }

    /// Asks the store.
    async fn ask(self: &Arc<Self>, key: &str) -> Fetched {
        let zone = match self.pass() {
            Ok(passed) => {
                self.counts.queries.fetch_add(1, Ordering::Relaxed);
                let zone =
                    timeout(self.stall, self.store.get(key)).await.unwrap_or(Err(StoreError::TimedOut));
                passed.ended(&zone);
                zone
            }
            Err(e) => Err(e),
        };
        // A key that the store does not hold is an area with nothing in it: that is an answer, and no failure.
        zone.map(|zone| match zone {
            Some(zone) => Value { version: zone.version, keep: true, bytes: zone.value.into() },
            None => Value { version: 0, keep: false, bytes: Bytes::new() },
        })
    }

    /// Asks the store, and tells all who wait.
    async fn fly(self: Arc<Self>, flight: FlightId, key: String) {
        let fetched = self.ask(&key).await;
        let mut sharing = self.sharing();
        sharing.fetching.remove(&flight);
        let Some(landed) = sharing.flights.landed(flight) else { return };
        let fetched = fetched.map(|value| Value { keep: value.keep && landed.may_keep, ..value });
        for joiner in landed.joiners {
            if let Some(tell) = sharing.waiting.remove(&joiner) {
                let _ = tell.send(fetched.clone());
            }
        }
    }
}

async fn fetch(inner: &Arc<Inner>, job: StoreCall) -> (AttemptStatus, Option<Bytes>) {
    let key = match text(&job.command.key) {
        Ok(key) => key,
        Err(e) => return failed(&e, false),
    };
    let mut fetched = inner.shared(key.clone()).await;
    // Against a shared fetch from before an edit on another node, which this request's cache knows of: whatever begins
    // now began after that edit's receipt.
    if matches!(&fetched, Ok(value) if value.version < job.min_version) {
        inner.counts.again.fetch_add(1, Ordering::Relaxed);
        fetched = inner.shared(key.clone()).await;
    }
    match fetched {
        // A copy of the store that lags, and does not know it.
        Ok(value) if value.version < job.min_version => failed(&StoreError::Behind, false),
        Ok(Value { bytes, version, keep }) => {
            if let Some(teller) = inner.teller.get().filter(|_| keep && !job.missed_caches.is_empty()) {
                teller.fill(job.missed_caches, key, version, bytes.clone());
            }
            (AttemptStatus::Served, Some(bytes))
        }
        Err(e) => failed(&e, false),
    }
}

// Edits.

/// An edit under way fences the fetches of its key, until the store has said what became of it.
struct Fence(Arc<Inner>, String);

impl Drop for Fence {
    fn drop(&mut self) {
        self.0.sharing().flights.edit_ended(&self.1);
    }
}

async fn edit(inner: &Arc<Inner>, job: StoreCall) -> (AttemptStatus, Option<Bytes>) {
    let window = match job.command.rules.idempotency {
        Idempotency::WithKey { window, .. } => window / 1_000,
        _ => 0,
    };
    let token = job.command.facts.split(',').find_map(|fact| fact.strip_prefix("k=")).map(str::to_owned);
    let key = match text(&job.command.key) {
        Ok(key) => key,
        Err(e) => return failed(&e, true),
    };
    let value = job.command.value.as_ref().map(|value| value.to_vec()).unwrap_or_default();
    let edit = Edit { key: key.clone(), value, token, remember_ms: window.max(REMEMBER_MS) };
    let passed = match inner.pass() {
        Ok(passed) => passed,
        Err(e) => return failed(&e, true),
    };
    if !inner.sharing().flights.edit_begins(&key) {
        return failed(&StoreError::Busy, true);
    }
    inner.counts.edits.fetch_add(1, Ordering::Relaxed);
    let fence = Fence(inner.clone(), key);
    let (tell, told) = oneshot::channel();
    // A task of its own: given up by the node it goes on all the same, and so must its fence and its copies' end.
    tokio::spawn(async move {
        let Fence(inner, key) = &fence;
        let done = inner.store.edit(edit).await;
        match &done {
            Ok(receipt) if !receipt.repeat => noted(&mut inner.own().receipts, receipt.version),
            Err(e) if !e.proves_not_done() => inner.unanswered(key).await,
            _ => {}
        }
        let copies = match (&done, inner.teller.get()) {
            (Ok(receipt), Some(teller)) => Some(teller.edited(key.clone(), receipt.version).await),
            _ => None,
        };
        drop(fence);
        let _ = tell.send((done, copies));
    });
    let (done, copies) = match timeout(inner.stall, told).await {
        Ok(done) => done.unwrap_or((Err(StoreError::Closed), None)),
        Err(_) => (Err(StoreError::TimedOut), None),
    };
    passed.ended(&done);
    let receipt = match done {
        Ok(receipt) => receipt,
        Err(e) => return failed(&e, true),
    };
    if let Some(copies) = copies.filter(|_| inner.copies.is_some_and(|copies| copies.before_receipt)) {
        // It is done, but a cache may still hold what it was before: no receipt until none does.
        let left = Duration::from_millis(job.time_left_ms);
        if !matches!(timeout(left, copies.wait()).await, Ok(true)) {
            return failed(&StoreError::TimedOut, true);
        }
    }
    (AttemptStatus::Served, Some(receipt.version.to_string().into()))
}
