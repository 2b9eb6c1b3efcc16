//! The wire format: what is written is read, and nothing else is accepted.
#![allow(missing_docs)]

use proptest::prelude::*;
use stonevane_membership::wire::{
    Kind, MAX_DATAGRAM, Message, PARTITIONS, Refused, VERSION, record_capacity,
};
use stonevane_membership::{Instance, Record, State};

const KINDS: [Kind; 7] =
    [Kind::Ping, Kind::Ack, Kind::PingReq, Kind::Nack, Kind::Gossip, Kind::Digests, Kind::DigestsReply];
const STATES: [State; 4] = [State::Alive, State::Suspect, State::Dead, State::Left];

/// Appends the checksum of a fleet without a key.
fn seal(bytes: &mut Vec<u8>) {
    let checksum = xxhash_rust::xxh3::xxh3_64(bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
}

fn record() -> impl Strategy<Value = Record> {
    (0..50u16, 0..4usize, any::<(u32, u32, u32)>(), 0..50u16).prop_map(|(member, state, instance, by)| {
        Record {
            member,
            state: STATES[state],
            instance: Instance { generation: instance.0, nonce: instance.1 },
            incarnation: instance.2,
            by,
        }
    })
}

fn message() -> impl Strategy<Value = Message> {
    let head = (1..=VERSION, 0..KINDS.len(), 0..50u16, 0..50u16, 0..50u16);
    let rest = (any::<(u32, u32, u32, u64, u32, u32, u8)>(), any::<[u32; PARTITIONS]>());
    (head, rest, proptest::collection::vec(record(), 0..14)).prop_map(|(head, (f, digests), mut records)| {
        let (version, kind, from, to, about) = head;
        let kind = KINDS[kind];
        let digests = matches!(kind, Kind::Digests | Kind::DigestsReply).then_some(digests);
        records.truncate(record_capacity(version, digests.is_some(), true));
        if version == 1 {
            for record in &mut records {
                record.by = from;
            }
        }
        let (instance, incarnation) = (Instance { generation: f.0, nonce: f.1 }, f.2);
        let health = if version == 1 { 0 } else { f.6 };
        let (sequence, probe, digest) = (f.3, f.4, f.5);
        Message {
            version,
            max_version: VERSION,
            kind,
            from,
            to,
            instance,
            incarnation,
            sequence,
            probe,
            about,
            digest,
            health,
            digests,
            records,
        }
    })
}

#[test]
fn a_datagram_has_room_for_a_dozen_records_whatever_the_key() {
    assert_eq!(
        (record_capacity(2, false, false), record_capacity(2, false, true), record_capacity(1, false, true)),
        (12, 11, 13)
    );
    assert!(record_capacity(2, true, true) >= 8);
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
        seal(&mut bytes);
        if let Ok(message) = Message::read(&bytes, None, 50) {
            prop_assert!(message.records.len() <= 14);
            prop_assert_eq!(Message::read(&message.bytes(None), None, 50), Ok(message));
        }
    }
}
