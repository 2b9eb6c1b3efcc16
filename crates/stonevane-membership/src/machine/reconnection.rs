//! Reconnection: members that are not live are pinged periodically, because they may have restarted, or a
//! network partition that separated them may have healed. A member that knows no others finds the fleet in
//! the same way.

use std::collections::VecDeque;

use super::transmission::Envelope;
use super::{Machine, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::MemberId;
use crate::wire::Kind;

/// Maximum number of pings whose answers are awaited; a further ping replaces the oldest one.
const MAX_OUTSTANDING_PINGS: usize = 16;
/// Pace while another member is live: a small, steady cost.
const CONNECTED: Pace = Pace { pings: 1, attempts_per_period: 1 };
/// Pace while no other member is live, for instance at the start: faster, to find the fleet soon.
const DISCONNECTED: Pace = Pace { pings: 3, attempts_per_period: 5 };

/// Rate of reconnection attempts.
struct Pace {
    /// Members pinged per attempt.
    pings: usize,
    attempts_per_period: Micros,
}

/// Pings that are independent of the failure detector: to members that are not live, and to a few live
/// members after a pause of this member's process.
#[derive(Debug)]
pub(super) struct Reconnection {
    next_attempt_at: Micros,
    /// Probe numbers and receivers of pings that may still be answered, oldest first.
    outstanding: VecDeque<(u32, MemberId)>,
}

impl Reconnection {
    /// Creates the state before the first ping; the first attempt is due now.
    pub fn new(now: Micros) -> Reconnection {
        Reconnection { next_attempt_at: now, outstanding: VecDeque::new() }
    }

    /// Returns the time of the next attempt.
    pub fn next_deadline(&self) -> Micros {
        self.next_attempt_at
    }

    /// Returns whether an ack with this probe number from `member` answers one of these pings.
    pub fn is_outstanding(&self, number: u32, member: MemberId) -> bool {
        self.outstanding.contains(&(number, member))
    }

    fn remember(&mut self, number: u32, member: MemberId) {
        if self.outstanding.len() == MAX_OUTSTANDING_PINGS {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back((number, member));
    }
}

impl<F: Faults> Machine<F> {
    /// Pings random members that are not live, if an attempt is due.
    pub(super) fn run_reconnection(&mut self, now: Micros, out: &mut Outputs) {
        if self.reconnection.next_attempt_at > now {
            return;
        }
        let me = self.config.number;
        let connected = self.members.live().any(|member| member != me);
        let pace = if connected { CONNECTED } else { DISCONNECTED };
        self.reconnection.next_attempt_at = now + self.config.period / pace.attempts_per_period;
        if self.leaving || connected && self.faults.has(Mutant::NoRepair) {
            return;
        }
        let candidates = self.members.not_live().filter(|member| *member != me).collect();
        self.ping_random(candidates, pace.pings, out);
    }

    fn ping_random(&mut self, mut candidates: Vec<MemberId>, count: usize, out: &mut Outputs) {
        for _ in 0..count.min(candidates.len()) {
            let at = self.random.below(candidates.len());
            let member = candidates.swap_remove(at);
            self.ping_outside_round(member, out);
        }
    }

    /// Pings a member independently of the failure detector, to learn what it knows. A missing answer does
    /// not lead to a suspicion.
    pub(super) fn ping_outside_round(&mut self, member: MemberId, out: &mut Outputs) {
        let number = self.probing.next_number();
        self.reconnection.remember(number, member);
        self.send(Envelope::new(member, Kind::Ping, number, self.config.number), out);
    }
}
