//! Plans of membership simulations, drawn from a seed or read from a JSON file.
//!
//! The keys of the file format are stable: `serde(rename)` keeps the key of a renamed field.

mod generate;

use serde::{Deserialize, Serialize};
use stonevane_audit::MembershipRules;

/// Microseconds per second.
const SECOND_US: u64 = 1_000_000;
/// Duration of a fault that never ends, microseconds.
pub const FOREVER_US: u64 = u64::MAX / 2;
/// Upper limits of a plan: number of members, and duration in microseconds.
const MAX_MEMBERS: usize = 2_000;
const MAX_DURATION_US: u64 = 3_600 * SECOND_US;

/// A kind of fault, with its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum MemberFaultKind {
    /// A process is killed, and restarts at the fault's end.
    Kill {
        /// Index of the member, from 0.
        member: usize,
    },
    /// A process is sent SIGTERM, and restarts at the fault's end.
    Term {
        /// Index of the member, from 0.
        member: usize,
    },
    /// A process is paused: it reads no datagram and its timers don't run until the fault's end.
    Pause {
        /// Index of the member, from 0.
        member: usize,
    },
    /// A process runs for only a tenth of the time.
    Slow {
        /// Index of the member, from 0.
        member: usize,
    },
    /// Datagrams from the members in `from` to those in `to` are lost; datagrams in the other direction pass.
    #[serde(rename = "cut")]
    Partition {
        /// Indexes of the senders.
        from: Vec<usize>,
        /// Indexes of the receivers.
        to: Vec<usize>,
    },
    /// Datagrams between all members are lost, duplicated and delayed.
    #[serde(rename = "weather")]
    NetworkConditions {
        /// Share of datagrams that are lost, 0 to 1.
        loss: f64,
        /// Share of datagrams that are duplicated, 0 to 1.
        #[serde(rename = "doubled")]
        duplicated: f64,
        /// Longest added delay, microseconds.
        #[serde(rename = "delay")]
        delay_us: u64,
    },
    /// Datagrams of random bytes arrive at a member, with another member's address as their source.
    Flood {
        /// Index of the receiver, from 0.
        member: usize,
        /// Datagrams per second.
        per_s: u64,
    },
}

impl MemberFaultKind {
    /// Returns the indexes of the members that the fault targets.
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

    /// Returns the factor by which the bounds on detection and refutation grow during the fault, since a
    /// member that loses half of its datagrams, or receives them late, doubts its own health and lengthens
    /// its timeouts.
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

/// A fault, with its start and its duration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberFault {
    /// Start of the fault in microseconds from the start of the run.
    #[serde(rename = "at")]
    pub start_us: u64,
    /// Duration of the fault, microseconds; a fault of `u64::MAX / 2` or more never ends.
    #[serde(rename = "lasts")]
    pub duration_us: u64,
    /// Kind of the fault, with the members it targets.
    #[serde(rename = "what")]
    pub kind: MemberFaultKind,
}

impl MemberFault {
    /// Returns the end of the fault in microseconds of the run, or its start if it never ends.
    fn last_change_us(&self) -> u64 {
        if self.duration_us >= FOREVER_US { self.start_us } else { self.start_us + self.duration_us }
    }
}

/// Bounds that the auditor checks members' views against, in protocol periods of one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64, u64)", into = "(u64, u64, u64, u64)")]
pub struct Bounds {
    /// Longest time for which a view may show a member alive after its process has ended.
    pub detection: u64,
    /// Longest time for which a view may show a healthy member dead.
    pub accuracy: u64,
    /// Longest time for which a healthy member may stay suspected.
    pub refutation: u64,
    /// Longest time after the last fault until every view matches the state of the processes.
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

/// All inputs of a run: a fleet of members, its network and its faults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberPlan {
    /// The seed of all random numbers within the run.
    pub seed: u64,
    /// Number of members, from 1 to 2000. The count includes the unknown peers, which have the highest
    /// indexes.
    pub members: usize,
    /// Number of unknown peers: members that never start.
    #[serde(rename = "strangers")]
    pub unknown_peers: usize,
    /// Time from the start of the run within which all members start, microseconds.
    #[serde(rename = "starts")]
    pub start_window_us: u64,
    /// Longest network delay without the delay that faults add, microseconds.
    #[serde(rename = "delay")]
    pub delay_us: u64,
    /// Share of datagrams that are lost for other reasons than faults, 0 to 1.
    pub loss: f64,
    /// Whether datagrams are authenticated with a key.
    #[serde(rename = "keyed")]
    pub has_key: bool,
    /// Number of members, from index 0 on, that support only version 1 of the datagram format.
    #[serde(rename = "old")]
    pub first_version_members: usize,
    /// Whether members lengthen their timeouts by the Lifeguard extensions, such as the local health
    /// multiplier.
    #[serde(rename = "heeds_health")]
    pub uses_local_health: bool,
    /// Faults, ordered by start time.
    pub faults: Vec<MemberFault>,
    /// Duration of the run, microseconds; at most an hour.
    #[serde(rename = "length")]
    pub duration_us: u64,
    /// Bounds that the auditor checks the members' views against.
    pub bounds: Bounds,
}

