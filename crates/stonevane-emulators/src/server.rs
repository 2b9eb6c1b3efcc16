//! What all servers have in common: a listener for each node, faults, and connections that end in the ways that
//! real ones do.

mod connection;
mod fault;
mod listeners;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub(crate) use connection::{Arrival, Malformed, Protocol, Reply};
pub use fault::Fault;
pub(crate) use listeners::Listeners;

/// The pause before a listener tries again to bind its address.
pub(crate) const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// Locks a mutex that is held for moments only; a panic elsewhere is no reason to stop.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A place in a limited number of connections, given back when dropped.
pub(crate) struct ConnectionPermit {
    open: Arc<AtomicUsize>,
}

impl ConnectionPermit {
    /// Takes a place; `None` where `limit` are taken already.
    pub(crate) fn acquire(open: &Arc<AtomicUsize>, limit: usize) -> Option<ConnectionPermit> {
        let before = open.fetch_add(1, Ordering::Relaxed);
        let permit = ConnectionPermit { open: open.clone() };
        (before < limit).then_some(permit)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
