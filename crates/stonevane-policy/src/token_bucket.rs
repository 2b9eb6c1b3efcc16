//! Token buckets: one that counts what is left, one that counts what is spent.

use crate::ids::Micros;

/// A token bucket.
#[derive(Default, Clone)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Micros,
}

impl TokenBucket {
    /// Fills it at a rate per second up to a capacity, and returns whether it has a token.
    pub fn refill(&mut self, now: Micros, per_second: f64, capacity: f64) -> bool {
        let added = per_second.max(0.0) * now.saturating_sub(self.filled_at) as f64 / 1e6;
        self.tokens = if added.is_nan() { self.tokens } else { (self.tokens + added).min(capacity) };
        self.filled_at = now;
        self.tokens >= 1.0
    }

    /// Takes a token, or what there is of one.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns a token.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }
}

/// Tokens spent and not yet earned back: a bucket whose rate and capacity change between uses.
#[derive(Default, Clone, Copy)]
pub struct SpentTokens {
    tokens: f64,
    updated_at: Micros,
}

impl SpentTokens {
    /// So many tokens spent at a time.
    pub fn new(tokens: f64, now: Micros) -> Self {
        SpentTokens { tokens, updated_at: now }
    }

    /// What is still spent, earned back at a rate per microsecond.
    pub fn remaining(&self, now: Micros, per_microsecond: f64) -> f64 {
        (self.tokens - per_microsecond * now.saturating_sub(self.updated_at) as f64).max(0.0)
    }
}
