//! The status of a member: its own, its view of the others, and its counters.

use crate::Micros;
use crate::record::{Instance, MemberId, Record, State};
use crate::wire::Refused;

/// Counters of datagrams and events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of those.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub heard: u64,
    /// Bytes of those.
    pub heard_bytes: u64,
    /// Refused: too short or too long.
    pub refused_length: u64,
    /// Refused: an unknown version.
    pub refused_version: u64,
    /// Refused: a wrong checksum or keyed digest.
    pub refused_digest: u64,
    /// Refused: malformed.
    pub refused_form: u64,
    /// Refused: the sender's number is not that of its address, or it is for another member.
    pub refused_address: u64,
    /// Refused: a replay, or too old to tell.
    pub refused_old: u64,
    /// Probes that were not answered in their period.
    pub probes_failed: u64,
    /// Suspicions that it began.
    pub accused: u64,
    /// Suspicions of itself that it refuted.
    pub refuted: u64,
    /// Members that it declared dead.
    pub declared: u64,
    /// Pauses of its own process that it detected.
    pub pauses: u64,
    /// Times that another instance of its own member was later than itself.
    pub identity_conflicts: u64,
}

impl Counts {
    /// Counts a datagram that was refused when it was read.
    pub(crate) fn refuse(&mut self, reason: Refused) {
        let count = match reason {
            Refused::Length => &mut self.refused_length,
            Refused::Version => &mut self.refused_version,
            Refused::Digest => &mut self.refused_digest,
            Refused::Form => &mut self.refused_form,
            Refused::Address => &mut self.refused_address,
        };
        *count += 1;
    }
}

/// What is known of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its number.
    pub member: MemberId,
    /// Its latest record; `None`: it is unknown.
    pub record: Option<Record>,
    /// Its state, as this member sees it.
    pub state: Option<State>,
    /// Since when its state and instance are as they are.
    pub since: Micros,
    /// When its newest datagram arrived.
    pub heard: Option<Micros>,
    /// When it last answered a direct probe.
    pub answered: Option<Micros>,
    /// When it last did not answer a direct probe in time.
    pub unanswered: Option<Micros>,
    /// The score of its local health, as it stated it.
    pub health: u8,
    /// How many members suspect it.
    pub accusers: u8,
}

impl MemberStatus {
    /// Whether it answered the last direct probe.
    pub fn answers(&self) -> bool {
        self.answered.is_some() && self.answered >= self.unanswered
    }

    /// Whether its datagrams arrive although it does not answer: the path to it is cut.
    pub fn outbound_cut(&self) -> bool {
        self.unanswered > self.answered && self.heard >= self.unanswered
    }

    /// Whether others hold it alive although it neither answers nor is heard: the path from it is cut.
    pub fn inbound_cut(&self) -> bool {
        let alive = self.state == Some(State::Alive);
        alive && self.unanswered > self.answered && self.heard < self.unanswered
    }
}

/// The status of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its number.
    pub number: MemberId,
    /// Its instance.
    pub instance: Instance,
    /// Its incarnation.
    pub incarnation: u32,
    /// The score of its local health.
    pub health: u8,
    /// Since when it has heard nobody, where it doubts others for it.
    pub isolated_since: Option<Micros>,
    /// The digest of its member table: equal at members whose tables agree.
    pub digest: u32,
    /// Every member, its own entry among them.
    pub members: Vec<MemberStatus>,
    /// Its counters.
    pub counts: Counts,
}
