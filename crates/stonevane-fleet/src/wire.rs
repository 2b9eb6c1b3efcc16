//! Datagrams: at most 256 bytes, versioned, with their length and a checksum, or a keyed digest where the fleet has a
//! key. What can't be read is an error with its cause, never a panic.
//!
//! | bytes | |
//! | --- | --- |
//! | 0 | version of this datagram's form, 1 or 2 |
//! | 1 | the highest version that the sender reads |
//! | 2 | kind |
//! | 3, 5 | number of the sender, of the receiver |
//! | 7, 11, 15 | the sender's generation, draw and incarnation |
//! | 19 | sequence number of the sender's life, 8 bytes |
//! | 27 | number of the probe |
//! | 31 | whom it is about |
//! | 33 | digest of all that the sender holds |
//! | 37 | version 2: the sender's own health |
//! | | sums, 16 of 4 bytes, in `Sums` and `SumsBack` |
//! | | count of records, and the records: number 2, state 1, generation 4, draw 4, incarnation 4, version 2: accuser 2 |
//! | end | 8 bytes of XXH3 of all before, or 16 of BLAKE3 keyed |
//!
//! Figures are little-endian.

use crate::record::{Life, Number, Record, State};

/// The longest datagram that the platform carries, in bytes.
pub const MAX_DATAGRAM: usize = 256;
/// The newest version that is spoken.
pub const VERSION: u8 = 2;
/// Parts of the table that are compared by a digest each.
pub const SUMS: usize = 16;

const CHECKSUM: usize = 8;
const KEYED: usize = 16;

/// What a datagram is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Are you there?
    Ping,
    /// Yes; also passed on for another member.
    Ack,
    /// Ask another member for me.
    PingReq,
    /// It has not answered me yet, but I am here.
    Nack,
    /// Nothing but news.
    Gossip,
    /// Digests of the parts of the table: send what differs, and yours.
    Sums,
    /// The same in answer: send what differs.
    SumsBack,
}

const KINDS: [Kind; 7] =
    [Kind::Ping, Kind::Ack, Kind::PingReq, Kind::Nack, Kind::Gossip, Kind::Sums, Kind::SumsBack];
const STATES: [State; 4] = [State::Alive, State::Suspect, State::Dead, State::Left];

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Version of its form.
    pub version: u8,
    /// The highest version that its sender reads.
    pub speaks: u8,
    /// What it is.
    pub kind: Kind,
    /// Who sent it.
    pub from: Number,
    /// To whom.
    pub to: Number,
    /// The sender's life.
    pub life: Life,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// Grows with each datagram of the sender's life.
    pub seq: u64,
    /// The probe that it belongs to.
    pub probe: u32,
    /// Whom it is about, where it is not its sender.
    pub about: Number,
    /// Digest of all that the sender holds.
    pub digest: u32,
    /// How bad the sender's own health is, from 0.
    pub health: u8,
    /// Digests of the parts of the table, in `Sums` and `SumsBack`.
    pub sums: Option<[u32; SUMS]>,
    /// News.
    pub records: Vec<Record>,
}

/// Why a datagram is not heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// Too short or too long.
    Length,
    /// A version that is not read here.
    Version,
    /// Its checksum or keyed digest is another.
    Digest,
    /// Its form is broken.
    Form,
    /// It is for another member, or from this one.
    Address,
}

/// Bytes that a datagram has beside its records.
fn frame(version: u8, sums: bool, keyed: bool) -> usize {
    37 + usize::from(version >= 2)
        + if sums { 4 * SUMS } else { 0 }
        + 1
        + if keyed { KEYED } else { CHECKSUM }
}

/// Bytes of a record.
fn width(version: u8) -> usize {
    if version >= 2 { 17 } else { 15 }
}

/// How many records a datagram has room for.
pub fn room(version: u8, sums: bool, keyed: bool) -> usize {
    (MAX_DATAGRAM - frame(version, sums, keyed)) / width(version)
}

fn seal(bytes: &mut Vec<u8>, key: Option<&[u8; 32]>) {
    match key {
        Some(key) => {
            let tag = blake3::keyed_hash(key, bytes);
            bytes.extend_from_slice(&tag.as_bytes()[..KEYED]);
        }
        None => bytes.extend_from_slice(&xxhash_rust::xxh3::xxh3_64(bytes).to_le_bytes()),
    }
}

