//! Node numbers of workers, regions and membership domains, and the layouts that are rejected.
#![allow(missing_docs)]

use stonevane_scale::layout::{Layout, LayoutError, MAX_MEMBERS, default_workers};

#[test]
fn blocks_cover_all_numbers_once_and_differ_in_length_by_one_at_most() {
    for (nodes, regions, workers) in [(2, 1, 1), (7, 3, 2), (16, 16, 5), (300, 7, 8), (18_000, 100, 200)] {
        let layout = Layout::new(nodes, regions, workers, false).unwrap();
        let mut next = 0;
        for worker in 0..workers {
            let block = layout.worker_nodes(worker);
            assert_eq!(block.start, next);
            assert!((nodes / workers..=nodes.div_ceil(workers)).contains(&(block.len() as u32)));
            assert!(block.clone().all(|number| layout.worker_of(number) == worker));
            next = block.end;
        }
        assert_eq!(next, nodes);
        for number in 0..nodes {
            assert!(layout.region_nodes(layout.region_of(number)).contains(&number));
        }
    }
}

#[test]
fn regions_divide_the_membership_only_if_each_is_a_domain() {
    let flat = Layout::new(12, 3, 2, false).unwrap();
    assert_eq!((flat.domain_of(5), flat.largest_domain()), (0..12, 12));
    let split = Layout::new(13, 3, 2, true).unwrap();
    assert_eq!((split.domain_of(5), split.largest_domain()), (4..8, 5));
}

#[test]
fn survivors_are_the_other_nodes_of_the_victims_domain() {
    let flat = Layout::new(10, 1, 2, false).unwrap();
    assert_eq!([flat.survivors(0, 3), flat.survivors(1, 3)], [4, 5]);
    let split = Layout::new(12, 3, 2, true).unwrap();
    assert_eq!([split.survivors(0, 5), split.survivors(1, 5)], [1, 2]);
    assert_eq!([split.survivors(0, 0), split.survivors(1, 0)], [3, 0]);
}

#[test]
fn an_impossible_layout_is_rejected_with_a_one_line_error() {
    let cases = [
        (Layout::new(0, 1, 1, false), LayoutError::NoNodes),
        (Layout::new(4, 0, 1, false), LayoutError::NoRegions),
        (Layout::new(4, 5, 1, false), LayoutError::EmptyRegions { regions: 5, nodes: 4 }),
        (Layout::new(4, 1, 0, false), LayoutError::WorkerCount { workers: 0, max: 4 }),
        (Layout::new(4, 1, 5, false), LayoutError::WorkerCount { workers: 5, max: 4 }),
        (Layout::new(900, 1, 201, false), LayoutError::WorkerCount { workers: 201, max: 200 }),
        (Layout::new(65_536, 1, 8, false), LayoutError::TooManyMembers { members: 65_536 }),
        (Layout::new(1, 1, 1, false), LayoutError::SingleMember),
        (Layout::new(5, 3, 1, true), LayoutError::SingleMember),
    ];
    for (result, expected) in cases {
        assert_eq!(result, Err(expected));
        assert_eq!(expected.to_string().lines().count(), 1);
    }
    assert!(Layout::new(MAX_MEMBERS, 1, 1, false).is_ok());
    assert!(Layout::new(MAX_MEMBERS * 2, 2, 1, true).is_ok());
    assert!(Layout::new(5, 3, 1, false).is_ok(), "the only domain has at least two nodes");
}

#[test]
fn default_workers_are_one_per_64_nodes_and_at_most_one_per_processor() {
    assert_eq!([1, 64, 65, 300, 100_000].map(|nodes| default_workers(nodes, 8)), [1, 1, 2, 5, 8]);
    assert_eq!(default_workers(100_000, 0), 1);
    assert_eq!(default_workers(100_000, 10_000), 200);
}
