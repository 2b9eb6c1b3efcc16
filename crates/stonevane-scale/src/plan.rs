//! Plan of a run: the parameters of a fleet of one size, and the random choices drawn from its seed.

use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use stonevane_config::ConfigError;
use stonevane_config::operator::Operator;
use stonevane_policy::settings::{self, Deployment, SettingsError};

use crate::Micros;
use crate::layout::{Layout, LayoutError};

/// Purpose of a random number. Each purpose has its own random stream, so that the numbers drawn for one
/// don't depend on how many are drawn for another.
#[derive(Debug, Clone, Copy)]
enum Purpose {
    Machine = 1,
    Core = 2,
    Start = 3,
    Victim = 4,
}

/// Membership settings, as in the `[fleet]` table of the operator file.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// Protocol period: a node sends one probe in each.
    pub period: Micros,
    /// Probe timeout, after which indirect probes are requested from other members.
    pub answer: Micros,
    /// Number of members that send indirect probes after a direct probe has timed out.
    pub indirect: usize,
    /// Suspicion multiplier, see [`stonevane_membership::MemberConfig::suspicion_multiplier`].
    pub suspicion: f64,
    /// Whether timeouts are lengthened while the local health score is above 0.
    pub heeds_health: bool,
    /// Highest datagram version that is sent.
    pub speaks: u8,
}

impl Membership {
    /// Settings of an operator file that sets only the period; the others have their defaults.
    ///
    /// # Errors
    /// The period is out of the range that an operator file accepts.
    pub fn with_period(period: Duration) -> Result<Membership, PlanError> {
        let text = format!("version = 1\n[fleet]\nperiod_ms = {}\n", period.as_millis());
        let operator = Operator::parse(&text).map_err(PlanError::Operator)?;
        let fleet = operator.fleet.ok_or(PlanError::NoMembership)?;
        Ok(Membership {
            period: fleet.period.as_micros() as Micros,
            answer: fleet.probe_timeout.as_micros() as Micros,
            indirect: fleet.indirect,
            suspicion: fleet.suspicion,
            heeds_health: fleet.uses_local_health,
            speaks: fleet.max_version,
        })
    }
}

/// Random numbers of a membership state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineSeed {
    /// Identifies this instance of the node: no other instance is expected to draw the same number.
    pub nonce: u32,
    /// Seed of the state machine's random choices.
    pub seed: u64,
}

/// An error in a plan.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The fleet cannot be laid out.
    #[error("{0}")]
    Layout(#[from] LayoutError),
    /// A membership setting is out of the range that an operator file accepts.
    #[error("{}", join(.0))]
    Operator(Vec<ConfigError>),
    /// The operator file has no membership settings.
    #[error("the operator file has no [fleet] table")]
    NoMembership,
    /// The platform's settings are invalid.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

fn join(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Parameters of the run of a fleet of one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Number of stub nodes.
    pub nodes: u32,
    /// Number of regions, each a contiguous block of node numbers.
    pub regions: u32,
    /// Whether each region is its own membership domain.
    pub domain_per_region: bool,
    /// Number of worker processes.
    pub workers: u32,
    /// Seed of every random choice.
    pub seed: u64,
    /// Number of cache servers in discovery's list, at most 65,536.
    pub caches: u32,
    /// Membership settings of all nodes.
    pub membership: Membership,
    /// Length of the window in which the cost of the fleet at rest is measured.
    pub window: Duration,
    /// Time limit of each phase: convergence, rest, detection of a death.
    pub phase: Duration,
}

impl Plan {
    /// Assignment of the nodes to workers, regions and membership domains.
    ///
    /// # Errors
    /// The fleet cannot be laid out.
    pub fn layout(&self) -> Result<Layout, LayoutError> {
        Layout::new(self.nodes, self.regions, self.workers, self.domain_per_region)
    }

    fn random(&self, purpose: Purpose, number: u32) -> Rand64 {
        let stream = (purpose as u128) << 96 | u128::from(number) << 64;
        Rand64::new(stream | u128::from(self.seed))
    }

    /// Random numbers of a node's membership state machine.
    pub fn machine_seed(&self, number: u32) -> MachineSeed {
        let mut random = self.random(Purpose::Machine, number);
        let nonce = random.rand_u64() as u32;
        MachineSeed { nonce, seed: random.rand_u64() }
    }

    /// Seed of a node's core.
    pub fn core_seed(&self, number: u32) -> u64 {
        self.random(Purpose::Core, number).rand_u64()
    }

    /// Delay of a node's start after the start of the fleet: less than one period, so that the nodes' periods
    /// are not in phase.
    pub fn start_delay(&self, number: u32) -> Micros {
        self.random(Purpose::Start, number).rand_range(0..self.membership.period.max(1))
    }

    /// Number of the node that is killed.
    pub fn victim(&self) -> u32 {
        self.random(Purpose::Victim, 0).rand_range(0..u64::from(self.nodes.max(1))) as u32
    }

    /// Settings of a node, as the platform would write them: all nodes call discovery, and there is one kind
    /// of cache server.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn deployment(&self, number: u32) -> Result<Deployment, PlanError> {
        let settings = serde_json::json!({
            "balancers": self.nodes, "me": number, "zones": ["z"], "machineTypes": ["cache", "origin"],
            "classes": [{"name": "read", "goalTimeUs": 250_000, "deadlineUs": 1_000_000, "effect": "pure"}],
            "realms": [{"name": "all", "quotaPerS": 100}],
            "discovery": "ask",
            "specifics": {"mode": "aside", "originKind": 1},
            "limits": {"peers": true, "mayCancel": true},
            "guarantees": {"askWithinUs": 6_000_000, "drainGraceUs": 500_000},
            "periodUs": 2_000,
        });
        Ok(settings::read(settings.to_string().as_bytes())?)
    }

    /// Address of a cache server in discovery's list. Nothing listens there: without clients no request is
    /// sent.
    pub fn cache_address(&self, cache: u32) -> SocketAddr {
        let [high, low] = (cache as u16).to_be_bytes();
        SocketAddr::from(([127, 1, high, low], 6_379))
    }
}
