//! The time that an attempt sends to its server (`d`) is at most what is left to the client at that moment: for cache
//! servers and the origin, for the first attempt and for each kind of further one.
//!
//! No test depends on the machine's speed: a emulated server holds an answer back, and the next attempt may state at most the
//! client's time less what had passed, as the test itself measured, between the request's arrival and that answer.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::crossings::{Shut, slow_to_open};
use crate::harness::*;
use crate::{no_origin, pair, quiet};

/// What the test's clients state, in milliseconds.
const CLIENT_TIME_LEFT: u64 = 8_000;
/// For how long a emulated server holds its answer back.
const HELD_BACK: Duration = Duration::from_millis(300);

/// The time left that a request states, in milliseconds.
fn stated(seen: &Seen) -> u64 {
    let facts = seen.words.iter().find_map(|word| match word.strip_prefix("X-Facts: ") {
        Some(facts) => Some(facts),
        None => word.starts_with("c=").then_some(word.as_str()),
    });
    let facts = facts.unwrap_or_else(|| panic!("no facts in {:?}", seen.words));
    let stated: Vec<_> = facts.split(',').filter_map(|fact| fact.strip_prefix("d=")).collect();
    assert_eq!(stated.len(), 1, "one time left in {facts}");
    stated[0].parse().unwrap()
}

/// Lets some time pass and then the answer go; the most that any later attempt may state.
fn hold_back(latch: &Latch) -> u64 {
    let arrived = Instant::now();
    std::thread::sleep(HELD_BACK);
    let most = CLIENT_TIME_LEFT - arrived.elapsed().as_millis() as u64;
    latch.open();
    most
}

/// A later attempt states no more than is left, and not nothing.
fn assert_at_most(seen: &Seen, most: u64) {
    let stated = stated(seen);
    assert!((1..=most).contains(&stated), "{stated} ms stated, at most {most} were left: {:?}", seen.words);
}

/// The first request that any of the emulated servers sharing it sees is answered as `first` once the latch is open, the
/// others at once as `then`.
fn first_held(
    latch: &Latch,
    first: Vec<u8>,
    then: Vec<u8>,
) -> impl FnMut(&[String]) -> Act + Send + Clone + use<> {
    let (taken, latch) = (Arc::new(AtomicBool::new(false)), latch.clone());
    move |_| match taken.swap(true, Ordering::SeqCst) {
        false => Act::SayWhen(latch.clone(), first.clone()),
        true => Act::Say(then.clone()),
    }
}

/// A whole list of two cache servers and an origin.
fn two_caches(first: SocketAddr, second: SocketAddr, origin: SocketAddr) -> String {
    let entries = [
        entry("s-1", first, "std", "active"),
        entry("s-2", second, "std", "active"),
        entry("o-1", origin, "origin", "active"),
    ];
    listing(5, true, &entries)
}

/// Two cache servers that share what they do, and which of them saw a request first.
struct Caches {
    first: EmulatedServer,
    second: EmulatedServer,
}

impl Caches {
    fn start(act: impl FnMut(&[String]) -> Act + Send + Clone + 'static) -> Caches {
        Caches { first: cache(act.clone()), second: cache(act) }
    }

    /// The next request at either.
    fn next(&self) -> Seen {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            for cache in [&self.first, &self.second] {
                if let Ok(seen) = cache.seen.recv_timeout(Duration::from_millis(2))
                    && !seen.words.is_empty()
                {
                    return seen;
                }
            }
        }
        panic!("no request at either cache server")
    }
}

