//! The endpoint subset: which of the listed servers the policy knows, which are the origin and the cache
//! servers of the regions in use.
//!
//! The core keeps the whole list, so that a fallback to another region needs no call to discovery, and a server that
//! enters the subset has the state that the list gave it meanwhile.

use foldhash::{HashMap, HashMapExt};
use stonevane_config::operator;
use stonevane_policy::{Condition, ListUpdate, Micros, ServerEntry, ServerId, Settings};
use stonevane_subset::{Membership, Region, RegionSelector, Server};

use crate::metrics::RegionMetrics;

/// Half of a cold server's budget is for the nodes of its region and half for all nodes, so that the sum stays within
/// the budget whichever nodes fall back on it.
const BUDGET_HALVES: u32 = 2;

/// A listed server, as far as its membership goes.
pub struct ListedServer<'a> {
    /// Its entry for the policy.
    pub entry: &'a ServerEntry,
    /// Name of its zone.
    pub zone: &'a str,
    /// Whether it is a cache server.
    pub is_cache: bool,
    /// Whether an operator has excluded it.
    pub excluded: bool,
}

impl ListedServer<'_> {
    fn is_usable(&self) -> bool {
        self.entry.condition == Condition::Ready && !self.excluded
    }
}

/// When a server is warm at the latest; `reinstated`: when an operator reinstated it, if one did.
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
    /// Servers that are still listed and have left the subset.
    pub removed: Vec<ServerId>,
    /// A line for the log, where the regions in use have changed.
    pub log_line: Option<String>,
}

/// The servers that the policy knows.
pub struct EndpointSubset {
    selector: RegionSelector,
    home: String,
    /// Nodes in this node's region.
    home_nodes: u32,
    /// The entry of each server in the subset, as the policy has it.
    entries: HashMap<ServerId, ServerEntry>,
    /// Weight of all usable cache servers, those outside the subset included.
    cache_weight: f64,
    /// Since when the regions in use have been the same.
    unchanged_since: Micros,
    /// Whether a non-empty list has been seen.
    has_list: bool,
    /// How often another region was taken into use.
    fallbacks: u64,
    /// When operators put servers back: they may have been restarted meanwhile, and the list may report that late.
    reinstated: HashMap<ServerId, Micros>,
    /// During a fallback, when the next server will be warm.
    next_warm: Option<Micros>,
    /// The refresh timer that was requested last.
    refresh_timer: Option<Micros>,
}

impl EndpointSubset {
    /// The subset of the node with a number.
    pub fn new(regions: operator::Regions, node: u32, now: Micros) -> EndpointSubset {
        let region = |region: operator::Region| Region { name: region.name, zones: region.zones };
        let others = regions.others.into_iter().map(region).collect();
        EndpointSubset {
            home: regions.home.name.clone(),
            selector: RegionSelector::new(region(regions.home), others, regions.least, node),
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

    /// Whether a server is in the subset.
    pub fn contains(&self, server: ServerId) -> bool {
        self.entries.contains_key(&server)
    }

    /// Weight of all usable cache servers, those outside the subset included.
    pub fn cache_weight(&self) -> f64 {
        self.cache_weight
    }

    /// An operator has put a server back.
    pub fn on_reinstated(&mut self, server: ServerId, now: Micros) {
        self.reinstated.insert(server, now);
    }

    /// When a refresh timer is to be set, unless one is already.
    pub fn poll_refresh_timer(&mut self, now: Micros) -> Option<Micros> {
        let next = self.next_warm?;
        if self.refresh_timer.is_some_and(|timer| now < timer && timer <= next) {
            return None;
        }
        self.refresh_timer = Some(next);
        self.refresh_timer
    }

    /// Takes all listed servers, and returns what the policy is to know: all of the subset, or for a delta
    /// what has changed in it.
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

    /// Selects the regions anew; returns a log line where others are in use than before.
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

    /// The log line on the regions in use.
    fn describe_regions(&self) -> String {
        let servers = |count: usize| match count {
            1 => "1 usable cache server".to_owned(),
            count => format!("{count} usable cache servers"),
        };
        let mut regions = self.selector.regions_in_use();
        let home = regions.next().map_or(0, |region| region.usable);
        let home_has = format!("regions: {} has {}", self.home, servers(home));
        if self.selector.last_resort() {
            return format!("{home_has} and so has every region: servers in no region are used");
        }
        let others = regions.map(|region| format!("{} ({})", region.name, servers(region.usable)));
        let others: Vec<_> = others.collect();
        if others.is_empty() {
            return format!("{home_has}: no other region is used");
        }
        let least = self.selector.least();
        format!("{home_has}, too few with at least {least} wanted: also used is {}", others.join(", "))
    }

    /// The entry of a server for the policy; `None` outside the subset.
    fn subset_entry(&self, server: &ListedServer<'_>, nodes: u32) -> Option<ServerEntry> {
        let sharing_nodes = match self.selector.membership(server.zone) {
            _ if !server.is_cache => 0,
            Membership::Home => self.home_nodes.saturating_mul(BUDGET_HALVES),
            Membership::Fallback | Membership::LastResort => nodes.saturating_mul(BUDGET_HALVES),
            Membership::Outside => return None,
        };
        Some(ServerEntry { sharing_nodes, ..server.entry.clone() })
    }

    /// The regions in use, for the report.
    pub fn metrics(&self) -> RegionMetrics {
        let in_use = self.selector.regions_in_use().map(|region| (region.name.to_owned(), region.usable));
        RegionMetrics {
            home: self.home.clone(),
            in_use: in_use.collect(),
            regions_in_use: self.selector.regions_in_use().count(),
            usable: self.selector.regions_in_use().map(|region| region.usable).sum(),
            least: self.selector.least(),
            since_ms: self.unchanged_since / 1_000,
            fallbacks: self.fallbacks,
        }
    }
}
