//! The member table: the latest record of each member, and what this member has observed of it.

use std::ops::{Index, IndexMut};

use super::digests::TableDigests;
use super::replay::ReplayGuard;
use crate::Micros;
use crate::record::{Instance, MemberId, Record, State};
use crate::wire::PARTITIONS;

/// What is known of a member.
#[derive(Debug, Clone, Default)]
pub(super) struct Member {
    /// The latest record; only [`MemberTable::replace`] changes it.
    record: Option<Record>,
    /// Since when its state and instance are as they are.
    pub since: Micros,
    /// Protection against replays of its datagrams.
    pub replay: ReplayGuard,
    /// The instance and incarnation that its newest datagram stated.
    pub stated: Option<(Instance, u32)>,
    /// The highest version of datagrams that it reads, as far as known.
    pub max_version: u8,
    /// The score of its local health, as it stated it.
    pub health: u8,
    /// When its newest datagram arrived.
    pub heard: Option<Micros>,
    /// When it last answered a direct probe.
    pub answered: Option<Micros>,
    /// When it last did not answer a direct probe in time.
    pub unanswered: Option<Micros>,
}

impl Member {
    /// The latest record.
    pub fn record(&self) -> Option<Record> {
        self.record
    }

    /// Whether it takes part in the protocol.
    pub fn is_live(&self) -> bool {
        self.record.is_some_and(|record| record.state.is_live())
    }

    /// Whether it knows of itself what a record states: its newest datagram stated that, or something later.
    pub fn knows(&self, record: &Record) -> bool {
        let stated = (record.instance, record.incarnation);
        record.state == State::Alive && self.stated.is_some_and(|known| known >= stated)
    }
}

/// All members, by number.
#[derive(Debug)]
pub(super) struct MemberTable {
    members: Vec<Member>,
    digests: TableDigests,
}

impl MemberTable {
    /// A table of members of whom nothing is known.
    pub fn new(members: MemberId) -> MemberTable {
        MemberTable {
            members: vec![Member::default(); usize::from(members)],
            digests: TableDigests::default(),
        }
    }

    /// Adds members of whom nothing is known, up to this number.
    pub fn grow(&mut self, members: MemberId) {
        self.members.resize(usize::from(members), Member::default());
    }

    /// The member of a number, where there is one.
    pub fn get(&self, member: MemberId) -> Option<&Member> {
        self.members.get(usize::from(member))
    }

    /// All members with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().enumerate().map(|(number, member)| (number as MemberId, member))
    }

    /// The latest record of a member.
    pub fn record(&self, member: MemberId) -> Option<Record> {
        self[member].record
    }

    /// Replaces the record of a member, and returns the one before.
    pub fn replace(&mut self, record: Record) -> Option<Record> {
        let before = self[record.member].record.replace(record);
        self.digests.replace(before.as_ref(), &record);
        before
    }

    /// The digests of the table.
    pub fn digests(&self) -> &TableDigests {
        &self.digests
    }

    /// The records of a partition.
    pub fn partition(&self, partition: usize) -> impl Iterator<Item = Record> {
        self.members.iter().skip(partition).step_by(PARTITIONS).filter_map(Member::record)
    }

    /// How many members are live.
    pub fn live_count(&self) -> usize {
        self.members.iter().filter(|member| member.is_live()).count()
    }

    /// The numbers of the live members.
    pub fn live(&self) -> impl Iterator<Item = MemberId> {
        self.iter().filter(|(_, member)| member.is_live()).map(|(number, _)| number)
    }

    /// The numbers of all other members: dead, left or unknown.
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