/// The bytes before the tag, where the tag is theirs.
fn unseal<'b>(bytes: &'b [u8], key: Option<&[u8; 32]>) -> Option<&'b [u8]> {
    let length = if key.is_some() { KEYED } else { CHECKSUM };
    let (body, tag) = bytes.split_at_checked(bytes.len().checked_sub(length)?)?;
    let same = match key {
        // In constant time: the comparison is that of the library's own type.
        Some(key) => {
            let mut own = *blake3::keyed_hash(key, body).as_bytes();
            own[KEYED..].fill(0);
            let mut told = [0; 32];
            told[..KEYED].copy_from_slice(tag);
            blake3::Hash::from(own) == blake3::Hash::from(told)
        }
        None => xxhash_rust::xxh3::xxh3_64(body).to_le_bytes() == tag,
    };
    same.then_some(body)
}

struct Reader<'b>(&'b [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], Refused> {
        let (head, rest) = self.0.split_first_chunk().ok_or(Refused::Form)?;
        self.0 = rest;
        Ok(*head)
    }

    fn u8(&mut self) -> Result<u8, Refused> {
        self.take().map(u8::from_le_bytes)
    }

    fn u16(&mut self) -> Result<u16, Refused> {
        self.take().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Result<u32, Refused> {
        self.take().map(u32::from_le_bytes)
    }

    fn life(&mut self) -> Result<Life, Refused> {
        Ok(Life { generation: self.u32()?, draw: self.u32()? })
    }
}

