//! Suspicion: which members suspect a member, and when it is declared dead unless it refutes the suspicion.
//! The timeout shrinks as further members confirm the suspicion (Lifeguard's dynamic suspicion timeout).

use std::collections::{BTreeMap, BTreeSet};

use super::{Machine, MemberConfig, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record, State};

/// Maximum number of confirmations, by members other than the first reporter, that shorten a suspicion.
const MAX_CONFIRMATIONS: usize = 3;
/// Ratio of the timeout of an unconfirmed suspicion to the timeout of a fully confirmed one.
const UNCONFIRMED_FACTOR: f64 = 4.0;
/// Number of protocol periods without any datagram after which this member assumes that a refutation could
/// not have arrived either.
const SILENT_PERIODS: u64 = 3;

/// Suspicion of one member.
#[derive(Debug, Clone)]
struct Suspicion {
    started_at: Micros,
    reporters: Vec<MemberId>,
    deadline: Micros,
}

/// Parameters of the suspicion timeouts.
#[derive(Debug, Clone)]
struct Timeouts {
    /// Suspicion multiplier: the shortest timeout, in protocol periods, is the multiplier times the decimal
    /// logarithm of the number of live members, or the multiplier itself if the logarithm is below 1.
    multiplier: f64,
    /// Protocol period, in microseconds.
    period: f64,
    /// Whether unconfirmed suspicions last longer.
    dynamic: bool,
}

impl Timeouts {
    /// Returns the timeout of a suspicion that `reporters` members share in a fleet of `live` live members.
    fn timeout(&self, reporters: usize, live: usize) -> Micros {
        let shortest = self.shortest(live);
        let confirmations = MAX_CONFIRMATIONS.min(live.saturating_sub(3));
        if confirmations == 0 || !self.dynamic {
            return shortest as Micros;
        }
        let confirmed = (reporters as f64).ln() / (confirmations as f64 + 1.0).ln();
        let longest = UNCONFIRMED_FACTOR * shortest;
        (longest - (longest - shortest) * confirmed).max(shortest) as Micros
    }

    fn shortest(&self, live: usize) -> f64 {
        self.multiplier * (live as f64).log10().max(1.0) * self.period
    }
}

/// All current suspicions, with their deadlines.
#[derive(Debug)]
pub(super) struct Suspicions {
    timeouts: Timeouts,
    by_member: BTreeMap<MemberId, Suspicion>,
    deadlines: BTreeSet<(Micros, MemberId)>,
}

impl Suspicions {
    /// Creates the state without suspicions.
    pub fn new(config: &MemberConfig) -> Suspicions {
        let timeouts = Timeouts {
            multiplier: config.suspicion_multiplier,
            period: config.period as f64,
            dynamic: config.uses_local_health,
        };
        Suspicions { timeouts, by_member: BTreeMap::new(), deadlines: BTreeSet::new() }
    }

    /// Starts the suspicion of a member in a fleet of `live` live members.
    pub fn start(&mut self, now: Micros, member: MemberId, reporter: MemberId, live: usize) {
        let deadline = now + self.timeouts.timeout(1, live);
        let suspicion = Suspicion { started_at: now, reporters: vec![reporter], deadline };
        self.by_member.insert(member, suspicion);
        self.deadlines.insert((deadline, member));
    }

    /// Ends the suspicion of a member, if there is one.
    pub fn cancel(&mut self, member: MemberId) {
        if let Some(suspicion) = self.by_member.remove(&member) {
            self.deadlines.remove(&(suspicion.deadline, member));
        }
    }

    /// Adds a reporter to the suspicion of a member, which shortens its timeout. Returns false if there is no
    /// suspicion, the reporter is already counted, or there are enough confirmations.
    pub fn confirm(&mut self, now: Micros, member: MemberId, reporter: MemberId, live: usize) -> bool {
        let Some(suspicion) = self.by_member.get_mut(&member) else { return false };
        if suspicion.reporters.len() > MAX_CONFIRMATIONS || suspicion.reporters.contains(&reporter) {
            return false;
        }
        suspicion.reporters.push(reporter);
        let timeout = self.timeouts.timeout(suspicion.reporters.len(), live);
        self.deadlines.remove(&(suspicion.deadline, member));
        suspicion.deadline = (suspicion.started_at + timeout).max(now);
        self.deadlines.insert((suspicion.deadline, member));
        true
    }

    /// Returns the number of members known to suspect `member`.
    pub fn reporter_count(&self, member: MemberId) -> usize {
        self.by_member.get(&member).map_or(0, |suspicion| suspicion.reporters.len())
    }

    /// Returns the earliest deadline.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Takes the earliest deadline if it has passed, and returns its member.
    fn pop_expired(&mut self, now: Micros) -> Option<MemberId> {
        let (deadline, member) = self.deadlines.first().copied()?;
        if deadline > now {
            return None;
        }
        self.deadlines.pop_first();
        Some(member)
    }

    /// Sets a new deadline for a suspicion that has expired.
    fn extend(&mut self, member: MemberId, deadline: Micros) {
        if let Some(suspicion) = self.by_member.get_mut(&member) {
            suspicion.deadline = deadline;
            self.deadlines.insert((deadline, member));
        }
    }

    /// Adds `by` to the start and deadline of all suspicions that have a deadline, to make up for time in
    /// which this member did not run.
    pub fn postpone(&mut self, by: Micros) {
        let deadlines = std::mem::take(&mut self.deadlines);
        for (deadline, member) in deadlines {
            let Some(suspicion) = self.by_member.get_mut(&member) else { continue };
            suspicion.started_at += by;
            suspicion.deadline = deadline + by;
            self.deadlines.insert((suspicion.deadline, member));
        }
    }
}

impl<F: Faults> Machine<F> {
    /// Handles all suspicions whose deadlines have passed.
    pub(super) fn expire_suspicions(&mut self, now: Micros, out: &mut Outputs) {
        while let Some(member) = self.suspicions.pop_expired(now) {
            self.suspicion_expired(now, member, out);
        }
    }

    /// Declares a member dead because it has not refuted its suspicion in time. Extends the suspicion instead
    /// while no datagrams reach this member.
    fn suspicion_expired(&mut self, now: Micros, member: MemberId, out: &mut Outputs) {
        let Some(record) = self.members.record(member) else { return };
        let silent = self.isolation.silent_since() + SILENT_PERIODS * self.config.period < now;
        if silent {
            // No datagrams arrive, so a refutation would not have arrived either.
            self.suspicions.extend(member, now + self.config.period);
            return;
        }
        if self.faults.has(Mutant::NeverDeclares) {
            return;
        }
        self.counts.declared_dead += 1;
        let dead = Record { state: State::Dead, by: self.config.number, ..record };
        self.merge(now, dead, out);
    }
}
