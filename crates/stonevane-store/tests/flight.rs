//! The shared fetch and the circuit breaker, checked against simple reference models.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stonevane_store::breaker::{Breaker, Decision, Limits as BreakerLimits, State};
use stonevane_store::flight::{FlightId, Flights, Joined, Limits};

fn limits() -> Limits {
    Limits { flights: 4, joiners: 5, edits: 3 }
}

#[test]
fn two_hundred_callers_of_one_key_share_one_fetch() {
    let mut flights = Flights::new(Limits::default());
    let joined: Vec<_> = (0..200).map(|joiner| flights.join(&"k", joiner, 1_000)).collect();
    let Joined::Started(id) = joined[0] else { panic!("{joined:?}") };
    assert!(joined[1..].iter().all(|j| *j == Joined::Waiting(id)));
    let completed = flights.complete(id).unwrap();
    assert_eq!(completed.joiners, (0..200).collect::<Vec<_>>());
    assert!(completed.cacheable && flights.joiner_count() == 0 && flights.in_flight() == 0);
}

#[test]
fn a_fetch_continues_while_any_joiner_waits_and_is_cancelled_when_the_last_leaves() {
    let mut flights = Flights::new(limits());
    let Joined::Started(id) = flights.join(&"k", 1, 10) else { panic!() };
    flights.join(&"k", 2, 20);
    assert_eq!(flights.leave(1), None, "another joiner still waits");
    assert_eq!(flights.expire(19), (vec![], vec![]));
    assert_eq!(flights.expire(20), (vec![2], vec![id]));
    assert_eq!(flights.complete(id), None, "it was cancelled");
    assert!(matches!(flights.join(&"k", 3, 30), Joined::Started(other) if other != id));
}

#[test]
fn a_caller_after_an_edits_receipt_does_not_join_an_older_fetch() {
    let mut flights = Flights::new(limits());
    let Joined::Started(old) = flights.join(&"k", 1, 10) else { panic!() };
    assert!(flights.edit_begins(&"k"));
    assert_eq!(
        flights.join(&"k", 2, 10),
        Joined::Waiting(old),
        "before the receipt, the old and the new value are both correct"
    );
    flights.edit_ended(&"k");
    let Joined::Started(new) = flights.join(&"k", 3, 10) else {
        panic!("joined a fetch from before the receipt")
    };
    assert!(!flights.complete(old).unwrap().cacheable, "the value may be old, so no cache may keep it");
    assert!(flights.complete(new).unwrap().cacheable);
    assert_eq!(flights.join(&"other", 4, 10), Joined::Started(new + 1));
}

#[test]
fn flights_joiners_and_edits_are_bounded() {
    let mut flights = Flights::new(limits());
    for joiner in 0..5 {
        assert_ne!(flights.join(&0, joiner, 9), Joined::Rejected);
    }
    assert_eq!(flights.join(&0, 5, 9), Joined::Rejected, "too many joiners of a fetch");
    for key in 1..4 {
        assert!(matches!(flights.join(&key, 10 + key, 9), Joined::Started(_)));
    }
    assert_eq!(flights.join(&9, 20, 9), Joined::Rejected, "too many fetches");
    assert_eq!([1, 1, 2, 3].map(|key| flights.edit_begins(&key)), [true, true, true, false]);
    flights.edit_ended(&1);
    assert!(flights.edit_begins(&3));
    flights.edit_ended(&77);
}

#[derive(Debug, Clone)]
enum Op {
    Join(u8),
    Leave(u8),
    /// The store reads the value for the n-th flight.
    Read(u8),
    /// The n-th flight completes.
    Complete(u8),
    EditBegins(u8),
    /// The store commits the n-th edit in progress.
    Commit(u8),
    /// The n-th edit in progress returns its receipt.
    Receipt(u8),
    /// Time passes.
    Advance(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0u8..3).prop_map(Op::Join),
        1 => (0u8..8).prop_map(Op::Leave),
        3 => (0u8..4).prop_map(Op::Read),
        2 => (0u8..4).prop_map(Op::Complete),
        2 => (0u8..3).prop_map(Op::EditBegins),
        2 => (0u8..3).prop_map(Op::Commit),
        2 => (0u8..3).prop_map(Op::Receipt),
        1 => (0u8..10).prop_map(Op::Advance),
    ]
}

/// A flight of the reference model.
#[derive(Debug, Clone)]
struct ModelFlight {
    id: FlightId,
    key: u8,
    joiners: Vec<(u64, u64)>,
    joinable: bool,
    overlaps_edit: bool,
    /// The version that the store has read for this flight.
    read: Option<u64>,
}

#[derive(Debug, Clone)]
struct ModelEdit {
    key: u8,
    version: Option<u64>,
}

