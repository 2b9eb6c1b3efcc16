//! Simulation plans: the fleet, its load and its faults, drawn from a seed or read from a JSON file.
//!
//! The keys of the file format are stable: `serde(rename)` keeps the key of a renamed field.

mod generate;

use serde::{Deserialize, Serialize};

/// A kind of fault, with its target. Histories and the command line show its `Debug` form.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum FaultKind {
    /// A cache is killed and restarts cold at the fault's end.
    KillCache {
        /// Index of the cache, from 0.
        cache: usize,
    },
    /// A cache's process is replaced by a cold one at the same address; discovery registers the replacement
    /// late.
    ReplaceCache {
        /// Index of the cache, from 0.
        cache: usize,
    },
    /// A cache's process hangs: it accepts connections, but reads no request and sends no answer.
    SilentCache {
        /// Index of the cache, from 0.
        cache: usize,
    },
    /// A cache's machine is unreachable: no request is answered and no connection is established.
    VanishCache {
        /// Index of the cache, from 0.
        cache: usize,
    },
    /// Discovery lists a cache as draining; at the fault's end it lists the cache as active again.
    DrainCache {
        /// Index of the cache, from 0.
        cache: usize,
    },
    /// A cache closes connections in the middle of an answer.
    TearCache {
        /// Index of the cache, from 0.
        cache: usize,
        /// Interval, in answers: 1 for each answer, 2 for each second one.
        every: u64,
    },
    /// A cache sends extra bytes after each complete answer.
    NoisyCache {
        /// Index of the cache, from 0.
        cache: usize,
    },
    /// A cache's answers are corrupted.
    GarbleCache {
        /// Index of the cache, from 0.
        cache: usize,
    },
    /// A node is killed, and restarts at the fault's end with the server list of the run's beginning.
    KillNode {
        /// Index of the node, from 0.
        node: usize,
    },
    /// A node is sent SIGTERM, and restarts after it has exited.
    TermNode {
        /// Index of the node, from 0.
        node: usize,
    },
    /// A node's process is paused: it handles no event and its timers don't run until the fault's end.
    PauseNode {
        /// Index of the node, from 0.
        node: usize,
    },
    /// The origin does no work until the fault's end.
    StallOrigin,
    /// The origin closes connections without an answer after it has run the request.
    TearOrigin {
        /// Interval, in answers: 1 for each answer, 2 for each second one.
        every: u64,
    },
    /// Calls to discovery fail, and open watches are cut off.
    NoDiscovery,
    /// Discovery sends a stale watch event after each new one.
    OldNews,
    /// Clients close their connections long before the request's deadline, with probability 0.5 for each
    /// attempt.
    Impatient,
    /// Clients connect and send nothing.
    Crowd {
        /// New connections per second.
        per_s: u64,
    },
    /// Clients connect and send a command of many long arguments, whose last one never comes.
    LongCommands {
        /// New connections per second.
        per_s: u64,
    },
    /// A cache's answers never end: arrays in arrays with long elements. Their connections stay open.
    EndlessCache {
        /// Index of the cache, from 0.
        cache: usize,
    },
    /// The origin's answers have a chunked body that never ends. Their connections stay open.
    EndlessOrigin,
    /// Servers send second copies of their answers to a node, and the node's process is held up in the middle of
    /// turns: after it has learnt which connections have input, and before it handles that input.
    HoldUpNode {
        /// Index of the node, from 0.
        node: usize,
    },
}

