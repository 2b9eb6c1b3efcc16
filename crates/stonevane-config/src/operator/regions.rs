//! Section `[regions]`: regions and their zones, for nodes that use the cache servers of their own region.
//! Owned by the endpoint subset.

use crate::{Table, suggest};

/// Default number of usable cache servers below which a further region is used: while one of two servers
/// restarts, the other one serves.
const DEFAULT_MIN_USABLE: u64 = 2;
const MAX_NODES: u64 = 1_000_000;
const MAX_SERVERS: u64 = 100_000;

/// A region and its zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Names of the region's zones.
    pub zones: Vec<String>,
}

/// All regions, with the options of the fallback to other regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Regions {
    /// This node's region.
    pub home: Region,
    /// All other regions, in the order of the file.
    pub others: Vec<Region>,
    /// Number of nodes in this node's region, this one included.
    pub nodes: u32,
    /// Number of usable cache servers below which a further region is used as well.
    pub min_usable: usize,
}

impl Regions {
    pub(super) fn read(table: &Table<'_, '_>) -> Option<Regions> {
        let home_name = table.required("home");
        let nodes = table.integer_if("nodes", 1..=MAX_NODES);
        if !table.has("nodes") {
            table.missing("nodes");
        }
        let min_usable = table.integer("least", DEFAULT_MIN_USABLE, 1..=MAX_SERVERS) as usize;
        let Some(zones) = table.table("zones") else {
            if !table.has("zones") {
                table.error(table.span(), "[regions.zones] is missing: the regions and their zones");
            }
            return None;
        };
        let mut others = read_zones(&zones);
        let home = others.iter().position(|region| region.name == home_name);
        if home.is_none() && !home_name.is_empty() {
            let names: Vec<_> = others.iter().map(|region| region.name.as_str()).collect();
            let rule = format!("`home` is no region of [regions.zones]{}", suggest(&home_name, &names));
            table.error(table.span_of("home"), rule);
        }
        Some(Regions { home: others.remove(home?), others, nodes: nodes? as u32, min_usable })
    }
}

/// Reads the regions with their zones, and reports zones that are in more than one region.
fn read_zones(table: &Table<'_, '_>) -> Vec<Region> {
    let mut regions: Vec<Region> = Vec::new();
    for (name, span) in table.keys() {
        let mut region = Region { name, zones: Vec::new() };
        let zones = table.texts(&region.name);
        if zones.is_empty() {
            table.error(span, format!("the region `{}` has no zone", region.name));
        }
        for (zone, span) in zones {
            let owner = regions.iter().chain([&region]).find(|other| other.zones.contains(&zone));
            if let Some(other) = owner {
                table.error(span, format!("the zone `{zone}` is in the region `{}` already", other.name));
            } else {
                region.zones.push(zone);
            }
        }
        regions.push(region);
    }
    regions
}
