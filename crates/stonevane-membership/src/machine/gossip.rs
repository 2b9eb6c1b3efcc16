//! Dissemination of membership updates: every datagram carries queued updates (piggybacking), and while any
//! are queued, rounds of gossip send datagrams that carry updates only.

use super::transmission::Envelope;
use super::{Machine, Outputs};
use crate::Micros;
use crate::dissemination::UpdateQueue;
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record, State};
use crate::wire::{Kind, VERSION, record_capacity};

/// Minimum number of members to which a round of gossip is sent.
const MIN_FANOUT: usize = 2;
/// Maximum number of members to which a round of gossip is sent.
const MAX_FANOUT: usize = 6;
/// Rounds of gossip per protocol period.
const ROUNDS_PER_PERIOD: Micros = 4;
/// Divisor of the protocol period: a new update waits at most the quotient for its round of gossip, so that
/// other updates can share the datagram.
const FIRST_ROUND_DIVISOR: Micros = 8;
/// Transmissions of an update for each decimal digit of the number of live members.
const RETRANSMIT_MULTIPLIER: u32 = 4;

/// Queued updates, and the time of the next round of gossip.
#[derive(Debug)]
pub(super) struct Gossip {
    queue: UpdateQueue,
    next_round_at: Micros,
}

impl Gossip {
    /// Creates an empty queue for `members` members.
    pub fn new(members: MemberId) -> Gossip {
        Gossip { queue: UpdateQueue::new(members), next_round_at: Micros::MAX }
    }

    /// Grows the queue to `members` members.
    pub fn grow(&mut self, members: MemberId) {
        self.queue.grow(members);
    }

    /// Returns whether no update is queued.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the time of the next round of gossip; [`Micros::MAX`] if none is scheduled.
    pub fn next_deadline(&self) -> Micros {
        self.next_round_at
    }

    /// Queues an update about a member; the next round is due no later than `by`.
    fn push(&mut self, member: MemberId, by: Micros) {
        self.queue.push(member);
        self.next_round_at = self.next_round_at.min(by);
    }

    /// Returns the number of members to which a round is sent: more if the updates fill several datagrams.
    fn fanout(&self) -> usize {
        let datagrams = self.queue.len() / record_capacity(VERSION, false, true);
        MIN_FANOUT + datagrams.min(MAX_FANOUT - MIN_FANOUT)
    }
}

/// Returns how often an update is transmitted in a fleet of `live` live members.
fn transmit_limit(live: usize) -> u32 {
    let magnitude = (live as f64 + 1.0).log10().ceil() as u32;
    RETRANSMIT_MULTIPLIER * magnitude.max(1)
}

impl<F: Faults> Machine<F> {
    /// Sends a round of gossip if one is due.
    pub(super) fn run_gossip(&mut self, now: Micros, out: &mut Outputs) {
        if self.gossip.next_round_at > now {
            return;
        }
        self.gossip.next_round_at = Micros::MAX;
        if self.faults.has(Mutant::ForgesIncarnations) {
            self.forge_incarnation(now, out);
        }
        if self.gossip.is_idle() || self.faults.has(Mutant::ForwardsNothing) {
            return;
        }
        let fanout = self.gossip.fanout();
        for member in self.random_peers(fanout, self.config.number) {
            if !self.gossip.is_idle() {
                self.send(Envelope::new(member, Kind::Gossip, 0, self.config.number), out);
            }
        }
        if !self.gossip.is_idle() {
            self.gossip.next_round_at = now + self.config.period / ROUNDS_PER_PERIOD;
        }
    }

    /// Reports a dead member as alive, under an incarnation that it never had (a deliberate fault).
    fn forge_incarnation(&mut self, now: Micros, out: &mut Outputs) {
        let is_dead = |record: &Record| record.state == State::Dead;
        let dead = self.members.iter().filter_map(|(_, member)| member.record()).find(is_dead);
        if let Some(record) = dead {
            let incarnation = record.incarnation.saturating_add(1);
            let forged = Record { state: State::Alive, incarnation, ..record };
            self.merge(now, forged, out);
        }
        self.gossip.next_round_at = now + self.config.period / ROUNDS_PER_PERIOD;
    }

    /// Queues an update about a member for dissemination.
    pub(super) fn disseminate(&mut self, now: Micros, member: MemberId) {
        self.gossip.push(member, now + self.config.period / FIRST_ROUND_DIVISOR);
    }

    /// Adds queued updates to the records of a datagram, up to `capacity` records in total.
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
