//! The endpoint subset of a node: the cache servers of its own region, and of other regions while too few are
//! usable.
//!
//! A [`RegionSelector`] takes all listed cache servers, and returns whether a server in a given zone is in
//! the node's subset. It has no I/O and no clock. The result depends on the lists that it was given, not on
//! the order of the servers in them.
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

/// A fallback ends when the number of warm servers exceeds the minimum number of usable servers by one plus
/// that minimum divided by this.
const RETURN_MARGIN_DIVISOR: usize = 4;

/// A region and its zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Names of the region's zones.
    pub zones: Vec<String>,
}

/// A cache server in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Server<'a> {
    /// Name of the server's zone.
    pub zone: &'a str,
    /// Whether new requests may be sent to the server: it is ready, and no operator has excluded it.
    pub usable: bool,
    /// Whether the server's slow start is over.
    pub warm: bool,
}

/// Whether a cache server is in the subset, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Membership {
    /// In the subset: the server is in the node's own region.
    Home,
    /// In the subset: the server is in a region that is used as a fallback.
    Fallback,
    /// In the subset: the server's zone is in no region, and no region has a usable server.
    LastResort,
    /// Not in the subset.
    Outside,
}

/// A region whose cache servers are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionInUse<'a> {
    /// Name of the region.
    pub name: &'a str,
    /// Number of usable cache servers in the region.
    pub usable: usize,
}

/// Selects the regions whose cache servers a node uses.
#[derive(Debug, Clone)]
pub struct RegionSelector {
    /// Names of the regions in this node's order of preference, its own first.
    order: Vec<String>,
    /// For each zone, the position of its region in the order.
    region_of_zone: HashMap<String, usize>,
    min_usable: usize,
    /// Number of regions in use, from the front of the order.
    in_use: usize,
    /// Number of usable servers of each region.
    usable: Vec<usize>,
    /// Number of usable servers of each region whose slow start is over.
    warm: Vec<usize>,
    /// For each position in the order, the highest total of usable servers so far in the regions up to and
    /// including that position.
    peaks: Vec<usize>,
    /// Whether servers outside all regions are used, because no region has a usable server.
    last_resort: bool,
}

impl RegionSelector {
    /// Creates the selector of the node with number `node`. A further region is used while fewer than
    /// `min_usable` servers are usable. Each node has its own order of the other regions (rendezvous hashing
    /// of its number and the region's name), so that the nodes of a lost region spread over all others.
    pub fn new(home: Region, mut others: Vec<Region>, min_usable: usize, node: u32) -> RegionSelector {
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
            min_usable: min_usable.max(1),
            in_use: 1,
            usable: vec![0; others.len()],
            warm: vec![0; others.len()],
            peaks: vec![0; others.len()],
            last_resort: false,
            order: others.into_iter().map(|region| region.name).collect(),
        }
    }

    /// Updates the selection from all listed cache servers. Returns whether the regions in use have changed.
    pub fn update<'a>(&mut self, servers: impl IntoIterator<Item = Server<'a>>) -> bool {
        let in_use_before = self.in_use;
        let last_resort_before = self.last_resort;
        let outside_regions = self.count(servers);
        let usable = cumulative(&self.usable);
        let warm = cumulative(&self.warm);
        let total = usable.last().copied().unwrap_or(0);
        self.last_resort = total == 0 && outside_regions > 0;
        if total > 0 {
            for (peak, current) in self.peaks.iter_mut().zip(&usable) {
                *peak = (*peak).max(*current);
            }
            let needed = self.regions_until(|position| usable[position] >= self.min_usable);
            let sufficient = self.regions_until(|position| self.may_return(position, &usable, &warm));
            self.in_use = self.in_use.min(sufficient).max(needed);
        }
        self.in_use != in_use_before || self.last_resort != last_resort_before
    }

    /// Counts the usable servers of each region, and returns the number of usable servers outside all
    /// regions.
    fn count<'a>(&mut self, servers: impl IntoIterator<Item = Server<'a>>) -> usize {
        self.usable.fill(0);
        self.warm.fill(0);
        let mut outside_regions = 0;
        for server in servers.into_iter().filter(|server| server.usable) {
            match self.region_of_zone.get(server.zone) {
                Some(position) => {
                    self.usable[*position] += 1;
                    self.warm[*position] += usize::from(server.warm);
                }
                None => outside_regions += 1,
            }
        }
        outside_regions
    }

    /// Returns the number of regions up to the first position for which `enough` is true, or the number of
    /// all regions.
    fn regions_until(&self, enough: impl Fn(usize) -> bool) -> usize {
        (0..self.order.len()).find(|position| enough(*position)).map_or(self.order.len(), |last| last + 1)
    }

    /// Returns whether a fallback may end with the regions up to a position: enough of their servers are
    /// warm, and these are at least half of their usable servers. Servers that have just started could not
    /// take the returning load.
    fn may_return(&self, position: usize, usable: &[usize], warm: &[usize]) -> bool {
        warm[position] >= self.enough_to_return(position) && 2 * warm[position] >= usable[position]
    }

    /// Returns the number of warm servers at which a fallback may end with the regions up to a position. The
    /// margin prevents a single flapping server from moving the whole node each time. If the regions never
    /// had that many usable servers, the highest number that they had is enough, but never fewer than the
    /// minimum.
    fn enough_to_return(&self, position: usize) -> usize {
        let margin = 1 + self.min_usable / RETURN_MARGIN_DIVISOR;
        (self.min_usable + margin).min(self.peaks[position]).max(self.min_usable)
    }

    /// Returns whether a cache server in a zone is in the subset, and why.
    pub fn membership(&self, zone: &str) -> Membership {
        match self.region_of_zone.get(zone) {
            Some(0) => Membership::Home,
            Some(position) if *position < self.in_use => Membership::Fallback,
            None if self.last_resort => Membership::LastResort,
            _ => Membership::Outside,
        }
    }

    /// Returns the regions in use, the node's own first.
    pub fn regions_in_use(&self) -> impl Iterator<Item = RegionInUse<'_>> {
        let regions = self.order.iter().zip(&self.usable).take(self.in_use);
        regions.map(|(name, usable)| RegionInUse { name, usable: *usable })
    }

    /// Returns the names of all regions in this node's order of preference, its own first.
    pub fn order(&self) -> impl Iterator<Item = &str> {
        self.order.iter().map(String::as_str)
    }

    /// Returns whether servers outside all regions are used, because no region has a usable server.
    pub fn last_resort(&self) -> bool {
        self.last_resort
    }

    /// Number of usable servers below which a further region is used.
    pub fn min_usable(&self) -> usize {
        self.min_usable
    }
}

/// Returns the running sums of the counts.
fn cumulative(counts: &[usize]) -> Vec<usize> {
    let add = |sum: &mut usize, count: &usize| {
        *sum += count;
        Some(*sum)
    };
    counts.iter().scan(0, add).collect()
}