/// Settings under which a second copy of a read may go out while the first is not answered.
fn with_second_copies() -> String {
    settings().replace(r#""mayDuplicate":false"#, r#""mayDuplicate":true"#)
}

#[test]
fn a_retry_at_a_cache_server_states_what_is_left() {
    let latch = Latch::default();
    let caches = Caches::start(first_held(&latch, b"-BUSY\r\n".to_vec(), hit("kept")));
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let known = two_caches(caches.first.address, caches.second.address, origin.address);
    let node = Node::start(discovery, &known);
    let mut client = node.client();
    client.send(&get("aa", "1"));
    assert_at_most(&caches.next(), CLIENT_TIME_LEFT);
    let most = hold_back(&latch);
    assert_at_most(&caches.next(), most);
    assert_eq!(client.answer().unwrap(), "kept");
}

#[test]
fn a_second_copy_at_a_cache_server_states_what_is_left() {
    let latch = Latch::default();
    let caches = Caches::start(first_held(&latch, hit("late"), hit("kept")));
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let known = two_caches(caches.first.address, caches.second.address, origin.address);
    let node = Node::start_in(discovery, &known, 256, "", &with_second_copies());
    let mut client = node.client();
    client.send(&get("aa", "1"));
    let first = caches.next();
    assert_at_most(&first, CLIENT_TIME_LEFT);
    // The first copy gets no answer until the second has come, which the node sends of its own accord: later than the
    // first, so that less is left by at least the least time that it waits for an answer.
    let second = caches.next();
    assert_at_most(&second, stated(&first) - 1);
    latch.open();
    assert!(["kept", "late"].contains(&client.answer().unwrap().as_str()));
}

#[test]
fn a_fetch_after_a_miss_states_what_is_left() {
    let latch = Latch::default();
    let held = latch.clone();
    let cache = cache(move |_| Act::SayWhen(held.clone(), miss()));
    let origin = origin(|_| Act::Say(http(200, "", "made")));
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("aa", "1"));
    assert_at_most(&cache.next(), CLIENT_TIME_LEFT);
    let most = hold_back(&latch);
    assert_at_most(&origin.next(), most);
    assert_eq!(client.answer().unwrap(), "made");
}

#[test]
fn a_fetch_that_the_origin_turned_away_states_what_is_left_when_it_is_sent_again() {
    let latch = Latch::default();
    let cache = cache(|_| Act::Say(miss()));
    let turned_away = http(503, "X-Unprocessed: 1\r\n", "");
    let origin = origin(first_held(&latch, turned_away, http(200, "", "made")));
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("aa", "1"));
    assert_at_most(&origin.next(), CLIENT_TIME_LEFT);
    let most = hold_back(&latch);
    assert_at_most(&origin.next(), most);
    assert_eq!(client.answer().unwrap(), "made");
}

#[test]
fn a_write_that_never_ran_states_what_is_left_when_it_is_sent_again() {
    let latch = Latch::default();
    let cache = cache(|_| Act::Say(miss()));
    let turned_away = http(503, "X-Unprocessed: 1\r\n", "");
    let origin = origin(first_held(&latch, turned_away, http(200, "", "receipt")));
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    client.send(&put("aa", "1", "new"));
    let first = origin.next();
    assert_at_most(&first, CLIENT_TIME_LEFT);
    let most = hold_back(&latch);
    let second = origin.next();
    assert_at_most(&second, most);
    assert_eq!(client.answer().unwrap(), "receipt");
    let others =
        |seen: &Seen| seen.words.iter().filter(|word| !word.starts_with("X-Facts")).cloned().collect();
    let (first, second): (Vec<_>, Vec<_>) = (others(&first), others(&second));
    assert_eq!(first, second, "nothing but the time differs");
}

#[test]
fn a_keyed_write_that_failed_states_what_is_left_when_it_is_sent_again() {
    let latch = Latch::default();
    let cache = cache(|_| Act::Say(miss()));
    let origin = origin(first_held(&latch, http(500, "", ""), http(200, "", "receipt")));
    let (discovery, _say, _calls) = quiet();
    let keyed = r#""token","dedupScope":"all","dedupWindowUs":8000000"#;
    let settings = settings().replace(r#""side_effect""#, keyed);
    let node = Node::start_in(discovery, &pair(cache.address, origin.address), 256, "", &settings);
    let mut client = node.client();
    client.send(&put("aa", "1", "new"));
    assert_at_most(&origin.next(), CLIENT_TIME_LEFT);
    let most = hold_back(&latch);
    assert_at_most(&origin.next(), most);
    assert_eq!(client.answer().unwrap(), "receipt");
}

#[test]
fn an_attempt_whose_connection_came_up_late_states_what_is_left() {
    let (late, origin) = (Shut::new(), no_origin());
    let (discovery, _say, _calls) = quiet();
    let known = pair(late.address, origin.address);
    let node = Node::start_managed_with_settings(discovery, &known, &slow_to_open());
    let mut client = node.client();
    client.send(&get("aa", "1"));
    node.until("in_flight", 1);
    let most = hold_back(&Latch::default());
    let mut connection = late.accept();
    let words = read_command(&mut BufReader::new(connection.try_clone().unwrap())).unwrap();
    assert_at_most(&Seen { words, conn: 0 }, most);
    connection.write_all(&hit("kept")).unwrap();
    assert_eq!(client.answer().unwrap(), "kept");
}
