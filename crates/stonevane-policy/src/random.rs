//! Random numbers that depend only on the seed, so that runs are reproducible.

use oorandom::Rand64;

/// A seeded random number generator.
pub struct Random(Rand64);

impl Random {
    /// Creates a generator with a seed.
    pub fn new(seed: u64) -> Self {
        Random(Rand64::new(seed.into()))
    }

    /// Returns a random number in the range from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        self.0.rand_float()
    }
}
