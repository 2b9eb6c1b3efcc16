//! What is simulated of membership, drawn from a seed or read from a file.
//!
//! Plans are JSON files: each field keeps the key that it had in the first of them.

mod generate;

use serde::{Deserialize, Serialize};
use stonevane_audit::MembershipRules;

/// A second, in microseconds.
const SECOND_US: u64 = 1_000_000;
/// The duration of a fault that never ends.
pub const FOREVER_US: u64 = u64::MAX / 2;
/// A fleet has this many members at most, and a plan lasts this long, microseconds.
const MAX_MEMBERS: usize = 2_000;
const MAX_DURATION_US: u64 = 3_600 * SECOND_US;

/// A kind of fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum MemberFaultKind {
    /// A process is killed, and starts again at the fault's end.
    Kill {
        /// Which.
        member: usize,
    },
    /// A process is sent SIGTERM, and starts again at the fault's end.
    Term {
        /// Which.
        member: usize,
    },
    /// A process is paused.
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
    #[serde(rename = "cut")]
    Partition {
        /// From whom.
        from: Vec<usize>,
        /// To whom.
        to: Vec<usize>,
    },
    /// Datagrams are lost, duplicated and late.
    #[serde(rename = "weather")]
    NetworkConditions {
        /// Share lost.
        loss: f64,
        /// Share duplicated.
        #[serde(rename = "doubled")]
        duplicated: f64,
        /// The longest delay, microseconds.
        #[serde(rename = "delay")]
        delay_us: u64,
    },
    /// Random bytes come under a member's address.
    Flood {
        /// To whom.
        member: usize,
        /// How many datagrams a second.
        per_s: u64,
    },
}

impl MemberFaultKind {
    /// The members that it names.
    fn members(&self) -> Vec<usize> {
        match self {
            MemberFaultKind::Kill { member }
            | MemberFaultKind::Term { member }
            | MemberFaultKind::Pause { member }
            | MemberFaultKind::Slow { member }
            | MemberFaultKind::Flood { member, .. } => vec![*member],
            MemberFaultKind::Partition { from, to } => from.iter().chain(to).copied().collect(),
            MemberFaultKind::NetworkConditions { .. } => Vec::new(),
        }
    }

    /// How many times slower members detect and refute while it lasts: one that loses half of its datagrams, or gets
    /// them late, doubts its own health.
    fn slowdown(&self) -> u64 {
        match self {
            MemberFaultKind::NetworkConditions { loss, delay_us, .. }
                if *loss > 0.35 || *delay_us > SECOND_US / 2 =>
            {
                8
            }
            MemberFaultKind::NetworkConditions { loss, .. } if *loss > 0.15 => 3,
            MemberFaultKind::NetworkConditions { .. }
            | MemberFaultKind::Partition { .. }
            | MemberFaultKind::Slow { .. } => 2,
            _ => 1,
        }
    }
}

/// A fault, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberFault {
    /// When it begins, microseconds.
    #[serde(rename = "at")]
    pub start_us: u64,
    /// For how long, microseconds; `u64::MAX` divided by 2: forever.
    #[serde(rename = "lasts")]
    pub duration_us: u64,
    /// What it is.
    #[serde(rename = "what")]
    pub kind: MemberFaultKind,
}

impl MemberFault {
    /// When it ends, where it does; else when it began.
    fn last_change_us(&self) -> u64 {
        if self.duration_us >= FOREVER_US { self.start_us } else { self.start_us + self.duration_us }
    }
}

/// The rules' bounds, in protocol periods.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64, u64)", into = "(u64, u64, u64, u64)")]
pub struct Bounds {
    /// Until a member that is gone is not alive in a view.
    pub detection: u64,
    /// How long a healthy member may be dead in a view.
    pub accuracy: u64,
    /// How long a healthy member may be suspected.
    pub refutation: u64,
    /// Until views are right after the last fault.
    pub convergence: u64,
}

impl From<(u64, u64, u64, u64)> for Bounds {
    fn from((detection, accuracy, refutation, convergence): (u64, u64, u64, u64)) -> Bounds {
        Bounds { detection, accuracy, refutation, convergence }
    }
}

