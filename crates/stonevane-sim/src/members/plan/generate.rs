//! Plans drawn from a seed. The order of draws must not change: it determines the plan of each seed.

use oorandom::Rand64;

use super::{Bounds, FOREVER_US, MemberFault, MemberFaultKind, MemberPlan, SECOND_US};

/// Faults start between `FIRST_FAULT_US` and `FIRST_FAULT_US + FAULT_SPAN_US` microseconds of the run.
const FIRST_FAULT_US: u64 = 12 * SECOND_US;
const FAULT_SPAN_US: u64 = 20 * SECOND_US;
/// Number of fault kinds; [`draw_faults`] numbers them.
const FAULT_KINDS: usize = 10;
/// Probability that a plan has faults of a given kind.
const KIND_PROBABILITY: f64 = 0.35;
/// Rate of a flood, datagrams per second.
const FLOOD_PER_S: u64 = 200;

/// The plan's random number generator.
struct Random(Rand64);

impl Random {
    fn below(&mut self, count: usize) -> usize {
        self.0.rand_range(0..count.max(1) as u64) as usize
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        self.0.rand_range(from..to.max(from + 1))
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.0.rand_float() < probability
    }

    /// Draws a multiple of 0.1 from 0 up to, but not including, `count` tenths.
    fn tenths(&mut self, count: usize) -> f64 {
        self.below(count) as f64 / 10.0
    }
}

impl MemberPlan {
    /// Draws the plan of a seed: 3 to 48 members.
    pub fn generate(seed: u64) -> MemberPlan {
        let mut random = Random(Rand64::new(u128::from(seed) << 8 | 0x5e));
        let members = match random.below(20) {
            0..8 => 3 + random.below(4),
            8..17 => 6 + random.below(11),
            _ => 16 + random.below(33),
        };
        Self::with_members(seed, members, &mut random)
    }

    /// Draws the plan of a seed for a given number of members.
    pub fn generate_sized(seed: u64, members: usize) -> MemberPlan {
        Self::with_members(seed, members, &mut Random(Rand64::new(u128::from(seed) << 8 | 0x5f)))
    }

    fn with_members(seed: u64, members: usize, random: &mut Random) -> MemberPlan {
        let unknown_peers = usize::from(members > 4 && random.chance(0.2));
        let starting = members - unknown_peers;
        let mut plan = MemberPlan {
            seed,
            members,
            unknown_peers,
            start_window_us: random.between(SECOND_US / 10, 4 * SECOND_US),
            delay_us: random.between(1_000, 30_000),
            loss: [0.0, 0.02, 0.1, 0.1][random.below(4)],
            has_key: random.chance(0.3),
            first_version_members: if random.chance(0.2) { random.below(starting + 1) } else { 0 },
            uses_local_health: true,
            faults: Vec::new(),
            duration_us: 0,
            bounds: Bounds { detection: 0, accuracy: 0, refutation: 0, convergence: 0 },
        };
        // Swarm testing: each seed has a random subset of the fault kinds.
        let kinds: Vec<usize> = (0..FAULT_KINDS).filter(|_| random.chance(KIND_PROBABILITY)).collect();
        for kind in kinds {
            for _ in 0..=random.below(2) {
                plan.faults.extend(draw_faults(kind, starting, random));
            }
        }
        plan.faults.sort_by_key(|fault| fault.start_us);
        plan.set_duration_and_bounds();
        plan
    }

    /// Returns a plan for measurements with a fixed set of faults. From 10 s on, the share `slow` of the
    /// members is slow; the share `loss` of all datagrams is lost throughout; from 20 s on, one member is
    /// killed every 30 s.
    pub fn for_measurement(seed: u64, members: usize, loss: f64, slow: f64, duration_us: u64) -> MemberPlan {
        let slow_members = (members as f64 * slow) as usize;
        let mut faults: Vec<MemberFault> = (0..slow_members)
            .map(|member| MemberFault {
                start_us: 10 * SECOND_US,
                duration_us: FOREVER_US,
                kind: MemberFaultKind::Slow { member },
            })
            .collect();
        let kills =
            (20 * SECOND_US..duration_us.saturating_sub(20 * SECOND_US)).step_by(30 * SECOND_US as usize);
        faults.extend(kills.enumerate().map(|(kill, start_us)| MemberFault {
            start_us,
            duration_us: 25 * SECOND_US,
            kind: MemberFaultKind::Kill { member: members - 1 - kill % (members / 2).max(1) },
        }));
        faults.sort_by_key(|fault| fault.start_us);
        MemberPlan {
            seed,
            members,
            unknown_peers: 0,
            start_window_us: 2 * SECOND_US,
            delay_us: 10_000,
            loss,
            has_key: false,
            first_version_members: 0,
            uses_local_health: true,
            faults,
            duration_us,
            // The run judges only false deaths, so the other bounds are too long to be exceeded.
            bounds: Bounds { detection: 10_000, accuracy: 15, refutation: 10_000, convergence: 10_000 },
        }
    }
}

