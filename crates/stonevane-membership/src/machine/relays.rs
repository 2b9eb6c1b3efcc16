//! Indirect probes on behalf of other members: a ping-req is answered by a ping to its target, and the target's ack is
//! forwarded. A nack tells the requester in time that this member is alive although the target has not answered.

use super::transmission::Envelope;
use super::{Machine, Outputs, Setup};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::MemberId;
use crate::wire::{Kind, Message};

/// Indirect probes that are in progress at once, at most.
const MAX_RELAYS: usize = 64;
/// A nack is sent after this percentage of the probe timeout, so that it arrives before the requester's period ends.
const NACK_AFTER_PERCENT: Micros = 80;
/// Periods for which a late ack is still forwarded.
const RELAY_PERIODS: Micros = 4;

/// An indirect probe in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    target: MemberId,
    number: u32,
    requester: MemberId,
    /// The requester's number of the probe.
    requested: u32,
    nack_at: Option<Micros>,
    ends: Micros,
}

/// The indirect probes in progress.
#[derive(Debug, Default)]
pub(super) struct Relays(Vec<Relay>);

impl Relays {
    /// Gives all of them up.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The earliest time at which there is something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.0.iter().map(|relay| relay.nack_at.unwrap_or(relay.ends)).min()
    }

    fn is_full(&self) -> bool {
        self.0.len() >= MAX_RELAYS
    }

    /// Adds the probe, under a number of this member, that a ping-req asks for.
    fn add(&mut self, now: Micros, number: u32, request: &Message, setup: &Setup) {
        let nack_after = setup.probe_timeout * NACK_AFTER_PERCENT / 100;
        self.0.push(Relay {
            target: request.about,
            number,
            requester: request.from,
            requested: request.probe,
            nack_at: Some(now + nack_after),
            ends: now + RELAY_PERIODS * setup.period,
        });
    }

    /// Takes the indirect probe that an ack answers.
    fn take_answered(&mut self, ack: &Message) -> Option<Relay> {
        let answers = |relay: &Relay| relay.number == ack.probe && relay.target == ack.from;
        let at = self.0.iter().position(answers)?;
        Some(self.0.swap_remove(at))
    }

    /// The indirect probes whose nacks are due; each is returned once.
    fn take_due_nacks(&mut self, now: Micros) -> Vec<Relay> {
        let mut due = Vec::new();
        for relay in &mut self.0 {
            if relay.nack_at.is_some_and(|at| at <= now) {
                relay.nack_at = None;
                due.push(*relay);
            }
        }
        due
    }

    fn remove_ended(&mut self, now: Micros) {
        self.0.retain(|relay| relay.ends > now);
    }
}

impl<F: Faults> Machine<F> {
    /// Probes a member for the sender of a ping-req.
    pub(super) fn handle_ping_req(&mut self, now: Micros, request: &Message, out: &mut Outputs) {
        let relays = !self.faults.has(Mutant::ForwardsNothing);
        if self.relays.is_full() || request.about == self.setup.number || !relays {
            return;
        }
        let number = self.probing.next_number();
        self.relays.add(now, number, request, &self.setup);
        self.send(Envelope::new(request.about, Kind::Ping, number, self.setup.number), out);
    }

    /// Forwards an ack that answers an indirect probe. Returns whether it did.
    pub(super) fn forward_ack(&mut self, ack: &Message, out: &mut Outputs) -> bool {
        let Some(relay) = self.relays.take_answered(ack) else { return false };
        self.send(Envelope::new(relay.requester, Kind::Ack, relay.requested, ack.from), out);
        true
    }

    /// Sends the nacks that are due, and forgets probes that have ended.
    pub(super) fn run_relays(&mut self, now: Micros, out: &mut Outputs) {
        for relay in self.relays.take_due_nacks(now) {
            self.send(Envelope::new(relay.requester, Kind::Nack, relay.requested, relay.target), out);
        }
        self.relays.remove_ended(now);
    }
}
