//! Tests that the subset is deterministic, balanced and stable: neither the order of the list nor a flapping
//! server changes it.
#![allow(missing_docs)]

use std::collections::HashMap;

use proptest::prelude::*;
use stonevane_subset::{Membership, Region, RegionSelector, Server};

/// Returns the region `r<number>` with the zones `r<number>-a` and `r<number>-b`.
fn region(number: usize) -> Region {
    Region { name: format!("r{number}"), zones: vec![format!("r{number}-a"), format!("r{number}-b")] }
}

fn selector(regions: usize, least: usize, node: u32) -> RegionSelector {
    RegionSelector::new(region(0), (1..regions).map(region).collect(), least, node)
}

/// Returns the zones of usable servers, for the given number of servers in each region.
fn zones(usable: &[usize]) -> Vec<String> {
    let zone = |region, server| format!("r{region}-{}", ["a", "b"][server % 2]);
    let of_region = |(region, count): (usize, &usize)| (0..*count).map(move |server| zone(region, server));
    usable.iter().enumerate().flat_map(of_region).collect()
}

fn update(selector: &mut RegionSelector, usable: &[usize]) -> bool {
    let zones = zones(usable);
    selector.update(zones.iter().map(|zone| Server { zone, usable: true, warm: true }))
}

fn in_use(selector: &RegionSelector) -> Vec<String> {
    selector.regions_in_use().map(|region| region.name.to_owned()).collect()
}

#[test]
fn a_node_uses_its_region_alone_while_enough_servers_are_usable_there() {
    let mut selector = selector(3, 2, 0);
    assert!(!update(&mut selector, &[3, 3, 3]));
    assert_eq!(in_use(&selector), ["r0"]);
    assert_eq!(selector.membership("r0-a"), Membership::Home);
    assert_eq!(selector.membership("r0-b"), Membership::Home);
    for zone in ["r1-a", "r2-b", "nowhere", ""] {
        assert_eq!(selector.membership(zone), Membership::Outside, "{zone}");
    }
}

#[test]
fn a_further_region_is_used_only_while_those_before_it_have_too_few_servers() {
    let mut selector = selector(4, 3, 7);
    assert!(update(&mut selector, &[2, 2, 2, 2]));
    assert_eq!(selector.regions_in_use().count(), 2, "two and two are enough");
    let second = in_use(&selector)[1].clone();
    assert_eq!(selector.membership(&format!("{second}-a")), Membership::Fallback);
    assert_eq!(
        selector.membership("r0-a"),
        Membership::Home,
        "the remaining server of the own region is still used"
    );
    update(&mut selector, &[0, 1, 1, 1]);
    assert_eq!(
        selector.regions_in_use().count(),
        4,
        "one server in each: all three other regions are needed"
    );
    update(&mut selector, &[4, 4, 4, 4]);
    assert_eq!(in_use(&selector), ["r0"]);
}

#[test]
fn servers_that_are_not_usable_do_not_count() {
    let mut selector = selector(2, 1, 0);
    let draining = Server { zone: "r0-a", usable: false, warm: true };
    let active = Server { zone: "r1-a", usable: true, warm: true };
    assert!(selector.update([draining, active]));
    assert_eq!(in_use(&selector), ["r0", "r1"]);
}

#[test]
fn a_server_outside_all_regions_is_used_only_when_no_region_has_a_usable_server() {
    let mut selector = selector(2, 1, 0);
    let outside_regions = Server { zone: "z", usable: true, warm: true };
    let in_region = Server { zone: "r1-b", usable: true, warm: true };
    selector.update([outside_regions, in_region]);
    assert_eq!(selector.membership("z"), Membership::Outside);
    assert!(selector.update([outside_regions]));
    assert_eq!(selector.membership("z"), Membership::LastResort);
    assert!(selector.update([outside_regions, in_region]));
    assert_eq!(selector.membership("z"), Membership::Outside);
    // The selector does not become a last resort if the only server is outside all regions and draining.
    selector.update([Server { usable: false, ..outside_regions }]);
    assert!(!selector.last_resort());
}

#[test]
fn a_list_without_servers_changes_nothing() {
    let mut selector = selector(3, 2, 0);
    assert!(!update(&mut selector, &[0, 0, 0]));
    assert_eq!(in_use(&selector), ["r0"]);
}

#[test]
fn a_server_that_flaps_at_the_minimum_does_not_move_the_node_each_time() {
    let mut selector = selector(2, 4, 0);
    update(&mut selector, &[10, 10]);
    assert!(update(&mut selector, &[3, 10]), "too few servers: the fallback begins at once");
    let changes = (0..20).filter(|n| update(&mut selector, &[3 + n % 2, 10])).count();
    assert_eq!(changes, 0, "alternating three and four servers");
    assert!(!update(&mut selector, &[5, 10]));
    assert!(update(&mut selector, &[6, 10]), "the minimum, one, and a quarter of the minimum");
    assert_eq!(in_use(&selector), ["r0"]);
}

#[test]
fn a_region_that_never_had_more_than_the_minimum_is_returned_to_at_the_minimum() {
    let mut selector = selector(2, 2, 0);
    update(&mut selector, &[2, 5]);
    assert!(update(&mut selector, &[1, 5]));
    assert!(update(&mut selector, &[2, 5]));
    assert_eq!(in_use(&selector), ["r0"]);
}

