//! What is simulated of membership, all drawn from one seed.

use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use stonevane_audit::MembershipRules;

/// A second, in microseconds.
const S: u64 = 1_000_000;

/// Something that goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Wrong {
    /// A process is killed, and starts again at the fault's end.
    Kill {
        /// Which.
        member: usize,
    },
    /// A process is told to end, and starts again at the fault's end.
    Term {
        /// Which.
        member: usize,
    },
    /// A process stands still.
    Pause {
        /// Which.
        member: usize,
    },
    /// A process runs one part in ten of its time.
    Slow {
        /// Which.
        member: usize,
    },
    /// Datagrams from some to others are lost.
    Cut {
        /// From whom.
        from: Vec<usize>,
        /// To whom.
        to: Vec<usize>,
    },
    /// Datagrams are lost, doubled and late.
    Weather {
        /// Part lost.
        loss: f64,
        /// Part doubled.
        doubled: f64,
        /// The longest delay, microseconds.
        delay: u64,
    },
    /// Datagrams of nonsense, or of another fleet, come under a member's address.
    Flood {
        /// To whom.
        member: usize,
        /// How many a second.
        per_s: u64,
    },
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberFault {
    /// When it begins, microseconds.
    pub at: u64,
    /// For how long; `u64::MAX` divided by 2: for good.
    pub lasts: u64,
    /// What.
    pub what: Wrong,
}

/// A fleet of members and what goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberPlan {
    /// The seed of all else.
    pub seed: u64,
    /// Members; the last `strangers` of them never start.
    pub members: usize,
    /// Numbers of `peers` at which nobody ever starts.
    pub strangers: usize,
    /// Members start within this.
    pub starts: u64,
    /// Datagrams take up to this in fair weather.
    pub delay: u64,
    /// Part of them that is lost even then.
    pub loss: f64,
    /// Whether there is a key, and how many of the members speak only the first version.
    pub keyed: bool,
    /// Members that speak only the first version of datagrams.
    pub old: usize,
    /// Whether members heed their own health.
    pub heeds_health: bool,
    /// Faults.
    pub faults: Vec<MemberFault>,
    /// When it ends.
    pub length: u64,
    /// The rules' bounds in protocol periods: detection, accuracy, refutation, convergence.
    pub bounds: (u64, u64, u64, u64),
}

/// For good.
pub const FOR_GOOD: u64 = u64::MAX / 2;

/// Chances.
struct Draw(Rand64);

impl Draw {
    fn below(&mut self, count: usize) -> usize {
        self.0.rand_range(0..count.max(1) as u64) as usize
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        self.0.rand_range(from..to.max(from + 1))
    }

    fn chance(&mut self, part: f64) -> bool {
        self.0.rand_float() < part
    }
}

impl MemberPlan {
    /// The plan of a seed.
    pub fn draw(seed: u64) -> MemberPlan {
        let mut draw = Draw(Rand64::new(u128::from(seed) << 8 | 0x5e));
        let members = match draw.below(20) {
            0..8 => 3 + draw.below(4),
            8..17 => 6 + draw.below(11),
            _ => 16 + draw.below(33),
        };
        Self::of(seed, members, &mut draw)
    }

    /// The plan of a seed for so many members.
    pub fn sized(seed: u64, members: usize) -> MemberPlan {
        Self::of(seed, members, &mut Draw(Rand64::new(u128::from(seed) << 8 | 0x5f)))
    }

