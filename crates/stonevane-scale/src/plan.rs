//! What is run: a fleet of one size. Every random choice comes from its seed.

use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use stonevane_config::ConfigError;
use stonevane_config::operator::Operator;
use stonevane_policy::settings::{self, Deployment, SettingsError};

use crate::Micros;
use crate::layout::{Layout, LayoutError};

/// What a random number is for: each purpose has a stream of its own.
#[derive(Debug, Clone, Copy)]
enum Purpose {
    Machine = 1,
    Core = 2,
    Start = 3,
    Victim = 4,
}

/// Membership, as the operator file's `[fleet]` sets it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// The protocol period.
    pub period: Micros,
    /// The probe timeout.
    pub answer: Micros,
    /// Members that are asked for indirect probes.
    pub indirect: usize,
    /// The suspicion multiplier.
    pub suspicion: f64,
    /// Whether local health lengthens timeouts.
    pub heeds_health: bool,
    /// The highest version of datagrams that is sent.
    pub speaks: u8,
}

impl Membership {
    /// The settings that an operator file has which names the period only.
    ///
    /// # Errors
    /// The operator file does not accept the period.
    pub fn with_period(period: Duration) -> Result<Membership, PlanError> {
        let text = format!("version = 1\n[fleet]\nperiod_ms = {}\n", period.as_millis());
        let operator = Operator::parse(&text).map_err(PlanError::Operator)?;
        let fleet = operator.fleet.ok_or(PlanError::NoMembership)?;
        Ok(Membership {
            period: fleet.period.as_micros() as Micros,
            answer: fleet.answer.as_micros() as Micros,
            indirect: fleet.indirect,
            suspicion: fleet.suspicion,
            heeds_health: fleet.heeds_health,
            speaks: fleet.speaks,
        })
    }
}

/// The random numbers of a membership machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineSeed {
    /// Tells this instance of the node apart from all others.
    pub nonce: u32,
    /// The seed of the machine's random choices.
    pub seed: u64,
}

/// Why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The fleet cannot be laid out.
    #[error("{0}")]
    Layout(#[from] LayoutError),
    /// The operator file does not accept the membership settings.
    #[error("{}", join(.0))]
    Operator(Vec<ConfigError>),
    /// The operator file has no membership settings.
    #[error("the operator file has no [fleet]")]
    NoMembership,
    /// The platform's settings cannot be used.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

fn join(faults: &[ConfigError]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// The run of a fleet of one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Stub nodes.
    pub nodes: u32,
    /// Regions: contiguous blocks of numbers.
    pub regions: u32,
    /// Whether each region is a membership domain of its own.
    pub domain_per_region: bool,
    /// Worker processes.
    pub workers: u32,
    /// The seed of every random choice.
    pub seed: u64,
    /// Cache servers in discovery's list.
    pub caches: u32,
    /// Membership.
    pub membership: Membership,
    /// How long rates are measured.
    pub window: Duration,
    /// How long each phase may take: to converge, to settle, to learn of a death.
    pub phase: Duration,
}

impl Plan {
    /// Where each node belongs.
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

    /// The random numbers of a node's membership machine.
    pub fn machine_seed(&self, number: u32) -> MachineSeed {
        let mut random = self.random(Purpose::Machine, number);
        let nonce = random.rand_u64() as u32;
        MachineSeed { nonce, seed: random.rand_u64() }
    }

    /// The seed of a node's core.
    pub fn core_seed(&self, number: u32) -> u64 {
        self.random(Purpose::Core, number).rand_u64()
    }

    /// How long after the others' beginning a node starts: within one period, so that they don't run in step.
    pub fn start_delay(&self, number: u32) -> Micros {
        self.random(Purpose::Start, number).rand_range(0..self.membership.period.max(1))
    }

    /// The node that is killed.
    pub fn victim(&self) -> u32 {
        self.random(Purpose::Victim, 0).rand_range(0..u64::from(self.nodes.max(1))) as u32
    }

    /// The settings of a node, as the platform would write them: discovery is asked by all nodes, one cache kind.
    ///
    /// # Errors
    /// The settings cannot be used.
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

    /// The address of a cache server of the list. Without clients, no request goes there.
    pub fn cache_address(&self, cache: u32) -> SocketAddr {
        let [high, low] = (cache as u16).to_be_bytes();
        SocketAddr::from(([127, 1, high, low], 6_379))
    }
}
