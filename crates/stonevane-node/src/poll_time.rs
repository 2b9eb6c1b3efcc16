//! Time of the runtime's last poll: what had arrived on a socket before it is known to the tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use stonevane_policy::Micros;
use tokio::runtime::Builder;

use crate::clock::Clock;

/// Time at which the runtime last began to wait for events. The wait reports all events that happened before
/// it began, so later code of the same turn knows what had arrived by then, however long the turn takes.
///
/// The end of the wait would be no such time: a signal can end a wait that reports no events.
#[derive(Clone, Default)]
pub struct PollTime(Arc<AtomicU64>);

impl PollTime {
    /// Has the runtime record the time before each wait for events.
    pub fn record(&self, runtime: &mut Builder, clock: Clock) {
        let last = self.0.clone();
        runtime.on_thread_park(move || last.store(clock.now(), Ordering::Relaxed));
    }

    /// Returns the time in microseconds; 0 if no runtime records it.
    pub fn last(&self) -> Micros {
        self.0.load(Ordering::Relaxed)
    }
}
