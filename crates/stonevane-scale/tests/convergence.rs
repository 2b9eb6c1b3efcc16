//! Time of convergence, computed from the workers' reports.
#![allow(missing_docs)]

use stonevane_scale::convergence::{Convergence, Reached};

fn reached(nodes: u32, changed: u64) -> Reached {
    Reached { nodes, changed }
}

#[test]
fn convergence_has_the_time_of_the_last_worker_in_any_order_of_the_reports() {
    let mut convergence = Convergence::new(vec![4, 3]);
    assert_eq!(convergence.at(), None);
    convergence.observe(1, reached(3, 900));
    convergence.observe(0, reached(3, 950));
    assert_eq!((convergence.at(), convergence.progress()), (None, (6, 7)));
    convergence.observe(0, reached(4, 700));
    assert_eq!(convergence.at(), Some(900));
}

#[test]
fn a_worker_that_leaves_the_state_undoes_the_convergence() {
    let mut convergence = Convergence::new(vec![2, 2]);
    convergence.observe(0, reached(2, 10));
    convergence.observe(1, reached(2, 20));
    assert_eq!(convergence.at(), Some(20));
    convergence.observe(0, reached(1, 30));
    assert_eq!(convergence.at(), None);
    convergence.observe(0, reached(2, 40));
    assert_eq!(convergence.at(), Some(40));
}

#[test]
fn workers_without_expected_nodes_do_not_affect_the_time() {
    let mut convergence = Convergence::new(vec![0, 2]);
    convergence.observe(0, reached(0, 999));
    convergence.observe(1, reached(2, 20));
    assert_eq!(convergence.at(), Some(20));
    convergence.observe(7, reached(1, 1));
    assert_eq!(convergence.at(), Some(20), "an unknown worker is ignored");
}
