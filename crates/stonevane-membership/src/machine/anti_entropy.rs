//! Anti-entropy: members whose table digests differ exchange the digests of their partitions, and send each other the
//! records of those that differ. This repairs whatever dissemination has missed, such as during a partition.

use super::transmission::Envelope;
use super::{Machine, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record};
use crate::wire::{Kind, Message, PARTITIONS, record_capacity};

/// Datagrams that answer one exchange, at most.
const MAX_ANSWER_DATAGRAMS: usize = 32;
/// Exchanges that are answered in a period, at most.
const MAX_ANSWERS: u32 = 4;
/// Periods between two exchanges that this member begins.
const REQUEST_PERIODS: Micros = 1;
/// The same while updates are being disseminated, which may make the tables equal by themselves.
const REQUEST_PERIODS_DURING_UPDATES: Micros = 2;

/// The rate limits of exchanges.
#[derive(Debug)]
pub(super) struct AntiEntropy {
    next_request: Micros,
    /// Exchanges answered in the period that began at `window_begun`.
    answers: u32,
    window_begun: Micros,
}

impl AntiEntropy {
    /// No exchange yet; one may begin now.
    pub fn new(now: Micros) -> AntiEntropy {
        AntiEntropy { next_request: now, answers: 0, window_begun: now }
    }

    /// Allows an exchange from this time on.
    pub fn allow_request_at(&mut self, at: Micros) {
        self.next_request = at;
    }

    fn may_request(&self, now: Micros) -> bool {
        now >= self.next_request
    }

    /// Counts an exchange that is to be answered, unless there were enough of them in this period.
    fn admit_answer(&mut self, now: Micros, period: Micros) -> bool {
        if now >= self.window_begun + period {
            self.answers = 0;
            self.window_begun = now;
        }
        let admitted = self.answers < MAX_ANSWERS;
        self.answers += u32::from(admitted);
        admitted
    }
}

impl<F: Faults> Machine<F> {
    /// Begins an exchange with the sender of an ack, if its table differs from this one and the rate allows it.
    pub(super) fn compare_tables(&mut self, now: Micros, ack: &Message, out: &mut Outputs) {
        let equal = ack.digest == self.members.digests().overall();
        if equal || !self.anti_entropy.may_request(now) || self.faults.has(Mutant::NoRepair) {
            return;
        }
        let updating = !self.gossip.is_idle();
        let periods = if updating { REQUEST_PERIODS_DURING_UPDATES } else { REQUEST_PERIODS };
        self.anti_entropy.allow_request_at(now + periods * self.setup.period);
        self.send(Envelope::new(ack.from, Kind::Digests, ack.probe, self.setup.number), out);
    }

    /// Answers the digests of another table with the records of all partitions that differ.
    pub(super) fn handle_digests(&mut self, now: Micros, message: &Message, out: &mut Outputs) {
        let Some(digests) = &message.digests else { return };
        if self.faults.has(Mutant::ForwardsNothing) {
            return;
        }
        if !self.anti_entropy.admit_answer(now, self.setup.period) {
            return;
        }
        let records = self.differing_records(digests);
        self.send_records(message.from, message.probe, &records, out);
        if message.kind == Kind::Digests && !records.is_empty() {
            self.send(Envelope::new(message.from, Kind::DigestsReply, message.probe, self.setup.number), out);
        }
    }

    /// The records of the partitions that differ, beginning with a random one.
    fn differing_records(&mut self, digests: &[u32; PARTITIONS]) -> Vec<Record> {
        let first = self.random.below(PARTITIONS);
        let differing = self.members.digests().differing(digests, first);
        differing.into_iter().flat_map(|partition| self.members.partition(partition)).collect()
    }

    /// Sends records in as many datagrams as they need and the limit allows.
    fn send_records(&mut self, to: MemberId, probe: u32, records: &[Record], out: &mut Outputs) {
        let capacity = record_capacity(self.version_for(to), false, self.setup.key.is_some());
        let envelope = Envelope::new(to, Kind::Gossip, probe, self.setup.number);
        for records in records.chunks(capacity).take(MAX_ANSWER_DATAGRAMS) {
            self.transmit(envelope, records.to_vec(), out);
        }
    }
}
