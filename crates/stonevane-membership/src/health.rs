//! Local health (Lifeguard): how slow this member must assume itself to be before it suspects others. The score runs
//! from 0, healthy, to 8; the local health multiplier scales the probe timeout and the protocol period.

/// The worst score.
const MAX_SCORE: u8 = 8;

/// The local health of a member.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u8,
    /// Whether the score is kept, but never lengthens a timeout.
    ignored: bool,
}

impl LocalHealth {
    /// A healthy member. Unless `enabled`, the multiplier stays 1.
    pub fn new(enabled: bool) -> LocalHealth {
        LocalHealth { score: 0, ignored: !enabled }
    }

    /// Raises the score: a probe failed, an expected nack did not come, or this member was suspected.
    pub fn penalize(&mut self, by: u64) {
        let by = by.min(u64::from(MAX_SCORE)) as u8;
        self.score = self.score.saturating_add(by).min(MAX_SCORE);
    }

    /// Lowers the score by one: a probe was acknowledged.
    pub fn recover(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The score.
    pub fn score(self) -> u8 {
        self.score
    }

    /// The local health multiplier: the factor by which timeouts are longer.
    pub fn multiplier(self) -> u64 {
        if self.ignored { 1 } else { 1 + u64::from(self.score) }
    }
}
