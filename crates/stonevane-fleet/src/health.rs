//! A member's own health (Lifeguard): how far it must doubt itself before it accuses another. From 0, well, to 8.

/// The worst.
const WORST: u8 = 8;

/// A member's own health.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    score: u8,
    /// Whether it counts at all.
    off: bool,
}

impl Health {
    /// A healthy member's; `heeded`: whether it ever accuses later for it.
    pub fn new(heeded: bool) -> Health {
        Health { score: 0, off: !heeded }
    }

    /// Something speaks against it: a probe that failed, an answer that others should have given, an accusation.
    pub fn worse(&mut self, by: u64) {
        self.score = self.score.saturating_add(by.min(u64::from(WORST)) as u8).min(WORST);
    }

    /// A probe was answered.
    pub fn better(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The score.
    pub fn score(self) -> u8 {
        self.score
    }

    /// By how much its time limits are longer.
    pub fn times(self) -> u64 {
        if self.off { 1 } else { 1 + u64::from(self.score) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_stays_between_well_and_worst_and_counts_only_where_it_is_heeded() {
        let mut health = Health::new(true);
        health.better();
        assert_eq!((health.score(), health.times()), (0, 1));
        health.worse(3);
        health.worse(u64::MAX);
        assert_eq!((health.score(), health.times()), (8, 9));
        health.better();
        assert_eq!(health.times(), 8);
        let mut off = Health::new(false);
        off.worse(5);
        assert_eq!((off.score(), off.times()), (5, 1));
    }
}
