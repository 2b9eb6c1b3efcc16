//! Probing (SWIM's failure detector): one member is probed in each protocol period. A member that does not
//! answer within the probe timeout is probed again, directly and through other members. A member that has not
//! answered by the end of the period is suspected. All live members are probed once in each round, in random
//! order.

use super::isolation::Isolation;
use super::members::MemberTable;
use super::random::Random;
use super::transmission::Envelope;
use super::{Machine, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record, State};
use crate::wire::{Kind, Message};

/// Probe of the current protocol period.
#[derive(Debug, Clone, Copy)]
struct Probe {
    member: MemberId,
    number: u32,
    started_at: Micros,
    /// Time at which indirect probes are requested; `None` once the timeout has passed.
    timeout_at: Option<Micros>,
    answered: bool,
    /// Number of members from which an indirect probe was requested and that have sent no nack.
    missing_nacks: u64,
}

/// Effect of an ack on the probe of the current period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AckOutcome {
    /// The ack belongs to another probe.
    Unrelated,
    /// The ack carries the number of this probe, but is about another member.
    Mismatched,
    /// The ack answers this probe. `direct`: the probed member sent it itself; `first`: no earlier ack
    /// answered the probe.
    Answered { direct: bool, first: bool },
}

/// Probe of the current period, and the members still to be probed.
#[derive(Debug)]
pub(super) struct Probing {
    last_number: u32,
    current: Option<Probe>,
    /// Members still to be probed in this round, the next one last.
    round: Vec<MemberId>,
    period_ends_at: Micros,
}

impl Probing {
    /// Creates the state before the first probe; the first period begins now. Probe numbers continue from
    /// `number`.
    pub fn new(now: Micros, number: u32) -> Probing {
        Probing { last_number: number, current: None, round: Vec::new(), period_ends_at: now }
    }

    /// Returns a new probe number.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Returns the time of the probe timeout or of the end of the period, whichever is earlier.
    pub fn next_deadline(&self) -> Micros {
        let timeout = self.current.and_then(|probe| probe.timeout_at);
        timeout.map_or(self.period_ends_at, |timeout| timeout.min(self.period_ends_at))
    }

    /// Abandons the current probe: it neither succeeds nor fails.
    pub fn abandon(&mut self) {
        self.current = None;
    }

    /// Sets the end of the current period.
    pub fn end_period_at(&mut self, at: Micros) {
        self.period_ends_at = at;
    }

    /// Adds a member that has become live to this round, at a random position.
    pub fn add(&mut self, member: MemberId, random: &mut Random) {
        let place = random.below(self.round.len() + 1);
        self.round.insert(place, member);
    }

    /// Applies an ack to the current probe.
    pub fn acknowledge(&mut self, message: &Message) -> AckOutcome {
        let Some(probe) = self.current.as_mut().filter(|probe| probe.number == message.probe) else {
            return AckOutcome::Unrelated;
        };
        let direct = probe.member == message.from;
        if !direct && message.about != probe.member {
            return AckOutcome::Mismatched;
        }
        // The probed member has answered: relays that receive its ack send no nack, so missing nacks no
        // longer count.
        probe.missing_nacks = 0;
        let first = !std::mem::replace(&mut probe.answered, true);
        AckOutcome::Answered { direct, first }
    }

    /// Applies a nack to the current probe. `as_ack`: also treats it as an ack.
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

    /// Takes the current probe if its timeout has just passed.
    fn take_timed_out(&mut self, now: Micros) -> Option<Probe> {
        let timeout_at = self.current?.timeout_at?;
        if timeout_at > now {
            return None;
        }
        let probe = self.current.take()?;
        Some(Probe { timeout_at: None, ..probe })
    }
}

/// Returns whether any datagram of the probed member has arrived since the probe began, even though none
/// acknowledged it.
fn received_since(members: &MemberTable, probe: &Probe) -> bool {
    members[probe.member].last_received.is_some_and(|received| received >= probe.started_at)
}

/// Returns whether no datagram from any member has arrived since a probe began.
fn isolated_since(isolation: &Isolation, probe: &Probe) -> bool {
    isolation.silent_since() < probe.started_at
}

