//! Wire format: versioned datagrams of at most 256 bytes that end with a checksum, or with a keyed digest if
//! the fleet has a key. Decoding a malformed datagram returns the reason as an error and never panics.
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
//! | 31 | number of the member that the datagram is about |
//! | 33 | digest of the sender's member table |
//! | 37 | version 2: the score of the sender's local health |
//! | | digests of the partitions, 16 of 4 bytes, in `Digests` and `DigestsReply` |
//! | | count of records, and the records: number 2, state 1, generation 4, nonce 4, incarnation 4, version 2: reporter 2 |
//! | end | tag over all bytes before it: 8 bytes of XXH3, or 16 bytes of keyed BLAKE3 |
//!
//! All numbers are little-endian.

mod reader;
mod tag;

use self::reader::Reader;
use crate::record::{Instance, MemberId, Record, State};

/// Length in bytes of the longest datagram that the platform carries.
pub const MAX_DATAGRAM: usize = 256;
/// Newest version of the format.
pub const VERSION: u8 = 2;
/// Number of partitions of the member table; each has its own digest.
pub const PARTITIONS: usize = 16;

/// Kind of a datagram. The order of the variants is that of their codes on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Probe, to be answered by an ack.
    Ping,
    /// Answer to a ping, possibly forwarded by a relay.
    Ack,
    /// Request for an indirect probe.
    PingReq,
    /// Answer of a relay to a ping-req whose target has not answered yet.
    Nack,
    /// Membership updates only.
    Gossip,
    /// Partition digests of the sender: requests the records of partitions that differ, and the receiver's
    /// digests.
    Digests,
    /// Partition digests in answer to `Digests`: requests the records of partitions that differ.
    DigestsReply,
}

impl Kind {
    /// Returns whether datagrams of this kind carry the digests of the partitions.
    pub fn carries_digests(self) -> bool {
        matches!(self, Kind::Digests | Kind::DigestsReply)
    }
}

/// All kinds, in the order of their codes.
const KINDS: [Kind; 7] =
    [Kind::Ping, Kind::Ack, Kind::PingReq, Kind::Nack, Kind::Gossip, Kind::Digests, Kind::DigestsReply];
/// All states, in the order of their codes.
const STATES: [State; 4] = [State::Alive, State::Suspect, State::Dead, State::Left];

/// Contents of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Format version, 1 to [`VERSION`].
    pub version: u8,
    /// Highest format version that the sender reads.
    pub max_version: u8,
    /// Kind, which decides how the receiver handles the datagram.
    pub kind: Kind,
    /// Number of the sender.
    pub from: MemberId,
    /// Number of the receiver.
    pub to: MemberId,
    /// Instance of the sender's process.
    pub instance: Instance,
    /// Incarnation of that instance.
    pub incarnation: u32,
    /// Sequence number, which increases with each datagram of the sender's instance.
    pub sequence: u64,
    /// Number of the probe that the datagram belongs to; 0 in rounds of gossip.
    pub probe: u32,
    /// Member that the datagram is about: the target of an indirect probe, or the sender.
    pub about: MemberId,
    /// Digest of the sender's member table.
    pub digest: u32,
    /// Local health score of the sender, 0 (healthy) to 8; always 0 in version 1.
    pub health: u8,
    /// Digests of the partitions of the sender's table; present in `Digests` and `DigestsReply` only.
    pub digests: Option<[u32; PARTITIONS]>,
    /// Membership updates that the datagram carries.
    pub records: Vec<Record>,
}

/// Reason for which a datagram is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Too short or too long.
    Length,
    /// Unknown version.
    Version,
    /// Wrong checksum or keyed digest.
    Digest,
    /// Malformed contents, or a member number outside the fleet.
    Malformed,
    /// Sender number that does not belong to the source address, or another receiver than this member.
    Address,
}

/// Bytes of the header in version 1.
const HEADER_BYTES: usize = 37;
/// Bytes of the sender's health, which version 2 adds to the header.
const HEALTH_BYTES: usize = 1;
/// Bytes of the digests of all partitions.
const DIGESTS_BYTES: usize = 4 * PARTITIONS;
/// Bytes of the count of records.
const RECORD_COUNT_BYTES: usize = 1;
/// Bytes of a record in version 1.
const RECORD_BYTES: usize = 15;
/// Bytes of the reporter, which version 2 adds to a record.
const REPORTER_BYTES: usize = 2;

/// Returns the bytes of a datagram without its records.
fn overhead_bytes(version: u8, digests: bool, keyed: bool) -> usize {
    let health = if version >= 2 { HEALTH_BYTES } else { 0 };
    let digests = if digests { DIGESTS_BYTES } else { 0 };
    HEADER_BYTES + health + digests + RECORD_COUNT_BYTES + tag::length(keyed)
}

/// Returns the bytes of one record.
fn record_bytes(version: u8) -> usize {
    let reporter = if version >= 2 { REPORTER_BYTES } else { 0 };
    RECORD_BYTES + reporter
}

/// Returns how many records fit into a datagram.
pub fn record_capacity(version: u8, digests: bool, keyed: bool) -> usize {
    (MAX_DATAGRAM - overhead_bytes(version, digests, keyed)) / record_bytes(version)
}

impl Message {
    /// Encodes the datagram, tag included. Records that do not fit are omitted.
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

    /// Decodes a datagram in a fleet of `members` members. Records of members outside the fleet are dropped.
    ///
    /// # Errors
    /// Returns the reason for which the datagram is rejected.
    pub fn read(bytes: &[u8], key: Option<&[u8; 32]>, members: MemberId) -> Result<Message, RejectReason> {
        if bytes.len() > MAX_DATAGRAM || bytes.len() < overhead_bytes(1, false, key.is_some()) {
            return Err(RejectReason::Length);
        }
        let version = bytes[0];
        if !(1..=VERSION).contains(&version) {
            return Err(RejectReason::Version);
        }
        let mut reader = Reader::new(tag::verify(bytes, key).ok_or(RejectReason::Digest)?);
        let mut message = Message::read_header(&mut reader)?;
        if message.kind.carries_digests() {
            message.digests = Some(reader.digests()?);
        }
        let count = reader.u8()?;
        if reader.remaining() != usize::from(count) * record_bytes(version) {
            return Err(RejectReason::Malformed);
        }
        for _ in 0..count {
            let record = reader.record(version, message.from)?;
            message.records.push(record);
        }
        message.restrict_to(members)?;
        Ok(message)
    }

    /// Decodes all fields before the digests and records.
    fn read_header(reader: &mut Reader<'_>) -> Result<Message, RejectReason> {
        let version = reader.u8()?;
        let max_version = reader.u8()?.max(version);
        let kind = usize::from(reader.u8()?);
        Ok(Message {
            version,
            max_version,
            kind: *KINDS.get(kind).ok_or(RejectReason::Malformed)?,
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

    /// Drops records of members that are not in this node's list of peers, which may be older than the
    /// sender's. A record whose reporter is not in the list counts as reported by the sender. Returns an
    /// error if the sender, the receiver or the subject of the datagram is not in the list.
    fn restrict_to(&mut self, members: MemberId) -> Result<(), RejectReason> {
        let known = |number: MemberId| number < members;
        if !known(self.from) || !known(self.to) || !known(self.about) {
            return Err(RejectReason::Malformed);
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
