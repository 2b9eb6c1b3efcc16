//! Network conditions: loss, duplication and delay between some nodes.

use std::collections::BTreeMap;
use std::time::Duration;

/// Delay of a datagram on a path without conditions.
const BASE_DELAY: Duration = Duration::from_millis(1);

/// Impairments of the paths between some nodes. If several apply to a path, delivery rates multiply and
/// delays add up.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct NetworkConditions {
    /// Names of the affected senders; empty for all.
    pub from: Vec<String>,
    /// Names of the affected receivers; empty for all.
    pub to: Vec<String>,
    /// Share of datagrams that is lost, from 0 to 1; 1 cuts the path.
    pub loss: f64,
    /// Share of datagrams that is duplicated, from 0 to 1.
    pub duplicate: f64,
    /// Shortest added delay.
    pub min_delay: Duration,
    /// Longest added delay; above `min_delay` it lets datagrams overtake each other.
    pub max_delay: Duration,
}

impl NetworkConditions {
    fn apply_to(&self, from: &str, to: &str) -> bool {
        let contains =
            |names: &[String], name: &str| names.is_empty() || names.iter().any(|listed| listed == name);
        contains(&self.from, from) && contains(&self.to, to)
    }
}

/// Combined effect of all active conditions on the path from one node to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Path {
    /// Share of datagrams that is not lost, from 0 to 1.
    pub(super) delivery: f64,
    pub(super) duplicate: f64,
    pub(super) min_delay: Duration,
    pub(super) max_delay: Duration,
}

/// All active conditions, by the identifiers that [`ActiveConditions::apply`] returned.
#[derive(Debug, Default)]
pub(super) struct ActiveConditions {
    last_number: u64,
    active: BTreeMap<u64, NetworkConditions>,
}

impl ActiveConditions {
    pub(super) fn apply(&mut self, conditions: NetworkConditions) -> u64 {
        self.last_number += 1;
        self.active.insert(self.last_number, conditions);
        self.last_number
    }

    pub(super) fn lift(&mut self, number: u64) {
        self.active.remove(&number);
    }

    pub(super) fn between(&self, from: &str, to: &str) -> Path {
        let mut path = Path { delivery: 1.0, duplicate: 0.0, min_delay: BASE_DELAY, max_delay: BASE_DELAY };
        for conditions in self.active.values().filter(|conditions| conditions.apply_to(from, to)) {
            path.delivery *= 1.0 - conditions.loss;
            path.duplicate = 1.0 - (1.0 - path.duplicate) * (1.0 - conditions.duplicate);
            path.min_delay += conditions.min_delay;
            path.max_delay += conditions.max_delay.max(conditions.min_delay);
        }
        path
    }
}

#[cfg(test)]
mod tests;
