//! A scenario: a fleet, a load, faults on a timeline, and expectations of the run's figures.

mod action;
mod expectation;
mod members;
mod read;
mod read_step;

use std::collections::BTreeMap;
use std::time::Duration;

use stonevane_config::ConfigError;
use stonevane_emulators::cache::CacheSpec;
use stonevane_emulators::client::Load;
use stonevane_emulators::discovery::DiscoverySpec;
use stonevane_emulators::origin::OriginSpec;

pub use self::action::{Action, NodeAction, NodeSelector, Step};
pub use self::expectation::{Comparison, Expectation, ExpectationError, FIGURES};
pub use self::members::{FaultyMemberSpec, MembershipBounds, MembershipSpec};

/// Name by which scenarios refer to discovery.
pub const DISCOVERY: &str = "discovery";
/// Zone of all servers and nodes if a scenario names none.
const DEFAULT_ZONE: &str = "a";

/// A scenario, as read from its TOML text.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Description of what the scenario shows.
    pub about: String,
    /// Seed of a run that sets none.
    pub seed: u64,
    /// Number of nodes, 1 to 400.
    pub nodes: usize,
    /// Number of cache servers, 1 to 200.
    pub caches: usize,
    /// Capacity and behaviour of the cache servers; name and zone are set for each server.
    pub cache: CacheSpec,
    /// Capacity and behaviour of the origin.
    pub origin: OriginSpec,
    /// Store of record that replaces the origin; `None` if the origin is used.
    pub store: Option<StoreSpec>,
    /// Share of the keys that caches hold at the start, from 0 to 1; the most popular keys are held.
    pub warm_keys: f64,
    /// Names of the zones. Nodes and caches are assigned to them in turn; the origin is in the first.
    pub zones: Vec<String>,
    /// Shortest one-way delay between two zones, in microseconds.
    pub min_zone_delay_us: u64,
    /// Longest one-way delay between two zones, in microseconds.
    pub max_zone_delay_us: u64,
    /// Delay after which discovery reports a change.
    pub discovery_delay: Duration,
    /// Capacity and behaviour of discovery.
    pub discovery: DiscoverySpec,
    /// Whether nodes watch the endpoint list instead of polling it.
    pub watches_discovery: bool,
    /// Largest number of attempts of a request; 0 for no limit.
    pub max_attempts: u32,
    /// Whether hedged requests may be sent.
    pub hedging: bool,
    /// Limit on the sockets of each node, 32 to 1,024.
    pub sockets: u64,
    /// Memory limit of each node, in megabytes.
    pub memory_mb: u64,
    /// Load of the clients.
    pub load: Load,
    /// Each tenant's share of the fleet's capacity, in the order of the load's tenants.
    pub tenant_shares: Vec<f64>,
    /// Quota of each tenant, as a multiple of the tenant's share of the request rate.
    pub quota: f64,
    /// Factor by which the short form scales all times, 0.05 to 1.
    pub short: f64,
    /// Expectations of the short form, besides the audit rules.
    pub short_expects: Vec<Expectation>,
    /// Steps, in the order of their times.
    pub steps: Vec<Step>,
    /// Expectations besides the audit rules.
    pub expects: Vec<Expectation>,
    /// Membership among the nodes; `None` if it is disabled.
    pub membership: Option<MembershipSpec>,
    /// Whether nodes that start together limit their first attempts; `false` in a control run.
    pub startup_limit: bool,
}

/// A store of record that replaces the origin: a PostgreSQL emulator, or a SQLite file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSpec {
    /// Whether a SQLite file is used instead of the PostgreSQL emulator. Nothing outside the nodes observes
    /// its commits, so the history of such a fleet can't be audited.
    pub sqlite: bool,
    /// Timeout of a call, in milliseconds.
    pub call_timeout_ms: u64,
    /// Lifetime of copies in caches, in milliseconds.
    pub copy_lifetime_ms: u64,
    /// Whether a write's receipt waits until no cache holds an older copy.
    pub waits_for_placement: bool,
    /// Number of keys that the store holds at the start, the most popular first.
    pub preloaded_keys: usize,
    /// Whether nodes fill caches and invalidate their copies.
    pub fills_caches: bool,
    /// Whether fetches of one key share a query.
    pub shares_fetches: bool,
}

