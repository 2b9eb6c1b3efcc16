//! Queries: the states of members and the status of this one.

use super::Machine;
use super::members::Member;
use crate::faults::Faults;
use crate::record::{MemberId, State};
use crate::status::{MemberStatus, Status};

impl<F: Faults> Machine<F> {
    /// The state of a member. While this member hears nobody at all, those that did not answer it count as suspected
    /// here and this is not disseminated: it may be this member that is isolated.
    pub fn state(&self, member: MemberId) -> Option<State> {
        let state = self.members.get(member)?.record()?.state;
        let doubted = self.isolation.doubts(member) && state.is_live();
        Some(if doubted { State::Suspect } else { state })
    }

    /// How many members are live, this one included.
    pub fn living(&self) -> usize {
        self.members.live_count()
    }

    /// How many members share the fleet's limits, or may: all that are known and have not left. One that was declared
    /// dead may only be unreachable.
    pub fn known(&self) -> usize {
        let records = self.members.iter().filter_map(|(_, member)| member.record());
        records.filter(|record| record.state != State::Left).count()
    }

    /// Whether there are updates that it still disseminates.
    pub fn disseminates(&self) -> bool {
        !self.gossip.is_idle()
    }

    /// The score of its local health, from 0: its probes and periods take longer by as many times.
    pub fn health(&self) -> u8 {
        self.health.score()
    }

    /// The status of this member and its view of all others.
    pub fn status(&self) -> Status {
        let own = self.own_record();
        Status {
            number: self.setup.number,
            instance: own.instance,
            incarnation: own.incarnation,
            health: self.health.score(),
            isolated_since: self.isolation.isolated_since(),
            digest: self.members.digests().overall(),
            members: self.members.iter().map(|(number, member)| self.member_status(number, member)).collect(),
            counts: self.counts,
        }
    }

    fn member_status(&self, number: MemberId, member: &Member) -> MemberStatus {
        MemberStatus {
            member: number,
            record: member.record(),
            state: self.state(number),
            since: member.since,
            heard: member.heard,
            answered: member.answered,
            unanswered: member.unanswered,
            health: member.health,
            accusers: self.suspicions.accusers(number) as u8,
        }
    }
}
