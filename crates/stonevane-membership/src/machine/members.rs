//! Member table: the latest record of each member, and what this member has observed of it.

use std::ops::{Index, IndexMut};

use super::digests::TableDigests;
use super::replay::ReplayGuard;
use crate::Micros;
use crate::record::{Instance, MemberId, Record, State};
use crate::wire::PARTITIONS;

/// Entry of one member.
#[derive(Debug, Clone, Default)]
pub(super) struct Member {
    /// Latest record; only [`MemberTable::replace`] changes it, which keeps the digests up to date.
    record: Option<Record>,
    /// Time of the last change of the member's state or instance.
    pub changed_at: Micros,
    /// Protection against replays of the member's datagrams.
    pub replay: ReplayGuard,
    /// Instance and incarnation that the member's newest datagram carried.
    pub advertised: Option<(Instance, u32)>,
    /// Highest datagram version that the member is known to read; 0 if unknown.
    pub max_version: u8,
    /// Local health score that the member's newest datagram carried, 0 (healthy) to 8.
    pub health: u8,
    /// Arrival time of the member's newest datagram.
    pub last_received: Option<Micros>,
    /// Time of the member's last ack to a direct probe.
    pub last_answered: Option<Micros>,
    /// Time at which a direct probe of the member last timed out.
    pub last_unanswered: Option<Micros>,
}

impl Member {
    pub fn record(&self) -> Option<Record> {
        self.record
    }

    /// Returns whether the member takes part in the protocol.
    pub fn is_live(&self) -> bool {
        self.record.is_some_and(|record| record.state.is_live())
    }

    /// Returns whether the member is known to be aware of a record about itself: the record says that it is
    /// alive, and its newest datagram carried the same or a later instance and incarnation.
    pub fn is_aware_of(&self, record: &Record) -> bool {
        let stated = (record.instance, record.incarnation);
        record.state == State::Alive && self.advertised.is_some_and(|known| known >= stated)
    }
}

/// All members, indexed by number.
#[derive(Debug)]
pub(super) struct MemberTable {
    members: Vec<Member>,
    digests: TableDigests,
}

impl MemberTable {
    /// Creates a table of unknown members.
    pub fn new(members: MemberId) -> MemberTable {
        MemberTable {
            members: vec![Member::default(); usize::from(members)],
            digests: TableDigests::default(),
        }
    }

    /// Grows the table to `members` members; the new ones are unknown.
    pub fn grow(&mut self, members: MemberId) {
        self.members.resize(usize::from(members), Member::default());
    }

    /// Returns a member, or `None` if there is no member of this number.
    pub fn get(&self, member: MemberId) -> Option<&Member> {
        self.members.get(usize::from(member))
    }

    /// Iterates over all members with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().enumerate().map(|(number, member)| (number as MemberId, member))
    }

    /// Returns the latest record of a member.
    pub fn record(&self, member: MemberId) -> Option<Record> {
        self[member].record
    }

    /// Replaces the record of a member, and returns the previous one.
    pub fn replace(&mut self, record: Record) -> Option<Record> {
        let before = self[record.member].record.replace(record);
        self.digests.replace(before.as_ref(), &record);
        before
    }

    pub fn digests(&self) -> &TableDigests {
        &self.digests
    }

    /// Iterates over the known records of a partition.
    pub fn partition(&self, partition: usize) -> impl Iterator<Item = Record> {
        self.members.iter().skip(partition).step_by(PARTITIONS).filter_map(Member::record)
    }

    /// Returns the number of live members.
    pub fn live_count(&self) -> usize {
        self.members.iter().filter(|member| member.is_live()).count()
    }

    /// Iterates over the numbers of the live members.
    pub fn live(&self) -> impl Iterator<Item = MemberId> {
        self.iter().filter(|(_, member)| member.is_live()).map(|(number, _)| number)
    }

    /// Iterates over the numbers of the members that are not live: dead, left or unknown.
    pub fn not_live(&self) -> impl Iterator<Item = MemberId> {
        self.iter().filter(|(_, member)| !member.is_live()).map(|(number, _)| number)
    }
}

impl Index<MemberId> for MemberTable {
    type Output = Member;

    fn index(&self, member: MemberId) -> &Member {
        &self.members[usize::from(member)]
    }
}

impl IndexMut<MemberId> for MemberTable {
    fn index_mut(&mut self, member: MemberId) -> &mut Member {
        &mut self.members[usize::from(member)]
    }
}
