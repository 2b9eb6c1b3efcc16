//! Connections to servers: retries after a broken connection, idle connections, and late responses.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::Duration;

use crate::harness::*;
use crate::{cache_and_origin, failing_origin, quiet_discovery};

#[test]
fn an_unsafe_write_whose_connection_breaks_after_its_last_byte_fails_and_is_not_sent_again() {
    let cache = cache(|_| Action::Respond(miss()));
    let origin = origin(|words| match words[0].contains("/aa ") {
        true => Action::Close,
        false => Action::Respond(http_response(200, "", "ok")),
    });
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    assert_eq!(client.request(&put("aa", "1", "v")).unwrap(), "-ERR failed");
    assert_eq!(client.request(&put("bb", "2", "v")).unwrap(), "ok");
    assert!(origin.next_request().words[0].contains("/aa "));
    assert!(origin.next_request().words[0].contains("/bb "), "the first write was not sent again");
}

#[test]
fn an_unsafe_write_that_the_origin_reports_as_not_run_is_retried() {
    let cache = cache(|_| Action::Respond(miss()));
    let tries = Arc::new(Mutex::new(0));
    let origin = origin(move |_| {
        let mut tries = tries.lock().unwrap();
        *tries += 1;
        match *tries {
            1 => Action::Respond(http_response(503, "X-Unprocessed: 1\r\n", "")),
            2 => Action::RespondAndClose(b"HTTP/1.1 504 X\r\nX-Unprocessed: 1\r\n\r\n".to_vec()),
            3 => Action::Respond(http_response(200, "", "ok")),
            _ => Action::Respond(http_response(503, "", "")),
        }
    });
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    assert_eq!(
        client.request(&put("aa", "1", "v")).unwrap(),
        "ok",
        "a body without a length ends with the connection"
    );
    assert_eq!(
        client.request(&put("aa", "2", "v")).unwrap(),
        "-ERR failed",
        "without the header it may have run"
    );
}

#[test]
fn a_kept_connection_that_the_server_has_closed_fails_no_request() {
    let cache = cache(|_| Action::Respond(miss()));
    let origin = origin(|_| Action::RespondAndClose(http_response(200, "", "ok")));
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    for id in 0..5 {
        assert_eq!(client.request(&put("aa", &id.to_string(), "v")).unwrap(), "ok");
        origin.wait_for_closed_connection();
    }
}

#[test]
fn a_late_response_reaches_no_other_request() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(Some(released)));
    let cache = cache(move |words| match released.lock().unwrap().take() {
        Some(released) => Action::RespondAfter(released, hit("late")),
        None => Action::Respond(hit(&words[1])),
    });
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    let short = command(&["OBJ.GET", "aa", "1", "c=read,t=acme,d=300"]);
    assert!(client.request(&short).unwrap().starts_with('-'), "its time is up, and it gets an error");
    release.send(()).unwrap();
    assert_eq!(client.request(&get("bb", "2")).unwrap(), "bb");
    assert_ne!(
        cache.next_request().conn,
        cache.next_request().conn,
        "the connection of the abandoned attempt is not used again"
    );
}

#[test]
fn kept_connections_to_a_vanished_machine_fail_at_most_one_request() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(Some(released)));
    let vanished = Arc::new(AtomicBool::new(false));
    let mut used = false; // Each connection has its own copy.
    let (gone, at_cache) = (vanished.clone(), released.clone());
    let cache = cache(move |words| {
        if used && gone.load(Ordering::SeqCst) {
            return Action::Hang;
        }
        used = true;
        match words[1].as_str() {
            "ee" => Action::RespondAfter(at_cache.lock().unwrap().take().unwrap(), hit("slow")),
            key => Action::Respond(hit(key)),
        }
    });
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("ee", "1"));
    cache.next_request();
    assert_eq!(node.client().request(&get("aa", "2")).unwrap(), "aa", "on a second connection");
    release.send(()).unwrap();
    assert_eq!(client.read_response().unwrap(), "slow");
    // A connection that has just carried a response is not reused for a short while.
    std::thread::sleep(Duration::from_millis(100));
    vanished.store(true, Ordering::SeqCst);
    let short = command(&["OBJ.GET", "aa", "3", "c=read,t=acme,d=400"]);
    assert!(client.request(&short).unwrap().starts_with('-'));
    assert_eq!(client.request(&get("bb", "4")).unwrap(), "bb", "on a fresh connection");
}