#[test]
fn servers_in_slow_start_count_for_staying_in_a_region_but_not_for_returning_to_it() {
    let mut selector = selector(2, 2, 0);
    let server = |zone, warm| Server { zone, usable: true, warm };
    let (cold, warm, fallback) = (server("r0-a", false), server("r0-b", true), server("r1-a", true));
    let all_cold = [[cold; 6].as_slice(), &[fallback; 6]].concat();
    assert!(!selector.update(all_cold.clone()), "no fallback while all servers are in slow start");
    assert!(selector.update([fallback; 6]));
    assert!(!selector.update(all_cold), "no return while all servers of the region are in slow start");
    let some_warm = [[cold; 4].as_slice(), &[warm; 3], &[fallback; 6]].concat();
    assert!(!selector.update(some_warm), "fewer than half of the servers are warm");
    let half_warm = [[cold; 3].as_slice(), &[warm; 3], &[fallback; 6]].concat();
    assert!(selector.update(half_warm));
    assert_eq!(in_use(&selector), ["r0"]);
}

#[test]
fn a_node_that_starts_with_a_healthy_list_does_not_begin_with_a_fallback() {
    let mut selector = selector(2, 2, 0);
    update(&mut selector, &[0, 0]);
    assert!(!update(&mut selector, &[2, 2]));
    assert_eq!(in_use(&selector), ["r0"]);
}

#[test]
fn nodes_of_a_lost_region_spread_over_all_others() {
    let (regions, nodes) = (28, 643);
    // The spread must not depend on the range of node numbers in the region.
    for first in [0, 643, 17_357] {
        let mut nodes_by_fallback: HashMap<String, usize> = HashMap::new();
        for node in first..first + nodes {
            let selector = selector(regions, 2, node);
            *nodes_by_fallback.entry(selector.order().nth(1).unwrap().to_owned()).or_default() += 1;
        }
        let mean = f64::from(nodes) / (regions - 1) as f64;
        let most = *nodes_by_fallback.values().max().unwrap();
        assert_eq!(nodes_by_fallback.len(), regions - 1, "every other region takes some nodes");
        assert!((most as f64) < 2.0 * mean, "{most} nodes on one region, {mean:.1} on average");
    }
}

#[test]
fn an_additional_region_changes_few_fallbacks() {
    let first = |regions, node| selector(regions, 2, node).order().nth(1).unwrap().to_owned();
    let moved = (0..643).filter(|node| first(28, *node) != first(29, *node)).count();
    assert!(moved < 2 * 643 / 28, "{moved} of 643 nodes changed their fallback, expected one in 28");
}

fn usable_counts() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(0..6usize, 5)
}

proptest! {
    #[test]
    fn the_order_of_the_list_and_of_the_file_has_no_effect(
        lists in prop::collection::vec(usable_counts(), 1..8),
        least in 1..8usize,
        node in 0..1000u32,
        seed in any::<u64>(),
    ) {
        let mut ordered = selector(5, least, node);
        let mut reversed = RegionSelector::new(region(0), (1..5).rev().map(region).collect(), least, node);
        prop_assert_eq!(ordered.order().collect::<Vec<_>>(), reversed.order().collect::<Vec<_>>());
        for usable in lists {
            let mut zones = zones(&usable);
            let ordered_changed =
                ordered.update(zones.iter().map(|zone| Server { zone, usable: true, warm: true }));
            let length = zones.len().max(1);
            zones.rotate_left(seed as usize % length);
            zones.reverse();
            let reversed_changed =
                reversed.update(zones.iter().map(|zone| Server { zone, usable: true, warm: true }));
            prop_assert_eq!(ordered_changed, reversed_changed);
            prop_assert_eq!(in_use(&ordered), in_use(&reversed));
        }
    }

    #[test]
    fn the_subset_always_has_the_minimum_of_usable_servers_or_all_of_them(
        lists in prop::collection::vec(usable_counts(), 1..12),
        least in 1..12usize,
        node in 0..1000u32,
    ) {
        let mut selector = selector(5, least, node);
        for usable in lists {
            update(&mut selector, &usable);
            let all: usize = usable.iter().sum();
            let used: usize = selector.regions_in_use().map(|region| region.usable).sum();
            if all > 0 {
                prop_assert!(used >= least.min(all), "{used} of {all} usable servers, the minimum is {least}");
            }
        }
    }

    #[test]
    fn more_usable_servers_never_mean_more_regions(
        before in prop::collection::vec(usable_counts(), 0..6),
        usable in usable_counts(),
        region in 0..5usize,
        least in 1..12usize,
        node in 0..1000u32,
    ) {
        let mut fewer = selector(5, least, node);
        for usable in &before {
            update(&mut fewer, usable);
        }
        // Both selectors get the same updates up to here, because the peak number of servers in each region
        // is part of a selector's state.
        update(&mut fewer, &[6; 5]);
        let mut more = fewer.clone();
        let mut one_more = usable.clone();
        one_more[region] += 1;
        update(&mut fewer, &usable);
        update(&mut more, &one_more);
        if usable.iter().sum::<usize>() > 0 {
            prop_assert!(in_use(&more).len() <= in_use(&fewer).len());
        }
    }

    #[test]
    fn the_same_list_twice_changes_nothing(
        lists in prop::collection::vec(usable_counts(), 1..8),
        least in 1..8usize,
        node in 0..1000u32,
    ) {
        let mut selector = selector(5, least, node);
        for usable in lists {
            update(&mut selector, &usable);
            let before = in_use(&selector);
            prop_assert!(!update(&mut selector, &usable), "{before:?}");
        }
    }
}
