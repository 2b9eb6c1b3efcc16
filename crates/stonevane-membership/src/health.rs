//! Local health (Lifeguard): this member's estimate of how slow it is itself, which it takes into account
//! before it suspects others. The score runs from 0, healthy, to 8; the local health multiplier scales the
//! probe timeout and the protocol period.

/// Highest score: the least healthy member.
const MAX_SCORE: u8 = 8;

/// Local health of this member.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u8,
    /// Whether the multiplier stays 1 whatever the score.
    multiplier_disabled: bool,
}

impl LocalHealth {
    /// Creates the health of a healthy member. Unless `enabled`, the multiplier stays 1.
    pub fn new(enabled: bool) -> LocalHealth {
        LocalHealth { score: 0, multiplier_disabled: !enabled }
    }

    /// Raises the score by `by`: a probe failed, an expected nack did not arrive, this member was suspected,
    /// or its process was paused.
    pub fn penalize(&mut self, by: u64) {
        let by = by.min(u64::from(MAX_SCORE)) as u8;
        self.score = self.score.saturating_add(by).min(MAX_SCORE);
    }

    /// Lowers the score by one: a probe was acknowledged.
    pub fn recover(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns the score, 0 (healthy) to 8.
    pub fn score(self) -> u8 {
        self.score
    }

    /// Returns the local health multiplier, 1 to 9: the factor by which timeouts are longer.
    pub fn multiplier(self) -> u64 {
        if self.multiplier_disabled { 1 } else { 1 + u64::from(self.score) }
    }
}
