//! Section `[start]`: limits while nodes start. Owned by the decision module.

use crate::Table;

/// Limits while nodes start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Start {
    /// Maximum number of attempts in flight at each cache server, of all starting nodes together; 0: no
    /// limit.
    pub attempts_per_server: f64,
}

impl Default for Start {
    fn default() -> Self {
        Start { attempts_per_server: 8.0 }
    }
}

impl Start {
    pub(super) fn read(table: &Table<'_, '_>) -> Start {
        let attempts_per_server = table.number("each", Start::default().attempts_per_server, 0.1..=10_000.0);
        Start { attempts_per_server: if table.flag("ramp", true) { attempts_per_server } else { 0.0 } }
    }
}
