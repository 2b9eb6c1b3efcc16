//! What is simulated: the fleet, its load and its faults, drawn from a seed or read from a file.
//!
//! Plans are JSON files: each field keeps the key that it had in the first of them.

mod generate;

use serde::{Deserialize, Serialize};

/// A kind of fault. Histories and the command name it by its debug form.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum FaultKind {
    /// A cache is killed, and starts again cold.
    KillCache {
        /// Which.
        cache: usize,
    },
    /// A cache's process is replaced by a cold one at the same address, of which discovery hears late.
    ReplaceCache {
        /// Which.
        cache: usize,
    },
    /// A cache reads requests and answers nothing.
    SilentCache {
        /// Which.
        cache: usize,
    },
    /// A cache's machine is unreachable: nothing is answered, no connection is established.
    VanishCache {
        /// Which.
        cache: usize,
    },
    /// Discovery says that a cache drains; when it ends, that it is active.
    DrainCache {
        /// Which.
        cache: usize,
    },
    /// A cache resets connections in the middle of an answer.
    TearCache {
        /// Which.
        cache: usize,
        /// Of so many answers, one.
        every: u64,
    },
    /// A cache sends bytes behind a whole answer.
    NoisyCache {
        /// Which.
        cache: usize,
    },
    /// A cache's answers are corrupted.
    GarbleCache {
        /// Which.
        cache: usize,
    },
    /// A node is killed, and starts again with the list of the run's beginning.
    KillNode {
        /// Which.
        node: usize,
    },
    /// A node is sent SIGTERM, and starts again when it has ended.
    TermNode {
        /// Which.
        node: usize,
    },
    /// A node's process is paused, with all its timers.
    PauseNode {
        /// Which.
        node: usize,
    },
    /// The origin does no work.
    StallOrigin,
    /// The origin resets connections without an answer, though the request has run.
    TearOrigin {
        /// Of so many answers, one.
        every: u64,
    },
    /// Calls to discovery fail, and its watches break.
    NoDiscovery,
    /// Discovery sends a stale watch event behind each new one.
    OldNews,
    /// Clients leave long before their deadline.
    Impatient,
    /// Clients connect and send nothing.
    Crowd {
        /// So many a second.
        per_s: u64,
    },
}

/// A fault, and when.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, microseconds.
    #[serde(rename = "at")]
    pub start_us: u64,
    /// For how long, microseconds.
    #[serde(rename = "lasts")]
    pub duration_us: u64,
    /// What it is.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// All that a run depends on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of all random numbers within the run.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Caches.
    pub caches: usize,
    /// How long clients send requests, microseconds.
    #[serde(rename = "length")]
    pub load_duration_us: u64,
    /// Requests a second, over all nodes.
    #[serde(rename = "per_s")]
    pub requests_per_s: f64,
    /// Share of them that are edits with an idempotency key.
    #[serde(rename = "edits")]
    pub edit_share: f64,
    /// Share of them that must not run twice.
    #[serde(rename = "moves")]
    pub move_share: f64,
    /// Keys.
    pub keys: u64,
    /// Share of the keys that caches hold at the beginning.
    #[serde(rename = "warm")]
    pub cached_share: f64,
    /// Share of the requests that are pipelined behind others on their connection.
    #[serde(rename = "pipelined")]
    pub pipelined_share: f64,
    /// The network's shortest and longest delay, microseconds.
    #[serde(rename = "delay")]
    pub delay_us: (u64, u64),
    /// Share of the writes that arrive in several pieces.
    #[serde(rename = "split")]
    pub fragmented_share: f64,
    /// Share of a node's writes that its machine takes late.
    #[serde(rename = "slow")]
    pub late_flush_share: f64,
    /// How much each node's clock runs too fast, as a share.
    #[serde(rename = "clocks")]
    pub clock_drifts: Vec<f64>,
    /// A node's limit of sockets.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
    /// A node's limit of memory, megabytes.
    pub memory_mb: usize,
    /// The length of values, bytes.
    #[serde(rename = "value")]
    pub value_bytes: usize,
    /// Slots of the origin's connection table: requests on other connections are rejected; no limit where it is left
    /// out.
    #[serde(rename = "places", default, skip_serializing_if = "Option::is_none")]
    pub origin_connections: Option<usize>,
    /// How long discovery, which handles calls in turn, takes for one, microseconds; no time where it is left out.
    #[serde(rename = "call", default, skip_serializing_if = "Option::is_none")]
    pub discovery_call_us: Option<u64>,
    /// The faults, in the order of their beginnings.
    pub faults: Vec<Fault>,
}