/// Reason why a plan is invalid.
#[derive(Debug, thiserror::Error)]
pub enum MemberPlanError {
    /// The text is not JSON, or a field is missing or unknown.
    #[error("invalid plan: {0}")]
    Json(#[from] serde_json::Error),
    /// The number of members, the number of unknown peers or the duration is out of range.
    #[error(
        "`members` must be from 1 to 2000, `strangers` fewer than `members`, and `length` at most an hour \
         (3600000000 us)"
    )]
    OutOfRange,
    /// A fault's target never starts.
    #[error("a fault targets member {member}, but only members below {starting} start")]
    NoSuchMember {
        /// Index of the target.
        member: usize,
        /// Number of members that start.
        starting: usize,
    },
}

impl MemberPlan {
    /// Returns the number of members that start, which excludes the unknown peers.
    pub fn starting_members(&self) -> usize {
        self.members.saturating_sub(self.unknown_peers)
    }

    /// Sets the plan's duration and bounds to values that suit its faults.
    pub fn set_duration_and_bounds(&mut self) {
        let first_moment = 10 * SECOND_US;
        let last_change = self.faults.iter().map(MemberFault::last_change_us).max();
        let last_change = last_change.unwrap_or(first_moment).max(first_moment);
        let slowdown = self.faults.iter().map(|fault| fault.kind.slowdown()).max().unwrap_or(1);
        // If more members are gone at the same time, more probes fail, and members doubt their own health and
        // lengthen their timeouts.
        let is_flood = |fault: &&MemberFault| matches!(fault.kind, MemberFaultKind::Flood { .. });
        let disruptive_faults = (self.faults.len() - self.faults.iter().filter(is_flood).count()) as u64;
        let slowdown = slowdown.max(1 + disruptive_faults.min(24) / 3);
        let spread = (self.members as f64).log2().ceil() as u64;
        self.bounds = Bounds {
            detection: (12 + spread) * slowdown,
            accuracy: (10 + spread) * slowdown.min(4),
            refutation: (10 + spread) * slowdown.min(4),
            convergence: 25 + self.members as u64 / 12 + 4 * slowdown,
        };
        self.duration_us = last_change + (self.bounds.convergence + 8) * SECOND_US;
    }

    /// Returns the auditor's rules with these bounds.
    pub fn rules(&self) -> MembershipRules {
        MembershipRules {
            members: self.members,
            detection_limit_us: self.bounds.detection * SECOND_US,
            false_death_limit_us: self.bounds.accuracy * SECOND_US,
            refutation_limit_us: self.bounds.refutation * SECOND_US,
            convergence_limit_us: self.bounds.convergence * SECOND_US,
        }
    }

    /// Formats the plan as JSON, which [`MemberPlan::parse`] reads.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Parses the text of a plan file.
    ///
    /// # Errors
    /// Returns the first invalid field or fault.
    pub fn parse(text: &str) -> Result<MemberPlan, MemberPlanError> {
        let plan: MemberPlan = serde_json::from_str(text)?;
        let starting = plan.starting_members();
        let is_possible = (1..=MAX_MEMBERS).contains(&plan.members) && starting > 0;
        if !is_possible || plan.duration_us > MAX_DURATION_US {
            return Err(MemberPlanError::OutOfRange);
        }
        let mut targets = plan.faults.iter().flat_map(|fault| fault.kind.members());
        match targets.find(|member| *member >= starting) {
            Some(member) => Err(MemberPlanError::NoSuchMember { member, starting }),
            None => Ok(plan),
        }
    }
}
