//! Indirect probes on behalf of other members: on a ping-req this member pings the target, and forwards the
//! target's ack to the requester. A nack informs the requester in time that this member is alive although the
//! target has not answered.

use super::transmission::Envelope;
use super::{Machine, MemberConfig, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::MemberId;
use crate::wire::{Kind, Message};

/// Maximum number of concurrent indirect probes; further requests are ignored.
const MAX_RELAYS: usize = 64;
/// A nack is sent after this percentage of the probe timeout, so that it arrives before the requester's
/// period ends.
const NACK_AFTER_PERCENT: Micros = 80;
/// Protocol periods during which a late ack is still forwarded.
const RELAY_LIFETIME_PERIODS: Micros = 4;

/// An indirect probe in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    target: MemberId,
    number: u32,
    requester: MemberId,
    /// Probe number of the ping-req, which the ack or nack to the requester carries.
    requester_probe: u32,
    nack_at: Option<Micros>,
    expires_at: Micros,
}

/// Indirect probes in progress.
#[derive(Debug, Default)]
pub(super) struct Relays(Vec<Relay>);

impl Relays {
    /// Abandons all indirect probes.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the earliest time at which a nack is due or an indirect probe expires.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.0.iter().map(|relay| relay.nack_at.unwrap_or(relay.expires_at)).min()
    }

    fn is_full(&self) -> bool {
        self.0.len() >= MAX_RELAYS
    }

    /// Adds the indirect probe that a ping-req requests, under a probe number of this member.
    fn add(&mut self, now: Micros, number: u32, request: &Message, config: &MemberConfig) {
        let nack_after = config.probe_timeout * NACK_AFTER_PERCENT / 100;
        self.0.push(Relay {
            target: request.about,
            number,
            requester: request.from,
            requester_probe: request.probe,
            nack_at: Some(now + nack_after),
            expires_at: now + RELAY_LIFETIME_PERIODS * config.period,
        });
    }

    /// Takes the indirect probe that an ack answers.
    fn take_answered(&mut self, ack: &Message) -> Option<Relay> {
        let answers = |relay: &Relay| relay.number == ack.probe && relay.target == ack.from;
        let at = self.0.iter().position(answers)?;
        Some(self.0.swap_remove(at))
    }

    /// Returns the indirect probes whose nacks are due, each one once.
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

    fn remove_expired(&mut self, now: Micros) {
        self.0.retain(|relay| relay.expires_at > now);
    }
}

impl<F: Faults> Machine<F> {
    /// Pings the target of a ping-req on behalf of the requester.
    pub(super) fn handle_ping_req(&mut self, now: Micros, request: &Message, out: &mut Outputs) {
        let forwards = !self.faults.has(Mutant::ForwardsNothing);
        if self.relays.is_full() || request.about == self.config.number || !forwards {
            return;
        }
        let number = self.probing.next_number();
        self.relays.add(now, number, request, &self.config);
        self.send(Envelope::new(request.about, Kind::Ping, number, self.config.number), out);
    }

    /// Forwards an ack if it answers an indirect probe, and returns whether it did.
    pub(super) fn forward_ack(&mut self, ack: &Message, out: &mut Outputs) -> bool {
        let Some(relay) = self.relays.take_answered(ack) else { return false };
        self.send(Envelope::new(relay.requester, Kind::Ack, relay.requester_probe, ack.from), out);
        true
    }

    /// Sends the nacks that are due, and removes expired indirect probes.
    pub(super) fn run_relays(&mut self, now: Micros, out: &mut Outputs) {
        for relay in self.relays.take_due_nacks(now) {
            self.send(Envelope::new(relay.requester, Kind::Nack, relay.requester_probe, relay.target), out);
        }
        self.relays.remove_expired(now);
    }
}
