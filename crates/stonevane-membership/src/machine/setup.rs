//! The parameters of a member, and the inputs and outputs of its machine.

use std::collections::VecDeque;

use crate::Micros;
use crate::record::{MemberId, Record, State};

/// The parameters of a member, set at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Setup {
    /// Its number.
    pub number: MemberId,
    /// How many members there are.
    pub members: MemberId,
    /// The protocol period: one probe in each.
    pub period: Micros,
    /// The probe timeout: after it, indirect probes are requested from other members.
    pub probe_timeout: Micros,
    /// From how many other members indirect probes are requested.
    pub indirect_probes: usize,
    /// The suspicion multiplier: the shortest suspicion timeout in periods, for each power of ten of the live members.
    pub suspicion_multiplier: f64,
    /// Whether the Lifeguard extensions lengthen timeouts: the local health multiplier and the longer timeout of a
    /// suspicion that few members share.
    pub uses_local_health: bool,
    /// The key that all members share.
    pub key: Option<[u8; 32]>,
    /// The highest version of datagrams that is sent.
    pub max_version: u8,
    /// The seed of its random choices.
    pub seed: u64,
    /// The nonce of this instance, drawn anew at each start.
    pub nonce: u32,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
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

/// An event that the machine handles.
#[derive(Debug, Clone, Copy)]
pub enum Input<'b> {
    /// A datagram arrived from the address of a member.
    Datagram(MemberId, &'b [u8]),
    /// Time has passed.
    Wake,
    /// A newer list of peers has this many members. Members keep their numbers: a shorter list changes nothing.
    Members(MemberId),
    /// The process is about to end.
    Leave,
}

/// A change of a member's state or instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberEvent {
    /// The state before; `None`: the member was unknown.
    pub previous: Option<State>,
    /// The record that holds now.
    pub record: Record,
}

/// What the caller has to do.
#[derive(Debug, Default)]
pub struct Outputs {
    /// Datagrams to send, each with its receiver.
    pub sends: VecDeque<(MemberId, Vec<u8>)>,
    /// Membership changes, in their order.
    pub events: Vec<MemberEvent>,
}