impl<F: Faults> Machine<F> {
    /// Runs what is due: indirect probes, the conclusion of the current period, and the probe of the next
    /// period.
    pub(super) fn run_probing(&mut self, now: Micros, out: &mut Outputs) {
        if let Some(probe) = self.probing.take_timed_out(now) {
            self.probe_indirectly(now, probe, out);
        }
        if self.probing.period_ends_at <= now {
            self.conclude_probe(now, out);
            self.begin_period(now, out);
        }
    }

    fn begin_period(&mut self, now: Micros, out: &mut Outputs) {
        let multiplier = self.health.multiplier();
        self.probing.end_period_at(now + self.config.period * multiplier);
        if self.leaving {
            return;
        }
        let Some(member) = self.next_target() else { return };
        let number = self.probing.next_number();
        let timeout_at = Some(now + self.config.probe_timeout * multiplier);
        let probe = Probe { member, number, started_at: now, timeout_at, answered: false, missing_nacks: 0 };
        self.probing.current = Some(probe);
        self.send(Envelope::new(member, Kind::Ping, number, self.config.number), out);
    }

    /// Returns the next member to be probed, from this round or from a new one.
    fn next_target(&mut self) -> Option<MemberId> {
        if let Some(member) = self.probing.next_live(&self.members) {
            return Some(member);
        }
        self.probing.round = self.random_peers(usize::MAX, self.config.number);
        self.probing.next_live(&self.members)
    }

    /// Handles the probe timeout: a member that has not answered is probed again, directly and through
    /// others.
    fn probe_indirectly(&mut self, now: Micros, mut probe: Probe, out: &mut Outputs) {
        if !probe.answered {
            self.members[probe.member].last_unanswered = Some(now);
            if !self.faults.has(Mutant::NoIndirect) {
                probe.missing_nacks += self.request_indirect_probes(probe.member, probe.number, out);
            }
        }
        self.probing.current = Some(probe);
    }

    /// Probes a member again, because only the datagram may have been lost, and requests indirect probes of
    /// it from others. Returns the number of requests sent.
    fn request_indirect_probes(&mut self, member: MemberId, number: u32, out: &mut Outputs) -> u64 {
        self.send(Envelope::new(member, Kind::Ping, number, self.config.number), out);
        let relays = self.random_peers(self.config.indirect_probes, member);
        for relay in &relays {
            self.send(Envelope::new(*relay, Kind::PingReq, number, member), out);
        }
        relays.len() as u64
    }

    /// Concludes the probe at the end of a period: a member that has not answered is suspected.
    fn conclude_probe(&mut self, now: Micros, out: &mut Outputs) {
        let Some(probe) = self.probing.current.take() else { return };
        let live = self.members.record(probe.member).filter(|record| record.state.is_live());
        let Some(record) = live else { return };
        if self.faults.has(Mutant::DeclaresAllDead) {
            return self.report_failure(now, record, State::Dead, out);
        }
        if probe.answered {
            return;
        }
        self.counts.probes_failed += 1;
        if isolated_since(&self.isolation, &probe) {
            self.isolation.suspect_locally(probe.member);
            return;
        }
        self.penalize_failed_probe(&probe);
        // A member whose datagrams arrive is alive: only the path to it, or its receiving side, is cut.
        let received = received_since(&self.members, &probe) && !self.faults.has(Mutant::NoIndirect);
        if received || self.faults.has(Mutant::NeverSuspects) {
            return;
        }
        self.counts.suspicions_started += 1;
        let immediate = self.faults.has(Mutant::NoSuspicion);
        let state = if immediate { State::Dead } else { State::Suspect };
        self.report_failure(now, record, state, out);
    }

    /// Penalizes the local health: a failed probe, and each missing nack, may be this member's own fault.
    fn penalize_failed_probe(&mut self, probe: &Probe) {
        self.health.penalize(probe.missing_nacks.max(1));
    }

    fn report_failure(&mut self, now: Micros, record: Record, state: State, out: &mut Outputs) {
        let report = Record { state, by: self.config.number, ..record };
        self.merge(now, report, out);
    }
}
