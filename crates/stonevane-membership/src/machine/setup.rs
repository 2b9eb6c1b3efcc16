//! The parameters of a member, and the inputs and outputs of its machine.

use std::collections::VecDeque;

use crate::Micros;
use crate::record::{Number, Record, State};

/// The parameters of a member, set at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Setup {
    /// Its number.
    pub me: Number,
    /// How many members there are.
    pub members: Number,
    /// The protocol period: one probe in each.
    pub period: Micros,
    /// The probe timeout: after it, other members are asked for indirect probes.
    pub answer: Micros,
    /// How many other members are asked for indirect probes.
    pub indirect: usize,
    /// The suspicion multiplier: the shortest suspicion timeout in periods, for each power of ten of the live members.
    pub suspicion: f64,
    /// Whether the Lifeguard extensions lengthen timeouts: the local health multiplier and the longer timeout of a
    /// suspicion that few members share.
    pub heeds_health: bool,
    /// The key that all members share.
    pub key: Option<[u8; 32]>,
    /// The highest version of datagrams that is sent.
    pub speaks: u8,
    /// The seed of its random choices.
    pub seed: u64,
    /// The nonce of this instance, drawn anew at each start.
    pub draw: u32,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            me: 0,
            members: 1,
            period: 1_000_000,
            answer: 500_000,
            indirect: 3,
            suspicion: 3.0,
            heeds_health: true,
            key: None,
            speaks: crate::wire::VERSION,
            seed: 0,
            draw: 1,
        }
    }
}

/// An event that the machine handles.
#[derive(Debug, Clone, Copy)]
pub enum Input<'b> {
    /// A datagram arrived from the address of a member.
    Datagram(Number, &'b [u8]),
    /// Time has passed.
    Wake,
    /// A newer list of peers has this many members. Members keep their numbers: a shorter list changes nothing.
    Members(Number),
    /// The process is about to end.
    Leave,
}

/// A change of a member's state or instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberEvent {
    /// The state before; `None`: the member was unknown.
    pub was: Option<State>,
    /// The record that holds now.
    pub now: Record,
}

/// What the caller has to do.
#[derive(Debug, Default)]
pub struct Outputs {
    /// Datagrams to send, each with its receiver.
    pub sends: VecDeque<(Number, Vec<u8>)>,
    /// Membership changes, in their order.
    pub news: Vec<MemberEvent>,
}
