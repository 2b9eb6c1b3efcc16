//! Isolation: whether any datagrams reach this member. While none do, a failed probe may be this member's own
//! fault, so it suspects the probed member only locally and disseminates nothing.

use std::collections::BTreeSet;

use crate::Micros;
use crate::record::MemberId;

/// Arrival time of the last datagram from any member, and the members suspected locally since then.
#[derive(Debug)]
pub(super) struct Isolation {
    silent_since: Micros,
    locally_suspected: BTreeSet<MemberId>,
}

impl Isolation {
    /// Creates the state of a member that is not isolated.
    pub fn new(now: Micros) -> Isolation {
        Isolation { silent_since: now, locally_suspected: BTreeSet::new() }
    }

    /// Records that a datagram was accepted, which ends the isolation.
    pub fn datagram_accepted(&mut self, now: Micros) {
        self.silent_since = now;
        self.locally_suspected.clear();
    }

    /// Restarts the measurement of the silence at `now`, after a pause of this member's process. Local
    /// suspicions stay until a datagram is accepted.
    pub fn restart_silence(&mut self, now: Micros) {
        self.silent_since = now;
    }

    /// Returns when the last datagram was accepted, or when the measurement was restarted after that.
    pub fn silent_since(&self) -> Micros {
        self.silent_since
    }

    /// Suspects a member locally: its probe failed while no datagrams arrived.
    pub fn suspect_locally(&mut self, member: MemberId) {
        self.locally_suspected.insert(member);
    }

    /// Returns whether a member is suspected locally.
    pub fn is_suspected_locally(&self, member: MemberId) -> bool {
        self.locally_suspected.contains(&member)
    }

    /// Returns the start of the silence if any members are suspected locally because of it.
    pub fn isolated_since(&self) -> Option<Micros> {
        (!self.locally_suspected.is_empty()).then_some(self.silent_since)
    }
}
