//! The start-up limit of a new process.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_process_that_starts_limits_hedging_too_and_spreads_the_retries_of_rejected_clients() {
    // Guards against hedged requests of nodes that start together, which double the load on the caches.
    let config = Settings { nodes: 64, may_duplicate: true, max_retry_after: SECOND, ..settings() };
    let mut node = Node::just_started(config, 12);
    (1..=12).for_each(|id| drop(node.request(read(id, id))));
    let out = sends(&node.actions);
    assert!((1..=2).contains(&out), "{out} out: its part of 8 at each of 12 is one and a half");
    let hints = node.actions.iter().filter_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    let hints: Vec<_> = hints.collect();
    assert_eq!(hints.len(), 12 - out, "each of the others is answered at once");
    let (least, most) = (hints.iter().min().unwrap(), hints.iter().max().unwrap());
    assert!(*most < 750 * MS && most - least > 200 * MS, "{hints:?}");
    node.pass(400 * MS);
    assert!(
        sends(&node.actions) <= 3,
        "a copy takes a place like any other: two and a half, times 1.4 by now"
    );
    // Writes can be served nowhere else, and are not limited.
    assert_eq!(sent_to(&node.request(write(50, 1))), Some(ORIGIN));
    let mut idle = Node::new(Settings { nodes: 64, ..settings() }, 12);
    let sent = (1..=12).filter(|id| sent_to(&idle.request(read(*id, *id))).is_some()).count();
    assert_eq!(sent, 12, "one that was idle for long is held to nothing");
}
