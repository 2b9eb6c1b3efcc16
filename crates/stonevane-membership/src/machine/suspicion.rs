//! Suspicion: who suspects a member, and when it is declared dead unless it refutes. The timeout of a suspicion shrinks
//! as further members confirm it (Lifeguard's dynamic suspicion timeout).

use std::collections::{BTreeMap, BTreeSet};

use super::{Machine, Outputs, Setup};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::{MemberId, Record, State};

/// Accusers beyond the first that shorten a suspicion.
const CONFIRMATIONS: usize = 3;
/// The timeout of an unconfirmed suspicion, in multiples of that of a confirmed one.
const UNCONFIRMED_FACTOR: f64 = 4.0;
/// Periods without any datagram after which this member could not have received a refutation either.
const SILENT_PERIODS: u64 = 3;

/// The suspicion of one member.
#[derive(Debug, Clone)]
struct Suspicion {
    begun: Micros,
    accusers: Vec<MemberId>,
    ends: Micros,
}

/// The suspicion timeouts of a fleet.
#[derive(Debug, Clone)]
struct Timeouts {
    /// The suspicion multiplier: the shortest timeout in periods, for each power of ten of the live members.
    multiplier: f64,
    /// The protocol period.
    period: f64,
    /// Whether unconfirmed suspicions last longer.
    dynamic: bool,
}

impl Timeouts {
    /// The timeout of a suspicion with so many accusers among so many live members.
    fn timeout(&self, accusers: usize, live: usize) -> Micros {
        let shortest = self.shortest(live);
        let confirmations = CONFIRMATIONS.min(live.saturating_sub(3));
        if confirmations == 0 || !self.dynamic {
            return shortest as Micros;
        }
        let confirmed = (accusers as f64).ln() / (confirmations as f64 + 1.0).ln();
        let longest = UNCONFIRMED_FACTOR * shortest;
        (longest - (longest - shortest) * confirmed).max(shortest) as Micros
    }

    fn shortest(&self, live: usize) -> f64 {
        self.multiplier * (live as f64).log10().max(1.0) * self.period
    }
}

/// All present suspicions, with their deadlines.
#[derive(Debug)]
pub(super) struct Suspicions {
    timeouts: Timeouts,
    by_member: BTreeMap<MemberId, Suspicion>,
    deadlines: BTreeSet<(Micros, MemberId)>,
}

impl Suspicions {
    /// No suspicions yet.
    pub fn new(setup: &Setup) -> Suspicions {
        let timeouts = Timeouts {
            multiplier: setup.suspicion_multiplier,
            period: setup.period as f64,
            dynamic: setup.uses_local_health,
        };
        Suspicions { timeouts, by_member: BTreeMap::new(), deadlines: BTreeSet::new() }
    }

    /// Starts the suspicion of a member, in a fleet of so many live members.
    pub fn start(&mut self, now: Micros, member: MemberId, accuser: MemberId, live: usize) {
        let ends = now + self.timeouts.timeout(1, live);
        let suspicion = Suspicion { begun: now, accusers: vec![accuser], ends };
        self.by_member.insert(member, suspicion);
        self.deadlines.insert((ends, member));
    }

    /// Ends the suspicion of a member, if there is one.
    pub fn cancel(&mut self, member: MemberId) {
        if let Some(suspicion) = self.by_member.remove(&member) {
            self.deadlines.remove(&(suspicion.ends, member));
        }
    }

    /// Adds an accuser to the suspicion of a member, which shortens it. Returns false where there is no suspicion, the
    /// accuser is known, or there are enough.
    pub fn confirm(&mut self, now: Micros, member: MemberId, accuser: MemberId, live: usize) -> bool {
        let Some(suspicion) = self.by_member.get_mut(&member) else { return false };
        if suspicion.accusers.len() > CONFIRMATIONS || suspicion.accusers.contains(&accuser) {
            return false;
        }
        suspicion.accusers.push(accuser);
        let timeout = self.timeouts.timeout(suspicion.accusers.len(), live);
        self.deadlines.remove(&(suspicion.ends, member));
        suspicion.ends = (suspicion.begun + timeout).max(now);
        self.deadlines.insert((suspicion.ends, member));
        true
    }

    /// How many members suspect this one.
    pub fn accusers(&self, member: MemberId) -> usize {
        self.by_member.get(&member).map_or(0, |suspicion| suspicion.accusers.len())
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(ends, _)| *ends)
    }

    /// Takes the earliest deadline that has passed, and returns its member.
    fn pop_expired(&mut self, now: Micros) -> Option<MemberId> {
        let (ends, member) = self.deadlines.first().copied()?;
        if ends > now {
            return None;
        }
        self.deadlines.pop_first();
        Some(member)
    }

    /// Sets a new deadline for a suspicion that has expired.
    fn extend(&mut self, member: MemberId, ends: Micros) {
        if let Some(suspicion) = self.by_member.get_mut(&member) {
            suspicion.ends = ends;
            self.deadlines.insert((ends, member));
        }
    }

    /// Moves all suspicions that have a deadline into the future by a time in which this member did not run.
    pub fn postpone(&mut self, by: Micros) {
        let deadlines = std::mem::take(&mut self.deadlines);
        for (ends, member) in deadlines {
            let Some(suspicion) = self.by_member.get_mut(&member) else { continue };
            suspicion.begun += by;
            suspicion.ends = ends + by;
            self.deadlines.insert((suspicion.ends, member));
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

    /// Declares a member dead that has not refuted its suspicion.
    fn suspicion_expired(&mut self, now: Micros, member: MemberId, out: &mut Outputs) {
        let Some(record) = self.members.record(member) else { return };
        let silent = self.isolation.last_heard() + SILENT_PERIODS * self.setup.period < now;
        if silent {
            // Nobody is heard: a refutation would not have arrived either.
            self.suspicions.extend(member, now + self.setup.period);
            return;
        }
        if self.faults.has(Mutant::NeverDeclares) {
            return;
        }
        self.counts.declared += 1;
        let dead = Record { state: State::Dead, by: self.setup.number, ..record };
        self.merge(now, dead, out);
    }
}
