//! Invalidation of copies after edits, checked against a model of caches that lose, duplicate and reorder
//! messages.
#![allow(missing_docs)]

use std::collections::HashMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stonevane_store::copies::{Copies, Invalidation, Limits};

fn limits() -> Limits {
    Limits { max_pending: 8, lifetime: 1_000, resend_wait: (10, 80) }
}

#[test]
fn an_invalidation_is_sent_until_acknowledged_and_the_last_one_completes_the_edit() {
    let mut copies = Copies::new(limits());
    assert!(copies.edited(0, 1, "k", 5, &[1, 2]));
    let invalidation = |cache, version| Invalidation { cache, key: "k".to_owned(), version };
    assert_eq!(copies.due(0), [invalidation(1, 5), invalidation(2, 5)]);
    assert_eq!((copies.due(9), copies.next()), (vec![], Some(10)));
    copies.acknowledged(1, "k", 5);
    assert_eq!(
        (copies.due(10), copies.done()),
        (vec![invalidation(2, 5)], vec![]),
        "the other cache is sent it again"
    );
    assert_eq!((copies.due(29), copies.due(30)), (vec![], vec![invalidation(2, 5)]), "the wait doubles");
    copies.acknowledged(2, "k", 4);
    assert_eq!(copies.done(), [], "the acknowledgement of an older version does not count");
    copies.acknowledged(2, "k", 5);
    assert_eq!((copies.done(), copies.pending()), (vec![1], 0));
    assert_eq!(copies.due(10_000), []);
}

#[test]
fn a_silent_cache_delays_an_edit_for_a_copys_lifetime_and_an_ended_one_not_at_all() {
    let mut copies = Copies::new(limits());
    assert!(copies.edited(0, 1, "k", 5, &[1, 2]) && copies.edited(500, 2, "k", 6, &[1]));
    copies.ended(2);
    assert_eq!(copies.done(), []);
    let mut sent = 0;
    for now in (0..1_500).step_by(10) {
        sent += copies.due(now).len();
        assert_eq!(copies.done(), [], "at {now}");
    }
    assert!((10..40).contains(&sent), "sent {sent} times, expected 10 to 39");
    copies.due(1_500);
    let mut done = copies.done();
    done.sort_unstable();
    assert_eq!((done, copies.pending()), (vec![1, 2], 0), "the copies have expired");
    assert!(copies.edited(0, 3, "k", 7, &[]));
    assert_eq!(copies.done(), [3], "an edit without caches completes at once");
}

#[test]
fn pending_invalidations_are_bounded_and_an_edit_past_the_bound_records_nothing() {
    let mut copies = Copies::new(limits());
    assert!(copies.edited(0, 1, "a", 1, &[1, 2, 3, 4, 5, 6]));
    assert!(!copies.edited(0, 2, "b", 2, &[1, 2, 3]));
    assert!(copies.edited(0, 3, "a", 3, &[1, 2, 3]), "invalidations already pending are reused");
    assert_eq!(copies.pending(), 6);
}

/// A cache that keeps the newest version of each key.
#[derive(Default)]
struct Cache {
    copies: HashMap<String, u64>,
    /// The newest version of each key's invalidations.
    invalidated: HashMap<String, u64>,
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Once an edit is complete, no cache holds an older version, even if invalidations are lost, duplicated
    /// or delayed, and fills of older fetches arrive among them.
    #[test]
    fn after_an_edit_completes_no_cache_holds_an_older_copy(
        steps in prop::collection::vec((0u8..6, 0usize..3, 0u64..60), 1..160),
    ) {
        let keys = ["a", "b", "c"];
        let mut copies =
            Copies::new(Limits { max_pending: 100, lifetime: u64::MAX / 2, resend_wait: (10, 80) });
        let mut caches: Vec<Cache> = (0..3).map(|_| Cache::default()).collect();
        let (mut now, mut version) = (0, 0);
        let mut newest: HashMap<&str, u64> = HashMap::new();
        let mut edits: HashMap<u64, (&str, u64)> = HashMap::new();
        let mut sent: Vec<Invalidation<usize>> = Vec::new();
        let mut fetched: Vec<(&str, u64)> = Vec::new();
        for (step, which, elapsed) in steps {
            now += elapsed;
            sent.extend(copies.due(now));
            match step {
                0 => {
                    version += 1;
                    let key = keys[which];
                    newest.insert(key, version);
                    edits.insert(version, (key, version));
                    prop_assert!(copies.edited(now, version, key, version, &[0, 1, 2]));
                }
                // A fetch reads the store's value now; its fill arrives later.
                1 => fetched.push((keys[which], newest.get(keys[which]).copied().unwrap_or(0))),
                2 if !fetched.is_empty() => {
                    let (key, version) = fetched.remove(elapsed as usize % fetched.len());
                    let cache = &mut caches[which];
                    if version >= cache.invalidated.get(key).copied().unwrap_or(0) {
                        let held = cache.copies.entry(key.into()).or_default();
                        *held = version.max(*held);
                    }
                }
                // An invalidation arrives, and may arrive again later.
                3 | 4 if !sent.is_empty() => {
                    let at = elapsed as usize % sent.len();
                    let invalidation = if step == 3 { sent.remove(at) } else { sent[at].clone() };
                    let cache = &mut caches[invalidation.cache];
                    let newest = cache.invalidated.entry(invalidation.key.clone()).or_default();
                    *newest = invalidation.version.max(*newest);
                    if cache.copies.get(&invalidation.key).is_some_and(|held| *held < invalidation.version) {
                        cache.copies.remove(&invalidation.key);
                    }
                    copies.acknowledged(invalidation.cache, &invalidation.key, invalidation.version);
                }
                // An invalidation is lost.
                5 if !sent.is_empty() => drop(sent.remove(elapsed as usize % sent.len())),
                _ => {}
            }
            for edit in copies.done() {
                let (key, version) = edits[&edit];
                for cache in &caches {
                    let held = cache.copies.get(key);
                    prop_assert!(
                        held.is_none_or(|held| *held >= version),
                        "the edit of version {} is complete, but a cache holds {:?}",
                        version,
                        held
                    );
                }
            }
        }
        // Once all invalidations arrive, none is pending.
        for _ in 0..3 {
            now += 1_000;
            for invalidation in copies.due(now) {
                copies.acknowledged(invalidation.cache, &invalidation.key, invalidation.version);
            }
        }
        prop_assert_eq!(copies.pending(), 0);
    }
}
