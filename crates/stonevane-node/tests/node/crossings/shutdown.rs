//! SIGTERM crosses requests that are unread or in flight.

use super::*;

#[test]
fn what_stands_in_sockets_unread_at_sigterm_is_answered() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let mut node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut known = node.client();
    assert_eq!(known.ask(&get("aa", "1")).unwrap(), "aa");
    let mut half = node.client();
    let request = get("cc", "3");
    half.send(&request[..9]);
    // While it stands still: a request on a kept connection, one on a connection that is not taken yet, the rest of one
    // that had begun, and SIGTERM, twice.
    node.stop();
    known.send(&get("bb", "2"));
    half.send(&request[9..]);
    let mut new = node.client();
    new.send(&get("dd", "4"));
    node.terminate();
    node.kill("CONT");
    assert_eq!(known.answer().unwrap(), "bb");
    assert_eq!(half.answer().unwrap(), "cc");
    assert_eq!(new.answer().unwrap(), "dd");
    assert_eq!(known.answer(), None, "and closed");
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn servers_that_hang_at_sigterm_keep_no_answer_back_and_more_signals_change_nothing() {
    let cache = cache(|words| if words[1] == "aa" { Act::Hang } else { Act::Say(hit(&words[1])) });
    let (origin, (discovery, _say, _calls)) = (no_origin(), quiet());
    let mut node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    client.send(&get("aa", "1"));
    cache.next();
    node.terminate();
    assert_eq!(node.client().ask(&get("bb", "2")).unwrap(), "bb", "it drains");
    node.terminate();
    node.kill("HUP");
    assert!(client.answer().unwrap().starts_with('-'), "told before the node ends");
    assert_eq!(client.answer(), None);
    assert_eq!(node.wait().code(), Some(0));
}
