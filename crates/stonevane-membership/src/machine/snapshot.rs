//! Queries: the states of members and the status of this member.

use super::Machine;
use super::members::Member;
use crate::faults::Faults;
use crate::record::{MemberId, State};
use crate::status::{MemberStatus, Status};

impl<F: Faults> Machine<F> {
    /// Returns the state of a member. While no datagrams reach this member, members whose probes failed count
    /// as suspected here. This suspicion is not disseminated, because this member itself may be isolated.
    pub fn state(&self, member: MemberId) -> Option<State> {
        let state = self.members.get(member)?.record()?.state;
        let locally_suspected = self.isolation.is_suspected_locally(member) && state.is_live();
        Some(if locally_suspected { State::Suspect } else { state })
    }

    /// Returns the number of live members, this one included.
    pub fn live_count(&self) -> usize {
        self.members.live_count()
    }

    /// Returns the number of members that share the fleet's limits, or may share them: all known members that
    /// have not left. A member that was declared dead counts, because it may only be unreachable.
    pub fn not_left_count(&self) -> usize {
        let records = self.members.iter().filter_map(|(_, member)| member.record());
        records.filter(|record| record.state != State::Left).count()
    }

    /// Returns whether this member still disseminates updates.
    pub fn disseminates(&self) -> bool {
        !self.gossip.is_idle()
    }

    /// Returns the local health score, 0 (healthy) to 8. Probe timeouts and protocol periods are multiplied
    /// by the score plus 1, unless the Lifeguard extensions are disabled.
    pub fn health(&self) -> u8 {
        self.health.score()
    }

    /// Returns the status of this member and its view of all others.
    pub fn status(&self) -> Status {
        let own = self.own_record();
        Status {
            number: self.config.number,
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
            changed_at: member.changed_at,
            last_received: member.last_received,
            last_answered: member.last_answered,
            last_unanswered: member.last_unanswered,
            health: member.health,
            reporters: self.suspicions.reporter_count(number) as u8,
        }
    }
}
