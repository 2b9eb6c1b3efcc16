//! Limits on memory and file descriptors.
#![allow(missing_docs)]

use stonevane_scale::layout::Layout;
use stonevane_scale::limits::{Host, LimitError, MIB, MemoryCosts, check, check_used, memory_limit};

const HOST: Host = Host { memory_bytes: 1_000 * MIB, descriptors: 1_024, processors: 8 };
const COSTS: MemoryCosts = MemoryCosts { process_bytes: 10 * MIB, node_bytes: MIB, member_bytes: 1_024 };

#[test]
fn the_memory_limit_is_half_of_the_memory_or_a_smaller_requested_one() {
    assert_eq!(memory_limit(&HOST, None), Ok(500 * MIB));
    assert_eq!(memory_limit(&HOST, Some(MIB)), Ok(MIB));
    assert_eq!(memory_limit(&HOST, Some(500 * MIB)), Ok(500 * MIB));
    let (requested, max) = (500 * MIB + 1, 500 * MIB);
    assert_eq!(memory_limit(&HOST, Some(requested)), Err(LimitError::AboveHalf { requested, max }));
}

#[test]
fn the_estimate_counts_processes_nodes_and_the_members_that_each_node_tracks() {
    let flat = Layout::new(100, 10, 4, false).unwrap();
    assert_eq!(COSTS.estimate(&flat), 5 * 10 * MIB + 100 * (MIB + 100 * 1_024));
    let split = Layout::new(100, 10, 4, true).unwrap();
    assert_eq!(COSTS.estimate(&split), 5 * 10 * MIB + 100 * (MIB + 10 * 1_024));
}

#[test]
fn a_fleet_may_need_the_memory_limit_and_is_rejected_above_it() {
    let layout = Layout::new(100, 1, 4, false).unwrap();
    let needed = COSTS.estimate(&layout);
    assert_eq!(check(&layout, &COSTS, needed, 1_024), Ok(()));
    let error = check(&layout, &COSTS, needed - 1, 1_024);
    assert_eq!(error, Err(LimitError::MemoryNeeded { nodes: 100, needed, limit: needed - 1 }));
}

#[test]
fn a_fleet_is_rejected_if_a_worker_or_the_coordinator_needs_too_many_descriptors() {
    let free = MemoryCosts { process_bytes: 0, node_bytes: 0, member_bytes: 0 };
    let one = Layout::new(500, 1, 1, false).unwrap();
    let error = check(&one, &free, 0, 1_024).unwrap_err();
    assert!(matches!(error, LimitError::DescriptorsNeeded { process: "a worker", needed: 1_064, .. }));
    let several = Layout::new(500, 1, 4, false).unwrap();
    assert_eq!(check(&several, &free, 0, 1_024), Ok(()));
    let many = Layout::new(1_000, 1, 4, false).unwrap();
    let error = check(&many, &free, 0, 1_024).unwrap_err();
    assert!(matches!(error, LimitError::DescriptorsNeeded { process: "the coordinator", .. }), "{error}");
    assert_eq!(error.to_string().lines().count(), 1);
}

#[test]
fn the_used_memory_may_reach_the_limit_but_not_exceed_it() {
    assert_eq!(check_used(MIB, MIB), Ok(()));
    let error = check_used(MIB + 1, MIB).unwrap_err();
    assert_eq!(error, LimitError::MemoryUsed { used: MIB + 1, limit: MIB });
    assert_eq!(
        error.to_string(),
        "the run has taken 2 MiB of memory; the limit is 1 MiB: it was ended",
        "the used memory is rounded up, so that the text never shows it within the limit"
    );
}
