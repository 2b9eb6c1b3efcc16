//! Roles that are measured, one module each.

pub mod discovery;
mod listing;
pub mod membership;
pub mod node;
pub mod node_state;
pub mod passage;
pub mod reload;
pub mod server_connections;
pub mod server_list;

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::limits::{self, TooMuchMemory};

/// How a metric value was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Basis {
    /// By running the daemon's code for every participant of that size.
    Measured,
    /// By running the daemon's code for some participants; a model stands for the others.
    Sampled,
    /// By arithmetic from the protocol or from other metrics of the same measurement, without running
    /// anything.
    Counted,
}

impl Basis {
    /// Returns the name of the basis in tables and CSV files.
    pub fn name(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::Sampled => "sampled",
            Basis::Counted => "counted",
        }
    }
}

/// Value of one metric of a role at a size.
#[derive(Debug, Clone, PartialEq)]
pub struct MetricValue {
    /// Name of the metric.
    pub metric: Cow<'static, str>,
    /// Unit of `value`.
    pub unit: Cow<'static, str>,
    /// How the value was obtained.
    pub basis: Basis,
    /// Value of the metric; NaN if the measured event did not occur in time.
    pub value: f64,
}

impl MetricValue {
    /// Creates a value that was measured with every participant running.
    pub fn measured(metric: &'static str, unit: &'static str, value: f64) -> MetricValue {
        MetricValue { metric: metric.into(), unit: unit.into(), basis: Basis::Measured, value }
    }

    /// Creates a value that was measured at some participants while the others were modelled.
    pub fn sampled(metric: &'static str, unit: &'static str, value: f64) -> MetricValue {
        MetricValue { metric: metric.into(), unit: unit.into(), basis: Basis::Sampled, value }
    }

    /// Creates a value that was computed without running anything.
    pub fn counted(metric: &'static str, unit: &'static str, value: f64) -> MetricValue {
        MetricValue { metric: metric.into(), unit: unit.into(), basis: Basis::Counted, value }
    }
}

/// Values of all metrics of a role at one size.
#[derive(Debug, Clone, PartialEq)]
pub struct Measurement {
    /// Measured role.
    pub role: Role,
    /// Size, in the unit of [`Role::size_unit`].
    pub size: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Values of the metrics, in the order in which reports print them.
    pub values: Vec<MetricValue>,
}

/// Error of a measurement.
#[derive(Debug, Clone, PartialEq)]
pub enum MeasureError {
    /// The measurement needs more memory than its limit.
    Memory(TooMuchMemory),
    /// The size is out of bounds for the role.
    Size {
        /// Role that was to be measured.
        role: Role,
        /// Requested size.
        size: u64,
        /// Smallest size of the role.
        smallest: u64,
        /// Largest size of the role.
        largest: u64,
    },
    /// The measured code behaved unexpectedly; the text says how.
    UnexpectedBehavior(String),
}

impl std::fmt::Display for MeasureError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MeasureError::Memory(e) => write!(f, "{e}"),
            MeasureError::Size { role, size, smallest, largest } => {
                write!(f, "{} can't be measured at size {size}; {smallest} to {largest}", role.name())
            }
            MeasureError::UnexpectedBehavior(message) => write!(f, "{message}"),
        }
    }
}

impl std::error::Error for MeasureError {}

impl From<TooMuchMemory> for MeasureError {
    fn from(e: TooMuchMemory) -> Self {
        MeasureError::Memory(e)
    }
}

/// Conditions of all measurements of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conditions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Memory limit of a measurement, in bytes.
    pub memory_limit_bytes: u64,
    /// Largest fleet, in members, in which every member runs the real membership machine.
    pub full_up_to: u64,
}

