//! The store of record within the node, in the origin's place: a fetch or an edit is a call to SQLite. All fetches
//! of a key that are out at once share one query, whoever of them leaves.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use spardeal::{Effect, Status};
use stonevane_config::operator;
use stonevane_store::flight::{FlightId, Flights, Joined, JoinerId, Limits};
use stonevane_store::sqlite::Options;
use stonevane_store::{Edit, Sqlite, StoreError};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::{Backend, Job, Life, Seat, cache};
use crate::reply::{News, Reply};
use crate::request::Command;

/// Repeats of a keyed edit are known for this long at the least, milliseconds.
const REMEMBER_MS: u64 = 60_000;

/// What a fetch brought: the value, or why there is none.
type Fetched = Result<Bytes, StoreError>;

/// What it has counted.
#[derive(Debug, Default)]
struct Counts {
    queries: AtomicU64,
    joined: AtomicU64,
    edits: AtomicU64,
}

/// Fetches that are out, and those who wait for them.
struct Sharing {
    flights: Flights<String>,
    waiting: HashMap<JoinerId, oneshot::Sender<Fetched>>,
    fetching: HashMap<FlightId, AbortHandle>,
    next: JoinerId,
}

struct Inner {
    store: Sqlite,
    sharing: Mutex<Sharing>,
    counts: Counts,
}

/// The store, shared by all its connections; a connection here is a place in the node's table, and no socket.
pub struct Embedded(Arc<Inner>);

impl Embedded {
    /// Opens the file that the operator names.
    ///
    /// # Errors
    /// Why it can't be used.
    pub fn open(told: &operator::Store) -> Result<Embedded, StoreError> {
        let options =
            Options { readers: told.readers, queue: told.queue, busy: told.busy, ..Options::default() };
        let flights = Flights::new(Limits::default());
        let sharing = Sharing { flights, waiting: HashMap::new(), fetching: HashMap::new(), next: 1 };
        let (store, sharing) = (Sqlite::open(&told.sqlite, &options)?, Mutex::new(sharing));
        Ok(Embedded(Arc::new(Inner { store, sharing, counts: Counts::default() })))
    }

    /// What it has done, in a line for the log.
    pub fn done(&self) -> String {
        let counts = &self.0.counts;
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "store: {} queries, {} more fetches that shared one, {} edits",
            count(&counts.queries),
            count(&counts.joined),
            count(&counts.edits)
        )
    }
}

impl Backend for Embedded {
    fn connect(&self, seat: Seat) -> Life {
        let inner = self.0.clone();
        Box::pin(async move { carry(&inner, seat).await })
    }
}

async fn carry(inner: &Arc<Inner>, mut seat: Seat) -> News {
    let mut news = News::Up;
    loop {
        if !seat.tell(news).await {
            return News::Lost { written: false };
        }
        let Some(job) = seat.jobs.recv().await else { return News::Lost { written: false } };
        let (status, value) = match job.command.write {
            true => edit(inner, &seat, job).await,
            false => fetch(inner, &job.command).await,
        };
        let load = cache::load("", &seat.deployment.load_names);
        news = News::Answer(Reply { status, note: cache::note(""), load, value, keep: true });
    }
}

/// What a call's end means: whether it may have run is the store's word.
fn failed(e: &StoreError, edit: bool) -> (Status, Option<Bytes>) {
    match e {
        // Sent again it would end so again.
        StoreError::Bounds(_) | StoreError::Conflict => (Status::Error, None),
        e if !edit || e.proves_not_done() => (Status::Full, None),
        _ => (Status::Error, None),
    }
}

fn text(bytes: &Bytes) -> Result<String, StoreError> {
    String::from_utf8(bytes.to_vec()).map_err(|_| StoreError::Bounds("the key"))
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

    /// Waits for the value of a key with all others that do.
    async fn shared(self: &Arc<Self>, key: String) -> Fetched {
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

    /// Asks the store, and tells all who wait.
    async fn fly(self: Arc<Self>, flight: FlightId, key: String) {
        self.counts.queries.fetch_add(1, Ordering::Relaxed);
        // A key that the store does not hold is an area with nothing in it: that is an answer, and no failure.
        let zone = self.store.get(&key).await;
        let fetched: Fetched = zone.map(|zone| zone.map_or_else(Bytes::new, |zone| zone.value.into()));
        let mut sharing = self.sharing();
        sharing.fetching.remove(&flight);
        let Some(landed) = sharing.flights.landed(flight) else { return };
        for joiner in landed.joiners {
            if let Some(tell) = sharing.waiting.remove(&joiner) {
                let _ = tell.send(fetched.clone());
            }
        }
    }
}

async fn fetch(inner: &Arc<Inner>, command: &Command) -> (Status, Option<Bytes>) {
    let fetched = match text(&command.key) {
        Ok(key) => inner.shared(key).await,
        Err(e) => Err(e),
    };
    match fetched {
        Ok(value) => (Status::Served, Some(value)),
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

async fn edit(inner: &Arc<Inner>, seat: &Seat, job: Job) -> (Status, Option<Bytes>) {
    let class = seat.deployment.settings.classes.get(job.command.class);
    let window = match class.map(|class| &class.effect) {
        Some(Effect::Keyed { window, .. }) => window / 1_000,
        _ => 0,
    };
    let token = job.command.facts.split(',').find_map(|fact| fact.strip_prefix("k=")).map(str::to_owned);
    let key = match text(&job.command.key) {
        Ok(key) => key,
        Err(e) => return failed(&e, true),
    };
    let value = job.command.value.as_ref().map(|value| value.to_vec()).unwrap_or_default();
    let edit = Edit { key: key.clone(), value, token, remember_ms: window.max(REMEMBER_MS) };
    if !inner.sharing().flights.edit_begins(&key) {
        return failed(&StoreError::Busy, true);
    }
    inner.counts.edits.fetch_add(1, Ordering::Relaxed);
    let fence = Fence(inner.clone(), key);
    // A task of its own: given up by the node it goes on all the same, and so must its fence.
    let run = tokio::spawn(async move {
        let done = fence.0.store.edit(edit).await;
        drop(fence);
        done
    });
    match run.await {
        Ok(Ok(receipt)) => (Status::Served, Some(receipt.version.to_string().into())),
        Ok(Err(e)) => failed(&e, true),
        Err(_) => (Status::Error, None),
    }
}
