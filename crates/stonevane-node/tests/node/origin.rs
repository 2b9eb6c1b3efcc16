//! The first response on a new connection to the origin includes the time of the handshake, so it may be
//! late. Guards against fetches that are delayed by this late response although reused connections have shown
//! that the origin is fast.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::harness::*;
use crate::{cache_and_origin, quiet_discovery};

/// Delay of the first response on a connection. It lies between the latency from which the origin counts as
/// slow (0.8 of the shorter latency objective, 2 s) and the longer objective, 8 s.
const FIRST_RESPONSE_DELAY: Duration = Duration::from_millis(1_800);
/// Idle time after which the node has closed a connection to the origin.
const IDLE_TIME: Duration = Duration::from_millis(600);

/// Pause after each fetch of the warm-up.
const WARM_UP_PAUSE: Duration = Duration::from_millis(5);

/// Settings of one node of 300, whose next fetch waits for more than 7 s after one slow response of the
/// origin.
fn settings_of_one_of_300_nodes() -> String {
    settings()
        .replace(r#""name":"read","goalTimeUs":250000"#, r#""name":"read","goalTimeUs":8000000"#)
        .replace(r#""name":"put","goalTimeUs":250000"#, r#""name":"put","goalTimeUs":2000000"#)
        .replace(r#""balancers":1"#, r#""balancers":300"#)
}

/// Starts an origin that delays the first response on each connection until the latch opens, while `delays`
/// is set.
fn origin_with_late_first_responses(delays: &Arc<AtomicBool>, latch: &Latch) -> EmulatedServer {
    let (delays, latch, mut requests) = (delays.clone(), latch.clone(), 0);
    origin(move |_| {
        requests += 1;
        match requests == 1 && delays.load(Ordering::SeqCst) {
            true => Action::RespondWhenOpen(latch.clone(), http_response(200, "", "late")),
            false => Action::Respond(http_response(200, "", "quick")),
        }
    })
}

/// Sends fetches one after another until one reuses a connection. They are paced: a connection rests 15 ms after a
/// response, and the tenant's quota admits only some thirty requests before that.
fn warm_up(client: &mut Client, origin: &EmulatedServer) {
    let mut connections = HashSet::new();
    let reused = (0..1_000).any(|key| {
        assert_eq!(client.request(&get(&format!("a{key:x}"), &format!("w{key}"))).unwrap(), "quick");
        std::thread::sleep(WARM_UP_PAUSE);
        !connections.insert(origin.next_request().conn)
    });
    assert!(reused, "no connection was used twice");
}

/// Returns whether a fetch is sent at once after a fetch whose response was late by [`FIRST_RESPONSE_DELAY`].
/// With `warm`, reused connections have shown the latency of the origin before.
fn fetch_follows_a_late_first_response(warm: bool) -> bool {
    let cache = cache(|_| Action::Respond(miss()));
    let (delays, latch) = (Arc::new(AtomicBool::new(!warm)), Latch::default());
    let origin = origin_with_late_first_responses(&delays, &latch);
    let (discovery, _updates, _calls) = quiet_discovery();
    let known = cache_and_origin(cache.address, origin.address);
    let node =
        Node::start_with_operator_file(discovery, &known, &settings_of_one_of_300_nodes(), NO_STARTUP_LIMIT);
    let mut client = node.client();
    if warm {
        warm_up(&mut client, &origin);
        std::thread::sleep(IDLE_TIME);
        delays.store(true, Ordering::SeqCst);
    }
    client.send(&get("bb", "h"));
    origin.next_request();
    std::thread::sleep(FIRST_RESPONSE_DELAY);
    delays.store(false, Ordering::SeqCst);
    latch.open();
    assert_eq!(client.read_response().unwrap(), "late");
    let next = command(&["OBJ.GET", "cc", "n", "c=read,t=acme,d=4000"]);
    match client.request(&next).unwrap().as_str() {
        "quick" => true,
        refused if refused.starts_with("-BUSY") => false,
        other => panic!("{other}"),
    }
}

#[test]
fn a_late_first_response_on_a_new_connection_delays_no_fetch() {
    assert!(fetch_follows_a_late_first_response(true));
}

#[test]
fn a_late_first_response_delays_fetches_while_no_reused_connection_has_shown_the_latency_of_the_origin() {
    assert!(!fetch_follows_a_late_first_response(false));
}
