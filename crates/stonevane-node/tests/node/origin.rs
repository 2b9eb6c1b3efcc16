//! An answer of the origin that took the time of its connection's handshake holds no further fetch back.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::harness::*;
use crate::{pair, quiet};

/// Without it, one of 300 nodes may hardly send anything at its start.
const NO_RAMP: &str = "version = 1\n[start]\nramp = false\n";
/// How late the first answer on a connection is: later than the origin may answer without being held to be slow (0.8 of the
/// shorter aim, 2 s), and earlier than the longer one, 8 s.
const HANDSHAKE: Duration = Duration::from_millis(1_800);
/// Longer than an idle connection to the origin is kept.
const IDLE: Duration = Duration::from_millis(600);

/// One node of many: after one slow answer of the origin its next fetch would wait for over 7 s.
fn one_of_many() -> String {
    settings()
        .replace(r#""name":"read","goalTimeUs":250000"#, r#""name":"read","goalTimeUs":8000000"#)
        .replace(r#""name":"put","goalTimeUs":250000"#, r#""name":"put","goalTimeUs":2000000"#)
        .replace(r#""balancers":1"#, r#""balancers":300"#)
}

/// An origin that holds the first answer on each connection back while it is told to.
fn slow_to_shake_hands(holds: &Arc<AtomicBool>, latch: &Latch) -> EmulatedServer {
    let (holds, latch, mut carried) = (holds.clone(), latch.clone(), 0);
    origin(move |_| {
        carried += 1;
        match carried == 1 && holds.load(Ordering::SeqCst) {
            true => Act::SayWhen(latch.clone(), http(200, "", "late")),
            false => Act::Say(http(200, "", "quick")),
        }
    })
}

/// Fetches one after another until one has gone over a connection that had carried another.
fn warm_up(client: &mut Client, origin: &EmulatedServer) {
    let mut connections = HashSet::new();
    let kept = (0..1_000).any(|key| {
        assert_eq!(client.ask(&get(&format!("a{key:x}"), &format!("w{key}"))).unwrap(), "quick");
        !connections.insert(origin.next().conn)
    });
    assert!(kept, "no connection was used twice");
}

/// Whether a fetch goes at once after one that was held for as long as a handshake takes.
fn fetches_after_a_handshake(warm: bool) -> bool {
    let cache = cache(|_| Act::Say(miss()));
    let (holds, latch) = (Arc::new(AtomicBool::new(!warm)), Latch::default());
    let origin = slow_to_shake_hands(&holds, &latch);
    let (discovery, _say, _calls) = quiet();
    let known = pair(cache.address, origin.address);
    let node = Node::start_with_operator(discovery, &known, &one_of_many(), NO_RAMP);
    let mut client = node.client();
    if warm {
        warm_up(&mut client, &origin);
        std::thread::sleep(IDLE);
        holds.store(true, Ordering::SeqCst);
    }
    client.send(&get("bb", "h"));
    origin.next();
    std::thread::sleep(HANDSHAKE);
    holds.store(false, Ordering::SeqCst);
    latch.open();
    assert_eq!(client.answer().unwrap(), "late");
    let next = command(&["OBJ.GET", "cc", "n", "c=read,t=acme,d=4000"]);
    match client.ask(&next).unwrap().as_str() {
        "quick" => true,
        refused if refused.starts_with("-BUSY") => false,
        other => panic!("{other}"),
    }
}

#[test]
fn a_first_answer_that_is_late_by_its_handshake_holds_no_fetch_back() {
    assert!(fetches_after_a_handshake(true));
}

#[test]
fn a_late_first_answer_holds_fetches_back_where_no_kept_connection_has_told_how_quick_the_origin_is() {
    assert!(!fetches_after_a_handshake(false));
}
