//! Dissemination of membership updates: every datagram carries some (piggybacking), and gossip datagrams carry them
//! alone for as long as any are queued.

use super::transmission::Envelope;
use super::{Machine, Outputs};
use crate::Micros;
use crate::dissemination::UpdateQueue;
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record, State};
use crate::wire::{Kind, VERSION, record_capacity};

/// Members that a round of gossip is sent to, at the least.
const MIN_FANOUT: usize = 2;
/// The same, at most.
const MAX_FANOUT: usize = 6;
/// Rounds of gossip in a period.
const ROUNDS_PER_PERIOD: Micros = 4;
/// A new update waits for a period divided by this, for others to share its datagram.
const FIRST_ROUND_DIVISOR: Micros = 8;
/// How often an update is transmitted, for each power of ten of the live members.
const RETRANSMIT_MULTIPLIER: u32 = 4;

/// The queued updates, and when the next round of gossip is due.
#[derive(Debug)]
pub(super) struct Gossip {
    queue: UpdateQueue,
    next_round: Micros,
}

impl Gossip {
    /// Nothing is queued.
    pub fn new(members: MemberId) -> Gossip {
        Gossip { queue: UpdateQueue::new(members), next_round: Micros::MAX }
    }

    /// Adds members of whom nothing is queued.
    pub fn grow(&mut self, members: MemberId) {
        self.queue.grow(members);
    }

    /// Whether no update is queued.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// When the next round is due.
    pub fn next_deadline(&self) -> Micros {
        self.next_round
    }

    /// Queues an update about a member, with the next round no later than `by`.
    fn push(&mut self, member: MemberId, by: Micros) {
        self.queue.push(member);
        self.next_round = self.next_round.min(by);
    }

    /// How many members a round is sent to: more where the updates fill several datagrams.
    fn fanout(&self) -> usize {
        let datagrams = self.queue.len() / record_capacity(VERSION, false, true);
        MIN_FANOUT + datagrams.min(MAX_FANOUT - MIN_FANOUT)
    }
}

/// How often an update is transmitted in a fleet of so many live members.
fn transmit_limit(live: usize) -> u32 {
    let magnitude = (live as f64 + 1.0).log10().ceil() as u32;
    RETRANSMIT_MULTIPLIER * magnitude.max(1)
}

impl<F: Faults> Machine<F> {
    /// Sends a round of gossip, if one is due.
    pub(super) fn run_gossip(&mut self, now: Micros, out: &mut Outputs) {
        if self.gossip.next_round > now {
            return;
        }
        self.gossip.next_round = Micros::MAX;
        if self.faults.has(Mutant::LiesOfIncarnations) {
            self.forge_incarnation(now, out);
        }
        if self.gossip.is_idle() || self.faults.has(Mutant::ForwardsNothing) {
            return;
        }
        let fanout = self.gossip.fanout();
        for member in self.random_peers(fanout, self.setup.number) {
            if !self.gossip.is_idle() {
                self.send(Envelope::new(member, Kind::Gossip, 0, self.setup.number), out);
            }
        }
        if !self.gossip.is_idle() {
            self.gossip.next_round = now + self.setup.period / ROUNDS_PER_PERIOD;
        }
    }

    /// A deliberate fault: states that a dead member is alive, under an incarnation that it never had.
    fn forge_incarnation(&mut self, now: Micros, out: &mut Outputs) {
        let is_dead = |record: &Record| record.state == State::Dead;
        let dead = self.members.iter().filter_map(|(_, member)| member.record()).find(is_dead);
        if let Some(record) = dead {
            let incarnation = record.incarnation.saturating_add(1);
            let forged = Record { state: State::Alive, incarnation, ..record };
            self.merge(now, forged, out);
        }
        self.gossip.next_round = now + self.setup.period / ROUNDS_PER_PERIOD;
    }

    /// Queues an update about a member.
    pub(super) fn disseminate(&mut self, now: Micros, member: MemberId) {
        self.gossip.push(member, now + self.setup.period / FIRST_ROUND_DIVISOR);
    }

    /// The updates to piggyback on a datagram, at most `capacity` records with those that it carries already.
    pub(super) fn piggyback(&mut self, records: &mut Vec<Record>, capacity: usize) {
        if self.faults.has(Mutant::ForwardsNothing) {
            return;
        }
        let limit = transmit_limit(self.members.live_count());
        let updates = self.gossip.queue.take(capacity.saturating_sub(records.len()), limit);
        let updates = updates.into_iter().filter_map(|member| self.members.record(member));
        let added: Vec<Record> = updates.filter(|record| !records.contains(record)).collect();
        records.extend(added);
    }
}
