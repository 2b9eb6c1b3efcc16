//! Readiness of a process that has just started: it serves with the list of its configuration, or else with
//! the first list from discovery.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::{cache_and_origin, failing_origin};

fn ping(node: &Node) -> String {
    node.client().request(&command(&["PING"])).unwrap()
}

/// Starts a discovery service that accepts calls and answers none: it resets them at once (`resets`) or keeps
/// them open.
fn failed_discovery(resets: bool) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming().flatten() {
            held.extend(Some(stream).filter(|_| !resets));
        }
    });
    address
}

#[test]
fn a_process_with_an_old_list_is_ready_at_once_while_discovery_is_down() {
    let (cache, origin) = (cache(|_| Action::Respond(hit("value"))), failing_origin());
    let known = cache_and_origin(cache.address, origin.address);
    for resets in [false, true] {
        for pushed in [false, true] {
            let discovery = failed_discovery(resets);
            let node = match pushed {
                true => Node::start_with_pushed_lists(discovery, &known),
                false => Node::start(discovery, &known),
            };
            assert_eq!(ping(&node), "+PONG", "the first response; resets: {resets}, pushed: {pushed}");
            assert_eq!(node.client().request(&get("aa", "1")).unwrap(), "value");
        }
    }
}

#[test]
fn a_process_without_a_list_is_ready_soon_after_discovery_is_back_even_with_a_long_poll_interval() {
    let (cache, origin) = (cache(|_| Action::Respond(hit("value"))), failing_origin());
    // A retry after a fraction of this interval would come after half a minute at the earliest.
    let settings = settings().replace(r#""askWithinUs":1000000"#, r#""askWithinUs":1000000000"#);
    let list = chunk(&cache_and_origin(cache.address, origin.address));
    // The first three calls fail.
    let busy = || http_response(503, "", "");
    let (discovery, _updates, calls) = discovery(vec![busy(), busy(), busy(), [watch_head(), list].concat()]);
    let node = Node::start_with_settings(discovery, &server_list(0, true, &[]), 256, "", &settings);
    assert!(ping(&node).starts_with("-LOADING"), "the node can serve nothing yet");
    (0..4).for_each(|_| drop(calls.recv_timeout(TEST_TIMEOUT).expect("a call to discovery")));
    let end = Instant::now() + TEST_TIMEOUT;
    while ping(&node) != "+PONG" {
        assert!(Instant::now() < end, "the node has its list and is not ready");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(node.client().request(&get("aa", "1")).unwrap(), "value");
}
