//! Dropping copies after edits, against a model of caches that lose, double and reorder what they are told.
#![allow(missing_docs)]

use std::collections::HashMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stonevane_store::copies::{Copies, Limits, Void};

fn limits() -> Limits {
    Limits { pending: 8, lifetime: 1_000, again: (10, 80) }
}

#[test]
fn a_cache_is_told_until_it_acknowledges_and_the_edit_is_done_with_the_last() {
    let mut copies = Copies::new(limits());
    assert!(copies.edited(0, 1, "k", 5, &[1, 2]));
    let void = |cache, version| Void { cache, key: "k".to_owned(), version };
    assert_eq!(copies.due(0), [void(1, 5), void(2, 5)]);
    assert_eq!((copies.due(9), copies.next()), (vec![], Some(10)));
    copies.acknowledged(1, "k", 5);
    assert_eq!((copies.due(10), copies.done()), (vec![void(2, 5)], vec![]), "the other is told again");
    assert_eq!((copies.due(29), copies.due(30)), (vec![], vec![void(2, 5)]), "after twice as long");
    copies.acknowledged(2, "k", 4);
    assert_eq!(copies.done(), [], "an older void's answer says nothing of this one");
    copies.acknowledged(2, "k", 5);
    assert_eq!((copies.done(), copies.pending()), (vec![1], 0));
    assert_eq!(copies.due(10_000), []);
}

#[test]
fn a_silent_cache_holds_an_edit_up_for_a_copys_lifetime_and_one_that_has_ended_for_no_time() {
    let mut copies = Copies::new(limits());
    assert!(copies.edited(0, 1, "k", 5, &[1, 2]) && copies.edited(500, 2, "k", 6, &[1]));
    copies.ended(2);
    assert_eq!(copies.done(), []);
    let mut sent = 0;
    for now in (0..1_500).step_by(10) {
        sent += copies.due(now).len();
        assert_eq!(copies.done(), [], "at {now}");
    }
    assert!((10..40).contains(&sent), "told {sent} times, not in a storm");
    copies.due(1_500);
    let mut done = copies.done();
    done.sort_unstable();
    assert_eq!((done, copies.pending()), (vec![1, 2], 0), "what it held has ended by itself");
    assert!(copies.edited(0, 3, "k", 7, &[]));
    assert_eq!(copies.done(), [3], "no cache, no wait");
}

#[test]
fn what_is_kept_is_bounded_and_an_edit_without_room_changes_nothing() {
    let mut copies = Copies::new(limits());
    assert!(copies.edited(0, 1, "a", 1, &[1, 2, 3, 4, 5, 6]));
    assert!(!copies.edited(0, 2, "b", 2, &[1, 2, 3]));
    assert!(copies.edited(0, 3, "a", 3, &[1, 2, 3]), "the same places");
    assert_eq!(copies.pending(), 6);
}

/// A cache as the copies need it: what is newest stays.
#[derive(Default)]
struct Cache {
    held: HashMap<String, u64>,
    voided: HashMap<String, u64>,
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Whatever is lost, doubled or late, and however fills of old fetches cross it: once an edit is done no cache
    /// holds an older version.
    #[test]
    fn after_an_edit_is_done_no_cache_holds_an_older_copy(
        steps in prop::collection::vec((0u8..6, 0usize..3, 0u64..60), 1..160),
    ) {
        let keys = ["a", "b", "c"];
        let mut copies = Copies::new(Limits { pending: 100, lifetime: u64::MAX / 2, again: (10, 80) });
        let mut caches: Vec<Cache> = (0..3).map(|_| Cache::default()).collect();
        let (mut now, mut version) = (0, 0);
        let mut newest: HashMap<&str, u64> = HashMap::new();
        let mut edits: HashMap<u64, (&str, u64)> = HashMap::new();
        let mut wire: Vec<Void<usize>> = Vec::new();
        let mut fetched: Vec<(&str, u64)> = Vec::new();
        for (what, which, after) in steps {
            now += after;
            wire.extend(copies.due(now));
            match what {
                0 => {
                    version += 1;
                    let key = keys[which];
                    newest.insert(key, version);
                    edits.insert(version, (key, version));
                    prop_assert!(copies.edited(now, version, key, version, &[0, 1, 2]));
                }
                // A fetch begins: it brings what the store holds now, whenever its fill comes.
                1 => fetched.push((keys[which], newest.get(keys[which]).copied().unwrap_or(0))),
                2 if !fetched.is_empty() => {
                    let (key, version) = fetched.remove(after as usize % fetched.len());
                    let cache = &mut caches[which];
                    if version >= cache.voided.get(key).copied().unwrap_or(0) {
                        let held = cache.held.entry(key.into()).or_default();
                        *held = version.max(*held);
                    }
                }
                // A void comes, perhaps again later, or is lost.
                3 | 4 if !wire.is_empty() => {
                    let at = after as usize % wire.len();
                    let void = if what == 3 { wire.remove(at) } else { wire[at].clone() };
                    let cache = &mut caches[void.cache];
                    let mark = cache.voided.entry(void.key.clone()).or_default();
                    *mark = void.version.max(*mark);
                    if cache.held.get(&void.key).is_some_and(|held| *held < void.version) {
                        cache.held.remove(&void.key);
                    }
                    copies.acknowledged(void.cache, &void.key, void.version);
                }
                5 if !wire.is_empty() => drop(wire.remove(after as usize % wire.len())),
                _ => {}
            }
            for edit in copies.done() {
                let (key, version) = edits[&edit];
                for cache in &caches {
                    let held = cache.held.get(key);
                    prop_assert!(held.is_none_or(|held| *held >= version), "{} at {:?}", version, held);
                }
            }
        }
        // Once all that is due comes through, all are done.
        for _ in 0..3 {
            now += 1_000;
            for void in copies.due(now) {
                copies.acknowledged(void.cache, &void.key, void.version);
            }
        }
        prop_assert_eq!(copies.pending(), 0);
    }
}
