//! Fetches. All fetches of a key that are in flight at once share one query, even if some of their callers
//! leave.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use stonevane_core::{Reply, StoreCall};
use stonevane_store::StoreError;
use stonevane_store::flight::{FlightId, Flights, Joined, JoinerId, Limits};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::circuit_breaker::Permit;
use super::{CallKind, Inner, failed, key_text, served};

/// Joiners of a shared fetch have no deadline of their own: the client's request has one.
const NO_DEADLINE: u64 = u64::MAX;

/// Value of the store for a key.
#[derive(Clone)]
struct Value {
    bytes: Bytes,
    /// Version of the value; 0 if the store has no value.
    version: u64,
    /// Whether caches may keep the value.
    cacheable: bool,
}

type FetchResult = Result<Value, StoreError>;

/// Fetches in flight and their waiters.
pub(super) struct FetchTable {
    pub flights: Flights<String>,
    waiters: HashMap<JoinerId, oneshot::Sender<FetchResult>>,
    tasks: HashMap<FlightId, AbortHandle>,
    next_joiner: JoinerId,
}

impl FetchTable {
    /// Returns a table without fetches.
    pub fn new() -> FetchTable {
        FetchTable {
            flights: Flights::new(Limits::default()),
            waiters: HashMap::new(),
            tasks: HashMap::new(),
            next_joiner: 1,
        }
    }

    fn next_joiner(&mut self) -> JoinerId {
        let joiner = self.next_joiner;
        self.next_joiner += 1;
        joiner
    }
}

/// Waiter for a shared fetch. Dropping it leaves the fetch, which is aborted when its last waiter leaves.
struct Waiter {
    inner: Arc<Inner>,
    joiner: JoinerId,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut fetches = self.inner.fetches();
        fetches.waiters.remove(&self.joiner);
        if let Some(flight) = fetches.flights.leave(self.joiner)
            && let Some(task) = fetches.tasks.remove(&flight)
        {
            task.abort();
        }
    }
}

/// Carries out a fetch, and sends the value to the caches that missed.
pub(super) async fn fetch(inner: &Arc<Inner>, call: StoreCall) -> Reply {
    match fetch_current(inner, &call).await {
        Ok(value) => {
            fill_missed_caches(inner, call, &value);
            served(value.bytes)
        }
        Err(error) => failed(&error, CallKind::Fetch),
    }
}

/// Fetches a value that is no older than `min_version`, the newest version of the key that the request's
/// cache has been notified of. A shared fetch may have begun before that edit, so a stale result is fetched
/// once more: a fetch that begins now began after the edit.
async fn fetch_current(inner: &Arc<Inner>, call: &StoreCall) -> FetchResult {
    let key = key_text(&call.command.key)?;
    let is_stale = |fetched: &FetchResult| matches!(fetched, Ok(value) if value.version < call.min_version);
    let mut fetched = fetch_shared(inner, key.clone()).await;
    if is_stale(&fetched) {
        inner.counters.refetched.increment();
        fetched = fetch_shared(inner, key).await;
    }
    // A repeated fetch that is still stale was answered by a replica that lags without knowing it.
    if is_stale(&fetched) { Err(StoreError::Behind) } else { fetched }
}

fn fill_missed_caches(inner: &Inner, call: StoreCall, value: &Value) {
    if !value.cacheable || call.missed_caches.is_empty() {
        return;
    }
    if let (Some(updater), Ok(key)) = (inner.cache_updater.get(), key_text(&call.command.key)) {
        updater.fill(call.missed_caches, key, value.version, value.bytes.clone());
    }
}

/// Fetches a key, sharing the query with all concurrent fetches of it.
async fn fetch_shared(inner: &Arc<Inner>, key: String) -> FetchResult {
    if !inner.coalesces_fetches {
        // Edits do not fence this fetch, so no cache may keep its value.
        return query(inner, &key).await.map(|value| Value { cacheable: false, ..value });
    }
    let (sender, fetched) = oneshot::channel();
    let waiter = join(inner, key, sender)?;
    let fetched = fetched.await.unwrap_or(Err(StoreError::Closed));
    drop(waiter);
    fetched
}

/// Joins the fetch of a key, or starts one in a task of its own, which outlives the waiter that started it.
fn join(inner: &Arc<Inner>, key: String, sender: oneshot::Sender<FetchResult>) -> Result<Waiter, StoreError> {
    let mut fetches = inner.fetches();
    let joiner = fetches.next_joiner();
    match fetches.flights.join(&key, joiner, NO_DEADLINE) {
        Joined::Rejected => return Err(StoreError::Busy),
        Joined::Waiting(_) => inner.counters.joined.increment(),
        Joined::Started(flight) => {
            let task = tokio::spawn(run_fetch(inner.clone(), flight, key));
            fetches.tasks.insert(flight, task.abort_handle());
        }
    }
    fetches.waiters.insert(joiner, sender);
    Ok(Waiter { inner: inner.clone(), joiner })
}

/// Queries the store and sends the result to all waiters.
async fn run_fetch(inner: Arc<Inner>, flight: FlightId, key: String) {
    let fetched = query(&inner, &key).await;
    let mut fetches = inner.fetches();
    fetches.tasks.remove(&flight);
    let Some(completed) = fetches.flights.complete(flight) else { return };
    let fetched = fetched.map(|value| Value { cacheable: value.cacheable && completed.cacheable, ..value });
    for joiner in completed.joiners {
        if let Some(sender) = fetches.waiters.remove(&joiner) {
            let _ = sender.send(fetched.clone());
        }
    }
}

async fn query(inner: &Arc<Inner>, key: &str) -> FetchResult {
    let permit = Permit::acquire(inner)?;
    inner.counters.queries.increment();
    let call = timeout(inner.call_timeout, inner.store.get(key));
    let fetched = call.await.unwrap_or(Err(StoreError::TimedOut));
    permit.complete(&fetched);
    // A key that the store does not have yields an empty value, not an error.
    Ok(match fetched? {
        Some(zone) => Value { version: zone.version, cacheable: true, bytes: zone.value.into() },
        None => Value { version: 0, cacheable: false, bytes: Bytes::new() },
    })
}
