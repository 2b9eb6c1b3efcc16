//! Reconnection: members that are not live are pinged from time to time. They may have restarted, or a partition that
//! separated them may have healed. A member that knows nobody finds the fleet in the same way.

use std::collections::VecDeque;

use super::transmission::Envelope;
use super::{Machine, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::MemberId;
use crate::wire::Kind;

/// Pings whose answers are waited for, at most.
const MAX_OUTSTANDING: usize = 16;
/// The pace while some other member is live: a steady, small cost.
const CONNECTED: Pace = Pace { pings: 1, attempts_per_period: 1 };
/// The pace while no other member is live, as at the start: faster, until the fleet is found.
const DISCONNECTED: Pace = Pace { pings: 3, attempts_per_period: 5 };

/// How often and how many members are pinged.
struct Pace {
    /// Members pinged in an attempt.
    pings: usize,
    attempts_per_period: Micros,
}

/// The pings outside of the failure detector's rounds.
#[derive(Debug)]
pub(super) struct Reconnection {
    next_attempt: Micros,
    /// Numbers and receivers of pings that may still be answered, the oldest first.
    outstanding: VecDeque<(u32, MemberId)>,
}

impl Reconnection {
    /// No ping yet; the first attempt is due now.
    pub fn new(now: Micros) -> Reconnection {
        Reconnection { next_attempt: now, outstanding: VecDeque::new() }
    }

    /// When the next attempt is due.
    pub fn next_deadline(&self) -> Micros {
        self.next_attempt
    }

    /// Whether an ack of this number from this member answers a ping.
    pub fn is_outstanding(&self, number: u32, member: MemberId) -> bool {
        self.outstanding.contains(&(number, member))
    }

    fn remember(&mut self, number: u32, member: MemberId) {
        if self.outstanding.len() == MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back((number, member));
    }
}

impl<F: Faults> Machine<F> {
    /// Pings random members that are not live, if an attempt is due.
    pub(super) fn run_reconnection(&mut self, now: Micros, out: &mut Outputs) {
        if self.reconnection.next_attempt > now {
            return;
        }
        let me = self.setup.number;
        let connected = self.members.live().any(|member| member != me);
        let pace = if connected { CONNECTED } else { DISCONNECTED };
        self.reconnection.next_attempt = now + self.setup.period / pace.attempts_per_period;
        if self.leaving || connected && self.faults.has(Mutant::NoRepair) {
            return;
        }
        let candidates = self.members.not_live().filter(|member| *member != me).collect();
        self.ping_some(candidates, pace.pings, out);
    }

    fn ping_some(&mut self, mut candidates: Vec<MemberId>, count: usize, out: &mut Outputs) {
        for _ in 0..count.min(candidates.len()) {
            let at = self.random.below(candidates.len());
            let member = candidates.swap_remove(at);
            self.ping_outside_round(member, out);
        }
    }

    /// Pings a member outside of the failure detector's rounds: no answer means nothing.
    pub(super) fn ping_outside_round(&mut self, member: MemberId, out: &mut Outputs) {
        let number = self.probing.next_number();
        self.reconnection.remember(number, member);
        self.send(Envelope::new(member, Kind::Ping, number, self.setup.number), out);
    }
}
