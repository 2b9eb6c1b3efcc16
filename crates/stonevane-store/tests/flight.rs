//! The shared fetch and the breaker against models that are slow and plain.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stonevane_store::breaker::{Breaker, Limits as Trips, State, Word};
use stonevane_store::flight::{FlightId, Flights, Joined, Limits};

fn limits() -> Limits {
    Limits { flights: 4, joiners: 5, edits: 3 }
}

#[test]
fn two_hundred_who_miss_one_key_cause_one_call() {
    let mut flights = Flights::new(Limits::default());
    let joined: Vec<_> = (0..200).map(|joiner| flights.join(&"k", joiner, 1_000)).collect();
    let Joined::Begins(id) = joined[0] else { panic!("{joined:?}") };
    assert!(joined[1..].iter().all(|j| *j == Joined::Waits(id)));
    let landed = flights.landed(id).unwrap();
    assert_eq!(landed.joiners, (0..200).collect::<Vec<_>>());
    assert!(landed.may_keep && flights.waiting() == 0 && flights.in_the_air() == 0);
}

#[test]
fn whoever_leaves_a_fetch_goes_on_while_anyone_waits_and_is_cancelled_with_the_last() {
    let mut flights = Flights::new(limits());
    let Joined::Begins(id) = flights.join(&"k", 1, 10) else { panic!() };
    flights.join(&"k", 2, 20);
    assert_eq!(flights.leave(1), None, "the first to ask has left");
    assert_eq!(flights.expire(19), (vec![], vec![]));
    assert_eq!(flights.expire(20), (vec![2], vec![id]));
    assert_eq!(flights.landed(id), None, "it was cancelled");
    assert!(matches!(flights.join(&"k", 3, 30), Joined::Begins(other) if other != id));
}

#[test]
fn who_asks_after_an_edits_receipt_does_not_join_a_fetch_from_before_it() {
    let mut flights = Flights::new(limits());
    let Joined::Begins(old) = flights.join(&"k", 1, 10) else { panic!() };
    assert!(flights.edit_begins(&"k"));
    assert_eq!(flights.join(&"k", 2, 10), Joined::Waits(old), "before the receipt either value is right");
    flights.edit_ended(&"k");
    let Joined::Begins(new) = flights.join(&"k", 3, 10) else { panic!("joined an old fetch") };
    assert!(!flights.landed(old).unwrap().may_keep, "no cache keeps what may be old");
    assert!(flights.landed(new).unwrap().may_keep);
    assert_eq!(flights.join(&"other", 4, 10), Joined::Begins(new + 1));
}

#[test]
fn all_is_bounded() {
    let mut flights = Flights::new(limits());
    for joiner in 0..5 {
        assert_ne!(flights.join(&0, joiner, 9), Joined::NoRoom);
    }
    assert_eq!(flights.join(&0, 5, 9), Joined::NoRoom, "joiners of a fetch");
    for key in 1..4 {
        assert!(matches!(flights.join(&key, 10 + key, 9), Joined::Begins(_)));
    }
    assert_eq!(flights.join(&9, 20, 9), Joined::NoRoom, "fetches");
    assert_eq!([1, 1, 2, 3].map(|key| flights.edit_begins(&key)), [true, true, true, false]);
    flights.edit_ended(&1);
    assert!(flights.edit_begins(&3));
    flights.edit_ended(&77);
}

#[derive(Debug, Clone)]
enum Op {
    Join(u8),
    Leave(u8),
    /// The store reads for the n-th flight in the air.
    Read(u8),
    Land(u8),
    EditBegins(u8),
    /// The store commits the n-th edit under way.
    Commit(u8),
    Receipt(u8),
    Pass(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0u8..3).prop_map(Op::Join),
        1 => (0u8..8).prop_map(Op::Leave),
        3 => (0u8..4).prop_map(Op::Read),
        2 => (0u8..4).prop_map(Op::Land),
        2 => (0u8..3).prop_map(Op::EditBegins),
        2 => (0u8..3).prop_map(Op::Commit),
        2 => (0u8..3).prop_map(Op::Receipt),
        1 => (0u8..10).prop_map(Op::Pass),
    ]
}

/// One flight, as plainly as it can be put.
#[derive(Debug, Clone)]
struct Plain {
    id: FlightId,
    key: u8,
    joiners: Vec<(u64, u64)>,
    joinable: bool,
    touched: bool,
    read: Option<u64>,
}

#[derive(Debug, Clone)]
struct PlainEdit {
    key: u8,
    version: Option<u64>,
}

