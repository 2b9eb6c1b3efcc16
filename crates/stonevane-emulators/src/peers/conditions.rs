//! Network conditions: loss, duplication and delay between some nodes.

use std::collections::BTreeMap;
use std::time::Duration;

/// The delay of a datagram on a path without conditions.
const BASE_DELAY: Duration = Duration::from_millis(1);

/// What is wrong between some nodes. Several conditions may be in force: losses multiply, delays add up.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct NetworkConditions {
    /// The senders that are concerned; empty: all.
    pub from: Vec<String>,
    /// The receivers that are concerned; empty: all.
    pub to: Vec<String>,
    /// The share that is lost; 1: the path is cut.
    pub loss: f64,
    /// The share that is duplicated.
    pub duplicate: f64,
    /// The shortest delay.
    pub min_delay: Duration,
    /// The longest delay: later datagrams may overtake.
    pub max_delay: Duration,
}

impl NetworkConditions {
    fn concern(&self, from: &str, to: &str) -> bool {
        let among =
            |names: &[String], name: &str| names.is_empty() || names.iter().any(|known| known == name);
        among(&self.from, from) && among(&self.to, to)
    }
}

/// What is in force on the path of one ordered pair.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Path {
    /// The share of datagrams that is not lost.
    pub(super) delivery: f64,
    pub(super) duplicate: f64,
    pub(super) min_delay: Duration,
    pub(super) max_delay: Duration,
}

/// All conditions in force, by the numbers under which they were applied.
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
        for conditions in self.active.values().filter(|conditions| conditions.concern(from, to)) {
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
