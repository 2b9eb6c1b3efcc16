use std::collections::BTreeMap;

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn a_notice_is_told_once_in_order_and_one_left_out_or_unreadable_is_missed() {
    let mut following = Following::from(4);
    let told = |version, key: &str| Heard::Told(Change { key: key.into(), version });
    assert_eq!(following.notice(&notice(5, "a b")), told(5, "a b"));
    assert_eq!(following.notice("5 a b"), Heard::Known);
    assert_eq!(following.notice("7 c"), Heard::Missed);
    assert_eq!((following.notice("c"), following.notice("")), (Heard::Missed, Heard::Missed));
    assert!(following.stands_at(7) && !following.stands_at(5));
    let change = |version, key: &str| Change { key: key.into(), version };
    let read = following.read(vec![change(5, "a b"), change(6, "d"), change(7, "c")]);
    assert_eq!(read, [change(6, "d"), change(7, "c")]);
    assert_eq!((following.seen(), following.notice("7 c")), (7, Heard::Known));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Whatever notices are lost, doubled or late: each key's last change is told, none twice, in order.
    #[test]
    fn no_last_change_of_a_key_is_missed(
        edits in prop::collection::vec((0u8..5, 0u8..4), 1..60),
    ) {
        let mut store: BTreeMap<String, u64> = BTreeMap::new();
        let mut following = Following::from(0);
        let mut told: Vec<Change> = Vec::new();
        let changes = |store: &BTreeMap<String, u64>, after: u64| {
            let mut all: Vec<_> = store.iter().filter(|(_, v)| **v > after)
                .map(|(key, version)| Change { key: key.clone(), version: *version }).collect();
            all.sort_by_key(|change| change.version);
            all
        };
        let mut late = None;
        for (at, (key, fate)) in edits.iter().enumerate() {
            let (key, version) = (format!("k{key}"), at as u64 + 1);
            store.insert(key.clone(), version);
            let mut notices = match fate {
                0 => vec![],
                1 => vec![notice(version, &key); 2],
                2 => { late = Some(notice(version, &key)); vec![] }
                _ => vec![notice(version, &key)],
            };
            if *fate != 2 {
                notices.extend(late.take());
            }
            for text in notices {
                match following.notice(&text) {
                    Heard::Told(change) => told.push(change),
                    Heard::Missed => told.extend(following.read(changes(&store, following.seen()))),
                    Heard::Known => {}
                }
            }
        }
        if following.stands_at(edits.len() as u64) {
            told.extend(following.read(changes(&store, following.seen())));
        }
        prop_assert!(told.windows(2).all(|pair| pair[0].version < pair[1].version));
        for (key, version) in store {
            prop_assert!(told.iter().any(|change| change.key == key && change.version == version));
        }
    }
}