/// The reference model: the store, one cache, and all flights and edits in plain lists.
#[derive(Default)]
struct Model {
    flights: Vec<ModelFlight>,
    edits: Vec<ModelEdit>,
    store: BTreeMap<u8, u64>,
    cache: BTreeMap<u8, u64>,
    /// The newest version of each key whose receipt has been returned.
    newest_receipt: BTreeMap<u8, u64>,
    /// The newest receipt of its key when each joiner joined.
    receipt_at_join: BTreeMap<u64, u64>,
    last_version: u64,
    now: u64,
    last_joiner: u64,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default()
    })]

    /// Each step has the same result as in the reference model. A caller that asked after a receipt never
    /// gets an older value, and no cache keeps one.
    #[test]
    fn the_shared_fetch_matches_the_reference_model(ops in proptest::collection::vec(op(), 1..80)) {
        let mut flights = Flights::new(limits());
        let mut model = Model::default();
        for op in ops {
            match op {
                Op::Join(key) => {
                    model.last_joiner += 1;
                    let (joiner, deadline) = (model.last_joiner, model.now + 7);
                    let joined = flights.join(&key, joiner, deadline);
                    let full = model.flights.len() >= 4;
                    let joinable = model.flights.iter_mut().find(|f| f.key == key && f.joinable);
                    let expected = match joinable {
                        Some(flight) if flight.joiners.len() >= 5 => Joined::Rejected,
                        Some(flight) => {
                            flight.joiners.push((joiner, deadline));
                            Joined::Waiting(flight.id)
                        }
                        None if full => Joined::Rejected,
                        None => {
                            let Joined::Started(id) = joined else {
                                return Err(TestCaseError::fail("no new fetch"));
                            };
                            prop_assert!(model.flights.iter().all(|f| f.id != id));
                            let overlaps_edit = model.edits.iter().any(|e| e.key == key);
                            let joiners = vec![(joiner, deadline)];
                            model.flights.push(ModelFlight {
                                id,
                                key,
                                joiners,
                                joinable: true,
                                overlaps_edit,
                                read: None,
                            });
                            Joined::Started(id)
                        }
                    };
                    prop_assert_eq!(joined, expected);
                    if joined != Joined::Rejected {
                        model
                            .receipt_at_join
                            .insert(joiner, model.newest_receipt.get(&key).copied().unwrap_or(0));
                    }
                }
                Op::Leave(back) => {
                    let joiner = model.last_joiner.saturating_sub(u64::from(back));
                    let at = model.flights.iter().position(|f| f.joiners.iter().any(|(j, _)| *j == joiner));
                    let mut cancelled = None;
                    if let Some(at) = at {
                        model.flights[at].joiners.retain(|(j, _)| *j != joiner);
                        if model.flights[at].joiners.is_empty() {
                            cancelled = Some(model.flights.remove(at).id);
                        }
                    }
                    prop_assert_eq!(flights.leave(joiner), cancelled);
                }
                Op::Read(at) => {
                    let store = model.store.clone();
                    if let Some(flight) = model.flights.get_mut(usize::from(at)) {
                        flight.read.get_or_insert(store.get(&flight.key).copied().unwrap_or(0));
                    }
                }
                Op::Complete(at) => {
                    let at = usize::from(at);
                    if model.flights.get(at).is_none_or(|f| f.read.is_none()) {
                        continue;
                    }
                    let flight = model.flights.remove(at);
                    let completed = flights.complete(flight.id).unwrap();
                    let version = flight.read.unwrap();
                    prop_assert_eq!(
                        &completed.joiners,
                        &flight.joiners.iter().map(|(j, _)| *j).collect::<Vec<_>>()
                    );
                    prop_assert_eq!((completed.key, completed.cacheable), (flight.key, !flight.overlaps_edit));
                    for joiner in completed.joiners {
                        prop_assert!(
                            version >= model.receipt_at_join[&joiner],
                            "a value older than a receipt from before the call"
                        );
                    }
                    if completed.cacheable {
                        model.cache.insert(flight.key, version);
                    }
                }
                Op::EditBegins(key) => {
                    let accepted = model.edits.len() < 3;
                    prop_assert_eq!(flights.edit_begins(&key), accepted);
                    if accepted {
                        model.edits.push(ModelEdit { key, version: None });
                        model
                            .flights
                            .iter_mut()
                            .filter(|f| f.key == key)
                            .for_each(|f| f.overlaps_edit = true);
                    }
                }
                Op::Commit(at) => {
                    if let Some(edit) = model.edits.get_mut(usize::from(at)).filter(|e| e.version.is_none()) {
                        model.last_version += 1;
                        edit.version = Some(model.last_version);
                        model.store.insert(edit.key, model.last_version);
                    }
                }
                Op::Receipt(at) => {
                    let at = usize::from(at);
                    if model.edits.get(at).is_none_or(|e| e.version.is_none()) {
                        continue;
                    }
                    let edit = model.edits.remove(at);
                    // The cache drops its copy before the receipt is returned.
                    model.cache.remove(&edit.key);
                    flights.edit_ended(&edit.key);
                    model.flights.iter_mut().filter(|f| f.key == edit.key).for_each(|f| f.joinable = false);
                    let newest = model.newest_receipt.entry(edit.key).or_default();
                    *newest = (*newest).max(edit.version.unwrap());
                }
                Op::Advance(time) => {
                    model.now += u64::from(time);
                    let now = model.now;
                    let (mut expired, mut cancelled) = (Vec::new(), Vec::new());
                    for flight in &mut model.flights {
                        expired.extend(
                            flight.joiners.iter().filter(|(_, deadline)| *deadline <= now).map(|(j, _)| *j),
                        );
                        flight.joiners.retain(|(_, deadline)| *deadline > now);
                        if flight.joiners.is_empty() {
                            cancelled.push(flight.id);
                        }
                    }
                    model.flights.retain(|f| !f.joiners.is_empty());
                    expired.sort_unstable();
                    cancelled.sort_unstable();
                    prop_assert_eq!(flights.expire(now), (expired, cancelled));
                }
            }
            for (key, newest) in &model.newest_receipt {
                let kept = model.cache.get(key);
                prop_assert!(
                    kept.is_none_or(|kept| kept >= newest),
                    "the cache keeps a value older than a receipt"
                );
            }
            prop_assert_eq!(flights.in_flight(), model.flights.len());
            prop_assert_eq!(
                flights.joiner_count(),
                model.flights.iter().map(|f| f.joiners.len()).sum::<usize>()
            );
        }
    }

    /// An open breaker lets no call pass, a half-open one only the probe, and its waits stay within their
    /// bounds.
    #[test]
    fn a_breaker_lets_one_probe_pass_at_a_time(
        steps in proptest::collection::vec((0u8..4, 0u64..400, 0.0f64..1.0), 1..60),
    ) {
        let limits = BreakerLimits { failure_threshold: 3, min_open: 100, max_open: 400, jitter: 0.5 };
        let mut breaker = Breaker::new(limits);
        let (mut now, mut probing, mut failures, mut open_until) = (0u64, false, 0u32, None::<u64>);
        for (step, elapsed, random) in steps {
            now += elapsed;
            match step {
                0 | 1 => match breaker.call(now) {
                    Decision::Pass => prop_assert!(open_until.is_none()),
                    Decision::Probe => {
                        prop_assert!(!probing && open_until.is_some_and(|until| now >= until));
                        probing = true;
                    }
                    Decision::Reject { retry_after } => {
                        prop_assert!(open_until.is_some() && retry_after > 0 && retry_after <= 600);
                    }
                },
                2 => {
                    breaker.answered();
                    (probing, failures, open_until) = (false, 0, None);
                }
                _ => {
                    let state_before = breaker.state();
                    breaker.failed(now, random);
                    failures += 1;
                    let opens = open_until.is_none() && failures >= 3 || probing;
                    if let (true, State::Open { until, wait }) = (opens, breaker.state()) {
                        prop_assert!((100..=400).contains(&wait) && until - now <= wait + wait / 2);
                        if let State::HalfOpen { wait: wait_before } = state_before {
                            prop_assert_eq!(wait, (wait_before * 2).min(400));
                        }
                        (open_until, probing) = (Some(until), false);
                    }
                    prop_assert_eq!(open_until.is_some(), !matches!(breaker.state(), State::Closed { .. }));
                }
            }
        }
    }
}

