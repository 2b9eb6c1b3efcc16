//! Status of a member: its own state, its view of the others, and its counters.

use crate::Micros;
use crate::record::{Instance, MemberId, Record, State};
use crate::wire::RejectReason;

/// Counters of datagrams and events since the start of the machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Bytes of the datagrams accepted.
    pub received_bytes: u64,
    /// Datagrams rejected because they are too short or too long.
    pub rejected_length: u64,
    /// Datagrams rejected because of an unknown version.
    pub rejected_version: u64,
    /// Datagrams rejected because of a wrong checksum or keyed digest.
    pub rejected_digest: u64,
    /// Datagrams rejected because their contents are malformed.
    pub rejected_form: u64,
    /// Datagrams rejected because the sender's number is not that of its address, or because they are for
    /// another member.
    pub rejected_address: u64,
    /// Datagrams rejected as replays, as too old to be checked, or as sent by an ended instance.
    pub rejected_old: u64,
    /// Probes that were not acknowledged within their protocol period.
    pub probes_failed: u64,
    /// Suspicions that this member started.
    pub suspicions_started: u64,
    /// Suspicions and declarations of its own death that this member refuted.
    pub suspicions_refuted: u64,
    /// Members that this member declared dead.
    pub declared_dead: u64,
    /// Pauses of its own process that this member detected.
    pub pauses: u64,
    /// Records about this member that it can supersede only under a new generation, for instance those of
    /// another process with its number.
    pub identity_conflicts: u64,
}

impl Counts {
    /// Counts a datagram that was rejected when it was read.
    pub(crate) fn reject(&mut self, reason: RejectReason) {
        let count = match reason {
            RejectReason::Length => &mut self.rejected_length,
            RejectReason::Version => &mut self.rejected_version,
            RejectReason::Digest => &mut self.rejected_digest,
            RejectReason::Malformed => &mut self.rejected_form,
            RejectReason::Address => &mut self.rejected_address,
        };
        *count += 1;
    }
}

/// View of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Number of the member.
    pub member: MemberId,
    /// Latest record of the member; `None` if the member is unknown.
    pub record: Option<Record>,
    /// State of the member as this member sees it, local suspicions included; `None` if unknown.
    pub state: Option<State>,
    /// Time of the last change of the member's state or instance.
    pub changed_at: Micros,
    /// Arrival time of the member's newest datagram.
    pub last_received: Option<Micros>,
    /// Time of the member's last ack to a direct probe.
    pub last_answered: Option<Micros>,
    /// Time at which a direct probe of the member last timed out.
    pub last_unanswered: Option<Micros>,
    /// Local health score that the member's newest datagram carried, 0 (healthy) to 8.
    pub health: u8,
    /// Number of members known to suspect the member.
    pub reporters: u8,
}

impl MemberStatus {
    /// Returns whether the member answered the last direct probe.
    pub fn answers(&self) -> bool {
        self.last_answered.is_some() && self.last_answered >= self.last_unanswered
    }

    /// Returns whether the path to the member is cut: its datagrams arrive although it does not answer
    /// probes.
    pub fn outbound_cut(&self) -> bool {
        self.last_unanswered > self.last_answered && self.last_received >= self.last_unanswered
    }

    /// Returns whether the path from the member is cut: others report it alive although neither acks nor
    /// other datagrams arrive from it.
    pub fn inbound_cut(&self) -> bool {
        let alive = self.state == Some(State::Alive);
        alive && self.last_unanswered > self.last_answered && self.last_received < self.last_unanswered
    }
}

/// Status of this member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Number of this member.
    pub number: MemberId,
    /// Instance of this member's process.
    pub instance: Instance,
    /// Incarnation of that instance.
    pub incarnation: u32,
    /// Local health score, 0 (healthy) to 8.
    pub health: u8,
    /// Start of the isolation of this member: no datagram has arrived since, and a probe has failed
    /// meanwhile. `None` if it is not isolated.
    pub isolated_since: Option<Micros>,
    /// Digest of this member's table; equal at members whose tables agree.
    pub digest: u32,
    /// All members by number, this one included.
    pub members: Vec<MemberStatus>,
    /// Counters of datagrams and events.
    pub counts: Counts,
}
