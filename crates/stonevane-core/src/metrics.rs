//! Counts and reports of a node. Each count is raised in one place; the rest of a report is read from state.

use std::collections::BTreeMap;

use serde::Serialize;

/// The most classes that are counted, removed ones included.
const MAX_CLASSES: usize = 1024;

/// Counts of one class.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests accepted.
    pub accepted: u64,
    /// Answered with what a server made for them.
    pub served: u64,
    /// Rejected; a retry by the client is harmless.
    pub rejected: u64,
    /// Answered with an error.
    pub failed: u64,
    /// Their client disconnected before the answer.
    pub disconnected: u64,
}

/// All counts of this process, from 0 at its start.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<(String, ClassCounts)>,
    /// Attempts written completely to servers, the origin included.
    pub attempts: u64,
    /// Settings files applied at SIGHUP.
    pub reloads_ok: u64,
    /// Settings files not applied at SIGHUP.
    pub reloads_failed: u64,
    /// Rejections, failures, backoffs, retries and hedged requests by their reason; a request may add several.
    pub decisions: BTreeMap<&'static str, u64>,
    /// Connections closed by this process, by the reason.
    pub closes: BTreeMap<&'static str, u64>,
}

impl Metrics {
    /// Registers some classes and returns the slot of each; `None` where that would be too many. A removed class keeps
    /// its counts, and goes on with them when it comes back.
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

    /// Counts of the class in a slot.
    pub fn class_mut(&mut self, slot: usize) -> &mut ClassCounts {
        &mut self.classes[slot].1
    }

    /// All classes and their counts.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &ClassCounts)> {
        self.classes.iter().map(|(name, counts)| (name.as_str(), counts))
    }
}

/// The regions whose cache servers this node uses.
#[derive(Debug, Serialize)]
pub struct RegionMetrics {
    /// This node's region.
    pub home: String,
    /// Usable cache servers of each region in use, by its name.
    pub in_use: BTreeMap<String, usize>,
    /// How many regions are in use: 1 except during a fallback.
    pub regions_in_use: usize,
    /// Usable cache servers of all regions in use.
    pub usable: usize,
    /// Another region is used while there are fewer.
    pub least: usize,
    /// Since when these regions are in use, Unix time in milliseconds.
    pub since_ms: u64,
    /// How often another region was taken into use.
    pub fallbacks: u64,
}

/// What the management address reports as `/metrics`; the field names are the names there.
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
    /// Requests in flight.
    pub in_flight: usize,
    /// Cache servers in the list.
    pub cache_servers_known: usize,
    /// Of these, those excluded by an operator or ejected.
    pub cache_servers_excluded: usize,
    /// Settings files applied at SIGHUP.
    pub reloads_ok: u64,
    /// Settings files not applied at SIGHUP.
    pub reloads_failed: u64,
    /// Rejections, failures, backoffs, retries and hedged requests by their reason; a request may add several.
    pub decisions: &'a BTreeMap<&'static str, u64>,
    /// Connections closed by this process, by the reason.
    pub closes: &'a BTreeMap<&'static str, u64>,
    /// The regions in use; absent without `[regions]`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub regions: Option<RegionMetrics>,
}
