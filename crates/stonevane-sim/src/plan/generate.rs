//! Plans drawn from a seed. The order of draws must not change: it determines the plan of each seed.

use oorandom::Rand64;

use super::{Fault, FaultKind, Plan};

/// Time between the last fault's end and the end of the load, in which the fleet recovers, microseconds.
const RECOVERY_US: u64 = 9_000_000;
/// Earliest start of a fault, microseconds.
const FIRST_FAULT_US: u64 = 500_000;
/// Number of fault kinds; [`Plan::draw_fault`] numbers them.
const FAULT_KINDS: u64 = 21;
/// Number of [`FaultKind::DrainCache`].
const DRAIN: u64 = 4;
/// Probability that a plan has faults of a given kind.
const KIND_PROBABILITY: f64 = 0.3;
/// Duration of a long drain in microseconds, and the probability that a drain is long. A long drain lasts
/// longer than a node's server list may be out of date.
const LONG_DRAIN_US: u64 = 9_000_000;
const LONG_DRAIN_PROBABILITY: f64 = 0.3;
/// A node that receives more than `BUSY_NODE_REQUESTS_PER_S` gets at least `MIN_BUSY_NODE_SOCKETS`, because
/// the retries of rejected clients keep sockets in use.
const BUSY_NODE_REQUESTS_PER_S: f64 = 60.0;
const MIN_BUSY_NODE_SOCKETS: usize = 96;
/// Longest value of a plan in which requests are pipelined, bytes. With longer values a node reads less of a
/// pipeline at a time, so requests arrive late through their client's fault.
const MAX_PIPELINED_VALUE_BYTES: usize = 400;

fn pick<T: Copy>(rng: &mut Rand64, choices: &[T]) -> T {
    choices[rng.rand_range(0..choices.len() as u64) as usize]
}

fn index(rng: &mut Rand64, count: usize) -> usize {
    rng.rand_range(0..count as u64) as usize
}

impl Plan {
    /// Draws the plan of a seed. Each plan has a random subset of the fault kinds (swarm testing; Groce et
    /// al., 2012), with one to three faults of each kind.
    pub fn generate(seed: u64) -> Plan {
        let mut rng = Rand64::new(u128::from(seed) << 1 | 1);
        let nodes = rng.rand_range(1..5) as usize;
        let caches = rng.rand_range(2..9) as usize;
        let fault_span_us = rng.rand_range(2_000_000..6_000_000);
        let mut plan = Plan::without_faults(seed, nodes, caches, &mut rng);
        if plan.requests_per_s / nodes as f64 > BUSY_NODE_REQUESTS_PER_S {
            plan.max_sockets = plan.max_sockets.max(MIN_BUSY_NODE_SOCKETS);
        }
        if plan.value_bytes > MAX_PIPELINED_VALUE_BYTES {
            plan.pipelined_share = 0.0;
        }
        for kind in 0..FAULT_KINDS {
            if rng.rand_float() > KIND_PROBABILITY {
                continue;
            }
            for _ in 0..rng.rand_range(1..4) {
                let fault = plan.draw_fault(kind, fault_span_us, &mut rng);
                plan.faults.push(fault);
            }
        }
        plan.finish();
        plan
    }

    fn without_faults(seed: u64, nodes: usize, caches: usize, rng: &mut Rand64) -> Plan {
        Plan {
            seed,
            nodes,
            caches,
            load_duration_us: 0,
            requests_per_s: 20.0 + 15.0 * caches as f64 * rng.rand_float(),
            edit_share: pick(rng, &[0.0, 0.05, 0.2]),
            move_share: pick(rng, &[0.0, 0.05, 0.2]),
            keys: rng.rand_range(5..400),
            cached_share: pick(rng, &[0.0, 0.5, 1.0, 1.0]),
            pipelined_share: pick(rng, &[0.0, 0.2, 0.6]),
            delay_us: (100, pick(rng, &[300, 2_000, 10_000])),
            fragmented_share: pick(rng, &[0.0, 0.1, 0.5]),
            late_flush_share: pick(rng, &[0.0, 0.0, 0.05]),
            clock_drifts: (0..nodes).map(|_| pick(rng, &[0.0, 0.0, 0.1, 0.01, -0.001])).collect(),
            max_sockets: pick(rng, &[48, 96, 256]),
            memory_mb: pick(rng, &[16, 32, 64]),
            value_bytes: pick(rng, &[24, 24, 400, 9_000, 60_000]),
            origin_connections: None,
            discovery_call_us: None,
            faults: Vec::new(),
        }
    }

