//! The start-up of a node; owned by the decision module.

use crate::Table;

/// The start-up of a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Start {
    /// Attempts in flight at each cache server that all nodes together may have when they start; 0: no limit.
    pub each: f64,
}

impl Default for Start {
    fn default() -> Self {
        Start { each: 8.0 }
    }
}

impl Start {
    pub(super) fn read(table: &Table<'_, '_>) -> Start {
        let each = table.number("each", Start::default().each, 0.1..=10_000.0);
        Start { each: if table.flag("ramp", true) { each } else { 0.0 } }
    }
}
