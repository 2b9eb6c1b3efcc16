//! Plans drawn from a seed. The order of draws is part of a plan.

use oorandom::Rand64;

use super::{Bounds, FOREVER_US, MemberFault, MemberFaultKind, MemberPlan, SECOND_US};

/// The first fault begins at this moment at the earliest, and the last within this time of it, microseconds.
const FIRST_FAULT_US: u64 = 12 * SECOND_US;
const FAULT_SPAN_US: u64 = 20 * SECOND_US;
/// Kinds of faults, as they are numbered here.
const FAULT_KINDS: usize = 10;
/// A plan has a kind of faults with this probability.
const KIND_PROBABILITY: f64 = 0.35;
/// Datagrams a second of a flood.
const FLOOD_PER_S: u64 = 200;

/// Random draws.
struct Draw(Rand64);

impl Draw {
    fn below(&mut self, count: usize) -> usize {
        self.0.rand_range(0..count.max(1) as u64) as usize
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        self.0.rand_range(from..to.max(from + 1))
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.0.rand_float() < probability
    }

    fn tenths(&mut self, count: usize) -> f64 {
        self.below(count) as f64 / 10.0
    }
}

impl MemberPlan {
    /// The plan of a seed.
    pub fn generate(seed: u64) -> MemberPlan {
        let mut draw = Draw(Rand64::new(u128::from(seed) << 8 | 0x5e));
        let members = match draw.below(20) {
            0..8 => 3 + draw.below(4),
            8..17 => 6 + draw.below(11),
            _ => 16 + draw.below(33),
        };
        Self::with_members(seed, members, &mut draw)
    }

    /// The plan of a seed for so many members.
    pub fn generate_sized(seed: u64, members: usize) -> MemberPlan {
        Self::with_members(seed, members, &mut Draw(Rand64::new(u128::from(seed) << 8 | 0x5f)))
    }

    fn with_members(seed: u64, members: usize, draw: &mut Draw) -> MemberPlan {
        let unknown_peers = usize::from(members > 4 && draw.chance(0.2));
        let starting = members - unknown_peers;
        let mut plan = MemberPlan {
            seed,
            members,
            unknown_peers,
            start_window_us: draw.between(SECOND_US / 10, 4 * SECOND_US),
            delay_us: draw.between(1_000, 30_000),
            loss: [0.0, 0.02, 0.1, 0.1][draw.below(4)],
            has_key: draw.chance(0.3),
            first_version_members: if draw.chance(0.2) { draw.below(starting + 1) } else { 0 },
            heeds_health: true,
            faults: Vec::new(),
            duration_us: 0,
            bounds: Bounds { detection: 0, accuracy: 0, refutation: 0, convergence: 0 },
        };
        // Swarm testing: each seed has some kinds of faults and not others.
        let kinds: Vec<usize> = (0..FAULT_KINDS).filter(|_| draw.chance(KIND_PROBABILITY)).collect();
        for kind in kinds {
            for _ in 0..=draw.below(2) {
                plan.faults.extend(draw_faults(kind, starting, draw));
            }
        }
        plan.faults.sort_by_key(|fault| fault.start_us);
        plan.settle();
        plan
    }