    fn of(seed: u64, members: usize, draw: &mut Draw) -> MemberPlan {
        let strangers = usize::from(members > 4 && draw.chance(0.2));
        let there = members - strangers;
        let converge = 25 + members as u64 / 12;
        let mut plan = MemberPlan {
            seed,
            members,
            strangers,
            starts: draw.between(S / 10, 4 * S),
            delay: draw.between(1_000, 30_000),
            loss: [0.0, 0.02, 0.1, 0.1][draw.below(4)],
            keyed: draw.chance(0.3),
            old: if draw.chance(0.2) { draw.below(there + 1) } else { 0 },
            heeds_health: true,
            faults: Vec::new(),
            length: 0,
            bounds: (0, 0, 0, converge),
        };
        // Swarm: each seed has some kinds of faults and not others.
        let kinds: Vec<usize> = (0..10).filter(|_| draw.chance(0.35)).collect();
        let calm = 12 * S;
        for kind in kinds {
            for _ in 0..=draw.below(2) {
                let at = calm + draw.between(0, 20 * S);
                let lasts = draw.between(2 * S, 30 * S);
                let one = draw.below(there);
                let mut add = |at, lasts, what| plan.faults.push(MemberFault { at, lasts, what });
                match kind {
                    0 => {
                        add(at, if draw.chance(0.4) { FOR_GOOD } else { lasts }, Wrong::Kill { member: one });
                    }
                    // So quick that nobody noticed.
                    1 => add(at, draw.between(1_000, S / 2), Wrong::Kill { member: one }),
                    2 => add(at, lasts, Wrong::Term { member: one }),
                    3 => add(at, draw.between(S, 60 * S), Wrong::Pause { member: one }),
                    4 => add(at, lasts, Wrong::Slow { member: one }),
                    5 => {
                        let ring: Vec<usize> = (0..3).map(|by| (one + by) % there).collect();
                        let (from, to) = match draw.below(4) {
                            0 => (vec![one], vec![(one + 1 + draw.below(there - 1)) % there]),
                            1 => (vec![one], (0..there).filter(|m| *m != one).collect()),
                            2 => ((0..there).filter(|m| *m != one).collect(), vec![one]),
                            _ => {
                                add(at, lasts, Wrong::Cut { from: vec![ring[1]], to: vec![ring[2]] });
                                add(at, lasts, Wrong::Cut { from: vec![ring[2]], to: vec![ring[0]] });
                                (vec![ring[0]], vec![ring[1]])
                            }
                        };
                        add(at, lasts, Wrong::Cut { from, to });
                    }
                    6 => {
                        let split = 1 + draw.below(there - 1);
                        let (one, other): (Vec<_>, Vec<_>) = (0..there).partition(|member| *member < split);
                        add(at, lasts, Wrong::Cut { from: one.clone(), to: other.clone() });
                        add(at, lasts, Wrong::Cut { from: other, to: one });
                        if draw.chance(0.5) {
                            // A third restarts at the moment of the heal.
                            (0..there)
                                .step_by(3)
                                .for_each(|member| add(at + lasts, S, Wrong::Kill { member }));
                        }
                    }
                    7 => {
                        let delay = if draw.chance(0.15) { 60 * S } else { draw.between(10_000, 2 * S) };
                        let mild = draw.chance(0.4);
                        if mild {
                            let doubled = draw.below(4) as f64 / 10.0;
                            add(at, lasts, Wrong::Weather { loss: 0.1, doubled, delay: 50_000 });
                            continue;
                        }
                        let (loss, doubled) = (draw.below(6) as f64 / 10.0, draw.below(4) as f64 / 10.0);
                        add(at, lasts, Wrong::Weather { loss, doubled, delay });
                    }
                    8 => {
                        let back = if draw.chance(0.5) { FOR_GOOD } else { lasts };
                        for member in (0..there).step_by(3) {
                            add(at + draw.between(0, S), back, Wrong::Kill { member });
                        }
                    }
                    _ => add(at, lasts, Wrong::Flood { member: one, per_s: 200 }),
                }
            }
        }
        plan.faults.sort_by_key(|fault| fault.at);
        plan.settle();
        plan
    }

