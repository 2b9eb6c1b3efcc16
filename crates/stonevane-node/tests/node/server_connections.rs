//! Connections to servers: retries after a broken one, idle ones, and late responses.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::Duration;

use crate::harness::*;
use crate::{no_origin, pair, quiet};

#[test]
fn an_unsafe_write_whose_connection_breaks_after_its_last_byte_fails_and_is_not_sent_again() {
    let cache = cache(|_| Act::Say(miss()));
    let origin = origin(|words| match words[0].contains("/aa ") {
        true => Act::Close,
        false => Act::Say(http(200, "", "ok")),
    });
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    assert_eq!(client.ask(&put("aa", "1", "v")).unwrap(), "-ERR failed");
    assert_eq!(client.ask(&put("bb", "2", "v")).unwrap(), "ok");
    assert!(origin.next().words[0].contains("/aa "));
    assert!(origin.next().words[0].contains("/bb "), "the first was not sent again");
}

#[test]
fn an_unsafe_write_that_the_origin_says_it_never_ran_goes_again() {
    let cache = cache(|_| Act::Say(miss()));
    let tries = Arc::new(Mutex::new(0));
    let origin = origin(move |_| {
        let mut tries = tries.lock().unwrap();
        *tries += 1;
        match *tries {
            1 => Act::Say(http(503, "X-Unprocessed: 1\r\n", "")),
            2 => Act::SayAndClose(b"HTTP/1.1 504 X\r\nX-Unprocessed: 1\r\n\r\n".to_vec()),
            3 => Act::Say(http(200, "", "ok")),
            _ => Act::Say(http(503, "", "")),
        }
    });
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    assert_eq!(client.ask(&put("aa", "1", "v")).unwrap(), "ok", "a body without a stated length ends there");
    assert_eq!(
        client.ask(&put("aa", "2", "v")).unwrap(),
        "-ERR failed",
        "without the header it may have run"
    );
}

#[test]
fn a_kept_connection_that_the_server_has_ended_costs_no_request() {
    let cache = cache(|_| Act::Say(miss()));
    let origin = origin(|_| Act::SayAndClose(http(200, "", "ok")));
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    for id in 0..5 {
        assert_eq!(client.ask(&put("aa", &id.to_string(), "v")).unwrap(), "ok");
        origin.ended();
    }
}

#[test]
fn a_late_answer_reaches_no_other_request() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(Some(wait)));
    let cache = cache(move |words| match wait.lock().unwrap().take() {
        Some(wait) => Act::SayAfter(wait, hit("late")),
        None => Act::Say(hit(&words[1])),
    });
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    let short = command(&["OBJ.GET", "aa", "1", "c=read,t=acme,d=300"]);
    assert!(client.ask(&short).unwrap().starts_with('-'), "its time is up, and it has its answer");
    go.send(()).unwrap();
    assert_eq!(client.ask(&get("bb", "2")).unwrap(), "bb");
    assert_ne!(cache.next().conn, cache.next().conn, "the connection of what was given up is not used again");
}

#[test]
fn kept_connections_to_a_machine_that_vanished_cost_one_request_and_no_more() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(Some(wait)));
    let vanished = Arc::new(AtomicBool::new(false));
    let mut old = false; // Of each connection its own.
    let (gone, at_cache) = (vanished.clone(), wait.clone());
    let cache = cache(move |words| {
        if old && gone.load(Ordering::SeqCst) {
            return Act::Hang;
        }
        old = true;
        match words[1].as_str() {
            "ee" => Act::SayAfter(at_cache.lock().unwrap().take().unwrap(), hit("slow")),
            key => Act::Say(hit(key)),
        }
    });
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("ee", "1"));
    cache.next();
    assert_eq!(node.client().ask(&get("aa", "2")).unwrap(), "aa", "on a second connection");
    go.send(()).unwrap();
    assert_eq!(client.answer().unwrap(), "slow");
    // A connection that has just answered rests before it is used again.
    std::thread::sleep(Duration::from_millis(100));
    vanished.store(true, Ordering::SeqCst);
    let short = command(&["OBJ.GET", "aa", "3", "c=read,t=acme,d=400"]);
    assert!(client.ask(&short).unwrap().starts_with('-'));
    assert_eq!(client.ask(&get("bb", "4")).unwrap(), "bb", "on a fresh connection");
}
