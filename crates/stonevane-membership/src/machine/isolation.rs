//! Isolation: whether this member hears anybody at all. While it hears nobody, a failed probe may be its own fault, so
//! that it doubts the probed member locally and disseminates nothing.

use std::collections::BTreeSet;

use crate::Micros;
use crate::record::MemberId;

/// When the last datagram of anybody arrived, and whom this member doubts because none does.
#[derive(Debug)]
pub(super) struct Isolation {
    last_heard: Micros,
    doubted: BTreeSet<MemberId>,
}

impl Isolation {
    /// A member that has not been isolated yet.
    pub fn new(now: Micros) -> Isolation {
        Isolation { last_heard: now, doubted: BTreeSet::new() }
    }

    /// A datagram was accepted: this member is not isolated.
    pub fn heard(&mut self, now: Micros) {
        self.last_heard = now;
        self.doubted.clear();
    }

    /// Measures silence from now on; doubts stay until a datagram is accepted.
    pub fn restart(&mut self, now: Micros) {
        self.last_heard = now;
    }

    /// When the last datagram was accepted.
    pub fn last_heard(&self) -> Micros {
        self.last_heard
    }

    /// Doubts a member whose probe failed while nobody was heard.
    pub fn doubt(&mut self, member: MemberId) {
        self.doubted.insert(member);
    }

    /// Whether a member is doubted.
    pub fn doubts(&self, member: MemberId) -> bool {
        self.doubted.contains(&member)
    }

    /// Since when nobody was heard, where members are doubted for it.
    pub fn isolated_since(&self) -> Option<Micros> {
        (!self.doubted.is_empty()).then_some(self.last_heard)
    }
}
