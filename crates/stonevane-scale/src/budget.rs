//! Budget for the cost per node of fleet control (membership and discovery), and the check of figures against
//! it.

use std::fmt;

use crate::figures::Figures;
use crate::limits::MIB;

/// Upper bounds on the cost of a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Microseconds of processor time per second.
    pub cpu_us_s: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
    /// Bytes per second, UDP and TCP together.
    pub bytes_s: f64,
    /// Seconds from the kill of a node until all others of its domain have declared it dead.
    pub death_known_s: f64,
}

impl Default for Budget {
    /// 1.7 % of a core, 64 MiB, 3 KiB per second, and a death known to all within 8 s.
    fn default() -> Self {
        Budget { cpu_us_s: 17_000.0, memory_bytes: 64 * MIB, bytes_s: 3_072.0, death_known_s: 8.0 }
    }
}

/// A quantity that a budget bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetItem {
    /// Convergence of the fleet (see [`Figures::converged_s`]) within the time limit of the phase.
    Converged,
    /// All nodes at rest (see [`Figures::rested_s`]) within the time limit of the phase.
    Rested,
    /// Processor time, in microseconds per node and second.
    Cpu,
    /// Resident memory, in bytes per node.
    Memory,
    /// Bytes of UDP and TCP per node and second.
    Bytes,
    /// Seconds until a death is known to all.
    DeathKnown,
}

/// A quantity that exceeds its budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// Quantity that is above its bound or was not reached.
    pub item: BudgetItem,
    /// Measured value; `None` if the phase timed out.
    pub figure: Option<f64>,
    /// Upper bound from the budget; `None` for [`BudgetItem::Converged`] and [`BudgetItem::Rested`], which
    /// only have to be reached.
    pub bound: Option<f64>,
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (what, unit) = match self.item {
            BudgetItem::Converged => ("the fleet has not converged", ""),
            BudgetItem::Rested => ("the fleet has not come to rest", ""),
            BudgetItem::Cpu => ("processor time", " us a node and second"),
            BudgetItem::Memory => ("memory", " bytes a node"),
            BudgetItem::Bytes => ("UDP and TCP", " bytes a node and second"),
            BudgetItem::DeathKnown => ("a death was known to all", " s after it"),
        };
        match (self.figure, self.bound) {
            (Some(figure), Some(bound)) => write!(f, "{what}: {figure:.1}{unit}, budget {bound:.1}"),
            (None, Some(bound)) => write!(f, "{what}: not in the time given, budget {bound:.1}{unit}"),
            _ => write!(f, "{what} in the time given"),
        }
    }
}

/// Returns all quantities that exceed the budget. A phase that timed out counts as exceeding the budget; the
/// phases after it were not measured, and their quantities are not listed.
pub fn excesses(budget: &Budget, figures: &Figures) -> Vec<Excess> {
    let unreached = |item| vec![Excess { item, figure: None, bound: None }];
    if figures.converged_s.is_none() {
        return unreached(BudgetItem::Converged);
    }
    if figures.rested_s.is_none() {
        return unreached(BudgetItem::Rested);
    }
    let bytes = figures.udp_bytes_s.zip(figures.tcp_bytes_s).map(|(udp, tcp)| udp + tcp);
    let memory = figures.memory_bytes.map(|bytes| bytes as f64);
    let bounds = [
        (BudgetItem::Cpu, figures.cpu_us_s, budget.cpu_us_s),
        (BudgetItem::Memory, memory, budget.memory_bytes as f64),
        (BudgetItem::Bytes, bytes, budget.bytes_s),
        (BudgetItem::DeathKnown, figures.death_known_s, budget.death_known_s),
    ];
    let excess = |(item, figure, bound): (BudgetItem, Option<f64>, f64)| {
        let within = figure.is_some_and(|figure| figure <= bound);
        (!within).then_some(Excess { item, figure, bound: Some(bound) })
    };
    bounds.into_iter().filter_map(excess).collect()
}
