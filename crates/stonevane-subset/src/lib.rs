//! The endpoint subset of a node: the cache servers of its own region, and of other regions while too few are usable.
//!
//! A [`RegionSelector`] takes every listed cache server, and answers whether a server in a given zone is in the node's
//! subset. It has no I/O and no clock, and its answer depends on the servers alone, not on their order.
//!
//! ```
//! use stonevane_subset::{Membership, Region, RegionSelector, Server};
//!
//! let region = |name: &str, zone: &str| Region { name: name.into(), zones: vec![zone.into()] };
//! let mut selector = RegionSelector::new(region("south", "a"), vec![region("north", "b")], 2, 0);
//! let server = |zone| Server { zone, usable: true, warm: true };
//! selector.update([server("a"), server("a"), server("b")]);
//! assert_eq!(selector.membership("b"), Membership::Outside);
//! selector.update([server("a"), server("b")]);
//! assert_eq!(selector.membership("b"), Membership::Fallback);
//! ```

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A fallback ends when the usable servers exceed the least by one and by this part of the least.
const RETURN_MARGIN_DIVISOR: usize = 4;

/// A region and its zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Region {
    /// Its name.
    pub name: String,
    /// Names of its zones.
    pub zones: Vec<String>,
}

/// A cache server of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server<'a> {
    /// Name of its zone.
    pub zone: &'a str,
    /// Whether new requests may be sent to it: it is ready, and no operator has excluded it.
    pub usable: bool,
    /// Whether its slow start is over.
    pub warm: bool,
}

/// Whether a cache server is in the subset, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Membership {
    /// In the subset: it is in the node's own region.
    Home,
    /// In the subset: it is in a region that is in use for a fallback.
    Fallback,
    /// In the subset: it is in no region, and no region has a usable server.
    LastResort,
    /// Not in the subset.
    Outside,
}

/// A region in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionInUse<'a> {
    /// Its name.
    pub name: &'a str,
    /// Cache servers in it that are usable.
    pub usable: usize,
}

/// Selects the regions whose cache servers a node uses.
#[derive(Debug, Clone)]
pub struct RegionSelector {
    /// Names of the regions in this node's order, its own first.
    order: Vec<String>,
    /// Position in the order of the region of each zone.
    region_of_zone: HashMap<String, usize>,
    least: usize,
    /// How many regions of the order are in use.
    in_use: usize,
    /// Usable servers of each region.
    usable: Vec<usize>,
    /// Of these, warm ones.
    warm: Vec<usize>,
    /// The most usable servers that each region and those before it had together at once.
    peaks: Vec<usize>,
    /// Whether servers in no region are used, for want of any other.
    last_resort: bool,
}

impl RegionSelector {
    /// The selector of a node. Each node has an order of the other regions of its own (rendezvous hashing of its number
    /// and the region's name): the nodes of a region that is lost spread over all others.
    pub fn new(home: Region, mut others: Vec<Region>, least: usize, node: u32) -> RegionSelector {
        let score = |region: &Region| xxh3_64_with_seed(region.name.as_bytes(), u64::from(node));
        others.sort_by_key(|region| (std::cmp::Reverse(score(region)), region.name.clone()));
        others.insert(0, home);
        let mut region_of_zone = HashMap::new();
        for (position, region) in others.iter().enumerate() {
            for zone in &region.zones {
                region_of_zone.entry(zone.clone()).or_insert(position);
            }
        }
        RegionSelector {
            region_of_zone,
            least: least.max(1),
            in_use: 1,
            usable: vec![0; others.len()],
            warm: vec![0; others.len()],
            peaks: vec![0; others.len()],
            last_resort: false,
            order: others.into_iter().map(|region| region.name).collect(),
        }
    }

    /// Takes all listed cache servers; returns whether the regions in use have changed.
    pub fn update<'a>(&mut self, servers: impl IntoIterator<Item = Server<'a>>) -> bool {
        let in_use_before = self.in_use;
        let last_resort_before = self.last_resort;
        let unplaced = self.count(servers);
        let together = cumulative(&self.usable);
        let warm = cumulative(&self.warm);
        let total = together.last().copied().unwrap_or(0);
        self.last_resort = total == 0 && unplaced > 0;
        if total > 0 {
            for (peak, current) in self.peaks.iter_mut().zip(&together) {
                *peak = (*peak).max(*current);
            }
            let needed = self.regions_until(|position| together[position] >= self.least);
            let settled = self.regions_until(|position| self.may_return(position, &together, &warm));
            self.in_use = self.in_use.min(settled).max(needed);
        }
        self.in_use != in_use_before || self.last_resort != last_resort_before
    }

    /// Counts the usable servers of each region, and returns how many are in none.
    fn count<'a>(&mut self, servers: impl IntoIterator<Item = Server<'a>>) -> usize {
        self.usable.fill(0);
        self.warm.fill(0);
        let mut unplaced = 0;
        for server in servers.into_iter().filter(|server| server.usable) {
            match self.region_of_zone.get(server.zone) {
                Some(position) => {
                    self.usable[*position] += 1;
                    self.warm[*position] += usize::from(server.warm);
                }
                None => unplaced += 1,
            }
        }
        unplaced
    }

    /// How many regions of the order are enough; all, where none is.
    fn regions_until(&self, enough: impl Fn(usize) -> bool) -> usize {
        (0..self.order.len()).find(|position| enough(*position)).map_or(self.order.len(), |last| last + 1)
    }

    /// Whether the regions up to a position may be used alone again: enough servers are warm, and at least half of all.
    /// Servers that have just been started could not take the load of a return.
    fn may_return(&self, position: usize, usable: &[usize], warm: &[usize]) -> bool {
        warm[position] >= self.enough_to_return(position) && 2 * warm[position] >= usable[position]
    }

    /// How many warm servers allow the regions up to a position to be used alone again. The margin keeps a single flapping
    /// server from moving the whole node each time; regions that never had as many need the most that they had.
    fn enough_to_return(&self, position: usize) -> usize {
        let margin = 1 + self.least / RETURN_MARGIN_DIVISOR;
        (self.least + margin).min(self.peaks[position]).max(self.least)
    }

    /// Whether a cache server in a zone is in the subset, and why.
    pub fn membership(&self, zone: &str) -> Membership {
        match self.region_of_zone.get(zone) {
            Some(0) => Membership::Home,
            Some(position) if *position < self.in_use => Membership::Fallback,
            None if self.last_resort => Membership::LastResort,
            _ => Membership::Outside,
        }
    }

    /// The regions in use, the node's own first.
    pub fn regions_in_use(&self) -> impl Iterator<Item = RegionInUse<'_>> {
        let regions = self.order.iter().zip(&self.usable).take(self.in_use);
        regions.map(|(name, usable)| RegionInUse { name, usable: *usable })
    }

    /// All regions in this node's order, its own first.
    pub fn order(&self) -> impl Iterator<Item = &str> {
        self.order.iter().map(String::as_str)
    }

    /// Whether servers in no region are used, for want of any other.
    pub fn last_resort(&self) -> bool {
        self.last_resort
    }

    /// Usable servers below which a further region is used.
    pub fn least(&self) -> usize {
        self.least
    }
}

/// Each count together with those before it.
fn cumulative(counts: &[usize]) -> Vec<usize> {
    let add = |sum: &mut usize, count: &usize| {
        *sum += count;
        Some(*sum)
    };
    counts.iter().scan(0, add).collect()
}
