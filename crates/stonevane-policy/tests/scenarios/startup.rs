//! Start-up limit of a node that has just started.

use stonevane_policy::*;

use crate::common::*;

#[test]
fn a_starting_node_limits_hedged_requests_and_spreads_the_retries_of_rejected_clients() {
    // Guards against hedged requests of nodes that start together, which double the load on the cache
    // servers.
    let starting = Settings { nodes: 64, may_duplicate: true, max_retry_after: SECOND, ..settings() };
    let mut node = Node::just_started(starting, 12);
    (1..=12).for_each(|id| drop(node.request(read(id, id))));
    let sent = send_count(&node.actions);
    assert!((1..=2).contains(&sent), "{sent} sent: the node's share of 8 at each of 12 servers is 1.5");
    let retry_afters = node.actions.iter().filter_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    let retry_afters: Vec<_> = retry_afters.collect();
    assert_eq!(retry_afters.len(), 12 - sent, "not all other requests were rejected at once");
    let (shortest, longest) = (retry_afters.iter().min().unwrap(), retry_afters.iter().max().unwrap());
    assert!(*longest < 750 * MS && longest - shortest > 200 * MS, "{retry_afters:?}");
    node.advance(400 * MS);
    assert!(send_count(&node.actions) <= 3, "hedged requests count against the limit, now 1.4 times 2.5");
    // Writes are not limited, because only the origin can serve them.
    assert_eq!(sent_to(&node.request(write(50, 1))), Some(ORIGIN));
    let mut idle = Node::new(Settings { nodes: 64, ..settings() }, 12);
    let sent = (1..=12).filter(|id| sent_to(&idle.request(read(*id, *id))).is_some()).count();
    assert_eq!(sent, 12, "a node that was idle for long has no start-up limit");
}
