//! Merging of membership updates into the member table, and refutation of updates about this member itself.

use super::{Machine, MemberEvent, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::{Record, State};

impl<F: Faults> Machine<F> {
    /// Merges a record: one that is later than the known one replaces it; one that shares a suspicion confirms it.
    pub(super) fn merge(&mut self, now: Micros, record: Record, out: &mut Outputs) {
        if record.member == self.setup.number {
            return self.merge_own(now, record, out);
        }
        match self.members.record(record.member) {
            Some(known) if !record.supersedes(&known) => self.confirm_suspicion(now, record, &known),
            _ => self.replace(now, record, out),
        }
    }

    /// Counts a further accuser of a suspected member, and disseminates the suspicion once more under its name.
    fn confirm_suspicion(&mut self, now: Micros, record: Record, known: &Record) {
        let shared = record.precedence() == known.precedence() && record.state == State::Suspect;
        if !shared {
            return;
        }
        let live = self.members.live_count();
        if self.suspicions.confirm(now, record.member, record.by, live) {
            self.members.replace(record);
            self.disseminate(now, record.member);
        }
    }

    /// A record about this member itself: one that supersedes its own is refuted.
    fn merge_own(&mut self, now: Micros, stated: Record, out: &mut Outputs) {
        let own = self.own_record();
        if self.leaving || !stated.supersedes(&own) || self.faults.has(Mutant::NeverRefutes) {
            return;
        }
        let same_instance = stated.instance == own.instance && stated.state != State::Left;
        let refutation = if same_instance && stated.incarnation < u32::MAX {
            Some(self.refute(&own, &stated))
        } else {
            self.supersede_instance(&own, &stated)
        };
        if let Some(refutation) = refutation {
            self.replace(now, refutation, out);
        }
    }

    /// The next incarnation of this member, which refutes what was stated of the present one.
    fn refute(&mut self, own: &Record, stated: &Record) -> Record {
        if stated.state != State::Alive {
            self.counts.refuted += 1;
            self.health.penalize(1);
        }
        Record { incarnation: stated.incarnation + 1, ..*own }
    }

    /// The generation after that of an earlier instance of this member, or of another process that claims its number.
    fn supersede_instance(&mut self, own: &Record, stated: &Record) -> Option<Record> {
        if self.faults.has(Mutant::StaleLife) {
            return None;
        }
        self.counts.identity_conflicts += 1;
        let mut record = *own;
        record.instance.generation = stated.instance.generation.checked_add(1)?;
        record.incarnation = 0;
        Some(record)
    }

    /// Replaces the record of a member, with all that follows from it.
    pub(super) fn replace(&mut self, now: Micros, record: Record, out: &mut Outputs) {
        let before = self.members.replace(record);
        self.suspicions.cancel(record.member);
        if record.state == State::Suspect {
            let live = self.members.live_count();
            self.suspicions.start(now, record.member, record.by, live);
        }
        self.probe_if_new(before, &record);
        self.report_change(now, before, record, out);
        self.disseminate(now, record.member);
    }

    /// A member that has become live is probed in the present round.
    fn probe_if_new(&mut self, before: Option<Record>, record: &Record) {
        let was_live = before.is_some_and(|before| before.state.is_live());
        if !was_live && record.state.is_live() && record.member != self.setup.number {
            self.probing.add(record.member, &mut self.random);
        }
    }

    fn report_change(&mut self, now: Micros, before: Option<Record>, record: Record, out: &mut Outputs) {
        let unchanged =
            before.is_some_and(|before| (before.state, before.instance) == (record.state, record.instance));
        if unchanged {
            return;
        }
        self.members[record.member].since = now;
        let previous = before.map(|before| before.state);
        out.events.push(MemberEvent { previous, record });
    }
}
