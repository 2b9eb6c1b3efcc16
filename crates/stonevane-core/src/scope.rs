//! Which of the listed servers the decision module is told: the origin, and the cache servers of the node's subset.
//!
//! The core holds the whole list, so that a fallback needs no call to discovery, and what a server was told to do while
//! it was outside holds when it comes in.

use foldhash::{HashMap, HashMapExt};
use stonevane_config::operator;
use stonevane_policy::{Condition, ListUpdate, Micros, ServerEntry, ServerId, Settings};
use stonevane_subset::{Membership, Region, RegionSelector, Server};

use crate::figures::RegionFigures;

/// Half of what a cache server bears while it is cold is for the nodes of its region, half for all nodes: whoever else
/// falls back on it, the sum is never more than the whole.
const HALVES: u32 = 2;

/// A listed server, as far as its place in the subset goes.
pub struct Listed<'a> {
    /// What the module would be told of it.
    pub line: &'a ServerEntry,
    /// Name of its zone.
    pub zone: &'a str,
    /// Whether it is a cache server.
    pub cache: bool,
    /// A person has taken it out.
    pub excluded: bool,
}

impl Listed<'_> {
    fn usable(&self) -> bool {
        self.line.condition == Condition::Ready && !self.excluded
    }
}

/// When a server is warm at the latest that was put back by hand at a time, if it was.
fn warm_at(line: &ServerEntry, put_back: Option<&Micros>, warm_up: Micros) -> Micros {
    match line.started.max(put_back.copied().unwrap_or(0)) {
        0 => 0,
        started => started.saturating_add(warm_up),
    }
}

/// What follows from a change of the list.
pub struct Told {
    /// The lines that the module is to be told.
    pub lines: Vec<ServerEntry>,
    /// Servers that are listed still and have left the subset.
    pub left: Vec<ServerId>,
    /// A line for the log, where other regions are in use than before.
    pub note: Option<String>,
}

/// The servers that the module knows, and why these.
pub struct Scope {
    selector: RegionSelector,
    home: String,
    /// Nodes in this node's region.
    nodes: u32,
    /// What the module was told last of each server that it knows.
    told: HashMap<ServerId, ServerEntry>,
    /// Weight of all cache servers that are usable, those outside included.
    cache_weight: f64,
    /// Since when these regions are in use.
    since: Micros,
    /// Whether any server was listed yet.
    begun: bool,
    /// How often a further region was taken into use.
    fallbacks: u64,
    /// When servers were put back by hand: they may have been restarted meanwhile, and the list that tells so may be late.
    put_back: HashMap<ServerId, Micros>,
    /// During a fallback, when the next server will be warm.
    next_warm: Option<Micros>,
    /// For when the core was asked to select anew.
    armed: Option<Micros>,
}

impl Scope {
    /// The scope of the node of a number.
    pub fn new(regions: operator::Regions, node: u32, now: Micros) -> Scope {
        let region = |region: operator::Region| Region { name: region.name, zones: region.zones };
        let others = regions.others.into_iter().map(region).collect();
        Scope {
            home: regions.home.name.clone(),
            selector: RegionSelector::new(region(regions.home), others, regions.least, node),
            nodes: regions.nodes,
            told: HashMap::new(),
            cache_weight: 0.0,
            since: now,
            begun: false,
            fallbacks: 0,
            put_back: HashMap::new(),
            next_warm: None,
            armed: None,
        }
    }

    /// Whether the module is told of a server.
    pub fn contains(&self, server: ServerId) -> bool {
        self.told.contains_key(&server)
    }

    /// Weight of all cache servers that are usable.
    pub fn cache_weight(&self) -> f64 {
        self.cache_weight
    }

    /// A person has put a server back.
    pub fn put_back(&mut self, server: ServerId, now: Micros) {
        self.put_back.insert(server, now);
    }

    /// When the subset is to be selected anew though nothing else happens, unless that was said already.
    pub fn wants_timer(&mut self, now: Micros) -> Option<Micros> {
        let next = self.next_warm?;
        if self.armed.is_some_and(|armed| now < armed && armed <= next) {
            return None;
        }
        self.armed = Some(next);
        self.armed
    }

