//! The endpoint subset: the listed servers that are passed to the policy, which are the origin and the cache
//! servers of the regions in use.
//!
//! The core keeps the whole list. A fallback to another region therefore needs no call to discovery, and a
//! server that enters the subset has its current state from the list.

use foldhash::{HashMap, HashMapExt};
use stonevane_config::operator;
use stonevane_policy::{Condition, ListUpdate, Micros, ServerEntry, ServerId, Settings};
use stonevane_subset::{Membership, Region, RegionSelector, Server};

use crate::metrics::RegionMetrics;

/// Half of the request budget of a server in slow start is shared by the nodes of its region, the other half
/// by all nodes. The sum therefore stays within the budget, whichever nodes fall back on the server.
const BUDGET_HALVES: u32 = 2;

/// A listed server with the properties that decide on its membership in the subset.
pub struct ListedServer<'a> {
    /// Entry of the server for the policy.
    pub entry: &'a ServerEntry,
    /// Name of the server's zone.
    pub zone: &'a str,
    /// Whether the server is a cache server; otherwise it is the origin.
    pub is_cache: bool,
    /// Whether an operator has excluded the server.
    pub excluded: bool,
}

impl ListedServer<'_> {
    fn is_usable(&self) -> bool {
        self.entry.condition == Condition::Ready && !self.excluded
    }
}

/// Returns the latest time at which a server's slow start ends. `reinstated` is the time at which an operator
/// reinstated the server, if one did.
fn warm_at(entry: &ServerEntry, reinstated: Option<&Micros>, warm_up: Micros) -> Micros {
    match entry.started.max(reinstated.copied().unwrap_or(0)) {
        0 => 0,
        started => started.saturating_add(warm_up),
    }
}

/// The effect of a change on the subset.
pub struct SubsetUpdate {
    /// Entries to send to the policy.
    pub entries: Vec<ServerEntry>,
    /// Servers that have left the subset and are still listed.
    pub removed: Vec<ServerId>,
    /// Log line if the regions in use have changed.
    pub log_line: Option<String>,
}

/// The endpoint subset of a node and its state.
pub struct EndpointSubset {
    selector: RegionSelector,
    home: String,
    /// Number of nodes in this node's region, this one included.
    home_nodes: u32,
    /// Entry of each server in the subset, as passed to the policy.
    entries: HashMap<ServerId, ServerEntry>,
    /// Total weight of all usable cache servers, including those outside the subset.
    cache_weight: f64,
    /// Time of the last change of the regions in use.
    unchanged_since: Micros,
    /// Whether a non-empty list has arrived.
    has_list: bool,
    /// Number of times that another region was taken into use.
    fallbacks: u64,
    /// Times at which operators reinstated servers. A reinstated server may have been restarted while it was
    /// excluded, and the list may report the restart late.
    reinstated: HashMap<ServerId, Micros>,
    /// During a fallback, the earliest time at which another server will be warm.
    next_warm: Option<Micros>,
    /// Time of the refresh timer that was requested last.
    refresh_timer: Option<Micros>,
}

impl EndpointSubset {
    /// Creates the subset of a node. `node` is the node's index, which determines its order of the other
    /// regions.
    pub fn new(regions: operator::Regions, node: u32, now: Micros) -> EndpointSubset {
        let region = |region: operator::Region| Region { name: region.name, zones: region.zones };
        let others = regions.others.into_iter().map(region).collect();
        EndpointSubset {
            home: regions.home.name.clone(),
            selector: RegionSelector::new(region(regions.home), others, regions.min_usable, node),
            home_nodes: regions.nodes,
            entries: HashMap::new(),
            cache_weight: 0.0,
            unchanged_since: now,
            has_list: false,
            fallbacks: 0,
            reinstated: HashMap::new(),
            next_warm: None,
            refresh_timer: None,
        }
    }

    /// Returns whether a server is in the subset.
    pub fn contains(&self, server: ServerId) -> bool {
        self.entries.contains_key(&server)
    }

    /// Total weight of all usable cache servers, including those outside the subset.
    pub fn cache_weight(&self) -> f64 {
        self.cache_weight
    }

    /// Records that an operator has reinstated a server.
    pub fn on_reinstated(&mut self, server: ServerId, now: Micros) {
        self.reinstated.insert(server, now);
    }

    /// Returns the time at which to set a refresh timer; `None` if none is needed or a suitable one is set.
    pub fn poll_refresh_timer(&mut self, now: Micros) -> Option<Micros> {
        let next = self.next_warm?;
        if self.refresh_timer.is_some_and(|timer| now < timer && timer <= next) {
            return None;
        }
        self.refresh_timer = Some(next);
        self.refresh_timer
    }

