//! Merging of membership updates into the member table, and refutation of updates about this member itself.

use super::{Machine, MemberEvent, Outputs};
use crate::Micros;
use crate::faults::{Faults, Mutant};
use crate::record::{Record, State};

impl<F: Faults> Machine<F> {
    /// Merges a record: a record that supersedes the known one replaces it, and a record that reports the
    /// suspicion already known confirms that suspicion.
    pub(super) fn merge(&mut self, now: Micros, record: Record, out: &mut Outputs) {
        if record.member == self.config.number {
            return self.merge_own(now, record, out);
        }
        match self.members.record(record.member) {
            Some(known) if !record.supersedes(&known) => self.confirm_suspicion(now, record, &known),
            _ => self.replace(now, record, out),
        }
    }

    /// Counts the reporter of a record as one more member that confirms a suspicion, and disseminates the
    /// suspicion again with that reporter's number.
    fn confirm_suspicion(&mut self, now: Micros, record: Record, known: &Record) {
        let same_suspicion = record.precedence() == known.precedence() && record.state == State::Suspect;
        if !same_suspicion {
            return;
        }
        let live = self.members.live_count();
        if self.suspicions.confirm(now, record.member, record.by, live) {
            self.members.replace(record);
            self.disseminate(now, record.member);
        }
    }

    /// Handles a record about this member itself: refutes it if it supersedes this member's own record.
    fn merge_own(&mut self, now: Micros, reported: Record, out: &mut Outputs) {
        let own = self.own_record();
        if self.leaving || !reported.supersedes(&own) || self.faults.has(Mutant::NeverRefutes) {
            return;
        }
        let same_instance = reported.instance == own.instance && reported.state != State::Left;
        let refutation = if same_instance && reported.incarnation < u32::MAX {
            Some(self.refute(&own, &reported))
        } else {
            self.supersede_instance(&own, &reported)
        };
        if let Some(refutation) = refutation {
            self.replace(now, refutation, out);
        }
    }

    /// Returns the record of the next incarnation, which refutes a report about the current one.
    fn refute(&mut self, own: &Record, reported: &Record) -> Record {
        if reported.state != State::Alive {
            self.counts.suspicions_refuted += 1;
            self.health.penalize(1);
        }
        Record { incarnation: reported.incarnation + 1, ..*own }
    }

    /// Returns the record of the next generation, which supersedes an earlier instance of this member or
    /// another process that claims its number. Returns `None` if the reported generation is the highest
    /// possible one.
    fn supersede_instance(&mut self, own: &Record, reported: &Record) -> Option<Record> {
        if self.faults.has(Mutant::StaleGeneration) {
            return None;
        }
        self.counts.identity_conflicts += 1;
        let mut record = *own;
        record.instance.generation = reported.instance.generation.checked_add(1)?;
        record.incarnation = 0;
        Some(record)
    }

    /// Replaces the record of a member, and updates its suspicion, the probe round, the events and the
    /// dissemination queue.
    pub(super) fn replace(&mut self, now: Micros, record: Record, out: &mut Outputs) {
        let before = self.members.replace(record);
        self.suspicions.cancel(record.member);
        if record.state == State::Suspect {
            let live = self.members.live_count();
            self.suspicions.start(now, record.member, record.by, live);
        }
        self.add_to_probe_round(before, &record);
        self.report_change(now, before, record, out);
        self.disseminate(now, record.member);
    }

    /// Adds a member that has become live to the current probe round.
    fn add_to_probe_round(&mut self, before: Option<Record>, record: &Record) {
        let was_live = before.is_some_and(|before| before.state.is_live());
        if !was_live && record.state.is_live() && record.member != self.config.number {
            self.probing.add(record.member, &mut self.random);
        }
    }

    fn report_change(&mut self, now: Micros, before: Option<Record>, record: Record, out: &mut Outputs) {
        let unchanged =
            before.is_some_and(|before| (before.state, before.instance) == (record.state, record.instance));
        if unchanged {
            return;
        }
        self.members[record.member].changed_at = now;
        let previous = before.map(|before| before.state);
        out.events.push(MemberEvent { previous, record });
    }
}