/// A fault, with its start and its duration.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Start of the fault in microseconds from the start of the run.
    #[serde(rename = "at")]
    pub start_us: u64,
    /// Time from the start of the fault to its end, microseconds.
    #[serde(rename = "lasts")]
    pub duration_us: u64,
    /// Kind of the fault, with the cache or node it targets.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// All inputs of a run: the same plan always gives the same run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of all random numbers within the run.
    pub seed: u64,
    /// Number of nodes, from 1 to 200.
    pub nodes: usize,
    /// Number of caches, from 1 to 200, without the one origin that each run has.
    pub caches: usize,
    /// Time during which clients send new requests, microseconds.
    #[serde(rename = "length")]
    pub load_duration_us: u64,
    /// Mean rate of new requests over all nodes, requests per second.
    #[serde(rename = "per_s")]
    pub requests_per_s: f64,
    /// Share of the requests that are edits with an idempotency key.
    #[serde(rename = "edits")]
    pub edit_share: f64,
    /// Share of the requests that are moves, which must not run twice.
    #[serde(rename = "moves")]
    pub move_share: f64,
    /// Number of distinct keys.
    pub keys: u64,
    /// Share of the keys that each cache holds at the beginning, 0 to 1.
    #[serde(rename = "warm")]
    pub cached_share: f64,
    /// Probability that a client pipelines a request on a connection with requests in flight, if there is
    /// such a connection.
    #[serde(rename = "pipelined")]
    pub pipelined_share: f64,
    /// Shortest and longest network delay, microseconds.
    #[serde(rename = "delay")]
    pub delay_us: (u64, u64),
    /// Share of writes that arrive in several pieces.
    #[serde(rename = "split")]
    pub fragmented_share: f64,
    /// Share of a node's writes whose last piece the node's machine takes up to 20 ms late, 0 to 1.
    #[serde(rename = "slow")]
    pub late_flush_share: f64,
    /// Drift of each node's clock, as a share: 0.01 runs 1 % fast, a negative value slow.
    #[serde(rename = "clocks")]
    pub clock_drifts: Vec<f64>,
    /// Socket limit of each node.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
    /// Memory limit of each node, megabytes.
    pub memory_mb: usize,
    /// Length of values, bytes.
    #[serde(rename = "value")]
    pub value_bytes: usize,
    /// Slots of the origin's connection table. The origin rejects requests on connections without a slot.
    /// Unlimited if the field is missing.
    #[serde(rename = "places", default, skip_serializing_if = "Option::is_none")]
    pub origin_connections: Option<usize>,
    /// Time that discovery takes for one call, microseconds; it handles one call at a time. No time if the
    /// field is missing.
    #[serde(rename = "call", default, skip_serializing_if = "Option::is_none")]
    pub discovery_call_us: Option<u64>,
    /// Faults, ordered by start time.
    pub faults: Vec<Fault>,
}

/// Reason why a plan is invalid.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The text is not JSON, or a field is missing or unknown.
    #[error("invalid plan: {0}")]
    Json(#[from] serde_json::Error),
    /// A field's value is out of range.
    #[error("`{field}` is {value}, but must be from {least} to {most}")]
    OutOfRange {
        /// Key of the field in the plan file.
        field: &'static str,
        /// Value of the field in the plan file.
        value: f64,
        /// The least accepted value.
        least: f64,
        /// The greatest accepted value.
        most: f64,
    },
    /// A clock's drift is out of range, or the shortest delay exceeds the longest.
    #[error("each of `clocks` must be from -0.5 to 0.5, and `delay` must hold the shortest delay first")]
    ClocksOrDelay,
    /// A fault's target doesn't exist.
    #[error("fault {number} has a target beyond the plan's `caches` or `nodes`: {kind:?}")]
    NoSuchTarget {
        /// The fault's number, from 1.
        number: usize,
        /// Kind and target of the fault.
        kind: FaultKind,
    },
}

/// A field of a plan, by its key, and its accepted range.
struct FieldRange {
    field: &'static str,
    value: f64,
    least: f64,
    most: f64,
}

/// Maximum clock drift in either direction, as a share.
const MAX_CLOCK_DRIFT: f64 = 0.5;

impl Plan {
    /// Returns the end of the last fault in microseconds of the run; 0 without faults.
    pub fn last_fault_end_us(&self) -> u64 {
        self.faults.iter().map(|fault| fault.start_us + fault.duration_us).max().unwrap_or(0)
    }

    /// Formats the plan as JSON, which [`Plan::parse`] reads.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Parses the text of a plan file.
    ///
    /// # Errors
    /// Returns the first invalid field or fault; for invalid JSON, the error names its line.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = serde_json::from_str(text)?;
        for FieldRange { field, value, least, most } in plan.ranges() {
            if !(least..=most).contains(&value) {
                return Err(PlanError::OutOfRange { field, value, least, most });
            }
        }
        let is_out_of_range = |drift: &f64| !(-MAX_CLOCK_DRIFT..=MAX_CLOCK_DRIFT).contains(drift);
        if plan.clock_drifts.iter().any(is_out_of_range) || plan.delay_us.0 > plan.delay_us.1 {
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

    /// Returns the plan's fields that have a limited range, with their values and ranges.
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
    /// Returns the index of the target if it is a cache.
    pub fn cache(self) -> Option<usize> {
        match self {
            FaultKind::KillCache { cache }
            | FaultKind::ReplaceCache { cache }
            | FaultKind::SilentCache { cache }
            | FaultKind::VanishCache { cache }
            | FaultKind::DrainCache { cache }
            | FaultKind::TearCache { cache, .. }
            | FaultKind::NoisyCache { cache }
            | FaultKind::GarbleCache { cache }
            | FaultKind::EndlessCache { cache } => Some(cache),
            _ => None,
        }
    }

    /// Returns the index of the target if it is a node.
    pub fn node(self) -> Option<usize> {
        match self {
            FaultKind::KillNode { node } | FaultKind::TermNode { node } | FaultKind::PauseNode { node } => {
                Some(node)
            }
            _ => None,
        }
    }
}
