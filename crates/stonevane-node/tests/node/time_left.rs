//! An attempt states to its server the time (`d`, in ms) that is left for the client's request, never more
//! than is left at that moment. This holds for cache servers and the origin, for the first attempt and for
//! each kind of further attempt.
//!
//! The tests do not depend on the machine's speed. An emulated server delays a response, and the next attempt
//! may state at most the client's time minus the time that the test measured between the arrival of the
//! request and that response.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::crossings::{FullListenQueue, long_connect_timeout};
use crate::harness::*;
use crate::{cache_and_origin, failing_origin, quiet_discovery};

/// Time left that the test's clients state in their requests.
const CLIENT_TIME_LEFT_MS: u64 = 8_000;
/// Time for which an emulated server delays its response.
const RESPONSE_DELAY: Duration = Duration::from_millis(300);

/// The time left that a request states.
fn stated_ms(seen: &ReceivedRequest) -> u64 {
    let facts = seen.words.iter().find_map(|word| match word.strip_prefix("X-Facts: ") {
        Some(facts) => Some(facts),
        None => word.starts_with("c=").then_some(word.as_str()),
    });
    let facts = facts.unwrap_or_else(|| panic!("no facts in {:?}", seen.words));
    let values: Vec<_> = facts.split(',').filter_map(|fact| fact.strip_prefix("d=")).collect();
    assert_eq!(values.len(), 1, "one time left in {facts}");
    values[0].parse().unwrap()
}

/// Opens the latch after [`RESPONSE_DELAY`], and returns the highest time left, in ms, that a later attempt
/// may state.
fn open_after_delay(latch: &Latch) -> u64 {
    let arrived = Instant::now();
    std::thread::sleep(RESPONSE_DELAY);
    let most_ms = CLIENT_TIME_LEFT_MS - arrived.elapsed().as_millis() as u64;
    latch.open();
    most_ms
}

/// Checks that a request states at least 1 ms and at most `most_ms`.
fn assert_at_most(seen: &ReceivedRequest, most_ms: u64) {
    let stated = stated_ms(seen);
    assert!(
        (1..=most_ms).contains(&stated),
        "{stated} ms stated, at most {most_ms} were left: {:?}",
        seen.words
    );
}

/// An action that emulated servers may share. The first request at any of these servers gets `first` once the
/// latch is open, every other request gets `then` at once.
fn delay_first_response(
    latch: &Latch,
    first: Vec<u8>,
    then: Vec<u8>,
) -> impl FnMut(&[String]) -> Action + Send + Clone + use<> {
    let (first_received, latch) = (Arc::new(AtomicBool::new(false)), latch.clone());
    move |_| match first_received.swap(true, Ordering::SeqCst) {
        false => Action::RespondWhenOpen(latch.clone(), first.clone()),
        true => Action::Respond(then.clone()),
    }
}

/// A whole list of two cache servers and an origin.
fn two_caches_and_origin(first: SocketAddr, second: SocketAddr, origin: SocketAddr) -> String {
    let entries = [
        entry("s-1", first, "std", "active"),
        entry("s-2", second, "std", "active"),
        entry("o-1", origin, "origin", "active"),
    ];
    server_list(5, true, &entries)
}

/// Two cache servers that share one action.
struct CachePair {
    first: EmulatedServer,
    second: EmulatedServer,
}

impl CachePair {
    fn start(act: impl FnMut(&[String]) -> Action + Send + Clone + 'static) -> CachePair {
        CachePair { first: cache(act.clone()), second: cache(act) }
    }

    /// Waits for the next request at either server.
    fn next_request(&self) -> ReceivedRequest {
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            for cache in [&self.first, &self.second] {
                if let Ok(seen) = cache.received.recv_timeout(Duration::from_millis(2))
                    && !seen.words.is_empty()
                {
                    return seen;
                }
            }
        }
        panic!("no request at either cache server")
    }
}