/// Draws the faults of one kind, from 0 to [`FAULT_KINDS`] - 1. They start at the same time, or within a
/// second of each other.
fn draw_faults(kind: usize, starting: usize, random: &mut Random) -> Vec<MemberFault> {
    let start_us = FIRST_FAULT_US + random.between(0, FAULT_SPAN_US);
    let duration_us = random.between(2 * SECOND_US, 30 * SECOND_US);
    let member = random.below(starting);
    let fault = |duration_us, kind| vec![MemberFault { start_us, duration_us, kind }];
    match kind {
        0 => {
            let is_forever = random.chance(0.4);
            fault(if is_forever { FOREVER_US } else { duration_us }, MemberFaultKind::Kill { member })
        }
        // A restart so quick that no other member notices it.
        1 => fault(random.between(1_000, SECOND_US / 2), MemberFaultKind::Kill { member }),
        2 => fault(duration_us, MemberFaultKind::Term { member }),
        3 => fault(random.between(SECOND_US, 60 * SECOND_US), MemberFaultKind::Pause { member }),
        4 => fault(duration_us, MemberFaultKind::Slow { member }),
        5 => {
            let partitions = partial_partition(member, starting, random);
            partitions.into_iter().map(|kind| MemberFault { start_us, duration_us, kind }).collect()
        }
        6 => split(start_us, duration_us, starting, random),
        7 => fault(duration_us, network_conditions(random)),
        8 => mass_kill(start_us, duration_us, starting, random),
        _ => fault(duration_us, MemberFaultKind::Flood { member, per_s: FLOOD_PER_S }),
    }
}

/// Draws a partition, in which datagrams are lost from one member to another, from one member to all others,
/// from all others to one member, or in one direction around a ring of three members.
fn partial_partition(member: usize, starting: usize, random: &mut Random) -> Vec<MemberFaultKind> {
    let others: Vec<usize> = (0..starting).filter(|other| *other != member).collect();
    let partition = |from, to| MemberFaultKind::Partition { from, to };
    match random.below(4) {
        0 => vec![partition(vec![member], vec![(member + 1 + random.below(starting - 1)) % starting])],
        1 => vec![partition(vec![member], others)],
        2 => vec![partition(others, vec![member])],
        _ => {
            let ring: Vec<usize> = (0..3).map(|offset| (member + offset) % starting).collect();
            let hops = [(ring[1], ring[2]), (ring[2], ring[0]), (ring[0], ring[1])];
            hops.into_iter().map(|(from, to)| partition(vec![from], vec![to])).collect()
        }
    }
}

/// Partitions the fleet into two groups. With probability 0.5, a third of all members restart when the
/// partition ends.
fn split(start_us: u64, duration_us: u64, starting: usize, random: &mut Random) -> Vec<MemberFault> {
    let at = 1 + random.below(starting - 1);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..starting).partition(|member| *member < at);
    let partition = |from: &[usize], to: &[usize]| MemberFault {
        start_us,
        duration_us,
        kind: MemberFaultKind::Partition { from: from.to_vec(), to: to.to_vec() },
    };
    let mut faults = vec![partition(&one, &other), partition(&other, &one)];
    if random.chance(0.5) {
        faults.extend((0..starting).step_by(3).map(|member| MemberFault {
            start_us: start_us + duration_us,
            duration_us: SECOND_US,
            kind: MemberFaultKind::Kill { member },
        }));
    }
    faults
}

fn network_conditions(random: &mut Random) -> MemberFaultKind {
    let is_very_late = random.chance(0.15);
    let delay_us = if is_very_late { 60 * SECOND_US } else { random.between(10_000, 2 * SECOND_US) };
    let is_mild = random.chance(0.4);
    if is_mild {
        return MemberFaultKind::NetworkConditions {
            loss: 0.1,
            duplicated: random.tenths(4),
            delay_us: 50_000,
        };
    }
    let loss = random.tenths(6);
    MemberFaultKind::NetworkConditions { loss, duplicated: random.tenths(4), delay_us }
}

/// Kills a third of the fleet within a second.
fn mass_kill(start_us: u64, duration_us: u64, starting: usize, random: &mut Random) -> Vec<MemberFault> {
    let duration_us = if random.chance(0.5) { FOREVER_US } else { duration_us };
    let kill = |member| MemberFault {
        start_us: start_us + random.between(0, SECOND_US),
        duration_us,
        kind: MemberFaultKind::Kill { member },
    };
    (0..starting).step_by(3).map(kill).collect()
}
