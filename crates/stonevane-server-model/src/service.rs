//! Service of fixed capacity that handles calls one after another.

/// Queue of the calls of a service. Each call runs after those before it, even if its caller has given up.
#[derive(Debug, Default, Clone)]
pub struct CallQueue {
    /// Time at which all accepted calls are done, in microseconds.
    free_at: u64,
}

impl CallQueue {
    /// Accepts a call that takes `work_us`, and returns the time at which it is done. Returns `None` and
    /// rejects the call if more than `max_queued_us` of work is queued ahead of it. All times are in
    /// microseconds.
    pub fn enqueue(&mut self, now: u64, work_us: u64, max_queued_us: u64) -> Option<u64> {
        if self.free_at > now.saturating_add(max_queued_us) {
            return None;
        }
        self.free_at = self.free_at.max(now) + work_us;
        Some(self.free_at)
    }
}

#[cfg(test)]
mod tests;
