//! Reception of datagrams: checks them, merges their records, and dispatches them by kind.

use super::probing::AckOutcome;
use super::replay::Acceptance;
use super::transmission::Envelope;
use super::{Machine, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record, State};
use crate::wire::{Kind, Message, RejectReason};

impl<F: Faults> Machine<F> {
    /// Handles a datagram that arrived from the address of the member `from`.
    pub(super) fn receive(&mut self, now: Micros, from: MemberId, bytes: &[u8], out: &mut Outputs) {
        let message = match self.read(from, bytes) {
            Ok(message) => message,
            Err(reason) => return self.counts.reject(reason),
        };
        let acceptance = self.accept(&message);
        match acceptance {
            Acceptance::Newest => self.observe_sender(now, &message),
            Acceptance::OutOfOrder => {}
            Acceptance::Duplicate | Acceptance::EndedInstance => {
                self.counts.rejected_old += 1;
                return;
            }
        }
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        self.members[from].max_version = message.max_version;
        self.merge_all(now, &message, out);
        self.dispatch(now, &message, out);
    }

    /// Decodes a datagram, and checks its sender and receiver.
    fn read(&self, from: MemberId, bytes: &[u8]) -> Result<Message, RejectReason> {
        let message = Message::read(bytes, self.config.key.as_ref(), self.config.members)?;
        let me = self.config.number;
        if message.from != from || message.to != me || from == me {
            return Err(RejectReason::Address);
        }
        Ok(message)
    }

    /// Applies the replay protection of the sender to a datagram.
    fn accept(&mut self, message: &Message) -> Acceptance {
        let sender = &mut self.members[message.from];
        let known = sender.record().map(|record| record.instance);
        let acceptance = sender.replay.accept(message.instance, message.sequence, known);
        if acceptance == Acceptance::EndedInstance {
            // If the sender's instance is running after all, datagrams to it carry the record that it has to
            // supersede.
            sender.advertised = None;
        }
        acceptance
    }

    /// Updates the entry of a sender from its newest datagram.
    fn observe_sender(&mut self, now: Micros, message: &Message) {
        let sender = &mut self.members[message.from];
        sender.last_received = Some(now);
        sender.advertised = Some((message.instance, message.incarnation));
        sender.health = message.health;
        self.isolation.datagram_accepted(now);
    }

    /// Merges the record of the sender, which is alive, and all records that a datagram carries.
    fn merge_all(&mut self, now: Micros, message: &Message, out: &mut Outputs) {
        let sender = Record {
            member: message.from,
            instance: message.instance,
            incarnation: message.incarnation,
            state: State::Alive,
            by: message.from,
        };
        self.merge(now, sender, out);
        for record in &message.records {
            self.merge(now, *record, out);
        }
    }

    fn dispatch(&mut self, now: Micros, message: &Message, out: &mut Outputs) {
        match message.kind {
            Kind::Ping => self.handle_ping(message, out),
            Kind::PingReq => self.handle_ping_req(now, message, out),
            Kind::Ack => self.handle_ack(now, message, out),
            Kind::Nack => self.probing.nack(message.probe, self.faults.has(Mutant::NackIsAck)),
            Kind::Gossip => {}
            Kind::Digests | Kind::DigestsReply => self.handle_digests(now, message, out),
        }
    }

    fn handle_ping(&mut self, ping: &Message, out: &mut Outputs) {
        self.send(Envelope::new(ping.from, Kind::Ack, ping.probe, self.config.number), out);
    }

    fn handle_ack(&mut self, now: Micros, ack: &Message, out: &mut Outputs) {
        if self.forward_ack(ack, out) {
            return;
        }
        let mut from_target = self.reconnection.is_outstanding(ack.probe, ack.from);
        match self.probing.acknowledge(ack) {
            AckOutcome::Unrelated => {}
            AckOutcome::Mismatched => return,
            AckOutcome::Answered { direct, first } => {
                from_target |= direct;
                self.probe_answered(now, ack.from, direct, first);
            }
        }
        if from_target {
            self.compare_tables(now, ack, out);
        }
    }

    fn probe_answered(&mut self, now: Micros, from: MemberId, direct: bool, first: bool) {
        if direct {
            self.members[from].last_answered = Some(now);
        }
        if first {
            self.health.recover();
        }
    }
}
