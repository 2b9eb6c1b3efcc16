//! Transmission: sends datagrams with their sequence numbers, the sender's own state and piggybacked updates.

use std::collections::VecDeque;

use super::{Machine, Outputs};
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record};
use crate::wire::{Kind, Message, record_capacity};

/// Lowest datagram version, which all members read.
const FIRST_VERSION: u8 = 1;
/// Number of datagrams that a member with the fault [`Mutant::Replays`] holds back before it sends the oldest
/// again.
const REPLAY_BACKLOG: usize = 100;

/// Receiver, kind and subject of a datagram.
#[derive(Debug, Clone, Copy)]
pub(super) struct Envelope {
    to: MemberId,
    kind: Kind,
    probe: u32,
    about: MemberId,
}

impl Envelope {
    /// Creates the envelope of a datagram that belongs to the probe number `probe` and is about the member
    /// `about`.
    pub fn new(to: MemberId, kind: Kind, probe: u32, about: MemberId) -> Envelope {
        Envelope { to, kind, probe, about }
    }
}

/// Sequence numbers of sent datagrams.
#[derive(Debug, Default)]
pub(super) struct Transmitter {
    sequence: u64,
    /// Datagrams that a member with the fault [`Mutant::Replays`] has sent and will send again.
    backlog: VecDeque<(MemberId, Vec<u8>)>,
}

impl Transmitter {
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Stores a datagram to replay it later, and returns an old one that is due.
    fn replay(&mut self, to: MemberId, bytes: &[u8]) -> Option<(MemberId, Vec<u8>)> {
        self.backlog.push_back((to, bytes.to_vec()));
        if self.backlog.len() <= REPLAY_BACKLOG {
            return None;
        }
        self.backlog.pop_front()
    }
}

impl<F: Faults> Machine<F> {
    /// Returns the datagram version to use for a member: the highest that both members support. A member from
    /// which no datagram has arrived may support only the first version.
    pub(super) fn version_for(&self, to: MemberId) -> u8 {
        let reads = self.members[to].max_version.max(FIRST_VERSION);
        self.config.max_version.min(reads)
    }

    /// Sends a datagram with as many updates as fit.
    pub(super) fn send(&mut self, envelope: Envelope, out: &mut Outputs) {
        let digests = envelope.kind.carries_digests();
        let capacity = record_capacity(self.version_for(envelope.to), digests, self.config.key.is_some());
        let mut records = self.leading_records(envelope.to);
        self.piggyback(&mut records, capacity);
        self.transmit(envelope, records, out);
    }

    /// Returns the records that precede piggybacked updates: this member's own record if it is leaving, and
    /// the record of the receiver if the receiver may be unaware of it, so that the receiver can refute or
    /// supersede it.
    fn leading_records(&self, to: MemberId) -> Vec<Record> {
        let receiver = &self.members[to];
        let leave = self.leaving.then(|| self.own_record());
        let unknown_to_receiver = receiver.record().filter(|record| !receiver.is_aware_of(record));
        leave.into_iter().chain(unknown_to_receiver).collect()
    }

    /// Sends a datagram with these records and no others.
    pub(super) fn transmit(&mut self, envelope: Envelope, records: Vec<Record>, out: &mut Outputs) {
        let message = self.message(envelope, records);
        let bytes = message.bytes(self.config.key.as_ref());
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        if self.faults.has(Mutant::Replays) {
            out.sends.extend(self.transmitter.replay(envelope.to, &bytes));
        }
        out.sends.push_back((envelope.to, bytes));
    }

    fn message(&mut self, envelope: Envelope, records: Vec<Record>) -> Message {
        let own = self.own_record();
        let digests = self.members.digests();
        Message {
            version: self.version_for(envelope.to),
            max_version: self.config.max_version,
            kind: envelope.kind,
            from: self.sender(),
            to: envelope.to,
            instance: own.instance,
            incarnation: own.incarnation,
            sequence: self.transmitter.next_sequence(),
            probe: envelope.probe,
            about: envelope.about,
            digest: digests.overall(),
            health: self.health.score(),
            digests: envelope.kind.carries_digests().then(|| digests.partitions()),
            records,
        }
    }

    /// Returns the sender number of this member's datagrams: its own, or a wrong one with
    /// [`Mutant::ClaimsAnother`].
    fn sender(&self) -> MemberId {
        let impersonates = self.faults.has(Mutant::ClaimsAnother);
        if impersonates { (self.config.number + 1) % self.config.members } else { self.config.number }
    }
}