impl Message {
    /// Its bytes. Records beyond the room are left out.
    pub fn bytes(&self, key: Option<&[u8; 32]>) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_DATAGRAM);
        out.extend([self.version, self.speaks, self.kind as u8]);
        out.extend(self.from.to_le_bytes());
        out.extend(self.to.to_le_bytes());
        out.extend(self.life.generation.to_le_bytes());
        out.extend(self.life.draw.to_le_bytes());
        out.extend(self.incarnation.to_le_bytes());
        out.extend(self.seq.to_le_bytes());
        out.extend(self.probe.to_le_bytes());
        out.extend(self.about.to_le_bytes());
        out.extend(self.digest.to_le_bytes());
        if self.version >= 2 {
            out.push(self.health);
        }
        self.sums.iter().flatten().for_each(|sum| out.extend(sum.to_le_bytes()));
        let room = room(self.version, self.sums.is_some(), key.is_some()).min(self.records.len());
        out.push(room as u8);
        for record in &self.records[..room] {
            out.extend(record.member.to_le_bytes());
            out.push(record.state as u8);
            out.extend(record.life.generation.to_le_bytes());
            out.extend(record.life.draw.to_le_bytes());
            out.extend(record.incarnation.to_le_bytes());
            if self.version >= 2 {
                out.extend(record.by.to_le_bytes());
            }
        }
        seal(&mut out, key);
        out
    }

    /// Reads a datagram of a fleet of so many members.
    ///
    /// # Errors
    /// Why it is not heard.
    pub fn read(bytes: &[u8], key: Option<&[u8; 32]>, members: Number) -> Result<Message, Refused> {
        if bytes.len() > MAX_DATAGRAM || bytes.len() < frame(1, false, key.is_some()) {
            return Err(Refused::Length);
        }
        let version = bytes[0];
        if !(1..=VERSION).contains(&version) {
            return Err(Refused::Version);
        }
        let mut reader = Reader(unseal(bytes, key).ok_or(Refused::Digest)?);
        let (_, speaks, kind) = (reader.u8()?, reader.u8()?, reader.u8()?);
        let kind = *KINDS.get(usize::from(kind)).ok_or(Refused::Form)?;
        let mut message = Message {
            version,
            speaks: speaks.max(version),
            kind,
            from: reader.u16()?,
            to: reader.u16()?,
            life: reader.life()?,
            incarnation: reader.u32()?,
            seq: reader.take().map(u64::from_le_bytes)?,
            probe: reader.u32()?,
            about: reader.u16()?,
            digest: reader.u32()?,
            health: if version >= 2 { reader.u8()? } else { 0 },
            sums: None,
            records: Vec::new(),
        };
        if matches!(kind, Kind::Sums | Kind::SumsBack) {
            let mut sums = [0; SUMS];
            for sum in &mut sums {
                *sum = reader.u32()?;
            }
            message.sums = Some(sums);
        }
        let count = reader.u8()?;
        if reader.0.len() != usize::from(count) * width(version) {
            return Err(Refused::Form);
        }
        for _ in 0..count {
            let member = reader.u16()?;
            let state = *STATES.get(usize::from(reader.u8()?)).ok_or(Refused::Form)?;
            let (life, incarnation) = (reader.life()?, reader.u32()?);
            // Version 1 does not say who accuses: its sender counts as the one.
            let by = if version >= 2 { reader.u16()? } else { message.from };
            message.records.push(Record { member, life, incarnation, state, by });
        }
        let known = |number: Number| number < members;
        if !known(message.from) || !known(message.to) || !known(message.about) {
            return Err(Refused::Form);
        }
        // One with a newer list of peers speaks of members that this one has not been told of: what it says of the
        // others is heard. A new member's accusation is its sender's.
        message.records.retain(|record| known(record.member));
        let from = message.from;
        message.records.iter_mut().filter(|record| !known(record.by)).for_each(|record| record.by = from);
        Ok(message)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn record() -> impl Strategy<Value = Record> {
        (0..50u16, 0..4usize, any::<(u32, u32, u32)>(), 0..50u16).prop_map(|(member, state, life, by)| {
            Record {
                member,
                state: STATES[state],
                life: Life { generation: life.0, draw: life.1 },
                incarnation: life.2,
                by,
            }
        })
    }

    fn message() -> impl Strategy<Value = Message> {
        let head = (1..=VERSION, 0..KINDS.len(), 0..50u16, 0..50u16, 0..50u16);
        let rest = (any::<(u32, u32, u32, u64, u32, u32, u8)>(), any::<[u32; SUMS]>());
        (head, rest, proptest::collection::vec(record(), 0..14)).prop_map(|(head, (f, sums), mut records)| {
            let (version, kind, from, to, about) = head;
            let kind = KINDS[kind];
            let sums = matches!(kind, Kind::Sums | Kind::SumsBack).then_some(sums);
            records.truncate(room(version, sums.is_some(), true));
            if version == 1 {
                records.iter_mut().for_each(|record| record.by = from);
            }
            let (life, incarnation) = (Life { generation: f.0, draw: f.1 }, f.2);
            let health = if version == 1 { 0 } else { f.6 };
            let (seq, probe, digest) = (f.3, f.4, f.5);
            Message {
                version,
                speaks: VERSION,
                kind,
                from,
                to,
                life,
                incarnation,
                seq,
                probe,
                about,
                digest,
                health,
                sums,
                records,
            }
        })
    }

    #[test]
    fn a_datagram_has_room_for_a_dozen_records_whatever_the_key() {
        assert_eq!((room(2, false, false), room(2, false, true), room(1, false, true)), (12, 11, 13));
        assert!(room(2, true, true) >= 8);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whoever has an older list of peers hears all that is said of those in it, and nothing of others.
        #[test]
        fn what_is_said_of_members_that_are_not_in_an_older_list_is_left_out(message in message(), listed in 1..50u16) {
            let known = |number: u16| number < listed;
            let read = Message::read(&message.bytes(None), None, listed);
            if !known(message.from) || !known(message.to) || !known(message.about) {
                prop_assert_eq!(read, Err(Refused::Form));
            } else {
                let mut heard = message.clone();
                heard.records.retain(|record| known(record.member));
                heard.records.iter_mut().filter(|r| !known(r.by)).for_each(|r| r.by = message.from);
                prop_assert_eq!(read, Ok(heard));
            }
        }

        #[test]
        fn what_is_written_is_read_and_no_longer_than_a_datagram(message in message(), key in any::<Option<[u8; 32]>>()) {
            let bytes = message.bytes(key.as_ref());
            prop_assert!(bytes.len() <= MAX_DATAGRAM);
            prop_assert_eq!(Message::read(&bytes, key.as_ref(), 50), Ok(message));
        }

        #[test]
        fn what_is_spoilt_cut_or_sealed_with_another_key_is_not_heard(
            message in message(), key in any::<Option<[u8; 32]>>(), at in any::<usize>(), bit in 0..8u8, other in any::<[u8; 32]>(),
        ) {
            let bytes = message.bytes(key.as_ref());
            let mut spoilt = bytes.clone();
            let at = at % spoilt.len();
            spoilt[at] ^= 1 << bit;
            prop_assert!(Message::read(&spoilt, key.as_ref(), 50).is_err());
            prop_assert!(Message::read(&bytes[..at], key.as_ref(), 50).is_err());
            prop_assert!(key == Some(other) || Message::read(&bytes, Some(&other), 50).is_err());
            prop_assert!(key.is_none() || Message::read(&bytes, None, 50).is_err());
        }

        /// Whoever has the key may still send nonsense.
        #[test]
        fn nothing_that_is_sealed_makes_it_panic(mut bytes in proptest::collection::vec(any::<u8>(), 0..300), version in 0..4u8) {
            if let Some(first) = bytes.first_mut() {
                *first = version;
            }
            seal(&mut bytes, None);
            if let Ok(message) = Message::read(&bytes, None, 50) {
                prop_assert!(message.records.len() <= 14);
                prop_assert_eq!(Message::read(&message.bytes(None), None, 50), Ok(message));
            }
        }
    }
}
