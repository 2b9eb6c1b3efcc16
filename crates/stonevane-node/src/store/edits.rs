//! Edits. Each edit fences the fetches of its key until the store has answered, and invalidates older copies
//! in caches.

use std::sync::Arc;
use std::time::Duration;

use stonevane_core::{Reply, StoreCall};
use stonevane_policy::Idempotency;
use stonevane_store::{Edit, Receipt, StoreError};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::circuit_breaker::Permit;
use super::{CallKind, Inner, failed, key_text, served};
use crate::cache_updates::PendingInvalidation;

/// Minimum time for which the store remembers idempotency keys, in milliseconds.
const MIN_IDEMPOTENCY_WINDOW_MS: u64 = 60_000;
const MICROS_PER_MS: u64 = 1_000;
/// Prefix that marks the idempotency key among a command's comma-separated parameters.
const IDEMPOTENCY_KEY_PREFIX: &str = "k=";

/// Fence of a key: while it exists, fetches of the key that began before it do not count as current.
struct FetchFence {
    inner: Arc<Inner>,
    key: String,
}

impl FetchFence {
    fn raise(inner: &Arc<Inner>, key: String) -> Result<FetchFence, StoreError> {
        if !inner.fetches().flights.edit_begins(&key) {
            return Err(StoreError::Busy);
        }
        Ok(FetchFence { inner: inner.clone(), key })
    }
}

impl Drop for FetchFence {
    fn drop(&mut self) {
        self.inner.fetches().flights.edit_ended(&self.key);
    }
}

/// Result of an edit at the store, and its invalidation at the caches.
struct EditOutcome {
    receipt: Result<Receipt, StoreError>,
    invalidation: Option<PendingInvalidation>,
}

impl EditOutcome {
    fn unknown(error: StoreError) -> EditOutcome {
        EditOutcome { receipt: Err(error), invalidation: None }
    }
}

/// Carries out an edit and returns the reply with its version.
pub(super) async fn edit(inner: &Arc<Inner>, call: StoreCall) -> Reply {
    match edit_store(inner, &call).await {
        Ok(version) => served(version.to_string().into()),
        Err(error) => failed(&error, CallKind::Edit),
    }
}

/// Carries out an edit. Returns the version that it created.
async fn edit_store(inner: &Arc<Inner>, call: &StoreCall) -> Result<u64, StoreError> {
    let edit = edit_of(call)?;
    let permit = Permit::acquire(inner)?;
    let fence = FetchFence::raise(inner, edit.key.clone())?;
    inner.counters.edits.increment();
    let (sender, outcome) = oneshot::channel();
    // The edit has a separate task: if the node abandons the call, the edit still runs at the store, so the
    // fence and the invalidation have to continue too.
    tokio::spawn(async move {
        let outcome = run_edit(fence, edit).await;
        let _ = sender.send(outcome);
    });
    let outcome = match timeout(inner.call_timeout, outcome).await {
        Ok(outcome) => outcome.unwrap_or_else(|_| EditOutcome::unknown(StoreError::Closed)),
        Err(_) => EditOutcome::unknown(StoreError::TimedOut),
    };
    permit.complete(&outcome.receipt);
    let receipt = outcome.receipt?;
    await_invalidation(inner, outcome.invalidation, Duration::from_millis(call.time_left_ms)).await?;
    Ok(receipt.version)
}

fn edit_of(call: &StoreCall) -> Result<Edit, StoreError> {
    let command = &call.command;
    let window_ms = match command.rules.idempotency {
        Idempotency::WithKey { window, .. } => window / MICROS_PER_MS,
        _ => 0,
    };
    let mut parameters = command.parameters.split(',');
    Ok(Edit {
        key: key_text(&command.key)?,
        value: command.value.as_ref().map(|value| value.to_vec()).unwrap_or_default(),
        token: parameters
            .find_map(|parameter| parameter.strip_prefix(IDEMPOTENCY_KEY_PREFIX))
            .map(str::to_owned),
        remember_ms: window_ms.max(MIN_IDEMPOTENCY_WINDOW_MS),
    })
}

async fn run_edit(fence: FetchFence, edit: Edit) -> EditOutcome {
    let FetchFence { inner, key } = &fence;
    let receipt = inner.store.edit(edit).await;
    match &receipt {
        Ok(receipt) if !receipt.repeat => inner.own_edits().record_receipt(receipt.version),
        Err(error) if !error.is_certainly_not_applied() => inner.edit_unanswered(key).await,
        _ => {}
    }
    let invalidation = match (&receipt, inner.cache_updater.get()) {
        (Ok(receipt), Some(updater)) => Some(updater.invalidate(key.clone(), receipt.version).await),
        _ => None,
    };
    drop(fence);
    EditOutcome { receipt, invalidation }
}

/// Waits for the invalidation if receipts wait for caches. On a timeout the edit is done, but a cache may
/// still hold the previous value.
async fn await_invalidation(
    inner: &Inner,
    invalidation: Option<PendingInvalidation>,
    time_left: Duration,
) -> Result<(), StoreError> {
    let waits = inner.copies.is_some_and(|copies| copies.before_receipt);
    let Some(invalidation) = invalidation.filter(|_| waits) else { return Ok(()) };
    match timeout(time_left, invalidation.wait()).await {
        Ok(true) => Ok(()),
        _ => Err(StoreError::TimedOut),
    }
}