    /// Takes all servers that are listed, and says what the module is to be told: all that it is to know, or of a delta
    /// what has changed for it.
    pub fn update(
        &mut self,
        now: Micros,
        kind: ListUpdate,
        listed: &[Listed<'_>],
        settings: &Settings,
    ) -> Told {
        let note = self.select(now, listed, settings.slow_start_duration);
        let usable = listed.iter().filter(|server| server.cache && server.usable());
        self.cache_weight = usable.map(|server| settings.cache_weight_of(server.line.weight)).sum();
        let lines = listed.iter().filter_map(|server| self.line(server, settings.nodes));
        let known: HashMap<_, _> = lines.map(|line| (line.id, line)).collect();
        let still_listed: Vec<_> = listed.iter().map(|server| server.line.id).collect();
        let before = std::mem::replace(&mut self.told, known);
        let gone = before.keys().filter(|id| !self.told.contains_key(id)).copied();
        let mut gone: Vec<_> = gone.collect();
        gone.sort_unstable();
        let mut lines: Vec<_> = match kind {
            ListUpdate::Delta => {
                self.told.values().filter(|line| before.get(&line.id) != Some(*line)).collect()
            }
            _ => self.told.values().collect::<Vec<_>>(),
        }
        .into_iter()
        .cloned()
        .collect();
        if kind == ListUpdate::Delta {
            let line = |id: &ServerId| ServerEntry { condition: Condition::Gone, ..before[id].clone() };
            lines.extend(gone.iter().map(line));
        }
        lines.sort_unstable_by_key(|line| line.id);
        gone.retain(|id| still_listed.contains(id));
        Told { lines, left: gone, note }
    }

    /// Selects the regions anew, and says so where others are in use.
    fn select(&mut self, now: Micros, listed: &[Listed<'_>], warm_up: Micros) -> Option<String> {
        self.put_back.retain(|_, at| *at + warm_up > now);
        let mut next_warm = Vec::new();
        let mut caches = Vec::with_capacity(listed.len());
        for server in listed.iter().filter(|server| server.cache) {
            let warm_at = warm_at(server.line, self.put_back.get(&server.line.id), warm_up);
            let (usable, warm) = (server.usable(), warm_at <= now);
            if usable && !warm {
                next_warm.push(warm_at);
            }
            caches.push(Server { zone: server.zone, usable, warm });
        }
        let before = self.selector.regions_in_use().count();
        let changed = self.selector.update(caches);
        let falls_back = self.selector.regions_in_use().count() > 1;
        self.next_warm = next_warm.into_iter().min().filter(|_| falls_back);
        let first = !self.begun && !listed.is_empty();
        self.begun |= first;
        if !changed && !first {
            return None;
        }
        self.since = now;
        let after = self.selector.regions_in_use().count();
        self.fallbacks += after.saturating_sub(before) as u64;
        Some(self.note())
    }

    /// What a person reads of the regions in use.
    fn note(&self) -> String {
        let servers = |count: usize| match count {
            1 => "1 usable cache server".to_owned(),
            count => format!("{count} usable cache servers"),
        };
        let mut regions = self.selector.regions_in_use();
        let home = regions.next().map_or(0, |region| region.usable);
        let further: Vec<_> =
            regions.map(|region| format!("{} ({})", region.name, servers(region.usable))).collect();
        let home_has = format!("regions: {} has {}", self.home, servers(home));
        if self.selector.last_resort() {
            return format!("{home_has} and so has every region: servers in no region are used");
        }
        if further.is_empty() {
            return format!("{home_has}: no other region is used");
        }
        let least = self.selector.least();
        format!("{home_has}, too few with at least {least} wanted: also used is {}", further.join(", "))
    }

    /// What the module is told of a server; `None`: nothing.
    fn line(&self, server: &Listed<'_>, balancers: u32) -> Option<ServerEntry> {
        let sharers = match self.selector.membership(server.zone) {
            _ if !server.cache => 0,
            Membership::Home => self.nodes.saturating_mul(HALVES),
            Membership::Fallback | Membership::LastResort => balancers.saturating_mul(HALVES),
            Membership::Outside => return None,
        };
        Some(ServerEntry { sharing_nodes: sharers, ..server.line.clone() })
    }

    /// The figures.
    pub fn figures(&self) -> RegionFigures {
        let in_use = self.selector.regions_in_use().map(|region| (region.name.to_owned(), region.usable));
        RegionFigures {
            home: self.home.clone(),
            in_use: in_use.collect(),
            regions_in_use: self.selector.regions_in_use().count(),
            usable: self.selector.regions_in_use().map(|region| region.usable).sum(),
            least: self.selector.least(),
            since_ms: self.since / 1_000,
            fallbacks: self.fallbacks,
        }
    }
}