    /// A plan to measure by: so many members, a part of them slow and a part of all datagrams lost throughout, one killed
    /// in each stretch of 30 s after the first.
    pub fn measured(seed: u64, members: usize, loss: f64, slow: f64, length: u64) -> MemberPlan {
        let mut faults: Vec<MemberFault> = (0..(members as f64 * slow) as usize)
            .map(|member| MemberFault { at: 10 * S, lasts: FOR_GOOD, what: Wrong::Slow { member } })
            .collect();
        let kills = (20 * S..length.saturating_sub(20 * S)).step_by(30 * S as usize).enumerate();
        let gone = |turn: usize| members - 1 - turn % (members / 2).max(1);
        let kill = |(turn, at)| MemberFault { at, lasts: 25 * S, what: Wrong::Kill { member: gone(turn) } };
        faults.extend(kills.map(kill));
        faults.sort_by_key(|fault| fault.at);
        let bounds = (10_000, 15, 10_000, 10_000);
        MemberPlan {
            seed,
            members,
            strangers: 0,
            starts: 2 * S,
            delay: 10_000,
            loss,
            keyed: false,
            old: 0,
            heeds_health: true,
            faults,
            length,
            bounds,
        }
    }

    /// Sets the length and the bounds to what the faults ask for.
    pub fn settle(&mut self) {
        let ends =
            |fault: &MemberFault| if fault.lasts >= FOR_GOOD { fault.at } else { fault.at + fault.lasts };
        let last = self.faults.iter().map(ends).max().unwrap_or(10 * S).max(10 * S);
        let weather = self.faults.iter().map(|fault| match &fault.what {
            // A member that loses half of its datagrams, or gets them late, doubts itself, and is slower for it.
            Wrong::Weather { loss, delay, .. } if *loss > 0.35 || *delay > S / 2 => 8,
            Wrong::Weather { loss, .. } if *loss > 0.15 => 3,
            Wrong::Weather { .. } | Wrong::Cut { .. } | Wrong::Slow { .. } => 2,
            _ => 1,
        });
        let doubts = weather.max().unwrap_or(1);
        // Each doubts itself the more the more of its probes go to members that are gone at once.
        let gone =
            self.faults.iter().filter(|fault| !matches!(fault.what, Wrong::Flood { .. })).count() as u64;
        let doubts = doubts.max(1 + gone.min(24) / 3);
        let spread = (self.members as f64).log2().ceil() as u64;
        self.bounds.0 = (12 + spread) * doubts;
        self.bounds.1 = (10 + spread) * doubts.min(4);
        self.bounds.2 = (10 + spread) * doubts.min(4);
        self.bounds.3 = 25 + self.members as u64 / 12 + 4 * doubts;
        self.length = last + (self.bounds.3 + 8) * S;
    }

    /// The bounds as the judge takes them.
    pub fn rules(&self) -> MembershipRules {
        MembershipRules {
            members: self.members,
            detect_us: self.bounds.0 * S,
            accuse_us: self.bounds.1 * S,
            refute_us: self.bounds.2 * S,
            converge_us: self.bounds.3 * S,
        }
    }

    /// As a file holds it.
    pub fn text(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Reads a plan.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<MemberPlan, String> {
        let plan: MemberPlan = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let named = |what: &Wrong| match what {
            Wrong::Kill { member } | Wrong::Term { member } | Wrong::Pause { member } => vec![*member],
            Wrong::Slow { member } | Wrong::Flood { member, .. } => vec![*member],
            Wrong::Cut { from, to } => from.iter().chain(to).copied().collect(),
            Wrong::Weather { .. } => Vec::new(),
        };
        let there = plan.members.saturating_sub(plan.strangers);
        if !(1..=2_000).contains(&plan.members) || there == 0 || plan.length > 3_600 * S {
            return Err("1 to 2000 members, one of them at least no stranger, and an hour at most".into());
        }
        match plan.faults.iter().flat_map(|fault| named(&fault.what)).find(|member| *member >= there) {
            Some(member) => Err(format!("a fault names member {member}, and {there} start")),
            None => Ok(plan),
        }
    }
}
