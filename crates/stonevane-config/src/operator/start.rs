//! Section `[start]`: limits while nodes start. Owned by the decision module.

use crate::Table;

/// Limits while nodes start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Start {
    /// Limit of attempts in flight that all nodes together have at each cache server when they start; 0: no
    /// limit.
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