    fn draw_fault(&self, kind: u64, fault_span_us: u64, rng: &mut Rand64) -> Fault {
        let start_us = FIRST_FAULT_US + rng.rand_range(0..fault_span_us);
        let is_long = kind == DRAIN && rng.rand_float() < LONG_DRAIN_PROBABILITY;
        let duration_us = if is_long { LONG_DRAIN_US } else { rng.rand_range(50_000..2_500_000) };
        let (caches, nodes) = (self.caches, self.nodes);
        let kind = match kind {
            0 => FaultKind::KillCache { cache: index(rng, caches) },
            1 => FaultKind::ReplaceCache { cache: index(rng, caches) },
            2 => FaultKind::SilentCache { cache: index(rng, caches) },
            3 => FaultKind::VanishCache { cache: index(rng, caches) },
            DRAIN => FaultKind::DrainCache { cache: index(rng, caches) },
            5 => FaultKind::TearCache { cache: index(rng, caches), every: rng.rand_range(1..8) },
            6 => FaultKind::NoisyCache { cache: index(rng, caches) },
            7 => FaultKind::GarbleCache { cache: index(rng, caches) },
            8 => FaultKind::KillNode { node: index(rng, nodes) },
            9 => FaultKind::TermNode { node: index(rng, nodes) },
            10 => FaultKind::PauseNode { node: index(rng, nodes) },
            11 => FaultKind::StallOrigin,
            12 => FaultKind::TearOrigin { every: rng.rand_range(1..6) },
            13 => FaultKind::NoDiscovery,
            14 => FaultKind::OldNews,
            15 => FaultKind::Impatient,
            16 => FaultKind::Crowd { per_s: rng.rand_range(20..200) },
            17 => FaultKind::LongCommands { per_s: rng.rand_range(5..40) },
            18 => FaultKind::EndlessCache { cache: index(rng, caches) },
            19 => FaultKind::EndlessOrigin,
            _ => FaultKind::HoldUpNode { node: index(rng, nodes) },
        };
        Fault { start_us, duration_us, kind }
    }

    /// Sorts the faults by start time, and ends the load [`RECOVERY_US`] after the last fault's end.
    fn finish(&mut self) {
        self.faults.sort_by_key(|fault| fault.start_us);
        self.load_duration_us = self.last_fault_end_us() + RECOVERY_US;
    }

    /// Draws the plan of a large fleet: 100 nodes and 60 caches, an origin whose connection table has fewer
    /// slots than there are nodes, and a discovery service that takes 8 s to handle one call from every node.
    /// All watches are cut off while 60 nodes are killed and restart, 12 caches (a zone) are lost and return
    /// cold, 36 more caches are replaced within 7 s, and 4 of the remaining caches are faulty. The times of
    /// the faults are drawn from the seed.
    pub fn generate_large(seed: u64) -> Plan {
        let (nodes, caches) = (100, 60);
        let mut plan = Plan {
            seed,
            nodes,
            caches,
            load_duration_us: 0,
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
            faults: large_fleet_faults(&mut Rand64::new(u128::from(seed) << 1)),
        };
        plan.finish();
        plan
    }
}

fn large_fleet_faults(rng: &mut Rand64) -> Vec<Fault> {
    const FAULTY_US: u64 = 6_000_000;
    let mut faults = Vec::new();
    let mut add = |start_us, duration_us, kind| faults.push(Fault { start_us, duration_us, kind });
    let begin = 2_000_000 + rng.rand_range(0..1_000_000);
    add(begin, 300_000, FaultKind::NoDiscovery);
    let killed_at = begin + rng.rand_range(0..1_500_000);
    for node in 0..60 {
        add(killed_at, 1_000_000 + rng.rand_range(0..800_000), FaultKind::KillNode { node });
    }
    let lost_at = begin + rng.rand_range(0..3_000_000);
    for cache in 0..12 {
        add(lost_at, 3_000_000, FaultKind::KillCache { cache });
    }
    for cache in 12..48 {
        add(begin + rng.rand_range(0..7_000_000), 1_000_000, FaultKind::ReplaceCache { cache });
    }
    add(begin, FAULTY_US, FaultKind::SilentCache { cache: 48 });
    add(begin, FAULTY_US, FaultKind::VanishCache { cache: 49 });
    add(begin, FAULTY_US, FaultKind::TearCache { cache: 50, every: 2 });
    add(begin, FAULTY_US, FaultKind::GarbleCache { cache: 51 });
    faults
}