/// The store, one cache, and all flights in a list that is searched.
#[derive(Default)]
struct World {
    air: Vec<Plain>,
    edits: Vec<PlainEdit>,
    store: BTreeMap<u8, u64>,
    cache: BTreeMap<u8, u64>,
    /// The newest version whose receipt has been given, now and when each joiner asked.
    receipted: BTreeMap<u8, u64>,
    asked: BTreeMap<u64, u64>,
    versions: u64,
    now: u64,
    next: u64,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default()
    })]

    /// Each step does what a plain list would; nobody who asked after a receipt is given an older value, and no
    /// cache keeps one.
    #[test]
    fn the_shared_fetch_does_what_a_plain_list_does(ops in proptest::collection::vec(op(), 1..80)) {
        let mut flights = Flights::new(limits());
        let mut world = World::default();
        for op in ops {
            match op {
                Op::Join(key) => {
                    world.next += 1;
                    let (joiner, until) = (world.next, world.now + 7);
                    let got = flights.join(&key, joiner, until);
                    let full = world.air.len() >= 4;
                    let open = world.air.iter_mut().find(|f| f.key == key && f.joinable);
                    let plain = match open {
                        Some(flight) if flight.joiners.len() >= 5 => Joined::NoRoom,
                        Some(flight) => {
                            flight.joiners.push((joiner, until));
                            Joined::Waits(flight.id)
                        }
                        None if full => Joined::NoRoom,
                        None => {
                            let Joined::Begins(id) = got else { return Err(TestCaseError::fail("no new one")) };
                            prop_assert!(world.air.iter().all(|f| f.id != id));
                            let touched = world.edits.iter().any(|e| e.key == key);
                            let joiners = vec![(joiner, until)];
                            world.air.push(Plain { id, key, joiners, joinable: true, touched, read: None });
                            Joined::Begins(id)
                        }
                    };
                    prop_assert_eq!(got, plain);
                    if got != Joined::NoRoom {
                        world.asked.insert(joiner, world.receipted.get(&key).copied().unwrap_or(0));
                    }
                }
                Op::Leave(back) => {
                    let joiner = world.next.saturating_sub(u64::from(back));
                    let at = world.air.iter().position(|f| f.joiners.iter().any(|(j, _)| *j == joiner));
                    let mut plain = None;
                    if let Some(at) = at {
                        world.air[at].joiners.retain(|(j, _)| *j != joiner);
                        if world.air[at].joiners.is_empty() {
                            plain = Some(world.air.remove(at).id);
                        }
                    }
                    prop_assert_eq!(flights.leave(joiner), plain);
                }
                Op::Read(at) => {
                    let store = world.store.clone();
                    if let Some(flight) = world.air.get_mut(usize::from(at)) {
                        flight.read.get_or_insert(store.get(&flight.key).copied().unwrap_or(0));
                    }
                }
                Op::Land(at) => {
                    let at = usize::from(at);
                    if world.air.get(at).is_none_or(|f| f.read.is_none()) {
                        continue;
                    }
                    let flight = world.air.remove(at);
                    let landed = flights.landed(flight.id).unwrap();
                    let version = flight.read.unwrap();
                    prop_assert_eq!(&landed.joiners, &flight.joiners.iter().map(|(j, _)| *j).collect::<Vec<_>>());
                    prop_assert_eq!((landed.key, landed.may_keep), (flight.key, !flight.touched));
                    for joiner in landed.joiners {
                        prop_assert!(version >= world.asked[&joiner], "older than a receipt from before it asked");
                    }
                    if landed.may_keep {
                        world.cache.insert(flight.key, version);
                    }
                }
                Op::EditBegins(key) => {
                    let room = world.edits.len() < 3;
                    prop_assert_eq!(flights.edit_begins(&key), room);
                    if room {
                        world.edits.push(PlainEdit { key, version: None });
                        world.air.iter_mut().filter(|f| f.key == key).for_each(|f| f.touched = true);
                    }
                }
                Op::Commit(at) => {
                    if let Some(edit) = world.edits.get_mut(usize::from(at)).filter(|e| e.version.is_none()) {
                        world.versions += 1;
                        edit.version = Some(world.versions);
                        world.store.insert(edit.key, world.versions);
                    }
                }
                Op::Receipt(at) => {
                    let at = usize::from(at);
                    if world.edits.get(at).is_none_or(|e| e.version.is_none()) {
                        continue;
                    }
                    let edit = world.edits.remove(at);
                    // Copies are dropped before the receipt.
                    world.cache.remove(&edit.key);
                    flights.edit_ended(&edit.key);
                    world.air.iter_mut().filter(|f| f.key == edit.key).for_each(|f| f.joinable = false);
                    let known = world.receipted.entry(edit.key).or_default();
                    *known = (*known).max(edit.version.unwrap());
                }
                Op::Pass(time) => {
                    world.now += u64::from(time);
                    let now = world.now;
                    let (mut over, mut cancelled) = (Vec::new(), Vec::new());
                    for flight in &mut world.air {
                        over.extend(flight.joiners.iter().filter(|(_, u)| *u <= now).map(|(j, _)| *j));
                        flight.joiners.retain(|(_, until)| *until > now);
                        if flight.joiners.is_empty() {
                            cancelled.push(flight.id);
                        }
                    }
                    world.air.retain(|f| !f.joiners.is_empty());
                    over.sort_unstable();
                    cancelled.sort_unstable();
                    prop_assert_eq!(flights.expire(now), (over, cancelled));
                }
            }
            for (key, receipted) in &world.receipted {
                let kept = world.cache.get(key);
                prop_assert!(kept.is_none_or(|kept| kept >= receipted), "a cache keeps an old value");
            }
            prop_assert_eq!(flights.in_the_air(), world.air.len());
            prop_assert_eq!(flights.waiting(), world.air.iter().map(|f| f.joiners.len()).sum::<usize>());
        }
    }

    /// Open, it lets nothing pass; half open, one call; and its waits stay within their bounds.
    #[test]
    fn a_breaker_lets_one_probe_pass_at_a_time(
        steps in proptest::collection::vec((0u8..4, 0u64..400, 0.0f64..1.0), 1..60),
    ) {
        let trips = Trips { failures: 3, shortest: 100, longest: 400, jitter: 0.5 };
        let mut breaker = Breaker::new(trips);
        let (mut now, mut probing, mut in_a_row, mut open_until) = (0u64, false, 0u32, None::<u64>);
        for (step, time, drawn) in steps {
            now += time;
            match step {
                0 | 1 => match breaker.call(now) {
                    Word::Pass => prop_assert!(open_until.is_none()),
                    Word::Probe => {
                        prop_assert!(!probing && open_until.is_some_and(|until| now >= until));
                        probing = true;
                    }
                    Word::Refuse { retry_after } => {
                        prop_assert!(open_until.is_some() && retry_after > 0 && retry_after <= 600);
                    }
                },
                2 => {
                    breaker.answered();
                    (probing, in_a_row, open_until) = (false, 0, None);
                }
                _ => {
                    let waited = breaker.state();
                    breaker.failed(now, drawn);
                    in_a_row += 1;
                    let trips_now = open_until.is_none() && in_a_row >= 3 || probing;
                    if let (true, State::Open { until, wait }) = (trips_now, breaker.state()) {
                        prop_assert!((100..=400).contains(&wait) && until - now <= wait + wait / 2);
                        if let State::HalfOpen { wait: before } = waited {
                            prop_assert_eq!(wait, (before * 2).min(400));
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
fn an_edit_an_expiry_and_one_who_leaves_cost_the_same_whatever_else_is_in_the_air() {
    let cost = |others: u64| {
        let mut flights: Flights<u64> = Flights::new(Limits { flights: 2_000, ..Limits::default() });
        for key in 0..others {
            flights.join(&(1_000 + key), 10_000 + key, 1_000_000);
        }
        flights.join(&1, 1, 50);
        flights.join(&1, 2, 1_000);
        flights.join(&1, 3, 1_000);
        let before = flights.looked();
        assert!(flights.edit_begins(&1));
        flights.edit_ended(&1);
        assert_eq!(flights.expire(60), (vec![1], vec![]));
        assert_eq!(flights.leave(2), None);
        assert!(flights.leave(3).is_some());
        flights.looked() - before
    };
    assert_eq!(cost(0), cost(1_000));
    assert!(cost(1_000) < 10);
}

#[test]
fn ends_of_those_who_left_are_not_kept_for_ever() {
    let mut flights: Flights<u64> = Flights::new(Limits::default());
    for joiner in 0..100_000 {
        flights.join(&1, joiner, u64::MAX);
        flights.leave(joiner);
    }
    let looked = flights.looked();
    flights.expire(u64::MAX);
    assert!(flights.looked() - looked < 200, "{}", flights.looked() - looked);
}