/// Role whose cost is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Membership among the nodes; the size is the number of nodes.
    Membership,
    /// Processing of the server list on a node; the size is the number of cache servers.
    ServerList,
    /// State of a node for its cache servers, and placement of requests; the size is the number of cache
    /// servers.
    NodeState,
    /// Connections of nodes to cache servers; the size is the number of nodes.
    ServerConnections,
    /// Calls of all nodes to the discovery service; the size is the number of nodes.
    Discovery,
    /// Reload of the settings; the size is the number of tenants in them.
    Reload,
    /// Forwarding of a request and its response; the size is the length of a response in bytes.
    Passage,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 7] = [
        Role::Membership,
        Role::ServerList,
        Role::NodeState,
        Role::ServerConnections,
        Role::Discovery,
        Role::Reload,
        Role::Passage,
    ];

    /// Returns the role's name on the command line and in CSV files.
    pub fn name(self) -> &'static str {
        match self {
            Role::Membership => "membership",
            Role::ServerList => "server-list",
            Role::NodeState => "node-state",
            Role::ServerConnections => "server-connections",
            Role::Discovery => "discovery",
            Role::Reload => "reload",
            Role::Passage => "passage",
        }
    }

    /// Looks up a role by the name that [`Role::name`] returns; `None` if there is no such role.
    pub fn from_name(name: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|role| role.name() == name)
    }

    /// Returns the unit in which the role's size is counted.
    pub fn size_unit(self) -> &'static str {
        match self {
            Role::Membership | Role::ServerConnections | Role::Discovery => "nodes",
            Role::ServerList | Role::NodeState => "servers",
            Role::Reload => "tenants",
            Role::Passage => "bytes",
        }
    }

    /// Returns the smallest size at which the role can be measured.
    pub fn smallest(self) -> u64 {
        if self == Role::Membership { membership::SMALLEST } else { 1 }
    }

    /// Returns the largest size at which the role can be measured.
    pub fn largest(self) -> u64 {
        match self {
            Role::Membership => membership::LARGEST,
            Role::ServerList => server_list::LARGEST,
            Role::NodeState => node_state::LARGEST,
            Role::ServerConnections => server_connections::LARGEST,
            Role::Discovery => discovery::LARGEST,
            Role::Reload => reload::LARGEST,
            Role::Passage => passage::LARGEST,
        }
    }

    /// Estimates the memory that a measurement at a size needs, in bytes.
    pub fn required_memory(self, size: u64, conditions: &Conditions) -> u64 {
        match self {
            Role::Membership => membership::required_memory(size, conditions.full_up_to),
            Role::ServerList => server_list::required_memory(size),
            Role::NodeState => node_state::required_memory(size),
            Role::ServerConnections => server_connections::required_memory(size),
            Role::Discovery => discovery::required_memory(size),
            Role::Reload => reload::required_memory(size),
            Role::Passage => passage::required_memory(size),
        }
    }

    /// Checks whether the role can be measured at `size`; runs nothing.
    ///
    /// # Errors
    /// If the size is out of bounds or needs more memory than the limit.
    pub fn check(self, size: u64, conditions: &Conditions) -> Result<(), MeasureError> {
        let (smallest, largest) = (self.smallest(), self.largest());
        if !(smallest..=largest).contains(&size) {
            return Err(MeasureError::Size { role: self, size, smallest, largest });
        }
        limits::check(size, self.required_memory(size, conditions), conditions.memory_limit_bytes)?;
        Ok(())
    }

    /// Measures the role at `size`.
    ///
    /// # Errors
    /// If [`Role::check`] fails, the memory limit is exceeded during the measurement, or the measured code
    /// behaves unexpectedly.
    pub fn measure(self, size: u64, conditions: &Conditions) -> Result<Measurement, MeasureError> {
        self.check(size, conditions)?;
        let seed = conditions.seed;
        let values = match self {
            Role::Membership => membership::measure(size, conditions)?,
            Role::ServerList => server_list::measure(size)?,
            Role::NodeState => node_state::measure(size, seed)?,
            Role::ServerConnections => server_connections::measure(size, seed)?,
            Role::Discovery => discovery::measure(size, seed)?,
            Role::Reload => reload::measure(size, seed)?,
            Role::Passage => passage::measure(size, seed)?,
        };
        Ok(Measurement { role: self, size, seed, values })
    }
}