    /// Recomputes the subset from all listed servers, and returns the entries for the policy: the whole
    /// subset, or for a delta its changes.
    pub fn update(
        &mut self,
        now: Micros,
        kind: ListUpdate,
        listed: &[ListedServer<'_>],
        settings: &Settings,
    ) -> SubsetUpdate {
        let log_line = self.select_regions(now, listed, settings.slow_start_duration);
        let usable = listed.iter().filter(|server| server.is_cache && server.is_usable());
        self.cache_weight = usable.map(|server| settings.cache_weight_of(server.entry.weight)).sum();
        let entries = listed.iter().filter_map(|server| self.subset_entry(server, settings.nodes));
        let current: HashMap<_, _> = entries.map(|entry| (entry.id, entry)).collect();
        let previous = std::mem::replace(&mut self.entries, current);
        let mut removed: Vec<_> = previous.keys().filter(|id| !self.contains(**id)).copied().collect();
        removed.sort_unstable();
        let entries = match kind {
            ListUpdate::Delta => self.changed_entries(&previous, &removed),
            _ => self.all_entries(),
        };
        removed.retain(|id| listed.iter().any(|server| server.entry.id == *id));
        SubsetUpdate { entries, removed, log_line }
    }

    fn all_entries(&self) -> Vec<ServerEntry> {
        let mut entries: Vec<_> = self.entries.values().cloned().collect();
        entries.sort_unstable_by_key(|entry| entry.id);
        entries
    }

    fn changed_entries(
        &self,
        previous: &HashMap<ServerId, ServerEntry>,
        removed: &[ServerId],
    ) -> Vec<ServerEntry> {
        let changed = self.entries.values().filter(|entry| previous.get(&entry.id) != Some(*entry));
        let gone = |id: &ServerId| ServerEntry { condition: Condition::Gone, ..previous[id].clone() };
        let mut entries: Vec<_> = changed.cloned().chain(removed.iter().map(gone)).collect();
        entries.sort_unstable_by_key(|entry| entry.id);
        entries
    }

    /// Reselects the regions. Returns a log line if the regions in use have changed, or for the first
    /// non-empty list.
    fn select_regions(
        &mut self,
        now: Micros,
        listed: &[ListedServer<'_>],
        warm_up: Micros,
    ) -> Option<String> {
        self.reinstated.retain(|_, at| *at + warm_up > now);
        let mut next_warm: Option<Micros> = None;
        let mut caches = Vec::with_capacity(listed.len());
        for server in listed.iter().filter(|server| server.is_cache) {
            let warm_at = warm_at(server.entry, self.reinstated.get(&server.entry.id), warm_up);
            let usable = server.is_usable();
            let warm = warm_at <= now;
            if usable && !warm {
                next_warm = Some(next_warm.map_or(warm_at, |earliest| earliest.min(warm_at)));
            }
            caches.push(Server { zone: server.zone, usable, warm });
        }
        let regions_before = self.selector.regions_in_use().count();
        let changed = self.selector.update(caches);
        let regions_after = self.selector.regions_in_use().count();
        self.next_warm = next_warm.filter(|_| regions_after > 1);
        let is_first_list = !self.has_list && !listed.is_empty();
        self.has_list |= is_first_list;
        if !changed && !is_first_list {
            return None;
        }
        self.unchanged_since = now;
        self.fallbacks += regions_after.saturating_sub(regions_before) as u64;
        Some(self.describe_regions())
    }

    /// Formats the log line on the regions in use.
    fn describe_regions(&self) -> String {
        let servers = |count: usize| match count {
            1 => "1 usable cache server".to_owned(),
            count => format!("{count} usable cache servers"),
        };
        let mut regions = self.selector.regions_in_use();
        let home = regions.next().map_or(0, |region| region.usable);
        let home_has = format!("regions: {} has {}", self.home, servers(home));
        if self.selector.last_resort() {
            return format!(
                "{home_has}, and no other region has any: cache servers outside all regions are used"
            );
        }
        let others = regions.map(|region| format!("{} ({})", region.name, servers(region.usable)));
        let others: Vec<_> = others.collect();
        if others.is_empty() {
            return format!("{home_has}: no other region is used");
        }
        let least = self.selector.min_usable();
        format!("{home_has}, too few with at least {least} wanted: also used is {}", others.join(", "))
    }

    /// Returns the entry of a server for the policy; `None` if it is outside the subset.
    fn subset_entry(&self, server: &ListedServer<'_>, nodes: u32) -> Option<ServerEntry> {
        let sharing_nodes = match self.selector.membership(server.zone) {
            _ if !server.is_cache => 0,
            Membership::Home => self.home_nodes.saturating_mul(BUDGET_HALVES),
            Membership::Fallback | Membership::LastResort => nodes.saturating_mul(BUDGET_HALVES),
            Membership::Outside => return None,
        };
        Some(ServerEntry { sharing_nodes, ..server.entry.clone() })
    }

    /// Returns the regions in use, for `/metrics`.
    pub fn metrics(&self) -> RegionMetrics {
        let in_use = self.selector.regions_in_use().map(|region| (region.name.to_owned(), region.usable));
        RegionMetrics {
            home: self.home.clone(),
            in_use: in_use.collect(),
            regions_in_use: self.selector.regions_in_use().count(),
            usable: self.selector.regions_in_use().map(|region| region.usable).sum(),
            least: self.selector.min_usable(),
            since_ms: self.unchanged_since / 1_000,
            fallbacks: self.fallbacks,
        }
    }
}
