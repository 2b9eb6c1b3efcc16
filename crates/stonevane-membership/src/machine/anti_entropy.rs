//! Anti-entropy: members whose table digests differ exchange the digests of their partitions, and send each
//! other the records of the partitions that differ. This repairs what dissemination has missed, for instance
//! during a network partition.

use super::transmission::Envelope;
use super::{Machine, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record};
use crate::wire::{Kind, Message, PARTITIONS, record_capacity};

/// Maximum number of datagrams with records that are sent in answer to one datagram with digests.
const MAX_ANSWER_DATAGRAMS: usize = 32;
/// Maximum number of exchanges answered per protocol period.
const MAX_ANSWERS_PER_PERIOD: u32 = 4;
/// Protocol periods between two exchanges that this member starts.
const REQUEST_INTERVAL_PERIODS: Micros = 1;
/// Protocol periods between two exchanges while updates are being disseminated, which may make the tables
/// equal without an exchange.
const REQUEST_INTERVAL_PERIODS_DURING_UPDATES: Micros = 2;

/// Rate limits of exchanges.
#[derive(Debug)]
pub(super) struct AntiEntropy {
    next_request_at: Micros,
    /// Exchanges answered in the period that began at `window_started_at`.
    answers: u32,
    window_started_at: Micros,
}

impl AntiEntropy {
    /// Creates the state before the first exchange, which may start now.
    pub fn new(now: Micros) -> AntiEntropy {
        AntiEntropy { next_request_at: now, answers: 0, window_started_at: now }
    }

    /// Allows this member to start an exchange from the time `at` on.
    pub fn allow_request_at(&mut self, at: Micros) {
        self.next_request_at = at;
    }

    fn may_request(&self, now: Micros) -> bool {
        now >= self.next_request_at
    }

    /// Returns whether one more exchange may be answered in this period, and counts it if so.
    fn admit_answer(&mut self, now: Micros, period: Micros) -> bool {
        if now >= self.window_started_at + period {
            self.answers = 0;
            self.window_started_at = now;
        }
        let admitted = self.answers < MAX_ANSWERS_PER_PERIOD;
        self.answers += u32::from(admitted);
        admitted
    }
}

impl<F: Faults> Machine<F> {
    /// Starts an exchange with the sender of an ack if the sender's table differs from this member's table
    /// and the rate limit allows an exchange.
    pub(super) fn compare_tables(&mut self, now: Micros, ack: &Message, out: &mut Outputs) {
        let equal = ack.digest == self.members.digests().overall();
        if equal || !self.anti_entropy.may_request(now) || self.faults.has(Mutant::NoRepair) {
            return;
        }
        let updating = !self.gossip.is_idle();
        let periods =
            if updating { REQUEST_INTERVAL_PERIODS_DURING_UPDATES } else { REQUEST_INTERVAL_PERIODS };
        self.anti_entropy.allow_request_at(now + periods * self.config.period);
        self.send(Envelope::new(ack.from, Kind::Digests, ack.probe, self.config.number), out);
    }

    /// Answers a member's partition digests with this table's records of all partitions whose digests differ.
    /// If the member started the exchange and any records were sent, also sends this table's digests, so that
    /// the member answers with its own records.
    pub(super) fn handle_digests(&mut self, now: Micros, message: &Message, out: &mut Outputs) {
        let Some(digests) = &message.digests else { return };
        if self.faults.has(Mutant::ForwardsNothing) {
            return;
        }
        if !self.anti_entropy.admit_answer(now, self.config.period) {
            return;
        }
        let records = self.differing_records(digests);
        self.send_records(message.from, message.probe, &records, out);
        if message.kind == Kind::Digests && !records.is_empty() {
            self.send(
                Envelope::new(message.from, Kind::DigestsReply, message.probe, self.config.number),
                out,
            );
        }
    }

    /// Returns the records of the partitions that differ, beginning with a random partition.
    fn differing_records(&mut self, digests: &[u32; PARTITIONS]) -> Vec<Record> {
        let first = self.random.below(PARTITIONS);
        let differing = self.members.digests().differing(digests, first);
        differing.into_iter().flat_map(|partition| self.members.partition(partition)).collect()
    }

    /// Sends records in as many datagrams as needed, up to [`MAX_ANSWER_DATAGRAMS`].
    fn send_records(&mut self, to: MemberId, probe: u32, records: &[Record], out: &mut Outputs) {
        let capacity = record_capacity(self.version_for(to), false, self.config.key.is_some());
        let envelope = Envelope::new(to, Kind::Gossip, probe, self.config.number);
        for records in records.chunks(capacity).take(MAX_ANSWER_DATAGRAMS) {
            self.transmit(envelope, records.to_vec(), out);
        }
    }
}
