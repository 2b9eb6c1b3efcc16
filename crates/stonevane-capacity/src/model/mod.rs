//! Capacity model: computes the fleet's costs at the target from measurements, compares them with budgets,
//! and writes the tables of `docs/CAPACITY.md`. Pure: CSV lines are the input, table rows the output.

mod control_machine;
mod discovery;
mod figures;
mod link;
mod node;
mod page;
mod reckonings;
mod row;
mod server;
mod target;

pub use figures::{Measurements, MissingMetric, Value};
pub use page::{Mismatch, compare, tables};
pub use row::{Component, Mechanism, Quantity, Row, Situation};
pub use target::{Budget, TARGET, Target};

/// Computes the rows of all tables.
///
/// # Errors
/// If a metric that a formula needs was not measured.
pub fn rows(measurements: &Measurements) -> Result<Vec<Row>, MissingMetric> {
    let parts = [
        node::rows(measurements)?,
        server::rows(measurements)?,
        discovery::rows(measurements)?,
        control_machine::rows(measurements)?,
        link::rows(measurements)?,
        reckonings::rows(measurements)?,
    ];
    Ok(parts.into_iter().flatten().collect())
}
