//! What is simulated: the fleet, its load, and what goes wrong when, all drawn from one seed or read from a file.

use oorandom::Rand64;
use serde::{Deserialize, Serialize};

/// Something that goes wrong.
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
    /// A cache takes requests and says nothing.
    SilentCache {
        /// Which.
        cache: usize,
    },
    /// A cache's machine vanishes: nothing is answered, no connection comes up.
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
    /// A cache's answers are spoilt.
    GarbleCache {
        /// Which.
        cache: usize,
    },
    /// A node is killed, and starts again with the list it had at the begin of the run.
    KillNode {
        /// Which.
        node: usize,
    },
    /// A node is told to end, and starts again.
    TermNode {
        /// Which.
        node: usize,
    },
    /// A node's process stands still, with all its timers.
    PauseNode {
        /// Which.
        node: usize,
    },
    /// The origin does nothing.
    StallOrigin,
    /// The origin resets connections without an answer, of so many requests one; the request has run.
    TearOrigin {
        /// Of so many answers, one.
        every: u64,
    },
    /// Calls to discovery fail, and its watches break.
    NoDiscovery,
    /// Discovery tells changes in the wrong order now and then.
    OldNews,
    /// Clients give up long before their time is over.
    Impatient,
    /// Clients connect and say nothing, so many a second.
    Crowd {
        /// So many.
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

/// All of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Of all random numbers within the run.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Caches.
    pub caches: usize,
    /// How long clients ask, microseconds.
    #[serde(rename = "length")]
    pub load_duration_us: u64,
    /// Requests a second, over all nodes.
    #[serde(rename = "per_s")]
    pub requests_per_s: f64,
    /// Part of them that are keyed edits.
    #[serde(rename = "edits")]
    pub edit_share: f64,
    /// Part of them that must not run twice.
    #[serde(rename = "moves")]
    pub move_share: f64,
    /// Keys.
    pub keys: u64,
    /// Part of the keys that caches hold at the begin.
    #[serde(rename = "warm")]
    pub cached_share: f64,
    /// Requests that are sent before the answers to those before them on their connection have come, as a part.
    #[serde(rename = "pipelined")]
    pub pipelined_share: f64,
    /// The delay of the network, the shortest and the longest, microseconds.
    #[serde(rename = "delay")]
    pub delay_us: (u64, u64),
    /// Part of all writes that come in pieces.
    #[serde(rename = "split")]
    pub fragmented_share: f64,
    /// Part of all writes that the machine takes late.
    #[serde(rename = "slow")]
    pub late_flush_share: f64,
    /// How fast each node's clock runs, a part more or less than it should.
    #[serde(rename = "clocks")]
    pub clock_drifts: Vec<f64>,
    /// Sockets of a node.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
    /// Memory of a node, megabytes.
    pub memory_mb: usize,
    /// The longest value, bytes.
    #[serde(rename = "value")]
    pub value_bytes: usize,
    /// Connections that the origin holds: what comes on another is turned away; any number where it is left out.
    #[serde(rename = "places", default, skip_serializing_if = "Option::is_none")]
    pub origin_connections: Option<usize>,
    /// How long discovery, which works calls off in turn, takes for one, microseconds; any number at once where it is
    /// left out.
    #[serde(rename = "call", default, skip_serializing_if = "Option::is_none")]
    pub discovery_call_us: Option<u64>,
    /// What goes wrong, in the order of time.
    pub faults: Vec<Fault>,
}

/// From the last fault's end to the end of the load: time to be whole again.
const TAIL: u64 = 9_000_000;

