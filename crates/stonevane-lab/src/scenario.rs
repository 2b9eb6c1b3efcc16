//! A scenario: a fleet, a load, faults on a timeline, and what is expected of it.

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

/// The name of discovery in scenarios.
pub const DISCOVERY: &str = "discovery";
/// The zone where a scenario names none.
const ONLY_ZONE: &str = "a";

/// A scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// Its seed, where none is given.
    pub seed: u64,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of cache servers.
    pub caches: usize,
    /// The figures of each cache server; names are set for each.
    pub cache: CacheSpec,
    /// The origin's figures.
    pub origin: OriginSpec,
    /// The store of record in the origin's place, where there is one.
    pub store: Option<StoreSpec>,
    /// The share of the keys, the most popular first, that caches hold at the start.
    pub warm_keys: f64,
    /// Zones. Nodes and caches are assigned to them in turn; the origin is in the first.
    pub zones: Vec<String>,
    /// The shortest delay between two zones one way, in microseconds.
    pub min_zone_delay_us: u64,
    /// The longest delay between two zones one way, in microseconds.
    pub max_zone_delay_us: u64,
    /// The delay after which discovery learns of a change.
    pub discovery_delay: Duration,
    /// Discovery's figures.
    pub discovery: DiscoverySpec,
    /// Whether nodes watch the endpoint list instead of polling it.
    pub pushed: bool,
    /// Attempts of a request, at most; 0: no limit.
    pub max_attempts: u32,
    /// Whether hedged requests may be sent.
    pub hedging: bool,
    /// Sockets of each node.
    pub sockets: u64,
    /// Memory of each node, in megabytes.
    pub memory_mb: u64,
    /// The load.
    pub load: Load,
    /// Each tenant's share of the fleet's capacity, in the order of the load's tenants.
    pub tenant_shares: Vec<f64>,
    /// A tenant's quota, as a multiple of its share of the rate.
    pub quota: f64,
    /// The part of its time that the short form takes.
    pub short: f64,
    /// What must hold of the short form besides the rules.
    pub short_expects: Vec<Expectation>,
    /// Faults, in the order of their times.
    pub steps: Vec<Step>,
    /// What must hold besides the rules.
    pub expects: Vec<Expectation>,
    /// Membership among the nodes, where there is any.
    pub membership: Option<MembershipSpec>,
    /// Whether nodes that start together limit their first attempts; off in a control run.
    pub startup_limit: bool,
}

/// A store of record in the origin's place: a PostgreSQL emulator behind the nodes' own store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSpec {
    /// A SQLite file in place of PostgreSQL. Nothing outside the nodes sees its commits, so that such a fleet is for
    /// trying out and not for the auditor.
    pub sqlite: bool,
    /// The timeout of a call, in milliseconds.
    pub call_timeout_ms: u64,
    /// How long caches hold copies, in milliseconds.
    pub copy_lifetime_ms: u64,
    /// Whether a write's receipt waits until no cache holds an older copy.
    pub waits_for_placement: bool,
    /// Keys that it holds at the start, the most popular first.
    pub preloaded_keys: usize,
    /// Whether nodes fill caches and invalidate their copies.
    pub fills_caches: bool,
    /// Whether fetches of one key share a query.
    pub shares_fetches: bool,
}

/// A cache server that starts in the course of a scenario.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Successor {
    /// The number of the server whose place it takes.
    pub replaces: usize,
    /// Its name.
    pub name: String,
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// All that is wrong with it, in the order of the text.
    pub fn parse(text: &str) -> Result<Scenario, Vec<ConfigError>> {
        read::scenario(text)
    }

    /// Its short form: all times of the load and of the steps scaled down, the expectations replaced.
    pub fn shortened(&self) -> Scenario {
        let scale = |time: Duration| time.mul_f64(self.short);
        let scale_ms = |ms: u64| (ms as f64 * self.short) as u64;
        let mut short = self.clone();
        short.load.for_ms = scale_ms(self.load.for_ms);
        for crowd in &mut short.load.crowds {
            crowd.at_ms = scale_ms(crowd.at_ms);
            crowd.for_ms = scale_ms(crowd.for_ms);
        }
        for step in &mut short.steps {
            step.at = scale(step.at);
            step.duration = scale(step.duration);
        }
        short.expects.clone_from(&self.short_expects);
        short
    }

    /// The zone of a node or a cache server.
    pub fn zone(&self, number: usize) -> String {
        let index = number.checked_rem(self.zones.len());
        index.map_or_else(|| ONLY_ZONE.into(), |index| self.zones[index].clone())
    }

    /// All zones; one where the scenario names none.
    pub fn all_zones(&self) -> Vec<String> {
        (0..self.zones.len().max(1)).map(|number| self.zone(number)).collect()
    }

    /// The round trips from a zone to the nodes of others, in microseconds: delays are spread evenly over the pairs of
    /// zones.
    pub fn round_trips(&self, zone: &str, nodes: &[String]) -> BTreeMap<String, u64> {
        let zones = self.all_zones();
        let index = |zone: &str| zones.iter().position(|known| known == zone).unwrap_or(0);
        let from = index(zone);
        let node_zones = nodes.iter().enumerate().map(|(number, name)| (name, index(&self.zone(number))));
        let elsewhere = node_zones.filter(|(_, to)| *to != from);
        elsewhere.map(|(name, to)| (name.clone(), 2 * self.zone_delay_us(from, to, zones.len()))).collect()
    }

    /// The delay between two different zones one way, in microseconds.
    fn zone_delay_us(&self, one: usize, other: usize, zones: usize) -> u64 {
        let pairs = zones * zones.saturating_sub(1) / 2;
        let (low, high) = (one.min(other), one.max(other));
        let pair = high * (high - 1) / 2 + low;
        let range = self.max_zone_delay_us.saturating_sub(self.min_zone_delay_us);
        self.min_zone_delay_us + range * pair as u64 / (pairs.max(2) as u64 - 1)
    }

    /// Cache servers that start in the course of it.
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

/// The name of the cache server that takes another's place.
pub fn successor_name(server: &str) -> String {
    format!("{server}-next")
}

/// The name of a node.
pub fn node_name(number: usize) -> String {
    format!("n{number}")
}

/// The name of a cache server.
pub fn cache_name(number: usize) -> String {
    format!("cache-{number}")
}

#[cfg(test)]
mod tests;
