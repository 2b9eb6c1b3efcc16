//! The wire format: datagrams of at most 256 bytes, versioned, with a checksum, or with a keyed digest where the fleet
//! has a key. A datagram that can't be read is an error with its reason, never a panic.
//!
//! | offset | field |
//! | --- | --- |
//! | 0 | version of this datagram's format, 1 or 2 |
//! | 1 | the highest version that the sender reads |
//! | 2 | kind |
//! | 3, 5 | number of the sender, of the receiver |
//! | 7, 11, 15 | the sender's generation, nonce and incarnation |
//! | 19 | sequence number of the sender's instance, 8 bytes |
//! | 27 | number of the probe |
//! | 31 | the member that it is about |
//! | 33 | digest of the sender's member table |
//! | 37 | version 2: the score of the sender's local health |
//! | | digests of the partitions, 16 of 4 bytes, in `Digests` and `DigestsReply` |
//! | | count of records, and the records: number 2, state 1, generation 4, nonce 4, incarnation 4, version 2: accuser 2 |
//! | end | 8 bytes of XXH3 of all before, or 16 of BLAKE3 keyed |
//!
//! Numbers are little-endian.

mod reader;
mod tag;

use self::reader::Reader;
use crate::record::{Instance, MemberId, Record, State};

/// The longest datagram that the platform carries, in bytes.
pub const MAX_DATAGRAM: usize = 256;
/// The newest version of the format.
pub const VERSION: u8 = 2;
/// Partitions of the member table; each has a digest.
pub const PARTITIONS: usize = 16;

/// The kind of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A probe: to be answered by an ack.
    Ping,
    /// The answer to a ping, possibly forwarded for another member.
    Ack,
    /// A request for an indirect probe.
    PingReq,
    /// The answer to a ping-req whose target has not answered yet.
    Nack,
    /// Membership updates only.
    Gossip,
    /// Digests of the partitions: requests the records of those that differ, and the receiver's digests.
    Digests,
    /// The same in answer: requests the records of partitions that differ.
    DigestsReply,
}

impl Kind {
    /// Whether datagrams of this kind carry the digests of the partitions.
    pub fn carries_digests(self) -> bool {
        matches!(self, Kind::Digests | Kind::DigestsReply)
    }
}

/// All kinds, in the order of their codes.
const KINDS: [Kind; 7] =
    [Kind::Ping, Kind::Ack, Kind::PingReq, Kind::Nack, Kind::Gossip, Kind::Digests, Kind::DigestsReply];
/// All states, in the order of their codes.
const STATES: [State; 4] = [State::Alive, State::Suspect, State::Dead, State::Left];

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The version of its format.
    pub version: u8,
    /// The highest version that its sender reads.
    pub max_version: u8,
    /// Its kind.
    pub kind: Kind,
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// The sender's instance.
    pub instance: Instance,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// Increases with each datagram of the sender's instance.
    pub sequence: u64,
    /// The number of the probe that it belongs to.
    pub probe: u32,
    /// The member that it is about: the target of a probe, or the sender.
    pub about: MemberId,
    /// The digest of the sender's member table.
    pub digest: u32,
    /// The score of the sender's local health.
    pub health: u8,
    /// Digests of the partitions of the sender's table, in `Digests` and `DigestsReply`.
    pub digests: Option<[u32; PARTITIONS]>,
    /// Membership updates.
    pub records: Vec<Record>,
}

/// Why a datagram is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// Too short or too long.
    Length,
    /// Unknown version.
    Version,
    /// Wrong checksum or keyed digest.
    Digest,
    /// Malformed.
    Form,
    /// The sender's number is not that of its address, or it is for another member.
    Address,
}

/// Bytes of the header in version 1.
const HEADER: usize = 37;
/// Bytes of the sender's health, which version 2 adds to the header.
const HEALTH: usize = 1;
/// Bytes of the digests of all partitions.
const DIGESTS: usize = 4 * PARTITIONS;
/// Bytes of the count of records.
const RECORD_COUNT: usize = 1;
/// Bytes of a record in version 1.
const RECORD: usize = 15;
/// Bytes of the accuser, which version 2 adds to a record.
const ACCUSER: usize = 2;

/// Bytes of a datagram without its records.
fn overhead(version: u8, digests: bool, keyed: bool) -> usize {
    let health = if version >= 2 { HEALTH } else { 0 };
    let digests = if digests { DIGESTS } else { 0 };
    HEADER + health + digests + RECORD_COUNT + tag::length(keyed)
}

