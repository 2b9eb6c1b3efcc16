//! Timers: wakes the core when its next timeout is due.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use stonevane_core::Input;
use stonevane_policy::Micros;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::Driver;

/// Interval at which a core without timers is woken, in microseconds.
const IDLE_WAKE_INTERVAL: Micros = 1_000_000;

/// Time at which the core is woken next.
pub(super) struct WakeTimer {
    /// Microseconds in the core's time; [`Micros::MAX`] while the core is being woken.
    wake_at: AtomicU64,
    /// Notified when `wake_at` has become earlier.
    rescheduled: Notify,
}

impl Default for WakeTimer {
    fn default() -> Self {
        WakeTimer { wake_at: AtomicU64::new(Micros::MAX), rescheduled: Notify::new() }
    }
}

impl WakeTimer {
    /// Makes sure that the core is woken no later than the time `at`.
    pub fn wake_by(&self, at: Micros) {
        if at < self.wake_at.load(Ordering::Relaxed) {
            self.wake_at.store(at, Ordering::Relaxed);
            self.rescheduled.notify_one();
        }
    }

    fn set(&self, at: Micros) {
        self.wake_at.store(at, Ordering::Relaxed);
    }
}

impl Driver {
    /// Wakes the core whenever its next timeout is due.
    pub(super) async fn run_timer(self: Arc<Self>) {
        loop {
            let at = self.lock().core.next_timeout().unwrap_or_else(|| self.clock.now() + IDLE_WAKE_INTERVAL);
            self.timer.set(at);
            tokio::select! {
                () = sleep_until(self.clock.instant(at)) => {
                    self.timer.set(Micros::MAX);
                    self.input(Input::Wake);
                }
                () = self.timer.rescheduled.notified() => {}
            }
        }
    }
}