/// Why a plan can't be played.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// It is no JSON, or lacks a field or has one too many.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field's value.
    #[error("`{field}` is {value}, and is to be from {least} to {most}")]
    OutOfRange {
        /// Its key in the file.
        field: &'static str,
        /// What it is.
        value: f64,
        /// The least that it may be.
        least: f64,
        /// The most that it may be.
        most: f64,
    },
    /// Clocks or delays.
    #[error("`clocks` are to be from -0.5 to 0.5, and `delay` the shortest first")]
    ClocksOrDelay,
    /// A fault's target.
    #[error("fault {number}: there is no such cache or node: {kind:?}")]
    NoSuchTarget {
        /// Its number, from 1.
        number: usize,
        /// What it is.
        kind: FaultKind,
    },
}

/// A field of a plan, by its key, and the range that its value is to be in.
struct FieldRange {
    field: &'static str,
    value: f64,
    least: f64,
    most: f64,
}

/// Clocks drift by this share at most.
const MAX_CLOCK_DRIFT: f64 = 0.5;

impl Plan {
    /// When its last fault has ended, microseconds.
    pub fn last_fault_end_us(&self) -> u64 {
        self.faults.iter().map(|fault| fault.start_us + fault.duration_us).max().unwrap_or(0)
    }

    /// The plan as a file holds it.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it; of wrong JSON its line.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = serde_json::from_str(text)?;
        for FieldRange { field, value, least, most } in plan.ranges() {
            if !(least..=most).contains(&value) {
                return Err(PlanError::OutOfRange { field, value, least, most });
            }
        }
        let is_wrong = |drift: &f64| !(-MAX_CLOCK_DRIFT..=MAX_CLOCK_DRIFT).contains(drift);
        if plan.clock_drifts.iter().any(is_wrong) || plan.delay_us.0 > plan.delay_us.1 {
            return Err(PlanError::ClocksOrDelay);
        }
        for (index, fault) in plan.faults.iter().enumerate() {
            let kind = fault.kind;
            let no_cache = kind.cache().is_some_and(|cache| cache >= plan.caches);
            let no_node = kind.node().is_some_and(|node| node >= plan.nodes);
            if no_cache || no_node {
                return Err(PlanError::NoSuchTarget { number: index + 1, kind });
            }
        }
        Ok(plan)
    }

    /// Each field that has a range.
    fn ranges(&self) -> [FieldRange; 17] {
        let nodes = self.nodes as f64;
        let range = |field, value, least, most| FieldRange { field, value, least, most };
        [
            range("nodes", nodes, 1.0, 200.0),
            range("caches", self.caches as f64, 1.0, 200.0),
            range("length", self.load_duration_us as f64, 1.0, 600e6),
            range("per_s", self.requests_per_s, 0.1, 10_000.0),
            range("edits", self.edit_share, 0.0, 1.0),
            range("moves", self.move_share, 0.0, 1.0),
            range("keys", self.keys as f64, 1.0, 1e6),
            range("warm", self.cached_share, 0.0, 1.0),
            range("pipelined", self.pipelined_share, 0.0, 1.0),
            range("split", self.fragmented_share, 0.0, 1.0),
            range("slow", self.late_flush_share, 0.0, 1.0),
            range("sockets", self.max_sockets as f64, 32.0, 1024.0),
            range("memory_mb", self.memory_mb as f64, 16.0, 4096.0),
            range("value", self.value_bytes as f64, 1.0, 65_536.0),
            range("places", self.origin_connections.unwrap_or(1) as f64, 1.0, 1e6),
            range("call", self.discovery_call_us.unwrap_or(1) as f64, 1.0, 60e6),
            range("clocks", self.clock_drifts.len() as f64, nodes, nodes),
        ]
    }
}

impl FaultKind {
    /// The cache that it concerns.
    pub fn cache(self) -> Option<usize> {
        match self {
            FaultKind::KillCache { cache }
            | FaultKind::ReplaceCache { cache }
            | FaultKind::SilentCache { cache }
            | FaultKind::VanishCache { cache }
            | FaultKind::DrainCache { cache }
            | FaultKind::TearCache { cache, .. }
            | FaultKind::NoisyCache { cache }
            | FaultKind::GarbleCache { cache } => Some(cache),
            _ => None,
        }
    }

    /// The node that it concerns.
    pub fn node(self) -> Option<usize> {
        match self {
            FaultKind::KillNode { node } | FaultKind::TermNode { node } | FaultKind::PauseNode { node } => {
                Some(node)
            }
            _ => None,
        }
    }
}