/// Bytes of a record.
fn record_size(version: u8) -> usize {
    let accuser = if version >= 2 { ACCUSER } else { 0 };
    RECORD + accuser
}

/// How many records fit into a datagram.
pub fn record_capacity(version: u8, digests: bool, keyed: bool) -> usize {
    (MAX_DATAGRAM - overhead(version, digests, keyed)) / record_size(version)
}

impl Message {
    /// Its bytes. Records that do not fit are left out.
    pub fn bytes(&self, key: Option<&[u8; 32]>) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_DATAGRAM);
        out.extend([self.version, self.max_version, self.kind as u8]);
        out.extend(self.from.to_le_bytes());
        out.extend(self.to.to_le_bytes());
        out.extend(self.instance.generation.to_le_bytes());
        out.extend(self.instance.nonce.to_le_bytes());
        out.extend(self.incarnation.to_le_bytes());
        out.extend(self.sequence.to_le_bytes());
        out.extend(self.probe.to_le_bytes());
        out.extend(self.about.to_le_bytes());
        out.extend(self.digest.to_le_bytes());
        if self.version >= 2 {
            out.push(self.health);
        }
        for digest in self.digests.iter().flatten() {
            out.extend(digest.to_le_bytes());
        }
        let capacity = record_capacity(self.version, self.digests.is_some(), key.is_some());
        let count = capacity.min(self.records.len());
        out.push(count as u8);
        for record in &self.records[..count] {
            out.extend(record.member.to_le_bytes());
            out.push(record.state as u8);
            out.extend(record.instance.generation.to_le_bytes());
            out.extend(record.instance.nonce.to_le_bytes());
            out.extend(record.incarnation.to_le_bytes());
            if self.version >= 2 {
                out.extend(record.by.to_le_bytes());
            }
        }
        tag::append(&mut out, key);
        out
    }

    /// Reads a datagram in a fleet of so many members.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn read(bytes: &[u8], key: Option<&[u8; 32]>, members: MemberId) -> Result<Message, Refused> {
        if bytes.len() > MAX_DATAGRAM || bytes.len() < overhead(1, false, key.is_some()) {
            return Err(Refused::Length);
        }
        let version = bytes[0];
        if !(1..=VERSION).contains(&version) {
            return Err(Refused::Version);
        }
        let mut reader = Reader::new(tag::verify(bytes, key).ok_or(Refused::Digest)?);
        let mut message = Message::read_header(&mut reader)?;
        if message.kind.carries_digests() {
            message.digests = Some(reader.digests()?);
        }
        let count = reader.u8()?;
        if reader.remaining() != usize::from(count) * record_size(version) {
            return Err(Refused::Form);
        }
        for _ in 0..count {
            let record = reader.record(version, message.from)?;
            message.records.push(record);
        }
        message.restrict_to(members)?;
        Ok(message)
    }

    /// Reads all fields before the digests and records.
    fn read_header(reader: &mut Reader<'_>) -> Result<Message, Refused> {
        let version = reader.u8()?;
        let max_version = reader.u8()?.max(version);
        let kind = usize::from(reader.u8()?);
        Ok(Message {
            version,
            max_version,
            kind: *KINDS.get(kind).ok_or(Refused::Form)?,
            from: reader.u16()?,
            to: reader.u16()?,
            instance: reader.instance()?,
            incarnation: reader.u32()?,
            sequence: reader.take().map(u64::from_le_bytes)?,
            probe: reader.u32()?,
            about: reader.u16()?,
            digest: reader.u32()?,
            health: if version >= 2 { reader.u8()? } else { 0 },
            digests: None,
            records: Vec::new(),
        })
    }

    /// Drops records of members that are not in this node's list of peers, which may be older than the sender's. A
    /// suspicion by such a member counts as the sender's.
    fn restrict_to(&mut self, members: MemberId) -> Result<(), Refused> {
        let known = |number: MemberId| number < members;
        if !known(self.from) || !known(self.to) || !known(self.about) {
            return Err(Refused::Form);
        }
        self.records.retain(|record| known(record.member));
        for record in &mut self.records {
            if !known(record.by) {
                record.by = self.from;
            }
        }
        Ok(())
    }
}