#[test]
fn the_cost_of_an_edit_an_expiry_and_a_leave_does_not_depend_on_other_flights() {
    let cost = |other_flights: u64| {
        let mut flights: Flights<u64> = Flights::new(Limits { flights: 2_000, ..Limits::default() });
        for key in 0..other_flights {
            flights.join(&(1_000 + key), 10_000 + key, 1_000_000);
        }
        flights.join(&1, 1, 50);
        flights.join(&1, 2, 1_000);
        flights.join(&1, 3, 1_000);
        let before = flights.visited();
        assert!(flights.edit_begins(&1));
        flights.edit_ended(&1);
        assert_eq!(flights.expire(60), (vec![1], vec![]));
        assert_eq!(flights.leave(2), None);
        assert!(flights.leave(3).is_some());
        flights.visited() - before
    };
    assert_eq!(cost(0), cost(1_000));
    assert!(cost(1_000) < 10);
}

#[test]
fn deadlines_of_joiners_that_left_are_discarded() {
    let mut flights: Flights<u64> = Flights::new(Limits::default());
    for joiner in 0..100_000 {
        flights.join(&1, joiner, u64::MAX);
        flights.leave(joiner);
    }
    let before = flights.visited();
    flights.expire(u64::MAX);
    assert!(flights.visited() - before < 200, "{} entries visited", flights.visited() - before);
}
