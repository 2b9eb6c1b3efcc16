//! Token buckets: one that counts the remaining tokens, and one that counts the spent ones.

use crate::ids::Micros;

/// A token bucket that counts the remaining tokens.
#[derive(Default, Clone)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Micros,
}

impl TokenBucket {
    /// Adds the tokens earned since the last call, at a rate per second and up to a capacity. Returns whether
    /// the bucket has at least one token.
    pub fn refill(&mut self, now: Micros, per_second: f64, capacity: f64) -> bool {
        let added = per_second.max(0.0) * now.saturating_sub(self.filled_at) as f64 / 1e6;
        self.tokens = if added.is_nan() { self.tokens } else { (self.tokens + added).min(capacity) };
        self.filled_at = now;
        self.tokens >= 1.0
    }

    /// Takes one token, or the remaining fraction of one.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Puts one token back.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }
}

/// Tokens that are spent and not yet earned back: a bucket whose rate and capacity may change between uses.
#[derive(Default, Clone, Copy)]
pub struct SpentTokens {
    tokens: f64,
    updated_at: Micros,
}

impl SpentTokens {
    /// Creates a count of tokens that are spent at time `now`.
    pub fn new(tokens: f64, now: Micros) -> Self {
        SpentTokens { tokens, updated_at: now }
    }

    /// Returns the tokens that are still spent at time `now`, if they are earned back at a rate per
    /// microsecond.
    pub fn remaining(&self, now: Micros, per_microsecond: f64) -> f64 {
        (self.tokens - per_microsecond * now.saturating_sub(self.updated_at) as f64).max(0.0)
    }
}
