//! A service of fixed capacity that handles calls one after another.

/// The calls of a service: each takes its time after those before it, also where its caller has given up.
#[derive(Debug, Default, Clone)]
pub struct Turns {
    /// When all accepted calls are done, in microseconds.
    free_at: u64,
}

impl Turns {
    /// Accepts a call of so much work, and returns when it is done; `None` where more than `most_ahead_us` of work is
    /// ahead of it, and it is rejected. All in microseconds.
    pub fn take(&mut self, now: u64, work_us: u64, most_ahead_us: u64) -> Option<u64> {
        if self.free_at > now.saturating_add(most_ahead_us) {
            return None;
        }
        self.free_at = self.free_at.max(now) + work_us;
        Some(self.free_at)
    }
}

#[cfg(test)]
mod tests;
