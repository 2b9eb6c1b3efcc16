//! The endpoint list: watches on it, and servers that drain or move.

use crate::harness::*;
use crate::{no_origin, pair, quiet};

#[test]
fn a_list_of_version_0_is_not_asked_for_whole_again() {
    let cache = cache(|_| Act::Say(hit("value")));
    let entries = [entry("s-1", cache.address, "std", "active")];
    for (known, path) in [(&entries[..], "?watch=1&after=0"), (&[], "?watch=1")] {
        let (discovery, _say, calls) = discovery(vec![watch_head()]);
        let _node = Node::start(discovery, &listing(0, true, known));
        let call = calls.recv_timeout(LONG).unwrap();
        assert_eq!(call, format!("GET /v1/servers{path} HTTP/1.1"));
    }
}

#[test]
fn a_server_told_to_drain_gets_nothing_new_and_a_failed_watch_leaves_the_list() {
    let (first, second) = (cache(|_| Act::Say(hit("first"))), cache(|_| Act::Say(hit("second"))));
    let origin = no_origin();
    let refused = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_vec();
    let garbage = [watch_head(), chunk("{\"index\":9,\"endpoints\":[{\"na\n")].concat();
    let (discovery, say, calls) = discovery(vec![refused, garbage, watch_head()]);
    let entries = [
        entry("s-1", first.address, "std", "active"),
        entry("s-2", second.address, "std", "active"),
        entry("o-1", origin.address, "origin", "active"),
    ];
    let node = Node::start(discovery, &listing(5, true, &entries));
    for _ in 0..3 {
        let call = calls.recv_timeout(LONG).unwrap();
        assert_eq!(call, "GET /v1/servers?watch=1&after=5 HTTP/1.1", "asked again from the version held");
    }
    let mut client = node.client();
    let mut served = std::collections::BTreeSet::new();
    for key in 0..40 {
        served.insert(client.ask(&get(&format!("{key:x}"), "1")).unwrap());
    }
    assert_eq!(served.len(), 2, "both are known still: {served:?}");
    let change = listing(6, false, &[entry("s-1", first.address, "std", "leaving")]);
    say.send(chunk(&change)).unwrap();
    // The change is on its way: it has come once a key of the first goes to the second.
    let mut key = 0;
    let mut in_a_row = 0;
    while in_a_row < 40 {
        key += 1;
        let answer = client.ask(&get(&format!("{:x}", key % 40), "2")).unwrap();
        in_a_row = if answer == "second" { in_a_row + 1 } else { 0 };
        assert!(key < 100_000, "the change never took effect");
    }
}

#[test]
fn where_lists_are_pushed_the_watch_is_opened_again_and_a_node_is_ready_with_its_first_list() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let origin = no_origin();
    let refused = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_vec();
    let (discovery, say, calls) = discovery(vec![refused, watch_head(), watch_head()]);
    let node = Node::start_pushed(discovery, &listing(0, true, &[]));
    for _ in 0..3 {
        assert_eq!(calls.recv_timeout(LONG).unwrap(), "GET /v1/servers?watch=1 HTTP/1.1");
    }
    let mut client = node.client();
    assert!(client.ask(&command(&["PING"])).unwrap().starts_with('-'), "it knows no server yet");
    say.send(chunk(&pair(cache.address, origin.address))).unwrap();
    let ready = (0..100_000).any(|_| client.ask(&command(&["PING"])).unwrap() == "+PONG");
    assert!(ready);
    assert_eq!(client.ask(&get("aa", "1")).unwrap(), "aa");
}

#[test]
fn a_server_that_moved_is_found_at_its_new_address() {
    let (old, new) = (cache(|_| Act::Say(hit("old"))), cache(|_| Act::Say(hit("new"))));
    let origin = no_origin();
    let (discovery, say, _calls) = quiet();
    let node = Node::start(discovery, &pair(old.address, origin.address));
    let mut client = node.client();
    assert_eq!(client.ask(&get("aa", "1")).unwrap(), "old");
    let change = listing(6, false, &[entry("s-1", new.address, "std", "active")]);
    say.send(chunk(&change)).unwrap();
    let moved = (0..100_000).any(|_| client.ask(&get("aa", "2")).unwrap() == "new");
    assert!(moved);
    assert_eq!(client.ask(&get("aa", "3")).unwrap(), "new", "no connection to the old one is used again");
}
