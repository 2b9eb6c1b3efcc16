//! Connections to servers; owned by the pool of upstreams.

use std::time::Duration;

use crate::Table;

/// Connections to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Servers {
    /// A connection isn't used for this long after an answer, so that stray bytes behind it are seen.
    pub rest: Duration,
}

impl Default for Servers {
    fn default() -> Self {
        Servers { rest: Duration::from_millis(15) }
    }
}

impl Servers {
    pub(super) fn read(table: &Table<'_, '_>) -> Servers {
        let default_ms = Servers::default().rest.as_millis() as u64;
        Servers { rest: Duration::from_millis(table.integer("rest_ms", default_ms, 0..=1_000)) }
    }
}