impl From<Bounds> for (u64, u64, u64, u64) {
    fn from(bounds: Bounds) -> (u64, u64, u64, u64) {
        (bounds.detection, bounds.accuracy, bounds.refutation, bounds.convergence)
    }
}

/// A fleet of members and its faults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberPlan {
    /// The seed of all random numbers within the run.
    pub seed: u64,
    /// Members; the last of them, so many as are unknown peers, never start.
    pub members: usize,
    /// Members that never start.
    #[serde(rename = "strangers")]
    pub unknown_peers: usize,
    /// Members start within this, microseconds.
    #[serde(rename = "starts")]
    pub start_window_us: u64,
    /// Datagrams take up to this in fair conditions, microseconds.
    #[serde(rename = "delay")]
    pub delay_us: u64,
    /// Share of them that is lost even then.
    pub loss: f64,
    /// Whether datagrams are authenticated with a key.
    #[serde(rename = "keyed")]
    pub has_key: bool,
    /// Members that speak only the first version of datagrams.
    #[serde(rename = "old")]
    pub first_version_members: usize,
    /// Whether members heed their own health.
    pub heeds_health: bool,
    /// The faults, in the order of their beginnings.
    pub faults: Vec<MemberFault>,
    /// When it ends, microseconds.
    #[serde(rename = "length")]
    pub duration_us: u64,
    /// The rules' bounds.
    pub bounds: Bounds,
}

/// Why a plan can't be played.
#[derive(Debug, thiserror::Error)]
pub enum MemberPlanError {
    /// It is no JSON, or lacks a field or has one too many.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// Its members or its duration.
    #[error("1 to 2000 members, one of them at least no stranger, and an hour at most")]
    OutOfRange,
    /// A fault's target.
    #[error("a fault names member {member}, and {starting} start")]
    NoSuchMember {
        /// Whom it names.
        member: usize,
        /// How many start.
        starting: usize,
    },
}

impl MemberPlan {
    /// Members that start.
    pub fn starting_members(&self) -> usize {
        self.members.saturating_sub(self.unknown_peers)
    }

    /// Sets the duration and the bounds to what the faults ask for.
    pub fn settle(&mut self) {
        let first_moment = 10 * SECOND_US;
        let last_change = self.faults.iter().map(MemberFault::last_change_us).max();
        let last_change = last_change.unwrap_or(first_moment).max(first_moment);
        let slowdown = self.faults.iter().map(|fault| fault.kind.slowdown()).max().unwrap_or(1);
        // A member doubts its health the more the more of its probes go to members that are gone at once.
        let is_flood = |fault: &&MemberFault| matches!(fault.kind, MemberFaultKind::Flood { .. });
        let disturbing = (self.faults.len() - self.faults.iter().filter(is_flood).count()) as u64;
        let slowdown = slowdown.max(1 + disturbing.min(24) / 3);
        let spread = (self.members as f64).log2().ceil() as u64;
        self.bounds = Bounds {
            detection: (12 + spread) * slowdown,
            accuracy: (10 + spread) * slowdown.min(4),
            refutation: (10 + spread) * slowdown.min(4),
            convergence: 25 + self.members as u64 / 12 + 4 * slowdown,
        };
        self.duration_us = last_change + (self.bounds.convergence + 8) * SECOND_US;
    }

    /// The bounds as the rules take them.
    pub fn rules(&self) -> MembershipRules {
        MembershipRules {
            members: self.members,
            detect_us: self.bounds.detection * SECOND_US,
            accuse_us: self.bounds.accuracy * SECOND_US,
            refute_us: self.bounds.refutation * SECOND_US,
            converge_us: self.bounds.convergence * SECOND_US,
        }
    }

    /// The plan as a file holds it.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<MemberPlan, MemberPlanError> {
        let plan: MemberPlan = serde_json::from_str(text)?;
        let starting = plan.starting_members();
        let is_possible = (1..=MAX_MEMBERS).contains(&plan.members) && starting > 0;
        if !is_possible || plan.duration_us > MAX_DURATION_US {
            return Err(MemberPlanError::OutOfRange);
        }
        let mut named = plan.faults.iter().flat_map(|fault| fault.kind.members());
        match named.find(|member| *member >= starting) {
            Some(member) => Err(MemberPlanError::NoSuchMember { member, starting }),
            None => Ok(plan),
        }
    }
}
