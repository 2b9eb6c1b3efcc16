//! Whether a read may be done where it is asked, in the place of a thread that may wait for the disk: as long as such
//! reads are quick. One that was slow sends all to the threads for a while, doubled each time, so that a slow disk
//! holds its caller up for one read in a long time. No I/O, no clock.

/// Microseconds of any clock that only advances.
pub type Micros = u64;

/// When a read is slow, and what follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// One that takes longer is slow.
    pub slow: Micros,
    /// After a slow one none is done here for so long ...
    pub shortest: Micros,
    /// ... doubled with each, up to this.
    pub longest: Micros,
    /// After so many quick ones in a row it begins again with the shortest.
    pub forgive: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { slow: 1_000, shortest: 1_000_000, longest: 60_000_000, forgive: 1_000 }
    }
}

/// How reads went.
#[derive(Debug, Clone)]
pub struct Quick {
    limits: Limits,
    until: Micros,
    rest: Micros,
    quick: u32,
}

impl Quick {
    /// One that has seen no read.
    pub fn new(limits: Limits) -> Self {
        Quick { limits, until: 0, rest: limits.shortest, quick: 0 }
    }

    /// Whether a read may be done here now.
    pub fn may(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// A read was done here, and took so long.
    pub fn took(&mut self, now: Micros, took: Micros) {
        if took > self.limits.slow {
            self.until = now.saturating_add(self.rest);
            self.rest = self.rest.saturating_mul(2).min(self.limits.longest);
            self.quick = 0;
        } else if self.quick < self.limits.forgive {
            self.quick += 1;
            if self.quick == self.limits.forgive {
                self.rest = self.limits.shortest;
            }
        }
    }
}

#[cfg(test)]
mod tests;
