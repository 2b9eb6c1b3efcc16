use std::collections::BTreeMap;

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn changes_are_reported_once_in_order_and_lost_or_malformed_notifications_are_gaps() {
    let mut cursor = ChangeCursor::after(4);
    let next = |version, key: &str| Notification::Next(Change { key: key.into(), version });
    assert_eq!(cursor.receive(&notification_payload(5, "a b")), next(5, "a b"));
    assert_eq!(cursor.receive("5 a b"), Notification::Duplicate);
    assert_eq!(cursor.receive("7 c"), Notification::Gap);
    assert_eq!((cursor.receive("c"), cursor.receive("")), (Notification::Gap, Notification::Gap));
    assert!(cursor.is_behind(7) && !cursor.is_behind(5));
    let change = |version, key: &str| Change { key: key.into(), version };
    let unreported = cursor.advance(vec![change(5, "a b"), change(6, "d"), change(7, "c")]);
    assert_eq!(unreported, [change(6, "d"), change(7, "c")]);
    assert_eq!((cursor.version(), cursor.receive("7 c")), (7, Notification::Duplicate));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Each key's last change is reported, in order and not twice, even if notifications are lost, duplicated
    /// or delayed.
    #[test]
    fn the_last_change_of_each_key_is_reported(
        edits in prop::collection::vec((0u8..5, 0u8..4), 1..60),
    ) {
        let mut store: BTreeMap<String, u64> = BTreeMap::new();
        let mut cursor = ChangeCursor::after(0);
        let mut reported: Vec<Change> = Vec::new();
        let changes = |store: &BTreeMap<String, u64>, after: u64| {
            let mut all: Vec<_> = store.iter().filter(|(_, v)| **v > after)
                .map(|(key, version)| Change { key: key.clone(), version: *version }).collect();
            all.sort_by_key(|change| change.version);
            all
        };
        let mut delayed = None;
        for (at, (key, delivery)) in edits.iter().enumerate() {
            let (key, version) = (format!("k{key}"), at as u64 + 1);
            store.insert(key.clone(), version);
            let mut payloads = match delivery {
                0 => vec![],
                1 => vec![notification_payload(version, &key); 2],
                2 => { delayed = Some(notification_payload(version, &key)); vec![] }
                _ => vec![notification_payload(version, &key)],
            };
            if *delivery != 2 {
                payloads.extend(delayed.take());
            }
            for payload in payloads {
                match cursor.receive(&payload) {
                    Notification::Next(change) => reported.push(change),
                    Notification::Gap => reported.extend(cursor.advance(changes(&store, cursor.version()))),
                    Notification::Duplicate => {}
                }
            }
        }
        if cursor.is_behind(edits.len() as u64) {
            reported.extend(cursor.advance(changes(&store, cursor.version())));
        }
        prop_assert!(reported.windows(2).all(|pair| pair[0].version < pair[1].version));
        for (key, version) in store {
            prop_assert!(reported.iter().any(|change| change.key == key && change.version == version));
        }
    }
}