impl Plan {
    /// The plan of a seed: each has a random subset of the faults switched on, with random rates (swarm testing;
    /// Groce et al., 2012).
    pub fn generate(seed: u64) -> Plan {
        let mut rng = Rand64::new(u128::from(seed) << 1 | 1);
        let nodes = rng.rand_range(1..5) as usize;
        let caches = rng.rand_range(2..9) as usize;
        let faulty = rng.rand_range(2_000_000..6_000_000);
        let pick = |rng: &mut Rand64, values: &[f64]| values[rng.rand_range(0..values.len() as u64) as usize];
        let mut plan = Plan {
            seed,
            nodes,
            caches,
            load_duration_us: 0,
            requests_per_s: 20.0 + 15.0 * caches as f64 * rng.rand_float(),
            edit_share: pick(&mut rng, &[0.0, 0.05, 0.2]),
            move_share: pick(&mut rng, &[0.0, 0.05, 0.2]),
            keys: rng.rand_range(5..400),
            cached_share: pick(&mut rng, &[0.0, 0.5, 1.0, 1.0]),
            pipelined_share: pick(&mut rng, &[0.0, 0.2, 0.6]),
            delay_us: (100, [300, 2_000, 10_000][rng.rand_range(0..3) as usize]),
            fragmented_share: pick(&mut rng, &[0.0, 0.1, 0.5]),
            late_flush_share: pick(&mut rng, &[0.0, 0.0, 0.05]),
            clock_drifts: (0..nodes).map(|_| pick(&mut rng, &[0.0, 0.0, 0.1, 0.01, -0.001])).collect(),
            max_sockets: [48, 96, 256][rng.rand_range(0..3) as usize],
            memory_mb: [16, 32, 64][rng.rand_range(0..3) as usize],
            value_bytes: [24, 24, 400, 9_000, 60_000][rng.rand_range(0..5) as usize],
            origin_connections: None,
            discovery_call_us: None,
            faults: Vec::new(),
        };
        if plan.requests_per_s / nodes as f64 > 60.0 {
            // Fewer places than that stay taken by those who are refused and come again (docs/ROADMAP.md).
            plan.max_sockets = plan.max_sockets.max(96);
        }
        if plan.value_bytes > 400 {
            // Long answers shorten what is read of a pipeline, so that what waits unread is late by the client's doing.
            plan.pipelined_share = 0.0;
        }
        let cache = |rng: &mut Rand64| rng.rand_range(0..caches as u64) as usize;
        let node = |rng: &mut Rand64| rng.rand_range(0..nodes as u64) as usize;
        for kind in 0..17u64 {
            if rng.rand_float() > 0.3 {
                continue;
            }
            for _ in 0..rng.rand_range(1..4) {
                let at = 500_000 + rng.rand_range(0..faulty);
                // Some drains outlast what a node may not have heard of.
                let long = kind == 4 && rng.rand_float() < 0.3;
                let lasts = if long { 9_000_000 } else { rng.rand_range(50_000..2_500_000) };
                let what = match kind {
                    0 => FaultKind::KillCache { cache: cache(&mut rng) },
                    1 => FaultKind::ReplaceCache { cache: cache(&mut rng) },
                    2 => FaultKind::SilentCache { cache: cache(&mut rng) },
                    3 => FaultKind::VanishCache { cache: cache(&mut rng) },
                    4 => FaultKind::DrainCache { cache: cache(&mut rng) },
                    5 => FaultKind::TearCache { cache: cache(&mut rng), every: rng.rand_range(1..8) },
                    6 => FaultKind::NoisyCache { cache: cache(&mut rng) },
                    7 => FaultKind::GarbleCache { cache: cache(&mut rng) },
                    8 => FaultKind::KillNode { node: node(&mut rng) },
                    9 => FaultKind::TermNode { node: node(&mut rng) },
                    10 => FaultKind::PauseNode { node: node(&mut rng) },
                    11 => FaultKind::StallOrigin,
                    12 => FaultKind::TearOrigin { every: rng.rand_range(1..6) },
                    13 => FaultKind::NoDiscovery,
                    14 => FaultKind::OldNews,
                    15 => FaultKind::Impatient,
                    _ => FaultKind::Crowd { per_s: rng.rand_range(20..200) },
                };
                plan.faults.push(Fault { start_us: at, duration_us: lasts, kind: what });
            }
        }
        plan.faults.sort_by_key(|fault| fault.start_us);
        plan.load_duration_us =
            plan.faults.iter().map(|fault| fault.start_us + fault.duration_us).max().unwrap_or(0) + TAIL;
        plan
    }

