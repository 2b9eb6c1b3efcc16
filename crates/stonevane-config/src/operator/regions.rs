//! The regions, where a node uses the cache servers of its own; owned by the endpoint subset.

use crate::{Table, suggest};

/// Usable cache servers below which a further region is used, by default: while one of two restarts, the other serves.
const DEFAULT_LEAST: u64 = 2;
const MAX_NODES: u64 = 1_000_000;
const MAX_SERVERS: u64 = 100_000;

/// A region and its zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Region {
    /// Its name.
    pub name: String,
    /// Names of its zones.
    pub zones: Vec<String>,
}

/// The regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Regions {
    /// The region of this node.
    pub home: Region,
    /// The others.
    pub others: Vec<Region>,
    /// Nodes in this node's region, this one included.
    pub nodes: u32,
    /// Usable cache servers below which a further region is used as well.
    pub least: usize,
}

impl Regions {
    pub(super) fn read(table: &Table<'_, '_>) -> Option<Regions> {
        let home_name = table.required("home");
        let nodes = table.integer_if("nodes", 1..=MAX_NODES);
        if !table.has("nodes") {
            table.missing("nodes");
        }
        let least = table.integer("least", DEFAULT_LEAST, 1..=MAX_SERVERS) as usize;
        let Some(zones) = table.table("zones") else {
            if !table.has("zones") {
                table.error(table.place(), "[regions.zones] is missing: the regions and their zones");
            }
            return None;
        };
        let mut others = read_zones(&zones);
        let home = others.iter().position(|region| region.name == home_name);
        if home.is_none() && !home_name.is_empty() {
            let names: Vec<_> = others.iter().map(|region| region.name.as_str()).collect();
            let rule = format!("`home` is no region of [regions.zones]{}", suggest(&home_name, &names));
            table.error(table.place_of("home"), rule);
        }
        Some(Regions { home: others.remove(home?), others, nodes: nodes? as u32, least })
    }
}

/// The regions with their zones; a zone is in one region only.
fn read_zones(table: &Table<'_, '_>) -> Vec<Region> {
    let mut regions: Vec<Region> = Vec::new();
    for (name, place) in table.keys() {
        let mut region = Region { name, zones: Vec::new() };
        let zones = table.texts(&region.name);
        if zones.is_empty() {
            table.error(place, format!("the region `{}` has no zone", region.name));
        }
        for (zone, place) in zones {
            let before = regions.iter().chain([&region]).find(|other| other.zones.contains(&zone));
            if let Some(other) = before {
                table.error(place, format!("the zone `{zone}` is in the region `{}` already", other.name));
            } else {
                region.zones.push(zone);
            }
        }
        regions.push(region);
    }
    regions
}
