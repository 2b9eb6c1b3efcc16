//! Sending: datagrams with their sequence numbers, the sender's own state and piggybacked updates.

use std::collections::VecDeque;

use super::{Machine, Outputs};
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record};
use crate::wire::{Kind, Message, record_capacity};

/// The lowest version of datagrams: one that all members read.
const FIRST_VERSION: u8 = 1;
/// Datagrams that a member which replays them holds back.
const REPLAY_BACKLOG: usize = 100;

/// The receiver of a datagram and what it is for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Envelope {
    to: MemberId,
    kind: Kind,
    probe: u32,
    about: MemberId,
}

impl Envelope {
    /// A datagram that belongs to the probe of a number and is about a member.
    pub fn new(to: MemberId, kind: Kind, probe: u32, about: MemberId) -> Envelope {
        Envelope { to, kind, probe, about }
    }
}

/// The sequence numbers of sent datagrams.
#[derive(Debug, Default)]
pub(super) struct Transmitter {
    sequence: u64,
    /// What a member with the fault [`Mutant::Replays`] has sent and will send again.
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
    /// The version of datagrams that a member reads. One that was not heard yet may read the first only.
    pub(super) fn version_for(&self, to: MemberId) -> u8 {
        let reads = self.members[to].max_version.max(FIRST_VERSION);
        self.setup.max_version.min(reads)
    }

    /// Sends a datagram with as many updates as fit.
    pub(super) fn send(&mut self, envelope: Envelope, out: &mut Outputs) {
        let digests = envelope.kind.carries_digests();
        let capacity = record_capacity(self.version_for(envelope.to), digests, self.setup.key.is_some());
        let mut records = self.leading_records(envelope.to);
        self.piggyback(&mut records, capacity);
        self.transmit(envelope, records, out);
    }

    /// The records that precede piggybacked updates: that this member leaves, and what is known here of the receiver but
    /// not to it, so that it can refute or supersede it.
    fn leading_records(&self, to: MemberId) -> Vec<Record> {
        let receiver = &self.members[to];
        let leave = self.leaving.then(|| self.own_record());
        let unknown_to_receiver = receiver.record().filter(|record| !receiver.knows(record));
        leave.into_iter().chain(unknown_to_receiver).collect()
    }

    /// Sends a datagram with these records and no others.
    pub(super) fn transmit(&mut self, envelope: Envelope, records: Vec<Record>, out: &mut Outputs) {
        let message = self.message(envelope, records);
        let bytes = message.bytes(self.setup.key.as_ref());
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
            max_version: self.setup.max_version,
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

    /// The number under which this member sends.
    fn sender(&self) -> MemberId {
        let impersonates = self.faults.has(Mutant::ClaimsAnother);
        if impersonates { (self.setup.number + 1) % self.setup.members } else { self.setup.number }
    }
}
