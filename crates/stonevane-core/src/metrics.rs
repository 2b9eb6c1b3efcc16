//! Counters and reports of a node. Each counter is incremented in one place; the other values of a report are
//! read from the node's state.

use std::collections::BTreeMap;

use serde::Serialize;

/// Maximum number of classes that are counted, including removed ones.
const MAX_CLASSES: usize = 1024;

/// Request counters of one class.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests answered with a server's result.
    pub served: u64,
    /// Requests rejected; a retry by the client is harmless.
    pub rejected: u64,
    /// Requests answered with an error; they may have run.
    pub failed: u64,
    /// Requests whose client disconnected before the answer.
    pub disconnected: u64,
}

/// All counters of this process, starting from 0.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<(String, ClassCounts)>,
    /// Attempts written completely to servers, the origin included.
    pub attempts: u64,
    /// Settings files applied on SIGHUP.
    pub reloads_ok: u64,
    /// Settings files that could not be applied on SIGHUP.
    pub reloads_failed: u64,
    /// Rejections, failures, backoffs, retries and hedged requests, by reason. One request may count several
    /// times.
    pub decisions: BTreeMap<&'static str, u64>,
    /// Connections closed by this process, by reason.
    pub closes: BTreeMap<&'static str, u64>,
}

impl Metrics {
    /// Registers classes and returns the slot of each; `None` if there would be too many. A removed class
    /// keeps its counts, and continues from them if it is added again.
    pub fn register_classes(&mut self, names: &[String]) -> Option<Vec<usize>> {
        let mut slots = Vec::with_capacity(names.len());
        for name in names {
            let known = self.classes.iter().position(|(known, _)| known == name);
            slots.push(known.unwrap_or(self.classes.len()));
            if known.is_none() {
                if self.classes.len() >= MAX_CLASSES {
                    return None;
                }
                self.classes.push((name.clone(), ClassCounts::default()));
            }
        }
        Some(slots)
    }

    /// Returns the counters of the class in a slot.
    pub fn class_mut(&mut self, slot: usize) -> &mut ClassCounts {
        &mut self.classes[slot].1
    }

    /// Returns all registered classes, including removed ones, with their counters.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &ClassCounts)> {
        self.classes.iter().map(|(name, counts)| (name.as_str(), counts))
    }
}

/// Metrics of the regions whose cache servers this node uses.
#[derive(Debug, Serialize)]
pub struct RegionMetrics {
    /// Name of this node's region.
    pub home: String,
    /// Number of usable cache servers of each region in use, by region name.
    pub in_use: BTreeMap<String, usize>,
    /// Number of regions in use: 1 except during a fallback.
    pub regions_in_use: usize,
    /// Number of usable cache servers of all regions in use.
    pub usable: usize,
    /// Number of usable cache servers below which another region is used.
    pub least: usize,
    /// Time of the last change of the regions in use, Unix time in milliseconds.
    pub since_ms: u64,
    /// Number of times that another region was taken into use.
    pub fallbacks: u64,
}

/// The report at `/metrics` of the management address. Field names are the JSON names.
#[derive(Debug, Serialize)]
pub struct Report<'a> {
    /// Requests served, by class.
    pub served: BTreeMap<&'a str, u64>,
    /// Requests rejected, by class.
    pub refused: BTreeMap<&'a str, u64>,
    /// Requests failed, by class.
    pub failed: BTreeMap<&'a str, u64>,
    /// Attempts written completely to servers, the origin included.
    pub attempts: u64,
    /// Requests that have no final answer yet.
    pub in_flight: usize,
    /// Cache servers in the list.
    pub cache_servers_known: usize,
    /// Listed cache servers that are excluded by an operator or ejected.
    pub cache_servers_excluded: usize,
    /// Settings files applied on SIGHUP.
    pub reloads_ok: u64,
    /// Settings files that could not be applied on SIGHUP.
    pub reloads_failed: u64,
    /// Rejections, failures, backoffs, retries and hedged requests, by reason. One request may count several
    /// times.
    pub decisions: &'a BTreeMap<&'static str, u64>,
    /// Connections closed by this process, by reason.
    pub closes: &'a BTreeMap<&'static str, u64>,
    /// Regions in use; absent if the operator file has no `[regions]`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub regions: Option<RegionMetrics>,
}
