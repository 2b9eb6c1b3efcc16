//! Parameters of a member, and inputs and outputs of its machine.

use std::collections::VecDeque;

use crate::Micros;
use crate::record::{MemberId, Record, State};

/// Parameters of a member, set at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberConfig {
    /// Number of this member: its index in the list of peers.
    pub number: MemberId,
    /// Number of members in the fleet, this one included.
    pub members: MemberId,
    /// Protocol period, in microseconds: one probe is sent in each.
    pub period: Micros,
    /// Probe timeout, in microseconds, after which indirect probes are requested from other members.
    pub probe_timeout: Micros,
    /// Number of other members from which indirect probes are requested.
    pub indirect_probes: usize,
    /// Suspicion multiplier: the shortest suspicion timeout, in protocol periods, is the multiplier times the
    /// decimal logarithm of the number of live members, or the multiplier itself if the logarithm is below 1.
    pub suspicion_multiplier: f64,
    /// Whether the Lifeguard extensions lengthen timeouts: the local health multiplier, and the longer
    /// timeout of a suspicion that few members have confirmed.
    pub uses_local_health: bool,
    /// Key that all members share; `None` if datagrams carry a checksum instead of a keyed digest.
    pub key: Option<[u8; 32]>,
    /// Highest datagram version that this member sends.
    pub max_version: u8,
    /// Seed of the random choices.
    pub seed: u64,
    /// Nonce of this instance, drawn anew at each start of the process.
    pub nonce: u32,
}

impl Default for MemberConfig {
    fn default() -> Self {
        MemberConfig {
            number: 0,
            members: 1,
            period: 1_000_000,
            probe_timeout: 500_000,
            indirect_probes: 3,
            suspicion_multiplier: 3.0,
            uses_local_health: true,
            key: None,
            max_version: crate::wire::VERSION,
            seed: 0,
            nonce: 1,
        }
    }
}

/// Input of the machine.
#[derive(Debug, Clone, Copy)]
pub enum Input<'b> {
    /// Datagram that arrived from the address of a member.
    Datagram(MemberId, &'b [u8]),
    /// Wake-up, due at the time that `Machine::next_wake_at` returned.
    Wake,
    /// Number of members in a newer list of peers. Members keep their numbers, so a shorter list changes
    /// nothing.
    Members(MemberId),
    /// The process is about to end: the member announces that it leaves.
    Leave,
}

/// Change of a member's state or instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberEvent {
    /// State before the change; `None` if the member was unknown.
    pub previous: Option<State>,
    /// Record after the change.
    pub record: Record,
}

/// Outputs of the machine, for the caller to act on.
#[derive(Debug, Default)]
pub struct Outputs {
    /// Datagrams to send, each with its receiver.
    pub sends: VecDeque<(MemberId, Vec<u8>)>,
    /// Membership changes, in the order in which they happened.
    pub events: Vec<MemberEvent>,
}