/// A cache server that starts during a scenario and replaces another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Successor {
    /// Number of the replaced server.
    pub replaces: usize,
    /// Name of the successor.
    pub name: String,
}

impl Scenario {
    /// Parses a scenario from TOML.
    ///
    /// # Errors
    /// All errors in the text, in its order.
    pub fn parse(text: &str) -> Result<Scenario, Vec<ConfigError>> {
        read::scenario(text)
    }

    /// Returns the short form: all times of the load and of the steps scaled by `short`, and the expectations
    /// replaced by `short_expects`.
    pub fn shortened(&self) -> Scenario {
        let scale = |time: Duration| time.mul_f64(self.short);
        let scale_ms = |ms: u64| (ms as f64 * self.short) as u64;
        let mut short = self.clone();
        short.load.duration_ms = scale_ms(self.load.duration_ms);
        for peak in &mut short.load.peaks {
            peak.at_ms = scale_ms(peak.at_ms);
            peak.duration_ms = scale_ms(peak.duration_ms);
        }
        for step in &mut short.steps {
            step.at = scale(step.at);
            step.duration = scale(step.duration);
        }
        short.expects.clone_from(&self.short_expects);
        short
    }

    /// Returns the zone of a node or a cache server.
    pub fn zone(&self, number: usize) -> String {
        let index = number.checked_rem(self.zones.len());
        index.map_or_else(|| DEFAULT_ZONE.into(), |index| self.zones[index].clone())
    }

    /// Returns the names of all zones; one if the scenario names none.
    pub fn all_zones(&self) -> Vec<String> {
        (0..self.zones.len().max(1)).map(|number| self.zone(number)).collect()
    }

    /// Returns the round-trip time from a zone to each node in another zone, in microseconds. Delays are
    /// spread evenly over the pairs of zones.
    pub fn round_trips(&self, zone: &str, nodes: &[String]) -> BTreeMap<String, u64> {
        let zones = self.all_zones();
        let index = |zone: &str| zones.iter().position(|known| known == zone).unwrap_or(0);
        let from = index(zone);
        let node_zones = nodes.iter().enumerate().map(|(number, name)| (name, index(&self.zone(number))));
        let elsewhere = node_zones.filter(|(_, to)| *to != from);
        elsewhere.map(|(name, to)| (name.clone(), 2 * self.zone_delay_us(from, to, zones.len()))).collect()
    }

    /// Returns the one-way delay between two different zones, in microseconds.
    fn zone_delay_us(&self, one: usize, other: usize, zones: usize) -> u64 {
        let pairs = zones * zones.saturating_sub(1) / 2;
        let (low, high) = (one.min(other), one.max(other));
        let pair = high * (high - 1) / 2 + low;
        let range = self.max_zone_delay_us.saturating_sub(self.min_zone_delay_us);
        self.min_zone_delay_us + range * pair as u64 / (pairs.max(2) as u64 - 1)
    }

    /// Returns the cache servers that start during the scenario.
    pub fn successors(&self) -> Vec<Successor> {
        let successor = |step: &Step| match &step.action {
            Action::Replace { server, successor } => {
                let replaces = (0..self.caches).find(|number| cache_name(*number) == *server)?;
                Some(Successor { replaces, name: successor.clone() })
            }
            _ => None,
        };
        let mut successors: Vec<_> = self.steps.iter().filter_map(successor).collect();
        successors.sort();
        successors.dedup();
        successors
    }
}

/// Returns the name of the cache server that replaces `server`.
pub fn successor_name(server: &str) -> String {
    format!("{server}-next")
}

/// Returns the name of a node.
pub fn node_name(number: usize) -> String {
    format!("n{number}")
}

/// Returns the name of a cache server.
pub fn cache_name(number: usize) -> String {
    format!("cache-{number}")
}

#[cfg(test)]
mod tests;
