//! The server list: watches on it, and servers that drain or move.

use crate::harness::*;
use crate::{cache_and_origin, failing_origin, quiet_discovery};

#[test]
fn a_known_list_of_version_0_is_not_requested_whole_again() {
    let cache = cache(|_| Action::Respond(hit("value")));
    let entries = [entry("s-1", cache.address, "std", "active")];
    for (known, path) in [(&entries[..], "?watch=1&after=0"), (&[], "?watch=1")] {
        let (discovery, _updates, calls) = discovery(vec![watch_head()]);
        let _node = Node::start(discovery, &server_list(0, true, known));
        let call = calls.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(call, format!("GET /v1/servers{path} HTTP/1.1"));
    }
}

#[test]
fn a_draining_server_gets_no_new_requests_and_a_failed_watch_keeps_the_list() {
    let (first, second) =
        (cache(|_| Action::Respond(hit("first"))), cache(|_| Action::Respond(hit("second"))));
    let origin = failing_origin();
    let refused = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_vec();
    let garbage = [watch_head(), chunk("{\"index\":9,\"endpoints\":[{\"na\n")].concat();
    let (discovery, updates, calls) = discovery(vec![refused, garbage, watch_head()]);
    let entries = [
        entry("s-1", first.address, "std", "active"),
        entry("s-2", second.address, "std", "active"),
        entry("o-1", origin.address, "origin", "active"),
    ];
    let node = Node::start(discovery, &server_list(5, true, &entries));
    for _ in 0..3 {
        let call = calls.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(
            call, "GET /v1/servers?watch=1&after=5 HTTP/1.1",
            "each call continues from the version held"
        );
    }
    let mut client = node.client();
    let mut served = std::collections::BTreeSet::new();
    for key in 0..40 {
        served.insert(client.request(&get(&format!("{key:x}"), "1")).unwrap());
    }
    assert_eq!(served.len(), 2, "both servers are still in use: {served:?}");
    let change = server_list(6, false, &[entry("s-1", first.address, "std", "leaving")]);
    updates.send(chunk(&change)).unwrap();
    // The change has taken effect once 40 requests in a row, one for each key, go to the second server.
    let mut key = 0;
    let mut in_a_row = 0;
    while in_a_row < 40 {
        key += 1;
        let answer = client.request(&get(&format!("{:x}", key % 40), "2")).unwrap();
        in_a_row = if answer == "second" { in_a_row + 1 } else { 0 };
        assert!(key < 100_000, "the change never took effect");
    }
}

#[test]
fn with_pushed_lists_a_failed_watch_is_reopened_and_the_first_list_makes_the_node_ready() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let origin = failing_origin();
    let refused = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_vec();
    let (discovery, updates, calls) = discovery(vec![refused, watch_head(), watch_head()]);
    let node = Node::start_with_pushed_lists(discovery, &server_list(0, true, &[]));
    for _ in 0..3 {
        assert_eq!(calls.recv_timeout(TEST_TIMEOUT).unwrap(), "GET /v1/servers?watch=1 HTTP/1.1");
    }
    let mut client = node.client();
    assert!(client.request(&command(&["PING"])).unwrap().starts_with('-'), "the node knows no server yet");
    updates.send(chunk(&cache_and_origin(cache.address, origin.address))).unwrap();
    let ready = (0..100_000).any(|_| client.request(&command(&["PING"])).unwrap() == "+PONG");
    assert!(ready, "the node never became ready");
    assert_eq!(client.request(&get("aa", "1")).unwrap(), "aa");
}

#[test]
fn a_server_that_moved_is_used_at_its_new_address_only() {
    let (old, new) = (cache(|_| Action::Respond(hit("old"))), cache(|_| Action::Respond(hit("new"))));
    let origin = failing_origin();
    let (discovery, updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(old.address, origin.address));
    let mut client = node.client();
    assert_eq!(client.request(&get("aa", "1")).unwrap(), "old");
    let change = server_list(6, false, &[entry("s-1", new.address, "std", "active")]);
    updates.send(chunk(&change)).unwrap();
    let moved = (0..100_000).any(|_| client.request(&get("aa", "2")).unwrap() == "new");
    assert!(moved, "no request reached the new address");
    assert_eq!(
        client.request(&get("aa", "3")).unwrap(),
        "new",
        "no connection to the old address is used again"
    );
}
