//! The parts that all emulated servers share: a listener for each node, injected faults, and connections that
//! end in the ways in which real connections do.

mod connection;
mod fault;
mod listeners;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub(crate) use connection::{Arrival, Malformed, Protocol, Reply};
pub use fault::Fault;
pub(crate) use listeners::Listeners;

/// Pause before a listener retries to bind its address.
pub(crate) const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// Locks a mutex and ignores poisoning: a panic in another task must not stop the emulators.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A permit for one of a limited number of connections, released when dropped.
pub(crate) struct ConnectionPermit {
    open: Arc<AtomicUsize>,
}

impl ConnectionPermit {
    /// Acquires a permit; `None` if `limit` permits are in use.
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
