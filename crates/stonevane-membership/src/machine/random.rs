//! Random choices, drawn from the seed of the member.

use oorandom::Rand64;

use crate::record::MemberId;

/// Source of random choices.
#[derive(Debug)]
pub(super) struct Random(Rand64);

impl Random {
    /// Creates the source for one instance of a member.
    pub fn new(seed: u64, nonce: u32) -> Random {
        Random(Rand64::new(u128::from(seed) << 32 | u128::from(nonce)))
    }

    /// Returns a number below `count`, or 0 if `count` is 0.
    pub fn below(&mut self, count: usize) -> usize {
        self.0.rand_range(0..count.max(1) as u64) as usize
    }

    /// Chooses `count` of the candidates, or all if there are fewer, in random order.
    pub fn choose(&mut self, mut candidates: Vec<MemberId>, count: usize) -> Vec<MemberId> {
        let count = count.min(candidates.len());
        for at in 0..count {
            let other = at + self.below(candidates.len() - at);
            candidates.swap(at, other);
        }
        candidates.truncate(count);
        candidates
    }
}
