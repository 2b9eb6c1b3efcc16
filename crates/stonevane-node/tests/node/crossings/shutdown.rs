//! SIGTERM races with requests that are unread or in flight.

use super::*;

#[test]
fn requests_unread_in_sockets_at_sigterm_are_answered() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let mut node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut known = node.client();
    assert_eq!(known.request(&get("aa", "1")).unwrap(), "aa");
    let mut half = node.client();
    let request = get("cc", "3");
    half.send(&request[..9]);
    // Four events happen while the process is stopped: a request on a kept connection, the rest of a request
    // that was sent in part, a request on a connection that is not accepted yet, and SIGTERM.
    node.pause();
    known.send(&get("bb", "2"));
    half.send(&request[9..]);
    let mut new = node.client();
    new.send(&get("dd", "4"));
    node.terminate();
    node.send_signal("CONT");
    assert_eq!(known.read_response().unwrap(), "bb");
    assert_eq!(half.read_response().unwrap(), "cc");
    assert_eq!(new.read_response().unwrap(), "dd");
    assert_eq!(known.read_response(), None, "the connection is closed");
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn servers_that_hang_at_sigterm_delay_no_other_response_and_further_signals_change_nothing() {
    let cache = cache(|words| if words[1] == "aa" { Action::Hang } else { Action::Respond(hit(&words[1])) });
    let (origin, (discovery, _updates, _calls)) = (failing_origin(), quiet_discovery());
    let mut node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("aa", "1"));
    cache.next_request();
    node.terminate();
    assert_eq!(node.client().request(&get("bb", "2")).unwrap(), "bb", "the node drains and still serves");
    node.terminate();
    node.send_signal("HUP");
    assert!(client.read_response().unwrap().starts_with('-'), "an error is sent before the node exits");
    assert_eq!(client.read_response(), None);
    assert_eq!(node.wait().code(), Some(0));
}
