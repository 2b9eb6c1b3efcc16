//! What a node may cost for the control of its fleet, and whether it costs more.

use std::fmt;

use crate::figures::Figures;
use crate::limits::MIB;

/// The most that a node may cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Microseconds of processor time a second.
    pub cpu_us_s: f64,
    /// Resident memory, bytes.
    pub memory_bytes: u64,
    /// Bytes a second, UDP and TCP together.
    pub bytes_s: f64,
    /// Seconds until a death is known to all.
    pub death_known_s: f64,
}

impl Default for Budget {
    /// The budget for control: 1.7 % of a core, 64 MiB, 3 KiB a second, a death known in 8 s.
    fn default() -> Self {
        Budget { cpu_us_s: 17_000.0, memory_bytes: 64 * MIB, bytes_s: 3_072.0, death_known_s: 8.0 }
    }
}

/// What a budget bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Item {
    /// The fleet did converge at all, in the time that was given.
    Converged,
    /// All nodes came to rest, in the time that was given.
    Rested,
    /// Processor time.
    Cpu,
    /// Resident memory.
    Memory,
    /// Bytes of UDP and TCP.
    Bytes,
    /// The time until a death is known.
    DeathKnown,
}

/// One thing that is over the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// What.
    pub item: Item,
    /// The figure; `None`: it was not reached in the time that was given.
    pub figure: Option<f64>,
    /// What it may be; `None`: anything that is reached.
    pub most: Option<f64>,
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (what, unit) = match self.item {
            Item::Converged => ("the fleet has not converged", ""),
            Item::Rested => ("the fleet has not come to rest", ""),
            Item::Cpu => ("processor time", " us a node and second"),
            Item::Memory => ("memory", " bytes a node"),
            Item::Bytes => ("UDP and TCP", " bytes a node and second"),
            Item::DeathKnown => ("a death was known to all", " s after it"),
        };
        match (self.figure, self.most) {
            (Some(figure), Some(most)) => write!(f, "{what}: {figure:.1}{unit}, budget {most:.1}"),
            (None, Some(most)) => write!(f, "{what}: not in the time given, budget {most:.1}{unit}"),
            _ => write!(f, "{what} in the time given"),
        }
    }
}

/// All that is over the budget. What was not reached in the time that was given is over; what follows it in the run
/// was not measured, and is not named.
pub fn excesses(budget: &Budget, figures: &Figures) -> Vec<Excess> {
    let unreached = |item| vec![Excess { item, figure: None, most: None }];
    if figures.converged_s.is_none() {
        return unreached(Item::Converged);
    }
    if figures.rested_s.is_none() {
        return unreached(Item::Rested);
    }
    let bytes = figures.udp_bytes_s.zip(figures.tcp_bytes_s).map(|(udp, tcp)| udp + tcp);
    let memory = figures.memory_bytes.map(|bytes| bytes as f64);
    let bounds = [
        (Item::Cpu, figures.cpu_us_s, budget.cpu_us_s),
        (Item::Memory, memory, budget.memory_bytes as f64),
        (Item::Bytes, bytes, budget.bytes_s),
        (Item::DeathKnown, figures.death_known_s, budget.death_known_s),
    ];
    let over = |(item, figure, most): (Item, Option<f64>, f64)| {
        let within = figure.is_some_and(|figure| figure <= most);
        (!within).then_some(Excess { item, figure, most: Some(most) })
    };
    bounds.into_iter().filter_map(over).collect()
}