    /// A plan to measure by: so many members, a share of them slow and a share of all datagrams lost throughout, one
    /// killed in each stretch of 30 s after the first.
    pub fn measured(seed: u64, members: usize, loss: f64, slow: f64, duration_us: u64) -> MemberPlan {
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
        faults.extend(kills.enumerate().map(|(turn, start_us)| MemberFault {
            start_us,
            duration_us: 25 * SECOND_US,
            kind: MemberFaultKind::Kill { member: members - 1 - turn % (members / 2).max(1) },
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
            heeds_health: true,
            faults,
            duration_us,
            // Accuracy alone is judged.
            bounds: Bounds { detection: 10_000, accuracy: 15, refutation: 10_000, convergence: 10_000 },
        }
    }
}

/// The faults of one kind that begin together, or nearly so.
fn draw_faults(kind: usize, starting: usize, draw: &mut Draw) -> Vec<MemberFault> {
    let start_us = FIRST_FAULT_US + draw.between(0, FAULT_SPAN_US);
    let duration_us = draw.between(2 * SECOND_US, 30 * SECOND_US);
    let member = draw.below(starting);
    let fault = |duration_us, kind| vec![MemberFault { start_us, duration_us, kind }];
    match kind {
        0 => {
            let is_forever = draw.chance(0.4);
            fault(if is_forever { FOREVER_US } else { duration_us }, MemberFaultKind::Kill { member })
        }
        // A restart so quick that nobody notices.
        1 => fault(draw.between(1_000, SECOND_US / 2), MemberFaultKind::Kill { member }),
        2 => fault(duration_us, MemberFaultKind::Term { member }),
        3 => fault(draw.between(SECOND_US, 60 * SECOND_US), MemberFaultKind::Pause { member }),
        4 => fault(duration_us, MemberFaultKind::Slow { member }),
        5 => {
            let partitions = partial_partition(member, starting, draw);
            partitions.into_iter().map(|kind| MemberFault { start_us, duration_us, kind }).collect()
        }
        6 => split(start_us, duration_us, starting, draw),
        7 => fault(duration_us, network_conditions(draw)),
        8 => mass_kill(start_us, duration_us, starting, draw),
        _ => fault(duration_us, MemberFaultKind::Flood { member, per_s: FLOOD_PER_S }),
    }
}

/// Datagrams from one member to another are lost, or all to it or from it, or those round a ring of three.
fn partial_partition(member: usize, starting: usize, draw: &mut Draw) -> Vec<MemberFaultKind> {
    let others: Vec<usize> = (0..starting).filter(|other| *other != member).collect();
    let partition = |from, to| MemberFaultKind::Partition { from, to };
    match draw.below(4) {
        0 => vec![partition(vec![member], vec![(member + 1 + draw.below(starting - 1)) % starting])],
        1 => vec![partition(vec![member], others)],
        2 => vec![partition(others, vec![member])],
        _ => {
            let ring: Vec<usize> = (0..3).map(|offset| (member + offset) % starting).collect();
            let hops = [(ring[1], ring[2]), (ring[2], ring[0]), (ring[0], ring[1])];
            hops.into_iter().map(|(from, to)| partition(vec![from], vec![to])).collect()
        }
    }
}

/// The fleet is split in two; in half of the cases a third of it restarts at the moment of the heal.
fn split(start_us: u64, duration_us: u64, starting: usize, draw: &mut Draw) -> Vec<MemberFault> {
    let at = 1 + draw.below(starting - 1);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..starting).partition(|member| *member < at);
    let partition = |from: &[usize], to: &[usize]| MemberFault {
        start_us,
        duration_us,
        kind: MemberFaultKind::Partition { from: from.to_vec(), to: to.to_vec() },
    };
    let mut faults = vec![partition(&one, &other), partition(&other, &one)];
    if draw.chance(0.5) {
        faults.extend((0..starting).step_by(3).map(|member| MemberFault {
            start_us: start_us + duration_us,
            duration_us: SECOND_US,
            kind: MemberFaultKind::Kill { member },
        }));
    }
    faults
}

fn network_conditions(draw: &mut Draw) -> MemberFaultKind {
    let is_very_late = draw.chance(0.15);
    let delay_us = if is_very_late { 60 * SECOND_US } else { draw.between(10_000, 2 * SECOND_US) };
    let is_mild = draw.chance(0.4);
    if is_mild {
        return MemberFaultKind::NetworkConditions {
            loss: 0.1,
            duplicated: draw.tenths(4),
            delay_us: 50_000,
        };
    }
    let loss = draw.tenths(6);
    MemberFaultKind::NetworkConditions { loss, duplicated: draw.tenths(4), delay_us }
}

/// A third of the fleet is killed within a second.
fn mass_kill(start_us: u64, duration_us: u64, starting: usize, draw: &mut Draw) -> Vec<MemberFault> {
    let duration_us = if draw.chance(0.5) { FOREVER_US } else { duration_us };
    let kill = |member| MemberFault {
        start_us: start_us + draw.between(0, SECOND_US),
        duration_us,
        kind: MemberFaultKind::Kill { member },
    };
    (0..starting).step_by(3).map(kill).collect()
}
