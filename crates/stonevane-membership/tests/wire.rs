//! Tests of the wire format: an encoded message decodes to itself, and nothing else is accepted.
#![allow(missing_docs)]

use proptest::prelude::*;
use stonevane_membership::wire::{
    Kind, MAX_DATAGRAM, Message, PARTITIONS, RejectReason, VERSION, record_capacity,
};
use stonevane_membership::{Instance, Record, State};

const KINDS: [Kind; 7] =
    [Kind::Ping, Kind::Ack, Kind::PingReq, Kind::Nack, Kind::Gossip, Kind::Digests, Kind::DigestsReply];
const STATES: [State; 4] = [State::Alive, State::Suspect, State::Dead, State::Left];

/// Appends the checksum that a fleet without a key uses.
fn append_checksum(bytes: &mut Vec<u8>) {
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
fn record_capacity_depends_on_version_digests_and_key() {
    assert_eq!(
        (record_capacity(2, false, false), record_capacity(2, false, true), record_capacity(1, false, true)),
        (12, 11, 13)
    );
    assert!(record_capacity(2, true, true) >= 8);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A node with an older list of peers reads the records of members in its list and drops those of others.
    #[test]
    fn records_of_members_outside_an_older_peer_list_are_dropped(message in message(), listed in 1..50u16) {
        let known = |number: u16| number < listed;
        let read = Message::read(&message.bytes(None), None, listed);
        if !known(message.from) || !known(message.to) || !known(message.about) {
            prop_assert_eq!(read, Err(RejectReason::Malformed));
        } else {
            let mut expected = message.clone();
            expected.records.retain(|record| known(record.member));
            expected.records.iter_mut().filter(|r| !known(r.by)).for_each(|r| r.by = message.from);
            prop_assert_eq!(read, Ok(expected));
        }
    }

    #[test]
    fn an_encoded_message_fits_into_a_datagram_and_decodes_to_itself(message in message(), key in any::<Option<[u8; 32]>>()) {
        let bytes = message.bytes(key.as_ref());
        prop_assert!(bytes.len() <= MAX_DATAGRAM);
        prop_assert_eq!(Message::read(&bytes, key.as_ref(), 50), Ok(message));
    }

    #[test]
    fn corrupted_truncated_and_differently_keyed_datagrams_are_rejected(
        message in message(), key in any::<Option<[u8; 32]>>(), at in any::<usize>(), bit in 0..8u8, other in any::<[u8; 32]>(),
    ) {
        let bytes = message.bytes(key.as_ref());
        let mut corrupted = bytes.clone();
        let at = at % corrupted.len();
        corrupted[at] ^= 1 << bit;
        prop_assert!(Message::read(&corrupted, key.as_ref(), 50).is_err());
        prop_assert!(Message::read(&bytes[..at], key.as_ref(), 50).is_err());
        prop_assert!(key == Some(other) || Message::read(&bytes, Some(&other), 50).is_err());
        prop_assert!(key.is_none() || Message::read(&bytes, None, 50).is_err());
    }

    /// A correct checksum does not imply well-formed contents: a sender that has the key can send anything.
    #[test]
    fn malformed_contents_with_a_correct_checksum_do_not_panic(mut bytes in proptest::collection::vec(any::<u8>(), 0..300), version in 0..4u8) {
        if let Some(first) = bytes.first_mut() {
            *first = version;
        }
        append_checksum(&mut bytes);
        if let Ok(message) = Message::read(&bytes, None, 50) {
            prop_assert!(message.records.len() <= 14);
            prop_assert_eq!(Message::read(&message.bytes(None), None, 50), Ok(message));
        }
    }
}
