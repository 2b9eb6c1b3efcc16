//! What a node reports. Each count has one place where it is raised; the rest is read from state when asked.

use std::collections::BTreeMap;

use serde::Serialize;

/// Names of classes that are counted, at most, those of dropped ones included.
const MAX_CLASSES: usize = 1024;

/// Counts of one class.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Answered with what a server made for them.
    pub served: u64,
    /// Turned away.
    pub refused: u64,
    /// Answered with no promise.
    pub failed: u64,
    /// Their client had left before the answer.
    pub left: u64,
}

/// All counts of this process, from 0 at its start.
#[derive(Debug, Default)]
pub struct Figures {
    classes: Vec<(String, Counts)>,
    /// Attempts written whole to servers, the origin included.
    pub attempts: u64,
    /// Files taken at SIGHUP.
    pub reloads_ok: u64,
    /// Files turned down at SIGHUP.
    pub reloads_failed: u64,
    /// Refusals, failures, waits, retries and second copies by their reason.
    pub decisions: BTreeMap<&'static str, u64>,
    /// Connections closed by this process, by the reason.
    pub closes: BTreeMap<&'static str, u64>,
}

impl Figures {
    /// Where each of some classes is counted; `None` where that would be too many names. A dropped class keeps its
    /// count, and one that comes back goes on with it.
    pub fn name(&mut self, classes: &[String]) -> Option<Vec<usize>> {
        let mut places = Vec::with_capacity(classes.len());
        for name in classes {
            let known = self.classes.iter().position(|(known, _)| known == name);
            places.push(known.unwrap_or(self.classes.len()));
            if known.is_none() {
                if self.classes.len() >= MAX_CLASSES {
                    return None;
                }
                self.classes.push((name.clone(), Counts::default()));
            }
        }
        Some(places)
    }

    /// Counts of the class in a place.
    pub fn class(&mut self, place: usize) -> &mut Counts {
        &mut self.classes[place].1
    }

    /// All classes and their counts.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &Counts)> {
        self.classes.iter().map(|(name, counts)| (name.as_str(), counts))
    }
}

/// The cache servers that this node uses, where those are its region's.
#[derive(Debug, Serialize)]
pub struct RegionFigures {
    /// This node's region.
    pub home: String,
    /// Usable cache servers of each region in use, by its name.
    pub in_use: BTreeMap<String, usize>,
    /// How many regions are in use: 1 but during a fallback.
    pub regions_in_use: usize,
    /// Usable cache servers of all regions in use.
    pub usable: usize,
    /// A further region is used while there are fewer.
    pub least: usize,
    /// Since when these regions are in use, Unix time in milliseconds.
    pub since_ms: u64,
    /// How often a further region was taken into use.
    pub fallbacks: u64,
}

/// What the second address says.
#[derive(Debug, Serialize)]
pub struct Report<'a> {
    /// Requests served, by class.
    pub served: BTreeMap<&'a str, u64>,
    /// Requests refused, by class.
    pub refused: BTreeMap<&'a str, u64>,
    /// Requests failed, by class.
    pub failed: BTreeMap<&'a str, u64>,
    /// Attempts written whole to servers, the origin included.
    pub attempts: u64,
    /// Requests taken and not ended.
    pub in_flight: usize,
    /// Cache servers in the list.
    pub cache_servers_known: usize,
    /// Of these, those that are avoided now.
    pub cache_servers_excluded: usize,
    /// Files taken at SIGHUP.
    pub reloads_ok: u64,
    /// Files turned down at SIGHUP.
    pub reloads_failed: u64,
    /// Refusals, failures, waits, retries and second copies by their reason.
    pub decisions: &'a BTreeMap<&'static str, u64>,
    /// Connections closed by this process, by the reason.
    pub closes: &'a BTreeMap<&'static str, u64>,
    /// The regions in use; not there without `[regions]`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub regions: Option<RegionFigures>,
}
