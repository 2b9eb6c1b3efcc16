//! Time: wakes the core when its next timer is due.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use stonevane_core::Input;
use stonevane_policy::Micros;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::Driver;

/// How long a core without timers is left alone, in microseconds.
const IDLE_WAKE_INTERVAL: Micros = 1_000_000;

/// When the core is woken next.
pub(super) struct WakeTimer {
    /// In the core's time; [`Micros::MAX`] while it is being woken.
    wake_at: AtomicU64,
    /// `wake_at` has become earlier.
    moved_forward: Notify,
}

impl Default for WakeTimer {
    fn default() -> Self {
        WakeTimer { wake_at: AtomicU64::new(Micros::MAX), moved_forward: Notify::new() }
    }
}

impl WakeTimer {
    /// Has the core woken at this time at the latest.
    pub fn wake_by(&self, at: Micros) {
        if at < self.wake_at.load(Ordering::Relaxed) {
            self.wake_at.store(at, Ordering::Relaxed);
            self.moved_forward.notify_one();
        }
    }

    fn set(&self, at: Micros) {
        self.wake_at.store(at, Ordering::Relaxed);
    }
}

impl Driver {
    /// Wakes the core whenever a timer of it is due.
    pub(super) async fn run_timer(self: Arc<Self>) {
        loop {
            let at = self.lock().core.next_timeout().unwrap_or_else(|| self.clock.now() + IDLE_WAKE_INTERVAL);
            self.timer.set(at);
            tokio::select! {
                () = sleep_until(self.clock.instant(at)) => {
                    self.timer.set(Micros::MAX);
                    self.input(Input::Wake);
                }
                () = self.timer.moved_forward.notified() => {}
            }
        }
    }
}
