//! Decides whether a read may run on the caller's thread instead of a reader thread, which may block on the
//! disk. Inline reads are allowed as long as they are fast. A slow one pauses them, for a time that doubles
//! with each further slow read, so that a slow disk rarely blocks the caller. No I/O, no clock.

/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// Threshold of a slow read, and bounds of the pause after one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// A read that takes longer is slow.
    pub slow_threshold: Micros,
    /// Pause of inline reads after the first slow read; doubles with each further one.
    pub min_pause: Micros,
    /// The longest pause.
    pub max_pause: Micros,
    /// Number of fast reads in a row that reset the pause to [`Limits::min_pause`].
    pub reset_after: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { slow_threshold: 1_000, min_pause: 1_000_000, max_pause: 60_000_000, reset_after: 1_000 }
    }
}

/// Decides whether reads may run inline, from the durations of past inline reads.
#[derive(Debug, Clone)]
pub struct InlineReadPolicy {
    limits: Limits,
    paused_until: Micros,
    next_pause: Micros,
    /// Fast reads in a row, counted up to [`Limits::reset_after`].
    fast_reads: u32,
}

impl InlineReadPolicy {
    /// A policy that allows inline reads.
    pub fn new(limits: Limits) -> Self {
        InlineReadPolicy { limits, paused_until: 0, next_pause: limits.min_pause, fast_reads: 0 }
    }

    /// Whether a read may run inline now.
    pub fn allows(&self, now: Micros) -> bool {
        now >= self.paused_until
    }

    /// Records the duration of an inline read, which may pause inline reads or shorten later pauses.
    pub fn record(&mut self, now: Micros, duration: Micros) {
        if duration > self.limits.slow_threshold {
            self.paused_until = now.saturating_add(self.next_pause);
            self.next_pause = self.next_pause.saturating_mul(2).min(self.limits.max_pause);
            self.fast_reads = 0;
        } else if self.fast_reads < self.limits.reset_after {
            self.fast_reads += 1;
            if self.fast_reads == self.limits.reset_after {
                self.next_pause = self.limits.min_pause;
            }
        }
    }
}

#[cfg(test)]
mod tests;
