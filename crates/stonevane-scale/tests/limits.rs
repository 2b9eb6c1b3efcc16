//! Memory and descriptors.
#![allow(missing_docs)]

use stonevane_scale::layout::Layout;
use stonevane_scale::limits::{Host, LimitError, MIB, MemoryCosts, check, check_used, memory_limit};

const HOST: Host = Host { memory: 1_000 * MIB, descriptors: 1_024, processors: 8 };
const COSTS: MemoryCosts = MemoryCosts { process: 10 * MIB, node: MIB, member: 1_024 };

#[test]
fn a_run_has_half_of_the_memory_or_the_less_that_is_asked_for() {
    assert_eq!(memory_limit(&HOST, None), Ok(500 * MIB));
    assert_eq!(memory_limit(&HOST, Some(MIB)), Ok(MIB));
    assert_eq!(memory_limit(&HOST, Some(500 * MIB)), Ok(500 * MIB));
    let (asked, most) = (500 * MIB + 1, 500 * MIB);
    assert_eq!(memory_limit(&HOST, Some(asked)), Err(LimitError::AboveHalf { requested: asked, most }));
}

#[test]
fn the_need_counts_processes_nodes_and_what_each_holds_of_its_domain() {
    let flat = Layout::new(100, 10, 4, false).unwrap();
    assert_eq!(COSTS.of(&flat), 5 * 10 * MIB + 100 * (MIB + 100 * 1_024));
    let split = Layout::new(100, 10, 4, true).unwrap();
    assert_eq!(COSTS.of(&split), 5 * 10 * MIB + 100 * (MIB + 10 * 1_024));
}

#[test]
fn a_fleet_just_fits_or_is_refused_for_memory() {
    let layout = Layout::new(100, 1, 4, false).unwrap();
    let needed = COSTS.of(&layout);
    assert_eq!(check(&layout, &COSTS, needed, 1_024), Ok(()));
    let refused = check(&layout, &COSTS, needed - 1, 1_024);
    assert_eq!(refused, Err(LimitError::MemoryNeeded { nodes: 100, needed, limit: needed - 1 }));
}

#[test]
fn a_fleet_is_refused_for_descriptors_of_a_worker_or_of_the_coordinator() {
    let free = MemoryCosts { process: 0, node: 0, member: 0 };
    let one = Layout::new(500, 1, 1, false).unwrap();
    let refused = check(&one, &free, 0, 1_024).unwrap_err();
    assert!(matches!(refused, LimitError::DescriptorsNeeded { process: "a worker", needed: 1_064, .. }));
    let several = Layout::new(500, 1, 4, false).unwrap();
    assert_eq!(check(&several, &free, 0, 1_024), Ok(()));
    let many = Layout::new(1_000, 1, 4, false).unwrap();
    let refused = check(&many, &free, 0, 1_024).unwrap_err();
    assert!(matches!(refused, LimitError::DescriptorsNeeded { process: "the coordinator", .. }), "{refused}");
    assert_eq!(refused.to_string().lines().count(), 1);
}

#[test]
fn what_is_used_may_be_the_limit_and_no_more() {
    assert_eq!(check_used(MIB, MIB), Ok(()));
    let refused = check_used(MIB + 1, MIB).unwrap_err();
    assert_eq!(refused, LimitError::MemoryUsed { used: MIB + 1, limit: MIB });
    assert_eq!(
        refused.to_string(),
        "the run has taken 2 MiB of memory; the limit is 1 MiB: it was ended",
        "rounded up, so that it is never said to be within"
    );
}