/// Settings that allow a hedged copy of a read while its first attempt is pending.
fn hedging_settings() -> String {
    settings().replace(r#""mayDuplicate":false"#, r#""mayDuplicate":true"#)
}

#[test]
fn a_retry_at_a_cache_server_states_the_time_left() {
    let latch = Latch::default();
    let caches = CachePair::start(delay_first_response(&latch, b"-BUSY\r\n".to_vec(), hit("kept")));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let known = two_caches_and_origin(caches.first.address, caches.second.address, origin.address);
    let node = Node::start(discovery, &known);
    let mut client = node.client();
    client.send(&get("aa", "1"));
    assert_at_most(&caches.next_request(), CLIENT_TIME_LEFT_MS);
    let most_ms = open_after_delay(&latch);
    assert_at_most(&caches.next_request(), most_ms);
    assert_eq!(client.read_response().unwrap(), "kept");
}

#[test]
fn a_hedged_copy_at_a_cache_server_states_the_time_left() {
    let latch = Latch::default();
    let caches = CachePair::start(delay_first_response(&latch, hit("late"), hit("kept")));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let known = two_caches_and_origin(caches.first.address, caches.second.address, origin.address);
    let node = Node::start_with_settings(discovery, &known, 256, "", &hedging_settings());
    let mut client = node.client();
    client.send(&get("aa", "1"));
    let first = caches.next_request();
    assert_at_most(&first, CLIENT_TIME_LEFT_MS);
    // The first attempt gets no response until the hedged copy has arrived. The node sends that copy after a
    // minimum wait for a response, so the copy states at least 1 ms less.
    let second = caches.next_request();
    assert_at_most(&second, stated_ms(&first) - 1);
    latch.open();
    assert!(["kept", "late"].contains(&client.read_response().unwrap().as_str()));
}

#[test]
fn a_fetch_after_a_miss_states_the_time_left() {
    let latch = Latch::default();
    let held = latch.clone();
    let cache = cache(move |_| Action::RespondWhenOpen(held.clone(), miss()));
    let origin = origin(|_| Action::Respond(http_response(200, "", "made")));
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("aa", "1"));
    assert_at_most(&cache.next_request(), CLIENT_TIME_LEFT_MS);
    let most_ms = open_after_delay(&latch);
    assert_at_most(&origin.next_request(), most_ms);
    assert_eq!(client.read_response().unwrap(), "made");
}

#[test]
fn a_fetch_that_the_origin_rejected_states_the_time_left_when_retried() {
    let latch = Latch::default();
    let cache = cache(|_| Action::Respond(miss()));
    let rejection = http_response(503, "X-Unprocessed: 1\r\n", "");
    let origin = origin(delay_first_response(&latch, rejection, http_response(200, "", "made")));
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("aa", "1"));
    assert_at_most(&origin.next_request(), CLIENT_TIME_LEFT_MS);
    let most_ms = open_after_delay(&latch);
    assert_at_most(&origin.next_request(), most_ms);
    assert_eq!(client.read_response().unwrap(), "made");
}

#[test]
fn a_write_that_never_ran_states_the_time_left_when_retried() {
    let latch = Latch::default();
    let cache = cache(|_| Action::Respond(miss()));
    let rejection = http_response(503, "X-Unprocessed: 1\r\n", "");
    let origin = origin(delay_first_response(&latch, rejection, http_response(200, "", "receipt")));
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    client.send(&put("aa", "1", "new"));
    let first = origin.next_request();
    assert_at_most(&first, CLIENT_TIME_LEFT_MS);
    let most_ms = open_after_delay(&latch);
    let second = origin.next_request();
    assert_at_most(&second, most_ms);
    assert_eq!(client.read_response().unwrap(), "receipt");
    let other_words = |seen: &ReceivedRequest| {
        seen.words.iter().filter(|word| !word.starts_with("X-Facts")).cloned().collect()
    };
    let (first, second): (Vec<_>, Vec<_>) = (other_words(&first), other_words(&second));
    assert_eq!(first, second, "the attempts differ only in the time left");
}

#[test]
fn a_failed_write_with_a_token_states_the_time_left_when_retried() {
    let latch = Latch::default();
    let cache = cache(|_| Action::Respond(miss()));
    let origin =
        origin(delay_first_response(&latch, http_response(500, "", ""), http_response(200, "", "receipt")));
    let (discovery, _updates, _calls) = quiet_discovery();
    let token_effect = r#""token","dedupScope":"all","dedupWindowUs":8000000"#;
    let settings = settings().replace(r#""side_effect""#, token_effect);
    let node = Node::start_with_settings(
        discovery,
        &cache_and_origin(cache.address, origin.address),
        256,
        "",
        &settings,
    );
    let mut client = node.client();
    client.send(&put("aa", "1", "new"));
    assert_at_most(&origin.next_request(), CLIENT_TIME_LEFT_MS);
    let most_ms = open_after_delay(&latch);
    assert_at_most(&origin.next_request(), most_ms);
    assert_eq!(client.read_response().unwrap(), "receipt");
}

#[test]
fn an_attempt_whose_connection_opened_late_states_the_time_left() {
    let (late, origin) = (FullListenQueue::new(), failing_origin());
    let (discovery, _updates, _calls) = quiet_discovery();
    let known = cache_and_origin(late.address, origin.address);
    let node = Node::start_with_mgmt_and_settings(discovery, &known, &long_connect_timeout());
    let mut client = node.client();
    client.send(&get("aa", "1"));
    node.wait_for_metric("in_flight", 1);
    let most_ms = open_after_delay(&Latch::default());
    let mut connection = late.accept();
    let words = read_command(&mut BufReader::new(connection.try_clone().unwrap())).unwrap();
    assert_at_most(&ReceivedRequest { words, conn: 0 }, most_ms);
    connection.write_all(&hit("kept")).unwrap();
    assert_eq!(client.read_response().unwrap(), "kept");
}
