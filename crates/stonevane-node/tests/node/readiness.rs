//! When a process that has just started takes clients: what it knows is enough, and else the first list that comes.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::{no_origin, pair};

fn ping(node: &Node) -> String {
    node.client().ask(&command(&["PING"])).unwrap()
}

/// Discovery that takes calls and answers none; where it resets them, at once.
fn down(resets: bool) -> std::net::SocketAddr {
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
fn a_process_that_knows_an_old_list_is_ready_at_once_while_discovery_is_down() {
    let (cache, origin) = (cache(|_| Act::Say(hit("value"))), no_origin());
    let known = pair(cache.address, origin.address);
    for resets in [false, true] {
        for pushed in [false, true] {
            let discovery = down(resets);
            let node = match pushed {
                true => Node::start_pushed(discovery, &known),
                false => Node::start(discovery, &known),
            };
            assert_eq!(ping(&node), "+PONG", "the first answer; resets: {resets}, pushed: {pushed}");
            assert_eq!(node.client().ask(&get("aa", "1")).unwrap(), "value");
        }
    }
}

#[test]
fn a_process_that_knows_no_list_is_ready_soon_after_discovery_is_back_however_seldom_it_is_to_be_asked() {
    let (cache, origin) = (cache(|_| Act::Say(hit("value"))), no_origin());
    // Half a minute at the least, if it were asked again after a part of that.
    let settings = settings().replace(r#""askWithinUs":1000000"#, r#""askWithinUs":1000000000"#);
    let list = chunk(&pair(cache.address, origin.address));
    // Three calls are turned away.
    let busy = || http(503, "", "");
    let (discovery, _say, calls) = discovery(vec![busy(), busy(), busy(), [watch_head(), list].concat()]);
    let node = Node::start_in(discovery, &listing(0, true, &[]), 256, "", &settings);
    assert!(ping(&node).starts_with("-LOADING"), "it can serve nothing yet");
    (0..4).for_each(|_| drop(calls.recv_timeout(LONG).expect("a call to discovery")));
    let end = Instant::now() + LONG;
    while ping(&node) != "+PONG" {
        assert!(Instant::now() < end, "it has its list");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(node.client().ask(&get("aa", "1")).unwrap(), "value");
}