    /// A large fleet: 100 nodes before 60 caches, an origin whose table has fewer places than there are nodes, and a
    /// discovery that takes 8 s for a call of each. All watches break while six in ten nodes are killed and come back,
    /// a zone of caches is lost and returns cold, more than half of the others are replaced within 7 s, and of the rest
    /// some are bad; which is when is drawn.
    pub fn generate_large(seed: u64) -> Plan {
        let mut rng = Rand64::new(u128::from(seed) << 1);
        let (nodes, caches) = (100, 60);
        let mut faults = Vec::new();
        let mut add =
            |at: u64, lasts: u64, what| faults.push(Fault { start_us: at, duration_us: lasts, kind: what });
        let begin = 2_000_000 + rng.rand_range(0..1_000_000);
        add(begin, 300_000, FaultKind::NoDiscovery);
        let killed = begin + rng.rand_range(0..1_500_000);
        (0..60).for_each(|node| {
            add(killed, 1_000_000 + rng.rand_range(0..800_000), FaultKind::KillNode { node })
        });
        let lost = begin + rng.rand_range(0..3_000_000);
        (0..12).for_each(|cache| add(lost, 3_000_000, FaultKind::KillCache { cache }));
        for cache in 12..48 {
            add(begin + rng.rand_range(0..7_000_000), 1_000_000, FaultKind::ReplaceCache { cache });
        }
        add(begin, 6_000_000, FaultKind::SilentCache { cache: 48 });
        add(begin, 6_000_000, FaultKind::VanishCache { cache: 49 });
        add(begin, 6_000_000, FaultKind::TearCache { cache: 50, every: 2 });
        add(begin, 6_000_000, FaultKind::GarbleCache { cache: 51 });
        faults.sort_by_key(|fault| fault.start_us);
        let length = faults.iter().map(|fault| fault.start_us + fault.duration_us).max().unwrap_or(0) + TAIL;
        Plan {
            seed,
            nodes,
            caches,
            load_duration_us: length,
            requests_per_s: 400.0,
            edit_share: 0.05,
            move_share: 0.0,
            keys: 2_000,
            cached_share: 1.0,
            pipelined_share: 0.0,
            delay_us: (300, 2_000),
            fragmented_share: 0.0,
            late_flush_share: 0.0,
            clock_drifts: vec![0.0; nodes],
            max_sockets: 256,
            memory_mb: 32,
            value_bytes: 24,
            origin_connections: Some(40),
            discovery_call_us: Some(8_000_000 / nodes as u64),
            faults,
        }
    }

    /// When its last fault has ended.
    pub fn last_fault_end_us(&self) -> u64 {
        self.faults.iter().map(|fault| fault.start_us + fault.duration_us).max().unwrap_or(0)
    }

    /// As a file has it.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it, with its line.
    pub fn parse(text: &str) -> Result<Plan, String> {
        let plan: Plan = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let bounds = [
            ("nodes", plan.nodes as f64, 1.0, 200.0),
            ("caches", plan.caches as f64, 1.0, 200.0),
            ("length", plan.load_duration_us as f64, 1.0, 600e6),
            ("per_s", plan.requests_per_s, 0.1, 10_000.0),
            ("edits", plan.edit_share, 0.0, 1.0),
            ("moves", plan.move_share, 0.0, 1.0),
            ("keys", plan.keys as f64, 1.0, 1e6),
            ("warm", plan.cached_share, 0.0, 1.0),
            ("pipelined", plan.pipelined_share, 0.0, 1.0),
            ("split", plan.fragmented_share, 0.0, 1.0),
            ("slow", plan.late_flush_share, 0.0, 1.0),
            ("sockets", plan.max_sockets as f64, 32.0, 1024.0),
            ("memory_mb", plan.memory_mb as f64, 16.0, 4096.0),
            ("value", plan.value_bytes as f64, 1.0, 65_536.0),
            ("places", plan.origin_connections.unwrap_or(1) as f64, 1.0, 1e6),
            ("call", plan.discovery_call_us.unwrap_or(1) as f64, 1.0, 60e6),
            ("clocks", plan.clock_drifts.len() as f64, plan.nodes as f64, plan.nodes as f64),
        ];
        for (name, value, least, most) in bounds {
            if !(least..=most).contains(&value) {
                return Err(format!("`{name}` is {value}, and is to be from {least} to {most}"));
            }
        }
        if plan.clock_drifts.iter().any(|rate| !(-0.5..=0.5).contains(rate))
            || plan.delay_us.0 > plan.delay_us.1
        {
            return Err("`clocks` are to be from -0.5 to 0.5, and `delay` the shortest first".into());
        }
        for (at, fault) in plan.faults.iter().enumerate() {
            let (cache, node) = (fault.kind.cache(), fault.kind.node());
            if cache.is_some_and(|cache| cache >= plan.caches) || node.is_some_and(|node| node >= plan.nodes)
            {
                return Err(format!("fault {}: there is no such cache or node: {:?}", at + 1, fault.kind));
            }
        }
        Ok(plan)
    }
}

impl FaultKind {
    /// The cache that it strikes.
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

    /// The node that it strikes.
    pub fn node(self) -> Option<usize> {
        match self {
            FaultKind::KillNode { node } | FaultKind::TermNode { node } | FaultKind::PauseNode { node } => {
                Some(node)
            }
            _ => None,
        }
    }
}
