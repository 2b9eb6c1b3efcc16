//! Random numbers that depend on the seed alone, so that a run can be repeated.

use oorandom::Rand64;

/// A source of random numbers.
pub struct Random(Rand64);

impl Random {
    /// A source with a seed.
    pub fn new(seed: u64) -> Self {
        Random(Rand64::new(seed.into()))
    }

    /// A number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        self.0.rand_float()
    }
}
