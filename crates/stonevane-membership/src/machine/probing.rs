//! Probing (SWIM's failure detector): in each protocol period one member is probed. One that does not answer within the
//! probe timeout is probed again and through other members; one that has not answered by the end of the period is
//! suspected. All live members are probed once in each round, in random order.

use super::isolation::Isolation;
use super::members::MemberTable;
use super::random::Random;
use super::transmission::Envelope;
use super::{Machine, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record, State};
use crate::wire::{Kind, Message};

/// The probe of the present period.
#[derive(Debug, Clone, Copy)]
struct Probe {
    member: MemberId,
    number: u32,
    begun: Micros,
    /// When indirect probes are requested; `None`: the timeout has passed.
    times_out: Option<Micros>,
    answered: bool,
    /// Members of which an indirect probe was requested and that have sent no nack.
    missing_nacks: u64,
}

/// What an ack means for the probe of the present period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AckOutcome {
    /// It belongs to another probe.
    Unrelated,
    /// It carries the number of this probe, but is about another member.
    Mismatched,
    /// It answers this probe; `direct`: the probed member sent it itself; `first`: no earlier ack did.
    Answered { direct: bool, first: bool },
}

/// The probe of the present period and the members still to be probed.
#[derive(Debug)]
pub(super) struct Probing {
    last_number: u32,
    current: Option<Probe>,
    /// Members still to be probed in this round, the next one last.
    round: Vec<MemberId>,
    period_ends: Micros,
}

impl Probing {
    /// No probe yet; the first period begins now. Probe numbers follow `number`.
    pub fn new(now: Micros, number: u32) -> Probing {
        Probing { last_number: number, current: None, round: Vec::new(), period_ends: now }
    }

    /// A new probe number.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// The earliest time at which there is something to do.
    pub fn next_deadline(&self) -> Micros {
        let timeout = self.current.and_then(|probe| probe.times_out);
        timeout.map_or(self.period_ends, |timeout| timeout.min(self.period_ends))
    }

    /// Gives the present probe up, with no conclusion.
    pub fn abandon(&mut self) {
        self.current = None;
    }

    /// Sets the end of the present period.
    pub fn end_period_at(&mut self, at: Micros) {
        self.period_ends = at;
    }

    /// Adds a member that has become live to this round, at a random place.
    pub fn add(&mut self, member: MemberId, random: &mut Random) {
        let place = random.below(self.round.len() + 1);
        self.round.insert(place, member);
    }

    /// Takes an ack of a member into account.
    pub fn acknowledge(&mut self, message: &Message) -> AckOutcome {
        let Some(probe) = self.current.as_mut().filter(|probe| probe.number == message.probe) else {
            return AckOutcome::Unrelated;
        };
        let direct = probe.member == message.from;
        if !direct && message.about != probe.member {
            return AckOutcome::Mismatched;
        }
        // The members with a request for an indirect probe have no reason to answer any more.
        probe.missing_nacks = 0;
        let first = !std::mem::replace(&mut probe.answered, true);
        AckOutcome::Answered { direct, first }
    }

    /// Takes a nack into account; `as_ack`: as if it were an ack.
    pub fn nack(&mut self, number: u32, as_ack: bool) {
        let Some(probe) = self.current.as_mut().filter(|probe| probe.number == number) else { return };
        probe.missing_nacks = probe.missing_nacks.saturating_sub(1);
        probe.answered |= as_ack;
    }

    /// Takes the next member of this round that is still live.
    fn next_live(&mut self, members: &MemberTable) -> Option<MemberId> {
        while let Some(member) = self.round.pop() {
            if members[member].is_live() {
                return Some(member);
            }
        }
        None
    }

    /// Takes the present probe if its timeout has just passed.
    fn take_timed_out(&mut self, now: Micros) -> Option<Probe> {
        let times_out = self.current?.times_out?;
        if times_out > now {
            return None;
        }
        let probe = self.current.take()?;
        Some(Probe { times_out: None, ..probe })
    }
}

/// Whether a probed member was heard since the probe began, though it has not acknowledged it.
fn heard_since(members: &MemberTable, probe: &Probe) -> bool {
    members[probe.member].heard.is_some_and(|heard| heard >= probe.begun)
}

/// Whether nobody at all was heard since a probe began.
fn isolated_since(isolation: &Isolation, probe: &Probe) -> bool {
    isolation.last_heard() < probe.begun
}

impl<F: Faults> Machine<F> {
    /// Does what is due: indirect probes, the conclusion of a period, the probe of the next one.
    pub(super) fn run_probing(&mut self, now: Micros, out: &mut Outputs) {
        if let Some(probe) = self.probing.take_timed_out(now) {
            self.probe_indirectly(now, probe, out);
        }
        if self.probing.period_ends <= now {
            self.conclude_probe(now, out);
            self.begin_period(now, out);
        }
    }

    fn begin_period(&mut self, now: Micros, out: &mut Outputs) {
        let multiplier = self.health.multiplier();
        self.probing.end_period_at(now + self.setup.period * multiplier);
        if self.leaving {
            return;
        }
        let Some(member) = self.next_target() else { return };
        let number = self.probing.next_number();
        let times_out = Some(now + self.setup.probe_timeout * multiplier);
        let probe = Probe { member, number, begun: now, times_out, answered: false, missing_nacks: 0 };
        self.probing.current = Some(probe);
        self.send(Envelope::new(member, Kind::Ping, number, self.setup.number), out);
    }

    /// The next member to be probed: of this round, or of a new one.
    fn next_target(&mut self) -> Option<MemberId> {
        if let Some(member) = self.probing.next_live(&self.members) {
            return Some(member);
        }
        self.probing.round = self.random_peers(usize::MAX, self.setup.number);
        self.probing.next_live(&self.members)
    }

    /// The probe timeout has passed: unless the member has answered, it is probed again and through others.
    fn probe_indirectly(&mut self, now: Micros, mut probe: Probe, out: &mut Outputs) {
        if !probe.answered {
            self.members[probe.member].unanswered = Some(now);
            if !self.faults.has(Mutant::NoIndirect) {
                probe.missing_nacks += self.request_indirect_probes(probe.member, probe.number, out);
            }
        }
        self.probing.current = Some(probe);
    }

    /// Probes a member once more, as only the datagram may have been lost, and requests indirect probes of it from others.
    /// Returns how many requests were sent.
    fn request_indirect_probes(&mut self, member: MemberId, number: u32, out: &mut Outputs) -> u64 {
        self.send(Envelope::new(member, Kind::Ping, number, self.setup.number), out);
        let relays = self.random_peers(self.setup.indirect_probes, member);
        for relay in &relays {
            self.send(Envelope::new(*relay, Kind::PingReq, number, member), out);
        }
        relays.len() as u64
    }

    /// The period is over: a member that has not answered its probe is suspected.
    fn conclude_probe(&mut self, now: Micros, out: &mut Outputs) {
        let Some(probe) = self.probing.current.take() else { return };
        let live = self.members.record(probe.member).filter(|record| record.state.is_live());
        let Some(record) = live else { return };
        if self.faults.has(Mutant::AccusesAll) {
            return self.accuse(now, record, State::Dead, out);
        }
        if probe.answered {
            return;
        }
        self.counts.probes_failed += 1;
        if isolated_since(&self.isolation, &probe) {
            self.isolation.doubt(probe.member);
            return;
        }
        self.penalize_failed_probe(&probe);
        // One that was heard is alive: only the path to it, or its receiving side, is cut.
        let heard = heard_since(&self.members, &probe) && !self.faults.has(Mutant::NoIndirect);
        if heard || self.faults.has(Mutant::NeverAccuses) {
            return;
        }
        self.counts.accused += 1;
        let immediate = self.faults.has(Mutant::NoSuspicion);
        let state = if immediate { State::Dead } else { State::Suspect };
        self.accuse(now, record, state, out);
    }

    /// A failed probe, and each nack that did not come, may be due to this member itself.
    fn penalize_failed_probe(&mut self, probe: &Probe) {
        self.health.penalize(probe.missing_nacks.max(1));
    }

    fn accuse(&mut self, now: Micros, record: Record, state: State, out: &mut Outputs) {
        let accusation = Record { state, by: self.setup.number, ..record };
        self.merge(now, accusation, out);
    }
}
